"""The safeguards against clients outside the limits, each with its proof."""

from __future__ import annotations

import asyncio

from oleanderhill import connection_memory, listener, turns
from oleanderhill.serving import front

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants of what clients may make a process hold."""
    memory, refused = "test_connection_memory", "test_refused_bodies.RefusedBodyTest"
    return [
        Mutant(
            "what holds most for longest goes first",
            [(connection_memory.Holding, "cost", lambda holding, now: holding.waits_since)],
            testing(
                f"{memory}.ChoiceTest.test_body_that_has_waited_longest_for_its_size_goes_first"
            ),
        ),
        Mutant(
            "no small request pays for a large one",
            [(connection_memory, "SMALL_BYTES", 0)],
            testing(f"{memory}.ChoiceTest.test_small_requests_do_not_pay_for_large_ones"),
        ),
        Mutant(
            "requests under way don't make room",
            [(connection_memory.Holding, "idle_bytes", property(lambda holding: holding.held))],
            testing(f"{memory}.ChoiceTest.test_requests_under_way_are_not_ended"),
        ),
        Mutant(
            "unsent answers are counted",
            [(listener.Connection, "bytes_written", lambda connection, count: None)],
            testing(f"{memory}.HeldTest.test_answer_that_is_not_read_makes_room_for_others"),
        ),
        Mutant(
            "a connection of a refused body is closed",
            [(listener.Connection, "discard_body", lambda connection: None)],
            testing(f"{refused}.test_connection_of_a_refused_body_that_stops_is_closed"),
        ),
        Mutant(
            "long work goes on only while nobody else waits",
            [(turns.Turns, "_refuse", lambda self, waiting: waiting.turn.set_result(True))],
            testing("test_turns.TurnsTest.test_long_work_goes_on_only_while_nobody_else_waits"),
        ),
        Mutant(
            "small chunks are read in turns",
            [(turns.Turns, "wait", _at_once)],
            testing("test_turns.TurnsTest.test_one_goes_on_in_each_pass_in_the_order_of_waiting"),
        ),
        Mutant(
            "connections that wait longest make room",
            [(listener.HttpListener, "_close_longest", lambda self: 0)],
            testing(
                "test_many_connections.ManyConnectionsTest"
                ".test_idle_connections_make_room_in_the_order_of_their_waiting"
            ),
        ),
        Mutant(
            "a body has a time",
            [(front, "body_seconds", lambda caller_timeout: 3600.0)],
            testing(
                "test_client_limits.SlowCallerTest"
                ".test_body_that_outlasts_its_callers_timeout_is_answered_as_not_run"
            ),
        ),
    ]


def _at_once(self: turns.Turns, taken: int) -> asyncio.Future[bool]:
    """Grant a turn at once."""
    turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    turn.set_result(True)
    return turn
