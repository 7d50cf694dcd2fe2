"""The safeguards of the path on the users' platform, each with the proof that needs it."""

from __future__ import annotations

import secrets
from typing import Any

from oleanderhill.clients import freshness, keyed, store_reads
from oleanderhill.groups import (
    composing,
    engine_hosts,
    forming,
    inventory,
    owner,
    ownership,
    pacing,
    presence,
    probing,
    readers,
    spares,
)
from oleanderhill.platform import decoding, headers
from oleanderhill.routing import crash_verdicts, crashes, target_limits
from oleanderhill.serving import (
    admission_class,
    driver,
    gossip,
    placement,
    quarantine,
    reports,
    retries,
    retry_detector,
)
from oleanderhill.serving.forwarding import Notice

from ..proving import Mutant, testing
from . import (
    admission_mutants,
    capacity_mutants,
    client_mutants,
    cold_mutants,
    evacuation_mutants,
    listener_mutants,
    notice_mutants,
    part_mutants,
    proxy_mutants,
    restored_mutants,
    retry_mutants,
    shutdown_mutants,
    timing_mutants,
)


def mutants() -> list[Mutant]:
    """Return the mutants of this path."""
    life = "test_incarnations.LifeTest"
    form = "test_groups.FormingTest"
    return [
        Mutant(
            "newest life of a name",
            [(inventory.Inventory, "put", _put_any)],
            testing(f"{life}.test_late_entry_of_an_ended_life_revives_nothing"),
        ),
        Mutant(
            "members that started again have left",
            [(inventory.Inventory, "ended", lambda self, instance: False)],
            testing(f"{life}.test_later_life_takes_the_place_of_the_earlier_one"),
        ),
        Mutant(
            "grace for entries that lapsed with the store",
            [(inventory.Inventory, "extend_grace", lambda self, until: None)],
            testing(
                "test_groups.InventoryTest"
                ".test_entries_that_lapsed_with_the_store_get_time_to_come_back"
            ),
        ),
        Mutant(
            "names that go into headers",
            [(decoding, "_NAME", _Anything())],
            testing("test_incarnations.DecodingTest.test_what_names_no_host"),
        ),
        Mutant(
            "own writes are told to those that read here",
            [(keyed.KeyedCopy, "change", _only_news_to_itself)],
            testing("test_relay.RelayTest.test_what_the_reader_writes_itself_reaches_its_peers"),
        ),
        Mutant(
            "a host is free once it left",
            [(forming.DomainKeeper, "_has_left", lambda self, now, host: True)],
            testing(f"{form}.test_no_host_is_ever_in_two_groups_whatever_happens"),
        ),
        Mutant(
            "a group that is broken up is past mending",
            [(forming.DomainKeeper, "ended", _ended_without_condemning)],
            testing(f"{form}.test_group_that_is_being_broken_up_is_not_formed_again"),
        ),
        Mutant(
            "silence of all proves nothing",
            [(forming, "REACHABLE_SECONDS", 1e9)],
            testing(f"{form}.test_silence_of_all_is_not_taken_for_loss"),
        ),
        Mutant(
            "refused loads don't count",
            [(spares.Spares, "ended", lambda self, order, end, now: None)],
            testing(f"{form}.test_load_that_was_refused_does_not_hold_up_the_next_one"),
        ),
        Mutant(
            "loads are shared by the domains that show later",
            [(pacing.LoadPacer, "share_among", _share_once)],
            testing(
                "test_groups.PacingTest"
                ".test_owner_that_came_first_shares_with_the_domains_that_show_later"
            ),
        ),
        Mutant(
            "pause after a write that failed",
            [(owner, "WRITE_RETRY_SECONDS", 0.0)],
            testing("test_users_site.FailureTest.test_rejecting_store_is_not_flooded_with_plans"),
        ),
        Mutant(
            "late requests leave places free",
            [
                (
                    admission_class,
                    "ENGINE_QUEUE_LIMITS",
                    dict.fromkeys(admission_class.AdmissionClass, _LONG_QUEUE),
                )
            ],
            testing(
                "test_serving.StandingTest"
                ".test_late_request_leaves_places_for_those_that_can_be_on_time"
            ),
        ),
        Mutant(
            "who uses a connection again did not come back",
            [(retry_detector.RetryDetector, "is_retry", _by_patience_alone)],
            testing(
                "test_serving.ReturningTest"
                ".test_first_attempts_differ_in_patience_and_still_count_as_first"
            ),
        ),
        Mutant(
            "age of the proof that keys hold",
            [(freshness, "FRESHNESS_MARGIN", -0.5)],
            testing("test_serving.FreshnessTest.test_proof_runs_out_before_the_bound"),
        ),
        Mutant(
            "a part of the slack for each host",
            [(retries.SharedRetryBudget, "remaining", lambda self, now: 1e9)],
            testing("test_serving.RetryTest.test_shares_of_all_hosts_stay_under_the_bound"),
        ),
        Mutant(
            "progress that peers report",
            [
                (
                    placement.LoadTracker,
                    "recently_progressed",
                    lambda self, target, now, within: False,
                )
            ],
            testing(
                "test_serving.PlacingTest.test_target_that_sends_to_others_is_busy_and_not_stuck"
            ),
        ),
        *_at_size(),
        *_of_endings(),
        *_of_limits(),
        *admission_mutants.mutants(),
        *evacuation_mutants.mutants(),
        *notice_mutants.mutants(),
        *proxy_mutants.mutants(),
        *cold_mutants.mutants(),
        *restored_mutants.mutants(),
        *capacity_mutants.mutants(),
        *timing_mutants.mutants(),
        *retry_mutants.mutants(),
        *part_mutants.mutants(),
        *client_mutants.mutants(),
        *listener_mutants.mutants(),
        *shutdown_mutants.mutants(),
    ]


