"""The safeguards of learned times and speeds, each with its proof."""

from __future__ import annotations

from oleanderhill.serving import learned_timing, slow_start, target_speeds

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants."""
    learned = "test_learned_timing"
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
    ]
