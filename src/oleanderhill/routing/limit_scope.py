"""Rate limits of targets: who shares one, over which window it is checked, and when it ends."""

from __future__ import annotations

from typing import NamedTuple


class LimitScope(NamedTuple):
    """How the entry hosts share a kind of rate limit.

    Each sharer spaces its requests by a full interval, so in any window all sharers together exceed
    the limit by at most one request each.

    :param window: seconds over which the limit is checked
    :param base_sharers: entry hosts that share a limit near zero
    :param sharers_per_rate: additional sharers for each request a second
    :param new_sharer_delay: seconds that a new sharer waits, as the host that it replaces may have
        just sent
    :param min_rate: lowest rate at which a target is sent requests, in requests a second
    """

    name: str
    window: float
    base_sharers: int
    sharers_per_rate: float
    new_sharer_delay: float
    min_rate: float


class TimedLimit(NamedTuple):
    """A rate limit of one incarnation of a target, for all entry hosts together.

    :param rate: requests a second
    :param ends_at: monotonic time of its end, ``None`` until another statement ends it
    """

    scope: LimitScope
    rate: float
    ends_at: float | None = None
