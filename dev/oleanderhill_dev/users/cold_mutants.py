"""The safeguards around cold targets, each with its proof."""

from __future__ import annotations

from oleanderhill.platform import host_list
from oleanderhill.routing import cold_limits, limit_scope, paced_limits, target_limits

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants of limits of cold targets."""
    bound, life, sources = (
        f"test_cold_targets.{c}" for c in ("BoundTest", "LifeTest", "SourcesTest")
    )
    return [
        Mutant(
            "who gains a share waits until all have learnt of it",
            [(cold_limits, "SHARING_DELAY", 0.0)],
            testing(
                f"{bound}.test_half_of_a_fleet_that_joins_at_once_does_not_send_beside_those"
                "_whose_shares_it_gets"
            ),
        ),
        Mutant(
            "a part of the bound is left for hosts with an old list",
            [(limit_scope, "RESERVE_FRACTION", 0.0)],
            testing(
                f"{bound}.test_host_that_cannot_learn_that_it_is_unlisted_adds_one_request"
                "_of_the_reserve"
            ),
        ),
        Mutant(
            "requests are spaced when they are sent",
            [(paced_limits.PacedLimit, "is_spaced", lambda self, now: True)],
            testing(f"{life}.test_requests_that_connect_late_are_not_sent_together"),
        ),
        Mutant(
            "permits are checked before the first byte",
            [(target_limits.TargetLimits, "confirm", lambda self, permit, now: True)],
            testing(
                f"{life}.test_target_that_turns_cold_between_choice_and_send_gets_no_request"
                "_out_of_turn"
            ),
        ),
        Mutant(
            "an entry older than an answer ends nothing",
            [(cold_limits, "ENTRY_MAX_AGE", 0.0)],
            testing(
                f"{life}.test_entry_that_may_be_older_than_an_answer_does_not_end_what_it_stated"
            ),
        ),
        Mutant(
            "peers that read from this host learn that a target turned cold",
            [(host_list, "COLD_CHANGE_SECONDS", 1e9), (host_list.HostList, "_apply_cold", _quiet)],
            testing(f"{sources}.test_only_entries_that_turn_a_target_cold_or_warm_are" "_changes"),
        ),
    ]


def _quiet(self: host_list.HostList, *args: object) -> bool:
    _APPLY(self, *args)  # type: ignore[arg-type]
    return False


_APPLY = host_list.HostList._apply_cold
