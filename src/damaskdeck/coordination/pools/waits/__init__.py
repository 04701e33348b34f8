"""What steps with tasks to start wait for, for logs and metrics."""

from damaskdeck.coordination.pools.waits.diagnosis import StepDiagnosis
from damaskdeck.coordination.pools.waits.parts import (
    StepWait,
    measure_wait,
    record_wait,
)
from damaskdeck.coordination.pools.waits.reasons import WaitReason, WaitTracker
from damaskdeck.coordination.pools.waits.reporter import WaitReporter

__all__ = [
    "StepDiagnosis",
    "StepWait",
    "WaitReason",
    "WaitReporter",
    "WaitTracker",
    "measure_wait",
    "record_wait",
]
