"""The ports to the platform: store, instance list, workers and targets.

Each port has one adapter in :mod:`damaskdeck.transport` and one stand-in in
:mod:`standins`. Only the adapter knows the wire format. Calls never raise for
errors of the platform; they return one of the values below.
"""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, Protocol

from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.values import distinct

# The code of a call that wasn't sent, as it could not use the required connection.
OTHER_CONNECTION = "other_connection"
# The code of a call that is refused for what it contains; repeating it is no use.
INVALID_CALL = "invalid_call"


@distinct
class Rejected(NamedTuple):
    """The call is known to have had no effect.

    :param code: stable code, as in ``store_full`` or ``unreachable``.
    :param detail: text for people.
    """

    code: str
    detail: str = ""


@distinct
class Lost(NamedTuple):
    """The reply was lost; the call may have taken effect.

    :param code: stable code, as in ``timeout``.
    :param detail: text for people.
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
    """The key exists."""

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
    """The lease does not exist any more; its keys are gone."""

    lease: str


class Event(NamedTuple):
    """A change of a key; ``value`` is ``None`` when it was deleted."""

    key: str
    value: bytes | None
    revision: int


@distinct
class Events(NamedTuple):
    """Changes after the requested revision, in order; may be empty.

    :param revision: the revision for the next request.
    """

    events: tuple[Event, ...]
    revision: int


@distinct
class RevisionTooOld(NamedTuple):
    """The requested revision is no longer kept; list again."""

    oldest: int


class Store(Protocol):
    """The platform's key-value service with compare-and-swap.

    The store has one revision number that rises with each write. Keys bound to a
    lease are deleted when it expires.
    """

    async def get(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""

    async def list(self, prefix: str) -> Listing | Rejected | Lost:
        """Read all keys below ``prefix`` as of one revision."""

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: str = ""
    ) -> Written | Conflict | Rejected | Lost:
        """Write ``key`` by compare-and-swap.

        :param expected: the entry's revision, 0 when it must not exist, or ``None`` to
            write without comparing.
        """

    async def delete(
        self, key: str, expected: int | None
    ) -> Written | Conflict | Rejected | Lost:
        """Delete ``key`` by compare-and-swap; ``expected`` as for :meth:`put`."""

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Create a lease."""

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease for its full time."""

    async def revoke_lease(self, lease: str) -> Written | Lapsed | Rejected | Lost:
        """End a lease at once and delete its keys."""

    async def watch(
        self, prefix: str, revision: int, wait: timedelta
    ) -> Events | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one."""


# Instance list -----------------------------------------------------------------


class InstanceRole(StrEnum):
    """The purpose of an instance of the platform."""

    ENTRY = "entry"
    TARGET = "target"
    WORKER = "worker"


class InstanceState(StrEnum):
    """Whether an instance is live or leaving."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(NamedTuple):
    """An instance as the platform lists it; the list lags.

    :param address: IP address and port, as in ``127.0.0.1:4000``.
    :param service: for a target, the service that it serves.
    :param slots: for a target, its maximum number of concurrent requests.
    :param connections: for a target, its maximum number of connections.
    :param size: for a worker, its capacity.
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
    :param lease: the worker stops the task when the lease isn't renewed for this
        time.
    :param checkpoint: reference to resume from, or an empty string.
    :param incarnation: the incarnation of the worker that the order is meant for, an
        empty string if that is not known.
    """

    task: str
    attempt: int
    size: Size
    lease: timedelta
    payload: bytes = b""
    checkpoint: str = ""
    incarnation: str = ""


class TaskReport(NamedTuple):
    """A worker's report of one task.

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
    """Observed usage of a task on a worker, ``lag`` ago."""

    task: str
    size: Size
    lag: timedelta


@distinct
class Accepted(NamedTuple):
    """The worker did what was requested; ``report`` is the task afterwards."""

    report: TaskReport


@distinct
class Inventory(NamedTuple):
    """All tasks that a worker knows; ended ones are listed until acknowledged.

    :param sequence: rises with each change; :meth:`WorkerPort.follow` takes it.
    :param incarnation: changes whenever the worker restarts, and with that forgets its
        tasks and the epochs that it has seen.
    """

    tasks: tuple[TaskReport, ...]
    usage: tuple[Usage, ...]
    sequence: int
    incarnation: str = ""


class WorkerPort(Protocol):
    """Workers run tasks under leases.

    Every call names the caller's epoch. A worker that checks epochs answers
    ``Rejected("stale_epoch")`` to an epoch below the highest that it has seen.
    """

    async def start(
        self, worker: Instance, epoch: int, order: StartOrder
    ) -> Accepted | Rejected | Lost:
        """Start a task; repeating a call with the same attempt changes nothing.

        An order for another incarnation is answered with
        ``Rejected("stale_incarnation")``.
        """

    async def stop(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Stop a task; stopping an ended one changes nothing."""

    async def checkpoint(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Save the progress of a task and stop it."""

    async def throttle(
        self, worker: Instance, epoch: int, task: str, millicores: int
    ) -> Accepted | Rejected | Lost:
        """Limit the processors of a task."""

    async def renew(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...], lease: timedelta
    ) -> Inventory | Rejected | Lost:
        """Renew the leases of all ``tasks`` at once; return the inventory."""

    async def read_inventory(
        self, worker: Instance, epoch: int
    ) -> Inventory | Rejected | Lost:
        """List all tasks and, by the epoch, fence earlier owners."""

    async def follow(
        self, worker: Instance, epoch: int, after: int, wait: timedelta
    ) -> Inventory | Rejected | Lost:
        """Return tasks changed after ``after``, waiting up to ``wait`` for one."""

    async def acknowledge(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...]
    ) -> Inventory | Rejected | Lost:
        """Let the worker remove ended tasks."""


# Targets -----------------------------------------------------------------------


class TargetCall(NamedTuple):
    """A request as sent to a target.

    :param request: identifier of the caller's request.
    :param attempt: number of the attempt; an answer must name both.
    """

    request: str
    attempt: int
    body: bytes
    content_type: str = "application/json"


@distinct
class TargetAnswer(NamedTuple):
    """The complete answer of a target.

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
        """Send a request and wait for the complete answer.

        ``Rejected`` means that the request is known not to have run: nothing was sent,
        or the target refused it (``target_full``, ``target_leaving``).
        """

    async def probe(
        self, target: Instance, timeout: timedelta
    ) -> Written | Rejected | Lost:
        """Check whether the target is alive, without using a slot."""
