"""Wire format of requests to targets that pass through another entry host.

The request is sent to the peer as the target shall get it, with the target's address in a header,
and announced with ``Expect: 100-continue``. The peer first connects to the target, and asks for the
body only then: until it does, nothing was sent to the target. One more byte ends the body, so that
a request without a body waits for its sender too. The peer's reply is the target's, unless
:data:`FAILURE_HEADER` says that it is the peer's own and holds a :class:`ProxyFailure`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec
from tornado.httputil import HTTPHeaders

TARGET_HEADER = "Proxy-Target"
SENDER_HEADER = "Proxy-Sender"
FAILURE_HEADER = "Proxy-Failure"
PROXY_HEADERS = frozenset({TARGET_HEADER, SENDER_HEADER, FAILURE_HEADER})

PORT_OFFSET = 1
"""The proxy of an entry host listens on the port after the one for reports and relayed readings.
Nothing listens there on a host of a release without a proxy."""

FAILURE_STATUS = 502

CONFIRMATION = b"\n"
"""End of a body that is sent to a peer, not part of the request."""


UNLISTED_REASON = "no such target"
"""Reason of a peer whose host list lacks the target. Lists differ while hosts come and go."""


class ProxyFault(StrEnum):
    """What kept a peer from returning a reply of the target."""

    DECLINED = "declined"
    """The peer did not try."""

    NOT_REACHED = "not reached"
    """It could not connect to the target, which may be due to its own links."""

    TARGET_DOWN = "target down"
    """It could not connect to the target, and its own links are known to work."""

    LOST = "lost"
    """It lost the connection after bytes of the request were sent."""


class ProxyFailure(NamedTuple):
    """Why a peer did not return a reply of the target.

    :param refused: whether the target's address refused the connection
    """

    fault: ProxyFault
    reason: str
    refused: bool = False

    @property
    def is_unlisted(self) -> bool:
        """Return whether the peer does not list the target; it may reach others."""
        return self.fault == ProxyFault.DECLINED and self.reason == UNLISTED_REASON


_DECODER = msgspec.msgpack.Decoder(ProxyFailure)


def proxy_address(peers: str) -> str:
    """Return the address of the proxy of an entry host.

    :param peers: ``ip:port`` on which it receives reports of its peers
    """
    ip, port = peers.rsplit(":", 1)
    return f"{ip}:{int(port) + PORT_OFFSET}"


def proxied_headers(headers: Mapping[str, str], target: str, sender: str) -> HTTPHeaders:
    """Return the headers of a request to a target as they are sent to a peer."""
    sent = HTTPHeaders()
    for name, value in _pairs(headers):
        if name.title() not in PROXY_HEADERS:
            sent.add(name, value)
    sent[TARGET_HEADER], sent[SENDER_HEADER] = target, sender
    return sent


def without_proxy_headers(headers: HTTPHeaders, *more: str) -> HTTPHeaders:
    """Return the headers without those that concern the hop between entry hosts.

    :param more: names of further headers to leave out
    """
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in PROXY_HEADERS and name not in more:
            passed.add(name, value)
    return passed


def proxied_body(body: bytes) -> bytes:
    """Return the body of a request as it is sent to a peer."""
    return body + CONFIRMATION


def confirmed_body(received: bytes) -> bytes | None:
    """Return the body for the target, ``None`` if the sender did not confirm the request."""
    return received.removesuffix(CONFIRMATION) if received.endswith(CONFIRMATION) else None


def encode_failure(failure: ProxyFailure) -> bytes:
    """Encode the body of a failure."""
    return msgspec.msgpack.encode(failure)


def decode_failure(body: bytes) -> ProxyFailure:
    """Decode the body of a failure; after one that is malformed the request may have run."""
    try:
        return _DECODER.decode(body)
    except msgspec.DecodeError as error:
        return ProxyFailure(ProxyFault.LOST, f"malformed failure: {error}")


def _pairs(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    if isinstance(headers, HTTPHeaders):
        return list(headers.get_all())
    return list(headers.items())
