"""Sockets between entry hosts: one listener, and a bounded number of connections (pynng)."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from functools import singledispatchmethod
from typing import Any

import msgspec
import pynng

from ..decisions import Decisions
from ..kernel import Kernel, Task
from .wire import SendTo, decode_message, encode_message, make_decoders

SEND_BUFFER_MESSAGES = 64
"""Messages buffered for a slow peer; more are dropped, as all are sent again periodically."""

MAX_CONNECTIONS = 64
MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class Peers(Task):
    """Owns the sockets to other entry hosts.

    :param host: name of this entry host
    :param address: ``ip:port`` on which it listens
    :param incarnation: sent to peers, so that they can detect a restart
    :param destination_by_type: name of the task that handles each type of message
    """

    name = "peers"

    def __init__(
        self,
        kernel: Kernel,
        host: str,
        address: str,
        incarnation: int,
        destination_by_type: Mapping[type, str],
        decisions: Decisions,
    ) -> None:
        super().__init__(kernel)
        self._host = host
        self._address = address
        self._incarnation = incarnation
        self._destination_by_type = destination_by_type
        self._decoders = make_decoders(destination_by_type)
        self._decisions = decisions
        self._listener = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket_by_address: dict[str, pynng.Push0] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0

    async def start(self) -> None:
        """Listen and start to receive."""
        self._listener.listen(f"tcp://{self._address}")
        await super().start()
        self.spawn(self._receive())

    async def stop(self) -> None:
        """Send the queued messages, then close all sockets."""
        while not self._inbox.empty():
            self.dispatch(self._inbox.get_nowait())
        await asyncio.sleep(0.05)
        await super().stop()
        self._listener.close()
        for socket in self._socket_by_address.values():
            socket.close()

    def send(self, address: str, body: Any) -> None:
        """Send a message without blocking; drop it if the peer's send buffer is full."""
        if address == self._address:
            return
        data = encode_message(self._host, self._address, self._incarnation, time.monotonic(), body)
        socket = self._socket(address)
        try:
            socket.send(data, block=False)
        except (pynng.TryAgain, pynng.exceptions.NNGException):
            return
        self.bytes_sent += len(data)
        self.messages_sent += 1

    def _socket(self, address: str) -> pynng.Push0:
        socket = self._socket_by_address.pop(address, None)
        if socket is None:
            if len(self._socket_by_address) >= MAX_CONNECTIONS:
                oldest = next(iter(self._socket_by_address))
                self._socket_by_address.pop(oldest).close()
            socket = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=200,
                reconnect_time_max=2000,
            )
            socket.dial(f"tcp://{address}", block=False)
        self._socket_by_address[address] = socket
        return socket

    async def _receive(self) -> None:
        while True:
            data = await self._listener.arecv()
            self.bytes_received += len(data)
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        try:
            received = decode_message(data, time.monotonic(), self._decoders)
        except msgspec.DecodeError as error:
            self._decisions.note("peers", "drop", f"malformed message: {error}")
            return
        if received is not None:
            self.kernel.post(self._destination_by_type[type(received.body)], received)

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle a message from another task."""

    @handle.register
    def _(self, message: SendTo) -> None:
        self.send(message.address, message.body)
