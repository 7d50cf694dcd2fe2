"""The safeguards of admission and against targets that fail at once, each with its proof."""

from __future__ import annotations

from oleanderhill.routing import failing_targets
from oleanderhill.serving import admission_control, admission_demand, placement
from oleanderhill.serving.admission_demand import Rank
from oleanderhill.serving.applicant import Go

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants."""
    load = "test_admission_control.LoadTest"
    failing = "test_failing_targets"
    return [
        Mutant(
            "no more requests are admitted than there is room for",
            [(admission_control.AdmissionControl, "decide", lambda self, *arguments: Go())],
            testing(f"{load}.test_twice_as_many_are_on_time_as_without_admission"),
        ),
        Mutant(
            "more urgent requests are admitted first",
            [(admission_control, "rank_of", lambda applicant, now: Rank(False, 0))],
            testing(f"{load}.test_more_urgent_callers_are_served_first"),
        ),
        Mutant(
            "an account gets its fair share",
            [(admission_demand.DemandCounts, "_account_rates", lambda self, now: {})],
            testing(f"{load}.test_small_account_is_served_beside_one_that_asks_for_everything"),
        ),
        Mutant(
            "targets that fail what they get are avoided",
            [(failing_targets.FailingTargets, "is_failing", lambda self, target, now: False)],
            testing(f"{failing}.DetectionTest.test_failures_at_different_entry_hosts_add_up"),
        ),
        Mutant(
            "failed requests go on counting as load",
            [(placement.LoadTracker, "end_failed", lambda self, target, until: self.end(target))],
            testing(
                f"{failing}.LoadTest.test_target_that_fails_at_once_gets_no_more_than_its_share"
            ),
        ),
    ]
