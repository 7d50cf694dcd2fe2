"""``make mutants``: takes out each safeguard in turn and runs the proof that must then fail.

A safeguard is taken out here, by replacing one of the product's functions or constants while the
proof runs; the product has no switch for it. A proof that goes on passing means that the safeguard
is unproved or not needed.
"""

from __future__ import annotations

import sys
from contextlib import ExitStack
from typing import Any
from unittest import mock

import defopt
from hypothesis.stateful import RuleBasedStateMachine

from oleanderhill import ownership
from oleanderhill.domains import host_reports, ledger, orders, placement, planner, steward
from oleanderhill.journal import once
from oleanderhill.limits import accounts as limits
from oleanderhill.members import membership
from oleanderhill.requests import attempts
from oleanderhill.routing import completeness, evidence, skew
from oleanderhill.routing import router as routing
from oleanderhill.settings import documents
from oleanderhill.settings import writes as settings
from oleanderhill.types import EngineState

from .fuzz import run_once
from .fuzz_domain import DomainMachine
from .fuzz_requests import RequestsMachine
from .fuzz_settings import SettingsMachine
from .proving import Mutant, Proof, testing
from .users.mutants import mutants as of_users_path

SEEDS = 12
CREATED = ("max", "leaving_hosts", "fleet")
"""Names that the target does not have itself: a builtin, attributes of instances."""


def fuzz_check(machine: type[RuleBasedStateMachine], examples: int = 40, steps: int = 40) -> Proof:
    """Return the proof by a state machine, over a fixed set of seeds."""

    def run() -> None:
        for number in range(SEEDS):
            run_once(machine, number, examples, steps)

    return Proof(f"fuzz:{machine.__name__}", run)


def mutants() -> list[Mutant]:
    """Return all mutants."""
    domain = fuzz_check(DomainMachine)
    requests = fuzz_check(RequestsMachine, 60, 60)
    tree = fuzz_check(SettingsMachine, 60, 50)
    return [
        Mutant("boot id of a member", [(completeness, "member_fault", _ignoring_boots)], domain),
        Mutant("age of evidence", [(routing.Router, "may_send", _may_send_old)], domain),
        Mutant("delay of a message", [(skew.ClockOffsets, "sent_at", _arrival)], domain),
        Mutant("settling of a sender's clock", [(skew, "SETTLE_SECONDS", 0.0)], domain),
        Mutant(
            "wait until a host let go",
            [(placement, "_empty_long_enough", _let_go_at_once)],
            _LET_GO,
        ),
        Mutant(
            "load order on its way",
            [(host_reports.HostWatch, "expect_load", _expect_nothing)],
            _EXPECT,
        ),
        Mutant("wait of a taker", [(ownership, "TAKE_OVER_DELAY", 0.0)], _TAKER),
        Mutant("confirmation before an order", [(ownership, "CONFIRM_WINDOW", 1e9)], domain),
        Mutant(
            "leaving list at the router", [(routing.Router, "leaving_hosts", _Nothing())], domain
        ),
        Mutant("leaving members close a group", [(steward, "state_of", _never_closing)], domain),
        Mutant(
            "life of an owner", [(steward.DomainSteward, "_owner_is_active", _named_acts)], domain
        ),
        Mutant(
            "rank of records by owner",
            [(evidence.EvidenceTracker, "_store_records", _keep_by_version)],
            _RANK,
        ),
        Mutant(
            "orders mend other groups", [(placement, "FAULTS_FIXED_BY_LOAD", frozenset())], domain
        ),
        Mutant("rule of the ledger", [(ledger, "_add_group", _put_unchecked)], _LEDGER_RULE),
        Mutant("epochs outlive groups", [(ledger, "_add_group", _put_unchecked)], _EPOCHS),
        Mutant("pause of the owner", [(steward, "PAUSE_THRESHOLD", 1e9)], _PAUSE),
        Mutant("wait of a displaced owner", [(steward, "RETAKE_DELAY", 0.0)], _DISPLACED),
        Mutant("older copy of the ledger", [(ledger, "ordering_key", lambda v: (0, 0))], _SET_BACK),
        Mutant("boot in a load order", [(orders, "_load", _load_any_boot)], _BOOT_ORDER),
        Mutant("first claim holds", [(once.Journal, "_apply_row", _last_claim_holds)], requests),
        Mutant("claim before sending", [(once.Journal, "claim", _granted_at_once)], requests),
        Mutant("release only if not run", [(once, "closing_row", _always_release)], requests),
        Mutant(
            "sent is unknown", [(attempts.RequestMachine, "ran", lambda m: once.Ran.NO)], requests
        ),
        Mutant(
            "no second send", [(attempts.RequestMachine, "_on_attempt_lost", _lost_again)], requests
        ),
        Mutant("late answers", [(attempts.RequestMachine, "_is_late", lambda m, e: False)], _LATE),
        Mutant("retry budget", [(attempts.RetryBudget, "take", lambda b, now: True)], _BUDGET),
        Mutant(
            "documents only move up", [(documents.Documents, "store_if_newer", _offer_any)], tree
        ),
        Mutant("known revision", [(settings, "max", lambda a, b: a)], tree),
        Mutant(
            "lost write is resolved", [(settings.SubtreeWrite, "on_failed", _call_it_refused)], tree
        ),
        Mutant("store set back", [(documents, "missing_in_store", lambda h, s: [])], _WRITE_BACK),
        Mutant("invalid subtree stays out", [(settings, "check_subtree", _unchecked)], _INVALID),
        Mutant("part of a cut-off fleet", [(limits.AccountLimits, "fleet", _One())], _LIMIT),
        Mutant(
            "left outranks rumours", [(membership.Membership, "_merge_row", _take_newer)], _LEFT
        ),
        Mutant("bound on ejections", [(routing, "MAX_EJECTED_FRACTION", 1.0)], _EJECT),
        Mutant(
            "refused probe",
            [(host_reports.HostWatch, "record_refused_probe", _expect_nothing)],
            _REFUSED,
        ),
        Mutant("first round of probes", [(steward, "FIRST_PROBE_ROUND", 0.0)], _FIRST_ROUND),
        Mutant(
            "patience of the plan", [(planner, "relocation_delay", lambda rate: 0.0)], _PATIENCE
        ),
    ]


