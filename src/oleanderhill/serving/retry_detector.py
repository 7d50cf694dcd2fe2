"""Distinguishes retries after a rejection from first attempts."""

from __future__ import annotations

from .decaying import DecayingSums

FIRST_ATTEMPT_FRACTION = 0.97
"""Fraction of a route's longest caller timeout from which on an attempt counts as the first. The
timeout is the time that the caller has left: the transfer to this host takes a few milliseconds of
it, and even the shortest retry delay takes more than 3 %."""

RETURN_SECONDS = 4.0
"""Seconds after a rejection within which its caller returns."""

MIN_RETRY_SHARE = 0.5
"""Share of the attempts with both signs that must be retries, so that each counts as one."""

_RATE_WINDOW = 2.0
"""Seconds over which attempts with both signs are counted."""

_MAX_ROUTES = 1_000
_MIN_COUNT = 0.01


class RetryDetector:
    """Distinguishes retries after a rejection from first attempts.

    Each attempt has its own id and carries no reference to an earlier one. A retry arrives on a new
    connection and with a shorter caller timeout than the first attempt had. Neither sign suffices
    alone: callers open connections for first attempts too, and their timeouts differ. Both signs
    together don't suffice where callers open many connections, as when the load balancer hands most
    of them to one host. Therefore the attempts with both signs are compared with the retries that
    recent rejections let expect.
    """

    def __init__(self) -> None:
        self._longest_timeout_by_route: dict[str, float] = {}
        self._with_both_signs = DecayingSums(_RATE_WINDOW, _MAX_ROUTES, _MIN_COUNT)
        self._peak_by_model: dict[str, tuple[float, float]] = {}

    def record_rejections(self, model: str, per_second: float, now: float) -> None:
        """Record how many requests of a model were rejected a second, for each entry host."""
        peak, at = self._peak_by_model.get(model, (0.0, now))
        if per_second >= peak or now - at > RETURN_SECONDS:
            self._peak_by_model[model] = (per_second, now)

    def is_retry(
        self,
        route: str,
        timeout: float | None,
        first_on_connection: bool,
        model: str = "",
        now: float = 0.0,
    ) -> bool:
        """Record the caller timeout of a request, in seconds, and return whether it is a retry.

        :param first_on_connection: whether it is the first request on its connection
        """
        if timeout is None:
            return False
        longest = max(self._longest_timeout_by_route.get(route, 0.0), timeout)
        self._longest_timeout_by_route[route] = longest
        if not first_on_connection or timeout >= longest * FIRST_ATTEMPT_FRACTION:
            return False
        self._with_both_signs.add(route, 1.0, now)
        per_second = self._with_both_signs.sums(now)[route].number / _RATE_WINDOW
        return self._returns_per_second(model, now) >= MIN_RETRY_SHARE * per_second

    def _returns_per_second(self, model: str, now: float) -> float:
        if model not in self._peak_by_model:
            return float("inf")
        peak, at = self._peak_by_model[model]
        return peak if now - at <= RETURN_SECONDS else 0.0
