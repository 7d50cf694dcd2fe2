"""State machine of one request: the reported status depends on which bytes were sent."""

import unittest

from oleanderhill.outcomes import Ran
from oleanderhill.requests import attempts
from oleanderhill.requests.attempts import Request, RequestMachine, RetryBudget
from oleanderhill.routing.router import Choice, NoChoice
from oleanderhill.types import Member


def make_choice(group: str) -> Choice:
    return Choice(group, 1, Member("h", "127.0.0.1:1", "b"), "dc", "test")


def make_machine(idempotent: bool = True, stream: bool = False) -> RequestMachine:
    return RequestMachine(Request("r", idempotent, stream, 100.0), RetryBudget())


def start_sending(m: RequestMachine, group: str = "g1") -> None:
    m.start()
    m.handle(attempts.Chosen(make_choice(group)), 0.0)
    m.handle(attempts.Sending(m.attempt), 0.0)


class RequestMachineTest(unittest.TestCase):
    def test_lost_after_sending_is_unknown_and_not_retried_when_not_idempotent(self):
        # Guards against a payment that runs twice: bytes were sent and the connection broke, so the
        # target may have paid. The caller gets the status "unknown" immediately, without a retry.
        m = make_machine(idempotent=False)
        start_sending(m)
        effects = m.handle(attempts.Lost(1, "reset"), 1.0)
        fails = [e for e in effects if isinstance(e, attempts.Fail)]
        self.assertEqual([f.problem.ran for f in fails], [Ran.UNKNOWN])
        self.assertFalse([e for e in effects if isinstance(e, attempts.Select)])

    def test_connect_failure_is_retried_elsewhere_even_when_not_idempotent(self):
        m = make_machine(idempotent=False)
        m.start()
        m.handle(attempts.Chosen(make_choice("g1")), 0.0)
        effects = m.handle(attempts.ConnectFailed(1, "refused"), 0.0)
        self.assertEqual(effects, [attempts.Select(frozenset({"g1@1"}))])

    def test_refused_before_start_without_another_target_is_reported_as_not_run(self):
        m = make_machine(idempotent=False)
        start_sending(m)
        m.handle(attempts.NotStarted(1, "wrong group"), 0.0)
        effects = m.handle(attempts.Chosen(NoChoice("none", False, True)), 0.0)
        self.assertEqual(effects[-1].problem.ran, Ran.NO)

    def test_lost_once_then_refused_is_still_unknown(self):
        # The first attempt is lost after bytes were sent, and the second is refused before it
        # starts. "Not run" would be wrong, because the first attempt may have run.
        m = make_machine()
        start_sending(m)
        m.handle(attempts.Lost(1, "reset"), 0.0)
        m.handle(attempts.Chosen(make_choice("g2")), 0.0)
        m.handle(attempts.Sending(2), 0.0)
        m.handle(attempts.NotStarted(2, "wrong group"), 0.0)
        effects = m.handle(attempts.Chosen(NoChoice("none", False, True)), 0.0)
        self.assertEqual(effects[-1].problem.ran, Ran.UNKNOWN)

    def test_stream_resumes_at_the_offset_that_the_caller_has(self):
        m = make_machine(stream=True)
        start_sending(m)
        m.handle(attempts.EventsReceived(1, 3), 0.0)
        m.handle(attempts.EventsReceived(1, 2), 0.0)
        m.handle(attempts.Lost(1, "stalled"), 0.0)
        effects = m.handle(attempts.Chosen(make_choice("g2")), 0.0)
        self.assertEqual(effects, [attempts.Dispatch(2, make_choice("g2"), 5)])

    def stall(self, taken=False):
        """Return a machine whose first attempt stalled and whose second one was refused."""
        m = make_machine(stream=True)
        start_sending(m)
        m.handle(attempts.Stalled(1, "no progress"), 0.0)
        m.handle(attempts.Chosen(make_choice("g2")), 0.0)
        m.handle(attempts.Sending(2), 0.0)
        if taken:
            m.handle(attempts.Taken(2), 0.0)
        m.handle(attempts.NotStarted(2, "full"), 0.0)
        return m, m.handle(attempts.Chosen(NoChoice("none", False, True)), 0.0)

    def test_stalled_attempt_goes_on_if_no_other_target_takes_the_request(self):
        m, effects = self.stall()
        self.assertEqual(effects, [attempts.Return(3, make_choice("g1"))])
        self.assertEqual(m.handle(attempts.Finished(3), 0.0), [attempts.Deliver()])

    def test_attempt_goes_on_once_and_not_after_another_target_took_the_request(self):
        m, _ = self.stall()
        m.handle(attempts.Lost(3, "reset"), 0.0)
        effects = m.handle(attempts.Chosen(NoChoice("none", False, True)), 0.0)
        self.assertIsInstance(effects[-1], attempts.Fail)
        self.assertIsInstance(self.stall(taken=True)[1][-1], attempts.Fail)

    def test_stalled_attempt_that_answers_first_goes_on_even_while_another_one_waits(self):
        m = make_machine(stream=True)
        start_sending(m)
        m.handle(attempts.Stalled(1, "no progress"), 0.0)
        m.handle(attempts.Chosen(make_choice("g2")), 0.0)
        m.handle(attempts.Sending(2), 0.0)
        effects = m.handle(attempts.HeldAnswers(2), 0.0)
        cancelled = attempts.Cancel(2, make_choice("g2"))
        self.assertEqual(effects, [cancelled, attempts.Return(3, make_choice("g1"))])

    def test_deadline_ends_a_request_with_a_held_attempt(self):
        m = make_machine(stream=True)
        start_sending(m)
        m.handle(attempts.Stalled(1, "no progress"), 0.0)
        m.handle(attempts.Chosen(make_choice("g2")), 0.0)
        self.assertIsInstance(m.handle(attempts.DeadlineHit(), 0.0)[-1], attempts.Fail)

    def test_late_answer_of_an_abandoned_attempt_is_ignored(self):
        m = make_machine()
        start_sending(m)
        m.handle(attempts.Lost(1, "stalled"), 0.0)
        m.handle(attempts.Chosen(make_choice("g2")), 0.0)
        self.assertEqual(m.handle(attempts.Finished(1), 0.0), [])
        self.assertNotEqual(m.phase, attempts.Phase.DONE)

    def test_nothing_follows_the_final_answer(self):
        m = make_machine()
        start_sending(m)
        self.assertEqual(m.handle(attempts.Finished(1), 0.0), [attempts.Deliver()])
        self.assertEqual(m.handle(attempts.DeadlineHit(), 0.0), [])
        self.assertEqual(m.handle(attempts.Finished(1), 0.0), [])

    def test_deadline_before_sending_is_not_run_and_after_is_unknown(self):
        early = make_machine()
        early.start()
        self.assertEqual(early.handle(attempts.DeadlineHit(), 9.0)[-1].problem.ran, Ran.NO)
        late = make_machine()
        start_sending(late)
        self.assertEqual(late.handle(attempts.DeadlineHit(), 9.0)[-1].problem.ran, Ran.UNKNOWN)

    def test_retries_stay_within_their_fraction_of_the_requests(self):
        budget = RetryBudget(ratio=0.2, floor=0.0)
        for _ in range(1000):
            budget.record_request()
        taken = sum(budget.take(0.0) for _ in range(1000))
        self.assertLessEqual(taken, RetryBudget.MAX_TOKENS)