def _of_endings() -> list[Mutant]:
    """Return the mutants of what is kept of requests that end targets."""
    ending = "test_crashes.EndingTest"
    return [
        Mutant(
            "what another explains says nothing",
            [
                (crash_verdicts, "MIN_CRASHES", 1),
                (crash_verdicts, "MIN_LIKELIHOOD_RATIO", 0.0),
            ],
            testing(
                f"{ending}.test_companion_of_the_culprit_is_not_quarantined_and_only_delays_its_quarantine"
            ),
        ),
        Mutant(
            "chance of endings by themselves",
            [(crash_verdicts, "MIN_LIKELIHOOD_RATIO", 0.0)],
            testing(f"{ending}.test_independent_crashes_in_series_quarantine_no_innocent_request"),
        ),
        Mutant(
            "a lost connection is no ending",
            [
                (
                    crashes.CrashTracker,
                    "record_sign_of_life",
                    lambda self, life, now, asked=False: True,
                )
            ],
            testing(f"{ending}.test_lost_connection_to_a_life_that_goes_on_is_no_ending"),
        ),
        Mutant(
            "a whole answer clears",
            [(crashes.CrashTracker, "answered", lambda self, identity, now: (True, []))],
            testing(f"{ending}.test_whole_answer_clears_and_what_was_before_counts_no_more"),
        ),
        Mutant(
            "same by what it asks, not by its id",
            [(driver, "identity", lambda *parts: secrets.token_hex(8))],
            testing(_COMES_AGAIN),
        ),
        Mutant(
            "what other entry hosts saw counts",
            [(crashes.CrashTracker, "apply_peer_update", lambda self, news, now: [])],
            testing(f"{ending}.test_what_several_entry_hosts_saw_adds_up_and_reaches_all"),
        ),
        Mutant(
            "quarantines outlive all entry hosts",
            [(quarantine.QuarantineTask, "change", lambda self, key, value, revision, now: False)],
            testing(
                f"{_CRASH}.test_quarantined_request_stays_so_when_all_entry_hosts_restart_at_once"
            ),
        ),
        Mutant(
            "the account at the project's own edge",
            [(crashes.CrashTracker, "problem", lambda self, identity, now, ran: None)],
            testing(
                "test_suspects.CrashCausingRequestTest"
                ".test_request_that_crashes_each_engine_is_quarantined"
            ),
        ),
        Mutant(
            "bound of endings kept",
            [(crashes, "MAX_CRASHES", 100_000), (crashes, "MAX_QUARANTINED", 100_000)],
            testing(f"{ending}.test_what_is_kept_and_told_is_bounded_whatever_comes"),
        ),
        Mutant(
            "one trial after the time of a quarantine",
            [(crashes.CrashTracker, "release", lambda self, identity, now: None)],
            testing(
                f"{ending}.test_after_its_time_it_is_tried_once_and_one_ending_quarantines_it_again"
            ),
        ),
    ]


