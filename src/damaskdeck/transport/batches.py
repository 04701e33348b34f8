"""Batches of envelopes on a stream: the codec and the queue of outgoing envelopes."""

import asyncio
from collections import deque
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from damaskdeck.metrics import count_peer_batch
from damaskdeck.protocol.messages import Envelope

MAX_QUEUED_MESSAGES = 2000
MAX_QUEUED_BYTES = 4 << 20
MAX_BATCH_MESSAGES = 64
# A batch takes no further envelope once its bodies reach this size; the last one may
# exceed it.
BATCH_BYTES_THRESHOLD = 256 << 10

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Envelope])


class BatchCodec(CodecBase):
    """Encodes batches with MessagePack; an empty batch is a ping or its answer."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a list of envelopes."""
        data = _encoder.encode(message)
        count_peer_batch("out", len(message), len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a list of envelopes; additional fields of newer peers are ignored."""
        batch = _decoder.decode(data)
        count_peer_batch("in", len(batch), len(data))
        return batch


class Outbox:
    """A queue of envelopes to send, bounded in count and in bytes of their bodies."""

    def __init__(self) -> None:
        self._queue: deque[Envelope] = deque()
        self._queued_bytes = 0
        self._has_output = asyncio.Event()
        self._is_ping_requested = False

    def put(self, envelope: Envelope) -> bool:
        """Add an envelope; return ``False`` when the queue is full."""
        size = self._queued_bytes + len(envelope.body)
        if len(self._queue) >= MAX_QUEUED_MESSAGES or size > MAX_QUEUED_BYTES:
            return False
        self._queue.append(envelope)
        self._queued_bytes = size
        self._has_output.set()
        return True

    def request_ping(self) -> None:
        """Send an empty batch if there is nothing else to send."""
        self._is_ping_requested = True
        self._has_output.set()

    async def take_batch(self) -> list[Envelope]:
        """Wait for envelopes or a ping and return the next batch, empty for a ping."""
        await self._has_output.wait()
        batch: list[Envelope] = []
        size = 0
        while (
            self._queue
            and len(batch) < MAX_BATCH_MESSAGES
            and size < BATCH_BYTES_THRESHOLD
        ):
            envelope = self._queue.popleft()
            size += len(envelope.body)
            batch.append(envelope)
        self._queued_bytes -= size
        self._is_ping_requested = False
        if not self._queue:
            self._has_output.clear()
        return batch

    def clear(self) -> list[Envelope]:
        """Remove and return all envelopes in the queue."""
        remaining = list(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        self._has_output.clear()
        return remaining
