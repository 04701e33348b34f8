"""What owners of workers tell all daemons about them, in their heartbeats."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from damaskdeck.protocol.members import Report
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.accounts import Accounts

WORKERS_TOPIC = "workers"


class WorkerSummary(NamedTuple):
    """Free room of a worker; ``closed`` says why it takes no work."""

    name: str
    free: Size
    closed: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[WorkerSummary])


def encode_workers(accounts: Accounts) -> bytes:
    """Summarise the accounts of all owned workers."""
    return _encoder.encode(
        [WorkerSummary(a.name, a.free, a.closed) for a in accounts.workers.values()]
    )


def decode_workers(report: Report) -> list[WorkerSummary]:
    """Read a summary; one that can't be read counts as empty."""
    try:
        return _decoder.decode(report.value)
    except msgspec.MsgspecError:
        return []


def list_news(
    reports: Mapping[str, Report], seen: dict[str, Report]
) -> list[WorkerSummary]:
    """Return the summaries of reports not yet in ``seen``, and add them to it."""
    found: list[WorkerSummary] = []
    for name, report in reports.items():
        if seen.get(name) is not report:
            seen[name] = report
            found += decode_workers(report)
    return found
