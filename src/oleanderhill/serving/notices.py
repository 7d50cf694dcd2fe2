"""Dispatches the notices in a target's answers to the trackers that store them.

A rate limit applies to all entry hosts together, a back-off only to the entry host that received
the answer. A leaving target gets no requests from any entry host until its incarnation ends. A cold
target gets few requests from all entry hosts together while it stays cold.
"""

from __future__ import annotations

import time

from ..exposition import Exposition
from ..groups.inventory import Instance, Inventory
from ..records import Records
from ..routing.backoffs import Backoffs
from .cold_targets import ColdTargets
from .forwarding import Notice
from .leaving import LeavingTargets
from .target_limits import StatementSource, TargetLimitTask


class TargetNotices:
    """Notices of targets, by incarnation."""

    def __init__(
        self,
        inventory: Inventory,
        backoffs: Backoffs,
        limits: TargetLimitTask,
        leaving: LeavingTargets,
        cold: ColdTargets,
        records: Records,
    ) -> None:
        self._inventory = inventory
        self._backoffs = backoffs
        self._limits = limits
        self._leaving = leaving
        self._cold = cold
        self._records = records

    def apply(
        self, incarnation: str, notice: Notice, source: StatementSource, conclusive: bool = True
    ) -> None:
        """Apply the notice in an answer.

        :param conclusive: whether an answer that states no limit means that there is none
        """
        if notice.leaving:
            self._leaving.announced(incarnation, source.asked.value, source.request_id)
        if notice.cold is not None:
            self._cold.answered(incarnation, notice.cold, source)
        if notice.backoff:
            self._start_backoff(incarnation, notice.backoff, source)
        if conclusive or notice.limit is not None:
            self._limits.answered(incarnation, notice.limit, source)

    def incarnation_ended(self, incarnation: str) -> None:
        """Drop the notices of an incarnation that has ended."""
        self._backoffs.forget(incarnation)
        self._leaving.incarnation_ended(incarnation)
        self._limits.incarnation_ended(incarnation)
        self._cold.incarnation_ended(incarnation)

    def may_contact(self, instance: Instance) -> bool:
        """Return whether an order or a probe may be sent to a host now."""
        return self._backoffs.may_send(str(instance), time.monotonic())

    def reason_to_skip(self, incarnation: str) -> str:
        """Return why no request may be sent to a target now, empty if it may."""
        if self._inventory.is_leaving(incarnation):
            return "the target is leaving"
        if not self._backoffs.may_send(incarnation, time.monotonic()):
            return "the target asked to back off"
        return ""

    def show(self, exposition: Exposition) -> None:
        """Register the metrics."""
        self._limits.show(exposition)
        self._cold.show(exposition)
        show, backoffs = exposition.gauge, self._backoffs
        show(
            "targets_leaving",
            "Targets that announced that they are leaving",
            lambda: len(self._leaving),
        )
        show(
            "targets_backed_off",
            "Targets that this host currently backs off from",
            self._active_backoffs,
        )
        show(
            "backoffs_asked",
            "Back-offs that targets requested from this host",
            lambda: backoffs.asked,
        )
        show(
            "backoff_held_back",
            "Times that a target was skipped for a back-off",
            self._times_skipped,
        )

    def _start_backoff(self, incarnation: str, seconds: float, source: StatementSource) -> None:
        # The end of an incarnation that is not listed is never reported, so its back-off would not
        # be removed.
        if self._inventory.host(incarnation) is None:
            return
        if self._backoffs.extend(incarnation, seconds, time.monotonic()):
            self._records.note(
                "backoff",
                "requested",
                instance=incarnation,
                seconds=seconds,
                source=source.asked.value,
                request_id=source.request_id,
            )

    def _active_backoffs(self) -> int:
        return len(self._backoffs.active(time.monotonic()))

    def _times_skipped(self) -> int:
        return self._backoffs.held_back
