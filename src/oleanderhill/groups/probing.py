"""Asking the hosts of a group that may have lost one whether they are there, and how often."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection

ASK_AGAIN = 0.1
"""Seconds after which a question without an answer is asked once more, beside the first. A host
answers in a few ms. One after the other, with 0.4 s for each, two questions found a lost member
half a second later, in which its group's requests stall."""

ROUND_PAUSE = 0.1
"""Seconds between two rounds of questions to a group that has a silent member."""

LONGEST_PAUSE = 0.8
"""Seconds between two rounds at most: a member that is lost after all answered is found within it,
while its entry would show it in three heartbeats, over three seconds."""


class Rounds:
    """When the members of a suspected group are asked again.

    A group is suspected for two seconds after a request of anybody stalled in it. Most such groups
    are whole, and busy. Asked every 0.1 s, the 32 members of each got twenty rounds of questions;
    in a fleet of 1,095 hosts that was one question for each request, each with its price at the
    host. A lost member shows in the first round; while all answer, the pauses double.
    """

    def __init__(self) -> None:
        self._asking: set[str] = set()
        self._pause: dict[str, float] = {}
        self._next_at: dict[str, float] = {}

    def begin(self, group: str, now: float) -> bool:
        """Tell whether a suspected group is to be asked now; it then counts as being asked."""
        if group in self._asking or now < self._next_at.get(group, float("-inf")):
            return False
        self._asking.add(group)
        return True

    def end(self, group: str, silent: bool, now: float) -> None:
        """Take note of the end of a round, and whether a member was silent."""
        self._asking.discard(group)
        pause = ROUND_PAUSE if silent else self._pause.get(group, ROUND_PAUSE)
        self._next_at[group] = now + pause
        self._pause[group] = ROUND_PAUSE if silent else min(LONGEST_PAUSE, 2 * pause)

    def forget_all_but(self, planned: Collection[str]) -> None:
        """Drop what is kept of groups that are planned no more."""
        for group in [g for g in self._next_at if g not in planned]:
            self.trust(group)

    def trust(self, group: str) -> None:
        """Take note that a group is not suspected: the next suspicion is asked about at once."""
        self._pause.pop(group, None)
        self._next_at.pop(group, None)


async def silences(ask: Callable[[], Awaitable[bool]]) -> int:
    """Return how many questions a host left unanswered, 0 if it answered one.

    :param ask: asks once, on a connection of its own, and returns whether an answer came in time
    """
    first = asyncio.ensure_future(ask())
    await asyncio.wait({first}, timeout=ASK_AGAIN)
    if first.done() and first.result():
        return 0
    second, first_answered = await asyncio.gather(ask(), first)
    return 0 if second or first_answered else 2
