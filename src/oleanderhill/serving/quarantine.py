"""Detects requests that crash targets, sends updates to peers, and records them in the store.

The decisions are made without I/O in :mod:`..routing.crashes`. This task checks whether a target
whose connections were lost still listens, writes suspected and quarantined subjects to the store,
where the records outlive all entry hosts, and logs when one is suspected, quarantined or cleared.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful

from ..clients.listening import CHECK_DELAYS, ListenStatus
from ..clients.storage import NEVER, Item, Lease, Revision, Storage, StoreConflictError, Write
from ..clock import boottime_seconds
from ..groups.inventory import Inventory
from ..groups.ownership import Presence, rank_by_strength
from ..kernel import Kernel, Task
from ..outcomes import Problem, Ran
from ..records import Records
from ..routing.crash_news import EndingNews
from ..routing.crash_verdicts import MIN_CRASHES
from ..routing.crashes import QUARANTINE_SECONDS, CrashTracker, PartCrash
from ..routing.identity import is_part, part_identities, scope
from ..types import Member

QUARANTINE_PREFIX = "oleanderhill/quarantined/"

WRITE_STAGGER = 1.0
"""Seconds by which each entry host waits longer than the previous one before it writes a record.
One write suffices; the next host writes only if the record doesn't appear."""

WRITERS = 3
"""Entry hosts that may write a record: the first one, and two replacements."""

WRITE_VISIBLE_SECONDS = 1.0
"""Seconds until a write appears in a read of the store. After a write conflict, the record is
checked again after this time."""

WRITE_ATTEMPTS = 20
WRITE_RETRY_SECONDS = 2.0
"""Seconds between attempts while the store is unavailable, for over 40 s in total. Until an attempt
succeeds, the quarantine exists only in the memory of the entry hosts."""


WRITTEN_EVENTS = 2
"""Events after which a request is being written for certain. A target may send one and crash."""


class Subjects(NamedTuple):
    """What crashes under a request are recorded for, see :mod:`..routing.crash_verdicts`.

    :param parts: shared parts of its prompt, in their order
    :param scope: service and model
    """

    request: str
    parts: tuple[str, ...] = ()
    scope: str = ""

    @property
    def all(self) -> tuple[str, ...]:
        """The request and its parts."""
        return (self.request, *self.parts)


def subjects_of(request: str, service: str, model: str, parts: Sequence[str]) -> Subjects:
    """Return the subjects of a request.

    :param request: identity of the request
    :param parts: ids of the shared parts of its prompt
    """
    return Subjects(request, part_identities(service, model, parts), scope(service, model))


class QuarantineRecord(msgspec.Struct):
    """Stored record of a subject that is quarantined or suspected.

    :param host: entry host that wrote it
    :param endings: incarnations of targets that crashed under it, each with all requests that were
        in flight and for how many seconds. Without the other requests, this one would seem to have
        been alone at each crash
    :param quarantined: whether the subject is sent to no target; if false, it is only suspected,
        and its next attempts decide whether it is quarantined
    :param part_crashes: what a part is suspected for; ages count from the writing
    """

    host: str
    endings: dict[str, dict[str, float]] = {}
    quarantined: bool = True
    part_crashes: dict[str, PartCrash] = {}


class _Stored(NamedTuple):
    record: QuarantineRecord
    revision: Revision


class TargetCheck(NamedTuple):
    """Message that requests a check of whether a target with lost connections still listens."""

    host: str
    incarnation: str
    address: str


