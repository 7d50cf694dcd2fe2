"""The links of this entry host to targets, with what is known of them, and to its peers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping

from ..clients.httpcall import CallFailure, HttpCaller
from ..clients.proxying import proxy_address
from ..exposition import Exposition
from ..groups.ownership import Presence
from ..records import Records
from ..routing.proxies import Peer, PeerList, Proxies
from ..routing.reachability import Heard, Reachability
from .target_caller import Peers, TargetCaller

MAX_LOGGED_ADDRESSES = 8
"""Addresses named in a log line about targets that can't be reached."""


class TargetLinks:
    """Owns the connections to targets and peers, and logs when links are lost and regained.

    :param alive: returns the present entry hosts, the same mapping object until they change
    :param service_of: returns the service of the target at an address, empty if unknown
    :param heard: returns what peers report of the serving target at an address, ``None`` if no
        target serves there
    :ivar direct: opens connections for requests; other entry hosts' requests use it too
    :ivar caller: sends requests of this host's callers
    """

    def __init__(
        self,
        me: Presence,
        alive: Callable[[], Mapping[str, Presence]],
        service_of: Callable[[str], str],
        heard: Callable[[str], Heard | None],
        rng: random.Random,
        records: Records,
    ) -> None:
        self._me = me
        self._alive = alive
        self._heard = heard
        self._records = records
        self._listed: Mapping[str, Presence] = {}
        self._peer_list = PeerList()
        self._proxies = Proxies(me.data_centre, rng)
        self._to_peers = HttpCaller(monitored=True)
        self.reachability = Reachability(service_of)
        self.direct = HttpCaller(self._record_connection, monitored=True)
        self.caller = self._make_caller(self.direct)

    def separate_caller(self) -> TargetCaller:
        """Return a caller with connections of its own, for orders and probes."""
        return self._make_caller(HttpCaller(self._record_connection, monitored=True))

    def close(self) -> None:
        """Close the idle connections."""
        self.direct.close()
        self._to_peers.close()

    def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer in use, and forget its state."""
        self.direct.forget(address)
        self.reachability.forget(address)

    def show(self, exposition: Exposition) -> None:
        """Register the metrics."""
        links, register = self.reachability, exposition.gauge
        register("connections_opened", "Connections to targets", lambda: self.direct.opened)
        register(
            "targets_unreachable",
            "Targets to which connections failed since one was last opened",
            lambda: links.unreachable(time.monotonic()),
        )
        register(
            "links_broken",
            "Targets that run and that this host can't reach over its own links",
            lambda: links.broken,
        )
        register(
            "sent_through_peers", "Requests that a peer passed on", lambda: self.caller.proxied
        )

    def _make_caller(self, direct: HttpCaller) -> TargetCaller:
        peers = Peers(
            self._me.name, self._list_peers, self._heard_or_unknown, self._note_avoided_peer
        )
        return TargetCaller(direct, self._to_peers, self.reachability, self._proxies, peers)

    def _list_peers(self) -> PeerList:
        """Return the other entry hosts that may pass on requests."""
        alive = self._alive()
        if alive is not self._listed:
            self._listed = alive
            peers = [
                Peer(p.name, proxy_address(p.address), p.data_centre)
                for p in alive.values()
                if p.name != self._me.name
            ]
            local = [p for p in peers if p.data_centre == self._me.data_centre]
            remote = [p for p in peers if p.data_centre != self._me.data_centre]
            self._peer_list = PeerList(local, remote)
        return self._peer_list

    def _heard_or_unknown(self, address: str) -> Heard:
        return self._heard(address) or Heard.UNKNOWN

    def _note_avoided_peer(self, peer: str, address: str, reason: str) -> None:
        self._records.note("dependency", "avoided", dependency=peer, address=address, reason=reason)

    def _record_connection(self, address: str, failure: CallFailure | None) -> None:
        """Record the outcome of a new connection to a target, and log what it changes."""
        now, links = time.monotonic(), self.reachability
        if failure is None:
            change = links.connected(address, now)
        else:
            heard = self._heard(address)
            if heard is None:
                # Hosts that serve nothing often fail; that tells nothing of the own links.
                return
            change = links.failed(address, now, failure.refused, heard)
        if change is not None:
            self._records.note(
                "dependency",
                "lost" if change.lost else "regained",
                dependency="targets",
                unreachable=len(change.targets),
                addresses=change.targets[:MAX_LOGGED_ADDRESSES],
                reached="" if change.lost else address,
                broken=links.broken,
                since_s=round(now - change.since, 3),
            )
