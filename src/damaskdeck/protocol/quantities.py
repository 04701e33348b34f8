"""Bounded numbers in messages; values out of bounds fail to decode."""

from typing import Annotated, Literal

from msgspec import Meta

MAX_SECONDS = 366 * 86_400
MAX_COUNT = 2**53

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
# The hash of a job's identifier.
JobHash = Annotated[int, Meta(ge=0)]
Amount = Annotated[int, Meta(ge=0, le=1 << 40)]
Milliseconds = Annotated[int, Meta(ge=0, le=1000 * MAX_SECONDS)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
SignedSeconds = Annotated[float, Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
UrgencyName = Literal["urgent", "high", "normal", "low"]