class QuarantineTask(Task):
    """Owns the crash tracker, the checks of targets, and the records in the store.

    :param alive: returns the entry hosts that are present
    :param check_listening: returns whether a host, given by name and address, still listens in the
        same incarnation
    """

    name = "quarantine"
    interval = 1.0

    def __init__(
        self,
        kernel: Kernel,
        me: Presence,
        storage: Storage,
        inventory: Inventory,
        alive: Callable[[], Mapping[str, Presence]],
        check_listening: Callable[[str, str], Awaitable[ListenStatus]],
        records: Records,
    ) -> None:
        super().__init__(kernel)
        self._me = me
        self._storage = storage
        self._inventory = inventory
        self._alive = alive
        self._check_listening = check_listening
        self._records = records
        self._crashes = CrashTracker()
        self._stored: dict[str, _Stored] = {}
        self._restored = False
        self._storing: set[str] = set()
        self._lease_by_identity: dict[str, Lease] = {}
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    def count_targets(self, targets: int) -> None:
        """Record the number of targets that currently serve."""
        self._crashes.targets = targets

    @property
    def sizes(self) -> tuple[int, int]:
        """Return the number of tracked crashes and of quarantined requests."""
        return self._crashes.sizes

    async def tick(self) -> None:
        """Drop expired crashes, and the records of requests that were cleared."""
        self._crashes.forget(boottime_seconds())
        for identity in [i for i in self._lease_by_identity if not self._needs_record(i)]:
            await self._storage.end(self._lease_by_identity.pop(identity))

    # Interface for requests

    def rejection_for(self, subjects: Subjects, ran: Ran) -> Problem | None:
        """Return why a request must not be sent, ``None`` if it may be."""
        now = boottime_seconds()
        problems = (self._crashes.problem(s, now, ran) for s in subjects.all)
        return next((p for p in problems if p is not None), None)

    def may_send(self, subjects: Subjects) -> bool:
        """Return whether a request may be sent now."""
        return all(self._crashes.quarantined(s) is None for s in subjects.all)

    def crash_count(self, identity: str) -> int:
        """Return how many targets are known to have crashed under a request."""
        return len(self._crashes.crashes_of(identity))

    def begin(self, subjects: Subjects) -> asyncio.Future[None]:
        """Return a future that completes if a request is quarantined while it is at a target."""
        quarantined = asyncio.get_running_loop().create_future()
        for subject in subjects.all:
            self._waiters.setdefault(subject, set()).add(quarantined)
        return quarantined

    def end(self, subjects: Subjects, quarantined: asyncio.Future[None]) -> None:
        """Discard a future that :meth:`begin` returned."""
        for subject in subjects.all:
            waiters = self._waiters.get(subject, set())
            waiters.discard(quarantined)
            if not waiters:
                self._waiters.pop(subject, None)

    def attempt_lost(
        self, subjects: Subjects, request_id: str, at: Member, ran_for: float, events: int
    ) -> None:
        """Record that an attempt was lost at a target after it was sent.

        :param ran_for: seconds that it spent there
        :param events: events of the stream that the target had written
        """
        known = self._inventory.incarnation_of(at.host)
        if known is None or self._inventory.by_instance[known].leaving:
            # A leaving target closes connections as planned, so a loss is no evidence of a crash.
            return
        incarnation = at.boot_id
        identity = subjects.request
        parts = subjects.parts if events < WRITTEN_EVENTS else ()
        new = self._crashes.lost(identity, incarnation, ran_for, boottime_seconds(), parts)
        self._records.request(
            request_id,
            "suspect",
            False,
            same_as=identity,
            instance=incarnation,
            losses=self._crashes.loss_count(identity),
            ran_s=round(ran_for, 3),
            parts=parts,
        )
        if str(known) != incarnation:
            self.incarnation_ended(incarnation, "listed in a later incarnation")
        elif new:
            self.put(TargetCheck(at.host, incarnation, at.address))

    def written(self, subjects: Subjects, request_id: str) -> None:
        """Record that a target writes the answer of a request; called once for each attempt."""
        now = boottime_seconds()
        self._crashes.scope_answered(subjects.scope, now)
        for part in self._crashes.parts_written(subjects.parts, now):
            self._records.request(request_id, "cleared", False, same_as=part)

    def answered(self, subjects: Subjects, request_id: str) -> None:
        """Record that a request got a complete answer."""
        identity = subjects.request
        cleared, quarantined = self._crashes.answered(identity, boottime_seconds())
        if cleared:
            self._records.request(request_id, "cleared", False, same_as=identity)
            self._handle_quarantined(quarantined, f"{identity} was cleared", 0.0)

    def progress(self, incarnation: str, asked: bool = False) -> None:
        """Record that an incarnation sent something.

        :param asked: whether it answered a check that was made after its connections were lost
        """
        if self._crashes.record_sign_of_life(incarnation, boottime_seconds(), asked):
            self._records.note("quarantine", "incarnation still running", instance=incarnation)

    def incarnation_ended(self, incarnation: str, reason: str) -> None:
        """Record that an incarnation is known to have ended."""
        self._handle_quarantined(
            self._crashes.confirm_ended(incarnation, boottime_seconds()),
            f"{incarnation} {reason}",
            0.0,
        )

    # Interface for peers

    def pending_updates(self, again: bool) -> list[EndingNews]:
        """Return the updates to send to peers."""
        found = self._crashes.judge_parts(boottime_seconds())
        self._handle_quarantined(found, "no request with it was written since", 0.0)
        return self._crashes.pending_updates(self._me.name, boottime_seconds(), again)

    def apply_peer_update(self, update: EndingNews) -> None:
        """Apply an update from a peer."""
        rows = (*update.quarantined.values(), *update.quarantined_parts.values())
        oldest = max((row.age for row in rows), default=0.0)
        self._handle_quarantined(
            self._crashes.apply_peer_update(update, boottime_seconds()),
            f"peer {update.sender}",
            oldest,
        )

    # Interface for the store

    def restored(self, now: float) -> None:
        """Record that the store was restored from a backup, which may lack records."""
        del now
        self._restored = True

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Replace all records by those read from the store."""
        listed = {item.key.removeprefix(QUARANTINE_PREFIX) for item in items}
        restored, self._restored = self._restored, False
        for identity in self._stored.keys() - listed:
            if restored:
                # The backup lacks the record. Unlike a deletion this is no release: the crashes are
                # still known here, and the record is written again.
                del self._stored[identity]
                self._ensure_stored(identity)
            else:
                self._release(identity)
        for item in items:
            self.change(item.key, item.value, item.revision, now)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Apply one change of a record; return whether it had an effect."""
        del now
        identity = key.removeprefix(QUARANTINE_PREFIX)
        if value is None:
            return self._release(identity)
        try:
            record = msgspec.json.decode(value, type=QuarantineRecord)
        except msgspec.DecodeError as error:
            self._records.note("store", "malformed", key=key, reason=str(error))
            return False
        self._stored[identity] = _Stored(record, revision)
        reason = f"store, by {record.host}"
        if not record.quarantined:
            self._records.note("quarantine", "suspected", same_as=identity, reason=reason)
            found = self._crashes.restore_crashes(
                record.endings, boottime_seconds(), record.part_crashes
            )
            self._handle_quarantined(found, reason, 0.0)
        elif self._crashes.quarantine(identity, tuple(record.endings), boottime_seconds()):
            self._handle_quarantined([identity], reason, 0.0)
        return True

    def _release(self, identity: str) -> bool:
        if self._stored.pop(identity, None) is None:
            return False
        self._crashes.release(identity, boottime_seconds())
        self._records.note("quarantine", "released for one attempt", same_as=identity)
        return True

    # Internals

    def _handle_quarantined(self, identities: Sequence[str], reason: str, age: float) -> None:
        """Log and store newly quarantined and suspected requests; notify waiters of the former."""
        for identity in identities:
            self._records.note(
                "quarantine",
                "quarantined",
                same_as=identity,
                lives=self._crashes.quarantined(identity),
                reason=reason,
                age_s=round(age, 2),
            )
            for waiter in self._waiters.get(identity, ()):
                if not waiter.done():
                    waiter.set_result(None)
            self._ensure_stored(identity)
        for identity in self._crashes.pop_new_suspects():
            incarnations = list(self._crashes.crashes_of(identity))
            self._records.note(
                "quarantine", "suspected", same_as=identity, lives=incarnations, reason=reason
            )
            self._ensure_stored(identity)

    def _ensure_stored(self, identity: str) -> None:
        if identity not in self._storing and not self._is_stored(identity):
            self._storing.add(identity)
            self.spawn(self._store_record(identity))

    def _is_stored(self, identity: str) -> bool:
        """Return whether the store has the record of a request, or none is needed."""
        stored = self._stored.get(identity)
        if self._crashes.quarantined(identity) is not None:
            return stored is not None and stored.record.quarantined
        return stored is not None or not self._needs_record(identity)

    def _needs_record(self, identity: str) -> bool:
        """Return whether a subject is quarantined or has enough crashes to be stored."""
        if self._crashes.quarantined(identity) is not None:
            return True
        if is_part(identity):
            return self._crashes.suspects(identity)
        return len(self._crashes.crashes_of(identity)) >= MIN_CRASHES

    def dispatch(self, message: object) -> None:
        """Handle a message; the only kind requests a check of a target."""
        if isinstance(message, TargetCheck):
            self.spawn(self._check_target(message))

    async def _check_target(self, check: TargetCheck) -> None:
        found = ListenStatus.SILENT
        for seconds in CHECK_DELAYS:
            await asyncio.sleep(seconds)
            found = await self._check_listening(check.host, check.address)
            if found == ListenStatus.REFUSED:
                self.incarnation_ended(check.incarnation, "refuses connections")
                break
            if found == ListenStatus.SAME_INCARNATION:
                self.progress(check.incarnation, asked=True)
                break
        self._records.note("quarantine", "looked", instance=check.incarnation, found=found.value)

    async def _store_record(self, identity: str) -> None:
        """Write the record of a request to the store, unless another entry host does."""
        try:
            order = rank_by_strength(f"quarantined/{identity}", self._alive().values(), WRITERS)
            if self._me.name not in order:
                return
            await asyncio.sleep(order.index(self._me.name) * WRITE_STAGGER)
            for _ in range(WRITE_ATTEMPTS):
                if self._is_stored(identity):
                    return
                wait = WRITE_VISIBLE_SECONDS if await self._write(identity) else WRITE_RETRY_SECONDS
                await asyncio.sleep(wait)
            self._records.note("quarantine", "not kept", same_as=identity, tries=WRITE_ATTEMPTS)
        finally:
            self._storing.discard(identity)

    async def _write(self, identity: str) -> bool:
        """Write a record under its own lease; return whether the store has a record now."""
        granted = await self._storage.grant(QUARANTINE_SECONDS)
        if not is_successful(granted):
            return False
        quarantined = self._crashes.quarantined(identity)
        endings = {} if is_part(identity) else self._crashes.crashes_of(identity)
        endings = endings or {i: {} for i in quarantined or ()}
        record = QuarantineRecord(self._me.name, endings, quarantined is not None)
        if is_part(identity) and quarantined is None:
            record.part_crashes = self._crashes.part_crashes_of(identity, boottime_seconds())
        key, stored = QUARANTINE_PREFIX + identity, self._stored.get(identity)
        write = Write(key, msgspec.json.encode(record), granted.unwrap())
        revision = NEVER if stored is None else stored.revision
        written = await self._storage.commit({key: revision}, [write])
        if is_successful(written):
            self._stored[identity] = _Stored(record, written.unwrap())
            self._lease_by_identity[identity] = granted.unwrap()
            self._records.note(
                "quarantine", "kept", same_as=identity, quarantined=record.quarantined
            )
            return True
        await self._storage.end(granted.unwrap())
        return isinstance(written.failure(), StoreConflictError)
