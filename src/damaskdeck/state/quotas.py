"""Quotas of teams: exact usage, borrowing of idle quota and its preemption.

The owner of a ledger decides about the quotas of the teams of this ledger;
nothing is lent between ledgers. The pools' owner counts client accounts by the
same rules, but lends nothing.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.errors import InvariantError
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits, subtract_sizes

DIMENSIONS = range(len(Size._fields))
# Classes with a rank below this may preempt less urgent tasks, so the less urgent
# usage of their own team doesn't count against them. For the other classes all usage
# counts.
PREEMPTING_RANKS = 2


class Borrower(NamedTuple):
    """A team that uses more than its quota.

    :param excess: its usage above its quota, by dimension.
    """

    team: str
    excess: Size


class TeamState(NamedTuple):
    """The quota and usage of a team.

    :param use: what the team uses.
    :param demand: the demand of its waiting work.
    """

    quota: Size
    weight: float
    use: Size
    demand: Size


class _TeamRecord:
    """The mutable record behind :class:`TeamState`.

    :ivar claim: the part of the demand that the quota still allows.
    :ivar usage_sums: for each rank, the usage that counts against its jobs: that of
        this rank and of more urgent ones. The last item counts everything and
        applies to all further ranks.
    :ivar demand_sums: the same sums for the demand of waiting work.
    """

    __slots__ = ("claim", "demand_sums", "quota", "usage_sums", "weight")

    def __init__(self) -> None:
        self.quota = ZERO_SIZE
        self.weight = 1.0
        self.usage_sums = [ZERO_SIZE] * (PREEMPTING_RANKS + 1)
        self.demand_sums = [ZERO_SIZE] * (PREEMPTING_RANKS + 1)
        self.claim = ZERO_SIZE

    @property
    def use(self) -> Size:
        """All that the team uses."""
        return self.usage_sums[-1]


class Quotas:
    """Counts the usage of teams and decides which team may use more.

    A team may always use its quota. Above it, it borrows idle capacity that no
    other team claims. The claim of a team is the part of its waiting demand that
    its quota still allows. Usage is counted for each class by rank, 0 being the
    most urgent: for urgent work only its own class counts, for high work these two
    classes, for the rest all usage of the team.

    :param capacity: total capacity of the instances under this ledger.
    """

    def __init__(self, capacity: Size = ZERO_SIZE) -> None:
        self._capacity = capacity
        self._teams: dict[str, _TeamRecord] = {}
        self._use = ZERO_SIZE
        self._claims = ZERO_SIZE

    @property
    def capacity(self) -> Size:
        """Total capacity of all instances."""
        return self._capacity

    @property
    def use(self) -> Size:
        """Total usage of all teams."""
        return self._use

    @property
    def claims(self) -> Size:
        """Total that the teams may still claim of their quotas."""
        return self._claims

    def set_capacity(self, capacity: Size) -> None:
        """Update the capacity after instances were added or removed."""
        self._capacity = capacity

    def set_quota(self, team: str, quota: Size, weight: float = 1.0) -> None:
        """Set the quota of a team; a lower quota alone never stops running work.

        :param weight: its share of idle capacity, relative to the other teams.
        """
        record = self._get(team)
        record.quota = quota
        record.weight = weight
        self._update_claim(record)

    def remove_quota(self, team: str) -> None:
        """Remove the quota of a team; what it still uses counts as borrowed."""
        self.set_quota(team, ZERO_SIZE)

    def read(self, team: str) -> TeamState:
        """Return the quota, usage and demand of a team."""
        record = self._teams.get(team)
        if record is None:
            return TeamState(ZERO_SIZE, 1.0, ZERO_SIZE, ZERO_SIZE)
        return TeamState(
            record.quota, record.weight, record.use, record.demand_sums[-1]
        )

    def get_usage(self, team: str) -> tuple[Size, float]:
        """Return the usage of a team, and its weight."""
        record = self._get(team)
        return record.use, record.weight

    def list_teams(self) -> tuple[str, ...]:
        """List all known teams in order of name."""
        return tuple(sorted(self._teams))

    def charge(self, team: str, size: Size, rank: int = PREEMPTING_RANKS) -> None:
        """Count ``size`` as used by ``team``.

        :param rank: rank of the work's class; 0 is the most urgent.
        """
        record = self._get(team)
        _add_to_sums(record.usage_sums, size, rank)
        self._use = add_sizes(self._use, size)
        self._update_claim(record)

    def release(self, team: str, size: Size, rank: int = PREEMPTING_RANKS) -> None:
        """Count ``size`` as no longer used.

        :param rank: the rank for which it was charged.
        :raises InvariantError: when more is released than was charged.
        """
        record = self._get(team)
        _subtract_from_sums(record.usage_sums, size, rank, team)
        self._use = subtract_sizes(self._use, size)
        self._update_claim(record)

    def add_demand(self, team: str, size: Size, rank: int = PREEMPTING_RANKS) -> None:
        """Count ``size`` as demanded by waiting work of ``team``."""
        record = self._get(team)
        _add_to_sums(record.demand_sums, size, rank)
        self._update_claim(record)

    def remove_demand(
        self, team: str, size: Size, rank: int = PREEMPTING_RANKS
    ) -> None:
        """Count ``size`` as no longer demanded.

        :raises InvariantError: when more is removed than was added.
        """
        record = self._get(team)
        _subtract_from_sums(record.demand_sums, size, rank, team)
        self._update_claim(record)

    def charge_demand(
        self, team: str, size: Size, rank: int = PREEMPTING_RANKS
    ) -> None:
        """Count ``size`` as used instead of demanded, when a waiting job starts."""
        record = self._get(team)
        _subtract_from_sums(record.demand_sums, size, rank, team)
        _add_to_sums(record.usage_sums, size, rank)
        self._use = add_sizes(self._use, size)
        self._update_claim(record)

    def find_shortfall(
        self,
        team: str,
        need: Size,
        rank: int = PREEMPTING_RANKS,
        lend_claims: bool = False,
    ) -> str | None:
        """Return the first dimension in which ``team`` may not add ``need``, if any.

        :param rank: rank of the class that needs it; 0 is the most urgent.
        :param lend_claims: whether to lend what other teams claim, too, as no free
            capacity was found for the work that claims it.
        """
        record = self._get(team)
        usage, quota = record.usage_sums[_clamp_rank(rank)], record.quota
        for index in DIMENSIONS:
            needed = need[index]
            is_above = needed and usage[index] + needed > quota[index]
            if is_above and needed > self._compute_idle(record, index, lend_claims):
                return Size._fields[index]
        return None

    def is_within(self, team: str, need: Size, rank: int = PREEMPTING_RANKS) -> bool:
        """Whether ``team`` stays within its own quota with ``need`` added."""
        record = self._get(team)
        usage, quota = record.usage_sums[_clamp_rank(rank)], record.quota
        for index in DIMENSIONS:
            if need[index] and usage[index] + need[index] > quota[index]:
                return False
        return True

    def may_reclaim(self, claimant: str, need: Size, borrower: str, held: Size) -> bool:
        """Whether ``claimant`` may preempt a task of ``borrower`` for ``need``.

        It may if it stays within its quota and if, in a dimension that the task would
        free for the need, the borrower uses its quota or more even without the task.

        :param held: what the borrower's task would free.
        """
        if claimant == borrower or not self.is_within(claimant, need):
            return False
        record = self._get(borrower)
        return any(
            need[index]
            and held[index]
            and record.use[index] - held[index] >= record.quota[index]
            for index in DIMENSIONS
        )

    def list_borrowers(self, need: Size) -> tuple[Borrower, ...]:
        """List the teams to preempt for ``need``, the largest excess first.

        Excesses are compared by their share of the capacity in the dimensions of
        ``need``, divided by the weight of the team.
        """
        borrowers = []
        for name, record in self._teams.items():
            excess = _compute_excess(record)
            rank = self._rank_excess(excess, need) / record.weight
            if rank > 0:
                borrowers.append((-rank, name, excess))
        return tuple(Borrower(name, excess) for _, name, excess in sorted(borrowers))

    def _get(self, team: str) -> _TeamRecord:
        record = self._teams.get(team)
        if record is None:
            record = self._teams[team] = _TeamRecord()
        return record

    def _compute_idle(self, record: _TeamRecord, index: int, lend_claims: bool) -> int:
        """Return the capacity that is free and that no other team claims.

        With ``lend_claims`` the claims of the other teams count as idle, too.
        """
        if lend_claims:
            return self._capacity[index] - self._use[index]
        others = self._claims[index] - record.claim[index]
        return self._capacity[index] - self._use[index] - others

    def _update_claim(self, record: _TeamRecord) -> None:
        claim = _compute_claim(
            record.demand_sums[-1], record.usage_sums[-1], record.quota
        )
        if claim != record.demand_sums[-1]:
            claim = _add_preempting(claim, record)
        if claim != record.claim:
            remainder = subtract_sizes(self._claims, record.claim)
            self._claims = add_sizes(remainder, claim)
            record.claim = claim

    def _rank_excess(self, excess: Size, need: Size) -> float:
        return max(
            excess[index] / max(self._capacity[index], 1) if need[index] else 0.0
            for index in DIMENSIONS
        )


def sum_sizes(sizes: Iterable[Size]) -> Size:
    """Return the sum of ``sizes`` in every dimension."""
    total = ZERO_SIZE
    for size in sizes:
        total = add_sizes(total, size)
    return total


def scale_size(size: Size, count: int) -> Size:
    """Return ``size`` multiplied by ``count``."""
    return Size(size[0] * count, size[1] * count, size[2] * count)


def _compute_claim(demand: Size, usage: Size, quota: Size) -> Size:
    (d0, d1, d2), (u0, u1, u2), (q0, q1, q2) = demand, usage, quota
    return Size(_clamp(d0, q0 - u0), _clamp(d1, q1 - u1), _clamp(d2, q2 - u2))


def _add_preempting(claim: Size, record: _TeamRecord) -> Size:
    """Raise a claim to what the preempting classes can add by themselves."""
    for rank in range(PREEMPTING_RANKS):
        demand = record.demand_sums[rank]
        if demand != ZERO_SIZE:
            more = _compute_claim(demand, record.usage_sums[rank], record.quota)
            claim = Size(*map(max, claim, more))
    return claim


def _clamp(demand: int, limit: int) -> int:
    lower = demand if demand < limit else limit
    return lower if lower > 0 else 0


def _clamp_rank(rank: int) -> int:
    return rank if rank < PREEMPTING_RANKS else PREEMPTING_RANKS


def _add_to_sums(sums: list[Size], size: Size, rank: int) -> None:
    """Add to the sums of a rank and of all less urgent ones."""
    for index in range(_clamp_rank(rank), len(sums)):
        sums[index] = add_sizes(sums[index], size)


def _subtract_from_sums(sums: list[Size], size: Size, rank: int, team: str) -> None:
    """Subtract from the sums of a rank and of all less urgent ones."""
    first = _clamp_rank(rank)
    remainder = subtract_sizes(sums[first], size)
    more_urgent = sums[first - 1] if first else ZERO_SIZE
    if not fits(more_urgent, remainder):
        raise InvariantError(f"team {team} releases more than it was charged")
    sums[first] = remainder
    for index in range(first + 1, len(sums)):
        sums[index] = subtract_sizes(sums[index], size)


def _compute_excess(record: _TeamRecord) -> Size:
    return Size(*(max(0, u - q) for u, q in zip(record.use, record.quota, strict=True)))
