"""The jobs that the pools' owner knows, with their steps, tasks and runs.

This state is in memory and only the owner changes it. Its durable part is in
:mod:`damaskdeck.state.jobrecords`.
"""

from damaskdeck.state.pooljobs.footprint import MAX_WAITING_STEPS, estimate_footprint
from damaskdeck.state.pooljobs.jobs import Job, JobIndex, UnplacedRun
from damaskdeck.state.pooljobs.occurrences import Occurrence
from damaskdeck.state.pooljobs.runs import ProgressRate, Run, RunPhase
from damaskdeck.state.pooljobs.steps import CheckpointRoom, Step
from damaskdeck.state.pooljobs.tasks import Task

__all__ = [
    "CheckpointRoom",
    "MAX_WAITING_STEPS",
    "Job",
    "JobIndex",
    "Occurrence",
    "ProgressRate",
    "Run",
    "RunPhase",
    "Step",
    "Task",
    "UnplacedRun",
    "estimate_footprint",
]
