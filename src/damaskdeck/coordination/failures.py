"""Tells workers that fail everything from workloads that fail everywhere."""

from collections import Counter, OrderedDict
from datetime import timedelta

# Workers on which a workload fails, with no success since, until it is blamed.
WORKLOAD_LIMIT = 3
# Jobs that fail on a worker, with no success since, until it is blamed.
JOB_LIMIT = 4
# How long a success of a workload on another worker is held against a worker.
SUCCESS_DURATION = timedelta(minutes=30)
_JOBS_KEPT = 32
_WORKERS_KEPT = 16
_RECORDS_KEPT = 4096


class _WorkloadRecord:
    """Where a workload failed since its last success, and where it ran well."""

    __slots__ = ("failed_on", "succeeded_on")

    def __init__(self) -> None:
        self.failed_on: OrderedDict[str, None] = OrderedDict()
        self.succeeded_on: OrderedDict[str, timedelta] = OrderedDict()


class Failures:
    """Remembers which jobs failed on which workers, in bounded memory.

    A success anywhere clears its workload; a success on a worker takes away
    half of what is held against that worker.
    """

    def __init__(self) -> None:
        self._workloads: OrderedDict[str, _WorkloadRecord] = OrderedDict()
        self._workers: OrderedDict[str, OrderedDict[str, str]] = OrderedDict()

    def note_failure(self, worker: str, workload: str, job: str) -> None:
        """Count that a task of ``job`` failed on ``worker``."""
        record = self._get_workload(workload)
        _touch(record.failed_on, worker, None, _WORKERS_KEPT)
        jobs = self._workers.setdefault(worker, OrderedDict())
        _touch(jobs, job, workload, _JOBS_KEPT)
        _touch(self._workers, worker, jobs, _RECORDS_KEPT)

    def note_success(self, worker: str, workload: str, now: timedelta) -> None:
        """Count that a task of ``workload`` ended well on ``worker``."""
        record = self._get_workload(workload)
        record.failed_on.clear()
        _touch(record.succeeded_on, worker, now, _WORKERS_KEPT)
        jobs = self._workers.get(worker)
        if jobs is None:
            return
        for _ in range((len(jobs) + 1) // 2):
            jobs.popitem(last=False)
        if not jobs:
            del self._workers[worker]

    def is_workload_failing(
        self, workload: str, doubted: frozenset[str] = frozenset()
    ) -> bool:
        """Tell whether a workload fails wherever it runs.

        Failures on a worker that fails other workloads too don't count.

        :param doubted: workers whose failures prove nothing, as those in
            quarantine.
        """
        record = self._workloads.get(workload)
        if record is None or len(record.failed_on) < WORKLOAD_LIMIT:
            return False
        proofs = (
            worker not in doubted and self._fails_only(worker, workload)
            for worker in record.failed_on
        )
        return sum(proofs) >= WORKLOAD_LIMIT

    def count_evidence(
        self, worker: str, now: timedelta, doubted: frozenset[str] = frozenset()
    ) -> int:
        """Count the failed jobs that speak against a worker.

        Jobs of a workload that fails everywhere don't count. Where it isn't
        known to run well on other workers, its jobs count as one.
        """
        jobs = Counter(self._workers.get(worker, {}).values())
        evidence = 0
        for workload, count in jobs.items():
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
        jobs = self._workers.get(worker, {})
        return all(other == workload for other in jobs.values())

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
        _touch(self._workloads, workload, record, _RECORDS_KEPT)
        return record


def _touch(memory: OrderedDict, key: str, value: object, limit: int) -> None:
    """Put ``key`` last and drop the first ones above ``limit``."""
    memory[key] = value
    memory.move_to_end(key)
    while len(memory) > limit:
        memory.popitem(last=False)
