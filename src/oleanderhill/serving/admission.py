"""Admits or rejects requests by route, key, and the age of this host's configuration."""

from __future__ import annotations

from typing import NamedTuple

from ..outcomes import Problem, Ran, unauthenticated
from ..settings.catalog import Account, Catalog, Route
from .forwarding import RequestInfo

STALE_CONFIGURATION_RETRY = 0.4
"""Seconds before the retry of a caller that was rejected because the configuration may be stale:
the time of one read of the store. The balancer sends the retry to another host."""


class Accepted(NamedTuple):
    """An admitted request."""

    route: Route
    account: Account | None

    @property
    def priority(self) -> int:
        """Return the priority of the request; the account's priority overrides the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def admit(
    catalog: Catalog | None, current: bool, facts: RequestInfo, host: str, path: str
) -> Accepted | Problem:
    """Return the route and client account of a request, or why it is rejected.

    :param current: whether the configuration was verified as the newest one recently enough

    A host whose configuration may be stale answers 503, never 401 or 404: the route or key may
    exist without being known here yet, and callers don't retry after 401 or 404.
    """
    if catalog is None:
        return _stale("no configuration yet")
    route = catalog.find_route(host.partition(":")[0].lower(), path)
    if route is None:
        return _no_route() if current else _stale("configuration may be old")
    if route.public or not catalog.requires_key:
        return Accepted(route, None)
    if not current:
        return _stale("keys may have been taken away")
    account = catalog.account_by_key.get(facts.key)
    return Accepted(route, account) if account is not None else unauthenticated()


def _stale(detail: str) -> Problem:
    return Problem("not-current", 503, Ran.NO, detail, STALE_CONFIGURATION_RETRY)


def _no_route() -> Problem:
    return Problem("no-route", 404, Ran.NO, "no route has this host and path")
