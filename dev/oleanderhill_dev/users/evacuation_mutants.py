"""The safeguards of evacuations, each with its proof."""

from __future__ import annotations

from typing import Any

from oleanderhill.clients import relay
from oleanderhill.groups import evacuations, forming, needs
from oleanderhill.serving import selection, view

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants."""
    state, keeper, releases, site = (
        f"test_evacuation.{c}"
        for c in ("StateTest", "KeeperTest", "MixedReleasesTest", "EvacuatedSiteTest")
    )
    return [
        Mutant(
            "targets of an evacuated data centre are no candidates",
            [(view.ServingView, "_split", lambda self, targets: (targets, {}))],
            testing(f"{site}.test_callers_are_served_while_a_data_centre_is_evacuated"),
        ),
        Mutant(
            "a chosen target is checked at the moment of sending",
            [(selection.TargetSelection, "evacuation_reason", lambda self: "")],
            testing(f"{site}.test_target_chosen_before_gets_nothing_after_the_bound"),
        ),
        Mutant(
            "the handover is counted from the earliest acknowledgement",
            [(evacuations.Evacuations, "_stop_at", lambda self, now: now + self._bound)],
            testing(f"{state}.test_handover_ends_within_the_bound_of_the_earliest_acknowledgement"),
        ),
        Mutant(
            "the handover of an ignored evacuation is counted from its first reading",
            [
                (
                    evacuations.Evacuations,
                    "_handover_end",
                    lambda self, name, now: self._stop_at(now),
                )
            ],
            testing(
                f"{state}.test_handover_of_an_evacuation_that_was_ignored_counts_from_its_first_reading"
            ),
        ),
        Mutant(
            "evacuations outlast a backup",
            [(evacuations, "RETAIN_SECONDS", 0.0)],
            testing(
                f"{state}.test_evacuation_that_a_backup_lacks_is_kept_until_it_is_written_again"
            ),
        ),
        Mutant(
            "a removal outlasts a backup",
            [(evacuations, "IGNORE_SECONDS", 0.0)],
            testing(f"{state}.test_removal_that_a_backup_lacks_holds_while_it_may_be_repeated"),
        ),
        Mutant(
            "a peer that lacks a prefix is not taken for complete",
            [(relay.PeerSource, "_missing_prefix", lambda self, reply: "")],
            testing(
                f"{releases}.test_peer_that_does_not_copy_evacuations_is_not_taken_for_complete"
            ),
        ),
        Mutant(
            "nothing is formed in an evacuated data centre",
            [(forming.DomainKeeper, "_free", _free_any)],
            testing(
                f"{keeper}.test_nothing_is_formed_or_loaded_on_hosts_of_an_evacuated_data_centre"
            ),
        ),
        Mutant(
            "groups of an evacuated data centre are no supply",
            [(needs, "domain_state", _state_with_all)],
            testing(f"{site}.test_owners_do_not_count_its_groups_as_supply"),
        ),
    ]


def _state_with_all(plan: Any, hosts: Any, closed: Any) -> Any:
    return _STATE(plan, hosts)


def _free_any(self: Any, now: float, plan: Any, hosts: Any) -> Any:
    self._closed = ()
    return _FREE(self, now, plan, hosts)


_FREE = forming.DomainKeeper._free
_STATE = needs.domain_state
