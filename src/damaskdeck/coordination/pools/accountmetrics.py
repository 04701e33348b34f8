"""Metrics of each client account, published by the owner."""

from collections import Counter
from collections.abc import Callable, Iterable

from damaskdeck.coordination.pools.shares import AccountShares
from damaskdeck.coordination.pools.urgency import compute_objective
from damaskdeck.metrics import count_account_job, set_account, set_account_share
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.state.pooljobs import Job, JobIndex

# Scrapers read metrics every few seconds.
PUBLISH_INTERVAL_SECONDS = 1.0
# The number of accounts with their own label value, above the 120 accounts of the
# target size. The rest share one value, because a label value is kept until the
# process ends.
MAX_ACCOUNT_LABELS = 200
OTHERS_LABEL = "others"


class AccountMetrics:
    """Publishes the waiting, running and ended jobs of each client account.

    :param job_index: The jobs of the owner.
    :param read_running: Returns the millicores that count as used by an account.
    :param get_shares: Returns the accounts' shares; ``None`` if there are none.
    """

    def __init__(
        self,
        job_index: JobIndex,
        read_running: Callable[[str], int],
        get_shares: Callable[[], AccountShares | None] = lambda: None,
    ) -> None:
        self._job_index = job_index
        self._read_running = read_running
        self._get_shares = get_shares
        self._labels: set[str] = set()
        self._published_at = float("-inf")

    def record_end(self, job: Job) -> None:
        """Count a job that has ended.

        A completed job that took longer than its objective counts as late.
        """
        if not job.record.account:
            return
        outcome = str(job.final)
        if job.final is QueueJobState.COMPLETED:
            duration = job.final_at - job.arrived_at
            if duration > compute_objective(job.queue, job.record.spec):
                outcome = "late"
        count_account_job(self._get_label(job.record.account), outcome)

    def publish(self, now: float) -> None:
        """Publish what waits and runs of each account, at most once per interval.

        :param now: The monotonic time in seconds.
        """
        if now - self._published_at < PUBLISH_INTERVAL_SECONDS:
            return
        self._published_at = now
        waiting: Counter[str] = Counter()
        for job in self._job_index.open_jobs.values():
            if job.record.account:
                waiting[job.record.account] += not job.has_started
        totals: dict[str, tuple[int, int]] = dict.fromkeys(self._labels, (0, 0))
        for account, jobs in waiting.items():
            label = self._get_label(account)
            total = totals.get(label, (0, 0))
            running = self._read_running(account)
            totals[label] = total[0] + jobs, total[1] + running
        for label, (jobs, running) in totals.items():
            set_account(label, jobs, running)
        shares = self._get_shares()
        if shares is not None:
            self._publish_shares(shares, waiting)

    def _publish_shares(self, shares: AccountShares, accounts: Iterable[str]) -> None:
        """Publish the share of each account.

        :param accounts: The accounts with open jobs.
        """
        beyond = Counter(
            job.record.account
            for job in self._job_index.open_jobs.values()
            if shares.is_beyond_rate(job)
        )
        totals = dict.fromkeys(self._labels, (0.0, 0.0, 0))
        for account in accounts:
            label, standing = self._get_label(account), shares.find_standing(account)
            share, borrowed, jobs = totals.get(label, (0.0, 0.0, 0))
            totals[label] = (
                share + standing.share,
                borrowed + standing.borrowed,
                jobs + beyond[account],
            )
        for label, (share, borrowed, jobs) in totals.items():
            set_account_share(label, share, borrowed, jobs)

    def _get_label(self, account: str) -> str:
        if account not in self._labels and len(self._labels) >= MAX_ACCOUNT_LABELS:
            return OTHERS_LABEL
        self._labels.add(account)
        return account
