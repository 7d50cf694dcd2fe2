"""The safeguards around broken links and requests through peers, each with its proof."""

from __future__ import annotations

import time
from typing import Any

from oleanderhill.clients import httpcall, proxying
from oleanderhill.platform import entry, orders
from oleanderhill.routing import proxies, reachability
from oleanderhill.routing.reachability import Heard, Route
from oleanderhill.serving import driver, link_checks, placement, proxy_server, target_caller

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants of the choice of a path, of the hop, and of what a cut host says."""
    return [*_of_paths(), *_of_the_hop(), *_of_words()]


def _of_paths() -> list[Mutant]:
    links = reachability.Reachability
    pure = "test_cut_off.ReachabilityTest"
    site = "test_proxied_requests.CutOffHostTest"
    hop = "test_proxied_requests.HopTest"
    return [
        Mutant(
            "requests go through a peer where the own link is broken",
            [(links, "route", lambda self, address, now: Route.DIRECT)],
            testing(f"{pure}.test_a_target_that_a_peer_reaches_is_reached_through_peers"),
        ),
        Mutant(
            "targets that are silent for all hosts are no broken links",
            [(links, "may_ask_peer", lambda self, address, heard, now: True)],
            testing(f"{pure}.test_a_dead_target_is_no_broken_link"),
        ),
        Mutant(
            "a peer's failure clears the own link",
            [(links, "failed_by_peer", lambda self, address, now, others_left=False: None)],
            testing(f"{pure}.test_a_peer_that_fails_too_clears_the_own_links"),
        ),
        Mutant(
            "broken links are checked",
            [(link_checks.LinkCheckTask, "tick", _no_tick)],
            testing(f"{site}.test_direct_again_within_a_second_after_the_cut"),
        ),
        Mutant(
            "the only target is tried again through a peer",
            [(driver.Exchange, "_can_ask_peers", lambda self: False)],
            testing(f"{site}.test_stream_goes_on_through_a_peer_when_its_link_is_lost"),
        ),
        Mutant(
            "links that just failed are left to the checks",
            [(reachability, "FAILED_RECENTLY_SECONDS", 0.0)],
            testing(f"{site}.test_refused_at_once_if_no_host_reaches_the_targets"),
        ),
        Mutant(
            "a peer that does not list a target is asked for others",
            [(proxying.ProxyFailure, "is_unlisted", False)],
            testing(f"{hop}.test_peer_that_does_not_list_a_target_is_asked_for_others"),
        ),
        Mutant(
            "a peer that just helped is not avoided for several lost targets",
            [(proxies, "HELPED_SECONDS", 0.0)],
            testing(
                "test_cut_off.ProxiesTest"
                ".test_a_peer_that_just_helped_is_not_avoided_for_several_lost_targets"
            ),
        ),
        Mutant(
            "probes that found no path are no evidence against a host",
            [(orders.EngineOrders, "_had_no_path", lambda self, address, failure: False)],
            testing(f"{site}.test_owner_without_a_way_to_its_hosts_breaks_up_no_group"),
        ),
        Mutant(
            "peers that could not help are avoided",
            [(proxies.Proxies, "avoid", lambda self, peer, now: None)],
            testing(
                "test_cut_off.ProxiesTest.test_a_peer_that_could_not_help_is_avoided_for_a_while"
            ),
        ),
    ]


def _of_the_hop() -> list[Mutant]:
    server = proxy_server.ProxyServer
    hop = "test_proxied_requests.HopTest"
    return [
        Mutant(
            "the body is sent only once the peer has a connection to the target",
            [(httpcall.HttpCaller, "_send_expected", _send_at_once)],
            testing(f"{hop}.test_nothing_reaches_the_target_if_the_sender_decides_against_it"),
        ),
        Mutant(
            "a request without a body waits for its sender",
            [
                (target_caller, "proxied_body", lambda body: body),
                (proxy_server, "confirmed_body", lambda received: received),
            ],
            testing(f"{hop}.test_nothing_reaches_the_target_if_the_sender_decides_against_it"),
        ),
        Mutant(
            "a silent target takes no peer away",
            [(target_caller.TargetCaller, "_judge_failure", _lost_at_the_peer)],
            testing(f"{hop}.test_a_silent_target_takes_no_peer_away"),
        ),
        Mutant(
            "orders that get no connection are carried by a peer",
            [(target_caller.TargetCaller, "links_proven", lambda self: True)],
            testing(f"{hop}.test_orders_go_through_a_peer_until_an_own_link_is_proven"),
        ),
        Mutant(
            "a target is given up only if no peer is left",
            [(reachability.Reachability, "_confirm", _confirm_for_certain)],
            testing(
                "test_cut_off.ReachabilityTest"
                ".test_a_target_that_other_peers_may_reach_is_not_given_up"
            ),
        ),
        Mutant(
            "a peer that fails at one target is asked about others",
            [(proxies, "MIN_NOT_REACHED", 1)],
            testing(
                "test_cut_off.ProxiesTest.test_peers_that_fail_at_one_target_are_asked_about_others"
            ),
        ),
        Mutant(
            "peers of other data centres are asked where those of the own could not help",
            [(proxies, "DOUBT_PENALTY", 0.0)],
            testing(
                "test_many_cut_off.ManyCutOffTest.test_a_whole_data_centre_is_served_through_the_others"
            ),
        ),
        Mutant(
            "a lost hop is no evidence against the target",
            [(target_caller.TargetCaller, "_judge_failure", _lost_at_the_target)],
            testing(f"{hop}.test_lost_hop_is_unknown_and_no_evidence_against_the_target"),
        ),
        Mutant(
            "one peer whose links may be broken is no evidence against the target",
            [(reachability.Reachability, "proven", lambda self, now: True)],
            testing(f"{hop}.test_another_peer_is_asked_if_the_first_does_not_know_its_own_links"),
        ),
        Mutant(
            "draining hosts and unknown targets get nothing",
            [(server, "_problem", lambda self, address: None)],
            testing(f"{hop}.test_peer_that_drains_or_does_not_know_the_target_takes_nothing"),
        ),
        Mutant(
            "replies to other requests are not passed on",
            [(proxy_server.ProxyServer, "_call", _call_taking_any_reply)],
            testing(f"{hop}.test_late_reply_to_another_request_is_not_passed_on"),
        ),
    ]


def _of_words() -> list[Mutant]:
    site = "test_proxied_requests.CutOffHostTest"
    idle = "test_many_cut_off.IdleCutSiteTest"
    return [
        Mutant(
            "only requests that got data tell that a target is silent",
            [(placement.LoadTracker, "heard_by_peers", _heard_by_counts)],
            testing(f"{idle}.test_requests_that_never_arrive_dont_tell_that_a_target_is_silent"),
        ),
        Mutant(
            "a refused connection is a crash only if a peer agrees",
            [(entry.EntryHost, "_check_target", _believe_own_links)],
            testing(f"{site}.test_a_lost_link_under_a_request_counts_as_no_crash"),
        ),
        Mutant(
            "suspicions that the own links may explain are kept",
            [
                (reachability.Reachability, "blames_links", lambda self, address, now: False),
                (placement.LoadTracker, "heard_by_peers", lambda self, target, now: Heard.SILENT),
            ],
            testing(f"{site}.test_a_cut_host_spreads_no_word_against_the_targets"),
        ),
    ]


async def _no_tick(self: Any) -> None:
    """Check nothing."""


async def _send_at_once(
    self: Any, connection: Any, request: Any, collector: Any, observer: Any, reading: Any
) -> None:
    collector.body_sent = True
    connection.write(request.body)
    connection.finish()


def _heard_by_counts(self: Any, target: str, now: float) -> Heard:
    age = self.peer_progress_age(target, now)
    if age is not None and age <= placement.HEARD_SECONDS:
        return Heard.RUNNING
    busy = any(r.counts.get(target) for r in self._peers.values())
    return Heard.SILENT if busy and age is not None else Heard.UNKNOWN


def _confirm_for_certain(self: Any, address: str, now: float, certain: bool) -> None:
    self._confirmed_by_address[address] = reachability._Confirmed(now + 1.0, True)


def _lost_at_the_peer(self: Any, peer: Any, failure: Any, begun: bool) -> Any:
    self._proxies.avoid(peer, time.monotonic())
    return target_caller.Failure(failure._replace(kind=httpcall.FailureKind.PROXY_LOST))


def _lost_at_the_target(self: Any, peer: Any, address: str, failure: Any, begun: bool) -> Any:
    return target_caller.Failure(failure._replace(kind=httpcall.FailureKind.LOST))


_CALL = proxy_server.ProxyServer._call


def _call_taking_any_reply(self: Any, request: Any, body: bytes) -> Any:
    return _CALL(self, request, body)._replace(is_reply_to_call=None)


async def _believe_own_links(self: Any, name: str, address: str) -> Any:
    return await entry.check_listening(address)
