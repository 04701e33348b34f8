"""The standing of client accounts, and the order of their waiting steps."""

from collections.abc import Iterable, Set
from typing import NamedTuple, Protocol

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.shares.levels import (
    UNLIMITED_LEVEL,
    Want,
    compute_levels,
    find_level,
    measure_want,
)
from damaskdeck.coordination.pools.shares.rates import DeclaredRates
from damaskdeck.coordination.pools.shares.reports import ShareReports
from damaskdeck.coordination.pools.shares.standings import (
    AccountStanding,
    Precedence,
)
from damaskdeck.coordination.pools.urgency import (
    Urgency,
    find_objective,
)
from damaskdeck.coordination.queues.fairness import FairShares
from damaskdeck.protocol.queues import QueueTable
from damaskdeck.protocol.sizes import (
    ZERO_SIZE,
    Size,
    add_sizes,
    fits,
    subtract_sizes,
)
from damaskdeck.state.pooljobs import Job, Step
from damaskdeck.state.quotas import scale_size

# Passes are at most about this far apart while the owner may decide. A longer pause is
# no wait for an account's share.
MAX_PASS_GAP_SECONDS = 0.25
# Added to the slack by which advisor queries are ordered, for deferred steps. No job
# has as much time, so that these queries are sent last.
DEFERRED_SLACK_SECONDS = 3600.0
# Shares are quotients of integers; an account at its share must not count as above it.
SHARE_MARGIN = 1 + 1e-9


class _Deferral:
    """How long a step has waited while its account was above its share.

    :ivar seconds: The time that it has waited.
    :ivar limit: The objective of its job in seconds, after which it isn't deferred.
    """

    __slots__ = ("limit", "seconds")

    def __init__(self, job: Job) -> None:
        self.seconds = 0.0
        self.limit = find_objective(job)


class _Measure(NamedTuple):
    """What an account wants, and the state of which that is true.

    :param share: Its weighted dominant share.
    """

    use: Size
    demand: Size
    quota: Size
    capacity: Size
    share: float
    want: Want | None


class SharesOwner(Protocol):
    """What shares need from the owner of the jobs."""

    account_limits: AccountLimits

    def get_table(self) -> QueueTable | None:
        """Return the declared queues and accounts in force."""


