"""What client accounts may still start: quotas against all that may run of theirs.

Counted as running is what runs, what was ordered without an answer, what is being
stopped, copies, and on a worker that doesn't answer all until its lease is over. After
a takeover that is more than is known: a worker that has not answered yet may run what
the owner before has ordered there.
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

# What is unknown of workers that have not answered is counted anew after so long; in
# between it is taken for what it was, and it only ever gets less.
UNKNOWN_SECONDS = 0.1
# How long an account must have been held back to be told of again.
TELL_SECONDS = 5.0

_log = get_logger("allowances")


class AllowanceOwner(Protocol):
    """What allowances ask of the owner."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def get_table(self) -> QueueTable | None:
        """Return the declared queues and accounts in force."""

    def are_quotas_fresh(self) -> bool:
        """Whether the document in force is fresh enough to start work by it."""

    def list_unreconciled(self) -> list[Size]:
        """List the sizes of the workers that may run what isn't known."""

    def list_unconfirmed_jobs(self) -> Iterable[Job]:
        """List the jobs that may run on such workers without our knowing."""


class AccountLimits:
    """Counts what accounts use, by change, and judges what they may start.

    :param owner: of the jobs.
    :ivar ceilings: what accounts may have running under any owner.
    """

    def __init__(self, owner: AllowanceOwner, ceilings: Ceilings) -> None:
        self.ceilings = ceilings
        self._owner = owner
        # What the owner before had running where that is known, by account.
        self._found: dict[str, Size] = {}
        self._quotas = Quotas()
        self._unknown: dict[str, Size] = {}
        self._unknown_at = float("-inf")
        # The accounts that are held back, with when that was last told.
        self._held: dict[str, float] = {}
        self._steps: dict[str, set[str]] = {}
        self._version = 0
        self._declared: set[str] = set()

    def charge(self, run: Run) -> None:
        """Count a run from when it is ordered."""
        step = run.task.step
        self._quotas.charge(step.job.record.account, step.spec.size)

    def release(self, run: Run) -> None:
        """Count a run no longer, as nothing of it can run any more."""
        step = run.task.step
        self._quotas.release(step.job.record.account, step.spec.size)

    def record_inherited_run(self, run: Run) -> None:
        """Take note of a run that the owner before had ordered and counted."""
        step = run.task.step
        account = step.job.record.account
        found = self._found.get(account, ZERO_SIZE)
        self._found[account] = add_sizes(found, step.spec.size)

    def get_usage(self, account: str) -> Size:
        """Return what is counted as running of an account, the unknown aside."""
        return self._quotas.read(account).use

    def count_startable(self, step: Step, wanted: int) -> int:
        """Return how many tasks of a step may start now; of a gang all or none."""
        account = step.job.record.account
        if not account:
            return wanted
        self._take_quotas()
        if account not in self._declared:
            # Nothing limits what no document that is known here ever named.
            return wanted
        state = self._quotas.read(account)
        if state.quota == UNLIMITED_SIZE:
            return wanted
        if not self._owner.are_quotas_fresh():
            self._hold(step, "quotas_not_sure")
            return 0
        used = add_sizes(state.use, self._measure_unknown(account))
        left = subtract_sizes(state.quota, used)
        startable = _count_fitting(step, wanted, left)
        if startable < wanted:
            self._hold(step, "quota")
        needed = add_sizes(used, scale_size(step.spec.size, startable))
        now = self._owner.now()
        limit = self.ceilings.limit(account, state.quota, needed, now)
        startable = _count_fitting(step, startable, subtract_sizes(limit, used))
        return 0 if step.spec.is_gang and startable < wanted else startable

    def _take_quotas(self) -> None:
        """Take the quotas of the document in force.

        An account that is no longer declared keeps its last quota: what was accepted
        of it goes on as before.
        """
        table = self._owner.get_table()
        if table is None or table.version == self._version:
            return
        self._version = table.version
        for account in table.accounts:
            self._declared.add(account.name)
            self._quotas.set_quota(account.name, account.quota, account.weight)

    def sweep(self) -> None:
        """Lower the ceilings of accounts that are seen to use less."""
        self._take_quotas()
        if not self._declared or self._owner.list_unreconciled():
            return
        now = self._owner.now()
        for account in self._declared:
            state = self._quotas.read(account)
            if state.quota != UNLIMITED_SIZE:
                self.ceilings.lower_to(account, state.quota, state.use, now)

    # What isn't known --------------------------------------------------------

    def _measure_unknown(self, account: str) -> Size:
        """Return at most what may run of an account without our knowing."""
        now = self._owner.now()
        if now - self._unknown_at >= UNKNOWN_SECONDS:
            self._unknown_at = now
            self._unknown = self._count_unknown()
        return self._unknown.get(account, ZERO_SIZE)

    def _count_unknown(self) -> dict[str, Size]:
        sizes = self._owner.list_unreconciled()
        if not sizes:
            return {}
        room = sum_sizes(sizes)
        unknown: dict[str, Size] = {}
        for job in self._owner.list_unconfirmed_jobs():
            account = job.record.account
            more = add_sizes(unknown.get(account, ZERO_SIZE), _measure_unseen(job))
            unknown[account] = more
        return {
            account: Size(*map(min, size, room, self._measure_rest(account)))
            for account, size in unknown.items()
        }

    def _measure_rest(self, account: str) -> Size:
        """Return at most what the owner before had running where that isn't known.

        Of its runs that were found it can't have learnt an end since: it counts them,
        below its ceiling, for as long as it orders anything.
        """
        ceiling = self.ceilings.find_inherited(account)
        if ceiling is None:
            return UNLIMITED_SIZE
        found = self._found.get(account, ZERO_SIZE)
        return Size(
            *(max(0, most - seen) for most, seen in zip(ceiling, found, strict=True))
        )

    # Telling -----------------------------------------------------------------

    def _hold(self, step: Step, code: str) -> None:
        account, now = step.job.record.account, self._owner.now()
        steps = self._steps.setdefault(account, set())
        steps.add(step.name)
        told_at = self._held.get(account)
        if told_at is not None and now - told_at < TELL_SECONDS:
            return
        self._held[account] = now
        _log.info(
            "An account is held back.",
            id=step.job.identifier,
            account=account,
            code=code,
            step=step.number,
            steps=len(steps),
            use=list(self.get_usage(account)),
            unknown=list(self._unknown.get(account, ZERO_SIZE)),
            quota=list(self._quotas.read(account).quota),
            version=self._version,
        )
        count_refusal("allowances", code, len(steps))
        steps.clear()


def _count_fitting(step: Step, wanted: int, left: Size) -> int:
    """Return how many of so many tasks fit into what is left of a quota."""
    spec = step.spec
    if spec.spread:
        # That limit counts for one worker alone.
        spec = spec._replace(spread=0)
    return max(0, min(wanted, count_fitting(spec, left)))


def _measure_unseen(job: Job) -> Size:
    """Return the size of all runs that a job may have beside those that are known."""
    return sum_sizes(
        # A copy of a task that has completed may still run.
        _measure_unseen_runs(step, 2 if step.spec.is_speculative else 1)
        for step in job.list_steps()
    )


def _measure_unseen_runs(step: Step, most: int) -> Size:
    """Return the size of the runs of a step that aren't known, if tasks have most."""
    runs = sum(max(0, most - task.is_completed - len(task.runs)) for task in step.tasks)
    return scale_size(step.spec.size, runs)
