"""Asking a host that may be lost whether it is there, twice within the time of one question."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

ASK_AGAIN = 0.1
"""Seconds after which a question without an answer is asked once more, beside the first. A host
answers in a few ms. One after the other, with 0.4 s for each, two questions found a lost member
half a second later, in which its group's requests stall."""


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
