"""Tells workers that fail everything from workloads that fail everywhere."""

from collections import Counter, OrderedDict
from datetime import timedelta
from typing import TypeVar

# Workers on which a workload fails, with no success since, until it is blamed.
WORKLOAD_LIMIT = 3
# Jobs that fail on a worker, with no success since, until it is blamed.
JOB_LIMIT = 4
# How long a success of a workload on another worker is held against a worker.
SUCCESS_DURATION = timedelta(minutes=30)
_JOBS_KEPT = 32
_WORKERS_KEPT = 16
_RECORDS_KEPT = 4096

V = TypeVar("V")


class _WorkloadRecord:
    """Where a workload failed since its last success, and where it ran well.

    ``failed_on`` tells of each worker whether it ran something well since.
    """

    __slots__ = ("failed_on", "succeeded_on")

    def __init__(self) -> None:
        self.failed_on: OrderedDict[str, bool] = OrderedDict()
        self.succeeded_on: OrderedDict[str, timedelta] = OrderedDict()


class _WorkerRecord:
    """The jobs that failed on a worker, and how many of each workload."""

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
        if len(self._jobs) > _JOBS_KEPT:
            self._drop_first()

    def halve(self) -> bool:
        """Forget the older half; returns whether nothing is left."""
        for _ in range((len(self._jobs) + 1) // 2):
            self._drop_first()
        return not self._jobs

    def _drop_first(self) -> None:
        _, workload = self._jobs.popitem(last=False)
        self.counts[workload] -= 1
        if not self.counts[workload]:
            del self.counts[workload]


class FailureHistory:
    """Remembers which jobs failed on which workers, in bounded memory.

    A success anywhere clears its workload; a success on a worker takes away
    half of what is held against that worker.
    """

    def __init__(self) -> None:
        self._workloads: OrderedDict[str, _WorkloadRecord] = OrderedDict()
        self._workers: OrderedDict[str, _WorkerRecord] = OrderedDict()

    def note_failure(self, worker: str, workload: str, job: str) -> None:
        """Count that a task of ``job`` failed on ``worker``."""
        failed_on = self._get_workload(workload).failed_on
        _touch(failed_on, worker, failed_on.get(worker, False))
        _trim(failed_on, _WORKERS_KEPT)
        record = self._workers.get(worker) or _WorkerRecord()
        record.add(job, workload)
        _touch(self._workers, worker, record)
        _trim(self._workers, _RECORDS_KEPT)

    def note_success(self, worker: str, workload: str, now: timedelta) -> None:
        """Count that a task of ``workload`` ended well on ``worker``."""
        record = self._get_workload(workload)
        record.failed_on.clear()
        _touch(record.succeeded_on, worker, now)
        _trim(record.succeeded_on, _WORKERS_KEPT)
        failed = self._workers.get(worker)
        if failed is None:
            return
        for other in failed.counts:
            if other in self._workloads and worker in self._workloads[other].failed_on:
                self._workloads[other].failed_on[worker] = True
        if failed.halve():
            del self._workers[worker]

    def is_workload_failing(
        self, workload: str, doubted: frozenset[str] = frozenset()
    ) -> bool:
        """Tell whether a workload fails wherever it runs.

        Failures on a worker that fails other workloads too, and ran nothing well
        since, don't count.

        :param doubted: workers whose failures prove nothing, as those in
            quarantine.
        """
        record = self._workloads.get(workload)
        if record is None or len(record.failed_on) < WORKLOAD_LIMIT:
            return False
        proofs = (
            worker not in doubted and (is_proved or self._fails_only(worker, workload))
            for worker, is_proved in record.failed_on.items()
        )
        return sum(proofs) >= WORKLOAD_LIMIT

    def count_evidence(
        self, worker: str, now: timedelta, doubted: frozenset[str] = frozenset()
    ) -> int:
        """Count the failed jobs that speak against a worker.

        Jobs of a workload that fails everywhere don't count. Where it isn't
        known to run well on other workers, its jobs count as one.
        """
        record = self._workers.get(worker)
        if record is None:
            return 0
        evidence = 0
        for workload, count in record.counts.items():
            if not self.is_workload_failing(workload, doubted):
                proved = self._ran_elsewhere(workload, worker, now)
                evidence += count if proved else 1
        return evidence

    def is_worker_failing(
        self, worker: str, now: timedelta, doubted: frozenset[str] = frozenset()
    ) -> bool:
        """Tell whether a worker fails whatever it starts."""
        return self.count_evidence(worker, now, doubted) >= JOB_LIMIT

    def forget_worker(self, worker: str) -> None:
        """Forget what is held against a worker."""
        self._workers.pop(worker, None)

    def _fails_only(self, worker: str, workload: str) -> bool:
        record = self._workers.get(worker)
        return record is None or record.counts.keys() <= {workload}

    def _ran_elsewhere(self, workload: str, worker: str, now: timedelta) -> bool:
        record = self._workloads.get(workload)
        if record is None:
            return False
        return any(
            other != worker and now - time <= SUCCESS_DURATION
            for other, time in record.succeeded_on.items()
        )

    def _get_workload(self, workload: str) -> _WorkloadRecord:
        record = self._workloads.get(workload) or _WorkloadRecord()
        _touch(self._workloads, workload, record)
        _trim(self._workloads, _RECORDS_KEPT)
        return record


def _touch(memory: OrderedDict[str, V], key: str, value: V) -> None:
    """Put ``key`` last."""
    memory[key] = value
    memory.move_to_end(key)


def _trim(memory: OrderedDict[str, V], limit: int) -> None:
    """Drop the first ones above ``limit``."""
    while len(memory) > limit:
        memory.popitem(last=False)
