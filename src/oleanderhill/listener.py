"""An HTTP server on one address, started and stopped by the task that owns it."""

from __future__ import annotations

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT_SECONDS = 60


class HttpListener:
    """Serves a tornado application on ``ip:port`` once :meth:`listen` is called."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._server: HTTPServer | None = None

    def listen(self, application: Application, **options: Any) -> None:
        """Serve an application.

        :param options: passed on to :class:`tornado.httpserver.HTTPServer`
        """
        self._server = HTTPServer(
            application,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_SECONDS,
            **options,
        )
        ip, port = self._address.rsplit(":", 1)
        self._server.listen(int(port), ip)

    async def stop(self) -> None:
        """Close the server and its connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
