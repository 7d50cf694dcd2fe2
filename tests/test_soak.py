"""A short seeded part of the fault soak; ``make soak`` plays more."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from oleanderhill_dev.users.soak import Program, play


class SoakTest(unittest.TestCase):
    def test_promises_hold_while_processes_links_and_hosts_fail(self):
        # Entry hosts are killed, paused and restarted, their links to the store reset and cut one
        # way, hosts lost and orders late, all overlapping. Callers get whole answers or none that
        # looks whole, nothing runs twice, and at the end requests are answered again.
        self.assertEqual(play(1).found, [])

    def test_promises_hold_while_hosts_start_again_under_their_names(self):
        # Hosts restart at once under their names, beside killed owners, late orders and lost
        # writes; a late entry of the life before lies in the list for a moment. This seed once
        # reported requests sent before the news of a restart as if their group had never been
        # whole: the stand-in had forgotten that the host was ready there.
        self.assertEqual(play(552).found, [])

    def test_promises_hold_while_requests_end_the_hosts_that_run_them(self):
        # Two requests end each host that begins them, and come again at any entry host until the
        # end, beside killed and paused entry hosts, a store that fails and hosts that are lost.
        # Once three hosts have ended and all entry hosts are in touch, three more may, not one more
        # with each time that it comes.
        played = play(803, 2)
        self.assertEqual(played.found, [])
        self.assertTrue(played.site.engines.ended_by)

    def test_promises_hold_while_targets_name_change_and_withdraw_limits(self):
        self.assertEqual(play(1_200, 0, True).found, [])

    def test_promises_hold_while_targets_shed_and_leave_by_their_answers(self):
        self.assertEqual(play(1_400, 0, False, True).found, [])

    def test_promises_hold_while_the_store_is_restored_from_backups(self):
        played = play(1_402, 1, False, False, True)
        self.assertEqual(played.found, [])
        self.assertGreater(played.site.store.generation, 1)


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_reload_order_during_the_start_does_not_end_the_process(self):
        # The process was killed and starts again; while its modules load the platform tells it to
        # reload. Unhandled, the signal ended it, and callers lost an entry host once more. Nothing
        # can be done about one that comes before the interpreter has run its first line, which
        # beside busy processes takes longer than any fixed wait: signals begin with that line.
        with tempfile.TemporaryDirectory() as folder:
            program = Program("entry-0", Path(folder), "127.0.0.1:9")
            program.run()
            self.addCleanup(program.stop)
            await _until(lambda: program.ignores(signal.SIGHUP) or program.ended())
            self.assertNotIn('"start"', program.log())
            sent = 0
            while '"start"' not in program.log() and not program.ended():
                program.signal(signal.SIGHUP)
                sent += 1
                await asyncio.sleep(0.01)
            program.signal(signal.SIGHUP)
            await _until(lambda: '"reload"' in program.log() or program.ended())
            self.assertFalse(program.ended(), program.log())
            self.assertGreater(sent, 1)


async def _until(condition: Callable[[], bool], seconds: float = 60.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.001)


if __name__ == "__main__":
    unittest.main()
