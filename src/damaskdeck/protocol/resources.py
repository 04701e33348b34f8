"""Resources that operators declare and watch: metadata, spec and status."""

from enum import StrEnum
from typing import Annotated, Any, Literal, NotRequired, TypedDict

from msgspec import Meta

from damaskdeck.protocol.quantities import MAX_SECONDS
from damaskdeck.protocol.sizes import Size

Name = Annotated[
    str, Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$", max_length=63)
]
Labels = dict[str, str]
Seconds = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]


class Kind(StrEnum):
    """Kinds of resource.

    Those in ``DECLARED_KINDS`` are written by operators and kept in the store;
    the others are observed.
    """

    TEAM = "team"
    WORKLOAD = "workload"
    POLICY = "policy"
    JOB = "job"
    TASK = "task"
    WORKER = "worker"
    TARGET = "target"


POLICY_NAME = "default"
DECLARED_KINDS = (Kind.TEAM, Kind.WORKLOAD, Kind.POLICY)


class Urgency(StrEnum):
    """Urgency classes, the most urgent first."""

    URGENT = "urgent"
    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class WorkloadType(StrEnum):
    """Types of workload."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


# The docstrings of the classes below are descriptions in ``/openapi.json``, which
# clients read.
class Metadata(TypedDict):
    """Who a resource is.

    ``revision`` is the store's revision of its last write; operators give it
    back in ``If-Match``.
    """

    name: Name
    revision: NotRequired[Annotated[int, Meta(ge=0)]]
    labels: NotRequired[Labels]


class SizeSpec(TypedDict):
    """A size as operators write it.

    ``processors`` in cores, ``memory`` in MiB, ``accelerators`` whole.
    """

    processors: NotRequired[Annotated[float, Meta(ge=0, le=1_000_000)]]
    memory: NotRequired[Annotated[int, Meta(ge=0, le=1 << 30)]]
    accelerators: NotRequired[Annotated[int, Meta(ge=0, le=1_000_000)]]


class TeamSpec(TypedDict):
    """A team with its quota; ``weight`` shares what is idle."""

    quota: SizeSpec
    weight: NotRequired[Annotated[float, Meta(gt=0, le=1000)]]


class WorkloadSpec(TypedDict):
    """A workload as declared; sizes and run times may be wrong.

    ``size`` is of one task; ``tasks`` counts the tasks of each job (batch and
    gang) or the replicas kept running (service). ``run_time`` in seconds.
    """

    team: Name
    type: Literal["service", "batch", "gang"]
    urgency: NotRequired[Literal["urgent", "high", "normal", "low"]]
    idempotent: NotRequired[bool]
    checkpoint: NotRequired[bool]
    size: SizeSpec
    tasks: NotRequired[Annotated[int, Meta(ge=1, le=4000)]]
    run_time: NotRequired[Seconds]
    zones: NotRequired[list[Name]]
    attempts: NotRequired[Annotated[int, Meta(ge=1, le=100)]]


class PolicySpec(TypedDict):
    """What holds for the whole deployment; the policy in force is ``default``.

    ``weights`` of placement by score's name; ``drained`` instances get no new
    work, as if the platform listed them as leaving.
    """

    weights: NotRequired[dict[str, Annotated[float, Meta(ge=0, le=1000)]]]
    drained: NotRequired[list[Name]]


class Resource(TypedDict):
    """Any resource as it crosses the API."""

    kind: Literal["team", "workload", "policy", "job", "task", "worker", "target"]
    metadata: Metadata
    spec: NotRequired[dict[str, Any]]
    status: NotRequired[dict[str, Any]]


def parse_size(spec: SizeSpec) -> Size:
    """Convert an operator's size to exact units.

    :param spec: missing dimensions are zero.
    """
    return Size(
        round(spec.get("processors", 0) * 1000),
        spec.get("memory", 0),
        spec.get("accelerators", 0),
    )


def format_size(size: Size) -> SizeSpec:
    """Convert exact units to an operator's size."""
    return SizeSpec(
        processors=size.millicores / 1000,
        memory=size.memory,
        accelerators=size.accelerators,
    )
