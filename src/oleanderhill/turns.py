"""Turns of an event loop, for work that would keep other coroutines waiting."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

MAX_WAITING = 8
"""Coroutines that may wait for a turn. With more, those that had the most turns give way."""

MAX_CONTENDED_TURNS = 256
"""Turns that one piece of work may take while others wait."""


class _Waiting(NamedTuple):
    taken: int
    turn: asyncio.Future[bool]


class Turns:
    """Lets waiting coroutines go on, one in each pass of the event loop, in their order."""

    def __init__(self) -> None:
        self._waiting: list[_Waiting] = []
        self._scheduled = False
        self.refused = 0

    def __len__(self) -> int:
        """Return the number of coroutines that wait."""
        return len(self._waiting)

    def wait(self, taken: int) -> asyncio.Future[bool]:
        """Return a future that tells whether the caller has its turn or gives way for good.

        :param taken: turns that its work has had
        """
        loop = asyncio.get_running_loop()
        newest = _Waiting(taken, loop.create_future())
        self._waiting = [w for w in self._waiting if not w.turn.done()]
        if self._waiting and taken >= MAX_CONTENDED_TURNS:
            self._refuse(newest)
            return newest.turn
        self._waiting.append(newest)
        if len(self._waiting) > MAX_WAITING:
            most = max(self._waiting, key=lambda w: w.taken)
            self._waiting.remove(most)
            self._refuse(most)
        self._schedule(loop)
        return newest.turn

    def _refuse(self, waiting: _Waiting) -> None:
        self.refused += 1
        waiting.turn.set_result(False)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            loop.call_soon(self._next, loop)

    def _next(self, loop: asyncio.AbstractEventLoop) -> None:
        self._scheduled = False
        while self._waiting:
            turn = self._waiting.pop(0).turn
            if not turn.done():
                turn.set_result(True)
                break
        self._schedule(loop)
