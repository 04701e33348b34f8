"""A cluster of daemons with little processor time, and calls that cost some of it.

Each daemon runs one callback after the other, and each takes time. A call to a worker
or to the store takes a number of callbacks before it leaves and before its answer is
read, as those of an HTTP client do.
"""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from contextvars import Context
from datetime import timedelta
from typing import Any

from damaskdeck.delays import ReplyLimit
from damaskdeck.protocol.callresults import JobAccepted, JobNotAccepted
from damaskdeck.protocol.pools import EndKind
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import JobSpec, Queue, QueueJobState
from standins.loops import Processor
from standins.pools import WorkersClient
from standins.poolstore import PoolStoreClient
from tests.poolcluster import ClusterDaemon, PoolCluster

# Callbacks of an HTTP client until a request is written, and until its reply is read.
CALLBACKS_TO_SEND = 4
CALLBACKS_TO_READ = 6
# The limits of the adapter to the platform's workers.
ORDER_TIMEOUT = timedelta(milliseconds=300)
POLL_TIMEOUT_MARGIN = timedelta(milliseconds=350)


async def work(callbacks: int) -> None:
    """Use processor time of the calling daemon."""
    for _ in range(callbacks):
        await asyncio.sleep(0)


async def call_outside(call: Callable[..., Coroutine], *arguments: Any) -> Any:
    """Make a call whose other end costs the calling daemon no processor time."""
    await work(CALLBACKS_TO_SEND)
    task = asyncio.get_running_loop().create_task(call(*arguments), context=Context())
    try:
        answer = await task
    finally:
        task.cancel()
    await work(CALLBACKS_TO_READ)
    return answer


class CostlyStoreClient(PoolStoreClient):
    """A client of the store whose calls use processor time."""

    async def read(self, key):
        """Read one key."""
        return await call_outside(super().read, key)

    async def read_page(self, prefix, after):
        """Read a page of the entries below a prefix."""
        return await call_outside(super().read_page, prefix, after)

    async def commit(self, transaction, timeout=None, max_reply_bytes=None):
        """Commit a transaction."""
        return await call_outside(super().commit, transaction, timeout)

    async def watch(self, prefix, revision, wait, max_reply_bytes=None):
        """Return the changes below a prefix after a revision."""
        return await call_outside(super().watch, prefix, revision, wait)

    async def grant_lease(self, ttl):
        """Grant a lease."""
        return await call_outside(super().grant_lease, ttl)

    async def renew_lease(self, lease):
        """Renew a lease."""
        return await call_outside(super().renew_lease, lease)


class CostlyWorkersClient(WorkersClient):
    """A client of the workers whose calls use processor time and time out."""

    def __init__(self, workers, clock, delay) -> None:
        super().__init__(workers, clock)
        self._delay = delay

    async def _call(
        self, timeout: timedelta, call: Callable[..., Coroutine], *arguments: Any
    ) -> Any:
        try:
            async with ReplyLimit(timeout, self._delay):
                return await call_outside(call, *arguments)
        except TimeoutError:
            return Lost("timeout")

    async def start(self, worker, epoch, order):
        """Send an order to start a task."""
        return await self._call(ORDER_TIMEOUT, super().start, worker, epoch, order)

    async def stop(self, worker, epoch, task, attempt):
        """Send an order to stop a task."""
        call = super().stop
        return await self._call(ORDER_TIMEOUT, call, worker, epoch, task, attempt)

    async def poll(self, worker, epoch, observed, deadline, wait, connection=None):
        """Extend a worker's lease and list its tasks."""
        arguments = worker, epoch, observed, deadline, wait, connection
        return await self._call(wait + POLL_TIMEOUT_MARGIN, super().poll, *arguments)


class SaturableCluster(PoolCluster):
    """Daemons with little processor time.

    :param callback_time: how long a daemon needs for each callback.
    """

    def __init__(self, callback_time: timedelta, **options) -> None:
        self.processors: dict[str, Processor] = {}
        self._callback_time = callback_time
        self.refused: list[str] = []
        self.accepted_at: dict[str, timedelta] = {}
        super().__init__(**options)

    def build_context(self, name: str) -> contextvars.Context:
        """Return the context in which a daemon runs."""
        processor = self.processors[name] = Processor(self._callback_time)
        context = processor.build_context()
        self.switch.contexts[name] = context
        return context

    def connect_store(self, daemon: ClusterDaemon) -> PoolStoreClient:
        """Return a daemon's client of the store."""
        return CostlyStoreClient(self.store, daemon.clock)

    def connect_workers(self, daemon: ClusterDaemon) -> WorkersClient:
        """Return a daemon's client of the workers."""
        return CostlyWorkersClient(self.workers, daemon.clock, daemon.delay)

    async def start(self) -> None:
        """Start all daemons, and measure the delays of their loops."""
        for daemon in self.daemons.values():
            daemon._spawn(daemon.delay.run(daemon.clock, lambda: True))
        await super().start()

    async def offer(self, name: str, queue: Queue, job: str, spec: JobSpec) -> None:
        """Submit a job to a daemon, which may refuse it."""
        self.specs[job] = spec
        answer = await self.daemons[name].frontend.submit(queue, job, spec)
        if isinstance(answer, JobAccepted):
            self.accepted_at[job] = self.clock.monotonic()
        elif isinstance(answer, JobNotAccepted):
            self.refused.append(job)

    def find_completion(self, job: str) -> timedelta | None:
        """Return when the last task of a job ended, ``None`` if one hasn't."""
        ends = {}
        for worker in self.workers.values():
            worker.settle()
            for task, _, kind, _, ended_at in worker.history:
                if task.job == job and kind is EndKind.COMPLETED:
                    ends[task] = ended_at
        tasks = sum(step.tasks for step in self.specs[job].steps)
        return max(ends.values()) if len(ends) == tasks else None

    def is_completed(self, job: str) -> bool:
        """Whether the owner shows a job as completed."""
        owner = self.find_owner()
        found = owner.owner.job_index.jobs.get(job) if owner is not None else None
        return found is not None and found.visible_state is QueueJobState.COMPLETED
