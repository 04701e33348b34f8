"""Records of a ledger about jobs and keys; one ``TypedDict`` for each kind."""

from collections.abc import Callable
from typing import Any, NamedTuple, NotRequired, TypedDict, TypeVar

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.protocol.jobs import OutcomeData
from damaskdeck.protocol.resources import WorkloadSpec

T = TypeVar("T")

_types: dict[str, type] = {}
_names: dict[type, str] = {}
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_encoder = msgspec.msgpack.Encoder()


class _Frame(NamedTuple):
    kind: str
    body: msgspec.Raw


_frame_decoder = msgspec.msgpack.Decoder(_Frame)


def record(name: str) -> Callable[[type[T]], type[T]]:
    """Register a ``TypedDict`` as a kind of record.

    :param name: its name in the ledger; must never be reused for another meaning.
    :raises ValueError: when the name is taken.
    """

    def register(kind: type[T]) -> type[T]:
        if name in _types:
            raise ValueError(f"record {name!r} is already registered")
        _types[name] = kind
        _names[kind] = name
        return kind

    return register


@record("submitted")
class Submitted(TypedDict):
    """A job was accepted; ``spec`` is its workload at that time.

    ``at`` is the time of day in seconds since 1970, here and in all records.
    """

    job: str
    workload: str
    team: str
    key: str
    digest: bytes
    payload: bytes
    spec: WorkloadSpec
    at: float


class Placement(TypedDict):
    """An attempt of a task may start on ``worker`` under its owner's ``epoch``."""

    task: str
    attempt: int
    worker: str
    epoch: int


@record("placed")
class Placed(TypedDict):
    """Tasks were assigned to workers; written before any start is sent."""

    tasks: list[Placement]


@record("start_marked")
class StartMarked(TypedDict):
    """Tasks that are not idempotent may have started from here on."""

    tasks: list[str]


class Attempt(TypedDict):
    """One attempt of a task."""

    task: str
    attempt: int


@record("started")
class Started(TypedDict):
    """Attempts are known to run."""

    tasks: list[Attempt]


class RequeuedAttempt(TypedDict):
    """An attempt has ended and its task waits again.

    ``ran`` is false when the attempt is known to have never started; ``failed``
    says whether it counts against the attempts of the workload; ``crashed`` says
    that its worker had restarted.
    """

    task: str
    attempt: int
    reason: str
    ran: bool
    failed: bool
    checkpoint: NotRequired[str]
    crashed: NotRequired[bool]


@record("requeued")
class Requeued(TypedDict):
    """Tasks wait for a worker again, unless their job is being stopped."""

    tasks: list[RequeuedAttempt]
    at: float


class TaskEnd(TypedDict):
    """The final state of a task, as in :class:`~damaskdeck.state.jobmodel.Task`."""

    task: str
    attempt: int
    state: str
    code: NotRequired[str]
    result: NotRequired[bytes]


@record("ended")
class Ended(TypedDict):
    """Tasks reached their final state."""

    tasks: list[TaskEnd]
    at: float


@record("cancelled")
class Cancelled(TypedDict):
    """Callers asked to cancel jobs."""

    jobs: list[str]
    at: float


@record("refused")
class RefusedJobs(TypedDict):
    """Jobs that never started were refused for the same reason."""

    jobs: list[str]
    code: str
    detail: str
    at: float


class KeyName(TypedDict):
    """Identifies an idempotency key."""

    team: str
    service: str
    key: str


@record("key_claimed")
class KeyClaimed(KeyName):
    """The key of a request was used for the first time.

    ``deadline`` is the end of its claim.
    """

    digest: bytes
    deadline: float


@record("key_settled")
class KeySettled(KeyName):
    """The outcome of a request with a key is known."""

    outcome: OutcomeData
    at: float


@record("forgotten")
class RemovedJobs(TypedDict):
    """Jobs and keys were removed after the retention time of results."""

    jobs: list[str]
    keys: list[KeyName]


@record("job")
class JobSnapshot(TypedDict):
    """A job in a snapshot, with its fields by name."""

    fields: dict[str, Any]


@record("task")
class TaskSnapshot(TypedDict):
    """A task in a snapshot, with its fields by name."""

    fields: dict[str, Any]


@record("key")
class KeySnapshot(KeyName):
    """A key in a snapshot."""

    digest: bytes
    deadline: float
    outcome: NotRequired[OutcomeData]


def encode_record(value: Any, kind: type) -> bytes:
    """Encode a record of a registered type for the ledger."""
    return _encoder.encode((_names[kind], value))


def decode_record(data: bytes) -> tuple[type, Any] | None:
    """Decode a record of the ledger.

    :returns: its type and value; ``None`` for a kind that this version does not
        know.
    :raises MessageError: when the value does not have the registered type.
    """
    try:
        frame = _frame_decoder.decode(data)
        kind = _types.get(frame.kind)
        if kind is None:
            return None
        return kind, _get_decoder(frame.kind).decode(frame.body)
    except DECODE_ERRORS as error:
        raise MessageError(f"record: {error}") from error


def _get_decoder(name: str) -> msgspec.msgpack.Decoder[Any]:
    decoder = _decoders.get(name)
    if decoder is None:
        decoder = _decoders[name] = msgspec.msgpack.Decoder(_types[name])
    return decoder
