"""Hears the rate limits that targets name, tells the other entry hosts, and logs what changes.

What may be sent is decided by the pure account (:mod:`..routing.target_limits`).
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..exposition import Exposition
from ..groups.inventory import Instance, Inventory, TargetHost
from ..kernel import Kernel, Task
from ..records import Records
from ..routing.target_limits import (
    UNREADABLE_RATE,
    Asked,
    LimitChange,
    LimitNews,
    TargetLimits,
)
from .forwarding import NamedLimit

ASK_EVERY = 2.0
"""Seconds between two questions to a limited member of a group that gets no requests."""


class Source(NamedTuple):
    """Where a statement of a limit comes from.

    :param asked_at: when what the target answers was sent
    """

    asked: Asked
    asked_at: float
    request_id: str = ""


class TargetLimitTask(Task):
    """Keeps the account of limits by what targets and peers say.

    :param groups: returns the lives of each group that serves, its head first
    :param ask: probes a host in one life at its address; its answer is heard like any other
    :param may_ask: tells whether that host may be asked now
    """

    name = "target limits"
    interval = ASK_EVERY

    def __init__(
        self,
        kernel: Kernel,
        limits: TargetLimits,
        inventory: Inventory,
        groups: Callable[[], Iterable[Sequence[str]]],
        ask: Callable[[Instance, str], Awaitable[bool]],
        may_ask: Callable[[Instance], bool],
        records: Records,
    ) -> None:
        super().__init__(kernel)
        self._limits = limits
        self._inventory = inventory
        self._groups = groups
        self._ask = ask
        self._may_ask = may_ask
        self._records = records

    async def tick(self) -> None:
        """Ask the limited members of groups whether they still are."""
        if not self._limits.known:
            return
        for lives in self._groups():
            for life in self._limits.to_ask(lives):
                host = self._inventory.host(life)
                if host is not None and self._may_ask(host.instance):
                    self.spawn(self._ask_one(host))

    async def _ask_one(self, host: TargetHost) -> None:
        await self._ask(host.instance, host.address)

    def answered(self, life: str, named: NamedLimit | None, source: Source) -> None:
        """Take what an answer says of its target's limit."""
        now = time.monotonic()
        rate = None if named is None else named.rate
        if named is not None and rate is None:
            known = self._limits.rate_by_life.get(life, UNREADABLE_RATE)
            rate = min(known, UNREADABLE_RATE)
        change = self._limits.answered(life, rate, source.asked, source.asked_at, now)
        if change is not None:
            text = named.text if named is not None else ""
            self._note(change, source.asked.value, request_id=source.request_id, value=text)

    def news(self) -> list[LimitNews]:
        """Return what to tell the other entry hosts."""
        return self._limits.news(time.monotonic())

    def hear(self, news: LimitNews) -> None:
        """Take what another entry host tells."""
        listed = self._inventory.host
        changes = self._limits.hear(news, lambda life: listed(life) is not None, time.monotonic())
        for change in changes:
            self._note(change, f"peer {news.sender}")

    def reach(self, hosts: Mapping[str, object], in_touch: bool) -> None:
        """Take note of which entry hosts are there, and whether some of them are heard."""
        self._limits.reach(hosts, in_touch, time.monotonic())

    def show(self, exposition: Exposition) -> None:
        """Show metrics."""
        show, limits = exposition.gauge, self._limits
        show("target_limits", "Targets that name a limit", lambda: len(limits.rate_by_life))
        show("limit_share", "Requests a second that this host may send them", lambda: limits.share)
        show("limit_sent", "Requests sent within limits", lambda: limits.sent)
        show("limit_held_back", "Times that a limit had a target passed over", self._passed_over)

    def _passed_over(self) -> int:
        return self._limits.held_back

    def over(self, life: str) -> None:
        """Forget the limit of a life that is over."""
        self._limits.forget(life)

    def _note(self, change: LimitChange, source: str, **facts: object) -> None:
        what = "ended" if change.rate is None else "named" if change.before is None else "changed"
        self._records.note(
            "limit",
            what,
            instance=change.life,
            rate=change.rate,
            before=change.before,
            version=change.version,
            sharers=self._limits.sharers(change.life),
            source=source,
            **facts,
        )
