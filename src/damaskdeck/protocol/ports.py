"""The ports to the platform: store, instance list, workers and targets.

Each port has one adapter in :mod:`damaskdeck.transport` and one stand-in in
:mod:`standins`. Only the adapter knows the wire. Calls never raise for what
the platform does; they return one of the values below.
"""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, Protocol

from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.values import distinct


@distinct
class Rejected(NamedTuple):
    """The call is proved to have had no effect.

    :param code: stable code, as in ``store_full`` or ``unreachable``.
    """

    code: str
    detail: str = ""


@distinct
class Lost(NamedTuple):
    """The answer was lost; the call may have taken effect.

    :param code: stable code, as in ``timeout``.
    """

    code: str
    detail: str = ""


# Store -----------------------------------------------------------------------


class Entry(NamedTuple):
    """A key of the store with its value.

    :param revision: the store's revision when the key was last written.
    :param lease: the lease that the key is bound to, or an empty string.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ""


@distinct
class Found(NamedTuple):
    """A read key."""

    entry: Entry


@distinct
class Missing(NamedTuple):
    """There is no such key, as of the store's ``revision``."""

    revision: int


@distinct
class Listing(NamedTuple):
    """All keys below a prefix, in order, as of the store's ``revision``."""

    entries: tuple[Entry, ...]
    revision: int


@distinct
class Written(NamedTuple):
    """The write took effect at ``revision``."""

    revision: int


@distinct
class Conflict(NamedTuple):
    """The expected revision was wrong; ``current`` is the entry now, if any."""

    current: Entry | None


@distinct
class Granted(NamedTuple):
    """A lease was granted or renewed for ``ttl`` from the time of the call."""

    lease: str
    ttl: timedelta


@distinct
class Lapsed(NamedTuple):
    """There is no such lease any more; its keys are gone."""

    lease: str


class Event(NamedTuple):
    """A change of a key; ``value`` is ``None`` when it was deleted."""

    key: str
    value: bytes | None
    revision: int


@distinct
class Events(NamedTuple):
    """Changes after the asked revision, in order; may be empty.

    :param revision: the revision to ask from next time.
    """

    events: tuple[Event, ...]
    revision: int


@distinct
class RevisionTooOld(NamedTuple):
    """The asked revision is no longer kept; list again."""

    oldest: int


class Store(Protocol):
    """The platform's key-value service with compare-and-swap.

    Revisions are one rising number for the whole store. Keys bound to a lease
    vanish when it lapses.
    """

    async def get(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""

    async def list(self, prefix: str) -> Listing | Rejected | Lost:
        """Read all keys below ``prefix`` as of one revision."""

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: str = ""
    ) -> Written | Conflict | Rejected | Lost:
        """Write ``key`` by compare-and-swap.

        :param expected: the entry's revision, 0 when it must not exist, or
            ``None`` to write without comparing.
        """

    async def delete(
        self, key: str, expected: int | None
    ) -> Written | Conflict | Rejected | Lost:
        """Delete ``key`` by compare-and-swap; ``expected`` as for :meth:`put`."""

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Open a lease."""

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease for its whole time."""

    async def revoke_lease(self, lease: str) -> Written | Lapsed | Rejected | Lost:
        """End a lease at once and delete its keys."""

    async def watch(
        self, prefix: str, revision: int, wait: timedelta
    ) -> Events | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one."""


# Instance list -----------------------------------------------------------------


class InstanceRole(StrEnum):
    """What an instance of the platform is for."""

    ENTRY = "entry"
    TARGET = "target"
    WORKER = "worker"


class InstanceState(StrEnum):
    """Whether an instance stays."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(NamedTuple):
    """An instance as the platform lists it; the list lags.

    :param address: IP and port, as in ``127.0.0.1:4000``.
    :param service: for a target, the service that it serves.
    :param slots: for a target, how many requests it bears at a time.
    :param connections: for a target, how many connections it bears.
    :param size: for a worker, what it holds.
    """

    name: str
    role: InstanceRole
    zone: str
    address: str
    state: InstanceState = InstanceState.LIVE
    rack: str = ""
    region: str = ""
    service: str = ""
    slots: int = 0
    connections: int = 0
    size: Size = Size()


