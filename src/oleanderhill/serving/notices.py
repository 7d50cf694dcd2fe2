"""Takes what targets say of themselves in their answers to where each word is kept.

A limit is for all entry hosts together, a back-off for the host that was answered, and that a
target leaves is true for everybody until its life ends.
"""

from __future__ import annotations

import time

from ..exposition import Exposition
from ..groups.inventory import Instance, Inventory
from ..records import Records
from ..routing.backoffs import Backoffs
from .forwarding import Notice
from .leaving import LeavingTargets
from .target_limits import Source, TargetLimitTask


class TargetNotices:
    """What targets said, by life."""

    def __init__(
        self,
        inventory: Inventory,
        backoffs: Backoffs,
        limits: TargetLimitTask,
        leaving: LeavingTargets,
        records: Records,
    ) -> None:
        self._inventory = inventory
        self._backoffs = backoffs
        self._limits = limits
        self._leaving = leaving
        self._records = records

    def take(self, life: str, notice: Notice, source: Source, conclusive: bool = True) -> None:
        """Take what an answer says.

        :param conclusive: that it names no limit means that there is none
        """
        if notice.leaving:
            self._leaving.said(life, source.asked.value, source.request_id)
        if notice.backoff:
            self._back_off(life, notice.backoff, source)
        if conclusive or notice.limit is not None:
            self._limits.answered(life, notice.limit, source)

    def over(self, life: str) -> None:
        """Forget what a life said that is over."""
        self._backoffs.forget(life)
        self._leaving.over(life)
        self._limits.over(life)

    def may_ask(self, instance: Instance) -> bool:
        """Tell whether an order or a probe may go to a host now."""
        return self._backoffs.may_send(str(instance), time.monotonic())

    def held_back(self, life: str) -> str:
        """Return why no request may go to a target now, empty if it may."""
        if self._inventory.is_leaving(life):
            return "the target is leaving"
        if not self._backoffs.may_send(life, time.monotonic()):
            return "the target asked to back off"
        return ""

    def show(self, exposition: Exposition) -> None:
        """Show metrics."""
        self._limits.show(exposition)
        show, backoffs = exposition.gauge, self._backoffs
        show("targets_leaving", "Targets that say that they leave", lambda: len(self._leaving))
        show("targets_backed_off", "Targets that asked this host to back off", self._backed_off)
        show(
            "backoffs_asked",
            "Times that targets asked this host to back off",
            lambda: backoffs.asked,
        )
        show(
            "backoff_held_back", "Times that a back-off had a target passed over", self._passed_over
        )

    def _back_off(self, life: str, seconds: float, source: Source) -> None:
        # Of a life that is not listed nobody would say when it is over.
        if self._inventory.host(life) is None:
            return
        if self._backoffs.ask(life, seconds, time.monotonic()):
            self._records.note(
                "backoff",
                "asked for",
                instance=life,
                seconds=seconds,
                source=source.asked.value,
                request_id=source.request_id,
            )

    def _backed_off(self) -> int:
        return len(self._backoffs.active(time.monotonic()))

    def _passed_over(self) -> int:
        return self._backoffs.held_back
