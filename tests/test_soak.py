"""A short seeded part of the fault soak; ``make soak`` plays more."""

from __future__ import annotations

import unittest

from oleanderhill_dev.users.soak import play


class SoakTest(unittest.TestCase):
    def test_promises_hold_while_processes_links_and_hosts_fail(self):
        # Entry hosts are killed, paused and restarted, their links to the store reset and cut one
        # way, hosts lost and orders late, all overlapping. Callers get whole answers or none that
        # looks whole, nothing runs twice, and at the end requests are answered again.
        self.assertEqual(play(1).found, [])


if __name__ == "__main__":
    unittest.main()
