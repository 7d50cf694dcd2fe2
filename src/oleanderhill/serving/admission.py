"""Whether a request is taken: by route, key, and how sure this host is of its configuration."""

from __future__ import annotations

from typing import NamedTuple

from ..outcomes import Problem, Ran, unauthenticated
from ..settings.catalog import Account, Catalog, Route
from .forwarding import Facts

UNSURE_RETRY = 0.4
"""Seconds after which a caller may come back that was refused for want of a current configuration:
one reading of the store. The balancer sends it to another host."""


class Accepted(NamedTuple):
    """A request that is taken."""

    route: Route
    account: Account | None

    @property
    def priority(self) -> int:
        """Return the rank of the request; the account's own goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def admit(
    catalog: Catalog | None, current: bool, facts: Facts, host: str, path: str
) -> Accepted | Problem:
    """Return the route and account of a request, or why it is refused.

    :param current: the configuration held is proved to be the newest within the bound

    A host that is not sure says 503, never 401 or 404: it may not have heard of a route or key
    that is there, and callers don't come back after those.
    """
    if catalog is None:
        return _unsure("no configuration yet")
    route = catalog.find_route(host.partition(":")[0].lower(), path)
    if route is None:
        return _no_route() if current else _unsure("configuration may be old")
    if route.public or not catalog.keyed:
        return Accepted(route, None)
    if not current:
        return _unsure("keys may have been taken away")
    account = catalog.account_by_key.get(facts.key)
    return Accepted(route, account) if account is not None else unauthenticated()


def _unsure(detail: str) -> Problem:
    return Problem("not-current", 503, Ran.NO, detail, UNSURE_RETRY)


def _no_route() -> Problem:
    return Problem("no-route", 404, Ran.NO, "no route has this host and path")


class ReturningCallers:
    """Tells callers that came back after a refusal from those that come for the first time.

    An attempt has an id of its own, and nothing in it names the one before. But callers come back
    on a new connection, and with less time left than they had. Neither tells by itself: callers
    open connections for first attempts too, and their patience differs, by 15 in 100 as seen. Taken
    by its patience alone, of 100 first attempts 75 counted as returned, and found the room of late
    ones. By both, 5 in 100 do, and all that came back after a refusal are told (of 1,875 attempts
    of one day, held against the prompts that they share).
    """

    def __init__(self) -> None:
        self._longest_by_route: dict[str, float] = {}

    def came_back(self, route: str, patience: float | None, first_on_connection: bool) -> bool:
        """Take note of a request's patience, in seconds, and tell whether its caller came back.

        :param first_on_connection: no request came before it on its connection
        """
        if patience is None:
            return False
        longest = max(self._longest_by_route.get(route, 0.0), patience)
        self._longest_by_route[route] = longest
        return first_on_connection and patience < longest * FIRST_PATIENCE


FIRST_PATIENCE = 0.97
"""Part of the longest patience from which on an attempt counts as the first: the way to this host
takes some ms off, the shortest time to come back more than three in a hundred."""
