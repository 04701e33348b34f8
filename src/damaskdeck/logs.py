"""Structured logging: constant messages with separate fields, one logger per part."""

import sys
from typing import Any

import logbook
import msgspec

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "[{record.channel}] {record.message}"
)


class PartLogger:
    """The logger of one part of the software, whose name prefixes its lines."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, message: str, **fields: Any) -> None:
        """Log details that only developers need."""
        self._logger.debug(message, extra=fields)

    def info(self, message: str, **fields: Any) -> None:
        """Log an event that may interest operators."""
        self._logger.info(message, extra=fields)

    def notice(self, message: str, **fields: Any) -> None:
        """Log an outcome or a change of belief, which must not be left out.

        Its limit is apart from that of lines on single steps.
        """
        self._logger.notice(message, extra=fields)

    def warn(self, message: str, **fields: Any) -> None:
        """Log an event that operators should look into."""
        self._logger.warning(message, extra=fields)

    def error(self, message: str, **fields: Any) -> None:
        """Log an error that operators must look into."""
        self._logger.error(message, extra=fields)


def get_logger(part: str) -> PartLogger:
    """Return the logger of a part.

    :param part: prefix of its lines, such as ``ledger``.
    """
    return PartLogger(part)


def install_handler(style: str, level: str, stream: Any = None) -> None:
    """Write all log records to a stream.

    :param style: ``text`` or ``json``; both write a line for each record.
    :param level: lowest level that is written, such as ``info``.
    :param stream: text stream; standard error if ``None``.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = _format_json if style == "json" else _format_text
    handler.push_application()


def _format_text(record: logbook.LogRecord, handler: Any) -> str:
    head = _TEXT_FORMAT.format(record=record)
    fields = " ".join(f"{name}={value}" for name, value in record.extra.items())
    return f"{head} {fields}".rstrip()


def _format_json(record: logbook.LogRecord, handler: Any) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
        **record.extra,
    }
    return msgspec.json.encode(line, enc_hook=str).decode()
