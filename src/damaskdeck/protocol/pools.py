"""The ports to pools of workers that run queues' tasks, and to the advisor.

A worker holds one lease for everything that it runs; it refuses an epoch lower
than the highest it has seen. Its identifier names one life of a machine.
"""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, Protocol

from damaskdeck.protocol.ports import Entry, Lost, Rejected, RevisionTooOld
from damaskdeck.protocol.queues import QueueTable, TaskName
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import ReplyTooLarge
from damaskdeck.protocol.values import distinct


class PoolWorker(NamedTuple):
    """A worker as it registered itself; the registry lags.

    :param identifier: of this life of the machine; a new life has a new one.
    :param address: IP and port.
    :param labels: what it is, its rack among them.
    :param remaining: least time left for a worker that is leaving.
    """

    identifier: str
    pool: str
    address: str
    zone: str
    size: Size
    labels: frozenset[str] = frozenset()
    rack: str = ""
    is_leaving: bool = False
    remaining: timedelta | None = None


class TaskStart(NamedTuple):
    """An order to start a task.

    :param attempt: rises with each start of the task; a gang shares one.
    :param deadline: on the worker's clock; too late, the order is refused.
    :param ticket: the advisor's consent, or an empty string.
    """

    task: TaskName
    attempt: int
    payload: str
    deadline: timedelta
    checkpoint: str = ""
    ticket: str = ""


class EndKind(StrEnum):
    """How a run ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningTask(NamedTuple):
    """A task that a worker runs.

    :param percent: of its work that is done.
    :param measure: rough figure of the last half second; its meaning differs.
    """

    task: TaskName
    attempt: int
    checkpoint: str
    percent: int
    measure: int = 0


class EndedTask(NamedTuple):
    """A run that ended; listed until it is observed.

    :param number: rises with each end in one life of a worker.
    """

    number: int
    task: TaskName
    attempt: int
    kind: EndKind
    checkpoint: str


@distinct
class Done(NamedTuple):
    """The worker did what it was told; ``clock`` is its own steady clock."""

    clock: timedelta


@distinct
class WorkerTasks(NamedTuple):
    """All that a worker runs, and the ends that were not observed."""

    clock: timedelta
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class RefusalCode(StrEnum):
    """Why a worker did nothing."""

    STALE_EPOCH = "stale_epoch"
    STALE_ATTEMPT = "stale_attempt"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


@distinct
class Declined(NamedTuple):
    """The worker did nothing; :class:`RefusalCode` says why."""

    code: RefusalCode
    clock: timedelta | None = None


@distinct
class Replaced(NamedTuple):
    """The life that was asked for is over: it runs nothing any more."""


StartResult = Done | Declined | Replaced | Rejected | Lost


class PoolWorkers(Protocol):
    """Orders to workers; each names the life that it means and an epoch."""

    async def start(
        self, worker: PoolWorker, epoch: int, order: TaskStart
    ) -> StartResult:
        """Start a task; repeating an order changes nothing.

        A ``Lost`` order may be carried out until its deadline has passed.
        """

    async def stop(
        self, worker: PoolWorker, epoch: int, task: TaskName, attempt: int
    ) -> StartResult:
        """Stop a run; one that is not there yet never starts there."""

    async def poll(
        self,
        worker: PoolWorker,
        epoch: int,
        observed: int,
        deadline: timedelta | None,
        wait: timedelta,
    ) -> WorkerTasks | Declined | Replaced | Rejected | Lost:
        """Extend the lease to ``deadline`` on the worker's clock; list its tasks.

        :param observed: ends up to this number are forgotten.
        :param wait: how long to wait for an end.
        """


class Consent(NamedTuple):
    """A worker that may run a step, with the proof that it asks for."""

    worker: str
    ticket: str


@distinct
class Advice(NamedTuple):
    """The workers that may run a step, of those that were named."""

    consents: tuple[Consent, ...]


class Advisor(Protocol):
    """Knows which workers may run a step; handles one call of ours at a time."""

    async def ask(
        self, step: str, workers: tuple[str, ...], timeout: timedelta
    ) -> Advice | Rejected | Lost:
        """Ask for up to 100 workers; the verdict on one doesn't change."""


@distinct
class RegisteredWorkers(NamedTuple):
    """All workers as registered, and the revision to follow from.

    :param revisions: of each worker's registration, in the same order.
    """

    workers: tuple[PoolWorker, ...]
    revision: int
    revisions: tuple[int, ...]


class RegistryChange(NamedTuple):
    """A worker registered, changed, or left (``worker`` is ``None``).

    :param revision: of the registration.
    """

    identifier: str
    worker: PoolWorker | None
    revision: int = 0


@distinct
class RegistryChanges(NamedTuple):
    """What changed in the registry up to ``revision``."""

    changes: tuple[RegistryChange, ...]
    revision: int


class WorkerRegistry(Protocol):
    """Where workers register themselves; it lags, and forgets silent ones."""

    async def list_workers(self) -> RegisteredWorkers | Rejected | Lost:
        """Read all workers."""

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one."""


@distinct
class DeclaredQueues(NamedTuple):
    """The declared queues as of the store's ``revision``; ``None`` before any.

    :param document: revision of the document itself, 0 where it isn't told.
    :param size: of the document in bytes.
    """

    table: QueueTable | None
    revision: int
    document: int = 0
    size: int = 0


class QueueSource(Protocol):
    """Where operators declare the queues.

    :ivar key: of the document in the store, which commits may expect.
    """

    key: str

    async def read_queues(self, known: int = 0) -> DeclaredQueues | Rejected | Lost:
        """Read the newest document; the answer is linearizable.

        :param known: revision of a document whose table isn't asked for again.
        """

    async def follow_queues(
        self, revision: int, wait: timedelta
    ) -> DeclaredQueues | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the newest document after ``revision``, waiting for one.

        The table is ``None`` when nothing has changed; a wide document is left to
        be read.
        """

    def decode(self, entry: Entry) -> DeclaredQueues:
        """Return what the document's entry says, as a refused commit shows it."""
