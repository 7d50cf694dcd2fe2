"""A fixed, bounded part of the fuzzing; ``make fuzz`` runs more."""

import unittest

from oleanderhill_dev.fuzz import run_once
from oleanderhill_dev.fuzz_domain import DomainMachine
from oleanderhill_dev.fuzz_requests import RequestsMachine
from oleanderhill_dev.fuzz_settings import SettingsMachine


class FuzzTest(unittest.TestCase):
    def test_domain_keeps_its_promises_under_any_faults(self):
        run_once(DomainMachine, 1, 40, 30)

    def test_key_runs_at_most_once_under_any_faults(self):
        run_once(RequestsMachine, 1, 60, 50)

    def test_settings_never_revert_under_any_faults(self):
        run_once(SettingsMachine, 1, 60, 40)
