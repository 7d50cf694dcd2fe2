"""Stand-in for one model engine on one host.

It batches requests, streams tokens at a fixed rate, caches a limited number of prompt prefixes,
starts waiting requests by priority, resumes and cancels streams, reports its load with a delay,
executes load and unload orders, and checks or ignores their fencing tokens. Rank 0 serves requests;
like a real replica, it stalls while another member of its group does not answer. Faults are set by
``POST /faults``.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
import signal
import time
from collections import OrderedDict
from typing import Any

import defopt
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from oleanderhill.clients.httpcall import Call, HttpCaller

DEFAULT_TOKENS = 20
MEMBER_CHECK_INTERVAL = 0.2
"""Seconds between two checks of the group's members."""

PREFIX_CACHE_SIZE = 64


class Engine:
    """State of one engine.

    :param fencing: whether orders with an old fencing token are rejected
    :param pace: seconds between tokens
    :param prefill: seconds to the first token without a cached prefix
    :param capacity: requests that the engine batches
    :param gigabytes_per_second: rate at which weights are loaded
    :param record: path of the file to which events are appended, empty for none
    """

    def __init__(
        self,
        host: str,
        fencing: bool,
        pace: float,
        prefill: float,
        capacity: int,
        gigabytes_per_second: float,
        record: str,
    ) -> None:
        self.host = host
        self.boot_id = secrets.token_hex(6)
        self.fencing = fencing
        self.pace = pace
        self.prefill = prefill
        self.capacity = capacity
        self.gigabytes_per_second = gigabytes_per_second
        self.record = record
        self.fence = [0, 0]
        self.clear()
        self.running: dict[str, asyncio.Event] = {}
        self.waiting: list[tuple[int, float, asyncio.Event]] = []
        self.leaving = False
        self.members_ok = True
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.faults: dict[str, Any] = {
            "stall": False,
            "slow": 1.0,
            "cut_after": 0,
            "silent": False,
            "padding": 0,
        }
        self.reported_load: tuple[float, int, int] = (0.0, 0, 0)
        """When the reported load was sampled, and the running and waiting requests then."""
        self.loads = 0
        self.prefix_cache_size = PREFIX_CACHE_SIZE
        self.tokens = 0

    def clear(self) -> None:
        """Drop the weights and the group membership."""
        self.group, self.epoch, self.rank, self.state = "", 0, 0, "empty"
        self.members: list[dict[str, str]] = []
        self.version = ""

    def report(self) -> dict[str, Any]:
        """Return the engine's report, whose load figures are sampled at most every half second."""
        now = time.monotonic()
        if now - self.reported_load[0] > 0.5:
            self.reported_load = (now, len(self.running), len(self.waiting))
        return {
            "host": self.host,
            "boot_id": self.boot_id,
            "group": self.group,
            "epoch": self.epoch,
            "rank": self.rank,
            "state": self.state,
            "leaving": self.leaving,
            "running": self.reported_load[1],
            "waiting": self.reported_load[2],
            "capacity": self.capacity,
        }

    def record_event(self, event: str, run: str, **more: Any) -> None:
        """Append an event of a run to the record file."""
        if self.record:
            with open(self.record, "a", encoding="utf-8") as file:
                file.write(
                    json.dumps({"event": event, "run": run, "host": self.host, **more}) + "\n"
                )

    async def load(self, order: dict[str, Any]) -> None:
        """Load a part of a model; a ready member of the same group keeps its weights."""
        has_weights = self.state == "ready" and self.group == order["group"]
        self.group, self.epoch, self.rank = order["group"], order["epoch"], order["rank"]
        self.members, self.version = order["members"], order["version"]
        epoch, self.state = self.epoch, "loading"
        self.loads += 1
        await asyncio.sleep(
            0.1 if has_weights else 0.1 + order["weights_gb"] / self.gigabytes_per_second
        )
        if self.state == "loading" and self.epoch == epoch:
            self.state = "ready"

    async def check_members(self) -> None:
        """Check periodically that the other members belong to the group; rank 0 stalls if not."""
        caller = HttpCaller()
        while True:
            await asyncio.sleep(MEMBER_CHECK_INTERVAL)
            if self.rank != 0 or self.state != "ready":
                self.members_ok = True
                continue
            calls = [
                caller.call(Call(m["address"], "GET", "/report", timeout=1.0, reuse=True))
                for m in self.members[1:]
            ]
            results = await asyncio.gather(*calls)
            self.members_ok = all(self._reports_same_group(r) for r in results)

    def _reports_same_group(self, result: Any) -> bool:
        reply = result.value_or(None)
        if reply is None:
            return False
        report = json.loads(reply.body)
        return report["group"] == self.group and report["epoch"] == self.epoch

    async def acquire_slot(self, run: str, priority: int) -> asyncio.Event:
        """Wait for a slot in the batch, by priority, and return the event that cancels the run."""
        cancelled = asyncio.Event()
        if len(self.running) >= self.capacity:
            slot_free = asyncio.Event()
            entry = (-priority, time.monotonic(), slot_free)
            self.waiting.append(entry)
            self.waiting.sort(key=lambda w: w[:2])
            try:
                await slot_free.wait()
            finally:
                if entry in self.waiting:
                    self.waiting.remove(entry)
        self.running[run] = cancelled
        return cancelled

    def release_slot(self, run: str) -> None:
        """Release the slot of a run and give it to the next waiting request."""
        self.running.pop(run, None)
        if self.waiting and len(self.running) < self.capacity:
            self.waiting.pop(0)[2].set()

    def prefill_time(self, prompt: str) -> float:
        """Return the seconds to the first token, fewer if the prompt's prefix is cached."""
        prefix = hashlib.sha256(prompt[:256].encode()).hexdigest()
        is_cached = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > self.prefix_cache_size:
            self.prefixes.popitem(last=False)
        return self.prefill * (0.2 if is_cached else 1.0)

    async def step(self, seconds: float, cancelled: asyncio.Event) -> None:
        """Wait for the time of one step, and longer while the replica is stalled or incomplete."""
        await asyncio.sleep(seconds * self.faults["slow"])
        while (self.faults["stall"] or not self.members_ok) and not cancelled.is_set():
            await asyncio.sleep(0.02)


