"""Tests that log lines alone explain a request's outcome, and the bounded log that writes them."""

import json
import os
import unittest
from unittest import mock

from oleanderhill import records
from oleanderhill.operators.explaining import explain_log, parse_line, show_lines
from oleanderhill.records import BoundedOutput, Records


def log_line(at, part, what, **fields):
    return json.dumps(
        {
            "message_type": f"oleanderhill:{part}",
            "timestamp": at,
            "host": "e1",
            "what": what,
            **fields,
        }
    )


class ExplainTest(unittest.TestCase):
    def test_interrupted_stream_is_explained_by_the_lost_host(self):
        # A stream is interrupted, and the log line with its request id names the group. Around that
        # time a host of the group did not answer and the group was dissolved. Lines about other
        # groups and times must not appear.
        texts = [
            log_line(50.0, "plan", "written", reason="formed d.1 of m"),
            log_line(
                99.0, "request", "cut", request_id="r1", path=["d.1:i-1"], reason="no progress"
            ),
            log_line(99.1, "request", "cut", request_id="r2", path=["d.1:i-1"]),
            "12.5 e1 " + log_line(99.5, "probe", "silent", instance="i-2", group="d.1"),
            log_line(99.6, "probe", "silent", instance="i-9", group="d.7"),
            log_line(100.0, "plan", "written", reason="dissolved d.1 member silent"),
            log_line(120.0, "order", "done", about="d.1"),
            "no line of ours {",
        ]
        found = explain_log("r1", texts)
        self.assertEqual([f.part for f in found], ["request", "probe", "plan"])
        shown = show_lines(found)
        self.assertIn("no progress", shown)
        self.assertIn("member silent", shown)

    def test_rejection_for_a_stale_freshness_check_is_explained_by_the_lost_store(self):
        texts = [
            log_line(95.0, "dependency", "lost", dependency="store", reason="timeout"),
            log_line(99.0, "request", "not-current", request_id="r1", proof_age_s=4.4),
        ]
        self.assertEqual([f.part for f in explain_log("r1", texts)], ["dependency", "request"])

    def test_failed_request_is_explained_by_the_target_that_fails_what_it_gets(self):
        failing = {"target": "t-0@17", "failures": 3.0, "answers": 3.0, "counted_hosts": 61}
        texts = [
            log_line(98.0, "target", "failing", **failing),
            log_line(98.5, "target", "failing", **{**failing, "target": "t-1@18"}),
            log_line(99.0, "request", "answered", request_id="r1", path=["t-0@17:t-0"]),
        ]
        self.assertEqual([f.part for f in explain_log("r1", texts)], ["target", "request"])

    def test_line_with_a_field_of_another_type_does_not_stop_the_explanation(self):
        texts = [
            log_line(98.0, "target", "failing", target="t-0@17", hosts=61),
            log_line(99.0, "request", "answered", request_id="r1", path=["t-0@17:t-0"]),
        ]
        self.assertEqual([f.part for f in explain_log("r1", texts)], ["target", "request"])

    def test_refused_request_is_explained_by_the_target_that_turned_cold(self):
        texts = [
            log_line(98.0, "cold", "began", instance="i-1@1788000000123", seconds=3.0),
            log_line(98.5, "cold", "began", instance="i-2@1788000000124", seconds=3.0),
            log_line(99.0, "request", "no-capacity", request_id="r1", path=["d.1:i-1"]),
        ]
        self.assertEqual([f.part for f in explain_log("r1", texts)], ["cold", "request"])

    def test_unknown_id_and_malformed_lines(self):
        self.assertEqual(explain_log("r1", ["x", "{", '{"a": 1}']), [])
        self.assertIsNone(parse_line('{"message_type": "oleanderhill:x"}'))
        self.assertEqual(show_lines([]), "no log line mentions it")


class LogTest(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.write_end, False)
        os.set_blocking(self.read_end, False)

    def tearDown(self):
        os.close(self.read_end)
        os.close(self.write_end)

    def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(self):
        # The log collector stops reading. Writing must not block and memory must stay bounded: the
        # buffer fills up, further lines are dropped and counted, and the count is logged later.
        output = BoundedOutput(self.write_end)
        for number in range(records.MAX_BUFFERED_LINES + 500):
            output({"n": number, "text": "x" * 100})
        self.assertEqual(output.dropped, 500)
        output.flush()
        output.flush()
        data = b""
        for _ in range(2000):
            try:
                data += os.read(self.read_end, 1 << 20)
            except BlockingIOError:
                if not output._lines and not output.dropped:
                    break
                output.flush()
        lines = data.splitlines()
        self.assertEqual(json.loads(lines[0])["n"], 0)
        self.assertTrue(any(b'"lines":500' in found for found in lines))

    def test_every_write_ends_at_a_line_break(self):
        # A burst of lines, as after a store outage. A write larger than the pipe's atomic size may
        # be split within a line, and a collector that reads write by write loses the rest.
        output = BoundedOutput(self.write_end)
        for number in range(300):
            output({"n": number, "text": "x" * 90})
        writes = []
        with mock.patch.object(records.os, "write", lambda _, d: writes.append(d) or len(d)):
            output.flush()
        self.assertTrue(
            all(w.endswith(b"\n") and len(w) <= records.MAX_ATOMIC_WRITE_BYTES for w in writes)
        )
        numbers = [json.loads(found)["n"] for found in b"".join(writes).splitlines()]
        self.assertEqual(numbers, list(range(300)))

    def test_successes_are_sampled_and_failures_are_not(self):
        logged = []
        log = Records("e1")
        log.note = lambda part, what, **fields: logged.append((what, fields))
        for _ in range(records.SAMPLE_INTERVAL * 3):
            log.request("r", "answered", True)
        for _ in range(10):
            log.request("r", "cut", False)
        self.assertEqual([w for w, _ in logged].count("answered"), 3)
        self.assertEqual([w for w, _ in logged].count("cut"), 10)

    def test_failures_beyond_the_rate_are_counted(self):
        logged = []
        log = Records("e1")
        log.note = lambda part, what, **fields: logged.append((part, what, fields))
        log._current_second = -1
        for _ in range(records.MAX_REQUEST_LINES_PER_SECOND + 40):
            log.request("r", "cut", False)
        written = [n for n in logged if n[1] == "cut"]
        self.assertLessEqual(len(written), records.MAX_REQUEST_LINES_PER_SECOND * 2)
        log._current_second = -1
        log.request("r", "cut", False)
        self.assertTrue(any(p == "log" and w == "suppressed" for p, w, _ in logged))


if __name__ == "__main__":
    unittest.main()
