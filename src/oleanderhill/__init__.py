"""Oleanderhill serves language models whose replicas span several hosts.

The names below are the public interface for programs that embed or test the decisions; the command
line is in :mod:`.operators.cli`. See ``docs/ARCHITECTURE.md`` for how the parts fit.
"""

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
from .settings.fleet import build as build_fleet

__version__ = "0.1.0"

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