@distinct
class Instances(NamedTuple):
    """The instance list as of some earlier time."""

    instances: tuple[Instance, ...]


class InstanceList(Protocol):
    """The platform's lagging list of instances."""

    async def list_instances(self) -> Instances | Rejected | Lost:
        """Read the whole list."""


# Workers -----------------------------------------------------------------------


class TaskState(StrEnum):
    """The state of a task on its worker."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class StartOrder(NamedTuple):
    """What a worker needs to start a task.

    :param task: the task's identifier, the same for each attempt.
    :param attempt: rises with each start of the task.
    :param lease: the worker stops the task when it isn't renewed for so long.
    :param checkpoint: reference to resume from, or an empty string.
    """

    task: str
    attempt: int
    size: Size
    lease: timedelta
    payload: bytes = b""
    checkpoint: str = ""


class TaskReport(NamedTuple):
    """What a worker says of one task.

    :param result: the task's result once it has ended.
    :param checkpoint: reference of its last checkpoint, or an empty string.
    """

    task: str
    attempt: int
    state: TaskState
    size: Size
    epoch: int
    result: bytes = b""
    checkpoint: str = ""


class Usage(NamedTuple):
    """Observed use of a task on a worker, ``lag`` old."""

    task: str
    size: Size
    lag: timedelta


@distinct
class Accepted(NamedTuple):
    """The worker did what it was told; ``report`` is the task after it."""

    report: TaskReport


@distinct
class Inventory(NamedTuple):
    """All tasks that a worker knows, ended ones until acknowledged.

    :param sequence: rises with each change; ask for changes after it.
    """

    tasks: tuple[TaskReport, ...]
    usage: tuple[Usage, ...]
    sequence: int


class WorkerPort(Protocol):
    """Workers run tasks under leases.

    Every call names the caller's epoch; a worker that checks epochs answers
    ``Rejected("stale_epoch")`` to one older than the highest it has seen.
    """

    async def start(
        self, worker: Instance, epoch: int, order: StartOrder
    ) -> Accepted | Rejected | Lost:
        """Start a task; repeating a call with the same attempt changes nothing."""

    async def stop(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Stop a task; stopping an ended one changes nothing."""

    async def checkpoint(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Save a task's progress and stop it."""

    async def throttle(
        self, worker: Instance, epoch: int, task: str, millicores: int
    ) -> Accepted | Rejected | Lost:
        """Bound a task's processors."""

    async def renew(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...], lease: timedelta
    ) -> Inventory | Rejected | Lost:
        """Renew the leases of all ``tasks`` at once; answer with the inventory."""

    async def read_inventory(
        self, worker: Instance, epoch: int
    ) -> Inventory | Rejected | Lost:
        """List all tasks and, by the epoch, fence off earlier owners."""

    async def follow(
        self, worker: Instance, epoch: int, after: int, wait: timedelta
    ) -> Inventory | Rejected | Lost:
        """Return tasks changed after ``after``, waiting up to ``wait`` for one."""

    async def acknowledge(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...]
    ) -> Inventory | Rejected | Lost:
        """Let the worker forget ended tasks."""


# Targets -----------------------------------------------------------------------


class TargetCall(NamedTuple):
    """A request as sent to a target.

    :param request: identifier of the caller's request.
    :param attempt: which attempt of it; an answer must name both.
    """

    request: str
    attempt: int
    body: bytes
    content_type: str = "application/json"


@distinct
class TargetAnswer(NamedTuple):
    """A target's whole answer.

    :param status: HTTP status; from 500 on, the request ran and failed.
    """

    request: str
    attempt: int
    status: int
    body: bytes
    content_type: str = "application/json"


class TargetPort(Protocol):
    """Targets answer requests in their slots."""

    async def send(
        self, target: Instance, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Send a request and wait for the whole answer.

        ``Rejected`` proves that the request did not run: nothing was sent, or
        the target refused it (``target_full``, ``target_leaving``).
        """

    async def probe(
        self, target: Instance, timeout: timedelta
    ) -> Written | Rejected | Lost:
        """Ask whether the target is alive, without taking a slot."""
