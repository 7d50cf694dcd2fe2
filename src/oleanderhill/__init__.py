"""Oleanderhill serves language models whose replicas span several hosts.

The names below are the public interface for programs that embed or test the decisions; the command
line is in :mod:`.cli`. See ``docs/ARCHITECTURE.md`` for how the parts fit.
"""

from .attempts import Request as Request
from .attempts import RequestMachine as RequestMachine
from .attempts import RetryBudget as RetryBudget
from .checking import check_subtree as check_subtree
from .checking import json_schema as json_schema
from .checking import load_boot as load_boot
from .documents import Document as Document
from .documents import Documents as Documents
from .exceptions import OleanderhillError as OleanderhillError
from .exceptions import SettingsInvalidError as SettingsInvalidError
from .fleet import Fleet as Fleet
from .fleet import build as build_fleet
from .membership import Membership as Membership
from .once import Journal as Journal
from .outcomes import Problem as Problem
from .outcomes import Ran as Ran
from .routing import Router as Router
from .steward import DomainSteward as DomainSteward

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
