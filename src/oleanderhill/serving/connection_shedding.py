"""Refuses new connections while this host has no time left and gets more than its share.

A load balancer may hand most new connections to one of many hosts. Requests that are read there and
not served in time are lost to their callers, while a refused connection is opened again at another
host. A host that is as busy as the others accepts, as its callers would find no better one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..records import Records

UNEVEN_FACTOR = 2.0
"""Requests in flight here, relative to the mean of all hosts, from which on connections are
refused."""

REFUSE_SECONDS = 1.0
"""Seconds for which connections are refused, before the load is looked at again."""


class Loads(NamedTuple):
    """Requests in flight at targets.

    :param own: those of this host
    :param total: those of all hosts, this one included
    """

    own: int
    total: int
    hosts: int

    @property
    def uneven(self) -> bool:
        """Return whether this host bears much more than the others."""
        return self.hosts > 1 and self.own >= UNEVEN_FACTOR * self.total / self.hosts


class Listener(Protocol):
    """Accepts connections of callers."""

    def refuse_connections(self) -> None:
        """Refuse new connections."""

    def accept_connections(self) -> None:
        """Accept new connections again."""


class ConnectionShedding:
    """Refuses new connections for a while, each time the event loop is found saturated."""

    def __init__(
        self, listener: Callable[[], Listener], loads: Callable[[], Loads], records: Records
    ) -> None:
        self._listener = listener
        self._loads = loads
        self._records = records
        self.refusing = False
        self.times = 0

    def saturated(self) -> None:
        """Handle that the event loop has no time left."""
        loads = self._loads()
        if self.refusing or not loads.uneven:
            return
        self.refusing = True
        self.times += 1
        self._records.note("process", "refusing connections", **loads._asdict())
        self._listener().refuse_connections()
        asyncio.get_running_loop().call_later(REFUSE_SECONDS, self._accept)

    def _accept(self) -> None:
        try:
            self._listener().accept_connections()
        except OSError as error:
            self._records.note("process", "can't accept connections", reason=str(error))
            asyncio.get_running_loop().call_later(REFUSE_SECONDS, self._accept)
            return
        self.refusing = False
        self._records.note("process", "accepting connections", **self._loads()._asdict())
