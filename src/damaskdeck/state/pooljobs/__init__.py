"""The jobs that the pools' owner knows, with their steps, tasks and runs.

This state is in memory and only the owner changes it. Its durable part is in
:mod:`damaskdeck.state.jobrecords`.
"""

from damaskdeck.state.pooljobs.jobs import Job, JobIndex
from damaskdeck.state.pooljobs.runs import ProgressRate, Run, RunPhase
from damaskdeck.state.pooljobs.steps import Step, Task

__all__ = ["Job", "JobIndex", "ProgressRate", "Run", "RunPhase", "Step", "Task"]
