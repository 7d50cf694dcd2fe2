"""Stateful fuzzing of non-idempotent requests: claims, attempts, crashes, lost answers.

Several entry hosts share one journal shard in a fake store whose calls end in any way at any time.
Callers send the same key again and again, through any entry host. The oracle counts runs at the
target: a key runs at most once, "not run" is true, and each submission gets one final answer.
"""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from oleanderhill.journal import once
from oleanderhill.journal.once import AppendResult, Batch, Decided, Journal, Row, RowKind, Verdict
from oleanderhill.outcomes import Ran
from oleanderhill.requests import attempts
from oleanderhill.requests.attempts import Request, RequestMachine, RetryBudget
from oleanderhill.routing.router import Choice, NoChoice
from oleanderhill.types import Member

ENTRIES = 3
KEYS = 6


class Submission:
    """One request of a caller as it goes through one entry host."""

    def __init__(self, number: int, key: int, body: int, entry: int) -> None:
        self.number = number
        self.key = key
        self.body = body
        self.entry = entry
        self.claim = Row(
            RowKind.CLAIM, bytes([key]) * 16, bytes([body]) * 16, number.to_bytes(12, "big")
        )
        self.machine: RequestMachine | None = None
        self.answers: list[str] = []
        self.ran_in_fact = 0


class Operation(NamedTuple):
    """A store call on its way."""

    entry: int
    life: int
    effect: once.Append | once.Read


class Delivery(NamedTuple):
    """Bytes of a request that left an entry host and have not reached the target yet."""

    submission: Submission
    attempt: int


