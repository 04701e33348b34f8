"""Durable records of jobs on queues: keys in the store and their values.

The record of a job is written once, by the daemon that accepts it from the
caller. Its progress is written by the pools' owner only. Values are MessagePack
arrays: a newer version may append fields with defaults.
"""

from typing import Any, NamedTuple, TypeVar

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import FINAL_STATES, JobSpec, Queue, StepSpec, TaskName
from damaskdeck.protocol.sizes import Size

T = TypeVar("T")

ROOT_PREFIX = "damaskdeck/"
CONTROL_PREFIX = f"{ROOT_PREFIX}control/"
OWNER_KEY = f"{CONTROL_PREFIX}owner"
LEAD_KEY = f"{CONTROL_PREFIX}lead"
FORMER_OWNERS_KEY = f"{CONTROL_PREFIX}former"
TERM_KEY = f"{CONTROL_PREFIX}term"
MEMBERS_PREFIX = f"{CONTROL_PREFIX}members/"
FENCE_KEY = f"{ROOT_PREFIX}fence"
ROSTER_KEY = f"{ROOT_PREFIX}roster"
INBOX_PREFIX = f"{ROOT_PREFIX}inbox/"
JOBS_PREFIX = f"{INBOX_PREFIX}jobs/"
CANCELS_PREFIX = f"{INBOX_PREFIX}cancels/"
PROGRESS_PREFIX = f"{ROOT_PREFIX}progress/"
STARTS_PREFIX = f"{ROOT_PREFIX}starts/"
RUNS_PREFIX = f"{ROOT_PREFIX}runs/"
RECORDING_KEY = f"{ROOT_PREFIX}recording"
ATTEMPTS_KEY = f"{ROOT_PREFIX}attempts"
CORDONS_KEY = f"{ROOT_PREFIX}cordons"
CEILINGS_KEY = f"{ROOT_PREFIX}ceilings"
SPEEDS_KEY = f"{ROOT_PREFIX}speeds"

# Stores take at least this for a value.
MIN_VALUE_BYTES = 64_000

# The epoch of the first owner of all.
FIRST_EPOCH = 1

# The owner and all before it grant leases within the limits that
# :func:`~damaskdeck.coordination.pools.times.derive_times` describes.
BOUNDED_LEASES = "bounded_leases"

# Stands for all occurrences, or all steps, in the progress of a job.
WHOLE = -1

_encoder = msgspec.msgpack.Encoder()


class OwnerRecord(NamedTuple):
    """The daemon that decides for the pools.

    :param epoch: rises with each owner; workers refuse calls with a lower one.
    :param incarnation: incarnation of the owner's process. A new one shows that the
        former process has ended.
    :param is_released: whether the owner has handed over and sends no more orders.
    :param successor: name of the daemon that should take over first, once released.
    :param fence: revision of the fence key at the release, 0 if not known.
    """

    epoch: int
    instance: str
    incarnation: str
    is_released: bool = False
    successor: str = ""
    fence: int = 0


class FormerOwner(NamedTuple):
    """A process that was the owner, named as in :class:`OwnerRecord`."""

    instance: str
    incarnation: str


class FormerOwnersRecord(NamedTuple):
    """The owners before that of an epoch which may still extend leases of workers.

    Those that have handed over or whose processes are known to have ended are left out.

    :param epoch: of the owner whose takeover has written this. Under any other owner
        it says nothing.
    """

    epoch: int
    owners: tuple[FormerOwner, ...] = ()


class TermRecord(NamedTuple):
    """What a successor may rely on of the owner of an epoch.

    It isn't part of :class:`OwnerRecord`, because earlier versions can't decode a
    longer one.

    :param epoch: of the owner whose takeover has written this.
    :param guarantees: names such as :data:`BOUNDED_LEASES`; others are ignored.
    """

    epoch: int
    guarantees: tuple[str, ...] = ()


