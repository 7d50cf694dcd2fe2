"""Settings: validation, writes with lost answers, replication and the settings in force."""

import json
import unittest

from oleanderhill.exceptions import SettingsInvalidError
from oleanderhill.settings import documents, fleet
from oleanderhill.settings import writes as settings
from oleanderhill.settings.checking import check_subtree
from oleanderhill.settings.documents import Document, Documents
from oleanderhill.settings.writes import (
    Change,
    SettingsInForce,
    Subtree,
    SubtreeWrite,
    WriteResult,
    WriteState,
)

YARD = {
    "models": {"m": {"versions": {"v1": {"weights_gb": 10}}, "adapters": ["x"]}},
    "groups": {"g": {"model": "m", "version": "v1", "hosts": 4, "replicas": {"hall": 2}}},
    "accounts": {
        "clerks": {"key_hashes": ["sha256:" + "0" * 64], "models": ["m"], "requests_per_second": 5}
    },
}


def findings(tree, team="yard", budgets=None):
    try:
        check_subtree(team, json.dumps(tree), budgets)
    except SettingsInvalidError as error:
        return {f.path: f.expected for f in error.findings}
    return {}


def document(revision, tree=YARD):
    raw = settings.msgspec.Raw(json.dumps(tree).encode())
    return Document("settings/yard", revision, settings.encode_subtree(Subtree(revision, raw, ())))


class CheckTest(unittest.TestCase):
    def test_valid_subtree_has_no_findings(self):
        self.assertEqual(findings(YARD), {})

    def test_all_findings_come_at_once_with_path_and_hint(self):
        bad = json.loads(json.dumps(YARD))
        bad["groups"]["g"]["hosts"] = 0
        bad["groups"]["g"]["priorty"] = 1
        bad["accounts"]["clerks"]["key_hashes"] = ["secret"]
        found = findings(bad)
        self.assertIn("at least 1", found["$.groups.g.hosts"])
        self.assertIn("'priority'", found["$.groups.g.priorty"])
        self.assertIn("$.accounts.clerks.key_hashes[0]", found)

    def test_unknown_names_are_reported_with_a_suggestion(self):
        bad = json.loads(json.dumps(YARD))
        bad["groups"]["g"]["version"] = "v11"
        bad["accounts"]["clerks"]["models"] = ["n"]
        found = findings(bad)
        self.assertIn("'v1'", found["$.groups.g.version"])
        self.assertIn("$.accounts.clerks.models", found)

    def test_request_over_the_budget_is_refused(self):
        self.assertIn("$.groups", findings(YARD, budgets={"yard": {"hall": 7}}))
        self.assertEqual(findings(YARD, budgets={"yard": {"hall": 8}}), {})

    def test_not_json_a_doubled_key_and_an_oversized_subtree_are_refused(self):
        for text in ("{", '{"models": {}, "models": {}}', '{"x": "' + "y" * 1_000_000 + '"}'):
            with self.assertRaises(SettingsInvalidError):
                check_subtree("yard", text)

    def test_budget_holds_whatever_the_order_of_two_operators_changes(self):
        # One operator raises a request for hosts while another lowers the budget, and both
        # changes are accepted. The allocation must stay within the budget in force, and the
        # clipped request must be reported.
        built = fleet.build_fleet({"yard": YARD, "fleet": {"host_budgets": {"yard": {"hall": 4}}}})
        self.assertEqual(len(built.wanted_by_data_centre["hall"]), 1)
        self.assertEqual(built.clipped[0].budget, 4)

    def test_groups_of_two_data_centres_never_share_an_id(self):
        # With ids that did not include the data centre, entry hosts confused the groups of
        # different data centres.
        tree = json.loads(json.dumps(YARD))
        tree["groups"]["g"]["replicas"] = {"hall": 2, "yard": 2}
        wanted = fleet.build_fleet({"yard": tree}).wanted_by_data_centre
        ids = [w.group for groups in wanted.values() for w in groups]
        self.assertEqual(len(set(ids)), 4)

    def test_key_is_found_by_its_hash_alone(self):
        held = {fleet.hash_key("right"): "view"}
        self.assertEqual(fleet.find_by_key(held, "right"), "view")
        self.assertIsNone(fleet.find_by_key(held, "wrong"))
        self.assertIsNone(fleet.find_by_key(held, fleet.hash_key("right")))


