"""The safeguards of capacity that follows demand, each with the proof that needs it."""

from __future__ import annotations

from oleanderhill.groups import composing, giving_up, running_dry, shifting

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants of spares that serve and of groups that are given up."""
    agreement = "test_capacity_follows.AgreementTest"
    together = f"{agreement}.test_together_they_never_give_up_more_than_is_short"
    dry = "test_capacity_follows.RunningDryTest"
    load = "test_capacity_follows.LoadTest"
    return [
        Mutant(
            "domains that rank before one are counted",
            [(shifting, "_ranked_before", lambda domain, fleet, short: [])],
            testing(together),
        ),
        Mutant(
            "hosts that are about to form groups are counted",
            [(shifting, "_coming", lambda state, need: 0)],
            testing(f"{agreement}.test_hosts_that_are_about_to_form_groups_count"),
        ),
        Mutant(
            "each data centre keeps a group",
            [(shifting, "_leaves_some_near", lambda domain, fleet, move, before: True)],
            testing(together),
        ),
        Mutant(
            "groups in no plan run dry",
            [(running_dry, "RUN_DRY_SECONDS", 0.0)],
            testing(f"{dry}.test_new_owner_closes_an_open_head_of_no_plan_before_its_hosts_leave"),
        ),
        Mutant(
            "only whole groups run dry",
            [(running_dry, "_serves_whole", lambda members, sizes: True)],
            testing(f"{dry}.test_group_that_is_not_whole_does_not_run_dry"),
        ),
        Mutant(
            "spares that mend a large group stay free",
            [(composing, "_mending_reserve", lambda plan, need, desired, needs: 0)],
            testing("test_capacity_follows.ComposingTest.test_spares_that_mend_a_large_group_stay"),
        ),
        Mutant(
            "spares serve as soon as groups are getting full",
            [(composing, "GETTING_FULL_RATIO", 0.0)],
            testing(f"{load}.test_burst_of_the_small_model_is_met_by_spares_sooner"),
        ),
        Mutant(
            "hosts that were given up form no such group again",
            [(giving_up, "without_excess", lambda needs, domain, fleet, staged: list(needs))],
            testing(f"{load}.test_lasting_shortage_is_met_by_the_model_that_has_room"),
        ),
    ]
