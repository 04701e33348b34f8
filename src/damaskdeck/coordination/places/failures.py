"""Distinguishes workers that fail every task from workloads that fail everywhere."""

from collections import Counter, OrderedDict
from datetime import timedelta
from typing import TypeVar

# A workload counts as failing once it has failed on this many workers without a
# success since.
FAILING_WORKER_LIMIT = 3
# A worker counts as failing once this many jobs have failed on it. Each success
# on the worker halves the count.
FAILED_JOB_LIMIT = 4
# How long a success of a workload on another worker counts as evidence against a
# worker on which it fails.
SUCCESS_MAX_AGE = timedelta(minutes=30)
_MAX_JOBS_PER_WORKER = 32
_MAX_WORKERS_PER_WORKLOAD = 16
_MAX_RECORDS = 4096

V = TypeVar("V")


class _WorkloadRecord:
    """The workers on which a workload failed or succeeded.

    :ivar failed_on: the workers on which it failed since its last success, each
        with whether any task has succeeded on the worker since.
    :ivar succeeded_on: the workers on which it succeeded, each with the monotonic
        time of the last success.
    """

    __slots__ = ("failed_on", "succeeded_on")

    def __init__(self) -> None:
        self.failed_on: OrderedDict[str, bool] = OrderedDict()
        self.succeeded_on: OrderedDict[str, timedelta] = OrderedDict()


class _WorkerRecord:
    """The jobs that failed on a worker, and their number by workload."""

    __slots__ = ("_jobs", "counts")

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, str] = OrderedDict()
        self.counts: Counter[str] = Counter()

    def add(self, job: str, workload: str) -> None:
        """Count a failed job once."""
        if job in self._jobs:
            self._jobs.move_to_end(job)
            return
        self._jobs[job] = workload
        self.counts[workload] += 1
        if len(self._jobs) > _MAX_JOBS_PER_WORKER:
            self._discard_oldest()

    def discard_older_half(self) -> bool:
        """Discard the older half; return whether no job is left."""
        for _ in range((len(self._jobs) + 1) // 2):
            self._discard_oldest()
        return not self._jobs

    def _discard_oldest(self) -> None:
        _, workload = self._jobs.popitem(last=False)
        self.counts[workload] -= 1
        if not self.counts[workload]:
            del self.counts[workload]


class FailureHistory:
    """Records which jobs failed on which workers, in bounded memory.

    A success on any worker clears the failures of its workload. It also discards
    the older half of the jobs that failed on its worker.
    """

    def __init__(self) -> None:
        self._workloads: OrderedDict[str, _WorkloadRecord] = OrderedDict()
        self._workers: OrderedDict[str, _WorkerRecord] = OrderedDict()

    def record_failure(self, worker: str, workload: str, job: str) -> None:
        """Record that a task of ``job`` failed on ``worker``."""
        failed_on = self._get_workload(workload).failed_on
        _move_to_end(failed_on, worker, failed_on.get(worker, False))
        _evict_oldest(failed_on, _MAX_WORKERS_PER_WORKLOAD)
        record = self._workers.get(worker) or _WorkerRecord()
        record.add(job, workload)
        _move_to_end(self._workers, worker, record)
        _evict_oldest(self._workers, _MAX_RECORDS)

    def record_success(self, worker: str, workload: str, now: timedelta) -> None:
        """Record that a task of ``workload`` succeeded on ``worker``."""
        record = self._get_workload(workload)
        record.failed_on.clear()
        _move_to_end(record.succeeded_on, worker, now)
        _evict_oldest(record.succeeded_on, _MAX_WORKERS_PER_WORKLOAD)
        failed = self._workers.get(worker)
        if failed is None:
            return
        for other in failed.counts:
            if other in self._workloads and worker in self._workloads[other].failed_on:
                self._workloads[other].failed_on[worker] = True
        if failed.discard_older_half():
            del self._workers[worker]

    def is_workload_failing(
        self, workload: str, suspects: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether a workload fails wherever it runs.

        Failures don't count on a worker that also fails other workloads and on which
        no task has succeeded since.

        :param suspects: workers whose failures are no evidence against a
            workload, for example those in quarantine.
        """
        record = self._workloads.get(workload)
        if record is None or len(record.failed_on) < FAILING_WORKER_LIMIT:
            return False
        evidence = (
            worker not in suspects
            and (has_succeeded or self._fails_only(worker, workload))
            for worker, has_succeeded in record.failed_on.items()
        )
        return sum(evidence) >= FAILING_WORKER_LIMIT

    def count_evidence(
        self, worker: str, now: timedelta, suspects: frozenset[str] = frozenset()
    ) -> int:
        """Return the number of failed jobs that are evidence against a worker.

        Jobs of a workload that fails everywhere don't count. If the workload is
        not known to succeed on other workers, its jobs count as one.
        """
        record = self._workers.get(worker)
        if record is None:
            return 0
        evidence = 0
        for workload, count in record.counts.items():
            if not self.is_workload_failing(workload, suspects):
                ran_elsewhere = self._ran_elsewhere(workload, worker, now)
                evidence += count if ran_elsewhere else 1
        return evidence

    def is_worker_failing(
        self, worker: str, now: timedelta, suspects: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether a worker fails every task that it starts."""
        return self.count_evidence(worker, now, suspects) >= FAILED_JOB_LIMIT

    def clear_worker(self, worker: str) -> None:
        """Remove the evidence against a worker."""
        self._workers.pop(worker, None)

    def _fails_only(self, worker: str, workload: str) -> bool:
        record = self._workers.get(worker)
        return record is None or record.counts.keys() <= {workload}

    def _ran_elsewhere(self, workload: str, worker: str, now: timedelta) -> bool:
        record = self._workloads.get(workload)
        if record is None:
            return False
        return any(
            other != worker and now - time <= SUCCESS_MAX_AGE
            for other, time in record.succeeded_on.items()
        )

    def _get_workload(self, workload: str) -> _WorkloadRecord:
        record = self._workloads.get(workload) or _WorkloadRecord()
        _move_to_end(self._workloads, workload, record)
        _evict_oldest(self._workloads, _MAX_RECORDS)
        return record


def _move_to_end(entries: OrderedDict[str, V], key: str, value: V) -> None:
    """Store ``value`` under ``key`` as the most recent entry."""
    entries[key] = value
    entries.move_to_end(key)


def _evict_oldest(entries: OrderedDict[str, V], limit: int) -> None:
    """Evict the oldest entries above ``limit``."""
    while len(entries) > limit:
        entries.popitem(last=False)
