"""Bounded numbers of messages; what is out of bounds doesn't decode."""

from typing import Annotated, Literal

from msgspec import Meta

LONGEST_SECONDS = 366 * 86_400
LARGEST_COUNT = 2**53

Count = Annotated[int, Meta(ge=0, le=LARGEST_COUNT)]
Amount = Annotated[int, Meta(ge=0, le=1 << 40)]
Milliseconds = Annotated[int, Meta(ge=0, le=1000 * LONGEST_SECONDS)]
Seconds = Annotated[float, Meta(ge=0, le=LONGEST_SECONDS)]
SignedSeconds = Annotated[float, Meta(ge=-LONGEST_SECONDS, le=LONGEST_SECONDS)]
UrgencyName = Literal["urgent", "high", "normal", "low"]
