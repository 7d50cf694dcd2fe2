"""The exception hierarchy, with :class:`OleanderhillError` as its base class.

Each exception carries the data of the failure and renders it with :meth:`OleanderhillError.show`.
The edge converts exceptions that end a request into problem details.
"""

from __future__ import annotations

from typing import NamedTuple


class OleanderhillError(Exception):
    """Base class of all failures that the project raises or returns."""

    exit_code = 1

    def show(self) -> str:
        """Return the failure as one or more human-readable lines."""
        return str(self)


class BootFileError(OleanderhillError):
    """The boot file of a process is missing or malformed."""

    exit_code = 3

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"boot file {path}: {reason}")


class Finding(NamedTuple):
    """An error in a settings document.

    :param path: JSON path, such as ``$.accounts.clerks.burst``
    :param value: the invalid value, truncated
    :param expected: description of the valid values
    """

    path: str
    value: str
    expected: str


class SettingsInvalidError(OleanderhillError):
    """A settings subtree is invalid. Holds every finding, not just the first."""

    exit_code = 4

    def __init__(self, team: str, findings: tuple[Finding, ...]) -> None:
        self.team = team
        self.findings = findings
        super().__init__(f"settings of {team}: {len(findings)} finding(s)")

    def show(self) -> str:
        """Return one line for each finding."""
        lines = [f"{f.path}: got {f.value}; expected {f.expected}" for f in self.findings]
        return "\n".join([str(self), *lines])


class SettingsConflictError(OleanderhillError):
    """The subtree was changed after the writer read it."""

    exit_code = 5

    def __init__(self, team: str, expected: int, found: int) -> None:
        self.found = found
        super().__init__(f"settings of {team}: expected revision {expected}, found {found}")


class OutcomeUnknownError(OleanderhillError):
    """A write may have been applied: its response was lost and it could not be verified in time."""

    exit_code = 6

    def __init__(self, what: str) -> None:
        super().__init__(f"outcome unknown: {what}")


class StoreError(OleanderhillError):
    """Base class of the failures of the platform's store."""


class StoreUnavailableError(StoreError):
    """The store did not accept the call, so nothing was changed."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"store unavailable: {reason}")


class NoStoreCopyError(StoreError):
    """The entry host that reads the store is reachable but has no copy of the data yet."""

    def __init__(self, peer: str) -> None:
        super().__init__(f"{peer} has no copy of the store's data")


class IncompletePeerCopyError(StoreError):
    """The entry host that was asked copies only a part of what this one needs from the store."""

    def __init__(self, peer: str, missing: str) -> None:
        super().__init__(f"{peer} doesn't read {missing!r} from the store")


class StoreAnswerLostError(StoreError):
    """The call was sent and no response was received, so it may have been applied."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"store answer lost: {reason}")


class StoreConnectionClosedError(StoreAnswerLostError):
    """The connection was closed before the response was received."""


class OrderRejectedError(OleanderhillError):
    """An engine rejected an order, for example one with an outdated fencing number."""

    def __init__(self, host: str, reason: str) -> None:
        self.host = host
        self.reason = reason
        super().__init__(f"host {host} refused the order: {reason}")


class TargetUnreachableError(OleanderhillError):
    """A target could not be reached or did not answer in time."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"target {address}: {reason}")


class TargetConnectionRefusedError(TargetUnreachableError):
    """The host is up but refuses connections at the target's address."""


class AccessError(OleanderhillError):
    """The key of an operator or caller is missing, unknown or lacks the permission."""

    exit_code = 7


class UnreachableError(OleanderhillError):
    """The command line could not reach any of the given entry hosts."""

    exit_code = 8
