"""The stream that a daemon opens to one peer, with its calls in flight."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from random import Random
from typing import Any

from grpclib.client import Channel, Stream, StreamStreamMethod
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from damaskdeck.clock import Clock
from damaskdeck.defaults import SILENCE_LIMIT
from damaskdeck.errors import DamaskdeckError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_retry
from damaskdeck.protocol.messages import Answered, Envelope, Unanswered, Unsent
from damaskdeck.transport.batches import BatchCodec, Outbox
from damaskdeck.transport.replies import read_reply

METHOD = "/damaskdeck.Peers/Exchange"
REPLY = ""
REPLY_FAILED = "!failed"
REPLY_UNSUPPORTED = "!unsupported"
REPLY_BUSY = "!busy"
PING_AFTER = timedelta(milliseconds=900)
PING_RETRY = timedelta(milliseconds=300)
IDLE_LIMIT = timedelta(seconds=10)
CONNECT_TIMEOUT = timedelta(seconds=1)
BACKOFF_START = timedelta(milliseconds=50)
BACKOFF_LIMIT = timedelta(seconds=1)
WINDOW = 1 << 20
CONFIGURATION = Configuration(
    http2_connection_window_size=WINDOW, http2_stream_window_size=WINDOW
)
# ValueError: bytes that are no batch, or an address without a port.
STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    H2Error,
    OSError,
    TimeoutError,
    AssertionError,
    ValueError,
    OverflowError,
)

CallResult = Answered | Unsent | Unanswered

_log = get_logger("peers")
_UNPROVED = {
    REPLY_UNSUPPORTED: Unsent("unsupported"),
    REPLY_BUSY: Unsent("peer_busy"),
    REPLY_FAILED: Unanswered("peer_failed"),
}


class SilenceError(DamaskdeckError):
    """A peer sent nothing for too long."""

    code = "silent_peer"


class PendingCall:
    """A call that waits for its reply.

    :param kind: the wire name of its message, which says how to read the reply.
    :ivar written: whether it may have left this daemon.
    """

    __slots__ = ("future", "kind", "written")

    def __init__(self, kind: str, future: asyncio.Future[CallResult]) -> None:
        self.kind = kind
        self.future = future
        self.written = False


class Link:
    """The stream to one peer; opened again with backoff whenever it breaks.

    :param find_address: tells the peer's address, ``None`` when it is unknown.
    :param metadata: sent when the stream is opened.
    :ivar is_retired: whether it was given up as unused; the next message needs
        a new link.
    :ivar is_refused: whether nobody listened at the peer's address.
    """

    def __init__(
        self,
        instance: str,
        find_address: Callable[[str], str | None],
        metadata: dict[str, str],
        clock: Clock,
        random: Random,
    ) -> None:
        self.instance = instance
        self.is_retired = False
        self.is_refused = False
        self._find_address = find_address
        self._metadata = metadata
        self._clock = clock
        self._random = random
        self._outbox = Outbox()
        self._calls: dict[int, PendingCall] = {}
        self._is_open = True
        self._lost_at: timedelta | None = None
        self._heard = self._used = clock.monotonic()

    def send(self, envelope: Envelope) -> Unsent | None:
        """Queue a message that asks for no reply."""
        self._used = self._clock.monotonic()
        if not self._is_open:
            return Unsent("unreachable")
        return None if self._outbox.put(envelope) else Unsent("peer_busy")

    def start_call(self, envelope: Envelope) -> asyncio.Future[CallResult]:
        """Queue a message and return the future of its reply."""
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        refusal = self.send(envelope)
        if refusal is not None:
            future.set_result(refusal)
        else:
            self._calls[envelope.number] = PendingCall(envelope.kind, future)
        return future

    def end_call(self, number: int, code: str) -> None:
        """End a call that got no reply; it is unsent if it was never written."""
        call = self._calls.pop(number, None)
        if call is not None and not call.future.done():
            call.future.set_result(Unanswered(code) if call.written else Unsent(code))

    async def run(self) -> None:
        """Keep the stream open while the peer's address is known and it is used."""
        backoff = BACKOFF_START
        while (address := self._find_address(self.instance)) is not None:
            if self._retire_if_idle():
                return
            began = self._clock.monotonic()
            self._is_open = True
            try:
                await self._exchange(address)
            except (*STREAM_ERRORS, SilenceError) as error:
                self.is_refused = isinstance(error, ConnectionRefusedError)
                self._note_lost(error)
            finally:
                self._break()
            if self.is_retired:
                return
            if self._clock.monotonic() - began > BACKOFF_LIMIT:
                backoff = BACKOFF_START
            count_retry("peers", "reconnect")
            await self._clock.sleep(backoff * (0.5 + self._random.random() / 2))
            backoff = min(backoff * 2, BACKOFF_LIMIT)

    def _note_lost(self, error: Exception) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            _log.warn("A peer is lost.", peer=self.instance, reason=repr(error))

    def _note_open(self) -> None:
        self.is_refused = False
        if self._lost_at is not None:
            away = self._clock.monotonic() - self._lost_at
            _log.info("A peer is back.", peer=self.instance, away=str(away))
            self._lost_at = None

    async def _exchange(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        channel = Channel(
            host.strip("[]"), int(port), codec=BatchCodec(), config=CONFIGURATION
        )
        method = StreamStreamMethod(channel, METHOD, list, list)
        try:
            async with method.open(metadata=self._metadata) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                self._heard = self._clock.monotonic()
                self._note_open()
                await run_until_first(
                    self._write(stream),
                    self._read(stream),
                    self._watch(),
                    self._wait_until_idle(),
                )
        finally:
            channel.close()

    async def _write(self, stream: Stream[list, list]) -> None:
        while True:
            batch = await self._outbox.take()
            await stream.send_message(self._mark_written(batch))

    def _mark_written(self, batch: list[Envelope]) -> list[Envelope]:
        kept = []
        for envelope in batch:
            if envelope.number:
                call = self._calls.get(envelope.number)
                if call is None:
                    continue
                call.written = True
            kept.append(envelope)
        return kept

    async def _read(self, stream: Stream[list, list]) -> None:
        while (batch := await stream.recv_message()) is not None:
            self._heard = self._clock.monotonic()
            for envelope in batch:
                self._take_reply(envelope)

    def _take_reply(self, envelope: Envelope) -> None:
        call = self._calls.pop(envelope.reply_to, None)
        if call is None or call.future.done():
            count_drop("peers", "late_reply")
            return
        if envelope.kind == REPLY:
            call.future.set_result(read_reply(call.kind, envelope.body))
        else:
            unknown = Unanswered("unknown_reply")
            call.future.set_result(_UNPROVED.get(envelope.kind, unknown))

    async def _watch(self) -> None:
        await watch_silence(
            self._clock, lambda: self._heard, SILENCE_LIMIT, self._outbox.put_ping
        )

    async def _wait_until_idle(self) -> None:
        while not self._retire_if_idle():
            unused = self._clock.monotonic() - self._used
            is_used = unused < IDLE_LIMIT
            await self._clock.sleep(IDLE_LIMIT - unused if is_used else IDLE_LIMIT)

    def _retire_if_idle(self) -> bool:
        """Give the link up if nobody has used it for long; it costs pings."""
        unused = self._clock.monotonic() - self._used
        self.is_retired = not self._calls and unused >= IDLE_LIMIT
        return self.is_retired

    def _break(self) -> None:
        self._is_open = False
        left = self._outbox.clear()
        unsent = sum(1 for envelope in left if not envelope.number)
        if unsent:
            count_drop("peers", "unsent", unsent)
        for number in list(self._calls):
            self.end_call(number, "unreachable")


async def watch_silence(
    clock: Clock,
    get_heard: Callable[[], timedelta],
    limit: timedelta,
    ping: Callable[[], None] | None = None,
) -> None:
    """Wait until a peer has been silent for too long.

    :param ping: asks a quiet peer for a sign of life, again and again.
    :raises SilenceError: when nothing came for ``limit``.
    """
    while True:
        quiet = clock.monotonic() - get_heard()
        left = limit - quiet
        if left <= timedelta():
            raise SilenceError()
        if ping is not None:
            left = min(left, _ping_if_quiet(quiet, ping))
        await clock.sleep(left)


def _ping_if_quiet(quiet: timedelta, ping: Callable[[], None]) -> timedelta:
    """Return after what time to look again."""
    if quiet < PING_AFTER:
        return PING_AFTER - quiet
    ping()
    return PING_RETRY


async def run_until_first(*parts: Coroutine[Any, Any, Any]) -> None:
    """Run coroutines until one ends; cancel the others and raise its error."""
    tasks = [asyncio.ensure_future(part) for part in parts]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
