"""Counters and latency histograms as text on a metrics address."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

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
        """Serve the metrics under ``/metrics``."""
        routes = [("/metrics", _MetricsHandler, {"exposition": self})]
        self._server = HTTPServer(Application(routes, log_function=lambda handler: None))
        self._server.listen(port, ip)

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()


class _MetricsHandler(RequestHandler):
    def initialize(self, exposition: Exposition) -> None:
        self._exposition = exposition

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._exposition.text())
