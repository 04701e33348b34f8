"""In-process streams between daemons; links can be cut, delayed or lossy."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Coroutine
from contextvars import Context
from datetime import timedelta
from random import Random
from typing import Any

from damaskdeck.clock import Clock
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
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
from damaskdeck.transport.replies import read_reply

_log = get_logger("peers")


class PeerSwitch:
    """Connects the daemons of one process; all links work at first.

    Replies are encoded and then decoded by their type, as on a real stream.

    :param clock: times delays and timeouts.
    :param seed: seed of the random jitter.
    :ivar delay: latency of each message.
    :ivar jitter: upper bound of the random time added to ``delay``.
    :ivar processing_times: time that a daemon, by name, needs for each message it
        receives; it processes one at a time.
    :ivar messages: number of messages sent, by sender.
    :ivar bytes: number of bytes sent, by sender.
    """

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self.clock = clock
        self.random = Random(seed)
        self.jitter = timedelta()
        self.delay = timedelta()
        self.processing_times: dict[str, timedelta] = {}
        self._busy_until: dict[str, timedelta] = {}
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        # In which the handlers of a daemon run, by its name.
        self.contexts: dict[str, Context] = {}
        self._peers: dict[str, SwitchPeers] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._lost_replies: Counter[tuple[str, str]] = Counter()
        self._paused: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def connect(self, name: str) -> "SwitchPeers":
        """Return the streams of daemon ``name``, replacing an earlier daemon's."""
        peers = SwitchPeers(self, name)
        self._peers[name] = peers
        return peers

    def disconnect(self, name: str) -> None:
        """Remove a daemon, as when its process dies."""
        self._peers.pop(name, None)

    def close(self) -> None:
        """Drop all messages in transit, at the end of a test."""
        for task in self._tasks:
            task.cancel()

    def start(self, delivery: Coroutine[Any, Any, None]) -> None:
        """Start to deliver a message; it continues if its sender dies meanwhile."""
        task = asyncio.get_running_loop().create_task(delivery, context=Context())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cut(self, sender: str, receiver: str) -> None:
        """Drop messages from ``sender`` to ``receiver``, in this direction only."""
        self._cuts.add((sender, receiver))

    def cut_both(self, first: str, second: str) -> None:
        """Drop messages between two daemons, in both directions."""
        self._cuts.update({(first, second), (second, first)})

    def heal(self, first: str, second: str) -> None:
        """Restore both directions of a link."""
        self._cuts.difference_update({(first, second), (second, first)})

    def heal_all(self) -> None:
        """Restore all links."""
        self._cuts.clear()

    def lose_replies(self, caller: str, callee: str, count: int = 1) -> None:
        """Drop the next ``count`` replies of ``callee`` to ``caller``."""
        self._lost_replies[caller, callee] += count

    def pause(self, name: str) -> None:
        """Hold the messages that arrive at ``name`` until :meth:`resume`."""
        self._paused.setdefault(name, asyncio.Event())

    def resume(self, name: str) -> None:
        """Let a paused daemon handle the messages held meanwhile."""
        event = self._paused.pop(name, None)
        if event is not None:
            event.set()

    def find(self, name: str) -> "SwitchPeers | None":
        """Return the streams of a daemon, or ``None`` if it is not connected."""
        return self._peers.get(name)

    async def transfer(self, sender: str, receiver: str, size: int) -> bool:
        """Transfer one message over a link and return whether it arrived."""
        self.messages[sender] += 1
        self.bytes[sender] += size
        delay = self.delay + self.jitter * self.random.random()
        if delay:
            await self.clock.sleep(delay)
        if (sender, receiver) in self._cuts:
            return False
        while receiver in self._paused:
            await self._paused[receiver].wait()
        await self._wait_for_processing(receiver)
        return True

    async def _wait_for_processing(self, receiver: str) -> None:
        """Wait until a daemon has processed the earlier messages and this one."""
        processing_time = self.processing_times.get(receiver)
        if processing_time is None:
            return
        now = self.clock.monotonic()
        finishes_at = max(now, self._busy_until.get(receiver, now)) + processing_time
        self._busy_until[receiver] = finishes_at
        await self.clock.sleep(finishes_at - now)

    async def handle(
        self, peers: "SwitchPeers", receiver: str, sender: str, envelope: Envelope
    ) -> Answered | Unsent | Unanswered:
        """Run the handler of a message on the processor of its receiver."""
        context = self.contexts.get(receiver)
        if context is None:
            return await peers.handle(sender, envelope)
        handling = peers.handle(sender, envelope)
        loop = asyncio.get_running_loop()
        return await loop.create_task(handling, context=context.copy())

    def consume_lost_reply(self, caller: str, callee: str) -> bool:
        """Return whether to drop this reply, and count it if so."""
        if not self._lost_replies[caller, callee]:
            return False
        self._lost_replies[caller, callee] -= 1
        return True


