"""Checks of settings: every finding at once, each with path, value and what was expected."""

from __future__ import annotations

import difflib
import functools
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, cast

import jsonschema
import msgspec

from ..exceptions import BootFileError, Finding, SettingsInvalidError
from .schema import FLEET_TEAM, Boot, FleetSettings, Group, TeamSettings

SUBTREE_LIMIT = 900_000
"""Bytes of a subtree: the store holds values up to a megabyte, and the envelope needs room."""

_SHOWN = 60


def json_schema(kind: type) -> dict[str, Any]:
    """Return the JSON Schema of a settings type, closed against unknown keys."""
    schema = msgspec.json.schema(kind)
    for definition in schema.get("$defs", {}).values():
        if "properties" in definition:
            definition["additionalProperties"] = False
    return schema


@functools.cache
def _validator(kind: type) -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(json_schema(kind))


def kind_of(team: str) -> type:
    """Return the settings type of a subtree."""
    return FleetSettings if team == FLEET_TEAM else TeamSettings


def check_subtree(
    team: str, text: bytes | str, budgets: Mapping[str, Mapping[str, int]] | None = None
) -> FleetSettings | TeamSettings:
    """Check a subtree and return it.

    :param text: JSON
    :param budgets: hosts by data centre and team, to check a team's wishes against
    :raises SettingsInvalidError: with all findings
    """
    if len(text) > SUBTREE_LIMIT:
        size = Finding("$", f"{len(text)} bytes", f"at most {SUBTREE_LIMIT} bytes")
        raise SettingsInvalidError(team, (size,))
    try:
        tree = json.loads(text, object_pairs_hook=_no_duplicates)
    except ValueError as error:
        raise SettingsInvalidError(team, (Finding("$", str(error), "JSON"),)) from error
    findings = list(_shape(tree, kind_of(team)))
    if not findings and team != FLEET_TEAM:
        findings = list(_meaning(cast(TeamSettings, tree)))
        findings += _over_budget(cast(TeamSettings, tree), (budgets or {}).get(team))
    if findings:
        raise SettingsInvalidError(team, tuple(findings))
    return tree


def load_boot(path: str) -> Boot:
    """Read and check a boot file.

    :raises BootFileError: if it can't be read or is malformed
    """
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError) as error:
        raise BootFileError(path, str(error)) from error
    findings = list(_shape(tree, Boot))
    if findings:
        lines = "; ".join(f"{f.path}: got {f.value}, expected {f.expected}" for f in findings)
        raise BootFileError(path, lines)
    return tree


def _no_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    keys = [k for k, _ in pairs]
    doubled = sorted({k for k in keys if keys.count(k) > 1}) if len(set(keys)) < len(keys) else []
    if doubled:
        raise ValueError(f"key given twice: {', '.join(doubled)}")
    return dict(pairs)


def _shape(tree: Any, kind: type) -> Iterator[Finding]:
    for error in sorted(_validator(kind).iter_errors(tree), key=lambda e: e.json_path):
        if error.validator == "additionalProperties":
            yield from _unknown_keys(error)
        else:
            yield Finding(error.json_path, _short(error.instance), _expected(error))


def _unknown_keys(error: jsonschema.ValidationError) -> Iterator[Finding]:
    known = list(error.schema.get("properties", {}))
    for key in error.instance:
        if key in known:
            continue
        near = difflib.get_close_matches(key, known, n=1)
        hint = f"a known key, perhaps {near[0]!r}" if near else f"one of {', '.join(sorted(known))}"
        yield Finding(f"{error.json_path}.{key}", "an unknown key", hint)


def _expected(error: jsonschema.ValidationError) -> str:
    rule, want = error.validator, error.validator_value
    if rule == "type":
        return f"a value of type {want}"
    if rule == "required":
        missing = [k for k in want if k not in error.instance]
        return f"the required key(s) {', '.join(missing)}"
    names = {
        "pattern": "text like",
        "minimum": "at least",
        "maximum": "at most",
        "exclusiveMinimum": "more than",
        "exclusiveMaximum": "less than",
    }
    return f"{names.get(str(rule), str(rule))} {want}"


def _short(value: Any) -> str:
    text = json.dumps(value)
    return text if len(text) <= _SHOWN else text[:_SHOWN] + "..."


def _near(name: str, known: Iterable[str]) -> str:
    names = sorted(known)
    near = difflib.get_close_matches(name, names, n=1)
    return (
        f"a known name, perhaps {near[0]!r}" if near else f"one of {', '.join(names) or '(none)'}"
    )


def _meaning(tree: TeamSettings) -> Iterator[Finding]:
    models = tree.get("models", {})
    services = tree.get("services", {})
    for name, group in tree.get("groups", {}).items():
        yield from _group_meaning(f"$.groups.{name}", group, tree)
    for name, account in tree.get("accounts", {}).items():
        for model in account.get("models", []):
            if model not in models:
                yield Finding(f"$.accounts.{name}.models", repr(model), _near(model, models))
        for service in account.get("services", []):
            if service not in services:
                path = f"$.accounts.{name}.services"
                yield Finding(path, repr(service), _near(service, services))


def _group_meaning(path: str, group: Group, tree: TeamSettings) -> Iterator[Finding]:
    models = tree.get("models", {})
    model = models.get(group["model"])
    if model is None:
        yield Finding(f"{path}.model", repr(group["model"]), _near(group["model"], models))
        return
    if group["version"] not in model["versions"]:
        hint = _near(group["version"], model["versions"])
        yield Finding(f"{path}.version", repr(group["version"]), hint)
    for adapter in group.get("adapters", []):
        if adapter not in model.get("adapters", []):
            hint = _near(adapter, model.get("adapters", []))
            yield Finding(f"{path}.adapters", repr(adapter), hint)


def hosts_wanted(tree: TeamSettings) -> dict[str, int]:
    """Return the hosts that a team's groups want, by data centre."""
    wanted: dict[str, int] = {}
    for group in tree.get("groups", {}).values():
        for data_centre, replicas in group["replicas"].items():
            wanted[data_centre] = wanted.get(data_centre, 0) + replicas * group["hosts"]
    return wanted


def _over_budget(tree: TeamSettings, budget: Mapping[str, int] | None) -> list[Finding]:
    if budget is None:
        return []
    return [
        Finding("$.groups", f"{hosts} hosts in {dc}", f"at most {budget[dc]} by the fleet's budget")
        for dc, hosts in sorted(hosts_wanted(tree).items())
        if dc in budget and hosts > budget[dc]
    ]
