"""Counters and latency histograms as text on a metrics address."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

LATENCY_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
"""Seconds; the goals of the routes and the time-outs lie on borders."""


class Exposition:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._answers = Counter(
            "oleanderhill_answers", "Ended requests", ["route", "outcome"], registry=self._registry
        )
        self._seconds = Histogram(
            "oleanderhill_request_seconds",
            "Seconds from arrival to the end of the answer",
            ["route"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._server: HTTPServer | None = None

    def request(self, route: str, outcome: str, seconds: float) -> None:
        """Count a request that has ended."""
        self._answers.labels(route, outcome).inc()
        self._seconds.labels(route).observe(seconds)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Show a value that is read when the metrics are asked for."""
        gauge = Gauge(f"oleanderhill_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)

    def listen(self, ip: str, port: int) -> None:
        """Serve the metrics under any path.

        Not by ``tornado.web``, whose templates and locales take 1 MB of each process.
        """
        self._server = HTTPServer(self._answer)
        self._server.listen(port, ip)

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def _answer(self, request: HTTPServerRequest) -> None:
        body = self.text()
        headers = HTTPHeaders(
            {"Content-Type": "text/plain; version=0.0.4", "Content-Length": str(len(body))}
        )
        connection = request.connection
        assert connection is not None
        written = connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, body)
        # Who asked and left misses nothing but this answer.
        written.add_done_callback(lambda w: w.cancelled() or w.exception())
        connection.finish()