class SwitchPeers:
    """A daemon's streams over a :class:`PeerSwitch`; implements ``Peers``."""

    def __init__(self, switch: PeerSwitch, name: str) -> None:
        self._switch = switch
        self._name = name
        self._handlers: dict[str, Handler] = {}
        self._numbers = itertools.count(1)

    def register(self, kind: type, handler: Handler) -> None:
        """Call ``handler(instance, message)`` for all messages of ``kind``."""
        self._handlers[get_message_name(kind)] = handler

    def send(self, instance: str, message: Any, kind: type) -> Unsent | None:
        """Send a message to ``instance`` without waiting for its delivery."""
        if self._switch.find(instance) is None:
            return Unsent("unreachable")
        self._start(instance, self._pack(message, kind, 0), None)
        return None

    async def call(
        self, instance: str, message: Any, kind: type, timeout: timedelta
    ) -> Answered | Unsent | Unanswered:
        """Send a message and wait for its reply."""
        if self._switch.find(instance) is None:
            return Unsent("unreachable")
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._start(instance, self._pack(message, kind, next(self._numbers)), reply)
        timer = asyncio.ensure_future(self._switch.clock.sleep(timeout))
        try:
            await asyncio.wait({timer, reply}, return_when=asyncio.FIRST_COMPLETED)
            return reply.result() if reply.done() else Unanswered("timeout")
        finally:
            timer.cancel()
            reply.cancel()

    def is_connection_refused(self, instance: str) -> bool:
        """Whether connections are refused because the daemon's process has ended."""
        return self._switch.find(instance) is None

    def _pack(self, message: Any, kind: type, number: int) -> Envelope:
        return Envelope(get_message_name(kind), number, 0, encode_message(message))

    def _start(
        self, instance: str, envelope: Envelope, reply: asyncio.Future[Any] | None
    ) -> None:
        self._switch.start(self._deliver(instance, envelope, reply))

    async def _deliver(
        self, instance: str, envelope: Envelope, reply: asyncio.Future[Any] | None
    ) -> None:
        switch = self._switch
        size = len(encode_message(envelope))
        if not await switch.transfer(self._name, instance, size):
            return
        peers = switch.find(instance)
        if peers is None:
            return
        answer = await switch.handle(peers, instance, self._name, envelope)
        if reply is None:
            return
        body = encode_message(answer.message if isinstance(answer, Answered) else b"")
        if switch.consume_lost_reply(self._name, instance):
            return
        if not await switch.transfer(instance, self._name, len(body)):
            return
        if isinstance(answer, Answered):
            answer = read_reply(envelope.kind, body)
        if not reply.done():
            reply.set_result(answer)

    async def handle(
        self, instance: str, envelope: Envelope
    ) -> Answered | Unsent | Unanswered:
        """Run the handler of a message that arrived from ``instance``."""
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            return Unsent("unsupported")
        try:
            message = decode_message(envelope.kind, envelope.body)
        except MessageError:
            return Unsent("invalid_message")
        try:
            return Answered(await handler(instance, message))
        except Exception as error:
            _log.error("A handler failed.", kind=envelope.kind, error=repr(error))
            return Unanswered("peer_failed")
