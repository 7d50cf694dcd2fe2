"""Tests of the summary of failed and late answers."""

import json
import unittest

from oleanderhill_dev.users.losses import losses, table


def line(what, at=10.0, **facts):
    written = {"message_type": "oleanderhill:request", "timestamp": at, "what": what, **facts}
    return f"  12.0 front-1 {json.dumps(written)}\n"


class LossesTest(unittest.TestCase):
    def causes(self, *lines):
        return [(x.cause, x.requests) for x in losses(lines)]

    def test_each_outcome_has_its_cause(self):
        late = {"goal_ms": 200, "path": ["g:1"]}
        found = self.causes(
            line("answered", stands_for=20, first_ms=80, **late),
            line("answered", stands_for=20, first_ms=700, standing="fresh", **late),
            line("answered", first_ms=700, standing="late", **late),
            line("answered", first_ms=700, goal_ms=200, path=["g:1", "h:2"]),
            line("no-capacity", status=503, reason="no target serves"),
            line("no-capacity", status=503, reason="no untried target has room", standing="late"),
            line("no-capacity", status=503, reason="no untried target has room: 4 targets"),
            line("cut", status=502, reason="no untried target has room: 1 targets"),
            line("attempt failed", reason="no progress"),
            line("suspect", instance="i-1"),
            line("cleared"),
            line("sent again", number=2, target="h"),
            line("unauthenticated", status=401),
            line("dropped", reason="its connection was closed unread"),
            line("outlasted", deadline_left_ms=4400),
            line("cancelled", reason="the process stops"),
            line("draining", status=503, reason="it may take 8.00 s, and this entry host ends"),
            "not a line of ours\n",
        )
        self.assertEqual(
            found,
            [
                ("on time", 20),
                ("late: waited in its group", 20),
                ("late: came back after a refusal", 1),
                ("late: moved from a stalled group", 1),
                ("refused: no whole group", 1),
                ("refused again: all places taken", 1),
                ("refused: all places taken", 1),
                ("cut: its group stalled or was lost", 1),
                ("not taken: unauthenticated", 1),
                ("unanswered: its connection was closed unread", 1),
                ("unanswered: the process stops", 1),
                ("refused: its entry host shuts down", 1),
            ],
        )

    def test_table_shows_the_worst_time_windows(self):
        lines = [line("answered", first_ms=1, goal_ms=2), *[line("cut", at=15.0)] * 3]
        self.assertIn("4 s (3)", table(losses(lines)))
        self.assertEqual(table([]), "no line of a request")


if __name__ == "__main__":
    unittest.main()
