"""What lasts of jobs on queues: keys in the store and their values.

A job's record is written once, by whoever takes it from the caller; its progress
is written by the pools' owner alone. Values are MessagePack arrays: a newer
version may add fields with defaults at the end.
"""

from typing import Any, NamedTuple, TypeVar

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import FINAL_STATES, JobSpec, Queue, TaskName
from damaskdeck.protocol.sizes import Size

T = TypeVar("T")

ROOT_PREFIX = "damaskdeck/"
CONTROL_PREFIX = f"{ROOT_PREFIX}control/"
OWNER_KEY = f"{CONTROL_PREFIX}owner"
LEAD_KEY = f"{CONTROL_PREFIX}lead"
MEMBERS_PREFIX = f"{CONTROL_PREFIX}members/"
FENCE_KEY = f"{ROOT_PREFIX}fence"
ROSTER_KEY = f"{ROOT_PREFIX}roster"
INBOX_PREFIX = f"{ROOT_PREFIX}inbox/"
JOBS_PREFIX = f"{INBOX_PREFIX}jobs/"
CANCELS_PREFIX = f"{INBOX_PREFIX}cancels/"
PROGRESS_PREFIX = f"{ROOT_PREFIX}progress/"
CORDONS_KEY = f"{ROOT_PREFIX}cordons"
CEILINGS_KEY = f"{ROOT_PREFIX}ceilings"

_encoder = msgspec.msgpack.Encoder()


class OwnerRecord(NamedTuple):
    """Who decides for the pools.

    :param epoch: rises with each owner; workers refuse a lower one.
    :param incarnation: of the owner's process; a new one proves the old one dead.
    :param is_released: the owner has handed over and orders nothing any more.
    :param successor: who should take over first, once released.
    :param fence: revision of the fence key when it was released, 0 if not known.
    """

    epoch: int
    instance: str
    incarnation: str
    is_released: bool = False
    successor: str = ""
    fence: int = 0


class MemberRecord(NamedTuple):
    """A daemon that is up.

    :param address: for peers, as ``IP:port``.
    :param power: processing power in cores; owners are chosen by it.
    :param started_at: of the process, seconds since 1970 by its own clock.
    """

    instance: str
    incarnation: str
    address: str
    zone: str
    power: float = 1.0
    started_at: float = 0.0


class FenceRecord(NamedTuple):
    """Names the last commit of an owner, so that a lost answer can be settled."""

    epoch: int
    number: int


class RosterRecord(NamedTuple):
    """Workers that may run what the owner ordered."""

    workers: tuple[PoolWorker, ...] = ()


class CordonedRun(NamedTuple):
    """A start of a task that a cordoned worker may have taken."""

    task: TaskName
    attempt: int


class Cordon(NamedTuple):
    """A worker that gets no order until this is taken back.

    :param jobs: whose tasks it may run.
    :param is_silent: its lease isn't extended either.
    :param runs: what it may run of them; they are lost if it has crashed.
    """

    worker: str
    jobs: tuple[str, ...] = ()
    is_silent: bool = True
    runs: tuple[CordonedRun, ...] = ()


class CordonsRecord(NamedTuple):
    """The workers that were silent or leaving when an owner last wrote this."""

    cordons: tuple[Cordon, ...] = ()


class CeilingsRecord(NamedTuple):
    """The most that accounts may have running under any owner, by account."""

    accounts: dict[str, Size] = {}


class JobRecord(NamedTuple):
    """A job as it was taken.

    :param queue: as declared when the job was taken.
    :param epoch: of the owner that the job was stored for: only that owner and
        later ones can have started it.
    :param accepted_at: seconds since 1970 by the clock of the daemon that took it.
    :param zones: availability zones whose workers alone may run it, until its
        progress names more; all where none is named.
    :param account: whose key handed it in, an empty string on a public queue.
    """

    identifier: str
    queue: Queue
    spec: JobSpec
    epoch: int
    accepted_at: float
    zones: tuple[str, ...] = ()
    account: str = ""


class StepProgress(NamedTuple):
    """What is known for good of one step of one occurrence.

    :param completed: indexes of tasks that have completed.
    :param failures: the attempts that have failed, by index; -1 is the gang.
    :param checkpoints: by index.
    :param crashes: the attempts whose workers crashed, by index.
    :param suspected: those of them that were the likely cause.
    """

    occurrence: int
    step: int
    completed: tuple[int, ...] = ()
    failures: dict[int, tuple[int, ...]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, tuple[int, ...]] = {}
    suspected: dict[int, tuple[int, ...]] = {}


class ProgressRecord(NamedTuple):
    """What is known for good of a job.

    :param final: the final state, or an empty string.
    :param has_started: a task of it has started.
    :param zones: in place of those of the job's record, unless ``None``.
    """

    final: str = ""
    has_started: bool = False
    steps: tuple[StepProgress, ...] = ()
    zones: tuple[str, ...] | None = None


def encode_record(record: Any) -> bytes:
    """Encode a record for the store."""
    return _encoder.encode(record)


def decode_record(kind: type[T], value: bytes) -> T:
    """Decode a record.

    :raises MessageError: when the value is no record of that kind.
    """
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except DECODE_ERRORS as error:
        raise MessageError(f"{kind.__name__}: {error}") from error


def decode_job(value: bytes) -> JobRecord:
    """Decode a job's record.

    :raises MessageError: when it is none, or its steps make no sense.
    """
    record = decode_record(JobRecord, value)
    for number, step in enumerate(record.spec.steps):
        if step.tasks < 1 or not all(0 <= n < number for n in step.after):
            raise MessageError(f"JobRecord: step {number} makes no sense")
    return record


def decode_progress(value: bytes) -> ProgressRecord:
    """Decode a job's progress.

    :raises MessageError: when it is none, or names a state that there isn't.
    """
    record = decode_record(ProgressRecord, value)
    if record.final and record.final not in FINAL_STATES:
        raise MessageError(f"ProgressRecord: no final state: {record.final[:32]!r}")
    return record
