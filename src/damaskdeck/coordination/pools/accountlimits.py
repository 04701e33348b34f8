"""Enforcement of the quotas of client accounts.

What counts against a quota is everything that may be running: confirmed runs, orders
without an answer, runs that are being stopped, speculative copies and, until its lease
has expired, all runs of a worker that doesn't answer. After a takeover that is more
than the owner knows about, because a worker that has not answered yet may run what the
previous owner ordered there.
"""

from collections.abc import Iterable
from typing import Protocol

from damaskdeck.coordination.pools.ceilings import Ceilings
from damaskdeck.coordination.pools.planning import count_fitting
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.clientaccounts import UNLIMITED_SIZE
from damaskdeck.protocol.queues import QueueTable
from damaskdeck.protocol.sizes import (
    ZERO_SIZE,
    Size,
    add_sizes,
    subtract_sizes,
)
from damaskdeck.state.pooljobs import Job, Run, Step
from damaskdeck.state.quotas import Quotas, scale_size, sum_sizes

# How long the estimate of unconfirmed usage is cached. A cached value is safe because
# the usage that it bounds only ever shrinks.
UNCONFIRMED_USAGE_MAX_AGE_SECONDS = 0.1
# The weight of accounts that declare none at all, as shares are divided by weights.
MIN_WEIGHT = 1e-6
# The interval at which an account that stays held back is logged again.
LOG_INTERVAL_SECONDS = 5.0

_log = get_logger("allowances")


