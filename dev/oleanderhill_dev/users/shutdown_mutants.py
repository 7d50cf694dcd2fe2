"""The safeguards of requests that arrive while an entry host shuts down, each with its proof."""

from __future__ import annotations

from oleanderhill.serving.driver import Exchange
from oleanderhill.serving.shutdown import Shutdown

from ..proving import Mutant, testing


def _send_always(self: Shutdown, deadline: float, now: float, may_have_run: bool) -> bool:
    """Return ``True``, whatever is left of the process."""
    return True


def _move(self: Shutdown, now: float) -> None:
    """Record the latest stop signal."""
    self.requested_at = now


_may_send = Shutdown.may_send


def _refuse_again(self: Shutdown, deadline: float, now: float, may_have_run: bool) -> bool:
    """Return whether a request may be sent, as if it had not run."""
    return _may_send(self, deadline, now, False)


def mutants() -> list[Mutant]:
    """Return the mutants of the shutdown."""
    late = "test_late_requests"
    return [
        Mutant(
            "a request that may outlast the process is sent to no target",
            [(Shutdown, "may_send", _send_always)],
            testing(
                "test_shutdown.PlayTest.test_requests_around_a_stop_signal_end_whole_or_are_refused_as_not_run"
            ),
        ),
        Mutant(
            "each request is compared with what is left of the process",
            [(Exchange, "_shutdown_problem", lambda self: None)],
            testing(
                f"{late}.KeptConnectionTest"
                ".test_stream_that_may_outlast_its_process_is_refused_as_not_run"
            ),
        ),
        Mutant(
            "a request that may have run is tried again",
            [(Shutdown, "may_send", _refuse_again)],
            testing(f"{late}.LaterDecisionTest.test_request_that_may_have_run_is_tried_again_late"),
        ),
        Mutant(
            "a second stop signal does not move the end",
            [(Shutdown, "request", _move)],
            testing("test_shutdown.ShutdownTest.test_second_stop_signal_does_not_move_the_end"),
        ),
    ]
