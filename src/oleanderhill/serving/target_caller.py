"""Calls targets over the links of this entry host, or through a peer where those are broken."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from ..clients.httpcall import Call, CallFailure, FailureKind, HttpCaller, Observer, Reply
from ..clients.proxying import (
    FAILURE_HEADER,
    ProxyFailure,
    ProxyFault,
    decode_failure,
    proxied_body,
    proxied_headers,
)
from ..routing.proxies import Peer, PeerList, Proxies
from ..routing.reachability import Heard, Reachability, Route

TAKE_TIMEOUT = 0.25
"""Seconds for a peer to take a request: it may need a connection to the target first."""

MAX_PEERS_TRIED = 8
"""Peers that are asked to take one request. Those that are cut off too decline at once."""

MAX_ASK_SECONDS = 0.75
"""Seconds after which no further peer is asked to take a request."""

MAX_NOT_REACHED = 2
"""Peers that could not connect to a target either, after which the target is taken to have failed.
Each may take the whole time of a connection."""


def _ignore_avoided(peer: str, address: str, reason: str) -> None:
    """Ignore that a peer is avoided."""


class Peers(NamedTuple):
    """The other entry hosts.

    :param name: name of this entry host
    :param listed: returns those that may pass on requests
    :param heard: returns what their reports tell about the target at an address
    :param on_avoided: called with a peer that is avoided from now on, the address of the target
        that a request was for, and the reason
    """

    name: str
    listed: Callable[[], PeerList]
    heard: Callable[[str], Heard]
    on_avoided: Callable[[str, str, str], None] = _ignore_avoided


class _ProxiedObserver(Observer):
    """Passes on what the target sent, and keeps what the peer says itself.

    :param on_taken: called when the peer has a connection to the target
    """

    def __init__(self, observer: Observer | None, on_taken: Callable[[], None]) -> None:
        self._observer = observer
        self._on_taken = on_taken
        self._failed = False
        self._chunks: list[bytes] = []
        self.begun = False

    @property
    def failure(self) -> ProxyFailure | None:
        """Return the failure that the peer reported."""
        return decode_failure(self.body) if self._failed else None

    @property
    def body(self) -> bytes:
        """Return what was kept: the target's reply, unless an observer received it."""
        return b"".join(self._chunks)

    def confirm_send(self) -> bool:
        self._on_taken()
        return self._observer is None or self._observer.confirm_send()

    def headers(self, status: int, headers: HTTPHeaders) -> None:
        self._failed = FAILURE_HEADER in headers
        self.begun = not self._failed
        if self._observer is not None and not self._failed:
            self._observer.headers(status, headers)

    def max_body(self, limit: int) -> int | None:
        if self._observer is None or self._failed:
            return limit
        return self._observer.max_body(limit)

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        if self._observer is not None and not self._failed:
            return self._observer.data(chunk)
        self._chunks.append(chunk)
        return None


class _Withholding(Observer):
    """Sends nothing to the target."""

    def confirm_send(self) -> bool:
        return False


def _ignore_path(via: str) -> None:
    """Ignore the path of a request."""


