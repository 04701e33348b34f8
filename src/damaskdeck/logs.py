"""Logs: short sentences with a fixed prefix for each part, fields kept apart."""

import sys
from typing import Any

import logbook
import msgspec

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "[{record.channel}] {record.message}"
)


class PartLogger:
    """A logger of one part; its prefix is the part's name."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, sentence: str, **fields: Any) -> None:
        """Log what only a developer wants to know."""
        self._logger.debug(sentence, extra=fields)

    def info(self, sentence: str, **fields: Any) -> None:
        """Log what an operator may want to know."""
        self._logger.info(sentence, extra=fields)

    def warn(self, sentence: str, **fields: Any) -> None:
        """Log what an operator should look at."""
        self._logger.warning(sentence, extra=fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Log what an operator must look at."""
        self._logger.error(sentence, extra=fields)


def get_logger(part: str) -> PartLogger:
    """Return the logger of a part.

    :param part: the prefix of its lines, as in ``ledger``.
    """
    return PartLogger(part)


def install_handler(style: str, level: str, stream: Any = None) -> None:
    """Send all logs to ``stream``, standard error unless given.

    :param style: ``text`` or ``json`` (a line for each record).
    :param level: lowest level that is written, as in ``info``.
    :param stream: a text stream.
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
