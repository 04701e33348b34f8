"""Streams between daemons over grpclib: one in each direction for each peer."""

import asyncio
import heapq
import hmac
import itertools
import logging
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

from grpclib.const import Cardinality, Status
from grpclib.const import Handler as MethodHandler
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.defaults import SILENCE_LIMIT
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_refusal
from damaskdeck.protocol.messages import (
    Answered,
    Envelope,
    Handler,
    Unanswered,
    Unsent,
    decode_message,
    encode_message,
    get_message_name,
)
from damaskdeck.transport.batches import BatchCodec, Outbox
from damaskdeck.transport.links import (
    EXCHANGE_METHOD,
    HTTP2_CONFIGURATION,
    REPLY_BUSY,
    REPLY_FAILED,
    REPLY_OK,
    REPLY_UNSUPPORTED,
    Link,
    SilenceError,
    run_until_first,
    watch_silence,
)
from damaskdeck.transport.listeners import format_address, open_listener
from damaskdeck.transport.loopback import Loopback

MAX_RUNNING_HANDLERS = 1000
SERVER_SILENCE_LIMIT = 2 * SILENCE_LIMIT
# A batch of messages is answered by an empty batch if nothing was sent for this time.
# Heartbeats arrive so often that these answers make the peer's pings unnecessary.
MIN_ANSWER_INTERVAL = timedelta(milliseconds=500)

_log = get_logger("peers")
logging.getLogger("grpclib").setLevel(logging.CRITICAL)


class PeerNetwork:
    """The streams of one daemon; implements ``Peers``.

    :param port: 0 selects a free port; :attr:`address` has it after :meth:`start`.
    :param token: shared secret of all daemons of the deployment.
    :param find_address: returns a peer's address, ``None`` when it is unknown.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        token: str,
        clock: Clock,
        find_address: Callable[[str], str | None],
    ) -> None:
        self.address = ""
        self._name = name
        self._host = host
        self._port = port
        self._authorization = f"Bearer {token}"
        self._clock = clock
        self._find_address = find_address
        self._random = Random()
        self._handlers: dict[str, Handler] = {}
        self._loopback = Loopback(name, self._handlers, clock)
        self._links: dict[str, tuple[Link, asyncio.Task[None]]] = {}
        self._call_numbers = itertools.count(1)
        self._deadlines: list[tuple[timedelta, int, Link]] = []
        self._expiry_task: asyncio.Task[None] | None = None
        self._server: Server | None = None
        self._incoming_streams: set[_IncomingStream] = set()

    async def start(self) -> None:
        """Start to accept streams of other daemons."""
        listener = open_listener(self._host, self._port)
        self.address = format_address(listener)
        self._server = Server([self], codec=BatchCodec(), config=HTTP2_CONFIGURATION)
        await self._server.start(sock=listener)

    async def close(self) -> None:
        """Close all streams; calls that were written end as unanswered."""
        self._loopback.close()
        tasks = [task for _, task in self._links.values()]
        if self._expiry_task is not None:
            tasks.append(self._expiry_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._links.clear()
        await asyncio.gather(*(incoming.end() for incoming in self._incoming_streams))
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def register(self, kind: type, handler: Handler) -> None:
        """Call ``handler(instance, message)`` for each message of ``kind``."""
        self._handlers[get_message_name(kind)] = handler

    def send(self, instance: str, message: Any, kind: type) -> Unsent | None:
        """Queue a message for ``instance`` without waiting for a reply."""
        if instance == self._name:
            return self._loopback.send(message, kind)
        link = self._get_link(instance)
        if link is None:
            return Unsent("unknown_peer")
        body = encode_message(message)
        return link.send(Envelope(get_message_name(kind), 0, 0, body))

    async def call(
        self, instance: str, message: Any, kind: type, timeout: timedelta
    ) -> Answered | Unsent | Unanswered:
        """Send a message and wait for its reply, which consists of built-in types."""
        if instance == self._name:
            return await self._loopback.call(message, kind, timeout)
        link = self._get_link(instance)
        if link is None:
            return Unsent("unknown_peer")
        number = next(self._call_numbers)
        body = encode_message(message)
        future = link.start_call(Envelope(get_message_name(kind), number, 0, body))
        if not future.done():
            self._add_deadline(self._clock.monotonic() + timeout, number, link)
        try:
            return await future
        finally:
            link.end_call(number, "cancelled")

    def is_connection_refused(self, instance: str) -> bool:
        """Return whether a daemon's address refused the last connection attempt."""
        found = self._links.get(instance)
        return found is not None and found[0].is_connection_refused

    def __mapping__(self) -> dict[str, MethodHandler]:
        """Return the methods of the server; called by grpclib."""
        kind = Cardinality.STREAM_STREAM
        return {EXCHANGE_METHOD: MethodHandler(self._serve, kind, list, list)}

    def _get_link(self, instance: str) -> Link | None:
        found = self._links.get(instance)
        if found is not None and not (found[0].is_retired or found[1].done()):
            return found[0]
        if self._find_address(instance) is None:
            self._links.pop(instance, None)
            return None
        metadata = {"authorization": self._authorization, "instance": self._name}
        link = Link(instance, self._find_address, metadata, self._clock, self._random)
        self._links[instance] = link, asyncio.ensure_future(link.run())
        return link

    def _add_deadline(self, deadline: timedelta, number: int, link: Link) -> None:
        heapq.heappush(self._deadlines, (deadline, number, link))
        if self._deadlines[0][1] == number:
            if self._expiry_task is not None:
                self._expiry_task.cancel()
            self._expiry_task = asyncio.ensure_future(self._expire_calls())

    async def _expire_calls(self) -> None:
        while self._deadlines:
            now = self._clock.monotonic()
            deadline, number, link = self._deadlines[0]
            if deadline > now:
                await self._clock.sleep(deadline - now)
                continue
            heapq.heappop(self._deadlines)
            link.end_call(number, "timeout")

    async def _serve(self, stream: Stream[list, list]) -> None:
        metadata = stream.metadata or {}
        token = str(metadata.get("authorization", "")).encode()
        if not hmac.compare_digest(token, self._authorization.encode()):
            count_refusal("peers", "wrong_token")
            raise GRPCError(Status.UNAUTHENTICATED)
        instance = str(metadata.get("instance", ""))
        await stream.send_initial_metadata()
        incoming = _IncomingStream(instance, self._handlers, self._clock)
        self._incoming_streams.add(incoming)
        try:
            await incoming.run(stream)
            await stream.send_trailing_metadata()
        finally:
            incoming.has_ended.set()
            self._incoming_streams.discard(incoming)


