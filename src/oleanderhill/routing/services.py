"""Selects targets of plain services: the local data centre first, then the least loaded."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from ..settings.schema import PlainService, ServiceTarget
from ..types import Member
from .router import Choice, NoChoice, Requirements, target_id
from .waiting import Waiter

EJECT_SECONDS = 2.0


class ServiceFinder:
    """Selects targets for requests to plain services.

    :param data_centre: of this entry host
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._ejected_until: dict[str, float] = {}
        self.service_by_name: Mapping[tuple[str, str], PlainService] = {}

    async def acquire(
        self, waiter: Waiter, wanted: Requirements, exclude: frozenset[str]
    ) -> Choice | NoChoice:
        """Return a target of the service that ``wanted.model`` names as ``team/service``."""
        choice = self.choose(wanted.model, waiter.arrived, exclude)
        if isinstance(choice, Choice):
            self._in_flight[choice.group] = self._in_flight.get(choice.group, 0) + 1
        return choice

    def choose(self, name: str, now: float, exclude: frozenset[str]) -> Choice | NoChoice:
        """Choose a target of a service by its name, ``team/service``."""
        team, service = name.split("/", 1)
        found = self.service_by_name.get((team, service))
        if found is None:
            return NoChoice(f"no service {service}", False, False)
        target_by_id = {f"{name}/{t['address']}": t for t in found["targets"]}
        remaining = {i: t for i, t in target_by_id.items() if target_id(i, 0) not in exclude}
        usable = {
            i: t for i, t in remaining.items() if self._ejected_until.get(i, 0.0) <= now
        } or remaining
        if not usable:
            return NoChoice(f"none of {len(target_by_id)} targets took it", False, True)
        target = min(
            usable, key=lambda i: (self._is_remote(usable[i]), self._load(i), self._rng.random())
        )
        member = Member(usable[target]["address"], usable[target]["address"], "")
        reason = f"nearest and least busy of {len(usable)}"
        return Choice(target, 0, member, usable[target]["data_centre"], reason)

    def release(self, account: str, choice: Choice, model: str, seconds: float) -> None:
        """Record the end of a request at its target."""
        remaining = self._in_flight.get(choice.group, 0) - 1
        if remaining > 0:
            self._in_flight[choice.group] = remaining
        else:
            self._in_flight.pop(choice.group, None)

    def may_send(self, choice: Choice, now: float) -> bool:
        """Return whether the settings still list the target."""
        team, service, address = choice.group.split("/", 2)
        found = self.service_by_name.get((team, service))
        return found is not None and any(t["address"] == address for t in found["targets"])

    def eject(self, choice: Choice, now: float) -> None:
        """Temporarily exclude an unreachable target from new requests."""
        self._ejected_until[choice.group] = now + EJECT_SECONDS

    def watch(self, run: str, choice: Choice, broken: Callable[[], None]) -> None:
        """Do nothing: targets of plain services are single hosts."""

    def unwatch(self, run: str) -> None:
        """Do nothing, as :meth:`watch`."""

    def _is_remote(self, target: ServiceTarget) -> bool:
        return target["data_centre"] != self._data_centre

    def _load(self, target: str) -> int:
        return self._in_flight.get(target, 0)
