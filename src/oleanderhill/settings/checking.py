"""Validation of settings; reports all findings together, each with path, value and expectation."""

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
"""Maximum bytes of a subtree: the store holds values up to a megabyte, envelope included."""

_MAX_SHOWN_LENGTH = 60


def json_schema(kind: type) -> dict[str, Any]:
    """Return the JSON Schema of a settings type; it does not allow unknown keys."""
    schema = msgspec.json.schema(kind)
    for definition in schema.get("$defs", {}).values():
        if "properties" in definition:
            definition["additionalProperties"] = False
    return schema


@functools.cache
def _validator(kind: type) -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(json_schema(kind))


def settings_type(team: str) -> type:
    """Return the type that a subtree is validated against."""
    return FleetSettings if team == FLEET_TEAM else TeamSettings


def check_subtree(
    team: str, text: bytes | str, budgets: Mapping[str, Mapping[str, int]] | None = None
) -> FleetSettings | TeamSettings:
    """Validate a subtree and return it parsed.

    :param text: the subtree as JSON
    :param budgets: host budget by team and data centre, to check the team's requested hosts against
    :raises SettingsInvalidError: if it is invalid; holds all findings
    """
    if len(text) > SUBTREE_LIMIT:
        size = Finding("$", f"{len(text)} bytes", f"at most {SUBTREE_LIMIT} bytes")
        raise SettingsInvalidError(team, (size,))
    try:
        tree = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except ValueError as error:
        raise SettingsInvalidError(team, (Finding("$", str(error), "JSON"),)) from error
    findings = list(_check_schema(tree, settings_type(team)))
    if not findings and team != FLEET_TEAM:
        findings = list(_check_references(cast(TeamSettings, tree)))
        findings += _check_budget(cast(TeamSettings, tree), (budgets or {}).get(team))
    if findings:
        raise SettingsInvalidError(team, tuple(findings))
    return tree


def load_boot(path: str) -> Boot:
    """Read and validate a boot file.

    :raises BootFileError: if it can't be read or is invalid
    """
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError) as error:
        raise BootFileError(path, str(error)) from error
    findings = list(_check_schema(tree, Boot))
    if findings:
        lines = "; ".join(f"{f.path}: got {f.value}, expected {f.expected}" for f in findings)
        raise BootFileError(path, lines)
    return tree


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    keys = [k for k, _ in pairs]
    duplicates = (
        sorted({k for k in keys if keys.count(k) > 1}) if len(set(keys)) < len(keys) else []
    )
    if duplicates:
        raise ValueError(f"key given twice: {', '.join(duplicates)}")
    return dict(pairs)


def _check_schema(tree: Any, kind: type) -> Iterator[Finding]:
    for error in sorted(_validator(kind).iter_errors(tree), key=lambda e: e.json_path):
        if error.validator == "additionalProperties":
            yield from _unknown_keys(error)
        else:
            yield Finding(error.json_path, _abbreviate(error.instance), _describe_rule(error))


def _unknown_keys(error: jsonschema.ValidationError) -> Iterator[Finding]:
    known = list(error.schema.get("properties", {}))
    for key in error.instance:
        if key in known:
            continue
        matches = difflib.get_close_matches(key, known, n=1)
        hint = (
            f"a known key, perhaps {matches[0]!r}"
            if matches
            else f"one of {', '.join(sorted(known))}"
        )
        yield Finding(f"{error.json_path}.{key}", "an unknown key", hint)


def _describe_rule(error: jsonschema.ValidationError) -> str:
    rule, limit = error.validator, error.validator_value
    if rule == "type":
        return f"a value of type {limit}"
    if rule == "required":
        missing = [k for k in limit if k not in error.instance]
        return f"the required key(s) {', '.join(missing)}"
    names = {
        "pattern": "text like",
        "minimum": "at least",
        "maximum": "at most",
        "exclusiveMinimum": "more than",
        "exclusiveMaximum": "less than",
    }
    return f"{names.get(str(rule), str(rule))} {limit}"


def _abbreviate(value: Any) -> str:
    text = json.dumps(value)
    return text if len(text) <= _MAX_SHOWN_LENGTH else text[:_MAX_SHOWN_LENGTH] + "..."


def _suggest_name(name: str, known: Iterable[str]) -> str:
    names = sorted(known)
    matches = difflib.get_close_matches(name, names, n=1)
    return (
        f"a known name, perhaps {matches[0]!r}"
        if matches
        else f"one of {', '.join(names) or '(none)'}"
    )


def _check_references(tree: TeamSettings) -> Iterator[Finding]:
    models = tree.get("models", {})
    services = tree.get("services", {})
    for name, group in tree.get("groups", {}).items():
        yield from _check_group_references(f"$.groups.{name}", group, tree)
    for name, account in tree.get("accounts", {}).items():
        for model in account.get("models", []):
            if model not in models:
                yield Finding(
                    f"$.accounts.{name}.models", repr(model), _suggest_name(model, models)
                )
        for service in account.get("services", []):
            if service not in services:
                path = f"$.accounts.{name}.services"
                yield Finding(path, repr(service), _suggest_name(service, services))


def _check_group_references(path: str, group: Group, tree: TeamSettings) -> Iterator[Finding]:
    models = tree.get("models", {})
    model = models.get(group["model"])
    if model is None:
        yield Finding(f"{path}.model", repr(group["model"]), _suggest_name(group["model"], models))
        return
    if group["version"] not in model["versions"]:
        hint = _suggest_name(group["version"], model["versions"])
        yield Finding(f"{path}.version", repr(group["version"]), hint)
    for adapter in group.get("adapters", []):
        if adapter not in model.get("adapters", []):
            hint = _suggest_name(adapter, model.get("adapters", []))
            yield Finding(f"{path}.adapters", repr(adapter), hint)


def requested_hosts(tree: TeamSettings) -> dict[str, int]:
    """Return the number of hosts that a team's groups request in each data centre."""
    wanted: dict[str, int] = {}
    for group in tree.get("groups", {}).values():
        for data_centre, replicas in group["replicas"].items():
            wanted[data_centre] = wanted.get(data_centre, 0) + replicas * group["hosts"]
    return wanted


def _check_budget(tree: TeamSettings, budget: Mapping[str, int] | None) -> list[Finding]:
    if budget is None:
        return []
    return [
        Finding("$.groups", f"{hosts} hosts in {dc}", f"at most {budget[dc]} by the fleet's budget")
        for dc, hosts in sorted(requested_hosts(tree).items())
        if dc in budget and hosts > budget[dc]
    ]