class _IncomingStream:
    """The receiving end of a stream, which runs handlers and sends their replies."""

    def __init__(
        self, instance: str, handlers: dict[str, Handler], clock: Clock
    ) -> None:
        self._instance = instance
        self._handlers = handlers
        self._clock = clock
        self._last_received_at = self._last_sent_at = clock.monotonic()
        self._outbox = Outbox()
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._must_end = asyncio.Event()
        self.has_ended = asyncio.Event()

    async def end(self) -> None:
        """End the stream, so that the peer notices immediately."""
        self._must_end.set()
        await self.has_ended.wait()

    async def run(self, stream: Stream[list, list]) -> None:
        """Serve until the peer ends the stream or has been silent for too long."""
        try:
            await run_until_first(
                self._read(stream),
                self._write(stream),
                self._watch_silence(),
                self._must_end.wait(),
            )
        except SilenceError:
            count_drop("peers", "silent_stream")

    async def _read(self, stream: Stream[list, list]) -> None:
        while (batch := await stream.recv_message()) is not None:
            self._last_received_at = self._clock.monotonic()
            if (
                not batch
                or self._last_received_at - self._last_sent_at >= MIN_ANSWER_INTERVAL
            ):
                self._outbox.request_ping()
            for envelope in batch:
                self._dispatch(envelope)

    async def _write(self, stream: Stream[list, list]) -> None:
        while True:
            batch = await self._outbox.take_batch()
            self._last_sent_at = self._clock.monotonic()
            await stream.send_message(batch)

    async def _watch_silence(self) -> None:
        await watch_silence(
            self._clock, lambda: self._last_received_at, SERVER_SILENCE_LIMIT
        )

    def _dispatch(self, envelope: Envelope) -> None:
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            count_drop("peers", "unknown_kind")
            self._reply(envelope, REPLY_UNSUPPORTED)
        elif len(self._handler_tasks) >= MAX_RUNNING_HANDLERS:
            count_refusal("peers", "peer_busy")
            self._reply(envelope, REPLY_BUSY)
        else:
            start_task(self._handle(handler, envelope), self._handler_tasks)

    async def _handle(self, handler: Handler, envelope: Envelope) -> None:
        try:
            message = decode_message(envelope.kind, envelope.body)
        except MessageError as error:
            _log.warn(
                "A message that could not be decoded was dropped.",
                peer=self._instance,
                error=str(error),
            )
            count_drop("peers", "invalid_message")
            self._reply(envelope, REPLY_UNSUPPORTED)
            return
        try:
            reply = await handler(self._instance, message)
            body = encode_message(reply) if envelope.number else b""
        except Exception as error:
            _log.error("A handler failed.", kind=envelope.kind, error=repr(error))
            count_drop("peers", "handler_failed")
            self._reply(envelope, REPLY_FAILED)
            return
        self._reply(envelope, REPLY_OK, body)

    def _reply(self, envelope: Envelope, kind: str, body: bytes = b"") -> None:
        if not envelope.number:
            return
        if not self._outbox.put(Envelope(kind, 0, envelope.number, body)):
            count_drop("peers", "reply_queue_full")