_LEDGER_RULE = testing("test_placement.LedgerRuleTest.test_ledger_refuses_a_host_in_two_groups")
_LET_GO = testing(
    "test_placement.FormingTest.test_host_that_just_let_go_is_not_given_to_another_group"
)
_EXPECT = testing("test_steward.StewardTest.test_host_with_a_load_on_its_way_is_not_free")
_TAKER = testing("test_domain.DomainTest.test_orders_of_two_owners_never_interleave")
_EPOCHS = testing("test_placement.LedgerRuleTest.test_group_formed_again_never_reuses_an_epoch")
_PAUSE = testing("test_steward.StewardTest.test_owner_that_wakes_from_a_pause_repairs_nothing")
_DISPLACED = testing("test_steward.StewardTest.test_displaced_owner_waits_before_it_takes_back")
_SET_BACK = testing("test_steward.StewardTest.test_older_copy_of_the_ledger_is_written_over")
_BOOT_ORDER = testing("test_steward.OrdersTest.test_host_in_an_unknown_boot_gets_no_load")
_LATE = testing(
    "test_attempts.RequestMachineTest.test_late_answer_of_an_abandoned_attempt_is_ignored"
)
_BUDGET = testing(
    "test_attempts.RequestMachineTest.test_retries_stay_within_their_fraction_of_the_requests"
)
_WRITE_BACK = testing("test_settings.DocumentsTest.test_store_that_was_set_back_is_written_over")
_INVALID = testing("test_settings.InForceTest.test_invalid_subtree_leaves_the_last_valid_in_force")
_LIMIT = testing("test_limits.LimitsTest.test_two_sides_of_a_partition_stay_within_the_rate")
_LEFT = testing("test_membership.MembershipTest.test_left_row_takes_precedence_over_heartbeats")
_EJECT = testing("test_routing.RouterTest.test_at_most_a_third_of_the_groups_is_ejected")
_RANK = testing(
    "test_routing.EvidenceTrackerTest."
    "test_records_of_a_successor_outrank_those_of_an_owner_that_went_on_unsaved"
)
_REFUSED = testing("test_domain.DomainTest.test_death_that_is_seen_closes_the_group_at_once")
_FIRST_ROUND = testing("test_domain.DomainTest.test_groups_serve_while_their_domain_has_no_owner")
_PATIENCE = testing(
    "test_planner.PlannerTest.test_domain_that_is_dark_for_a_moment_keeps_its_groups"
)


# What stands in the place of a safeguard.

_member_fault = completeness.member_fault
_router_put = routing.Router.may_send
_state_of = evidence.state_of


class _Nothing:
    """An attribute that forgets what is set."""

    def __get__(self, instance: Any, owner: Any = None) -> frozenset[str]:
        return frozenset()

    def __set__(self, instance: Any, value: Any) -> None:
        return None


