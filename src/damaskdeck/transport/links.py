"""The outgoing stream of a daemon to one peer, with its pending calls."""

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

EXCHANGE_METHOD = "/damaskdeck.Peers/Exchange"
REPLY_OK = ""
REPLY_FAILED = "!failed"
REPLY_UNSUPPORTED = "!unsupported"
REPLY_BUSY = "!busy"
# A peer is pinged after this time without a batch, and then at the retry interval.
PING_DELAY = timedelta(milliseconds=900)
PING_RETRY_INTERVAL = timedelta(milliseconds=300)
# A link without messages and pending calls is closed after this time.
IDLE_TIMEOUT = timedelta(seconds=10)
CONNECT_TIMEOUT = timedelta(seconds=1)
INITIAL_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=1)
WINDOW_BYTES = 1 << 20
HTTP2_CONFIGURATION = Configuration(
    http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
)
# ValueError is raised by bytes that are not a batch and by an address without a port.
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
# The first two replies prove that no handler ran.
_ERROR_RESULTS = {
    REPLY_UNSUPPORTED: Unsent("unsupported"),
    REPLY_BUSY: Unsent("peer_busy"),
    REPLY_FAILED: Unanswered("peer_failed"),
}


class SilenceError(DamaskdeckError):
    """A peer has sent nothing for longer than the limit."""

    code = "silent_peer"


class PendingCall:
    """A call that waits for its reply.

    :param kind: wire name of its message, which determines the type of the reply.
    :ivar is_written: whether the message may have left this daemon.
    """

    __slots__ = ("future", "kind", "is_written")

    def __init__(self, kind: str, future: asyncio.Future[CallResult]) -> None:
        self.kind = kind
        self.future = future
        self.is_written = False


