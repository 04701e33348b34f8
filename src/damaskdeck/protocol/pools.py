"""The ports to pools of workers that run queues' tasks, and to the advisor.

A worker has one lease for everything that it runs, and refuses an epoch below
the highest that it has seen. Its identifier names one incarnation of a machine; only
:class:`WorkerIncarnation` builds and parses identifiers.
"""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, Protocol

from damaskdeck.protocol.ports import Entry, Lost, Rejected, RevisionTooOld
from damaskdeck.protocol.queues import QueueTable, TaskName
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import ReplyTooLarge
from damaskdeck.protocol.values import distinct

# Separates the name from the birth in the identifier of an incarnation.
_BIRTH_SEPARATOR = "@"


class WorkerIncarnation(NamedTuple):
    """One incarnation of a worker, as its identifier names it.

    :param name: name under which the worker registers. A restarted worker may keep it.
    :param born: Unix milliseconds of its start, ``None`` if it reports none.
    """

    name: str
    born: int | None = None

    @property
    def identifier(self) -> str:
        """Identifier of the incarnation; without a birth it is the name.

        A name that contains the separator and has no birth gets a trailing separator,
        so that its last part isn't taken for a birth.
        """
        if self.born is not None:
            return f"{self.name}{_BIRTH_SEPARATOR}{self.born}"
        is_ambiguous = _BIRTH_SEPARATOR in self.name
        return self.name + _BIRTH_SEPARATOR if is_ambiguous else self.name

    @classmethod
    def parse(cls, identifier: str) -> "WorkerIncarnation":
        """Return the incarnation that an identifier names.

        An identifier that :attr:`identifier` doesn't build is taken for a name.
        """
        name, separator, born = identifier.rpartition(_BIRTH_SEPARATOR)
        if not separator:
            return cls(identifier)
        if not born:
            return cls(name)
        is_birth = born.isascii() and born.isdigit() and born[0] != "0"
        return cls(name, int(born)) if is_birth else cls(identifier)

    def precedes(self, other: "WorkerIncarnation") -> bool:
        """Whether ``other`` is a later incarnation of the same worker."""
        if self.name != other.name or self.born is None or other.born is None:
            return False
        return self.born < other.born

    def may_be(self, other: "WorkerIncarnation") -> bool:
        """Whether both may be the same, as far as their births are known."""
        is_unknown = self.born is None or other.born is None
        return self.name == other.name and (is_unknown or self.born == other.born)


class PoolWorker(NamedTuple):
    """A worker as it registered itself; the registry lags.

    :param identifier: identifier of this incarnation of the machine.
    :param address: IP address and port.
    :param labels: labels that steps may require; the rack, if given, is one of them.
    :param remaining: minimum time left for a worker that is leaving.
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

    :param attempt: rises with each start of the task; all tasks of a gang share it.
    :param deadline: time on the worker's clock after which it refuses the order.
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

    :param percent: completed part of its work.
    :param activity: rough figure for the last half second; its meaning varies.
    """

    task: TaskName
    attempt: int
    checkpoint: str
    percent: int
    activity: int = 0


class EndedTask(NamedTuple):
    """A run that ended; listed until its end is observed.

    :param number: rises with each end in one incarnation of a worker.
    """

    number: int
    task: TaskName
    attempt: int
    kind: EndKind
    checkpoint: str


@distinct
class Done(NamedTuple):
    """The worker did what was requested.

    :param clock: the worker's own monotonic clock.
    """

    clock: timedelta


@distinct
class WorkerTasks(NamedTuple):
    """All tasks that a worker runs, and the first ends that were not observed yet.

    :param clock: the worker's own monotonic clock.
    :param born: birth of the incarnation that answers, ``None`` if it reports none.
    :param has_more: whether there may be further ends. They are listed once these were
        observed; until then a run that the list doesn't show may have ended.
    :param connection: stands for the connection of the answer, which ends with the
        incarnation that has answered.
    """

    clock: timedelta
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born: int | None = None
    has_more: bool = False
    connection: object = None


class RefusalCode(StrEnum):
    """Why a worker refused a call."""

    STALE_EPOCH = "stale_epoch"
    STALE_ATTEMPT = "stale_attempt"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


