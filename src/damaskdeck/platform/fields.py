"""Types of wire fields with their valid ranges, and conversions from them."""

from datetime import timedelta
from typing import Annotated, NotRequired, TypedDict

import msgspec

from damaskdeck.protocol.sizes import Size

# One week. No duration that the platform gives in milliseconds is longer, and sums of
# such durations stay far below the limits of `timedelta` and `datetime`.
MAX_DURATION_MS = 7 * 24 * 3600 * 1000
# Time since 1970 up to about the year 9000, which `datetime` can still represent.
MAX_TIMESTAMP_MS = 220_000_000_000_000
# More than any worker has of a resource; sums of many such values stay exact.
MAX_QUANTITY = 2**40

Quantity = Annotated[int, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
# Time on a worker's own clock, or since 1970.
TimestampMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)]
# Start of a process, which identifies it among those of the same name.
BirthMs = Annotated[int, msgspec.Meta(gt=0, le=MAX_TIMESTAMP_MS)]
# A multiplier, such as how many times its estimate a step may take.
Factor = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class ResourceAmounts(TypedDict):
    """Amounts of resources: millicores, memory in MiB, number of accelerators."""

    cpu: NotRequired[Quantity]
    mem_mb: NotRequired[Quantity]
    gpu: NotRequired[Quantity]


def build_size(amounts: ResourceAmounts | None) -> Size:
    """Return the size for wire amounts; omitted amounts are 0."""
    amounts = amounts or {}
    return Size(amounts.get("cpu", 0), amounts.get("mem_mb", 0), amounts.get("gpu", 0))


def to_duration(milliseconds: float) -> timedelta:
    """Return the duration for a wire value in milliseconds."""
    return timedelta(milliseconds=milliseconds)
