"""Probes of the members of a suspected group, and their schedule."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection
from enum import StrEnum
from typing import NamedTuple

SECOND_PROBE_DELAY = 0.1
"""Seconds after which a second probe is sent concurrently with an unanswered first one. A host
answers in a few milliseconds. Two sequential probes with a timeout of 0.4 s each detected a lost
member half a second later, while requests of its group stalled."""

ROUND_INTERVAL = 0.1
"""Seconds between probe rounds of a group with a silent member."""

MAX_ROUND_INTERVAL = 0.8
"""Maximum seconds between probe rounds. A member that fails after all have answered is detected
within this time; its missing heartbeats would show only after three intervals, over three
seconds."""


class ProbeOutcome(StrEnum):
    """What a probe tells of a host."""

    ANSWERED = "answered"
    SILENT = "silent"
    """Nothing came in time. A sound host may be silent for about a second."""

    GONE = "gone"
    """The connection was refused or closed, or another host answered."""

    NO_PATH = "no path"
    """Nothing: the own links or those to a peer may be why there was no answer."""


class ProbeRounds:
    """Schedules the probe rounds of suspected groups.

    A group is suspected for two seconds after any request stalls in it. Most suspected groups are
    complete and merely busy. With a fixed interval of 0.1 s, each of the 32 members of a group
    received twenty probes; in a fleet of 1,095 hosts that was one probe per request, each at a cost
    to the host. A lost member is detected in the first round, so the interval doubles while all
    members answer.
    """

    def __init__(self) -> None:
        self._in_progress: set[str] = set()
        self._pause: dict[str, float] = {}
        self._next_at: dict[str, float] = {}

    def begin(self, group: str, now: float) -> bool:
        """Return whether to probe a suspected group now, and if so start a round."""
        if group in self._in_progress or now < self._next_at.get(group, float("-inf")):
            return False
        self._in_progress.add(group)
        return True

    def end(self, group: str, silent: bool, now: float) -> None:
        """Record the end of a round and whether a member did not answer."""
        self._in_progress.discard(group)
        pause = ROUND_INTERVAL if silent else self._pause.get(group, ROUND_INTERVAL)
        self._next_at[group] = now + pause
        self._pause[group] = ROUND_INTERVAL if silent else min(MAX_ROUND_INTERVAL, 2 * pause)

    def retain(self, planned: Collection[str]) -> None:
        """Discard the state of groups that are no longer planned."""
        for group in [g for g in self._next_at if g not in planned]:
            self.clear(group)

    def clear(self, group: str) -> None:
        """Reset a group that is not suspected; the next suspicion starts a round immediately."""
        self._pause.pop(group, None)
        self._next_at.pop(group, None)


class ProbeRound(NamedTuple):
    """Probes of one host, sent together.

    :param unanswered: number of them without an answer, 0 if one was answered
    :param silent: whether nothing at all came from the host
    """

    unanswered: int
    silent: bool = False


async def count_unanswered(ask: Callable[[], Awaitable[ProbeOutcome]]) -> ProbeRound | None:
    """Probe a host up to twice; return the unanswered probes, none if it answered one.

    :param ask: sends one probe on its own connection and waits for its outcome
    :return: ``None`` if no probe tells anything of the host
    """
    first = asyncio.ensure_future(ask())
    await asyncio.wait({first}, timeout=SECOND_PROBE_DELAY)
    if first.done() and first.result() == ProbeOutcome.ANSWERED:
        return ProbeRound(0)
    outcomes = await asyncio.gather(ask(), first)
    if ProbeOutcome.ANSWERED in outcomes:
        return ProbeRound(0)
    telling = [o for o in outcomes if o != ProbeOutcome.NO_PATH]
    return ProbeRound(len(telling), ProbeOutcome.GONE not in telling) if telling else None
