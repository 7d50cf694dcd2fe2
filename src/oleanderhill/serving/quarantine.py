"""Finds out which requests end targets, tells the other entry hosts, and has the store keep it.

The account itself is pure (:mod:`..routing.endings`). This task looks whether a target whose
connections were lost still listens, writes what was quarantined into the store, where it outlives
all entry hosts, and says in the log when a request becomes suspect, is quarantined or cleared.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful

from ..clients.listening import LOOK_AFTER, Listening
from ..clients.storage import NEVER, Item, Lease, Revision, Storage, StoreConflictError, Write
from ..clock import awake_or_not
from ..groups.inventory import Inventory
from ..groups.ownership import Presence, ranked
from ..kernel import Kernel, Task
from ..outcomes import Problem, Ran
from ..records import Records
from ..routing.endings import ENOUGH, REMEMBERED, EndingBook, EndingNews
from ..types import Member

QUARANTINE_PREFIX = "oleanderhill/quarantined/"

WRITE_AFTER = 1.0
"""Seconds by which each entry host waits longer than the one before it to write a quarantine: one
write does for all, the others write if it does not show."""

WRITERS = 3
"""Entry hosts that may write it: the first, and two in its place."""

WRITE_SHOWS = 1.0
"""Seconds after which a write shows in a reading; one that came second is looked at then."""

WRITE_TRIES = 20
WRITE_AGAIN = 2.0
"""Seconds between tries while the store is away, for over 40 s; so long peers alone remember."""


class QuarantineRecord(msgspec.Struct):
    """What the store keeps of a request under which enough targets ended.

    :param host: entry host that wrote it
    :param endings: lives of targets that ended under it, each with all that were in flight and for
        how many seconds: without the others, each of them would seem to have been alone
    :param quarantined: it is sent to nobody; otherwise what it does next decides
    """

    host: str
    endings: dict[str, dict[str, float]] = {}
    quarantined: bool = True


class _Stored(NamedTuple):
    record: QuarantineRecord
    revision: Revision


class Look(NamedTuple):
    """Ask whether anybody listens where a life was lost."""

    host: str
    life: str
    address: str


class QuarantineTask(Task):
    """Owns the account of endings, the looks at targets, and the records in the store.

    :param alive: returns the entry hosts that are there
    :param look: tells of a host's name and address whether it is there, and the same
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
        look: Callable[[str, str], Awaitable[Listening]],
        records: Records,
    ) -> None:
        super().__init__(kernel)
        self._me = me
        self._storage = storage
        self._inventory = inventory
        self._alive = alive
        self._look = look
        self._records = records
        self._book = EndingBook()
        self._stored: dict[str, _Stored] = {}
        self._restored = False
        self._keeping: set[str] = set()
        self._lease_by_identity: dict[str, Lease] = {}
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}

    def count_targets(self, targets: int) -> None:
        """Take note of how many targets serve now."""
        self._book.targets = targets

    @property
    def sizes(self) -> tuple[int, int]:
        """Return how many endings and quarantined requests are kept."""
        return self._book.sizes

    async def tick(self) -> None:
        """Drop what is too old to count, and the records of those who were cleared."""
        self._book.forget(awake_or_not())
        for identity in [i for i in self._lease_by_identity if not self._is_needed(i)]:
            await self._storage.end(self._lease_by_identity.pop(identity))

    # For requests

    def problem(self, identity: str, ran: Ran) -> Problem | None:
        """Return why a request is not sent, ``None`` for one that may be."""
        return self._book.problem(identity, awake_or_not(), ran)

    def may_send(self, identity: str) -> bool:
        """Tell whether a request may be sent at this very moment."""
        return self._book.quarantined(identity) is None

    def endings(self, identity: str) -> int:
        """Return how many targets are known to have ended under a request."""
        return len(self._book.endings_of(identity))

    def begin(self, identity: str) -> asyncio.Future[None]:
        """Return what is done when a request is quarantined while it is at a target."""
        told = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(identity, set()).add(told)
        return told

    def end(self, identity: str, told: asyncio.Future[None]) -> None:
        """Forget what :meth:`begin` returned."""
        waiting = self._waiting.get(identity, set())
        waiting.discard(told)
        if not waiting:
            self._waiting.pop(identity, None)

    def lost(self, identity: str, request_id: str, at: Member, ran_for: float) -> None:
        """Take note that a try of a request was lost at a target, after it was sent there.

        :param ran_for: seconds for which it was there
        """
        known = self._inventory.life_of(at.host)
        if known is None or self._inventory.by_instance[known].leaving:
            # On its way out as planned: what it cuts then is no sign.
            return
        life = at.boot_id
        new = self._book.lost(identity, life, ran_for, awake_or_not())
        self._records.request(
            request_id,
            "suspect",
            False,
            same_as=identity,
            instance=life,
            losses=self._book.suspicion(identity),
            ran_s=round(ran_for, 3),
        )
        if str(known) != life:
            self.over(life, "listed in a later life")
        elif new:
            self.put(Look(at.host, life, at.address))

    def answered(self, identity: str, request_id: str) -> None:
        """Take note of a whole answer to a request."""
        cleared, quarantined = self._book.answered(identity, awake_or_not())
        if cleared:
            self._records.request(request_id, "cleared", False, same_as=identity)
            self._quarantined(quarantined, f"{identity} was cleared", 0.0)

    def progress(self, life: str, asked: bool = False) -> None:
        """Take note that a life sent something.

        :param asked: it answers a question that was put after its connections were lost
        """
        if self._book.lives(life, awake_or_not(), asked):
            self._records.note("quarantine", "life goes on", instance=life)

    def over(self, life: str, reason: str) -> None:
        """Take note that a life is known to be over."""
        self._quarantined(self._book.over(life, awake_or_not()), f"{life} {reason}", 0.0)

    # For peers

    def news(self, again: bool) -> list[EndingNews]:
        """Return what to tell the other entry hosts."""
        return self._book.news(self._me.name, awake_or_not(), again)

    def hear(self, news: EndingNews) -> None:
        """Take what another entry host tells."""
        oldest = max((c.age for c in news.quarantined.values()), default=0.0)
        self._quarantined(self._book.hear(news, awake_or_not()), f"peer {news.sender}", oldest)

    # For the store

    def restored(self, now: float) -> None:
        """Take note that the store was restored from a backup, which may lack records."""
        del now
        self._restored = True

    def replace(self, items: Sequence[Item], now: float) -> None:
        """Take all records of the store anew."""
        listed = {item.key.removeprefix(QUARANTINE_PREFIX) for item in items}
        restored, self._restored = self._restored, False
        for identity in self._stored.keys() - listed:
            if restored:
                # Lost, not taken away: what targets ended under is still known.
                del self._stored[identity]
                self._have_kept(identity)
            else:
                self._release(identity)
        for item in items:
            self.change(item.key, item.value, item.revision, now)

    def change(self, key: str, value: bytes | None, revision: Revision, now: float) -> bool:
        """Take one change of a record; return whether it meant anything."""
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
            found = self._book.recall(record.endings, awake_or_not())
            self._quarantined(found, reason, 0.0)
        elif self._book.quarantine(identity, tuple(record.endings), awake_or_not()):
            self._quarantined([identity], reason, 0.0)
        return True

    def _release(self, identity: str) -> bool:
        if self._stored.pop(identity, None) is None:
            return False
        self._book.release(identity, awake_or_not())
        self._records.note("quarantine", "may be tried once", same_as=identity)
        return True

    # The task's own work

    def _quarantined(self, identities: Sequence[str], reason: str, age: float) -> None:
        for identity in identities:
            self._records.note(
                "quarantine",
                "quarantined",
                same_as=identity,
                lives=self._book.quarantined(identity),
                reason=reason,
                age_s=round(age, 2),
            )
            for told in self._waiting.get(identity, ()):
                if not told.done():
                    told.set_result(None)
            self._have_kept(identity)
        for identity in self._book.take_suspected():
            lives = list(self._book.endings_of(identity))
            self._records.note(
                "quarantine", "suspected", same_as=identity, lives=lives, reason=reason
            )
            self._have_kept(identity)

    def _have_kept(self, identity: str) -> None:
        if identity not in self._keeping and not self._is_kept(identity):
            self._keeping.add(identity)
            self.spawn(self._keep(identity))

    def _is_kept(self, identity: str) -> bool:
        """Tell whether the store holds what is known of a request, or nothing is to be held."""
        stored = self._stored.get(identity)
        if self._book.quarantined(identity) is not None:
            return stored is not None and stored.record.quarantined
        return stored is not None or not self._is_needed(identity)

    def _is_needed(self, identity: str) -> bool:
        """Tell whether enough is known of a request for the store to hold it."""
        if self._book.quarantined(identity) is not None:
            return True
        return len(self._book.endings_of(identity)) >= ENOUGH

    def dispatch(self, message: object) -> None:
        """Take a message: all of them ask for a look at a target."""
        if isinstance(message, Look):
            self.spawn(self._look_at(message))

    async def _look_at(self, at: Look) -> None:
        found = Listening.SILENT
        for seconds in LOOK_AFTER:
            await asyncio.sleep(seconds)
            found = await self._look(at.host, at.address)
            if found == Listening.REFUSED:
                self.over(at.life, "nobody listens")
                break
            if found == Listening.THE_SAME:
                self.progress(at.life, asked=True)
                break
        self._records.note("quarantine", "looked", instance=at.life, found=found.value)

    async def _keep(self, identity: str) -> None:
        """Have the store keep what is known of a request, unless another entry host does."""
        try:
            order = ranked(f"quarantined/{identity}", self._alive().values(), WRITERS)
            if self._me.name not in order:
                return
            await asyncio.sleep(order.index(self._me.name) * WRITE_AFTER)
            for _ in range(WRITE_TRIES):
                if self._is_kept(identity):
                    return
                wait = WRITE_SHOWS if await self._write(identity) else WRITE_AGAIN
                await asyncio.sleep(wait)
            self._records.note("quarantine", "not kept", same_as=identity, tries=WRITE_TRIES)
        finally:
            self._keeping.discard(identity)

    async def _write(self, identity: str) -> bool:
        """Write a record under a lease of its own; return whether it is in the store."""
        granted = await self._storage.grant(REMEMBERED)
        if not is_successful(granted):
            return False
        quarantined = self._book.quarantined(identity)
        endings = self._book.endings_of(identity) or {life: {} for life in quarantined or ()}
        record = QuarantineRecord(self._me.name, endings, quarantined is not None)
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
