"""Numbers of each client account, for whoever watches the owner."""

from collections import Counter
from collections.abc import Callable

from damaskdeck.coordination.pools.urgency import compute_objective
from damaskdeck.metrics import count_account_job, set_account
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.state.pooljobs import Job, JobIndex

# The state of accounts is told so often: what reads metrics comes every few seconds.
TELL_SECONDS = 1.0
# Accounts with a name of their own in the metrics, above the 120 of the target size;
# the others are told together, as each name lasts as long as the process.
NAMES_LIMIT = 200
OTHERS = "others"


class AccountMetrics:
    """Tells the waiting, running and ended jobs of accounts.

    :param job_index: the jobs of the owner.
    :param read_running: returns the millicores that run of an account.
    """

    def __init__(self, job_index: JobIndex, read_running: Callable[[str], int]) -> None:
        self._job_index = job_index
        self._read_running = read_running
        self._names: set[str] = set()
        self._told_at = float("-inf")

    def record_end(self, job: Job) -> None:
        """Count a job that has ended, late or not by its estimates."""
        if not job.record.account:
            return
        outcome = str(job.final)
        if job.final is QueueJobState.COMPLETED:
            took = job.final_at - job.arrived_at
            if took > compute_objective(job.queue, job.record.spec):
                outcome = "late"
        count_account_job(self._name(job.record.account), outcome)

    def publish(self, now: float) -> None:
        """Tell how much of each account waits and runs, once in a while."""
        if now - self._told_at < TELL_SECONDS:
            return
        self._told_at = now
        waiting: Counter[str] = Counter()
        for job in self._job_index.open_jobs.values():
            if job.record.account:
                waiting[job.record.account] += not job.has_started
        sums: dict[str, tuple[int, int]] = dict.fromkeys(self._names, (0, 0))
        for account, jobs in waiting.items():
            name = self._name(account)
            known = sums.get(name, (0, 0))
            running = self._read_running(account)
            sums[name] = known[0] + jobs, known[1] + running
        for name, (jobs, running) in sums.items():
            set_account(name, jobs, running)

    def _name(self, account: str) -> str:
        if account not in self._names and len(self._names) >= NAMES_LIMIT:
            return OTHERS
        self._names.add(account)
        return account
