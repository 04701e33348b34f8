"""Jobs as callers hand them in, decoded once."""

from typing import NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.platform.fields import Milliseconds, Moment, Quantity, read_duration
from damaskdeck.protocol.queues import JobSpec, StepSpec
from damaskdeck.protocol.sizes import Size

_PAYLOAD_LIMIT = 4000
# Tasks of one job; ten times what the largest deployment runs at a time. More would
# take the memory of the daemon that knows them.
_TASKS_LIMIT = 100_000
# Targets of response times need tasks that fill to be paced down beside them.
UNSERVED = ("target_ms", "fills")


class _Step(TypedDict):
    task_count: NotRequired[int]
    cpu: NotRequired[Quantity]
    mem_mb: NotRequired[Quantity]
    gpu: NotRequired[Quantity]
    estimated_ms: NotRequired[Milliseconds]
    after: NotRequired[list[int]]
    gang: NotRequired[bool]
    same_rack: NotRequired[bool]
    checkpointing: NotRequired[bool]
    speculative: NotRequired[bool]
    long_running: NotRequired[bool]
    constraints: NotRequired[str]
    affinity: NotRequired[str]
    anti_affinity: NotRequired[Quantity]
    image: NotRequired[str]
    may_miss: NotRequired[Quantity]
    target_ms: NotRequired[float]
    fills: NotRequired[bool]


class _Job(TypedDict):
    spec: str
    steps: list[_Step]
    repeat_count: NotRequired[int]
    start_at_ms: NotRequired[Moment]
    interval_ms: NotRequired[Milliseconds]


_job = msgspec.json.Decoder(_Job)


def read_job(body: bytes) -> JobSpec:
    """Decode a job.

    :raises MessageError: when it makes no sense, or asks for what is not served.
    """
    try:
        job = _job.decode(body)
    except DECODE_ERRORS as error:
        raise MessageError(str(error)) from error
    if len(job["spec"].encode()) > _PAYLOAD_LIMIT:
        raise MessageError("spec is too long")
    if not job["steps"]:
        raise MessageError("a job has a step at least")
    if sum(step.get("task_count", 1) for step in job["steps"]) > _TASKS_LIMIT:
        raise MessageError(f"a job has {_TASKS_LIMIT} tasks at most")
    steps = tuple(_read_step(n, step) for n, step in enumerate(job["steps"]))
    return JobSpec(
        job["spec"],
        steps,
        max(0, job.get("repeat_count", 0)),
        read_duration(job.get("start_at_ms", 0)),
        read_duration(job.get("interval_ms", 0)),
    )


def _read_step(number: int, step: _Step) -> StepSpec:
    for name in UNSERVED:
        if step.get(name):
            raise MessageError(f"unsupported: {name}")
    after = tuple(step.get("after", ()))
    if any(not 0 <= earlier < number for earlier in after):
        raise MessageError("after names a step that is not earlier")
    tasks = step.get("task_count", 1)
    if tasks < 1:
        raise MessageError("a step has a task at least")
    return StepSpec(
        tasks,
        Size(step.get("cpu", 0), step.get("mem_mb", 0), step.get("gpu", 0)),
        read_duration(step.get("estimated_ms", 0)),
        after,
        step.get("gang", False),
        step.get("checkpointing", False),
        step.get("speculative", False),
        step.get("long_running", False),
        step.get("same_rack", False),
        step.get("constraints", ""),
        step.get("affinity", ""),
        step.get("anti_affinity", 0),
        step.get("image", ""),
        step.get("may_miss", 0),
    )
