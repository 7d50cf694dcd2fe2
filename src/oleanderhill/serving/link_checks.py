"""Tries broken links again, so that no request of a caller has to."""

from __future__ import annotations

import time

from returns.pipeline import is_successful

from ..clients.httpcall import Call, HttpCaller
from ..kernel import Kernel, Task
from ..routing.reachability import Reachability

CONNECT_TIMEOUT = 0.25
"""Seconds to connect to a target."""


class LinkCheckTask(Task):
    """Opens connections to targets whose links are broken or in doubt.

    :param caller: keeps the connections that could be opened for later requests
    """

    name = "link checks"
    interval = 0.1

    def __init__(self, kernel: Kernel, caller: HttpCaller, reachability: Reachability) -> None:
        super().__init__(kernel)
        self._caller = caller
        self._reachability = reachability

    async def start(self) -> None:
        """Start the timer."""
        self.spawn(self._tick_loop())

    async def tick(self) -> None:
        """Start the checks that are due."""
        for address in self._reachability.take_checks(time.monotonic()):
            self.spawn(self._check(address))

    async def _check(self, address: str) -> None:
        """Open a connection; the caller reports the outcome to the reachability."""
        call = Call(address, "GET", "/", connect_timeout=CONNECT_TIMEOUT)
        opened = await self._caller.open(call)
        if is_successful(opened):
            self._caller.put_back(call._replace(reuse=True), opened.unwrap())
