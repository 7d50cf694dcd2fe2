"""The safeguards against parts of prompts that crash targets, each with the proof that needs it."""

from __future__ import annotations

from oleanderhill.routing import crash_verdicts, crashes

from ..proving import Mutant, testing

_PROOFS = "test_crash_parts.PartVerdictTest"


def mutants() -> list[Mutant]:
    """Return the mutants of the verdicts on parts."""
    return [
        Mutant(
            "a part of a request that is written is cleared",
            [(crashes.CrashTracker, "parts_written", lambda self, parts, now: [])],
            testing(f"{_PROOFS}.test_part_of_a_request_that_is_written_is_cleared"),
        ),
        Mutant(
            "crashes at the same moment count once",
            [(crash_verdicts, "SAME_MOMENT_SECONDS", -1.0)],
            testing(
                f"{_PROOFS}"
                ".test_parts_in_flight_when_a_rack_is_lost_are_neither_held_nor_quarantined"
            ),
        ),
        Mutant(
            "requests without the part must have been answered",
            [(crash_verdicts, "MIN_OTHER_ANSWERS", 0)],
            testing(f"{_PROOFS}.test_part_is_quarantined_once_requests_without_it_are_answered"),
        ),
        Mutant(
            "a part isn't blamed for one request",
            [(crash_verdicts, "_is_explained_by_requests", lambda *evidence: False)],
            testing(f"{_PROOFS}.test_part_is_not_blamed_for_one_request_that_crashes_targets"),
        ),
        Mutant(
            "suspicion of a part outlasts all processes",
            [(crashes.CrashTracker, "part_crashes_of", lambda self, part, now: {})],
            testing(f"{_PROOFS}.test_suspected_part_is_suspected_after_all_processes_restarted"),
        ),
    ]
