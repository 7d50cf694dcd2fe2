"""The safeguards of retries and of loads of weights, each with the proof that needs it."""

from __future__ import annotations

from typing import Any

from oleanderhill.clients import httpcall
from oleanderhill.groups import pacing
from oleanderhill.serving import connection_shedding, retries, retry_detector

from ..proving import Mutant, testing

_PROOFS = "test_retry_budget.SharedBudgetFaultTest"


_make_pacer = pacing.LoadPacer.__init__


def _make_full_pacer(
    self: pacing.LoadPacer, *limits: Any, taken_over_at: float | None = None
) -> None:
    _make_pacer(self, *limits)


_begin, _end = retries.SharedRetryBudget.begin, retries.SharedRetryBudget.end


def _begin_ended(self: retries.SharedRetryBudget, now: float) -> retries.Retry | None:
    retry = _begin(self, now)
    if retry is not None:
        _end(self, retry, now)
    return retry


def _ignore(self: retries.SharedRetryBudget, retry: retries.Retry, now: float) -> None:
    """Record nothing."""


def mutants() -> list[Mutant]:
    """Return the mutants of the retry budget and of the detection of retries."""
    return [
        Mutant(
            "retries that lost peers borrowed still count",
            [(retries.SharedRetryBudget, "_remember", lambda self, *lost: None)],
            testing(f"{_PROOFS}.test_retries_before_a_cut_are_not_spent_again_on_the_other_side"),
        ),
        Mutant(
            "hosts report what they borrowed",
            [(retries.SharedRetryBudget, "borrowed", lambda self, now: 0)],
            testing(
                f"{_PROOFS}"
                ".test_retries_before_all_hosts_are_cut_off_from_each_other_are_not_spent_again"
            ),
        ),
        Mutant(
            "a process that just started takes no part in the pool",
            [(retries.SharedRetryBudget, "_is_starting", lambda self, now: False)],
            testing(f"{_PROOFS}.test_retries_of_a_host_that_is_killed_are_not_spent_again"),
        ),
        Mutant(
            "the reserve is divided among all hosts",
            [(retries, "LISTED_AFTER", 0.0), (retries, "START_SLACK_FRACTION", 0.6)],
            testing(
                f"{_PROOFS}"
                ".test_host_whose_first_list_lacks_the_others_does_not_take_their_shares"
            ),
        ),
        Mutant(
            "a process that doesn't know the others takes no part in the pool",
            [(retries.SharedRetryBudget, "_knows_all_hosts", lambda self, now: True)],
            testing(
                f"{_PROOFS}.test_hosts_that_learn_of_each_other_late"
                "_do_not_take_the_shares_of_all"
            ),
        ),
        Mutant(
            "a retry counts until it has arrived or was given up",
            [
                (retries.SharedRetryBudget, "begin", _begin_ended),
                (retries.SharedRetryBudget, "end", _ignore),
            ],
            testing(
                f"{_PROOFS}.test_retries_held_back_on_their_way"
                "_do_not_arrive_beside_those_of_the_next_window"
            ),
        ),
        Mutant(
            "a request that was given up is not delivered later",
            [(httpcall, "RESET_ON_CLOSE", httpcall.ORDERLY_CLOSE)],
            testing(
                "test_arrivals.AbandonedRequestTest"
                ".test_request_given_up_on_a_silent_link_does_not_arrive_when_the_link_is_back"
            ),
        ),
        Mutant(
            "a new owner of a domain has no loads to order at first",
            [(pacing.LoadPacer, "__init__", _make_full_pacer)],
            testing(
                "test_groups.PacingTest"
                ".test_loads_stay_under_the_bound_while_owners_are_lost_one_after_the_other"
            ),
        ),
        Mutant(
            "attempts are compared with the returns to expect",
            [
                (
                    retry_detector.RetryDetector,
                    "_returns_per_second",
                    lambda self, model, now: float("inf"),
                )
            ],
            testing(
                "test_serving.ReturningTest"
                ".test_first_attempts_on_new_connections_are_no_retries_while_nobody_is_rejected"
            ),
        ),
        Mutant(
            "a saturated host refuses only if it has more than its share",
            [(connection_shedding.Loads, "uneven", True)],
            testing(
                "test_busy_host.BusyHostTest"
                ".test_saturated_host_accepts_while_the_others_have_as_much"
            ),
        ),
    ]
