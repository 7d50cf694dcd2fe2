"""Oleanderhill serves language models whose replicas span several hosts.

The names below are the public interface for programs that embed the decision logic or test it. The
command line is in :mod:`.operators.cli`. See ``docs/ARCHITECTURE.md`` for an overview.

The names are imported lazily, because an entry host uses few of them. Importing all of them eagerly
costs 7 MB of memory and requires a library that an entry host does not declare as a dependency.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .domains.steward import DomainSteward as DomainSteward
    from .exceptions import OleanderhillError as OleanderhillError
    from .exceptions import SettingsInvalidError as SettingsInvalidError
    from .journal.once import Journal as Journal
    from .members.membership import Membership as Membership
    from .outcomes import Problem as Problem
    from .outcomes import Ran as Ran
    from .requests.attempts import Request as Request
    from .requests.attempts import RequestMachine as RequestMachine
    from .requests.attempts import RetryBudget as RetryBudget
    from .routing.router import Router as Router
    from .settings.checking import check_subtree as check_subtree
    from .settings.checking import json_schema as json_schema
    from .settings.checking import load_boot as load_boot
    from .settings.documents import Document as Document
    from .settings.documents import Documents as Documents
    from .settings.fleet import Fleet as Fleet
    from .settings.fleet import build_fleet as build_fleet

__version__ = "0.1.0"

_SOURCE_BY_NAME = {
    "Document": (".settings.documents", "Document"),
    "Documents": (".settings.documents", "Documents"),
    "DomainSteward": (".domains.steward", "DomainSteward"),
    "Fleet": (".settings.fleet", "Fleet"),
    "Journal": (".journal.once", "Journal"),
    "Membership": (".members.membership", "Membership"),
    "OleanderhillError": (".exceptions", "OleanderhillError"),
    "Problem": (".outcomes", "Problem"),
    "Ran": (".outcomes", "Ran"),
    "Request": (".requests.attempts", "Request"),
    "RequestMachine": (".requests.attempts", "RequestMachine"),
    "RetryBudget": (".requests.attempts", "RetryBudget"),
    "Router": (".routing.router", "Router"),
    "SettingsInvalidError": (".exceptions", "SettingsInvalidError"),
    "build_fleet": (".settings.fleet", "build_fleet"),
    "check_subtree": (".settings.checking", "check_subtree"),
    "json_schema": (".settings.checking", "json_schema"),
    "load_boot": (".settings.checking", "load_boot"),
}

__all__ = [
    "Document",
    "Documents",
    "DomainSteward",
    "Fleet",
    "Journal",
    "Membership",
    "OleanderhillError",
    "Problem",
    "Ran",
    "Request",
    "RequestMachine",
    "RetryBudget",
    "Router",
    "SettingsInvalidError",
    "build_fleet",
    "check_subtree",
    "json_schema",
    "load_boot",
]


def __getattr__(name: str) -> Any:
    source = _SOURCE_BY_NAME.get(name)
    if source is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, attribute = source
    return getattr(importlib.import_module(module, __name__), attribute)


def __dir__() -> list[str]:
    return sorted([*globals(), *_SOURCE_BY_NAME])
