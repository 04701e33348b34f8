"""Batches of envelopes on a stream: their codec and the queue in front of it."""

import asyncio
from collections import deque
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from damaskdeck.metrics import count_peer_batch
from damaskdeck.protocol.messages import Envelope

QUEUE_MESSAGES = 2000
QUEUE_BYTES = 4 << 20
BATCH_MESSAGES = 64
BATCH_BYTES = 256 << 10

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Envelope])


class BatchCodec(CodecBase):
    """Encodes batches with MessagePack; an empty batch is a sign of life."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a list of envelopes."""
        data = _encoder.encode(message)
        count_peer_batch("out", len(message), len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a list of envelopes; later fields of newer peers are ignored."""
        batch = _decoder.decode(data)
        count_peer_batch("in", len(batch), len(data))
        return batch


class Outbox:
    """Envelopes that wait for the stream, bounded in count and bytes."""

    def __init__(self) -> None:
        self._queue: deque[Envelope] = deque()
        self._size = 0
        self._has_work = asyncio.Event()
        self._ping = False

    def put(self, envelope: Envelope) -> bool:
        """Add an envelope; tell whether there was room."""
        size = self._size + len(envelope.body)
        if len(self._queue) >= QUEUE_MESSAGES or size > QUEUE_BYTES:
            return False
        self._queue.append(envelope)
        self._size = size
        self._has_work.set()
        return True

    def put_ping(self) -> None:
        """Let an empty batch be sent if there is nothing else to send."""
        self._ping = True
        self._has_work.set()

    async def take(self) -> list[Envelope]:
        """Wait for work and return the next batch; empty for a ping alone."""
        await self._has_work.wait()
        batch: list[Envelope] = []
        size = 0
        while self._queue and len(batch) < BATCH_MESSAGES and size < BATCH_BYTES:
            envelope = self._queue.popleft()
            size += len(envelope.body)
            batch.append(envelope)
        self._size -= size
        self._ping = False
        if not self._queue:
            self._has_work.clear()
        return batch

    def clear(self) -> list[Envelope]:
        """Drop and return all that waits."""
        left = list(self._queue)
        self._queue.clear()
        self._size = 0
        self._has_work.clear()
        return left
