"""Detects crash-causing requests (queries of death): they crash each target that runs them.

Does no I/O.

When a target crashes, all requests that it was running are retried elsewhere. If one of them caused
the crash, it crashes the next target too, for as long as it is sent again, under any id and through
any entry host. Crashes are therefore recorded by the content of a request
(:mod:`..requests.identity`) instead of its id, and against the request as well as the target.

A crash counts only when the incarnation of the target is known to have ended: its address refuses
connections, or the host list says so. A lost connection alone does not count.

A request is quarantined when it was in flight at :data:`MIN_CRASHES` crashes or more, and these are
:data:`MIN_LIKELIHOOD_RATIO` times less likely by chance than if the request caused them. Chance is
estimated from the rate of the crashes without the request, and crashes that another suspect
explains are left out. At :data:`CERTAIN_CRASHES` crashes the likelihood no longer matters. Requests
that were in flight at the same crashes cannot be distinguished; none of them is quarantined until
their crashes differ. A request that has since received a complete answer is cleared.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple, TypeVar

import msgspec

from ..outcomes import Problem, Ran, ends_targets, held_back

_Value = TypeVar("_Value")

MIN_CRASHES = 3
"""Crashes with a request in flight that are required to quarantine it. When a whole data centre is
lost, many requests are in flight at two of its crashes by chance."""

MIN_LIKELIHOOD_RATIO = 1_000_000
"""Factor by which the crashes must be less likely by chance than caused by the request."""

MIN_RUN_TIME = 0.1
"""Minimum run time, in seconds, that is assumed for a request; shorter times depend mostly on the
network round trip."""

RATE_WINDOW_LEAD = 1.0
"""The rate of crashes without a request is measured from this many seconds before the first crash
with it."""

CERTAIN_CRASHES = 5
"""Crashes that quarantine a request however many other crashes there were. A caller sends a request
twice, each time to two targets, so one that only ran beside a crash-causing request is in flight at
four crashes at most."""

CRASH_CONFIRMED_WITHIN = 15.0
"""Seconds after a loss within which the incarnation must be known to have ended. The host list
drops a host after three missed heartbeats (3.6 s). After a store outage, the drop is visible up to
two seconds later."""

HOLD_SECONDS = 1.0
"""Seconds that a request with :data:`MIN_CRASHES` crashes waits after a loss for its next attempt.
The result of one attempt reaches every entry host before the next attempt, and no other request is
in flight with it at all of its crashes. With one attempt at a time, five crashes identify any
crash-causing request, and a harmless request is delayed by one second."""

QUARANTINE_SECONDS = 600.0
"""Seconds for which a crash counts and a quarantined request is rejected: the longest lease of the
store. After that, one more crash quarantines the request again."""

SIGN_OF_LIFE_DELAY = 0.3
"""Seconds after a loss from which on bytes from an incarnation prove that it is alive. Bytes that
are read earlier may have been waiting in a socket when it crashed."""

MAX_CRASHES = 64
MAX_IN_FLIGHT_PER_CRASH = 64
"""Requests stored for one crash; engines run 10 to 13 at once and queue a few."""

MAX_QUARANTINED = 256
MAX_CLEARED = 256
"""Bounds on the stored requests, however many arrive."""

REPEAT_SECONDS = 0.5
"""Seconds for which an update is repeated, five times in all, so that no update is lost with one
datagram."""

RESEND_SECONDS = 10.0
"""Seconds for which crashes and clearings are also included in the periodic full updates, for peers
that were partitioned or overloaded for a moment."""

IN_FLIGHT_PER_DATAGRAM = 24
"""Requests of one crash in one datagram. With names of 32 characters the largest datagram had 1,117
bytes and fits into one frame."""

QUARANTINED_PER_DATAGRAM = 6
"""Quarantined requests in one datagram, each with up to five incarnations of some 25 characters."""


class Quarantined(NamedTuple):
    """A request that is no longer sent to any target.

    :param age: seconds since it was quarantined
    :param incarnations: incarnations of targets that crashed while running it
    """

    age: float
    incarnations: tuple[str, ...]


class EndingNews(msgspec.Struct, omit_defaults=True, tag="endings"):
    """An update sent between entry hosts; applying it twice has no further effect.

    Ages and run times are in seconds.

    :param endings: by incarnation: the age of the loss, whether the incarnation is known to have
        ended, and the requests that were in flight with their run times
    :param living: incarnations that showed a sign of life after a host recorded their loss, with
        the age of the sign
    :param cleared: requests that received a complete answer after a loss, with the age of the
        answer
    """

    sender: str
    endings: dict[str, tuple[float, bool, dict[str, float]]] = {}
    living: dict[str, float] = {}
    cleared: dict[str, float] = {}
    quarantined: dict[str, Quarantined] = {}


class _Crash:
    """The loss of an incarnation, ``confirmed`` as a crash once it is known to have ended.

    :ivar explained: a request caused it that was quarantined and released since
    """

    def __init__(self, at: float) -> None:
        self.at = at
        self.confirmed = False
        self.explained = False
        self.in_flight: dict[str, float] = {}
        self.changed_at = at


class CrashTracker:
    """The crashes that this entry host observed or learned from peers.

    ``targets`` is the number of targets that serve now; the rate of crashes by chance is per
    target.
    """

    def __init__(self) -> None:
        self.targets = 1
        self._evaluated = True
        self._suspected: set[str] = set()
        self._newly_suspected: list[str] = []
        self._crash_by_incarnation: dict[str, _Crash] = {}
        self._cleared_at: dict[str, float] = {}
        self._alive_at: dict[str, float] = {}
        self._quarantined_at: dict[str, float] = {}
        self._incarnations_by_quarantined: dict[str, tuple[str, ...]] = {}
        self._probation_until: dict[str, float] = {}

    # Local observations

    def lost(self, identity: str, incarnation: str, ran_for: float, now: float) -> bool:
        """Record an attempt lost at an incarnation; return whether it is the first loss there.

        :param ran_for: seconds for which the attempt had been running
        """
        new = incarnation not in self._crash_by_incarnation
        self._add_to_crash(incarnation, now, {identity: ran_for}, now)
        return new

    def confirm_ended(self, incarnation: str, now: float) -> list[str]:
        """Record that an incarnation has ended; return the requests that this quarantines.

        Without a recent loss this does not count as a crash, as a target may also stop as planned.
        """
        crash = self._crash_by_incarnation.get(incarnation)
        if crash is None or crash.confirmed or now - crash.at > CRASH_CONFIRMED_WITHIN:
            return []
        crash.confirmed, crash.changed_at = True, now
        self._evaluated = False
        return self._quarantine_suspects(now)

    def record_sign_of_life(self, incarnation: str, now: float, asked: bool = False) -> bool:
        """Record a sign of life; return whether it cancels a recorded crash.

        :param asked: whether the sign of life is the answer to a probe sent after the loss
        """
        crash = self._crash_by_incarnation.get(incarnation)
        if crash is None or (now - crash.at < SIGN_OF_LIFE_DELAY and not asked):
            return False
        del self._crash_by_incarnation[incarnation]
        _put_bounded(self._alive_at, incarnation, now, MAX_CRASHES)
        return True

    def answered(self, identity: str, now: float) -> tuple[bool, list[str]]:
        """Record a complete answer, which clears a request.

        :return: whether the request was suspected, and the requests that are quarantined because
            this one no longer explains their crashes
        """
        if not self.loss_count(identity) and identity not in self._quarantined_at:
            return False, []
        self._mark_cleared(identity, now)
        return True, self._quarantine_suspects(now)

    def quarantine(self, identity: str, incarnations: tuple[str, ...], at: float) -> bool:
        """Record that a request is quarantined; return whether that is new.

        A clearing that is newer than the quarantine takes precedence.
        """
        if self._cleared_at.get(identity, float("-inf")) > at:
            return False
        is_new = identity not in self._quarantined_at
        if is_new:
            _put_bounded(self._quarantined_at, identity, at, MAX_QUARANTINED)
            self._incarnations_by_quarantined[identity] = incarnations
            for gone in self._incarnations_by_quarantined.keys() - self._quarantined_at.keys():
                del self._incarnations_by_quarantined[gone]
        return is_new

    def restore_crashes(
        self, in_flight_by_incarnation: Mapping[str, Mapping[str, float]], now: float
    ) -> list[str]:
        """Restore crashes from before the start of this process; return the requests quarantined.

        Their times are no longer known, so they are recorded with the current time.

        :param in_flight_by_incarnation: requests in flight at each crash, with their run times in
            seconds
        """
        for incarnation, in_flight in in_flight_by_incarnation.items():
            crash = self._add_to_crash(incarnation, now, in_flight, now)
            if crash is not None and not crash.confirmed:
                crash.confirmed, self._evaluated = True, False
        return self._quarantine_suspects(now)

    def pop_new_suspects(self) -> list[str]:
        """Return the requests that reached :data:`MIN_CRASHES` crashes since the previous call."""
        found, self._newly_suspected = self._newly_suspected, []
        return found

    def crashes_of(self, identity: str) -> dict[str, dict[str, float]]:
        """Return the incarnations that crashed under a request, with all requests in flight."""
        return {
            incarnation: dict(c.in_flight)
            for incarnation, c in self._crash_by_incarnation.items()
            if c.confirmed and identity in c.in_flight
        }

    def release(self, identity: str, now: float) -> None:
        """End a quarantine. The request may be tried again, but is on probation.

        One more crash with it in flight then quarantines it again.
        """
        if self._quarantined_at.pop(identity, None) is None:
            return
        self._incarnations_by_quarantined.pop(identity, None)
        for crash in self._crash_by_incarnation.values():
            # Requests that ran beside it must not be blamed for its crashes.
            crash.explained |= crash.in_flight.pop(identity, None) is not None
        _put_bounded(self._probation_until, identity, now + QUARANTINE_SECONDS, MAX_QUARANTINED)

    # Queries

    def quarantined(self, identity: str) -> tuple[str, ...] | None:
        """Return the incarnations that a quarantined request crashed, ``None`` for any other."""
        if identity not in self._quarantined_at:
            return None
        return self._incarnations_by_quarantined[identity]

    def problem(self, identity: str, now: float, ran: Ran) -> Problem | None:
        """Return why a request may not be sent, ``None`` if it may.

        :param ran: whether it was run, as far as is known
        """
        incarnations = self.quarantined(identity)
        if incarnations is not None:
            return ends_targets(len(incarnations), ran)
        wait = self.hold(identity, now)
        return held_back(wait, ran) if wait else None

    def loss_count(self, identity: str) -> int:
        """Return at how many losses a request was in flight, confirmed as crashes or not."""
        return sum(identity in c.in_flight for c in self._crash_by_incarnation.values())

    def hold(self, identity: str, now: float) -> float:
        """Return the seconds that a request must wait before its next attempt, 0 for none."""
        lost = [c for c in self._crash_by_incarnation.values() if identity in c.in_flight]
        if sum(c.confirmed for c in lost) < MIN_CRASHES:
            return 0.0
        return max(0.0, HOLD_SECONDS - (now - max(c.at for c in lost)))

    @property
    def sizes(self) -> tuple[int, int]:
        """Return the numbers of stored losses (confirmed or not) and quarantined requests."""
        return len(self._crash_by_incarnation), len(self._quarantined_at)

    # Updates between entry hosts

    def pending_updates(self, sender: str, now: float, again: bool) -> list[EndingNews]:
        """Return the updates to send to peers, each of which fits into a datagram.

        :param again: whether to make a full update: all quarantined requests, and what else changed
            in the last :data:`RESEND_SECONDS` instead of :data:`REPEAT_SECONDS`
        """
        within = RESEND_SECONDS if again else REPEAT_SECONDS
        due_crashes = [
            (n, c) for n, c in self._crash_by_incarnation.items() if now - c.changed_at <= within
        ]
        updates = [
            EndingNews(sender, {incarnation: (round(now - c.at, 3), c.confirmed, chunk)})
            for incarnation, c in due_crashes
            for chunk in _in_flight_chunks(c.in_flight)
            or [{}]  # without requests in flight a crash still counts for the rate
        ]
        cleared = {
            i: round(now - at, 3) for i, at in self._cleared_at.items() if now - at <= within
        }
        living = {n: round(now - at, 3) for n, at in self._alive_at.items() if now - at <= within}
        updates += [
            EndingNews(sender, cleared={i: cleared[i] for i in c}) for c in _chunks([*cleared])
        ]
        updates += [
            EndingNews(sender, living={n: living[n] for n in c}) for c in _chunks([*living])
        ]
        due = [i for i, at in self._quarantined_at.items() if again or now - at <= REPEAT_SECONDS]
        for chunk in _chunks(due, QUARANTINED_PER_DATAGRAM):
            rows = {i: self._quarantined_row(i, now) for i in chunk}
            updates.append(EndingNews(sender, quarantined=rows))
        return updates

    def apply_peer_update(self, update: EndingNews, now: float) -> list[str]:
        """Apply an update of a peer; return the requests that this quarantines."""
        for identity, age in update.cleared.items():
            if now - age > self._cleared_at.get(identity, float("-inf")) + SIGN_OF_LIFE_DELAY:
                self._mark_cleared(identity, now - age)
        for incarnation, age in update.living.items():
            if self.record_sign_of_life(incarnation, now - age):
                self._alive_at[incarnation] = now - age
        found = [
            i
            for i, row in update.quarantined.items()
            if self.quarantine(i, row.incarnations, now - row.age)
        ]
        for incarnation, (age, confirmed, in_flight) in update.endings.items():
            crash = self._add_to_crash(incarnation, now - age, in_flight, now)
            if crash is not None and confirmed and not crash.confirmed:
                crash.confirmed, crash.changed_at = True, now
                self._evaluated = False
        return [*found, *self._quarantine_suspects(now)]

    def forget(self, now: float) -> None:
        """Drop expired entries and release requests whose quarantine is over."""
        for incarnation, crash in list(self._crash_by_incarnation.items()):
            if now - crash.at > (QUARANTINE_SECONDS if crash.confirmed else CRASH_CONFIRMED_WITHIN):
                del self._crash_by_incarnation[incarnation]
        for identity in [
            i for i, at in self._quarantined_at.items() if now - at > QUARANTINE_SECONDS
        ]:
            self.release(identity, now)
        for table in (self._cleared_at, self._alive_at, self._probation_until):
            for key in [k for k, at in table.items() if now - at > QUARANTINE_SECONDS]:
                del table[key]

    def _quarantined_row(self, identity: str, now: float) -> Quarantined:
        incarnations = self._incarnations_by_quarantined[identity][:CERTAIN_CRASHES]
        return Quarantined(round(now - self._quarantined_at[identity], 3), incarnations)

    def _add_to_crash(
        self, incarnation: str, at: float, in_flight: Mapping[str, float], now: float
    ) -> _Crash | None:
        """Add requests in flight to the crash of an incarnation, except those cleared since.

        Return ``None`` if a later sign of life shows that the incarnation did not crash.
        """
        if self._alive_at.get(incarnation, float("-inf")) >= at + SIGN_OF_LIFE_DELAY:
            return None
        crash = self._crash_by_incarnation.get(incarnation)
        if crash is None:
            crash = _Crash(at)
            _put_bounded(self._crash_by_incarnation, incarnation, crash, MAX_CRASHES)
        for identity, seconds in in_flight.items():
            cleared = self._cleared_at.get(identity, float("-inf")) > at
            if (
                cleared
                or identity in crash.in_flight
                or len(crash.in_flight) >= MAX_IN_FLIGHT_PER_CRASH
            ):
                continue
            crash.in_flight[identity] = seconds
            crash.changed_at = now
            self._evaluated = self._evaluated and not crash.confirmed
        return crash

    def _mark_cleared(self, identity: str, at: float) -> None:
        for crash in self._crash_by_incarnation.values():
            if crash.at < at and crash.in_flight.pop(identity, None) is not None:
                self._evaluated = False
        if self._quarantined_at.get(identity, float("inf")) < at:
            del self._quarantined_at[identity]
            del self._incarnations_by_quarantined[identity]
        _put_bounded(self._cleared_at, identity, at, MAX_CLEARED)

    def _quarantine_suspects(self, now: float) -> list[str]:
        """Quarantine crash-causing requests; return them. Does nothing if no input has changed.

        Peers repeat their updates, and evaluating 64 crashes of 64 requests takes 2.3 ms.
        """
        if self._evaluated:
            return []
        self._evaluated = True
        found = []
        while (identity := self._find_crash_causing_request(now)) is not None:
            incarnations = tuple(
                n for n, c in self._crash_by_incarnation.items() if identity in c.in_flight
            )
            self.quarantine(identity, incarnations, now)
            found.append(identity)
        confirmed = _incarnations_by_identity(
            {n: c for n, c in self._crash_by_incarnation.items() if c.confirmed}
        )
        suspected = {i for i, held in confirmed.items() if len(held) >= MIN_CRASHES}
        self._newly_suspected += sorted(suspected - self._suspected - self._quarantined_at.keys())
        self._suspected = suspected
        return found

    def _find_crash_causing_request(self, now: float) -> str | None:
        """Return a request that the recorded crashes show to be crash-causing, ``None`` if none."""
        confirmed = {
            incarnation: c for incarnation, c in self._crash_by_incarnation.items() if c.confirmed
        }
        unexplained = {
            incarnation: c
            for incarnation, c in confirmed.items()
            if not c.explained and not c.in_flight.keys() & self._quarantined_at.keys()
        }
        all_by_identity = _incarnations_by_identity(confirmed)
        own_by_identity = _incarnations_by_identity(unexplained)
        suspects = {i for i, incarnations in own_by_identity.items() if len(incarnations) > 1}
        for identity in sorted(own_by_identity):
            if self._probation_until.get(identity, float("-inf")) > now:
                return identity
            incarnations, others = all_by_identity[identity], suspects - {identity}
            if len(incarnations) < MIN_CRASHES or any(
                incarnations <= all_by_identity[i] for i in others
            ):
                continue
            certain = len(incarnations) >= CERTAIN_CRASHES and identity in suspects
            if certain or self._is_unlikely_by_chance(identity, unexplained, others):
                return identity
        return None

    def _is_unlikely_by_chance(
        self, identity: str, unexplained: Mapping[str, _Crash], others: Set[str]
    ) -> bool:
        """Return whether chance is too unlikely an explanation of a request's crashes.

        Crashes that another suspect explains as well are not evidence against this request.

        :param unexplained: crashes without any quarantined request in flight
        :param others: other requests that were in flight at more than one of them
        """
        own = [c for c in unexplained.values() if identity in c.in_flight]
        since, until = min(c.at for c in own) - RATE_WINDOW_LEAD, max(c.at for c in own)
        by_chance = sum(
            identity not in c.in_flight and since <= c.at <= until for c in unexplained.values()
        )
        rate = (by_chance + 1) / (max(1, self.targets) * (until - since))
        unshared = [c.in_flight[identity] for c in own if not c.in_flight.keys() & others]
        return (
            math.prod(1 / (rate * max(MIN_RUN_TIME, s)) for s in unshared) >= MIN_LIKELIHOOD_RATIO
        )


def _incarnations_by_identity(crash_by_incarnation: Mapping[str, _Crash]) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for incarnation, crash in crash_by_incarnation.items():
        for identity in crash.in_flight:
            found.setdefault(identity, set()).add(incarnation)
    return found


def _chunks(names: Sequence[str], size: int = IN_FLIGHT_PER_DATAGRAM) -> list[list[str]]:
    return [list(names[n : n + size]) for n in range(0, len(names), size)]


def _in_flight_chunks(in_flight: Mapping[str, float]) -> list[dict[str, float]]:
    return [{i: round(in_flight[i], 2) for i in chunk} for chunk in _chunks(sorted(in_flight))]


def _put_bounded(table: dict[str, _Value], key: str, value: _Value, limit: int) -> None:
    """Store a value as the newest; drop the oldest ones above the limit."""
    table.pop(key, None)
    table[key] = value
    while len(table) > limit:
        del table[next(iter(table))]
