"""A naive check of account usage, based on the runs on the workers."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits, subtract_sizes
from damaskdeck.state.jobrecords import JOBS_PREFIX, JobRecord, decode_job
from tests.poolcluster import BOUNDS, PoolCluster


def read_jobs(cluster: PoolCluster) -> dict[str, JobRecord]:
    """Return all jobs in the history of the store."""
    records = (
        decode_job(event.value)
        for event in cluster.store._history
        if event.key.startswith(JOBS_PREFIX) and event.value is not None
    )
    return {record.identifier: record for record in records}


def _find_quota(cluster: PoolCluster, account: str, at: timedelta) -> Size:
    """Return the highest quota that may have been in force."""
    since = at - BOUNDS.in_force
    declared = sorted(cluster.declared_at.items())
    possible = [v for v, when in declared if since < when <= at]
    before = [v for v, when in declared if when <= since]
    versions = possible + before[-1:]
    declared_accounts = (cluster.tables[v].accounts.get(account) for v in versions)
    quotas = [a.quota for a in declared_accounts if a is not None]
    return Size(*(max(sizes) for sizes in zip(*quotas, strict=True)))


def find_overuse(
    cluster: PoolCluster, find_size: Callable[[TaskName], tuple[str, Size]]
) -> list[str]:
    """Return the starts that raised the usage of an account above its quota.

    :param find_size: Returns the account and the size of a task.
    """
    events: list[tuple[timedelta, int, str, str, Size]] = []
    for worker in cluster.workers.values():
        worker.settle()
        spans = [
            (task, started, ended) for task, _, _, started, ended in worker.history
        ]
        spans += [(task, run.started_at, None) for task, run in worker.running.items()]
        for task, started, ended in spans:
            account, size = find_size(task)
            # A run that ends frees its capacity for one that starts at the same time.
            events.append((started, 1, account, str(task), size))
            if ended is not None:
                events.append((ended, 0, account, str(task), size))
    used: dict[str, Size] = {}
    violations = []
    for at, is_start, account, task, size in sorted(events):
        use = used.get(account, ZERO_SIZE)
        used[account] = (add_sizes if is_start else subtract_sizes)(use, size)
        if is_start and account:
            quota = _find_quota(cluster, account, at)
            if not fits(used[account], quota):
                violations.append(
                    f"{at} {account}: {task} brings {used[account]} > {quota}"
                )
    return violations