class AccountLimitsOwner(Protocol):
    """What account limits need from the owner."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def get_table(self) -> QueueTable | None:
        """Return the declared queues and accounts in force."""

    def are_quotas_fresh(self) -> bool:
        """Whether the document in force is fresh enough to start tasks by."""

    def list_unreconciled(self) -> list[Size]:
        """List the sizes of the workers that may have unconfirmed runs."""

    def list_unconfirmed_jobs(self) -> Iterable[Job]:
        """List the jobs that may have unconfirmed runs on such workers."""


class AccountLimits:
    """Tracks the usage of accounts incrementally and limits what they start.

    :param owner: The owner of the jobs.
    :ivar ceilings: What accounts may have running under any owner.
    """

    def __init__(self, owner: AccountLimitsOwner, ceilings: Ceilings) -> None:
        self.ceilings = ceilings
        self._owner = owner
        # The known usage that was inherited from the previous owner, by account.
        self._inherited: dict[str, Size] = {}
        self._quotas = Quotas()
        self._unconfirmed: dict[str, Size] = {}
        self._unconfirmed_at = float("-inf")
        # When each account that is held back was last logged.
        self._logged_at: dict[str, float] = {}
        self._held_steps: dict[str, set[str]] = {}
        self._version = 0
        self._declared: set[str] = set()

    def charge(self, run: Run) -> None:
        """Count a run from the moment it is ordered."""
        step = run.task.step
        self._quotas.charge(step.job.record.account, step.spec.size)

    def release(self, run: Run) -> None:
        """Stop counting a run, as nothing of it can be running any more."""
        step = run.task.step
        self._quotas.release(step.job.record.account, step.spec.size)

    def record_inherited_run(self, run: Run) -> None:
        """Record a run that the previous owner ordered and counted."""
        step = run.task.step
        account = step.job.record.account
        inherited = self._inherited.get(account, ZERO_SIZE)
        self._inherited[account] = add_sizes(inherited, step.spec.size)

    @property
    def quotas(self) -> Quotas:
        """The usage, quotas and weights of the accounts."""
        return self._quotas

    def get_usage(self, account: str) -> Size:
        """Return the known usage of an account, without unconfirmed runs."""
        return self._quotas.read(account).use

    def count_startable(self, step: Step, wanted: int) -> int:
        """Return how many tasks of a step may start now.

        The result for a gang is either ``wanted`` or 0.
        """
        account = step.job.record.account
        if not account:
            return wanted
        self.update_quotas()
        if account not in self._declared:
            # An account that no known document has ever declared has no limit.
            return wanted
        state = self._quotas.read(account)
        if state.quota == UNLIMITED_SIZE:
            return wanted
        if not self._owner.are_quotas_fresh():
            self._hold_back(step, "quotas_not_sure")
            return 0
        used = add_sizes(state.use, self._get_unconfirmed(account))
        free = subtract_sizes(state.quota, used)
        startable = _count_fitting(step, wanted, free)
        if startable < wanted:
            self._hold_back(step, "quota")
        needed = add_sizes(used, scale_size(step.spec.size, startable))
        now = self._owner.now()
        limit = self.ceilings.limit(account, state.quota, needed, now)
        startable = _count_fitting(step, startable, subtract_sizes(limit, used))
        return 0 if step.spec.is_gang and startable < wanted else startable

    def update_quotas(self) -> None:
        """Apply the quotas of the document in force.

        An account that is no longer declared keeps its last quota, so that its
        accepted jobs continue as before.
        """
        table = self._owner.get_table()
        if table is None or table.version == self._version:
            return
        self._version = table.version
        for account in table.accounts:
            self._declared.add(account.name)
            weight = max(account.weight, MIN_WEIGHT)
            self._quotas.set_quota(account.name, account.quota, weight)

    def sweep(self) -> None:
        """Lower the ceilings of the accounts that use less."""
        self.update_quotas()
        if not self._declared or self._owner.list_unreconciled():
            return
        now = self._owner.now()
        for account in self._declared:
            state = self._quotas.read(account)
            if state.quota != UNLIMITED_SIZE:
                self.ceilings.lower_to(account, state.quota, state.use, now)

    # Unconfirmed usage -------------------------------------------------------

    def _get_unconfirmed(self, account: str) -> Size:
        """Return an upper bound of the usage of an account by unconfirmed runs."""
        now = self._owner.now()
        if now - self._unconfirmed_at >= UNCONFIRMED_USAGE_MAX_AGE_SECONDS:
            self._unconfirmed_at = now
            self._unconfirmed = self._measure_unconfirmed()
        return self._unconfirmed.get(account, ZERO_SIZE)

    def _measure_unconfirmed(self) -> dict[str, Size]:
        sizes = self._owner.list_unreconciled()
        if not sizes:
            return {}
        capacity = sum_sizes(sizes)
        unconfirmed: dict[str, Size] = {}
        for job in self._owner.list_unconfirmed_jobs():
            account = job.record.account
            total = add_sizes(
                unconfirmed.get(account, ZERO_SIZE), job.measure_unknown_use()
            )
            unconfirmed[account] = total
        return {
            account: Size(*map(min, size, capacity, self._measure_missing(account)))
            for account, size in unconfirmed.items()
        }

    def _measure_missing(self, account: str) -> Size:
        """Return an upper bound of the previous owner's runs that are not known here.

        The previous owner can't have learned of the end of a run that was found here.
        So while it orders anything it still counts these runs, and all of its runs
        stay below its ceiling.
        """
        ceiling = self.ceilings.find_inherited(account)
        if ceiling is None:
            return UNLIMITED_SIZE
        inherited = self._inherited.get(account, ZERO_SIZE)
        return Size(
            *(
                max(0, most - seen)
                for most, seen in zip(ceiling, inherited, strict=True)
            )
        )

    # Logging -----------------------------------------------------------------

    def _hold_back(self, step: Step, code: str) -> None:
        account, now = step.job.record.account, self._owner.now()
        steps = self._held_steps.setdefault(account, set())
        steps.add(step.name)
        logged_at = self._logged_at.get(account)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[account] = now
        _log.info(
            "An account is held back.",
            id=step.job.identifier,
            account=account,
            code=code,
            step=step.number,
            steps=len(steps),
            use=list(self.get_usage(account)),
            unknown=list(self._unconfirmed.get(account, ZERO_SIZE)),
            quota=list(self._quotas.read(account).quota),
            version=self._version,
        )
        count_refusal("allowances", code, len(steps))
        steps.clear()


def _count_fitting(step: Step, wanted: int, free: Size) -> int:
    """Return how many of the wanted tasks fit into the free part of a quota."""
    spec = step.spec
    if spec.spread:
        # The spread limits the tasks on one worker, not those of an account.
        spec = spec._replace(spread=0)
    return max(0, min(wanted, count_fitting(spec, free)))
