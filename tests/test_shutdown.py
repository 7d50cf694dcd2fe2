"""Which requests an entry host still sends to a target while it shuts down."""

import unittest
from unittest import mock

from oleanderhill_dev.fuzz_shutdown import Play, play

from oleanderhill.serving.shutdown import Shutdown

ENDS_AFTER, REMOVED_AFTER = 7.4, 2.7
SEEDS = range(60)


class ShutdownTest(unittest.TestCase):
    def setUp(self):
        self.shutdown = Shutdown(ENDS_AFTER, REMOVED_AFTER)

    def test_everything_is_sent_before_the_stop_signal(self):
        self.assertTrue(self.shutdown.may_send(1e9, 100.0, False))

    def test_request_that_may_outlast_the_process_is_sent_until_the_balancer_has_removed_it(self):
        self.shutdown.request(100.0)
        for now, expected in ((100.0, True), (102.69, True), (102.7, False), (107.39, False)):
            self.assertEqual(self.shutdown.may_send(107.41, now, False), expected, now)

    def test_request_that_ends_in_time_is_sent_until_the_process_ends(self):
        self.shutdown.request(100.0)
        for now, expected in ((102.8, True), (107.3, True), (107.4, False)):
            self.assertEqual(self.shutdown.may_send(107.4, now, False), expected, now)

    def test_request_that_may_have_run_is_sent_again(self):
        self.shutdown.request(100.0)
        self.assertTrue(self.shutdown.may_send(200.0, 105.0, True))

    def test_second_stop_signal_does_not_move_the_end(self):
        self.shutdown.request(100.0)
        self.shutdown.request(103.0)
        self.assertEqual(self.shutdown.ends_at, 100.0 + ENDS_AFTER)


class PlayTest(unittest.TestCase):
    def violations(self):
        return [line for seed in SEEDS for line in play(seed)[1]]

    def test_requests_around_a_stop_signal_end_whole_or_are_refused_as_not_run(self):
        self.assertEqual(self.violations(), [])

    def test_oracle_finds_requests_that_the_process_cuts_off(self):
        with mock.patch.object(Shutdown, "may_send", return_value=True):
            self.assertTrue(any("ended by the process" in v for v in self.violations()))

    def test_oracle_finds_requests_that_are_refused_needlessly(self):
        with mock.patch.object(Shutdown, "may_send", return_value=False):
            found = self.violations()
        self.assertTrue(any("might come back" in v for v in found))
        self.assertTrue(any("would end in time" in v for v in found))

    def test_oracle_finds_an_end_that_counts_from_the_drain(self):
        def request_late(run):
            run.shutdown.request(run._loop.runs_at(0.0))

        with mock.patch.object(Play, "request_stop", request_late):
            self.assertTrue(self.violations())


if __name__ == "__main__":
    unittest.main()