def token(prompt: str, number: int) -> str:
    """Return the token at an offset, derived from the prompt so that tests can verify answers."""
    return hashlib.sha256(f"{prompt}|{number}".encode()).hexdigest()[:6]


def answer(prompt: str, count: int) -> str:
    """Return the complete answer to a prompt."""
    return " ".join(token(prompt, n) for n in range(count))


class _Handler(RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine


class ReportHandler(_Handler):
    """``/report``."""

    async def get(self) -> None:
        if self.engine.faults["silent"]:
            await asyncio.sleep(30)
        self.finish(self.engine.report())


class OrdersHandler(_Handler):
    """``/orders``: load and unload."""

    def post(self) -> None:
        engine = self.engine
        order = json.loads(self.request.body)
        if engine.fencing and order["fence"] < engine.fence:
            self.set_status(409)
            self.finish({"refused": "old fencing number", "seen": engine.fence})
            return
        engine.fence = max(engine.fence, order["fence"])
        if order["kind"] == "load":
            asyncio.ensure_future(engine.load(order))
        else:
            engine.clear()
        self.finish({"accepted": True})


class ChatHandler(_Handler):
    """``/v1/chat/completions``."""

    async def post(self) -> None:
        engine = self.engine
        run = self.request.headers.get("X-Oleanderhill-Run", secrets.token_hex(6))
        self.set_header("X-Oleanderhill-Run", run)
        expected_group = self.request.headers.get("X-Oleanderhill-Group", "")
        own_group = f"{engine.group}@{engine.epoch}"
        if (
            engine.state != "ready"
            or engine.rank != 0
            or (expected_group and expected_group != own_group)
        ):
            self.set_status(409)
            self.set_header("X-Not-Started", "wrong-group")
            self.finish({"error": {"type": "wrong_group", "message": own_group}})
            return
        self._closed = asyncio.Event()
        body = json.loads(self.request.body)
        cancelled = await engine.acquire_slot(run, int(self.request.headers.get("X-Priority", "0")))
        try:
            await self._generate(run, body, cancelled)
        except StreamClosedError:
            engine.record_event("cut", run)
        finally:
            engine.release_slot(run)

    def on_connection_close(self) -> None:
        for run, cancelled in self.engine.running.items():
            if run == self.request.headers.get("X-Oleanderhill-Run"):
                cancelled.set()

    async def _generate(self, run: str, body: dict[str, Any], cancelled: asyncio.Event) -> None:
        engine = self.engine
        prompt = body["messages"][-1]["content"] if body["messages"] else ""
        count = int(body.get("max_tokens", DEFAULT_TOKENS))
        start = int(self.request.headers.get("X-Resume-From", "0"))
        engine.record_event("start", run, group=f"{engine.group}@{engine.epoch}", offset=start)
        await engine.step(engine.prefill_time(prompt), cancelled)
        stream = body.get("stream") is True
        if stream:
            self.set_header("Content-Type", "text/event-stream")
        for number in range(start, count):
            if cancelled.is_set():
                engine.record_event("cancelled", run, offset=number)
                return
            if engine.faults["cut_after"] and number - start >= engine.faults["cut_after"]:
                self.detach().close()
                return
            engine.tokens += 1
            if stream:
                self.write(_event(run, number, token(prompt, number), engine.faults["padding"]))
                await self.flush()
            await engine.step(engine.pace, cancelled)
        engine.record_event("end", run)
        if stream:
            self.finish(b"data: [DONE]\n\n")
            return
        text = answer(prompt, count)
        choice = {"index": 0, "message": {"role": "assistant", "content": text}}
        self.finish({"id": run, "object": "chat.completion", "choices": [choice]})


def _event(run: str, number: int, text: str, padding: int) -> bytes:
    choice = {"index": 0, "delta": {"content": text}}
    body = {"id": run, "object": "chat.completion.chunk", "offset": number, "choices": [choice]}
    if padding:
        body["padding"] = "x" * padding
    return b"data: " + json.dumps(body).encode() + b"\n\n"


class CancelHandler(_Handler):
    """``/cancel/<run>``."""

    def post(self, run: str) -> None:
        cancelled = self.engine.running.get(run)
        if cancelled is not None:
            cancelled.set()
        self.finish({"found": cancelled is not None})


class FaultsHandler(_Handler):
    """``/faults``: sets faults; ``reboot`` changes the boot id and drops weights and membership."""

    def post(self) -> None:
        change = json.loads(self.request.body)
        engine = self.engine
        if change.pop("reboot", False):
            engine.boot_id = secrets.token_hex(6)
            engine.clear()
        engine.leaving = change.pop("leaving", engine.leaving)
        engine.faults.update(change)
        self.finish(engine.faults)


def make_application(engine: Engine) -> Application:
    """Return the HTTP application of an engine."""
    with_engine = {"engine": engine}
    return Application(
        [
            (r"/report", ReportHandler, with_engine),
            (r"/orders", OrdersHandler, with_engine),
            (r"/v1/chat/completions", ChatHandler, with_engine),
            (r"/cancel/(.*)", CancelHandler, with_engine),
            (r"/faults", FaultsHandler, with_engine),
        ],
        log_function=lambda handler: None,
    )


def run(
    host: str,
    address: str,
    *,
    fencing: bool = True,
    pace: float = 0.02,
    prefill: float = 0.1,
    capacity: int = 16,
    gigabytes_per_second: float = 20.0,
    record: str = "",
) -> None:
    """Run one engine stand-in.

    :param host: name of the host
    :param address: ip:port to listen on
    :param fencing: reject orders with an old fencing token
    :param pace: seconds between tokens
    :param prefill: seconds to the first token without a cached prefix
    :param capacity: requests that the engine batches
    :param gigabytes_per_second: rate at which weights are loaded
    :param record: file to which events of runs are appended
    """

    async def serve() -> None:
        engine = Engine(host, fencing, pace, prefill, capacity, gigabytes_per_second, record)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, lambda: setattr(engine, "leaving", True)
        )
        ip, port = address.rsplit(":", 1)
        make_application(engine).listen(int(port), ip)
        await engine.check_members()

    asyncio.run(serve())


if __name__ == "__main__":
    defopt.run(run)
