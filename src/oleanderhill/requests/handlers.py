"""Handlers of the HTTP server for callers: authentication, limits, one final answer each."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from typing import Any, NamedTuple, Protocol

from tornado.web import RequestHandler, stream_request_body

from .. import outcomes
from ..clients.httpcall import HttpCaller
from ..clients.targets import TargetClient
from ..decisions import Decisions
from ..journal.claims import Claims
from ..journal.once import Decided, Row, Verdict, closing_row, hash_body, hash_key
from ..kernel import Kernel
from ..metrics import Metrics
from ..outcomes import Problem, ProblemError, Ran
from ..routing.dispatch import RouterTask
from ..routing.router import Requirements
from ..routing.services import ServiceFinder
from ..settings.fleet import AccountView, Fleet, find_by_key
from ..settings.schema import PlainService
from .attempts import Request, RetryBudget
from .exchange import Exchange, StallTimeouts, TargetFinder, TargetRequest
from .quarantine import RequestQuarantineTask
from .sink import AnsweringHandler, CallerSink

MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_TIMEOUT = 60.0
MAX_TIMEOUT = 600.0
MAX_KEY_LENGTH = 255
PREFIX_LENGTH = 256
RECORD_TIMEOUT = 1.0
"""Seconds that a duplicate request waits for the outcome of the first one to be recorded. A peer
message and a journal batch take about 10 ms, or 0.5 s if the first write must be repeated."""

RECORD_POLL_INTERVAL = 0.1
"""Seconds between reads of the journal while a duplicate request waits."""

MAX_RUN_SECONDS = MAX_TIMEOUT + 60.0

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
FORWARDED_HEADERS = ("Content-Type", "Accept")
TIMEOUT_HEADER = "X-Request-Timeout"
NOT_REPEATABLE_HEADER = "X-Not-Repeatable"
KEY_HEADER = "Idempotency-Key"
ID_HEADER = "X-Request-Id"


class ModelName(NamedTuple):
    """The parts of a caller's ``model[@version][:adapter]``."""

    model: str
    version: str
    adapter: str


def parse_model(text: str) -> ModelName:
    """Split a caller's model name into its parts."""
    rest, _, adapter = text.partition(":")
    model, _, version = rest.partition("@")
    return ModelName(model, version, adapter)


