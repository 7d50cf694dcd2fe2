"""The safeguards around what targets say of themselves in their answers, each with its proof."""

from __future__ import annotations

from typing import Any

from oleanderhill.groups import inventory
from oleanderhill.platform import headers
from oleanderhill.routing import backoffs
from oleanderhill.serving import driver, leaving, notices, placement

from ..proving import Mutant, testing


def mutants() -> list[Mutant]:
    """Return the mutants of back-offs and of targets that leave."""
    return [*_of_backoffs(), *_of_leaving()]


def _of_leaving() -> list[Mutant]:
    site, word = (f"test_leaving.{c}" for c in ("LeavingTest", "LeavingAnnouncementTest"))
    return [
        Mutant(
            "targets that say that they leave get nothing",
            [(inventory.Inventory, "leave", lambda self, life: False)],
            testing(f"{site}.test_plain_target_that_leaves_by_its_answers_alone_gets_no_requests"),
        ),
        Mutant(
            "no entry takes a target's leaving back",
            [(inventory.Inventory, "leave", _leave_until_the_next_entry)],
            testing(f"{word}.test_no_entry_takes_it_back_while_the_life_lasts"),
        ),
        Mutant(
            "peers are told of targets that leave",
            [(leaving.LeavingTargets, "apply_peer_update", lambda self, news: None)],
            testing(f"{site}.test_host_that_never_asked_hears_of_it"),
        ),
        Mutant(
            "targets that leave are looked for before the first byte",
            [(notices.TargetNotices, "reason_to_skip", lambda self, life: "")],
            testing(f"{site}.test_request_placed_before_the_word_goes_elsewhere"),
        ),
    ]


def _leave_until_the_next_entry(self: Any, life: str) -> bool:
    left = _LEAVE(self, life)
    self._leaving.clear()
    return left


_LEAVE = inventory.Inventory.leave


def _of_backoffs() -> list[Mutant]:
    book = backoffs.Backoffs
    site, account, place = (
        f"test_backoffs.{c}" for c in ("BackoffTest", "BackoffsTest", "PlacingTest")
    )
    return [
        Mutant(
            "back-offs are read from answers",
            [(headers, "_backoff", lambda headers: None)],
            testing(f"{site}.test_head_backed_off_from_gets_nothing_while_its_streams_go_on"),
        ),
        Mutant(
            "a target that asked to back off is no candidate",
            [(book, "may_place", lambda self, life, now: True)],
            testing(
                f"{place}.test_target_backed_off_from_is_passed_over_though_others_are_doubtful_and_it_sends"
            ),
        ),
        Mutant(
            "looked at again before the first byte",
            [(book, "may_send", lambda self, life, now: True)],
            testing(f"{site}.test_request_placed_before_the_news_is_held_back"),
        ),
        Mutant(
            "the latest end that was named",
            [(book, "extend", _ask_last)],
            testing(f"{account}.test_backoff_lasts_until_the_latest_end_that_was_named"),
        ),
        Mutant(
            "one request tries a target after its time",
            [(book, "take", lambda self, life: False)],
            testing(f"{account}.test_one_request_at_a_time_tries_a_target_after_its_time"),
        ),
        Mutant(
            "orders and probes wait for the end of a back-off",
            [(notices.TargetNotices, "may_contact", lambda self, instance: True)],
            testing(f"{site}.test_neither_orders_nor_probes_go_to_a_host_backed_off_from"),
        ),
        Mutant(
            "a back-off is no sign of trouble",
            [
                (
                    driver.Exchange,
                    "_handle_rejection",
                    lambda self, c, reason, n: self._suspect(c, reason),
                )
            ],
            testing(f"{site}.test_backoff_puts_nobody_in_doubt_and_has_nobody_probed"),
        ),
        Mutant(
            "a target that asked a peer to back off is used last",
            [(placement.LoadTracker, "apply_peer_backoffs", lambda self, lives, now: None)],
            testing(f"{place}.test_target_that_asked_a_peer_is_used_last_but_used"),
        ),
    ]


def _ask_last(self: Any, life: str, seconds: float, now: float) -> bool:
    self._backoff_by_incarnation.pop(life, None)
    return _ASK(self, life, seconds, now)


_ASK = backoffs.Backoffs.extend
