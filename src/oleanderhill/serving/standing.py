"""What an answer to a request can still be, and who gets the places where they are short.

When more is asked than the engines can run, the requests that come back after a refusal are late
whatever happens, and those that wait in a queue become late. Taken in the order of their coming,
they fill every place, the fresh ones behind them become late too, and the overload outlives its
cause. So an engine's group takes no more than it runs at once and the few that are on time though
they wait for a place, and a late request only where it leaves places free for those that can be on
time. It answers the load of a shortage: some of the groups lost, or more callers than all of them
can serve. In peace all find a place at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Standing(StrEnum):
    """Where a request stands."""

    BEGUN = "begun"
    """Its caller has a part of the stream; it is on time if the rest goes on soon."""

    FRESH = "fresh"
    """It can be on time."""

    LATE = "late"
    """Its caller was refused before and came back, or it has waited at a target in vain."""


class Room(NamedTuple):
    """What a request finds at a target.

    :param places: requests up to which a target takes one more, in parts of what it runs at once
    :param urgency: steps by which the rank of a request, 0 being the most urgent, is moved there
    """

    places: float
    urgency: int


ROOM_AT_ENGINE: Mapping[Standing, Room] = {
    # It goes first in the engine's queue, and starts when the next place comes free: after 0.1 s.
    Standing.BEGUN: Room(1.8, -2),
    # Where the engine's terms are not known: of thirteen, two may wait.
    Standing.FRESH: Room(1.1, 0),
    # Four places of thirteen are left free for those that can be on time.
    Standing.LATE: Room(0.7, 3),
}
"""Room at a group of an engine."""

ROOM_AT_PLAIN: Mapping[Standing, Room] = {
    Standing.BEGUN: Room(1.8, 0),
    Standing.FRESH: Room(1.2, 0),
    Standing.LATE: Room(1.8, 0),
}
"""Room at a plain target, which takes some tens of milliseconds for a request: one that waits for
another is on time all the same, and one that is late takes little from anybody."""


def standing(returned: bool, arrived: int, begun: bool) -> Standing:
    """Return where a request stands.

    :param returned: its caller was refused before and came back
    :param arrived: targets that it was sent to
    :param begun: its caller has the first event
    """
    if begun:
        return Standing.BEGUN
    return Standing.LATE if returned or arrived else Standing.FRESH


def room(standing: Standing, generates: bool, waiting: float | None = None) -> Room:
    """Return the room for a request.

    :param generates: it runs in an engine, for a second and more
    :param waiting: requests that may wait so that the last is on time, in parts of what the target
        runs at once; ``None`` where that is not known
    """
    if not generates:
        return ROOM_AT_PLAIN[standing]
    found = ROOM_AT_ENGINE[standing]
    if standing == Standing.FRESH and waiting is not None:
        return found._replace(places=1 + waiting)
    return found