@distinct
class Declined(NamedTuple):
    """The worker did nothing; :class:`RefusalCode` says why.

    :param clock: the worker's own monotonic clock, if it is known.
    """

    code: RefusalCode
    clock: timedelta | None = None


@distinct
class Replaced(NamedTuple):
    """The addressed incarnation has ended: none of its tasks run any more."""


StartResult = Done | Declined | Replaced | Rejected | Lost


class PoolWorkers(Protocol):
    """Calls to workers; each names the worker and an epoch.

    A call can't name the worker's birth, so the next incarnation under the same name
    carries it out as well, unless it has to use a connection to the one before.
    """

    async def start(
        self, worker: PoolWorker, epoch: int, order: TaskStart
    ) -> StartResult:
        """Start a task; repeating an order changes nothing.

        A ``Lost`` order may be carried out until its deadline.
        """

    async def stop(
        self, worker: PoolWorker, epoch: int, task: TaskName, attempt: int
    ) -> StartResult:
        """Stop a run; a run that has not arrived yet will never start there."""

    async def poll(
        self,
        worker: PoolWorker,
        epoch: int,
        observed: int,
        deadline: timedelta | None,
        wait: timedelta,
        connection: object = None,
    ) -> WorkerTasks | Declined | Replaced | Rejected | Lost:
        """Renew the lease until ``deadline`` on the worker's clock and list its tasks.

        :param observed: ends up to this number are removed.
        :param deadline: ``None`` leaves the lease unchanged.
        :param wait: how long to wait for an end.
        :param connection: that of an earlier answer, to be used or none; the result is
            ``Rejected`` with :data:`~damaskdeck.protocol.ports.OTHER_CONNECTION` if it
            can't be.
        """


class Consent(NamedTuple):
    """A worker that may run a step, with the ticket that it requires."""

    worker: str
    ticket: str


@distinct
class Advice(NamedTuple):
    """Those of the requested workers that may run a step."""

    consents: tuple[Consent, ...]


class Advisor(Protocol):
    """Says which workers may run a step; handles one of our calls at a time."""

    async def request_advice(
        self, step: str, workers: tuple[str, ...], timeout: timedelta
    ) -> Advice | Rejected | Lost:
        """Ask about up to 100 workers; the answer for a worker doesn't change."""


@distinct
class RegisteredWorkers(NamedTuple):
    """All registered workers, and the revision to follow from.

    :param revisions: revision of each worker's registration, in the same order.
    """

    workers: tuple[PoolWorker, ...]
    revision: int
    revisions: tuple[int, ...]


class RegistryChange(NamedTuple):
    """A worker was registered, changed, or removed (``worker`` is ``None``).

    :param identifier: identifier of the worker's incarnation; of a removed worker only
        the name is known, and all its incarnations are removed.
    :param revision: revision of the registration.
    """

    identifier: str
    worker: PoolWorker | None
    revision: int = 0


@distinct
class RegistryChanges(NamedTuple):
    """The changes of the registry up to ``revision``."""

    changes: tuple[RegistryChange, ...]
    revision: int


class WorkerRegistry(Protocol):
    """Where workers register themselves; it lags, and removes silent workers."""

    async def list_workers(self) -> RegisteredWorkers | Rejected | Lost:
        """Read all workers."""

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one."""


@distinct
class DeclaredQueues(NamedTuple):
    """The declared queues as of the store's ``revision``.

    :param table: ``None`` before any document was declared.
    :param document: revision of the document itself, 0 where it is not known.
    :param size: size of the document in bytes.
    """

    table: QueueTable | None
    revision: int
    document: int = 0
    size: int = 0


class QueueSource(Protocol):
    """Where operators declare the queues.

    :ivar key: key of the document in the store, which commits may expect.
    """

    key: str

    async def read_queues(
        self, known_revision: int = 0
    ) -> DeclaredQueues | Rejected | Lost:
        """Read the newest document; the read is linearizable.

        :param known_revision: revision of a document that need not be returned again.
        """

    async def follow_queues(
        self, revision: int, wait: timedelta
    ) -> DeclaredQueues | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the newest document after ``revision``, waiting for one.

        The table is ``None`` when nothing has changed. A large document is not
        returned; it must be read.
        """

    def decode(self, entry: Entry) -> DeclaredQueues:
        """Return the queues in the document's entry, as in a refused commit."""
