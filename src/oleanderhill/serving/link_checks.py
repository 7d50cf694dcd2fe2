"""Tries broken links again, so that no request of a caller has to."""

from __future__ import annotations

import time

from returns.pipeline import is_successful

from ..clients.httpcall import Call
from ..kernel import Kernel, Task
from ..routing.reachability import Reachability
from .target_caller import TargetCaller

CONNECT_TIMEOUT = 0.2
"""Seconds to connect to a target."""


class LinkCheckTask(Task):
    """Opens connections to targets whose links are broken or in doubt.

    :param caller: its pool keeps the connections that could be opened for later requests
    """

    name = "link checks"
    interval = 0.1

    def __init__(self, kernel: Kernel, caller: TargetCaller, reachability: Reachability) -> None:
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
        """Open a connection; where that fails and the cause is not known, ask a peer."""
        call = Call(address, "GET", "/", connect_timeout=CONNECT_TIMEOUT)
        opened = await self._caller.direct.open(call)
        if is_successful(opened):
            self._caller.direct.put_back(call._replace(reuse=True), opened.unwrap())
        elif self._reachability.is_unexplained(address, time.monotonic()):
            await self._caller.is_running(address)
