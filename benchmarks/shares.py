"""Measures what the shares of client accounts add to ranking the pending steps.

Some hundred steps wait in a full pool, in which all accounts have running work. Before
each ranking one run ends and another starts, and one job changes, as in a pass.
"""

import itertools
import statistics
import time
from datetime import timedelta

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.ceilings import Ceilings
from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.coordination.pools.shares import AccountShares
from damaskdeck.protocol.clientaccounts import ClientAccount, ClientAccounts
from damaskdeck.protocol.queues import JobSpec, Queue, QueueTable, StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job

ACCOUNTS = (0, 20, 120)
STEPS = (0, 100, 400)
RANKINGS = 500
CAPACITY = Size(2_816_000, 11_264_000, 0)
TASK_SIZE = Size(2_000, 8_000, 0)
# Of each account; its jobs arrive at twice this rate.
WEIGHT = 2.0
QUEUE = Queue("quick", "a.example", "/quick/", "hub", 0, 3, 3.0, timedelta(seconds=9))


def run(quick: bool = False) -> dict:
    """Return microseconds of a ranking by number of accounts and steps."""
    rankings = RANKINGS // 10 if quick else RANKINGS
    return {
        f"{accounts} accounts": {
            f"{steps} steps": _measure(accounts, steps, rankings) for steps in STEPS
        }
        for accounts in ACCOUNTS
    }


class _Owner:
    """The part of a pool owner that the shares use."""

    def __init__(self, accounts: int) -> None:
        declared = (ClientAccount(f"a{n}", weight=WEIGHT) for n in range(accounts))
        self._table = QueueTable(1, (QUEUE,), frozenset(), 0, ClientAccounts(declared))
        self.account_limits = AccountLimits(self, Ceilings(lambda: None))

    def get_table(self) -> QueueTable:
        """Return the declared accounts."""
        return self._table


def _measure(accounts: int, steps: int, rankings: int) -> dict[str, float]:
    owner = _Owner(accounts)
    names = [f"a{number}" for number in range(max(accounts, 20))]
    quotas = owner.account_limits.quotas
    runs = itertools.cycle(names)
    for _ in range(CAPACITY.millicores // TASK_SIZE.millicores):
        quotas.charge(next(runs), TASK_SIZE)
    shares = AccountShares(owner)
    pending = PendingSteps(shares)
    quotas.set_capacity(CAPACITY)
    jobs = [
        _make_job(n, names[n % len(names)], n / WEIGHT / len(names) / 2)
        for n in range(steps)
    ]
    for job in jobs:
        shares.add_job(job)
        pending.mark_changed(job)
    pending.rank(0.0)
    costs = []
    for number in range(rankings):
        quotas.release(names[number % len(names)], TASK_SIZE)
        quotas.charge(names[(number + 1) % len(names)], TASK_SIZE)
        if jobs:
            pending.mark_changed(jobs[number % steps])
        began = time.perf_counter()
        pending.rank(number * 0.004)
        costs.append(1e6 * (time.perf_counter() - began))
    return {
        "median_us": round(statistics.median(costs), 1),
        "mean_us": round(statistics.mean(costs), 1),
    }


def _make_job(number: int, account: str, at: float) -> Job:
    spec = JobSpec("", (StepSpec(3, TASK_SIZE, timedelta(seconds=1)),))
    return Job(JobRecord(f"{number:016x}", QUEUE, spec, 1, at, (), account), at)