def _of_limits() -> list[Mutant]:
    """Return the mutants of the limits that targets name for all entry hosts together."""
    account = "test_rate_limits.TargetLimitsTest"
    site = "test_rate_limits.LimitTest"
    spread = "test_rate_limits.LimitSpreadTest"
    book = target_limits.TargetLimits
    return [
        Mutant(
            "limits are read from answers",
            [(headers, "stated_limit", lambda headers: None)],
            testing(f"{site}.test_plain_target_gets_no_more_than_its_limit_from_all_entry_hosts"),
        ),
        Mutant(
            "a limit is for all entry hosts together",
            [(book, "_sharers", lambda self, life, rate: (self._me,))],
            testing(f"{account}.test_hosts_in_sum_keep_the_limit_and_use_it"),
        ),
        Mutant(
            "few share a limit",
            [(target_limits, "SHARERS_PER_RATE", 1e9)],
            testing(f"{account}.test_all_idle_shares_at_once_stay_within_the_bound"),
        ),
        Mutant(
            "first turns follow each other",
            [(target_limits, "RESTAGGER_BELOW", 0.0)],
            testing(f"{account}.test_much_lower_limit_has_each_host_wait_its_turn_anew"),
        ),
        Mutant(
            "who takes over a share waits",
            [(target_limits, "NEW_SHARER_DELAY", 0.0)],
            testing(
                f"{account}.test_who_takes_anothers_share_waits_until_what_that_one_sent_is_past"
            ),
        ),
        Mutant(
            "who hears nobody takes no share",
            [(book, "update_hosts", _always_has_peers)],
            testing(f"{account}.test_host_that_hears_nobody_takes_no_share"),
        ),
        Mutant(
            "only a newer answer loosens a limit",
            [(book, "answered", _all_answers_are_newer)],
            testing(f"{account}.test_older_answer_neither_ends_nor_raises_a_limit"),
        ),
        Mutant(
            "checked again before the first byte",
            [(book, "confirm", lambda self, permit, now: True)],
            testing(f"{account}.test_request_that_was_placed_before_the_news_is_held_back"),
        ),
        Mutant(
            "peers are told of limits",
            [(book, "apply_peer_update", lambda self, news, listed, now: [])],
            testing(f"{spread}.test_host_that_restarts_is_told_within_a_second"),
        ),
        Mutant(
            "all statements are told again",
            [(target_limits, "FULL_UPDATE_INTERVAL", 1e9)],
            testing(f"{spread}.test_host_that_restarts_is_told_within_a_second"),
        ),
        Mutant(
            "a refusal that names a limit is no sign of trouble",
            [(driver.Exchange, "read_reply", _read_without_limit)],
            testing(f"{site}.test_refusal_that_names_a_limit_puts_nobody_in_doubt"),
        ),
        Mutant(
            "who stands in for a hub is told",
            [
                (reports, "report_recipients", _first_hubs_only),
                (gossip, "report_recipients", _first_hubs_only),
            ],
            testing(f"{spread}.test_all_know_of_it_though_a_hub_is_killed"),
        ),
        Mutant(
            "targets are asked though they take nothing",
            [(target_limits, "MIN_RATE", 1e-9)],
            testing(f"{account}.test_hosts_in_sum_keep_the_limit_and_use_it"),
        ),
        Mutant(
            "bound of statements kept",
            [(target_limits, "MAX_STATEMENTS", 100_000)],
            testing(f"{account}.test_what_is_kept_is_bounded_and_what_ended_goes_first"),
        ),
    ]


def _always_has_peers(self: Any, hosts: Any, has_peers: bool, now: float) -> None:
    _UPDATE_HOSTS(self, hosts, True, now)


_UPDATE_HOSTS = target_limits.TargetLimits.update_hosts


def _read_without_limit(self: Any, status: int, found: Any) -> Any:
    return self.context.codec.read_reply(status, found)._replace(notice=Notice())


def _all_answers_are_newer(
    self: Any, life: str, rate: Any, asked: Any, asked_at: float, now: float
) -> Any:
    return _ANSWERED(self, life, rate, asked, now, now)


_ANSWERED = target_limits.TargetLimits.answered


def _first_hubs_only(
    me: Any, alive: Any, rankings: Any, reporters: Any, silent: bool, heard: Any = ()
) -> Any:
    return _REPORT_RECIPIENTS(me, alive, rankings, reporters, silent)


_REPORT_RECIPIENTS = reports.report_recipients

_CRASH = "test_crashes.CrashTest"
_COMES_AGAIN = f"{_CRASH}.test_request_that_ends_each_replica_is_soon_passed_on_to_none"


