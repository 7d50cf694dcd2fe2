"""Stand-in for a plain service that records every call it executes."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import defopt
from tornado.web import Application, RequestHandler


class CallHandler(RequestHandler):
    """Handles calls of any path; ``POST /faults`` sets the delay.

    :param record: path of the file to which calls are appended, empty for none
    :param delay: one number, the seconds that a call takes; a list, so that it can be changed
    """

    def initialize(self, record: str, delay: list[float]) -> None:
        self.record = record
        self.delay = delay

    async def get(self, path: str) -> None:
        """Answer a call."""
        await self._run(path)

    async def post(self, path: str) -> None:
        """Answer a call, or set the delay."""
        if path == "faults":
            self.delay[0] = json.loads(self.request.body)["delay"]
            self.finish({})
            return
        await self._run(path)

    async def _run(self, path: str) -> None:
        run = self.request.headers.get("X-Oleanderhill-Run", "")
        self.set_header("X-Oleanderhill-Run", run)
        body = self.request.body.decode()
        self._append_record({"event": "start", "run": run, "path": path, "body": body})
        await asyncio.sleep(self.delay[0])
        self.finish({"path": path, "echo": body})

    def _append_record(self, row: dict[str, Any]) -> None:
        if self.record:
            with open(self.record, "a", encoding="utf-8") as file:
                file.write(json.dumps(row) + "\n")


def run(address: str, *, record: str = "", delay: float = 0.01) -> None:
    """Run a plain service stand-in.

    :param address: ip:port to listen on
    :param record: file to which calls are appended
    :param delay: seconds that a call takes
    """

    async def serve() -> None:
        application = Application(
            [(r"/(.*)", CallHandler, {"record": record, "delay": [delay]})],
            log_function=lambda handler: None,
        )
        ip, port = address.rsplit(":", 1)
        application.listen(int(port), ip)
        await asyncio.Event().wait()

    asyncio.run(serve())


if __name__ == "__main__":
    defopt.run(run)
