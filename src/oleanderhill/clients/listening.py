"""Connection checks that distinguish a crashed target from a lost connection."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CONNECT_TIMEOUT = 0.4
"""Seconds to connect; a reachable host accepts or refuses within a few ms."""

CHECK_DELAYS = (0.05, 0.35)
"""Delays in seconds of the checks of a target whose connections were lost: a process may close
them some time before it exits. Each check costs the target a new connection."""


class ListenStatus(StrEnum):
    """The result of a connection check of a target."""

    SAME_INCARNATION = "the same"
    """The target itself answered, in the same incarnation."""

    ACCEPTED = "accepted"
    """A process listens: the target, or another one that now has its address."""

    REFUSED = "refused"
    """The host is reachable, and nothing listens at the port."""

    SILENT = "silent"
    """No answer: the host is down or unreachable."""


async def check_listening(address: str) -> ListenStatus:
    """Connect to ``ip:port`` without sending anything, and return the result."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return ListenStatus.REFUSED
    except (OSError, TimeoutError):
        return ListenStatus.SILENT
    writer.close()
    with contextlib.suppress(OSError):  # the accepted connection is enough
        await writer.wait_closed()
    return ListenStatus.ACCEPTED
