"""How long a request waits at a target that shows nothing before it goes to another."""

from __future__ import annotations

from ..settings.catalog import Repeatable, Route

RESUME_TAKES = 0.11
"""Seconds from the decision to go elsewhere to the next event there: a connection, the reading of
the prompt and of what was written so far, and one pass of the engine."""

SHORTEST_PAUSE = 0.09
"""Seconds that a healthy stream may pause: a pass of seven steps of 7 ms, with the prompts of two
newcomers read in between."""

FIRST_EVENT_PART = 0.8
"""Part of the goal after which a request without its first event goes elsewhere: earlier, a queue
would be taken for a stall; the answer is late then, but it comes."""

PLAIN_PART = 0.45
"""Part of the time-out after which a repeatable request to a plain target goes elsewhere: enough
is left for a second target to answer in."""


def stall_after(route: Route, begun: bool) -> float:
    """Return the seconds without progress after which a target counts as stuck.

    :param begun: the first event has come
    """
    if route.repeatable != Repeatable.STREAM:
        return route.timeout * PLAIN_PART
    if begun:
        return max(SHORTEST_PAUSE, route.pause_goal - RESUME_TAKES)
    return max(SHORTEST_PAUSE, route.goal * FIRST_EVENT_PART)
