"""Types of fields on the wire, with the values that make sense."""

import ipaddress
from datetime import timedelta
from typing import Annotated, NotRequired, TypedDict

import msgspec

from damaskdeck.protocol.sizes import Size

# A week: nothing that the platform counts in milliseconds lasts longer, and sums of
# such durations stay far below what a duration or a date can hold.
LONGEST_MILLISECONDS = 7 * 24 * 3600 * 1000
# Times since 1970 that a date can hold, up to the year 9000.
LATEST_MILLISECONDS = 220_000_000_000_000
# More than any worker has of anything; sums of many stay exact.
LARGEST_QUANTITY = 2**40

Quantity = Annotated[int, msgspec.Meta(ge=0, le=LARGEST_QUANTITY)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=LONGEST_MILLISECONDS)]
# On a clock of its own, or since 1970.
Moment = Annotated[float, msgspec.Meta(ge=0, le=LATEST_MILLISECONDS)]
# How many times as long something may take.
Factor = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class Amounts(TypedDict):
    """Processors in thousandths of a core, memory in MiB, accelerators."""

    cpu: NotRequired[Quantity]
    mem_mb: NotRequired[Quantity]
    gpu: NotRequired[Quantity]


def read_size(amounts: Amounts | None) -> Size:
    """Return a size from the wire, where 0 and nothing may be left out."""
    amounts = amounts or {}
    return Size(amounts.get("cpu", 0), amounts.get("mem_mb", 0), amounts.get("gpu", 0))


def read_duration(milliseconds: float) -> timedelta:
    """Return a duration from the wire."""
    return timedelta(milliseconds=milliseconds)


def is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 address with a port that can be called."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
