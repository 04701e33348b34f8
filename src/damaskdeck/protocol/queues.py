"""Queues of jobs, their steps and tasks, and the document that declares them."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from damaskdeck.protocol.clientaccounts import NO_ACCOUNTS, ClientAccounts
from damaskdeck.protocol.sizes import ZERO_SIZE, Size


class AdvisorTiming(NamedTuple):
    """What a call to the advisor costs on a queue that needs its consent.

    :param base: time of a call that names no worker.
    :param per_worker: more for each worker named.
    :param ticket_validity: how long a ticket is accepted.
    """

    base: timedelta
    per_worker: timedelta
    ticket_validity: timedelta


class Queue(NamedTuple):
    """A queue of jobs with its policy.

    :param host: of the requests that it takes, without a port.
    :param prefix: of their paths, with its last slash.
    :param pool: whose workers run its tasks.
    :param rank: 0 comes first and may displace others.
    :param attempts: a task that has failed so often fails its job.
    :param slack: the objective is this times the longest chain of work.
    :param allowance: added to the objective.
    :param advice: ``None`` where every worker of the pool may run every step.
    :param is_public: callers need no key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    rank: int
    attempts: int
    slack: float
    allowance: timedelta
    advice: AdvisorTiming | None = None
    is_public: bool = True


class QueueTable:
    """The declared queues, one document under one version.

    Calls and steps find their queue in steps that don't grow with the queues.

    :ivar queues: all of them, as declared.
    :ivar pools: names of the pools of workers that exist.
    :ivar body_limit: bytes of a request's body.
    :ivar accounts: whose keys open the queues that aren't public.
    """

    def __init__(
        self,
        version: int,
        queues: tuple[Queue, ...],
        pools: frozenset[str],
        body_limit: int,
        accounts: ClientAccounts = NO_ACCOUNTS,
    ) -> None:
        self.version = version
        self.queues = queues
        self.pools = pools
        self.body_limit = body_limit
        self.accounts = accounts
        # Of queues declared twice the first counts.
        self._names = {queue.name: queue for queue in reversed(queues)}
        self._places = {(queue.host, queue.prefix): queue for queue in reversed(queues)}
        lengths = {len(queue.prefix) for queue in queues}
        self._lengths = sorted(lengths, reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest that ``path`` starts with."""
        starts = (path[:length] for length in self._lengths)
        found = (self._places.get((host, start)) for start in starts)
        return next((queue for queue in found if queue is not None), None)

    def get(self, name: str) -> Queue | None:
        """Return the queue of that name."""
        return self._names.get(name)


class StepSpec(NamedTuple):
    """One step of a job: tasks that are alike.

    :param after: numbers of the steps that must have completed first.
    :param estimate: rough duration of a task as its submitter sees it.
    :param is_gang: all tasks run together under one attempt number.
    :param label: a worker must carry it, or an empty string.
    :param near: the rack where the data lies, or an empty string.
    :param spread: at most so many tasks on one worker; 0 sets no limit.
    :param is_long_running: tasks run until the job is cancelled.
    :param image: tasks of one image behave alike.
    :param max_missing: so many tasks of a lasting step may be away by our doing.
    """

    tasks: int
    size: Size = ZERO_SIZE
    estimate: timedelta = timedelta()
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_checkpointing: bool = False
    is_speculative: bool = False
    is_long_running: bool = False
    needs_one_rack: bool = False
    label: str = ""
    near: str = ""
    spread: int = 0
    image: str = ""
    max_missing: int = 0


class JobSpec(NamedTuple):
    """What a caller hands in.

    :param payload: given to each task as it is.
    :param repeats: how many occurrences run; 0 for a job that runs once.
    :param start_at: when the first occurrence is due, since 1970.
    :param interval: between two occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    start_at: timedelta = timedelta()
    interval: timedelta = timedelta()


class QueueJobState(StrEnum):
    """State of a job on a queue; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {QueueJobState.COMPLETED, QueueJobState.FAILED, QueueJobState.CANCELLED}
)


class TaskName(NamedTuple):
    """Names a task.

    :param occurrence: 0 for a job that runs once.
    """

    job: str
    occurrence: int
    step: int
    index: int
