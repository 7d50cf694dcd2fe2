"""What the settings mean for one entry host: accounts, wanted groups, services and weights.

:func:`build` turns the subtrees in force into one immutable :class:`Fleet`. A subtree that does not
pass the check (it was put into the store behind our back) is left out in favour of the last one
that did, which the caller keeps.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import NamedTuple, TypeVar, cast

import xxhash

from ..types import GroupSpec, WantedGroup
from .checking import hosts_wanted
from .schema import FLEET_TEAM, FleetSettings, Group, PlainService, TeamSettings

_View = TypeVar("_View")

DEFAULT_EXCHANGE_RATE = 8.0
DEFAULT_ENTRY_HOSTS = 9


class AccountView(NamedTuple):
    """A client account as the edge needs it. ``account`` is ``team/name``."""

    account: str
    team: str
    models: frozenset[str]
    services: frozenset[str]
    requests_per_second: float
    priority: int


class OperatorView(NamedTuple):
    """An operator and the subtrees it may change."""

    name: str
    teams: frozenset[str]

    def may_change(self, team: str) -> bool:
        """Tell whether this operator may change a subtree."""
        return "*" in self.teams or team in self.teams


class Clipped(NamedTuple):
    """A wish cut by the fleet's budget."""

    team: str
    data_centre: str
    wanted: int
    budget: int


class Fleet(NamedTuple):
    """The settings in force as one value."""

    account_by_key: dict[str, AccountView] = {}
    operator_by_key: dict[str, OperatorView] = {}
    service_by_name: dict[tuple[str, str], PlainService] = {}
    models_by_team: dict[str, frozenset[str]] = {}
    wanted_by_data_centre: dict[str, tuple[WantedGroup, ...]] = {}
    budgets: dict[str, dict[str, int]] = {}
    clipped: tuple[Clipped, ...] = ()
    exchange_rate: float = DEFAULT_EXCHANGE_RATE
    entry_hosts: int = DEFAULT_ENTRY_HOSTS
    domains_without_fencing: frozenset[str] = frozenset()


def hash_of(key: str) -> str:
    """Return the form in which settings hold a bearer key. Keys are random, so no salt is used."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def find_by_key(view_by_key: Mapping[str, _View], key: str) -> _View | None:
    """Return the holder of a bearer key, comparing hashes in constant time."""
    hashed = hash_of(key)
    found = None
    for known, view in view_by_key.items():
        if hmac.compare_digest(known, hashed):
            found = view
    return found


def build(tree_by_team: Mapping[str, FleetSettings | TeamSettings]) -> Fleet:
    """Return the meaning of checked subtrees."""
    shared = cast(FleetSettings, tree_by_team.get(FLEET_TEAM, {}))
    teams = {t: cast(TeamSettings, v) for t, v in tree_by_team.items() if t != FLEET_TEAM}
    budgets = {t: dict(b) for t, b in shared.get("host_budgets", {}).items()}
    wanted, clipped = _wanted(teams, budgets)
    return Fleet(
        account_by_key=_accounts(teams),
        operator_by_key={
            o["key_hash"]: OperatorView(name, frozenset(o["teams"]))
            for name, o in shared.get("operators", {}).items()
        },
        service_by_name={
            (t, n): s for t, tree in teams.items() for n, s in tree.get("services", {}).items()
        },
        models_by_team={t: frozenset(tree.get("models", {})) for t, tree in teams.items()},
        wanted_by_data_centre=wanted,
        budgets=budgets,
        clipped=clipped,
        exchange_rate=shared.get("exchange_rate", DEFAULT_EXCHANGE_RATE),
        entry_hosts=shared.get("entry_hosts", DEFAULT_ENTRY_HOSTS),
        domains_without_fencing=frozenset(shared.get("domains_without_fencing", [])),
    )


def _accounts(teams: Mapping[str, TeamSettings]) -> dict[str, AccountView]:
    view_by_key = {}
    for team, tree in teams.items():
        for name, account in tree.get("accounts", {}).items():
            view = AccountView(
                account=f"{team}/{name}",
                team=team,
                models=frozenset(account.get("models", [])),
                services=frozenset(account.get("services", [])),
                requests_per_second=account["requests_per_second"],
                priority=account.get("priority", 0),
            )
            view_by_key.update(dict.fromkeys(account["key_hashes"], view))
    return view_by_key


def spec_of(team: str, name: str, group: Group, tree: TeamSettings) -> GroupSpec:
    """Return the specification of a team's group."""
    version = tree["models"][group["model"]]["versions"][group["version"]]
    return GroupSpec(
        team=team,
        name=name,
        model=f"{team}/{group['model']}",
        version=group["version"],
        adapters=tuple(group.get("adapters", [])),
        hosts=group["hosts"],
        weights_gb=version["weights_gb"],
        priority=group.get("priority", 0),
    )


def group_id(spec: GroupSpec, data_centre: str, slot: int) -> str:
    """Return the id of a replica, unique in the fleet.

    The specification is part of it, so that a roll-out makes new ids, and the data centre, since
    entry hosts see the groups of several.
    """
    served = f"{spec.model}|{spec.version}|{spec.adapters}|{spec.hosts}"
    return f"{spec.team}/{spec.name}@{xxhash.xxh32_hexdigest(served.encode())}#{data_centre}.{slot}"


def _wanted(
    teams: Mapping[str, TeamSettings], budgets: Mapping[str, Mapping[str, int]]
) -> tuple[dict[str, tuple[WantedGroup, ...]], tuple[Clipped, ...]]:
    found: dict[str, list[WantedGroup]] = {}
    clipped: list[Clipped] = []
    for team, tree in sorted(teams.items()):
        left = dict(budgets.get(team, {}))
        for data_centre, hosts in sorted(hosts_wanted(tree).items()):
            if data_centre in left and hosts > left[data_centre]:
                clipped.append(Clipped(team, data_centre, hosts, left[data_centre]))
        by_priority = sorted(
            tree.get("groups", {}).items(), key=lambda kv: (-kv[1].get("priority", 0), kv[0])
        )
        for name, group in by_priority:
            spec = spec_of(team, name, group, tree)
            for data_centre, replicas in sorted(group["replicas"].items()):
                for slot in range(replicas):
                    # The budget is enforced here, where wishes become groups, and not only when
                    # a subtree is put: two operators who change a wish and a budget at the same
                    # moment both pass the check, and the sum must hold all the same.
                    if left.get(data_centre, spec.hosts) < spec.hosts:
                        break
                    if data_centre in left:
                        left[data_centre] -= spec.hosts
                    found.setdefault(data_centre, []).append(
                        WantedGroup(group_id(spec, data_centre, slot), spec)
                    )
    return {dc: tuple(groups) for dc, groups in found.items()}, tuple(clipped)