class Edge(Protocol):
    """The attributes of the server that its handlers use."""

    kernel: Kernel
    router: RouterTask
    services: ServiceFinder
    caller: HttpCaller
    targets: TargetClient
    metrics: Metrics
    decisions: Decisions
    fleet: Fleet
    budget: RetryBudget
    stall_timeouts: StallTimeouts
    in_flight: int
    readiness_withdrawn: bool

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this host."""

    def admit(self, account: AccountView) -> None:
        """Admit a request of a client account, or raise :class:`ProblemError`."""


@stream_request_body
class BaseHandler(AnsweringHandler):
    """Base class of all handlers: limits the body, and reports errors as problem details."""

    def initialize(self, edge: Edge) -> None:
        self.edge = edge
        self.metrics = edge.metrics
        self.request_id = secrets.token_hex(8)
        self._body = bytearray()
        self._too_large = False
        self.exchange: Exchange | None = None

    def prepare(self) -> None:
        self.set_header(ID_HEADER, self.request_id)
        if self.edge.readiness_withdrawn:
            self.set_header("Connection", "close")
        length = self.request.headers.get("Content-Length", "0")
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            # The body is not read, so the connection can't be reused.
            self.set_header("Connection", "close")
            self.answer_problem(outcomes.too_large(MAX_BODY_BYTES))

    def data_received(self, chunk: bytes) -> None:
        self._too_large = self._too_large or len(self._body) + len(chunk) > MAX_BODY_BYTES
        if self._too_large:
            self._body = bytearray()
        else:
            self._body += chunk

    def read_body(self) -> bytes:
        """Return the complete body, once.

        :raises ProblemError: if it exceeds :data:`MAX_BODY_BYTES`
        """
        if self._too_large:
            raise ProblemError(outcomes.too_large(MAX_BODY_BYTES))
        body, self._body = bytes(self._body), bytearray()
        return body

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        detail = str(kwargs.get("exc_info", ("", ""))[1])[:200]
        ran = Ran.UNKNOWN if self.exchange is not None else Ran.NO
        problem = Problem(
            "internal" if status_code >= 500 else "bad-request", status_code, ran, detail
        )
        if not self.answered:
            self.answer_problem(problem)

    def on_connection_close(self) -> None:
        # The handler stays in cycles that are collected much later.
        self._body = bytearray()
        if self.exchange is not None:
            self.exchange.on_caller_disconnected()

    def account(self) -> AccountView:
        """Return the client account of the bearer key.

        :raises ProblemError: if the key is missing or unknown
        """
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        found = find_by_key(self.edge.fleet.account_by_key, key.strip())
        if scheme.lower() != "bearer" or found is None:
            raise ProblemError(outcomes.unauthenticated())
        return found

    def deadline(self) -> float:
        """Return the request's deadline in local monotonic time.

        :raises ProblemError: if the timeout header is malformed or not positive
        """
        text = self.request.headers.get(TIMEOUT_HEADER, str(DEFAULT_TIMEOUT))
        try:
            seconds = float(text)
        except ValueError as error:
            detail = f"{TIMEOUT_HEADER} is not a number of seconds"
            raise ProblemError(outcomes.bad_request(detail)) from error
        if not seconds > 0:
            raise ProblemError(outcomes.deadline_passed(Ran.NO))
        return time.monotonic() + min(seconds, MAX_TIMEOUT)

    def idempotency_key(self, required: bool) -> str:
        """Return the idempotency key, or an empty string if there is none.

        :raises ProblemError: if the key is required and missing, or too long
        """
        key = self.request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            raise ProblemError(
                outcomes.bad_request(f"{KEY_HEADER} is over {MAX_KEY_LENGTH} characters")
            )
        if required and not key:
            detail = f"a request that may not be repeated needs an {KEY_HEADER}"
            raise ProblemError(outcomes.bad_request(detail))
        return key

    def is_marked_not_repeatable(self) -> bool:
        """Return whether the caller marked the request as not repeatable."""
        return self.request.headers.get(NOT_REPEATABLE_HEADER, "").lower() in ("1", "true", "yes")

    async def serve(self, outgoing: TargetRequest, finder: TargetFinder, key: str) -> None:
        """Run a request to its single final answer, through the journal if it has a key."""
        self.edge.in_flight += 1
        began = time.monotonic()
        try:
            if key:
                await self._serve_idempotent(outgoing, finder, key)
            else:
                await self._run(outgoing, finder)
        finally:
            self.edge.in_flight -= 1
            self.edge.metrics.timing("request", (time.monotonic() - began) * 1000)

    async def _run(self, outgoing: TargetRequest, finder: TargetFinder) -> CallerSink:
        edge = self.edge
        sink = CallerSink(self)
        self.exchange = Exchange(
            outgoing,
            sink,
            finder,
            edge.caller,
            edge.targets,
            edge.budget,
            edge.stall_timeouts,
            edge.decisions,
            edge.kernel.find("suspects", RequestQuarantineTask),
        )
        await self.exchange.run()
        return sink

    async def _serve_idempotent(
        self, outgoing: TargetRequest, finder: TargetFinder, key: str
    ) -> None:
        claims = self.edge.kernel.find("claims", Claims)
        key_hash = hash_key(outgoing.account, key)
        body = hash_body(outgoing.method, outgoing.path, outgoing.body)
        row, decided = await self._claim(claims, key_hash, body)
        if decided.verdict != Verdict.GRANTED:
            self._answer_duplicate(decided)
            return
        sink = None
        try:
            sink = await self._run(outgoing, finder)
        finally:
            self._record(claims, row, sink)

    async def _claim(self, claims: Claims, key: bytes, body: bytes) -> tuple[Row, Decided]:
        """Claim a key, waiting briefly for the outcome of the first request to be recorded.

        The first request is answered before its outcome is recorded in the store. Without the wait,
        a duplicate that arrives between the two would be answered "in progress", although its
        caller may already have the answer.
        """
        until = time.monotonic() + RECORD_TIMEOUT
        while True:
            row, decided = await claims.claim(key, body)
            running = decided.verdict == Verdict.RUNNING
            if not running or time.monotonic() + RECORD_POLL_INTERVAL > until:
                return row, decided
            await asyncio.sleep(RECORD_POLL_INTERVAL)

    def _record(self, claims: Claims, claim: Row, sink: CallerSink | None) -> None:
        """Record the outcome of a claimed request; an unknown outcome leaves the claim open."""
        if sink is None or self.exchange is None:
            return
        if sink.answered is not None:
            answer = None if sink.streamed else sink.answered.body
            row = closing_row(claim, Ran.YES, sink.answered.status, answer)
        else:
            row = closing_row(claim, self.exchange.machine.ran())
        if row is not None:
            claims.finish(row)

    def _answer_duplicate(self, decided: Decided) -> None:
        row = decided.row
        match decided.verdict:
            case Verdict.DONE if row is not None and row.answer_stored:
                self.set_status(row.status)
                self.set_header("X-Idempotent-Replay", "true")
                self.set_header("X-Request-Ran", Ran.YES.value)
                self.set_header("Content-Type", "application/json")
                self.finish(row.answer)
            case Verdict.DONE:
                self.answer_problem(outcomes.duplicate_done())
            case Verdict.KEY_REUSED:
                self.answer_problem(outcomes.key_reused())
            case Verdict.RUNNING if row is not None and time.time() - row.at < MAX_RUN_SECONDS:
                self.answer_problem(outcomes.duplicate_running())
            case Verdict.RUNNING:
                self.answer_problem(outcomes.duplicate_unknown())
            case _:
                self.answer_problem(outcomes.journal_unavailable())


class HealthHandler(BaseHandler):
    """Liveness check."""

    async def get(self) -> None:
        self.finish({"alive": True})


class ReadyHandler(BaseHandler):
    """Readiness check: whether the load balancer should send callers to this host."""

    async def get(self) -> None:
        self.set_status(200 if self.edge.ready else 503)
        self.finish({"ready": self.edge.ready, "draining": self.edge.readiness_withdrawn})


class NotFoundHandler(BaseHandler):
    """Answers requests for unknown paths."""

    async def prepare(self) -> None:  # type: ignore[override]
        self.set_header(ID_HEADER, self.request_id)
        self.answer_problem(Problem("not-found", 404, Ran.NO, "there is no such path"))


class ModelsHandler(BaseHandler):
    """Lists the models that the client account may use."""

    async def get(self) -> None:
        try:
            account = self.account()
        except ProblemError as error:
            self.answer_problem(error.problem)
            return
        models = [{"id": m, "object": "model", "owned_by": account.team} for m in account.models]
        self.finish({"object": "list", "data": sorted(models, key=lambda m: m["id"])})


class ChatHandler(BaseHandler):
    """Chat completions, complete and streamed."""

    async def post(self) -> None:
        try:
            outgoing, key = self._build_request()
        except ProblemError as error:
            self.answer_problem(error.problem)
            return
        await self.serve(outgoing, self.edge.router, key)

    def _build_request(self) -> tuple[TargetRequest, str]:
        account = self.account()
        body = self.read_body()
        parsed = self._parse(body)
        name = parse_model(parsed["model"])
        self._check_model(account, name)
        deadline = self.deadline()
        key = self.idempotency_key(self.is_marked_not_repeatable())
        self.edge.admit(account)
        stream = parsed.get("stream") is True
        requirements = Requirements(
            f"{account.team}/{name.model}", name.version, name.adapter, self._prefix(parsed)
        )
        request = Request(self.request_id, not key, stream, deadline)
        outgoing = TargetRequest(
            request,
            account.account,
            requirements,
            account.priority,
            "POST",
            "/v1/chat/completions",
            {"Content-Type": "application/json"},
            body,
        )
        return outgoing, key

    def _parse(self, body: bytes) -> dict[str, Any]:
        try:
            parsed = json.loads(body)
        except ValueError as error:
            raise ProblemError(outcomes.bad_request("the body is not JSON")) from error
        if not isinstance(parsed, dict) or not isinstance(parsed.get("model"), str):
            raise ProblemError(outcomes.bad_request("the body needs a model name"))
        messages = parsed.get("messages")
        if not isinstance(messages, list) or not all(isinstance(m, dict) for m in messages):
            raise ProblemError(outcomes.bad_request("the body needs a list of messages"))
        return parsed

    def _check_model(self, account: AccountView, name: ModelName) -> None:
        if name.model not in self.edge.fleet.models_by_team.get(account.team, frozenset()):
            raise ProblemError(outcomes.unknown_model(name.model))
        if name.model not in account.models:
            raise ProblemError(outcomes.forbidden(name.model))

    def _prefix(self, parsed: dict[str, Any]) -> str:
        """Return the start of the first message, the part most often shared in prefix caches."""
        messages = parsed["messages"]
        content = messages[0].get("content") if messages else ""
        return content[:PREFIX_LENGTH] if isinstance(content, str) else ""


class ServiceHandler(BaseHandler):
    """Forwards calls to plain services."""

    async def get(self, service: str, path: str) -> None:
        await self._forward(service, path)

    async def post(self, service: str, path: str) -> None:
        await self._forward(service, path)

    async def put(self, service: str, path: str) -> None:
        await self._forward(service, path)

    async def delete(self, service: str, path: str) -> None:
        await self._forward(service, path)

    async def _forward(self, service: str, path: str) -> None:
        try:
            outgoing, key = self._build_request(service, path)
        except ProblemError as error:
            self.answer_problem(error.problem)
            return
        await self.serve(outgoing, self.edge.services, key)

    def _build_request(self, name: str, path: str) -> tuple[TargetRequest, str]:
        account = self.account()
        service = self.edge.fleet.service_by_name.get((account.team, name))
        if service is None:
            raise ProblemError(outcomes.unknown_model(name))
        if name not in account.services:
            raise ProblemError(outcomes.forbidden(name))
        body = self.read_body()
        deadline = self.deadline()
        key = self.idempotency_key(
            self.is_marked_not_repeatable() or self._requires_key(service, path)
        )
        self.edge.admit(account)
        method = self.request.method or "GET"
        idempotent = not key and method in IDEMPOTENT_METHODS
        query = f"?{self.request.query}" if self.request.query else ""
        headers = {
            h: self.request.headers[h] for h in FORWARDED_HEADERS if h in self.request.headers
        }
        outgoing = TargetRequest(
            Request(self.request_id, idempotent, False, deadline),
            account.account,
            Requirements(f"{account.team}/{name}"),
            account.priority,
            method,
            path + query,
            headers,
            body,
            forward_server_errors=True,
        )
        return outgoing, key

    def _requires_key(self, service: PlainService, path: str) -> bool:
        if self.request.method in ("GET", "HEAD", "OPTIONS"):
            return False
        return any(path.startswith(p) for p in service.get("not_repeatable", []))


def routes(edge: Edge) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
    """Return the routes of the HTTP server for callers."""
    shared = {"edge": edge}
    return [
        (r"/healthz", HealthHandler, shared),
        (r"/readyz", ReadyHandler, shared),
        (r"/v1/models", ModelsHandler, shared),
        (r"/v1/chat/completions", ChatHandler, shared),
        (r"/services/([a-z0-9.-]+)(/.*)", ServiceHandler, shared),
    ]
