"""Log lines that never hold up the event loop, and never drown each other.

Lines wait in a bounded queue and leave together, a few times a second. Of one
sentence only so many are written in a second, of one job's decisions too; what is
left out is counted and told.
"""

import asyncio
import os
import time
from collections import Counter, deque
from datetime import UTC, datetime
from typing import Any

import logbook
import msgspec

from damaskdeck.errors import DamaskdeckError

# Lines wait so long for company: one write in place of dozens.
FLUSH_SECONDS = 0.1
QUEUE_BYTES = 4 << 20
# A pipe takes so much in one piece; a reader may keep only the start of a longer write.
WRITE_BYTES = 4096
# Of one sentence without an id, and of one id, in a second.
SENTENCE_LIMIT = 40
IDENTIFIER_LIMIT = 60
# All lines of a second; a daemon at the target's peak decides about so much.
TOTAL_LIMIT = 2000
SECOND = 1.0
# What is left out of a second is told by so many sentences at most.
TOLD_SENTENCES = 20
URGENT = logbook.ERROR


class LineWriter:
    """Writes lines to a file descriptor without ever waiting for its reader.

    :param descriptor: set to non-blocking; a regular file never blocks anyway.
    :param queue_bytes: lines beyond it are dropped and counted.
    """

    def __init__(self, descriptor: int, queue_bytes: int = QUEUE_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._limit = queue_bytes
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None
        self._is_full = False
        os.set_blocking(descriptor, False)

    def put(self, line: bytes, is_urgent: bool = False) -> bool:
        """Queue a line with its end; tell whether there was room."""
        if self._size + len(line) > self._limit:
            self.dropped += 1
            return False
        self._lines.append(line)
        self._size += len(line)
        if is_urgent:
            self.flush()
        elif self._timer is None and not self._is_full:
            self._schedule()
        return True

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Write what the reader takes now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._lines:
            chunk = self._gather()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError as error:
                raise LogError(repr(error)) from error
            self._take(written)
            if written < len(chunk):
                self._wait_for_reader()
                return

    def _gather(self) -> bytes:
        parts, size = [], 0
        for line in self._lines:
            size += len(line)
            if parts and size > WRITE_BYTES:
                break
            parts.append(line)
        return b"".join(parts)

    def _take(self, written: int) -> None:
        self._size -= written
        while written:
            line = self._lines.popleft()
            if len(line) > written:
                self._lines.appendleft(line[written:])
                return
            written -= len(line)

    def _wait_for_reader(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_full = True
        loop.add_writer(self._descriptor, self._resume)

    def _resume(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._is_full = False
        self.flush()


class LogError(DamaskdeckError):
    """Logs can't be written."""

    code = "log_unwritable"


class LineHandler(logbook.Handler):
    """Writes one JSON object a line.

    :param instance: named in each line, so that the logs of several can be joined.
    """

    def __init__(self, writer: LineWriter, instance: str, level: str) -> None:
        super().__init__(level=level.upper())
        self._writer = writer
        self._instance = instance
        self._second = 0
        self._counts: Counter[tuple[str, str]] = Counter()
        self._left_out: Counter[tuple[str, str]] = Counter()
        self._total = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as left out."""
        self._turn()
        fields = record.extra
        identifier = str(fields.get("id", ""))
        sentence = record.channel, record.message
        key = ("id", identifier) if identifier else sentence
        limit = IDENTIFIER_LIMIT if identifier else SENTENCE_LIMIT
        self._counts[key] += 1
        self._total += 1
        is_urgent = record.level >= URGENT
        if not is_urgent and (self._counts[key] > limit or self._total > TOTAL_LIMIT):
            self._left_out[sentence] += 1
            return
        self._write(
            record.time.isoformat(),
            record.level_name.lower(),
            record.channel,
            record.message,
            fields,
            is_urgent,
        )

    def _write(
        self,
        at: str,
        level: str,
        part: str,
        message: str,
        fields: Any,
        is_urgent: bool = False,
    ) -> None:
        line = {
            "time": at,
            "level": level,
            "instance": self._instance,
            "part": part,
            "message": message,
            **fields,
        }
        encoded = msgspec.json.encode(line, enc_hook=str) + b"\n"
        self._writer.put(encoded, is_urgent)

    def _turn(self) -> None:
        """Begin a new second, and tell what was left out of the last."""
        second = int(time.monotonic() / SECOND)
        if second == self._second:
            return
        self._second = second
        self._counts.clear()
        self._total = 0
        left_out, self._left_out = self._left_out, Counter()
        dropped, self._writer.dropped = self._writer.dropped, 0
        if not left_out and not dropped:
            return
        at = datetime.now(UTC).replace(tzinfo=None).isoformat()
        told = {
            f"{part}: {message}": count
            for (part, message), count in left_out.most_common(TOLD_SENTENCES)
        }
        fields = {"dropped": dropped, "left_out": told}
        self._write(at, "warning", "logs", "Lines were left out.", fields)

    def flush(self) -> None:
        """Write what waits."""
        self._writer.flush()
