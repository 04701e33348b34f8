"""The needs of a workload's tasks, converted for queues, owners and messages."""

from damaskdeck.coordination.jobs.updates import is_idempotent
from damaskdeck.protocol.jobs import (
    GangRequest,
    ReservationRequest,
    SizeData,
    TaskAttempt,
)
from damaskdeck.protocol.resources import Urgency, WorkloadSpec, parse_size
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobmodel import Job, Task, TaskState
from damaskdeck.state.workeraccounts import TaskNeed


def get_urgency(spec: WorkloadSpec) -> Urgency:
    """Return the urgency class of a workload."""
    return Urgency(spec.get("urgency", Urgency.NORMAL.value))


def get_size(spec: WorkloadSpec) -> Size:
    """Return the declared size of one task."""
    return parse_size(spec["size"])


def make_need(job: Job, task: Task) -> TaskNeed:
    """Return the requirements of a task for a worker."""
    spec = job.spec
    return TaskNeed(
        task=task.name,
        size=get_size(spec),
        group=get_group(job),
        urgency=get_urgency(spec),
        idempotent=is_idempotent(spec),
        checkpoint=spec.get("checkpoint", False),
        zones=frozenset(spec.get("zones", ())),
        avoid=frozenset(task.avoid),
    )


def make_request(job: Job, task: Task, is_pressed: bool) -> ReservationRequest:
    """Return the request for capacity for the next attempt of a task."""
    spec = job.spec
    request = ReservationRequest(
        task=task.name,
        attempt=task.attempt + 1,
        size=SizeData(**get_size(spec)._asdict()),
        urgency=get_urgency(spec).value,
        group=get_group(job),
        idempotent=is_idempotent(spec),
        checkpoint=spec.get("checkpoint", False),
        is_pressed=is_pressed,
    )
    if "run_time" in spec:
        request["run_time"] = spec["run_time"]
    if "zones" in spec:
        request["zones"] = spec["zones"]
    if task.avoid:
        request["avoid"] = list(task.avoid)
    return request


def make_gang_request(job: Job) -> GangRequest:
    """Return the data that orders a gang among those requesting capacity."""
    return GangRequest(submitted=round(job.submitted * 1000), index=0, count=1)


def make_attempt(job: Job, task: Task) -> TaskAttempt:
    """Return the description of a task's current attempt for messages."""
    spec = job.spec
    return TaskAttempt(
        task=task.name,
        attempt=task.attempt,
        worker=task.worker,
        epoch=task.epoch,
        started=task.state is TaskState.RUNNING,
        urgency=get_urgency(spec).value,
        group=get_group(job),
        idempotent=is_idempotent(spec),
        checkpoint=spec.get("checkpoint", False),
    )


def get_group(job: Job) -> str:
    """Return the group to spread over workers: a service's name, else ``""``."""
    return job.workload if job.spec["type"] == "service" else ""