class MemberRecord(NamedTuple):
    """A daemon that is up.

    :param address: its address for peers, as ``IP:port``.
    :param power: processing power in cores, by which owners are chosen.
    :param started_at: start time of the process, seconds since 1970 by its clock.
    """

    instance: str
    incarnation: str
    address: str
    zone: str
    power: float = 1.0
    started_at: float = 0.0


class FenceRecord(NamedTuple):
    """Names the last commit of an owner, to determine whether a lost commit applied."""

    epoch: int
    number: int


class RosterRecord(NamedTuple):
    """Workers that may run what the owner ordered.

    :param is_complete: whether no other worker may run what earlier owners ordered.
    """

    workers: tuple[PoolWorker, ...] = ()
    is_complete: bool = True


class CordonedRun(NamedTuple):
    """A start of a task that a cordoned worker may have accepted."""

    task: TaskName
    attempt: int


class Cordon(NamedTuple):
    """A worker that gets no orders until the cordon is removed.

    :param jobs: jobs whose tasks it may run.
    :param is_silent: whether its lease is not renewed either.
    :param runs: runs of these jobs that it may have; lost if it has crashed.
    """

    worker: str
    jobs: tuple[str, ...] = ()
    is_silent: bool = True
    runs: tuple[CordonedRun, ...] = ()


class CordonsRecord(NamedTuple):
    """Workers that were silent or leaving when an owner last wrote this."""

    cordons: tuple[Cordon, ...] = ()


class CeilingsRecord(NamedTuple):
    """The most that accounts may have running under any owner, by account."""

    accounts: dict[str, Size] = {}


class RecordedSpeed(NamedTuple):
    """The learned speed of a worker.

    :param key: names the worker across its incarnations.
    :param labels: position in :attr:`SpeedsRecord.labels` of the labels that it had.
    :param mean: logarithm of its speed in thousandths.
    :param precision: inverse of the variance of that logarithm.
    """

    key: str
    labels: int
    mean: int
    precision: int


class SpeedsRecord(NamedTuple):
    """The learned speeds of the workers of uneven pools.

    :param labels: sets of labels that workers have.
    :param uneven: names of the uneven pools.
    """

    workers: tuple[RecordedSpeed, ...] = ()
    labels: tuple[tuple[str, ...], ...] = ()
    uneven: tuple[str, ...] = ()


class JobRecord(NamedTuple):
    """A job as it was accepted.

    :param queue: the queue as declared when the job was accepted.
    :param epoch: epoch of the owner for which the job was stored. Only that owner
        and later ones can have started it.
    :param accepted_at: seconds since 1970 by the clock of the accepting daemon.
    :param zones: availability zones whose workers may run it, until its progress
        names more; empty for all.
    :param account: account of the key that submitted it, an empty string on a
        public queue.
    """

    identifier: str
    queue: Queue
    spec: JobSpec
    epoch: int
    accepted_at: float
    zones: tuple[str, ...] = ()
    account: str = ""


class StepProgress(NamedTuple):
    """Durable progress of one step of one occurrence.

    :param occurrence: its occurrence; :data:`WHOLE` where ``completed`` has the numbers
        of completed occurrences. Earlier versions ignore a job with such a row.
    :param step: its number; :data:`WHOLE` where ``completed`` has the numbers of
        completed steps. The same holds for earlier versions.
    :param completed: indexes of completed tasks, as
        :meth:`~damaskdeck.state.indexranges.IndexRanges.encode` returns them.
    :param failures: failed attempts by task index; -1 stands for the gang.
    :param checkpoints: last checkpoint by task index.
    :param crashes: attempts whose workers crashed, by task index.
    :param suspected: those of the crashes that the task is suspected to have caused.
    """

    occurrence: int
    step: int
    completed: tuple[int, ...] = ()
    failures: dict[int, tuple[int, ...]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, tuple[int, ...]] = {}
    suspected: dict[int, tuple[int, ...]] = {}