def _at_size() -> list[Mutant]:
    """Return the mutants of what large fleets need."""
    return [
        Mutant(
            "a few targets for those that choose at once",
            [(placement, "HERD_LIMIT", 1e9)],
            testing(
                "test_serving.PlacingTest"
                ".test_a_group_that_just_opened_is_not_overrun_by_all_hosts_at_once"
            ),
        ),
        Mutant(
            "spares only for models that are all but full",
            [(composing, "UNDERSUPPLY_RATIO", 1e9)],
            testing("test_groups.ComposingTest.test_spares_are_not_made_into_one_more_small_group"),
        ),
        Mutant(
            "who answers an order is there",
            [(forming.DomainKeeper, "ended", _ended_still_silent)],
            testing(
                "test_groups.ReturnTest"
                ".test_hosts_that_come_back_from_a_cut_are_not_taken_for_silent_for_ever"
            ),
        ),
        Mutant(
            "pauses between questions to a group that answers",
            [(probing, "MAX_ROUND_INTERVAL", 0.1)],
            testing(
                "test_groups.RoundsTest.test_members_that_all_answer_are_asked_ever_less_often"
            ),
        ),
        Mutant(
            "the store first after an answer without news",
            [(readers, "STORE_FIRST_SECONDS", 0.0)],
            testing(
                "test_relay.SourcesTest"
                ".test_reader_with_nothing_to_give_leaves_time_to_read_the_store"
            ),
        ),
        Mutant(
            "duties for strong machines",
            [(ownership, "STRONG_FRACTION", 0.0)],
            testing("test_relay.ReaderTest.test_duties_for_many_fall_to_strong_machines"),
        ),
        Mutant(
            "domains that changed are worked out anew",
            [(engine_hosts.EngineHosts, "_rebuild", _once_only)],
            testing("test_scale.OracleTest" ".test_cached_state_equals_a_full_recomputation"),
        ),
        Mutant(
            "proof only from a configuration that is unchanged",
            [(store_reads.StoreSource, "_check", _prove_anyhow)],
            testing(
                "test_relay.ProofTest.test_without_such_an_answer_the_proof_is_that_of_the_reading"
            ),
        ),
        Mutant(
            "a watch that tells nothing of a change is given up",
            [(store_reads.StoreSource, "_watch", _told_in_the_end)],
            testing(
                "test_relay.ProofTest.test_reader_that_is_told_nothing_of_a_change_reads_everything"
            ),
        ),
        Mutant(
            "doubt of most targets is not believed",
            [(placement, "MAX_SUSPECT_FRACTION", 1.0)],
            testing(
                "test_serving.PlacingTest"
                ".test_callers_are_not_refused_while_most_groups_stand_idle_under_suspicion"
            ),
        ),
        Mutant(
            "a pool of retries is divided until all know what was taken",
            [(retries.SharedRetryBudget, "_pool", _all_of_the_pool)],
            testing(
                "test_serving.RetryTest"
                ".test_pooled_shares_stay_under_the_bound_whoever_hears_whom"
            ),
        ),
        Mutant(
            "a store that refuses is asked less and less",
            [(presence, "renew_retry_delay", lambda failures: presence.FIRST_RETRY)],
            testing(
                "test_presence.RefusedTest"
                ".test_store_that_refuses_for_long_is_asked_less_and_less"
            ),
        ),
    ]


async def _prove_anyhow(self: Any, held: Any, began: float) -> None:
    await self._storage.unchanged(held)
    self._record_verified(began)


async def _told_in_the_end(self: Any, after: int) -> Any:
    return await self._storage.changes(after)


def _all_of_the_pool(self: Any, count: retries.RetryCount) -> float:
    # What each takes of it is the whole, as it is divided by the hosts.
    return _POOL(self, count) * count.hosts


_POOL = retries.SharedRetryBudget._pool


_LONG_QUEUE = admission_class.QueueLimit(1.8, 0)


class _Anything:
    def fullmatch(self, text: str) -> bool:
        return True


def _put_any(self: Any, host: Any) -> Any:
    before = self.by_instance.get(host.instance)
    self._replace(before, host)
    self._instance_by_name[host.instance.name] = host.instance
    return inventory.PutResult(True, before, None)


def _only_news_to_itself(self: Any, key: str, value: Any, revision: int, now: float) -> bool:
    if value is None:
        return self._drop(key)
    return self.put(key, value, revision)


def _ended_without_condemning(self: Any, order: Any, end: Any, now: float) -> None:
    dissolving = set(self._dissolving)
    _ENDED(self, order, end, now)
    self._dissolving = dissolving


def _ended_still_silent(self: Any, order: Any, end: Any, now: float) -> None:
    missed = dict(self._unanswered_probes)
    _ENDED(self, order, end, now)
    self._unanswered_probes = missed


_ENDED = forming.DomainKeeper.ended


def _once_only(self: Any, domain: str) -> None:
    if domain not in self._by_domain:
        _REBUILD(self, domain)


_REBUILD = engine_hosts.EngineHosts._rebuild


def _share_once(self: Any, domains: int) -> None:
    if not self._domains:
        _SHARE(self, domains)


_SHARE = pacing.LoadPacer.share_among


def _by_patience_alone(
    self: Any, route: str, patience: float | None, first: bool, *more: Any
) -> bool:
    return _CAME_BACK(self, route, patience, True, *more)


_CAME_BACK = retry_detector.RetryDetector.is_retry
