"""Updates between entry hosts about crashes of targets and the subjects that cause them.

Parts of prompts have fields of their own, which hosts of an earlier release skip. These would take
a part for a request, and a part that many requests share for one that explains all crashes.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec

SUBJECTS_PER_DATAGRAM = 24
"""Subjects of one crash in one datagram. With names of 32 characters the largest datagram had 1,117
bytes and fits into one frame."""

QUARANTINED_PER_DATAGRAM = 6
"""Quarantined subjects in one datagram, each with up to five incarnations of some 25 characters."""


class Quarantined(NamedTuple):
    """A subject that is no longer sent to any target.

    :param age: seconds since it was quarantined
    :param incarnations: incarnations of targets that crashed while running it
    """

    age: float
    incarnations: tuple[str, ...]


class PartInFlight(NamedTuple):
    """A part of the prompt of a request that was lost with a target.

    :param depth: position of the part in the prompt
    """

    seconds: float
    depth: int


class EndingNews(msgspec.Struct, omit_defaults=True, tag="endings"):
    """An update sent between entry hosts; applying it twice has no further effect.

    Ages and run times are in seconds.

    :param endings: by incarnation: the age of the loss, whether the incarnation is known to have
        ended, and the requests that were in flight with their run times
    :param living: incarnations that showed a sign of life after a host recorded their loss, with
        the age of the sign
    :param cleared: requests that received a complete answer after a loss, with the age of the
        answer
    :param part_endings: like ``endings``, for parts of prompts
    :param cleared_parts: parts of which a request was written after a loss, with its age
    """

    sender: str
    endings: dict[str, tuple[float, bool, dict[str, float]]] = {}
    living: dict[str, float] = {}
    cleared: dict[str, float] = {}
    quarantined: dict[str, Quarantined] = {}
    part_endings: dict[str, tuple[float, bool, dict[str, PartInFlight]]] = {}
    cleared_parts: dict[str, float] = {}
    quarantined_parts: dict[str, Quarantined] = {}


def chunks(names: Sequence[str], size: int = SUBJECTS_PER_DATAGRAM) -> list[list[str]]:
    """Return names in lists that each fit into a datagram."""
    return [list(names[n : n + size]) for n in range(0, len(names), size)]


def in_flight_chunks(in_flight: Mapping[str, float]) -> list[dict[str, float]]:
    """Return run times by request in mappings that each fit into a datagram."""
    return [{i: round(in_flight[i], 2) for i in chunk} for chunk in chunks(sorted(in_flight))]


def part_chunks(
    in_flight: Mapping[str, float], depth_by_part: Mapping[str, int]
) -> list[dict[str, PartInFlight]]:
    """Return run times and depths by part in mappings that each fit into a datagram."""
    return [
        {p: PartInFlight(round(in_flight[p], 2), depth_by_part.get(p, 0)) for p in chunk}
        for chunk in chunks(sorted(in_flight))
    ]