class _One:
    """An attribute that is one, whatever is set."""

    def __get__(self, instance: Any, owner: Any = None) -> int:
        return 1

    def __set__(self, instance: Any, value: Any) -> None:
        return None


def _ignoring_boots(record: Any, rank: int, seen: Any, now: float, max_age: float) -> Any:
    if seen is not None:
        boot = record.members[rank].boot_id
        seen = seen._replace(report=seen.report._replace(boot_id=boot))
    return _member_fault(record, rank, seen, now, max_age)


def _may_send_old(router: Any, group: str, epoch: int, now: float) -> bool:
    held = router.by_group.get(group)
    return held is not None and _router_put(router, group, epoch, held.verified_at)


def _arrival(offsets: Any, sender: str, incarnation: int, stamp: float, now: float) -> float:
    return now


def _let_go_at_once(s: Any, host: str) -> bool:
    return s.report_by_host[host].report.state == EngineState.EMPTY


def _expect_nothing(machine: Any, host: str, now: float) -> None:
    return None


def _never_closing(view: Any) -> Any:
    return _state_of(view)._replace(flags=3 * view.complete)


def _named_acts(machine: Any, found: Any, now: float) -> bool:
    return found.owner != machine.me and found.owner in machine.incarnation_by_host


def _keep_by_version(book: Any, body: Any) -> None:
    held = book.records_by_domain.get(body.domain)
    if len(body.records) == len(body.states) and (held is None or body.version > held.version):
        book.records_by_domain[body.domain] = evidence.DomainRecords(
            body.owner_epoch, body.version, body.records
        )


def _put_unchecked(book: Any, group: str, spec: Any, members: Any) -> Any:
    record = ledger.GroupRecord(group, 1, spec, members)
    return book._replace(groups={**book.groups, group: record})


def _load_any_boot(record: Any, rank: int, seen: Any) -> Any:
    member = record.members[rank]
    report = seen.report._replace(boot_id=member.boot_id)
    return _orders_load(record, rank, seen._replace(report=report))


_orders_load = orders._load


def _last_claim_holds(journal: Any, row: Any) -> bool:
    journal.by_key[row.key] = row
    return row.kind == once.RowKind.CLAIM


def _granted_at_once(journal: Any, row: Any) -> Any:
    return [once.Decided(row.nonce, once.Verdict.GRANTED)]


def _always_release(claim: Any, ran: Any, status: int = 0, answer: Any = None) -> Any:
    return claim._replace(kind=once.RowKind.RELEASE)


def _lost_again(machine: Any, reason: str, now: float) -> Any:
    return machine._retry_unstarted(reason, now)


def _offer_any(held: Any, document: Any, now: float) -> bool:
    held.by_key[document.key] = document
    return True


def _call_it_refused(write: Any, wrote: bool) -> Any:
    return [settings.WriteResult(settings.WriteState.REFUSED, 0)]


def _unchecked(team: str, text: bytes) -> Any:
    return settings.msgspec.json.decode(text)


def _take_newer(self: Any, now: float, row: Any) -> bool:
    known = self.by_host.get(row.host)
    if known and (row.incarnation, row.heartbeat) <= (known.row.incarnation, known.row.heartbeat):
        return False
    self.by_host[row.host] = membership.KnownPeer(row, now)
    return True


def caught(mutant: Mutant) -> bool:
    """Tell whether the proof fails without the safeguard.

    Only a broken promise counts. A proof that breaks in any other way proves nothing and ends the
    run, since an error in the tools would otherwise look like a proof.
    """
    with ExitStack() as stack:
        for target, name, value in mutant.patches:
            stack.enter_context(mock.patch.object(target, name, value, create=name in CREATED))
        try:
            mutant.proof.run()
        except AssertionError:
            return True
    return False


def main(*, only: str = "") -> None:
    """Take out each safeguard in turn.

    :param only: only safeguards whose name holds this
    """
    chosen = [m for m in [*mutants(), *of_users_path()] if only in m.safeguard]
    count = 0
    for mutant in chosen:
        ok = caught(mutant)
        count += ok
        word = "caught by" if ok else "NOT CAUGHT by"
        print(f"{mutant.safeguard}: {word} {mutant.proof.name}", flush=True)
    print(f"mutants: safeguards={len(chosen)} caught={count}")
    sys.exit(0 if count == len(chosen) else 1)


if __name__ == "__main__":
    defopt.run(main)
