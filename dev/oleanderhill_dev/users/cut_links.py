"""Cuts entry hosts off from addresses, each entry host by itself.

Of several entry hosts in one process, all tasks and handlers run in the context in which their host
was started. The context tells which one opens a connection.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from collections.abc import Collection, Iterator
from contextvars import ContextVar
from enum import StrEnum
from typing import Any
from unittest import mock

from ..bench_site import free_address

MAX_BINDS = 100
_BLACKHOLE_BACKLOG = 0
_host: ContextVar[str] = ContextVar("entry_host", default="")
_connect = socket.socket.connect


class Cut(StrEnum):
    """What happens to connections across a cut."""

    REFUSED = "open connections are closed, new ones are refused"
    SILENT = "open connections and new ones hang"
    OPEN_LIVE_ON = "open connections live on, new ones are refused"


class CutLinks:
    """The links between entry hosts and targets.

    :param remember_all: whether connections outside of any context are links as well
    :ivar attempts: number of connections that were attempted across a cut
    """

    def __init__(self, remember_all: bool = False) -> None:
        self._remember_all = remember_all
        self._cut_by_host: dict[str, Cut] = {}
        self._addresses: Collection[tuple[str, int]] = ()
        self._open: dict[str, list[tuple[socket.socket, tuple[str, int]]]] = {}
        self._blackhole = socket.socket()
        self._fillers: list[socket.socket] = []
        self.attempts = 0
        self._patch = mock.patch.object(
            socket.socket, "connect", lambda sock, address: self._connect(sock, address)
        )

    def start(self) -> None:
        """Let all connections of this process pass through the links."""
        self._patch.start()

    def stop(self) -> None:
        """Undo :meth:`start`."""
        self._patch.stop()
        for filler in (*self._fillers, self._blackhole):
            filler.close()

    @contextlib.contextmanager
    def acting_as(self, host: str) -> Iterator[None]:
        """Let everything that is started in this block belong to an entry host."""
        token = _host.set(host)
        try:
            yield
        finally:
            _host.reset(token)

    def cut(self, host: str, addresses: Collection[str], how: Cut) -> None:
        """Cut an entry host off from addresses."""
        self._addresses = {_parse(a) for a in addresses}
        self._cut_by_host[host] = how
        for sock, address in self._open.pop(host, []):
            if address in self._addresses and sock.fileno() >= 0:
                self._cut_open(sock, how)

    def heal(self, host: str) -> None:
        """End the cut of an entry host."""
        self._cut_by_host.pop(host, None)

    def _connect(self, sock: socket.socket, address: Any) -> None:
        host = _host.get()
        how = self._cut_by_host.get(host) if address in self._addresses else None
        if how is not None:
            self.attempts += 1
        if how == Cut.SILENT:
            _connect(sock, self._silent_address())
            return
        if how is not None:
            raise ConnectionRefusedError(111, "Connection refused")
        if host or self._remember_all:
            kept = self._open.setdefault(host, [])
            kept[:] = [(s, a) for s, a in kept if s.fileno() >= 0]
            kept.append((sock, address))
        _connect(sock, address)

    def _cut_open(self, sock: socket.socket, how: Cut) -> None:
        if how == Cut.REFUSED:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        elif how == Cut.SILENT:
            silent = socket.socket()
            silent.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                _connect(silent, self._silent_address())
            os.dup2(silent.fileno(), sock.fileno())
            silent.close()

    def _silent_address(self) -> tuple[str, int]:
        """Return an address where connections hang: its queue of new connections is full."""
        if not self._fillers:
            _bind_to_free_address(self._blackhole)
            self._blackhole.listen(_BLACKHOLE_BACKLOG)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    _connect(filler, self._blackhole.getsockname())
                self._fillers.append(filler)
        return self._blackhole.getsockname()


def _bind_to_free_address(sock: socket.socket) -> None:
    """Bind a socket; another process may have a network of the same number."""
    for _ in range(MAX_BINDS):
        try:
            sock.bind(_parse(free_address()))
            return
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, f"no free address in {MAX_BINDS} tries")


def _parse(address: str) -> tuple[str, int]:
    ip, port = address.rsplit(":", 1)
    return ip, int(port)
