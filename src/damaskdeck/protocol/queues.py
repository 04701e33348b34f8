"""Queues of jobs, their steps and tasks, and the document that declares them."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from damaskdeck.protocol.clientaccounts import NO_ACCOUNTS, ClientAccounts
from damaskdeck.protocol.sizes import ZERO_SIZE, Size


class AdvisorTiming(NamedTuple):
    """Durations of calls to the advisor, for a queue that needs its consent.

    :param base: duration of a call without workers.
    :param per_worker: additional time for each worker in the call.
    :param ticket_validity: how long a ticket is accepted.
    """

    base: timedelta
    per_worker: timedelta
    ticket_validity: timedelta


class Queue(NamedTuple):
    """A queue of jobs with its policy.

    :param host: host of its requests, without a port.
    :param prefix: prefix of their paths, with its last slash.
    :param pool: the pool whose workers run its tasks.
    :param rank: 0 comes first and may displace others.
    :param attempts: number of failed attempts of a task after which its job fails.
    :param slack: the objective is this factor times the longest chain of work.
    :param allowance: added to the objective.
    :param advice: ``None`` where every worker of the pool may run every step.
    :param is_public: whether callers need no key.
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
    """The declared queues of one version of the document.

    The cost of a lookup doesn't depend on the number of queues.

    :ivar queues: all queues, as declared.
    :ivar pools: names of the declared pools of workers.
    :ivar body_limit: maximum size of a request's body in bytes.
    :ivar accounts: the accounts whose keys give access to queues that aren't public.
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
        # Of queues with the same name or prefix the first is used.
        self._queues_by_name = {queue.name: queue for queue in reversed(queues)}
        self._queues_by_prefix = {
            (queue.host, queue.prefix): queue for queue in reversed(queues)
        }
        lengths = {len(queue.prefix) for queue in queues}
        self._prefix_lengths = sorted(lengths, reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that ``path`` starts with."""
        prefixes = (path[:length] for length in self._prefix_lengths)
        found = (self._queues_by_prefix.get((host, prefix)) for prefix in prefixes)
        return next((queue for queue in found if queue is not None), None)

    def get(self, name: str) -> Queue | None:
        """Return the queue of that name."""
        return self._queues_by_name.get(name)


class StepSpec(NamedTuple):
    """One step of a job, with equal tasks.

    :param after: numbers of the steps that must have completed before.
    :param estimate: rough duration of a task, as estimated by the submitter.
    :param is_gang: all tasks run together under one attempt number.
    :param label: label that a worker must have, or an empty string.
    :param near: rack of the data, or an empty string.
    :param spread: maximum number of tasks on one worker; 0 for no limit.
    :param is_long_running: tasks run until the job is cancelled.
    :param image: tasks of the same image behave alike.
    :param max_missing: how many tasks of a long-running step the scheduler may have
        stopped at a time.
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
    """A job as submitted by a caller.

    :param payload: passed to each task unchanged.
    :param repeats: number of occurrences; 0 for a job that runs once.
    :param start_at: when the first occurrence is due, since 1970.
    :param interval: time between two occurrences.
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
    """Identifies a task.

    :param occurrence: 0 for a job that runs once.
    """

    job: str
    occurrence: int
    step: int
    index: int
