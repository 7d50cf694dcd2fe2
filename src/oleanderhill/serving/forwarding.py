"""What the driver of forwarded requests and the platform's adapter tell each other."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from tornado.httputil import HTTPHeaders


class Facts(NamedTuple):
    """What a request says of itself.

    :param patience: seconds for which the caller waits, ``None`` where it does not say
    :param key: API key, empty for none
    :param model: which model is to answer, empty for a plain service
    :param last_event: id of the last event of its stream that the caller has
    """

    request_id: str
    patience: float | None
    key: str
    model: str
    last_event: int | None


class NamedLimit(NamedTuple):
    """The limit that a target names in a reply.

    :param rate: requests a second that it takes from all entry hosts together, ``None`` where that
        can't be read
    :param text: as it came
    """

    rate: float | None
    text: str


class Notice(NamedTuple):
    """What a target says of itself in whatever it answers.

    :param backoff: seconds for which it asks this host to send it nothing, ``None`` for none
    :param leaving: it ends soon, and takes no further requests by then
    """

    limit: NamedLimit | None = None
    backoff: float | None = None
    leaving: bool = False


class Reading(NamedTuple):
    """What a target's reply means.

    :param not_run: the target says that it did not run the request and will not
    :param sealed: it bears the target's signature
    :param own: it comes from the target that was asked, not from another at its address
    """

    not_run: bool
    sealed: bool
    own: bool = True
    notice: Notice = Notice()


class Codec(Protocol):
    """Decodes and writes headers."""

    def read_request(self, headers: HTTPHeaders) -> Facts:
        """Return what a request's headers say."""

    def to_target(
        self,
        headers: HTTPHeaders,
        account: str | None,
        instance: str,
        seconds_left: float,
        priority: int | None,
        last_event: int | None,
    ) -> HTTPHeaders:
        """Return the headers with which a request goes to a target."""

    def read_reply(self, status: int, headers: HTTPHeaders) -> Reading:
        """Return what a reply's status and headers mean for the request."""

    def belongs(self, request_id: str, headers: HTTPHeaders) -> bool:
        """Tell whether a reply answers this request."""

    def to_caller(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers with which a target's answer goes to the caller."""

    def refusal(self, request_id: str, retry_after: float | None) -> Mapping[str, str]:
        """Return the headers of an answer of our own."""
