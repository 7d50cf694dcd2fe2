"""The safeguards of learned times, speeds and stall checks, each with its proof."""

from __future__ import annotations

from oleanderhill import clock
from oleanderhill.serving import learned_timing, slow_start, target_speeds

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants."""
    learned, held_up = "test_learned_timing", "test_held_up"
    return [
        Mutant(
            "queues are limited by observed times",
            [(learned_timing, "correct", lambda configured, table, previous=None: configured)],
            testing(f"{learned}.BurstTest.test_answers_stay_on_time_in_a_burst"),
        ),
        Mutant(
            "corrections are bounded",
            [(learned_timing, "MAX_CORRECTION", 1e9)],
            testing(f"{learned}.CorrectionTest.test_extreme_times_correct_within_the_bound"),
        ),
        Mutant(
            "slow targets rank behind others",
            [(target_speeds.TargetSpeeds, "refresh", lambda self, now: {})],
            testing(f"{learned}.SlowTargetTest.test_group_four_times_slower_makes_few_late"),
        ),
        Mutant(
            "new targets begin slowly",
            [(slow_start.SlowStarts, "begin", lambda self, target, now: False)],
            testing(f"{learned}.SlowStartTest.test_hosts_do_not_rush_to_a_restarted_group"),
        ),
        Mutant(
            "a host that was held up looks for data before it blames a target",
            [(clock.LateTimer, "extension", lambda self, late, last_progress_at: 0.0)],
            testing(f"{held_up}.HeldUpTest.test_requests_to_plain_targets_stay_where_they_are"),
        ),
        Mutant(
            "a process that is always late still notices stalls",
            [(clock.LateTimer, "extension", lambda self, late, last_progress_at: late)],
            testing(f"{held_up}.LateTimerTest.test_extends_once_after_each_progress"),
        ),
    ]
