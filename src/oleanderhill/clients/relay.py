"""Readings of the store passed on among entry hosts over HTTP.

A peer asks with the revision that it has and gets what it lacks as soon as there is something, or
once this host has read the store again. No clock is compared: the answer says how old the proof
is, and the asker counts that age back from the moment at which it asked, so that no delay on the
way makes a proof look younger than it is.
"""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import parse_qs, urlencode, urlsplit

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)

from ..clock import awake_or_not
from ..exceptions import NoReadingError, StoreError, StoreUnavailableError
from ..kernel import Kernel, Task
from .httpcall import Call, HttpCaller
from .mirror import PERIOD, Mirror
from .packing import grow, shrink
from .readings import Reading
from .storage import NEVER, Change, Revision

HOLD = PERIOD + 0.2
"""Seconds for which a question waits for news: one reading of the store and a slow answer."""

ANSWER_TIMEOUT = HOLD + 0.25
"""Seconds for an answer; after that the asker reads the store itself. A change must be in force
2 s after its write, and this leaves 0.9 s for that reading."""

CONNECT_TIMEOUT = 0.25
"""Seconds to connect to a peer of the same data centre, which takes a millisecond or is dead."""

IDLE_TIMEOUT = 30.0
"""Seconds for which a peer's idle connection is kept; it asks again at once."""


class Passage(NamedTuple):
    """A reading on its way: ages in place of times, as clocks differ.

    :param changes: encoded and shrunk: all peers that lack the same get the same bytes
    :param proof_age: seconds since the content was proved to be the newest
    :param read_age: seconds since the store was asked
    :param doubt: seconds for which entries that are missing may yet come back
    :param settling: seconds in which a store whose generation has just begun proves nothing
    """

    revision: Revision
    whole: bool
    changes: bytes
    proof_age: float
    read_age: float
    doubt: float
    settling: float


_DECODER = msgspec.msgpack.Decoder(Passage)
_CHANGES_DECODER = msgspec.msgpack.Decoder(list[Change])
_ENCODER = msgspec.msgpack.Encoder()


class PeerSource:
    """Reads what another entry host read.

    :param address: ``ip:port`` of its :class:`RelayServer`
    """

    def __init__(self, name: str, address: str, caller: HttpCaller) -> None:
        self.name = name
        self._address = address
        self._caller = caller

    async def read(self, after: Revision | None, began: float) -> Result[Reading, StoreError]:
        """Ask the peer for what changed after a revision."""
        query = (
            ""
            if after is None
            else "?" + urlencode({"generation": after.generation, "after": after.number})
        )
        call = Call(
            self._address,
            "GET",
            f"/readings{query}",
            timeout=ANSWER_TIMEOUT,
            reuse=True,
            connect_timeout=CONNECT_TIMEOUT,
        )
        found = await self._caller.call(call)
        if not is_successful(found):
            return Failure(StoreUnavailableError(f"{self.name}: {found.failure().reason}"))
        reply = found.unwrap()
        if reply.status == 503:
            return Failure(NoReadingError(self.name))
        if reply.status != 200:
            return Failure(StoreUnavailableError(f"{self.name}: status {reply.status}"))
        try:
            passage = _DECODER.decode(reply.body)
            changes = _CHANGES_DECODER.decode(grow(passage.changes))
        except msgspec.DecodeError as error:
            return Failure(StoreUnavailableError(f"{self.name}: malformed reading: {error}"))
        if after is not None and passage.revision.generation < after.generation:
            # What it proves, it proves of content that the store no longer has.
            return Failure(NoReadingError(self.name))
        if after is not None and passage.revision < after:
            # The peer is behind. What it proves holds for the newer content held here too.
            passage, changes = passage._replace(revision=after), []
        return Success(
            Reading(
                passage.revision,
                passage.whole,
                changes,
                began - passage.proof_age,
                began - passage.read_age,
                passage.doubt,
                passage.settling,
            )
        )


class _Question(HTTPMessageDelegate):
    def __init__(self, server: RelayServer, connection: HTTPConnection) -> None:
        self._server = server
        self._connection = connection
        self._path = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._path = start_line.path

    def finish(self) -> None:
        self._server.spawn(self._server.answer(self._path, self._connection))


class _Questions(HTTPServerConnectionDelegate):
    def __init__(self, server: RelayServer) -> None:
        self._server = server

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _Question(self._server, request_conn)


class RelayServer(Task):
    """Owns the server at which peers ask for readings.

    :param address: ``ip:port``
    """

    name = "relay"

    def __init__(self, kernel: Kernel, address: str, mirror: Mirror) -> None:
        super().__init__(kernel)
        self._address = address
        self._mirror = mirror
        self._packed: tuple[Revision, dict[Revision | None, bytes]] = (NEVER, {})
        self._http = HTTPServer(_Questions(self), idle_connection_timeout=IDLE_TIMEOUT)

    async def start(self) -> None:
        """Listen."""
        ip, port = self._address.rsplit(":", 1)
        self._http.listen(int(port), ip)

    async def stop(self) -> None:
        """Close the server."""
        self._http.stop()
        await self._http.close_all_connections()
        await super().stop()

    async def answer(self, path: str, connection: HTTPConnection) -> None:
        """Answer one question: 200 with a reading, 400, or 503 where this host has none to give."""
        query = parse_qs(urlsplit(path).query)
        after, generation = query.get("after", [""])[0], query.get("generation", ["0"])[0]
        if not generation.isdecimal() or (after and not after.isdecimal()):
            _reply(connection, 400, b"")
            return
        since = Revision(int(generation), int(after)) if after else None
        reading = await self._mirror.news(since, HOLD)
        if reading is None:
            _reply(connection, 503, b"")
            return
        now = awake_or_not()
        passage = Passage(
            reading.revision,
            reading.whole,
            self._pack(since, reading),
            now - reading.proved_at,
            now - reading.read_at,
            reading.doubt,
            reading.settling,
        )
        _reply(connection, 200, _ENCODER.encode(passage))

    def _pack(self, since: Revision | None, reading: Reading) -> bytes:
        """Return the changes of a reading as bytes, made once for all that ask alike.

        At the first start all hosts change at once. Encoded for each of 20 peers and sent as it
        is, that was answered too late, and the peers read the store: on a day of 62 entry hosts
        4,079 times, 948 with this and with fewer questions to a store in trouble.
        """
        if self._packed[0] != reading.revision:
            self._packed = (reading.revision, {})
        packed = self._packed[1]
        if since not in packed:
            packed[since] = shrink(_ENCODER.encode(list(reading.changes)))
        return packed[since]


def _reply(connection: HTTPConnection, status: int, body: bytes) -> None:
    start = ResponseStartLine("HTTP/1.1", status, responses[status])
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    written = connection.write_headers(start, headers, body)
    # A peer that left hears nothing; it has asked another source by now.
    written.add_done_callback(lambda w: w.cancelled() or w.exception())
    connection.finish()
