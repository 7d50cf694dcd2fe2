"""The safeguards of the shared retry budget, each with the proof that needs it."""

from __future__ import annotations

from oleanderhill.serving import retries

from ..proving import Mutant, testing

_PROOFS = "test_retry_budget.SharedBudgetFaultTest"


def mutants() -> list[Mutant]:
    """Return the mutants of the retry budget."""
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
                ".test_host_that_starts_without_knowing_the_others_does_not_take_their_shares"
            ),
        ),
    ]