class RecordedStart(NamedTuple):
    """A task whose starts are made durable before they are ordered.

    :param attempt: its latest start, 0 if the outcome of that is known.
    :param worker: the worker of that start, an empty string likewise.
    """

    task: TaskName
    attempt: int = 0
    worker: str = ""


class UnconfirmedCrash(NamedTuple):
    """A run that was abandoned on a silent worker, which may have crashed.

    :param worker: the worker's incarnation.
    :param address: its address; another incarnation there proves that it has ended.
    """

    task: TaskName
    attempt: int
    worker: str
    address: str


class StartsRecord(NamedTuple):
    """The recorded starts of one job.

    :param unconfirmed: its abandoned runs whose workers may have crashed. They are not
        part of the progress, which daemons of an earlier version must be able to read.
    """

    starts: tuple[RecordedStart, ...] = ()
    unconfirmed: tuple[UnconfirmedCrash, ...] = ()


class RecordedRun(NamedTuple):
    """A run that a worker may have.

    :param worker: position of its worker in :attr:`RunsRecord.workers`.
    """

    occurrence: int
    step: int
    index: int
    attempt: int
    worker: int


class RunsRecord(NamedTuple):
    """The runs of one job.

    :param workers: identifiers of the workers' incarnations.
    :param is_complete: whether it has all runs; there may be too many for a record.
    """

    workers: tuple[str, ...] = ()
    runs: tuple[RecordedRun, ...] = ()
    is_complete: bool = True


class RecordingRecord(NamedTuple):
    """Whether all runs that workers may have are on record.

    :param epoch: of the owner that has written this. Under any other owner it says
        nothing.
    :param is_complete: whether that holds, except for what was started in an outage.
    """

    epoch: int = 0
    is_complete: bool = False


class AttemptsRecord(NamedTuple):
    """What the attempt numbers of all owners so far are not above."""

    limit: int = 0


class ProgressRecord(NamedTuple):
    """Durable progress of a job.

    :param final: the final state, or an empty string.
    :param has_started: whether one of its tasks has started.
    :param zones: replaces the zones of the job's record, unless ``None``.
    """

    final: str = ""
    has_started: bool = False
    steps: tuple[StepProgress, ...] = ()
    zones: tuple[str, ...] | None = None


def encode_record(record: Any) -> bytes:
    """Encode a record for the store."""
    return _encoder.encode(record)


def encode_roster(roster: RosterRecord) -> bytes:
    """Encode a roster, a complete one as earlier versions know it.

    These can't decode an incomplete one, and wait for unknown workers as well.
    """
    return encode_record((roster.workers,) if roster.is_complete else roster)


def decode_record(kind: type[T], value: bytes) -> T:
    """Decode a record.

    :raises MessageError: when the value is not a record of that kind.
    """
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except DECODE_ERRORS as error:
        raise MessageError(f"{kind.__name__}: {error}") from error


def decode_job(value: bytes) -> JobRecord:
    """Decode the record of a job.

    :raises MessageError: when the value is not such a record, or a step has no
        tasks or depends on a step that is not before it.
    """
    record = decode_record(JobRecord, value)
    for number, step in enumerate(record.spec.steps):
        if step.tasks < 1 or not all(0 <= n < number for n in step.after):
            raise MessageError(f"JobRecord: invalid tasks or 'after' in step {number}")
    return record._replace(spec=_share_equal_steps(record.spec))


def _share_equal_steps(spec: JobSpec) -> JobSpec:
    """Return a job whose equal steps are one object, as jobs may have thousands."""
    known: dict[StepSpec, StepSpec] = {}
    return spec._replace(
        steps=tuple(known.setdefault(step, step) for step in spec.steps)
    )


def decode_progress(value: bytes) -> ProgressRecord:
    """Decode the progress of a job.

    :raises MessageError: when the value is not such a record, or the final state is
        unknown.
    """
    record = decode_record(ProgressRecord, value)
    if record.final and record.final not in FINAL_STATES:
        raise MessageError(f"ProgressRecord: not a final state: {record.final[:32]!r}")
    return record
