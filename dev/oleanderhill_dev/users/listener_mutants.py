"""The safeguards of connections that a listener owns, each with its proof."""

from __future__ import annotations

from oleanderhill import listener
from oleanderhill.serving.front import Front

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants of what is closed at the end of a drain."""
    drain = "test_front.DrainTest"
    return [
        Mutant(
            "a connection of which bytes were read is not idle",
            [(listener._Stream, "read_from_fd", listener.IOStream.read_from_fd)],
            testing(
                f"{drain}.test_request_that_arrives_while_the_event_loop_is_held_up_is_answered"
            ),
        ),
        Mutant(
            "a connection in whose socket bytes wait is not idle",
            [(listener.Connection, "unread", False)],
            testing(
                f"{drain}"
                ".test_request_that_waits_in_the_socket_as_the_listening_time_ends_is_answered"
            ),
        ),
        Mutant(
            "connections that wait are accepted before listening ends",
            [(listener, "BACKLOG", 0)],
            testing(
                "test_front.RefuseTest.test_connection_that_waits_to_be_accepted_as_others_are_refused_is_served"
            ),
        ),
        Mutant(
            "a new connection has time to bring its request",
            [(listener, "MIN_IDLE_SECONDS", 0.0)],
            testing(
                "test_front.NewConnectionTest.test_new_connection_has_time_to_bring_its_request"
            ),
        ),
        Mutant(
            "a connection that was idle for too long is looked at once more",
            [(listener.Connection, "idle", True)],
            testing(
                "test_front.IdleTimeoutTest"
                ".test_request_that_arrives_as_its_connection_has_been_idle_too_long_is_answered"
            ),
        ),
        Mutant(
            "a drain ends when all connections are closed",
            [(listener.HttpListener, "until_closed", _until_nothing)],
            testing(f"{drain}.test_process_waits_until_an_answer_has_been_written_whole"),
        ),
        Mutant(
            "requests that outlast the grace period get an answer",
            [(Front, "_end_requests", lambda self: None)],
            testing(f"{drain}.test_request_that_outlasts_the_grace_period_gets_a_final_answer"),
        ),
    ]


async def _until_nothing(self: listener.HttpListener, deadline: float) -> None:
    """Don't wait."""