class WriteTest(unittest.TestCase):
    def write(self, base=None, known=0):
        return SubtreeWrite(b"{}", Change(0, "w1", "op", 0.0), base, lambda: known)

    def test_lost_answer_is_found_in_the_history(self):
        write = self.write()
        write.start()
        (swap,) = write.on_read(b"", 0)
        write.on_failed(True)
        (ended,) = write.on_read(swap.value, 1)
        self.assertEqual((ended.state, ended.revision), (WriteState.ACCEPTED, 1))

    def test_lost_write_that_was_overtaken_is_refused(self):
        write = self.write()
        write.start()
        write.on_read(b"", 0)
        write.on_failed(True)
        other = settings.encode_subtree(Subtree(1, settings.msgspec.Raw(b"{}"), ()))
        (ended,) = write.on_read(other, 1)
        self.assertEqual(ended.state, WriteState.REFUSED)

    def test_unresolved_write_is_unknown_and_never_refused(self):
        write = self.write()
        write.start()
        write.on_read(b"", 0)
        write.on_failed(True)
        write.on_failed(False)
        self.assertEqual(write.on_timeout().state, WriteState.UNKNOWN)

    def test_write_on_an_old_revision_is_refused(self):
        write = self.write(base=1, known=0)
        write.start()
        stored = settings.encode_subtree(Subtree(2, settings.msgspec.Raw(b"{}"), ()))
        self.assertEqual(write.on_read(stored, 5), [WriteResult(WriteState.REFUSED, 2)])

    def test_write_after_the_store_was_set_back_outranks_what_is_in_force(self):
        write = self.write(known=9)
        write.start()
        stored = settings.encode_subtree(Subtree(3, settings.msgspec.Raw(b"{}"), ()))
        write.on_read(stored, 5)
        self.assertEqual(write.on_swapped(True)[0].revision, 10)


class InForceTest(unittest.TestCase):
    def test_invalid_subtree_leaves_the_last_valid_in_force(self):
        in_force = SettingsInForce()
        in_force.apply(document(1), 0.0)
        self.assertFalse(in_force.apply(document(2, {"modles": 1}), 1.0))
        state = in_force.state_by_team["yard"]
        self.assertEqual((state.revision, state.latest_revision), (1, 2))
        self.assertTrue(state.findings)
        self.assertIn("models", in_force.tree_by_team["yard"])

    def test_next_valid_subtree_comes_into_force(self):
        in_force = SettingsInForce()
        in_force.apply(document(1, {"modles": 1}), 0.0)
        self.assertTrue(in_force.apply(document(2), 1.0))
        self.assertEqual(in_force.state_by_team["yard"].findings, ())


class DocumentsTest(unittest.TestCase):
    def test_older_news_is_ignored(self):
        held = Documents()
        held.store_if_newer(document(5), 0.0)
        self.assertFalse(held.store_if_newer(document(4), 0.0))
        self.assertEqual(held.revision("settings/yard"), 5)

    def test_equal_digests_need_no_reply(self):
        a, b = Documents(), Documents()
        for held in (a, b):
            held.store_if_newer(document(5), 0.0)
        self.assertEqual(b.reply_to_digest(a.digest()), [])

    def test_store_that_was_set_back_is_written_over(self):
        held = {"settings/yard": document(5)}
        self.assertEqual(documents.missing_in_store(held, {"settings/yard": 3}), [document(5)])
        self.assertEqual(documents.missing_in_store(held, {"settings/yard": 5}), [])
