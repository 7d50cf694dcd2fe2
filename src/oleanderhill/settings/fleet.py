"""The settings in the form that entry hosts use: accounts, requested groups and services.

:func:`build_fleet` turns the subtrees in force into one immutable :class:`Fleet`. The caller passes
only valid subtrees: if one in the store is invalid (it was written there directly, without
validation), the caller keeps the last valid one.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import NamedTuple, TypeVar, cast

import xxhash

from ..types import GroupSpec, WantedGroup
from .checking import requested_hosts
from .schema import FLEET_TEAM, FleetSettings, Group, PlainService, TeamSettings

_View = TypeVar("_View")

DEFAULT_EXCHANGE_RATE = 8.0
DEFAULT_ENTRY_HOSTS = 9


class AccountView(NamedTuple):
    """A client account in the form the edge uses. ``account`` is ``team/name``."""

    account: str
    team: str
    models: frozenset[str]
    services: frozenset[str]
    requests_per_second: float
    priority: int


class OperatorView(NamedTuple):
    """An operator and the subtrees that it may change."""

    name: str
    teams: frozenset[str]

    def may_change(self, team: str) -> bool:
        """Return whether this operator may change the subtree of a team."""
        return "*" in self.teams or team in self.teams


class ClippedRequest(NamedTuple):
    """A team's request for hosts in a data centre that exceeded its budget and was reduced."""

    team: str
    data_centre: str
    wanted: int
    budget: int


class Fleet(NamedTuple):
    """The settings in force as one immutable value."""

    account_by_key: dict[str, AccountView] = {}
    operator_by_key: dict[str, OperatorView] = {}
    service_by_name: dict[tuple[str, str], PlainService] = {}
    models_by_team: dict[str, frozenset[str]] = {}
    wanted_by_data_centre: dict[str, tuple[WantedGroup, ...]] = {}
    budgets: dict[str, dict[str, int]] = {}
    clipped: tuple[ClippedRequest, ...] = ()
    exchange_rate: float = DEFAULT_EXCHANGE_RATE
    entry_hosts: int = DEFAULT_ENTRY_HOSTS
    domains_without_fencing: frozenset[str] = frozenset()


def hash_key(key: str) -> str:
    """Return the hash that settings store for a bearer key; keys are random, so it has no salt."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def find_by_key(view_by_key: Mapping[str, _View], key: str) -> _View | None:
    """Return the account or operator of a bearer key, or ``None``.

    Hashes are compared in constant time.
    """
    hashed = hash_key(key)
    found = None
    for known, view in view_by_key.items():
        if hmac.compare_digest(known, hashed):
            found = view
    return found


def build_fleet(tree_by_team: Mapping[str, FleetSettings | TeamSettings]) -> Fleet:
    """Return the fleet that valid subtrees describe."""
    shared = cast(FleetSettings, tree_by_team.get(FLEET_TEAM, {}))
    teams = {t: cast(TeamSettings, v) for t, v in tree_by_team.items() if t != FLEET_TEAM}
    budgets = {t: dict(b) for t, b in shared.get("host_budgets", {}).items()}
    wanted, clipped = _allocate_groups(teams, budgets)
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


def make_spec(team: str, name: str, group: Group, tree: TeamSettings) -> GroupSpec:
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

    It contains a hash of the specification, so that a roll-out creates new ids, and the data
    centre, because entry hosts know the groups of several data centres.
    """
    spec_text = f"{spec.model}|{spec.version}|{spec.adapters}|{spec.hosts}"
    return (
        f"{spec.team}/{spec.name}@{xxhash.xxh32_hexdigest(spec_text.encode())}#{data_centre}.{slot}"
    )


def _allocate_groups(
    teams: Mapping[str, TeamSettings], budgets: Mapping[str, Mapping[str, int]]
) -> tuple[dict[str, tuple[WantedGroup, ...]], tuple[ClippedRequest, ...]]:
    found: dict[str, list[WantedGroup]] = {}
    clipped: list[ClippedRequest] = []
    for team, tree in sorted(teams.items()):
        remaining = dict(budgets.get(team, {}))
        for data_centre, hosts in sorted(requested_hosts(tree).items()):
            if data_centre in remaining and hosts > remaining[data_centre]:
                clipped.append(ClippedRequest(team, data_centre, hosts, remaining[data_centre]))
        by_priority = sorted(
            tree.get("groups", {}).items(), key=lambda kv: (-kv[1].get("priority", 0), kv[0])
        )
        for name, group in by_priority:
            spec = make_spec(team, name, group, tree)
            for data_centre, replicas in sorted(group["replicas"].items()):
                for slot in range(replicas):
                    # The budget is enforced here as well as on writes of a subtree: two operators
                    # who concurrently raise a request and lower the budget both pass validation,
                    # and the total must still stay within the budget.
                    if remaining.get(data_centre, spec.hosts) < spec.hosts:
                        break
                    if data_centre in remaining:
                        remaining[data_centre] -= spec.hosts
                    found.setdefault(data_centre, []).append(
                        WantedGroup(group_id(spec, data_centre, slot), spec)
                    )
    return {dc: tuple(groups) for dc, groups in found.items()}, tuple(clipped)