class AccountShares:
    """Ranks the steps of the accounts that the document in force declares.

    :ivar above_share: The accounts that are above their fair share while capacity is
        short, as of the current pass.
    """

    def __init__(self, owner: SharesOwner) -> None:
        self._owner = owner
        self._quotas = owner.account_limits.quotas
        self._fair_shares = FairShares(self._quotas)
        self._rates = DeclaredRates()
        self._demands: dict[str, Size] = {}
        self._total_demand = ZERO_SIZE
        # By job and step.
        self._deferrals: dict[str, dict[str, _Deferral]] = {}
        self._pass_at = float("-inf")
        self._elapsed = 0.0
        self._table: QueueTable | None = None
        # The weights of the declared accounts.
        self._weights: dict[str, float] = {}
        self._levels: tuple[float, ...] = (UNLIMITED_LEVEL,) * len(ZERO_SIZE)
        self._active_weight = 0.0
        self._measures: dict[str, _Measure] = {}
        self.above_share: frozenset[str] = frozenset()
        self._reports = ShareReports(self)

    @property
    def beyond_rate(self) -> Set[str]:
        """The open jobs that were accepted beyond the declared rate."""
        return self._rates.beyond

    # Jobs --------------------------------------------------------------------

    def add_job(self, job: Job) -> None:
        """Count an accepted job towards the rate of its account."""
        record = job.record
        if record.account:
            self._rates.add(
                record.account, job.identifier, record.accepted_at, not job.is_final
            )

    def update_demand(self, job: Job, waiting: Iterable[tuple[Step, int]]) -> None:
        """Record the tasks of a job that wait.

        :param waiting: The steps with the number of their waiting tasks.
        """
        account, identifier = job.record.account, job.identifier
        if not account:
            return
        before = self._demands.pop(identifier, ZERO_SIZE)
        demand = ZERO_SIZE
        deferrals = self._deferrals.pop(identifier, {})
        for step, tasks in waiting:
            demand = add_sizes(demand, scale_size(step.spec.size, tasks))
            if step.name in deferrals:
                kept = self._deferrals.setdefault(identifier, {})
                kept[step.name] = deferrals[step.name]
        if demand != ZERO_SIZE:
            self._demands[identifier] = demand
        if demand != before:
            change = subtract_sizes(demand, before)
            self._total_demand = add_sizes(self._total_demand, change)
            self._quotas.remove_demand(account, before)
            self._quotas.add_demand(account, demand)
        if job.is_final:
            self._rates.discard(identifier)

    def is_beyond_rate(self, job: Job) -> bool:
        """Whether a job was accepted beyond the declared rate of its account."""
        return job.identifier in self._rates.beyond

    def describe(self, job: Job) -> dict[str, object]:
        """Return the fields of a log line about a job that tell of its account."""
        account = job.record.account
        if not account:
            return {}
        return {"account": account, "beyond_rate": self.is_beyond_rate(job)}

    def report(self, steps: Iterable[Step], now: float) -> None:
        """Log the accounts that have gone above their share, or back.

        :param steps: The pending steps in their order.
        """
        self._reports.update(steps, now)

    # Standing ----------------------------------------------------------------

    def begin_pass(self, now: float) -> bool:
        """Update what the order depends on.

        :returns: Whether any accounts are declared. The order is that of urgency
            otherwise.
        """
        self._elapsed = min(now - self._pass_at, MAX_PASS_GAP_SECONDS)
        self._pass_at = now
        self._update_table()
        if not self._weights:
            self.above_share = frozenset()
            return False
        self._rates.judge()
        self._measure_levels()
        self.above_share = frozenset(self._list_above())
        return True

    def update_capacity(
        self, contacts: Iterable[WorkerContact], now: float, wall_time: float
    ) -> None:
        """Update the capacity of the pools, and drop old acceptances.

        Runs on workers that are not usable count towards the use of their accounts, so
        they count as capacity as well.

        :param wall_time: Seconds since 1970.
        """
        self._rates.fold(wall_time)
        self._update_table()
        if not self._weights:
            return
        millicores = memory = accelerators = 0
        for contact in contacts:
            size = contact.info.size if contact.is_usable(now) else contact.used
            millicores += size[0]
            memory += size[1]
            accelerators += size[2]
        capacity = Size(millicores, memory, accelerators)
        if capacity != self._quotas.capacity:
            self._quotas.set_capacity(capacity)
        self._active_weight = sum(
            weight
            for name, weight in self._weights.items()
            if self._quotas.read(name)[2:] != (ZERO_SIZE, ZERO_SIZE)
        )

    def defer(self, step: Step) -> bool:
        """Whether a step of an account above its share goes after other accounts.

        So that no step starves, it doesn't once it has waited for the length of its
        objective because of that share. The time since the last pass is counted, so
        this is called once in each pass.
        """
        job = step.job
        deferrals = self._deferrals.setdefault(job.identifier, {})
        deferral = deferrals.get(step.name)
        if deferral is None:
            deferral = deferrals[step.name] = _Deferral(job)
        if deferral.seconds >= deferral.limit:
            return False
        deferral.seconds += self._elapsed
        return True

    def find_precedence(self, step: Step, urgency: Urgency) -> Precedence:
        """Return the precedence of a step."""
        job = step.job
        is_above = job.record.account in self.above_share
        return Precedence(
            urgency.deadline_status,
            job.identifier in self._rates.beyond,
            urgency.rank,
            is_above and not self._is_starved(step),
        )

    def _is_starved(self, step: Step) -> bool:
        deferral = self._deferrals.get(step.job.identifier, {}).get(step.name)
        return deferral is not None and deferral.seconds >= deferral.limit

    def is_deferred(self, step: Step) -> bool:
        """Whether steps of other accounts precede a step for its rate or share."""
        job = step.job
        if job.identifier in self._rates.beyond:
            return True
        return job.record.account in self.above_share and not self._is_starved(step)

    def adjust_urgency(self, step: Step, urgency: Urgency) -> Urgency:
        """Return the urgency of an advisor query about a step.

        The advisor answers one call at a time for each daemon, so queries about steps
        that others precede must not delay queries about these others.
        """
        if not self.is_deferred(step):
            return urgency
        return urgency._replace(slack=urgency.slack + DEFERRED_SLACK_SECONDS)

    def measure_excess(self, step: Step) -> float:
        """Return how far the account of a step is above its fair share, 0 if it isn't.

        The measure is a part of the pools' capacity.
        """
        account = step.job.record.account
        if account not in self.above_share:
            return 0.0
        standing = self.find_standing(account)
        return max(0.0, standing.share - standing.fair_share)

    def find_standing(self, account: str) -> AccountStanding:
        """Return what a declared account has of the pools at present."""
        state = self._quotas.read(account)
        weight = state.weight
        share = self._fair_shares.compute_share(account) * weight
        own = weight / max(weight, self._active_weight)
        return AccountStanding(
            state.use,
            state.demand,
            share,
            self._find_level(account) * weight,
            max(0.0, share - own) if account in self._weights else 0.0,
        )

    def _find_level(self, account: str) -> float:
        """Return the weighted share above which an account has too much."""
        measure = self._measures.get(account)
        if measure is None or measure.want is None:
            return UNLIMITED_LEVEL
        return find_level(self._levels, measure.want)

    def _update_table(self) -> None:
        """Apply the accounts of a new document."""
        table = self._owner.get_table()
        if table is None or table is self._table:
            return
        self._table = table
        self._owner.account_limits.update_quotas()
        self._weights = {account.name: account.weight for account in table.accounts}
        self._rates.set_weights(self._weights)
        self._measures.clear()

    def _measure_levels(self) -> None:
        """Compute the levels from the use and the demand of all accounts."""
        capacity, use = self._quotas.capacity, self._quotas.use
        if fits(add_sizes(use, self._total_demand), capacity):
            self._levels = (UNLIMITED_LEVEL,) * len(capacity)
            return
        millicores, memory, accelerators = subtract_sizes(capacity, use)
        wants = []
        for name in self._weights:
            measure = self._measure(name, capacity)
            if measure.want is None:
                continue
            wants.append(measure.want)
            # Work without a declared account isn't limited by any share, so its use
            # remains subtracted.
            millicores += measure.use[0]
            memory += measure.use[1]
            accelerators += measure.use[2]
        free = Size(millicores, memory, accelerators)
        self._levels = compute_levels(wants, free, capacity)

    def _measure(self, account: str, capacity: Size) -> _Measure:
        """Return what an account wants, from the last measure if nothing has changed.

        Sizes are compared by identity, which is fast and only ever measures anew.
        """
        state = self._quotas.read(account)
        last = self._measures.get(account)
        if (
            last is not None
            and last.use is state.use
            and last.demand is state.demand
            and last.quota is state.quota
            and last.capacity is capacity
        ):
            return last
        measure = self._measures[account] = _Measure(
            state.use,
            state.demand,
            state.quota,
            capacity,
            self._fair_shares.compute_share(account),
            measure_want(state, capacity),
        )
        return measure

    def _list_above(self) -> Iterable[str]:
        """Yield the accounts above their share while capacity is short."""
        lowest = min(self._levels)
        if lowest == UNLIMITED_LEVEL:
            return
        first_used_up = self._levels.index(lowest)
        for name, (*_, share, want) in self._measures.items():
            if want is None or share <= lowest * SHARE_MARGIN:
                continue
            if want.size[first_used_up] or share > self._find_level(name):
                yield name
