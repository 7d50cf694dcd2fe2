"""Shares of a machine's memory and descriptors that clients may take."""

from __future__ import annotations

import math
import resource

from .serving.reply_memory import MAX_SHARED_BYTES

DEFAULT_MEMORY_MB = 300.0
"""Memory in MB of a machine whose settings state none that makes sense."""

OWN_MEMORY_MB = 64.0
"""Memory in MB that an entry host needs without connections of callers."""

CLIENT_MEMORY_FRACTION = 0.4
"""Fraction of the rest that connections of callers may hold. Replies of targets, buffers of sockets
and what the allocator can't give back take the other part."""

REPLY_MEMORY_FRACTION = 0.3
"""Fraction of the same that replies of targets may keep until they are complete."""

MIN_CLIENT_MEMORY_MB = 16.0
"""Memory in MB that connections of callers may hold in any case, for some bodies of any size."""

MIN_REPLY_MEMORY_MB = 16.0
"""Memory in MB that replies may keep in any case."""

DEFAULT_DESCRIPTORS = 4100.0
"""Descriptors of a process whose settings state no number that makes sense."""

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""

CLIENT_CONNECTION_FRACTION = 2 / 3
"""Fraction of the rest that connections of callers may take; targets and peers need the others."""

PEER_CONNECTION_FRACTION = 1 / 12
"""Fraction of the same that peers may take for each of the two services that they use."""

MIN_CLIENT_CONNECTIONS = 50
"""Connections that callers may have in any case."""

MIN_PEER_CONNECTIONS = 16
"""Connections that peers may have to one service in any case."""


def own_descriptors() -> float:
    """Return the descriptors that the system allows this process, at most the default."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return (
        DEFAULT_DESCRIPTORS
        if allowed == resource.RLIM_INFINITY
        else min(DEFAULT_DESCRIPTORS, allowed)
    )


def client_memory(memory_mb: float) -> float:
    """Return the bytes that the connections of callers may hold on a machine.

    :param memory_mb: memory of the machine in MB
    """
    return _share_of_memory(memory_mb, CLIENT_MEMORY_FRACTION, MIN_CLIENT_MEMORY_MB)


def reply_memory(memory_mb: float) -> float:
    """Return the bytes that replies of targets may keep on a machine.

    :param memory_mb: memory of the machine in MB
    """
    share = _share_of_memory(memory_mb, REPLY_MEMORY_FRACTION, MIN_REPLY_MEMORY_MB)
    return min(MAX_SHARED_BYTES, share)


def _share_of_memory(memory_mb: float, fraction: float, least_mb: float) -> float:
    usable = memory_mb if 0 < memory_mb < math.inf else DEFAULT_MEMORY_MB
    return max((usable - OWN_MEMORY_MB) * fraction, least_mb) * 1024 * 1024


def client_connections(max_fds: float) -> float:
    """Return the connections that callers may have.

    :param max_fds: descriptors of a process
    """
    return _share_of_descriptors(max_fds, CLIENT_CONNECTION_FRACTION, MIN_CLIENT_CONNECTIONS)


def peer_connections(max_fds: float) -> float:
    """Return the connections that peers may have to one service.

    :param max_fds: descriptors of a process
    """
    return _share_of_descriptors(max_fds, PEER_CONNECTION_FRACTION, MIN_PEER_CONNECTIONS)


def _share_of_descriptors(max_fds: float, fraction: float, least: int) -> float:
    usable = max_fds if 0 < max_fds < math.inf else DEFAULT_DESCRIPTORS
    return max(int((usable - FILE_DESCRIPTORS) * fraction), least)