class RequestsMachine(RuleBasedStateMachine):
    """Callers, entry hosts, a store and a target."""

    steps_run = 0
    journal_class: type[Journal] = Journal
    machine_class: type[RequestMachine] = RequestMachine

    @initialize()
    def begin(self) -> None:
        self.stored: dict[int, Batch] = {}
        self.journals = [self.journal_class() for _ in range(ENTRIES)]
        self.lives = [0] * ENTRIES
        self.operations: list[Operation] = []
        self.late: list[once.Append] = []
        self.deliveries: list[Delivery] = []
        self.submissions: list[Submission] = []
        self.runs: dict[int, list[Submission]] = {k: [] for k in range(KEYS)}
        self.now = 0.0

    # Callers

    @rule(
        key=st.integers(0, KEYS - 1),
        entry=st.integers(0, ENTRIES - 1),
        same=st.integers(0, 9),
        then=st.sampled_from(("wait", "wait", "claim", "send", "run")),
        again=st.none() | st.integers(0, ENTRIES - 1),
    )
    def caller_sends(self, key: int, entry: int, same: int, then: str, again: int | None) -> None:
        """A caller sends a key, perhaps twice at once; the request may get far at once."""
        self._count()
        body = 0 if same else 1
        submission = Submission(len(self.submissions), key, body, entry)
        self.submissions.append(submission)
        self._perform(entry, self.journals[entry].claim(submission.claim))
        if again is not None:
            self.caller_sends(key, again, same, "wait", None)
        if then != "wait":
            self.store_is_well_for_a_while()
        if then in ("send", "run"):
            self.attempt_is_sent(len(self._running()) - 1, then == "run")

    @rule(pick=st.integers(0, 999))
    def claim_times_out(self, pick: int) -> None:
        self._count()
        waiting = [s for s in self._alive() if s.machine is None and not s.answers]
        if not waiting or pick % 2:
            return
        submission = waiting[pick % len(waiting)]
        journal = self.journals[submission.entry]
        effects = journal.withdraw(submission.claim.nonce)
        release = submission.claim._replace(kind=RowKind.RELEASE)
        self._answer(submission, "no")
        self._perform(submission.entry, [*effects, *journal.note(release)])

    # The store

    @rule(
        pick=st.integers(0, 999),
        end=st.sampled_from(("lost", "landed", "late")),
    )
    def store_call_fails(self, pick: int, end: str) -> None:
        self._count()
        self.store_call_ends(pick, end)

    @rule()
    def store_is_well_for_a_while(self) -> None:
        self._count()
        for _ in range(len(self.operations) + 4):
            self.store_call_ends(0, "done")

    def store_call_ends(self, pick: int, end: str) -> None:
        """Let one store call end in some way."""
        if not self.operations:
            return
        operation = self.operations.pop(pick % len(self.operations))
        effect = operation.effect
        alive = self.lives[operation.entry] == operation.life
        if isinstance(effect, once.Read):
            if alive:
                self._read(operation.entry, effect, end)
            return
        result = AppendResult.LOST
        if end == "late":
            self.late.append(effect)
        elif end != "lost":
            created = self._create(effect)
            if end == "done":
                result = AppendResult.CREATED if created else AppendResult.CONFLICT
        if alive:
            journal = self.journals[operation.entry]
            self._perform(operation.entry, journal.appended(result))

    @rule(pick=st.integers(0, 999))
    def late_write_lands(self, pick: int) -> None:
        self._count()
        if self.late:
            self._create(self.late.pop(pick % len(self.late)))

    @rule(entry=st.integers(0, ENTRIES - 1))
    def entry_retries(self, entry: int) -> None:
        self._count()
        busy = any(o.entry == entry and o.life == self.lives[entry] for o in self.operations)
        if not busy and not self.journals[entry].idle:
            self._perform(entry, self.journals[entry].retry())

    # Requests that were granted

    @rule(
        pick=st.integers(0, 999),
        event=st.sampled_from(
            ("connect failed", "refused", "finished", "lost", "lost", "deadline", "gone", "late")
        ),
    )
    def attempt_ends(self, pick: int, event: str) -> None:
        self._count()
        running = self._running()
        if running:
            self._event(running[pick % len(running)], event)

    @rule(pick=st.integers(0, 999), arrives=st.booleans(), whole=st.booleans())
    def attempt_is_sent(self, pick: int, arrives: bool, whole: bool = False) -> None:
        """A target is chosen, the bytes leave, and perhaps they arrive and run."""
        self._count()
        running = self._running()
        if not running:
            return
        submission = running[pick % len(running)]
        self._event(submission, "chosen")
        self._event(submission, "sending")
        if arrives and self.deliveries:
            self._run(self.deliveries.pop().submission)
            if whole:
                self._event(submission, "finished")

    @rule(pick=st.integers(0, 999), lost=st.booleans())
    def bytes_arrive(self, pick: int, lost: bool) -> None:
        self._count()
        if self.deliveries:
            delivery = self.deliveries.pop(pick % len(self.deliveries))
            if not lost:
                self._run(delivery.submission)

    @rule(entry=st.integers(0, ENTRIES - 1), seldom=st.integers(0, 2))
    def entry_restarts(self, entry: int, seldom: int) -> None:
        self._count()
        if seldom:
            return
        self.lives[entry] += 1
        self.journals[entry] = self.journal_class()
        for submission in self.submissions:
            if submission.entry == entry and not submission.answers:
                submission.answers.append("connection lost")

    # The oracle

    @invariant()
    def key_runs_at_most_once(self) -> None:
        for key, runs in getattr(self, "runs", {}).items():
            assert len(runs) <= 1, f"key {key} ran {len(runs)} times"

    @invariant()
    def not_run_is_true(self) -> None:
        for submission in getattr(self, "submissions", []):
            told_no = "no" in submission.answers
            coming = any(d.submission is submission for d in self.deliveries)
            assert not (told_no and (submission.ran_in_fact or coming)), "told not run, but it ran"

    @invariant()
    def one_final_answer(self) -> None:
        for submission in getattr(self, "submissions", []):
            assert len(submission.answers) <= 1, f"answers {submission.answers}"

    def teardown(self) -> None:
        """With the store well again, journals come to rest and keys told "not run" are free."""
        if not hasattr(self, "journals"):
            return
        for _ in range(200):
            while self.operations:
                self.store_call_ends(0, "done")
            for entry in range(ENTRIES):
                self.entry_retries(entry)
            if not self.operations and all(j.idle for j in self.journals):
                break
        else:
            raise AssertionError("a journal does not come to rest")
        self.key_runs_at_most_once()
        self.not_run_is_true()

    # The world

    def _running(self) -> list[Submission]:
        return [s for s in self._alive() if s.machine is not None]

    def _count(self) -> None:
        type(self).steps_run += 1
        self.now += 0.1

    def _alive(self) -> list[Submission]:
        return [s for s in self.submissions if not s.answers]

    def _create(self, effect: once.Append) -> bool:
        if effect.sequence in self.stored:
            return False
        self.stored[effect.sequence] = effect.batch
        return True

    def _read(self, entry: int, effect: once.Read, end: str) -> None:
        journal = self.journals[entry]
        if end != "done":
            self._perform(entry, journal.read_failed())
            return
        found = [(n, b) for n, b in sorted(self.stored.items()) if n >= effect.sequence]
        self._perform(entry, journal.read(found))

    def _perform(self, entry: int, effects: list[once.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Decided):
                self._decided(effect)
            else:
                self.operations.append(Operation(entry, self.lives[entry], effect))

    def _decided(self, decided: Decided) -> None:
        submission = self.submissions[int.from_bytes(decided.nonce, "big")]
        if submission.answers:
            return
        if decided.verdict == Verdict.GRANTED:
            assert submission.machine is None, "granted twice"
            request = Request(str(submission.number), False, False, 1e9)
            submission.machine = self.machine_class(request, RetryBudget())
            submission.machine.start()
            return
        told_no = decided.verdict in (Verdict.UNAVAILABLE, Verdict.KEY_REUSED)
        if decided.verdict == Verdict.DONE and decided.row is not None:
            first = self.runs[submission.key]
            assert first and decided.row.answer == _answer_of(first[0]), "another run's answer"
        self._answer(submission, "no" if told_no else decided.verdict.value)

    def _answer(self, submission: Submission, answer: str) -> None:
        submission.answers.append(answer)

    def _run(self, submission: Submission) -> None:
        self.runs[submission.key].append(submission)
        submission.ran_in_fact += 1

    def _event(self, submission: Submission, event: str) -> None:
        machine = submission.machine
        assert machine is not None
        number = machine.attempt
        if machine.phase == attempts.Phase.CHOOSING:
            result = _choice(number) if event != "refused" else NoChoice("none", False, True)
            self._effects(submission, machine.handle(attempts.Chosen(result), self.now))
            return
        made = self._make_event(submission, machine, number, event)
        if made is not None:
            self._effects(submission, machine.handle(made, self.now))

    def _make_event(
        self, submission: Submission, machine: RequestMachine, number: int, event: str
    ) -> attempts.Event | None:
        sent = machine.phase in (attempts.Phase.SENT, attempts.Phase.STREAMING)
        mine = [d for d in self.deliveries if d.submission is submission and d.attempt == number]
        match event:
            case "connect failed" if not sent:
                return attempts.ConnectFailed(number, "refused")
            case "sending" if not sent:
                self.deliveries.append(Delivery(submission, number))
                return attempts.Sending(number)
            case "refused" if sent and mine:
                self.deliveries.remove(mine[0])
                return attempts.NotStarted(number, "wrong group")
            case "finished" if sent and (mine or submission.ran_in_fact):
                if mine:
                    self.deliveries.remove(mine[0])
                    self._run(submission)
                return attempts.Finished(number)
            case "lost" if sent:
                return attempts.Lost(number, "reset")
            case "late" if number > 1:
                return attempts.Finished(number - 1)
            case "deadline":
                return attempts.DeadlineHit()
            case "gone":
                return attempts.CallerDisconnected()
        return None

    def _effects(self, submission: Submission, effects: list[attempts.Effect]) -> None:
        machine = submission.machine
        assert machine is not None
        if machine.phase != attempts.Phase.DONE:
            return
        delivered = any(isinstance(e, attempts.Deliver) for e in effects)
        ran = Ran.YES if delivered else machine.ran()
        self._answer(submission, "answered" if delivered else ran.value)
        row = once.closing_row(submission.claim, ran, 200, _answer_of(submission))
        if row is not None:
            self._perform(submission.entry, self.journals[submission.entry].note(row))


def _answer_of(submission: Submission) -> bytes:
    return f"answer {submission.number}".encode()


def _choice(number: int) -> Choice:
    return Choice(f"g{number}", 1, Member("h", "127.0.0.1:1", "b"), "dc", "")
