"""Log output as JSON lines that never blocks the event loop.

Lines are collected in a bounded queue and written in batches, several times a second.
The number of lines per second is limited for each message and for each identifier, so
that a flood of lines about one job doesn't displace others. Lines that are left out
are counted and reported.
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

# How long lines are collected, so that one write replaces dozens.
FLUSH_DELAY_SECONDS = 0.1
MAX_QUEUE_BYTES = 4 << 20
# PIPE_BUF: a pipe accepts up to this many bytes atomically. Of a longer write, a reader
# may keep only the beginning.
MAX_WRITE_BYTES = 4096
# Limits for each window: lines with the same message and no identifier, and lines with
# the same identifier.
MAX_LINES_PER_MESSAGE = 40
MAX_LINES_PER_IDENTIFIER = 60
# Limit on all lines of a window. At the target's peak load, a daemon makes about this
# many decisions a second.
MAX_LINES_PER_WINDOW = 2000
WINDOW_SECONDS = 1.0
# The report on lines that were left out names at most this many messages.
MAX_REPORTED_MESSAGES = 20
URGENT_LEVEL = logbook.ERROR


class LineWriter:
    """Writes lines to a file descriptor without ever blocking on its reader.

    :param descriptor: set to non-blocking mode; regular files never block anyway.
    :param max_queue_bytes: lines that would exceed this are dropped and counted.
    :ivar dropped: number of lines dropped since the last report.
    """

    def __init__(self, descriptor: int, max_queue_bytes: int = MAX_QUEUE_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_queue_bytes = max_queue_bytes
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        self._is_waiting_for_reader = False
        os.set_blocking(descriptor, False)

    def enqueue(self, line: bytes, is_urgent: bool = False) -> bool:
        """Add a line with its newline to the queue.

        :param is_urgent: whether to write the queued lines at once.
        :returns: whether there was space in the queue.
        """
        if self._queued_bytes + len(line) > self._max_queue_bytes:
            self.dropped += 1
            return False
        self._lines.append(line)
        self._queued_bytes += len(line)
        if is_urgent:
            self.flush()
        elif self._flush_timer is None and not self._is_waiting_for_reader:
            self._schedule_flush()
        return True

    def _schedule_flush(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_timer = loop.call_later(FLUSH_DELAY_SECONDS, self.flush)

    def flush(self) -> None:
        """Write queued lines until the queue is empty or the write would block.

        :raises LogError: if writing fails.
        """
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        while self._lines:
            chunk = self._build_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError as error:
                raise LogError(repr(error)) from error
            self._remove_written(written)
            if written < len(chunk):
                self._wait_for_reader()
                return

    def _build_chunk(self) -> bytes:
        parts, size = [], 0
        for line in self._lines:
            size += len(line)
            if parts and size > MAX_WRITE_BYTES:
                break
            parts.append(line)
        return b"".join(parts)

    def _remove_written(self, written: int) -> None:
        self._queued_bytes -= written
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
        self._is_waiting_for_reader = True
        loop.add_writer(self._descriptor, self._resume)

    def _resume(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._is_waiting_for_reader = False
        self.flush()


class LogError(DamaskdeckError):
    """Log lines can't be written."""

    code = "log_unwritable"


class LineHandler(logbook.Handler):
    """Writes each log record as a JSON object on a line of its own.

    :param instance: name of the instance, added to each line so that the logs of
        several instances can be merged.
    :param level: lowest level that is written, such as ``info``.
    """

    def __init__(self, writer: LineWriter, instance: str, level: str) -> None:
        super().__init__(level=level.upper())
        self._writer = writer
        self._instance = instance
        self._window = 0
        self._counts: Counter[tuple[str, str]] = Counter()
        self._left_out: Counter[tuple[str, str]] = Counter()
        self._total = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as left out if it exceeds a limit.

        The limits don't apply to records of level error and above.
        """
        self._update_window()
        fields = record.extra
        identifier = str(fields.get("id", ""))
        message_key = record.channel, record.message
        # Outcomes have limits of their own: they explain what became of a job.
        is_outcome = record.level >= logbook.NOTICE
        key = (f"id {is_outcome}", identifier) if identifier else message_key
        limit = MAX_LINES_PER_IDENTIFIER if identifier else MAX_LINES_PER_MESSAGE
        self._counts[key] += 1
        self._total += 1
        is_urgent = record.level >= URGENT_LEVEL
        allowed = 2 * MAX_LINES_PER_WINDOW if is_outcome else MAX_LINES_PER_WINDOW
        if not is_urgent and (self._counts[key] > limit or self._total > allowed):
            self._left_out[message_key] += 1
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
        self._writer.enqueue(encoded, is_urgent)

    def _update_window(self) -> None:
        """Start a new window if it is due, and report the lines left out before it."""
        window = int(time.monotonic() / WINDOW_SECONDS)
        if window == self._window:
            return
        self._window = window
        self._counts.clear()
        self._total = 0
        left_out, self._left_out = self._left_out, Counter()
        dropped, self._writer.dropped = self._writer.dropped, 0
        if not left_out and not dropped:
            return
        at = datetime.now(UTC).replace(tzinfo=None).isoformat()
        counts = {
            f"{part}: {message}": count
            for (part, message), count in left_out.most_common(MAX_REPORTED_MESSAGES)
        }
        fields = {"dropped": dropped, "left_out": counts}
        self._write(at, "warning", "logs", "Lines were left out.", fields)

    def flush(self) -> None:
        """Write the queued lines."""
        self._writer.flush()
