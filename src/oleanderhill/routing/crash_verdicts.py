"""Decides from crashes of targets which request or part of prompts causes them.

Does no I/O. Both are *subjects*: a request is identified by its content, a part of a prompt by its
id within one service and model (:mod:`.identity`).

A request is quarantined when it was in flight at :data:`MIN_CRASHES` crashes or more, and these are
:data:`MIN_LIKELIHOOD_RATIO` times less likely by chance than if the request caused them. Chance is
estimated from the rate of the crashes without the request, and crashes that another suspect
explains are left out. At :data:`CERTAIN_CRASHES` crashes the likelihood no longer matters. Requests
that were in flight at the same crashes cannot be distinguished; none of them is quarantined until
their crashes differ.

A part is contained in many requests, most of them harmless, so it needs more. Its crashes must
not be at the same moment, as when a rack is lost. No request with it may have been written since,
while others of the same service and model were. And neither a request nor another part may explain
all of its crashes.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence, Set
from typing import NamedTuple

from .identity import is_part

MIN_CRASHES = 3
"""Crashes with a subject in flight that are required to quarantine it. When a whole data centre is
lost, many requests are in flight at two of its crashes by chance."""

MIN_LIKELIHOOD_RATIO = 1_000_000
"""Factor by which the crashes must be less likely by chance than caused by the subject."""

MIN_RUN_TIME = 0.1
"""Minimum run time, in seconds, that is assumed for a request; shorter times depend mostly on the
network round trip."""

RATE_WINDOW_LEAD = 1.0
"""The rate of crashes without a subject is measured from this many seconds before the first crash
with it."""

CERTAIN_CRASHES = 5
"""Crashes that quarantine a request however many other crashes there were. A caller sends a request
twice, each time to two targets, so one that only ran beside a crash-causing request is in flight at
four crashes at most."""

SAME_MOMENT_SECONDS = 0.05
"""Crashes that follow each other within this time may have one cause outside of all requests."""

ACQUITTAL_SECONDS = 0.5
"""Seconds after the last crash with a part in which a harmless request with it would have been
written. It is less than the time for which a suspected part is held."""

MIN_OTHER_ANSWERS = 3
"""Answers of the same service and model after the last crash with a part, which show that requests
without it are answered."""


class Crash:
    """The loss of an incarnation, ``confirmed`` as a crash once it is known to have ended.

    :ivar explained: a request caused it that was quarantined and released since
    :ivar in_flight: run times in seconds, by subject
    """

    def __init__(self, at: float) -> None:
        self.at = at
        self.confirmed = False
        self.explained = False
        self.in_flight: dict[str, float] = {}
        self.changed_at = at


class Evidence(NamedTuple):
    """What a verdict is based on.

    :param confirmed: crashes by incarnation of the target
    :param quarantined: subjects that are quarantined
    :param targets: number of targets that serve now
    """

    confirmed: Mapping[str, Crash]
    quarantined: Set[str]
    targets: int


def find_request(evidence: Evidence, on_probation: Callable[[str], bool]) -> str | None:
    """Return a request that the crashes show to be crash-causing, ``None`` if none."""
    unexplained = {
        incarnation: c
        for incarnation, c in evidence.confirmed.items()
        if not c.explained and not c.in_flight.keys() & evidence.quarantined
    }
    all_by_subject = _requests(incarnations_by_subject(evidence.confirmed))
    own_by_subject = _requests(incarnations_by_subject(unexplained))
    suspects = {i for i, incarnations in own_by_subject.items() if len(incarnations) > 1}
    for subject in sorted(own_by_subject):
        if on_probation(subject):
            return subject
        incarnations, others = all_by_subject[subject], suspects - {subject}
        if len(incarnations) < MIN_CRASHES or any(
            incarnations <= all_by_subject[i] for i in others
        ):
            continue
        certain = len(incarnations) >= CERTAIN_CRASHES and subject in suspects
        if certain or _is_unlikely_by_chance(subject, unexplained, others, evidence.targets):
            return subject
    return None


def find_part(
    evidence: Evidence,
    depth_by_part: Mapping[str, int],
    answers_since: Callable[[str, float], int],
    on_probation: Callable[[str], bool],
    now: float,
) -> str | None:
    """Return a part of prompts that the crashes show to be crash-causing, ``None`` if none.

    :param depth_by_part: position of each part in the prompts
    :param answers_since: returns how many requests of the service and model of a part were answered
        after a time
    """
    unexplained = {
        incarnation: c
        for incarnation, c in evidence.confirmed.items()
        if not c.explained and not any(map(is_part, c.in_flight.keys() & evidence.quarantined))
    }
    by_subject = incarnations_by_subject(unexplained)
    for part in sorted(filter(is_part, by_subject), key=lambda p: (-depth_by_part.get(p, 0), p)):
        held = by_subject[part]
        crashes = [unexplained[incarnation] for incarnation in held]
        last = max(c.at for c in crashes)
        if now - last < ACQUITTAL_SECONDS:
            continue
        if on_probation(part):
            return part
        certain = moments(crashes) >= CERTAIN_CRASHES
        if (
            is_suspected(part, crashes)
            and answers_since(part, last) >= (1 if certain else MIN_OTHER_ANSWERS)
            and not _is_explained_by_requests(part, crashes, by_subject, evidence.quarantined)
            and not _is_explained_by_part(part, by_subject, depth_by_part, certain)
            and _is_unlikely_by_chance(part, unexplained, frozenset(), evidence.targets)
        ):
            return part
    return None


def is_suspected(subject: str, crashes: Sequence[Crash]) -> bool:
    """Return whether confirmed crashes suffice to send a subject only once at a time."""
    return (moments(crashes) if is_part(subject) else len(crashes)) >= MIN_CRASHES


def moments(crashes: Sequence[Crash]) -> int:
    """Return the number of crashes, those at the same moment counted once."""
    times = sorted(c.at for c in crashes)
    pairs = zip(times, times[1:], strict=False)
    return len(times[:1]) + sum(b - a > SAME_MOMENT_SECONDS for a, b in pairs)


def incarnations_by_subject(crash_by_incarnation: Mapping[str, Crash]) -> dict[str, set[str]]:
    """Return the incarnations that crashed under each subject."""
    found: dict[str, set[str]] = {}
    for incarnation, crash in crash_by_incarnation.items():
        for subject in crash.in_flight:
            found.setdefault(subject, set()).add(incarnation)
    return found


def _requests(by_subject: Mapping[str, set[str]]) -> dict[str, set[str]]:
    return {subject: held for subject, held in by_subject.items() if not is_part(subject)}


def _is_explained_by_requests(
    part: str,
    crashes: Sequence[Crash],
    by_subject: Mapping[str, set[str]],
    quarantined: Set[str],
) -> bool:
    """Return whether requests may explain the crashes of a part.

    Blaming one request harms fewer callers. Two crashes without any request that is blamed for
    others show that the part goes on crashing targets in other requests.
    """
    held = by_subject[part]
    if any(held <= other for s, other in by_subject.items() if not is_part(s)):
        return True
    without = sum(not c.in_flight.keys() & quarantined for c in crashes)
    return without < min(2, len(crashes))


def _is_explained_by_part(
    part: str,
    by_subject: Mapping[str, set[str]],
    depth_by_part: Mapping[str, int],
    certain: bool,
) -> bool:
    """Return whether another part may explain the crashes of a part.

    Of parts that were always together, the deeper one is contained in fewer requests.
    """
    held = by_subject[part]
    for other, other_held in by_subject.items():
        if other == part or not is_part(other) or not held <= other_held:
            continue
        deeper = depth_by_part.get(part, 0) > depth_by_part.get(other, 0)
        if not (certain and held == other_held and deeper):
            return True
    return False


def _is_unlikely_by_chance(
    subject: str, unexplained: Mapping[str, Crash], others: Set[str], targets: int
) -> bool:
    """Return whether chance is too unlikely an explanation of a subject's crashes.

    Crashes that another suspect explains as well are not evidence against this subject.

    :param unexplained: crashes that no quarantined subject explains
    :param others: other subjects that were in flight at more than one of them
    """
    own = [c for c in unexplained.values() if subject in c.in_flight]
    if not own:
        return False
    since, until = min(c.at for c in own) - RATE_WINDOW_LEAD, max(c.at for c in own)
    by_chance = sum(
        subject not in c.in_flight and since <= c.at <= until for c in unexplained.values()
    )
    rate = (by_chance + 1) / (max(1, targets) * (until - since))
    unshared = [c.in_flight[subject] for c in own if not c.in_flight.keys() & others]
    return math.prod(1 / (rate * max(MIN_RUN_TIME, s)) for s in unshared) >= MIN_LIKELIHOOD_RATIO