class TargetCaller:
    """Calls targets; takes part in what is known of the links to them.

    :param direct: opens connections to targets, and reports their outcome to ``reachability``
    :param to_peers: opens connections to the proxies of peers
    """

    def __init__(
        self,
        direct: HttpCaller,
        to_peers: HttpCaller,
        reachability: Reachability,
        proxies: Proxies,
        peers: Peers,
    ) -> None:
        self.direct = direct
        self._to_peers = to_peers
        self._reachability = reachability
        self._proxies = proxies
        self._peers = peers
        self.proxied = 0

    async def call(
        self,
        request: Call,
        observer: Observer | None = None,
        on_path: Callable[[str], None] = _ignore_path,
        second_opinion: bool = False,
    ) -> Result[Reply, CallFailure]:
        """Send one request to a target and read its reply.

        :param on_path: called before the request is sent, with the peer that passes it on, empty
            for the own links
        :param second_opinion: whether a peer is asked about any target that refuses or is silent
        """
        route = self._reachability.route(request.address, time.monotonic())
        if route == Route.UNREACHABLE:
            reason = "neither this host nor any peer could connect just now"
            return Failure(CallFailure(FailureKind.NOT_CONNECTED, False, reason))
        if route == Route.OPEN_CONNECTION:
            stream = self.direct.take_idle(request.address) if request.reuse else None
            if stream is not None:
                on_path("")
                return await self.direct.exchange(stream, request, observer)
        if route != Route.DIRECT:
            return await self._call_peers(request, observer, on_path)
        opened = await self.direct.open(request)
        if is_successful(opened):
            on_path("")
            return await self.direct.exchange(opened.unwrap(), request, observer)
        heard = Heard.RUNNING if second_opinion else self._peers.heard(request.address)
        if not self._reachability.may_ask_peer(request.address, heard, time.monotonic()):
            return Failure(opened.failure())
        return await self._call_peers(request, observer, on_path, opened.failure())

    def links_proven(self) -> bool:
        """Return whether a connection over the own links was opened lately."""
        return self._reachability.proven(time.monotonic())

    def links_may_explain(self, address: str) -> bool:
        """Return whether the own links may be why a call to a host failed."""
        return self._reachability.may_explain(address, time.monotonic())

    async def is_running(self, address: str) -> bool:
        """Return whether a peer can connect to a target; nothing is sent to it."""
        request = Call(address, "GET", "/", reuse=True, connect_timeout=TAKE_TIMEOUT)
        outcome = await self._call_peers(request, _Withholding(), _ignore_path)
        return not is_successful(outcome) and outcome.failure().kind == FailureKind.WITHHELD

    def has_idle_connection(self, address: str) -> bool:
        """Return whether a request to a target needs no new connection of this host."""
        if self._reachability.route(address, time.monotonic()) == Route.PEER:
            return True
        return self.direct.has_idle_connection(address)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that is no longer in use."""
        self.direct.forget(address)

    async def _call_peers(
        self,
        request: Call,
        observer: Observer | None,
        on_path: Callable[[str], None],
        failure: CallFailure | None = None,
    ) -> Result[Reply, CallFailure]:
        """Send a request through the first peer that takes it.

        :param failure: outcome if no peer does
        """
        tried: set[str] = set()
        not_reached: list[CallFailure] = []
        ask_until = time.monotonic() + MAX_ASK_SECONDS
        while len(tried) < MAX_PEERS_TRIED and len(not_reached) < MAX_NOT_REACHED:
            if time.monotonic() >= ask_until:
                break
            peer = self._choose_peer(tried, request.address)
            if peer is None:
                break
            tried.add(peer.name)
            on_path(peer.name)
            found = await self._call_through(peer, request, observer)
            if isinstance(found, Result):
                return found
            if found.fault == ProxyFault.NOT_REACHED:
                not_reached.append(_not_connected(peer, found))
        on_path("")
        if not_reached:
            others_left = self._choose_peer(tried, request.address) is not None
            self._reachability.failed_by_peer(request.address, time.monotonic(), others_left)
            return Failure(not_reached[-1])
        reason = f"no own link, and none of {len(tried)} peers asked reaches it"
        return Failure(failure or CallFailure(FailureKind.NOT_CONNECTED, False, reason))

    def _choose_peer(self, tried: Collection[str], address: str) -> Peer | None:
        return self._proxies.choose(self._peers.listed(), tried, address, time.monotonic())

    async def _call_through(
        self, peer: Peer, request: Call, observer: Observer | None
    ) -> Result[Reply, CallFailure] | ProxyFailure:
        """Send a request through a peer; return its failure if it did not take the request."""
        proxied = request._replace(
            address=peer.address,
            headers=proxied_headers(request.headers, request.address, self._peers.name),
            body=proxied_body(request.body),
            reuse=True,
            accept_close_delimited=False,
            is_reply_to_call=None,
            connect_timeout=TAKE_TIMEOUT,
            expect_continue=True,
        )
        collector = _ProxiedObserver(observer, lambda: self._taken(peer, request.address))
        self._proxies.begin(peer.name)
        try:
            result = await self._to_peers.call(proxied, collector)
        finally:
            self._proxies.end(peer.name)
        if not is_successful(result):
            return self._judge_failure(peer, request.address, result.failure(), collector.begun)
        said = collector.failure
        if said is None:
            return Success(result.unwrap()._replace(body=collector.body))
        return self._judge(peer, request.address, said)

    def _taken(self, peer: Peer, address: str) -> None:
        now = time.monotonic()
        self.proxied += 1
        self._proxies.took(peer, now)
        self._reachability.reached_by_peer(address, now)

    def _judge_failure(
        self, peer: Peer, address: str, failure: CallFailure, begun: bool
    ) -> Result[Reply, CallFailure] | ProxyFailure:
        """Return the outcome of a request whose exchange with the peer failed.

        :param begun: whether the target's reply had begun; then the target may have broken it off
        """
        if failure.kind == FailureKind.WITHHELD:
            return Failure(failure)
        if failure.kind == FailureKind.TIMEOUT and failure.sent:
            # The peer reached the target, which may be what is silent.
            return Failure(failure._replace(reason=f"{peer.name}: {failure.reason}"))
        if failure.invalid and begun:
            # The peer passes on what the target sends.
            return Failure(failure._replace(reason=f"{peer.name}: {failure.reason}"))
        if not begun:
            self._avoid(peer, address, failure.reason)
        if not failure.sent:
            return ProxyFailure(ProxyFault.DECLINED, failure.reason)
        reason = f"{peer.name}: {failure.reason}"
        return Failure(CallFailure(FailureKind.PROXY_LOST, True, reason))

    def _judge(
        self, peer: Peer, address: str, said: ProxyFailure
    ) -> Result[Reply, CallFailure] | ProxyFailure:
        """Return the outcome of a request for which the peer has no reply of the target."""
        now = time.monotonic()
        match said.fault:
            case ProxyFault.LOST:
                reason = f"{peer.name}: {said.reason}"
                return Failure(CallFailure(FailureKind.LOST, True, reason))
            case ProxyFault.TARGET_DOWN:
                self._proxies.took(peer, now)
                self._reachability.failed_by_peer(address, now)
                return Failure(_not_connected(peer, said))
            case ProxyFault.NOT_REACHED:
                if self._proxies.not_reached(peer, address, now):
                    self._peers.on_avoided(peer.name, address, said.reason)
            case ProxyFault.DECLINED if said.is_unlisted:
                self._proxies.unlisted(peer, address, now)
            case ProxyFault.DECLINED:
                self._avoid(peer, address, said.reason)
        return said

    def _avoid(self, peer: Peer, address: str, reason: str) -> None:
        if self._proxies.avoid(peer, time.monotonic()):
            self._peers.on_avoided(peer.name, address, reason)


def _not_connected(peer: Peer, said: ProxyFailure) -> CallFailure:
    reason = f"{peer.name}: {said.reason}"
    return CallFailure(FailureKind.NOT_CONNECTED, False, reason, said.refused)
