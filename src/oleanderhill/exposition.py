"""Serves counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)

from .listener import HttpListener, ListenerLimits

LATENCY_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
"""Upper bounds in seconds. The latency goals of the routes and the timeouts are among them."""


LIMITS = ListenerLimits(max_body_bytes=0, max_connections=16)
"""A scrape has no body, and few programs scrape."""


class _LabelledGauge(Collector):
    def __init__(
        self, name: str, text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self._name, self._text, self._label, self._read = name, text, label, read

    def collect(self) -> Iterable[GaugeMetricFamily]:
        family = GaugeMetricFamily(self._name, self._text, labels=[self._label])
        for value, number in sorted(self._read().items()):
            family.add_metric([value], number)
        return [family]


class _Scrape(HTTPMessageDelegate):
    def __init__(self, exposition: Exposition, connection: HTTPConnection) -> None:
        self._exposition = exposition
        self._connection = connection

    def finish(self) -> None:
        body = self._exposition.text()
        headers = HTTPHeaders(
            {"Content-Type": "text/plain; version=0.0.4", "Content-Length": str(len(body))}
        )
        start = ResponseStartLine("HTTP/1.1", 200, "OK")
        written = self._connection.write_headers(start, headers, body)
        # Ignore a client that disconnects: only this response is lost.
        written.add_done_callback(lambda w: w.cancelled() or w.exception())
        self._connection.finish()


class _Scrapes(HTTPServerConnectionDelegate):
    def __init__(self, exposition: Exposition) -> None:
        self._exposition = exposition

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _Scrape(self._exposition, request_conn)


class Exposition:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._outcomes = Counter(
            "oleanderhill_answers", "Ended requests", ["route", "outcome"], registry=self._registry
        )
        self._latency = Histogram(
            "oleanderhill_request_seconds",
            "Seconds from arrival to the end of the answer",
            ["route"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._admissions = Counter(
            "oleanderhill_admissions",
            "Admission decisions by outcome and priority",
            ["outcome", "priority"],
            registry=self._registry,
        )
        self._retries = Counter(
            "oleanderhill_retries",
            "Decisions of the retry budget",
            ["service", "outcome"],
            registry=self._registry,
        )
        self._sends = Counter(
            "oleanderhill_sends",
            "Requests sent to targets",
            ["service", "attempt"],
            registry=self._registry,
        )
        self._unanswered = Counter(
            "oleanderhill_unanswered",
            "Requests that ended without an answer",
            ["outcome"],
            registry=self._registry,
        )
        self._server: HttpListener | None = None

    def unanswered(self, outcome: str) -> None:
        """Count a request that ended without an answer."""
        self._unanswered.labels(outcome).inc()

    def admission(self, outcome: str, priority: int) -> None:
        """Count an admission decision."""
        self._admissions.labels(outcome, priority).inc()

    def retry(self, service: str, allowed: bool) -> None:
        """Count a decision of the retry budget."""
        self._retries.labels(service, "allowed" if allowed else "refused").inc()

    def send(self, service: str, again: bool) -> None:
        """Count a request that was sent to a target.

        :param again: whether the request had been sent before
        """
        self._sends.labels(service, "again" if again else "first").inc()

    def sends(self) -> dict[str, int]:
        """Return the requests sent so far, by service and whether they had been sent before."""
        samples = (s for family in self._sends.collect() for s in family.samples)
        counts = (s for s in samples if s.name.endswith("_total"))
        return {f"{s.labels['service']} {s.labels['attempt']}": int(s.value) for s in counts}

    def request(self, route: str, outcome: str, seconds: float) -> None:
        """Record the outcome and the duration of a request."""
        self._outcomes.labels(route, outcome).inc()
        self._latency.labels(route).observe(seconds)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each scrape."""
        gauge = Gauge(f"oleanderhill_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def gauge_by(
        self, name: str, text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register a gauge with one label, whose values are read at each scrape."""
        self._registry.register(_LabelledGauge(f"oleanderhill_{name}", text, label, read))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def listen(self, ip: str, port: int) -> None:
        """Serve the metrics under any path.

        This avoids ``tornado.web``, whose templates and locales use 1 MB of memory per process.
        """
        self._server = HttpListener(f"{ip}:{port}", _Scrapes(self), LIMITS)
        self._server.accept_connections()

    async def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            await self._server.stop()
