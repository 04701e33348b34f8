"""The speeds of workers: one model for placement, expected ends and slow workers."""

from damaskdeck.coordination.pools.speeds.estimates import SpeedEstimate
from damaskdeck.coordination.pools.speeds.expectations import (
    CLASS_WIDTH,
    MAX_PLACEMENT_WAIT_SECONDS,
    StepExpectation,
)
from damaskdeck.coordination.pools.speeds.model import WorkerSpeeds
from damaskdeck.coordination.pools.speeds.ranks import SpeedRanks
from damaskdeck.coordination.pools.speeds.records import read_speeds
from damaskdeck.coordination.pools.speeds.remaining import estimate_remaining
from damaskdeck.coordination.pools.speeds.slowness import SlowWorkerDetector

__all__ = [
    "CLASS_WIDTH",
    "MAX_PLACEMENT_WAIT_SECONDS",
    "SlowWorkerDetector",
    "SpeedEstimate",
    "SpeedRanks",
    "StepExpectation",
    "WorkerSpeeds",
    "estimate_remaining",
    "read_speeds",
]