class Link:
    """The stream to one peer, which is reopened with backoff whenever it breaks.

    :param find_address: returns the peer's address, ``None`` when it is unknown.
    :param metadata: sent when the stream is opened.
    :ivar is_retired: whether the link was closed because it was idle; the next message
        needs a new link.
    :ivar is_connection_refused: whether the last connection was refused, as when no
        process listens at the peer's address.
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
        self.is_connection_refused = False
        self._find_address = find_address
        self._metadata = metadata
        self._clock = clock
        self._random = random
        self._outbox = Outbox()
        self._calls: dict[int, PendingCall] = {}
        self._is_open = True
        self._disconnected_at: timedelta | None = None
        self._last_received_at = self._last_used_at = clock.monotonic()

    def send(self, envelope: Envelope) -> Unsent | None:
        """Queue a message without a reply.

        :return: ``Unsent`` when the message was not queued.
        """
        self._last_used_at = self._clock.monotonic()
        if not self._is_open:
            return Unsent("unreachable")
        return None if self._outbox.put(envelope) else Unsent("peer_busy")

    def start_call(self, envelope: Envelope) -> asyncio.Future[CallResult]:
        """Queue a message and return a future of the call's result."""
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        refusal = self.send(envelope)
        if refusal is not None:
            future.set_result(refusal)
        else:
            self._calls[envelope.number] = PendingCall(envelope.kind, future)
        return future

    def end_call(self, number: int, code: str) -> None:
        """End a call without a reply.

        Its result is ``Unsent`` if the message was never written, and ``Unanswered``
        otherwise.
        """
        call = self._calls.pop(number, None)
        if call is not None and not call.future.done():
            call.future.set_result(
                Unanswered(code) if call.is_written else Unsent(code)
            )

    async def run(self) -> None:
        """Keep the stream open while it is in use and the peer's address is known."""
        backoff = INITIAL_BACKOFF
        while (address := self._find_address(self.instance)) is not None:
            if self._retire_if_idle():
                return
            started_at = self._clock.monotonic()
            self._is_open = True
            try:
                await self._exchange(address)
            except (*STREAM_ERRORS, SilenceError) as error:
                self.is_connection_refused = isinstance(error, ConnectionRefusedError)
                if not self.is_retired:
                    self._on_disconnected(error)
            finally:
                self._fail_pending_calls()
            if self.is_retired:
                return
            if self._clock.monotonic() - started_at > MAX_BACKOFF:
                backoff = INITIAL_BACKOFF
            count_retry("peers", "reconnect")
            await self._clock.sleep(backoff * (0.5 + self._random.random() / 2))
            backoff = min(backoff * 2, MAX_BACKOFF)

    def _on_disconnected(self, error: Exception) -> None:
        if self._disconnected_at is None:
            self._disconnected_at = self._clock.monotonic()
            _log.warn(
                "The connection to a peer is lost.",
                peer=self.instance,
                reason=repr(error),
            )

    def _on_connected(self) -> None:
        self.is_connection_refused = False
        if self._disconnected_at is not None:
            outage = self._clock.monotonic() - self._disconnected_at
            _log.info(
                "The connection to a peer is restored.",
                peer=self.instance,
                away=str(outage),
            )
            self._disconnected_at = None

    async def _exchange(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        channel = Channel(
            host.strip("[]"), int(port), codec=BatchCodec(), config=HTTP2_CONFIGURATION
        )
        method = StreamStreamMethod(channel, EXCHANGE_METHOD, list, list)
        try:
            async with method.open(metadata=self._metadata) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                self._last_received_at = self._clock.monotonic()
                self._on_connected()
                await run_until_first(
                    self._write(stream),
                    self._read(stream),
                    self._watch_silence(),
                    self._wait_until_idle(),
                )
        finally:
            channel.close()

    async def _write(self, stream: Stream[list, list]) -> None:
        while True:
            batch = await self._outbox.take_batch()
            await stream.send_message(self._mark_written(batch))

    def _mark_written(self, batch: list[Envelope]) -> list[Envelope]:
        """Mark the calls of a batch as written and drop calls that have ended."""
        to_send = []
        for envelope in batch:
            if envelope.number:
                call = self._calls.get(envelope.number)
                if call is None:
                    continue
                call.is_written = True
            to_send.append(envelope)
        return to_send

    async def _read(self, stream: Stream[list, list]) -> None:
        while (batch := await stream.recv_message()) is not None:
            self._last_received_at = self._clock.monotonic()
            for envelope in batch:
                self._handle_reply(envelope)

    def _handle_reply(self, envelope: Envelope) -> None:
        call = self._calls.pop(envelope.reply_to, None)
        if call is None or call.future.done():
            count_drop("peers", "late_reply")
            return
        if envelope.kind == REPLY_OK:
            call.future.set_result(read_reply(call.kind, envelope.body))
        else:
            unknown = Unanswered("unknown_reply")
            call.future.set_result(_ERROR_RESULTS.get(envelope.kind, unknown))

    async def _watch_silence(self) -> None:
        await watch_silence(
            self._clock,
            lambda: self._last_received_at,
            SILENCE_LIMIT,
            self._outbox.request_ping,
        )

    async def _wait_until_idle(self) -> None:
        while not self._retire_if_idle():
            idle_time = self._clock.monotonic() - self._last_used_at
            is_used = idle_time < IDLE_TIMEOUT
            await self._clock.sleep(
                IDLE_TIMEOUT - idle_time if is_used else IDLE_TIMEOUT
            )

    def _retire_if_idle(self) -> bool:
        """Mark the link as retired if it is idle, because an idle link costs pings."""
        idle_time = self._clock.monotonic() - self._last_used_at
        self.is_retired = not self._calls and idle_time >= IDLE_TIMEOUT
        return self.is_retired

    def _fail_pending_calls(self) -> None:
        self._is_open = False
        dropped = self._outbox.clear()
        # Envelopes with a number belong to calls, which end below.
        unsent = sum(1 for envelope in dropped if not envelope.number)
        if unsent:
            count_drop("peers", "unsent", unsent)
        for number in list(self._calls):
            self.end_call(number, "unreachable")


async def watch_silence(
    clock: Clock,
    get_last_received_at: Callable[[], timedelta],
    limit: timedelta,
    ping: Callable[[], None] | None = None,
) -> None:
    """Wait until a peer has been silent for too long.

    :param get_last_received_at: returns the monotonic time of the last batch.
    :param ping: requests an answer; called repeatedly while the peer is silent.
    :raises SilenceError: when nothing was received for ``limit``.
    """
    while True:
        silence = clock.monotonic() - get_last_received_at()
        remaining = limit - silence
        if remaining <= timedelta():
            raise SilenceError()
        if ping is not None:
            remaining = min(remaining, _ping_if_silent(silence, ping))
        await clock.sleep(remaining)


def _ping_if_silent(silence: timedelta, ping: Callable[[], None]) -> timedelta:
    """Ping a peer that is silent; return the time until the next check."""
    if silence < PING_DELAY:
        return PING_DELAY - silence
    ping()
    return PING_RETRY_INTERVAL


async def run_until_first(*coroutines: Coroutine[Any, Any, Any]) -> None:
    """Run coroutines until one ends, cancel the others and raise its error if any."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
