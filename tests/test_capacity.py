"""The capacity page is worked out from the kept measurement."""

import json
import unittest
from pathlib import Path

from oleanderhill_dev import capacity

from oleanderhill import ownership
from oleanderhill.domains import host_reports, stewards
from oleanderhill.limits import limiting
from oleanderhill.settings import relay

DOCS = Path(__file__).resolve().parents[1] / "docs"


class CapacityTest(unittest.TestCase):
    def test_page_is_what_the_measured_file_gives(self):
        measured = json.loads((DOCS / "slopes.json").read_text())
        sweep = json.loads((DOCS / "sweep.json").read_text())
        self.assertEqual((DOCS / "CAPACITY.md").read_text(), capacity.page(measured, sweep))

    def test_counts_of_the_page_are_those_of_the_code(self):
        self.assertEqual(capacity.VIEW_DOMAINS, stewards.VIEW_DOMAINS)
        self.assertEqual(capacity.REMOTE_VIEW_DOMAINS, stewards.REMOTE_VIEW_DOMAINS)
        self.assertEqual(capacity.PLANNER_UPDATE_INTERVAL, stewards.PLANNER_UPDATE_INTERVAL)
        self.assertEqual(capacity.DEMAND_FANOUT, limiting.DEMAND_FANOUT)
        self.assertEqual(capacity.PROBES, round(1 / host_reports.PROBE_INTERVAL))
        self.assertEqual(capacity.MIN_BUILD_INTERVAL, relay.MIN_BUILD_INTERVAL)
        self.assertLess(ownership.ORDER_SEND_TIMEOUT, ownership.CONFIRM_WINDOW)
