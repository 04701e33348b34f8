"""The HTTP server, which runs in the current event loop."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Iterator
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import uvicorn
from uvicorn.protocols.http.auto import AutoHTTPProtocol

from damaskdeck import defaults
from damaskdeck.transport.listeners import format_address, open_listener

if TYPE_CHECKING:
    from starlette.applications import Starlette

# The server updates its date header at this interval.
TICK_SECONDS = 1

logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.has_started = asyncio.Event()
        self.must_stop = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start the server and set ``has_started``."""
        await super().startup(sockets)
        self.has_started.set()

    async def main_loop(self) -> None:
        """Keep the date header current until the server must stop."""
        while not self.must_stop.is_set():
            await self.on_tick(0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self.must_stop.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, because the daemon handles signals."""
        yield


class HttpServer:
    """Serves an ASGI application on bound sockets.

    Guarantee: "A graceful shutdown of an instance or process cuts off no request
    in progress."

    :param grace: time that requests in progress have to finish after a stop.
    :param keep_alive: time after which an idle connection is closed.
    """

    def __init__(
        self,
        app: Any,
        listeners: list[socket.socket],
        grace: timedelta = defaults.SHUTDOWN_GRACE,
        keep_alive: timedelta = defaults.KEEP_ALIVE,
    ) -> None:
        self._listeners = listeners
        config = uvicorn.Config(
            app,
            # Imported with this module, before garbage collection is enabled.
            http=AutoHTTPProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            timeout_keep_alive=round(keep_alive.total_seconds()),
            timeout_graceful_shutdown=max(1, round(grace.total_seconds())),
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve in the background until :meth:`stop`."""
        self._task = asyncio.ensure_future(self._server.serve(sockets=self._listeners))
        await self._server.has_started.wait()

    async def run(self) -> None:
        """Serve until cancelled, then shut down gracefully."""
        if self._task is None:
            await self.start()
        try:
            await asyncio.shield(self._task)
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Wait for requests in progress and close the server."""
        self._server.must_stop.set()
        if self._task is not None:
            await self._task


class ApiServer(HttpServer):
    """The HTTP server of one daemon's API.

    :param port: 0 selects a free port; :attr:`address` has it after :meth:`start`.
    :param grace: time that requests in progress have to finish after a stop.
    :param listener: a bound socket to serve on instead of ``host`` and ``port``.
    """

    def __init__(
        self,
        app: "Starlette",
        host: str,
        port: int,
        grace: timedelta = defaults.SHUTDOWN_GRACE,
        listener: socket.socket | None = None,
    ) -> None:
        super().__init__(app, [], grace)
        self.address = ""
        self._app = app
        self._host = host
        self._port = port
        self._listener = listener

    async def start(self) -> None:
        """Listen, and serve in the background until :meth:`stop`."""
        listener = self._listener or open_listener(self._host, self._port)
        self.address = format_address(listener)
        self._listeners.append(listener)
        await super().start()

    async def stop(self) -> None:
        """End watches, wait for requests in progress and close the server."""
        self._app.state.stopping.set()
        await super().stop()
