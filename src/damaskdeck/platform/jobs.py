"""Decoding of the jobs that callers submit."""

from typing import NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.platform.fields import DurationMs, Quantity, TimestampMs, to_duration
from damaskdeck.protocol.queues import JobSpec, StepSpec
from damaskdeck.protocol.sizes import Size

_MAX_PAYLOAD_BYTES = 4000
# Ten times as many tasks as the largest deployment runs at once.
_MAX_TASKS = 100_000
# Any daemon has to load a job at once, without holding up its event loop.
_MAX_STEPS = 10_000
# Response time targets (`target_ms`) would require throttling of the filler tasks
# (`fills`) that run beside them, which is not implemented.
UNSUPPORTED_FIELDS = ("target_ms", "fills")


class _Step(TypedDict):
    task_count: NotRequired[int]
    cpu: NotRequired[Quantity]
    mem_mb: NotRequired[Quantity]
    gpu: NotRequired[Quantity]
    estimated_ms: NotRequired[DurationMs]
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
    start_at_ms: NotRequired[TimestampMs]
    interval_ms: NotRequired[DurationMs]


_job_decoder = msgspec.json.Decoder(_Job)


def parse_job(body: bytes) -> JobSpec:
    """Decode and check a job.

    :raises MessageError: if the job is malformed or uses an unsupported field.
    """
    try:
        job = _job_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MessageError(str(error)) from error
    if len(job["spec"].encode()) > _MAX_PAYLOAD_BYTES:
        raise MessageError("spec is too long")
    if not job["steps"]:
        raise MessageError("a job has a step at least")
    if len(job["steps"]) > _MAX_STEPS:
        raise MessageError(f"a job has {_MAX_STEPS} steps at most")
    if sum(step.get("task_count", 1) for step in job["steps"]) > _MAX_TASKS:
        raise MessageError(f"a job has {_MAX_TASKS} tasks at most")
    steps = tuple(_parse_step(n, step) for n, step in enumerate(job["steps"]))
    return JobSpec(
        job["spec"],
        steps,
        max(0, job.get("repeat_count", 0)),
        to_duration(job.get("start_at_ms", 0)),
        to_duration(job.get("interval_ms", 0)),
    )


def _parse_step(number: int, step: _Step) -> StepSpec:
    for name in UNSUPPORTED_FIELDS:
        if step.get(name):
            raise MessageError(f"unsupported: {name}")
    after = tuple(step.get("after", ()))
    if any(not 0 <= dependency < number for dependency in after):
        raise MessageError("after names a step that is not earlier")
    tasks = step.get("task_count", 1)
    if tasks < 1:
        raise MessageError("a step has a task at least")
    return StepSpec(
        tasks,
        Size(step.get("cpu", 0), step.get("mem_mb", 0), step.get("gpu", 0)),
        to_duration(step.get("estimated_ms", 0)),
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
