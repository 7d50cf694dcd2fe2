"""Reasons to dissolve a group."""

from __future__ import annotations

from enum import StrEnum


class Fault(StrEnum):
    """Reason to dissolve a group.

    ``MEMBER_GONE``: a member is no longer listed. ``MEMBER_OUT``: after the group was complete, a
    listed member reports another group or none. ``BROKEN``: a member reports the group as broken.
    """

    DISSOLVING = "being broken up"
    MEMBER_SILENT = "member silent"
    MEMBER_GONE = "member gone"
    MEMBER_LEAVING = "member leaving"
    MEMBER_OUT = "member out"
    BROKEN = "broken"
    NOT_FORMED = "not formed in time"
