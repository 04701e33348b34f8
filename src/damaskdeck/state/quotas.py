"""Quotas of teams: exact use, borrowing of idle quota and taking it back.

One ledger's keeper decides about the quotas of its teams; nothing is lent
between ledgers. The pools' owner counts client accounts by the same rules, and lends
nothing.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.errors import InvariantError
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits, subtract_sizes

DIMENSIONS = range(len(Size._fields))
# Classes of a lower rank may have less urgent tasks stopped, so the less urgent use
# of their own team doesn't hold them back. All others are held back by all use.
PREEMPTING_RANKS = 2


class Giver(NamedTuple):
    """A team that uses more than its quota and must give back.

    :param excess: its use above its quota, dimension by dimension.
    """

    team: str
    excess: Size


class TeamState(NamedTuple):
    """A team's quota, what it uses and what its waiting work wants."""

    quota: Size
    weight: float
    use: Size
    want: Size


class _Team:
    """The mutable record behind :class:`TeamState`.

    :param uses: what jobs of each rank are held back by: the use of this rank
        and lower ones; the last counts everything, as all further ranks do.
    :param wants: the same sums of what waiting work wants.
    """

    __slots__ = ("claim", "quota", "uses", "wants", "weight")

    def __init__(self) -> None:
        self.quota = ZERO_SIZE
        self.weight = 1.0
        self.uses = [ZERO_SIZE] * (PREEMPTING_RANKS + 1)
        self.wants = [ZERO_SIZE] * (PREEMPTING_RANKS + 1)
        self.claim = ZERO_SIZE

    @property
    def use(self) -> Size:
        """All that the team uses."""
        return self.uses[-1]


class Quotas:
    """Counts what teams use and decides who may use more.

    A team may always go up to its quota. Above it, it borrows what is idle
    after the claims of the others: a team's claim is what its waiting work
    wants and its quota still allows. Use is counted for each class by rank, 0
    the most urgent: urgent work is held back by its own class alone, high by
    these two, the rest by all use of the team.

    :param capacity: what the instances under this ledger hold together.
    """

    def __init__(self, capacity: Size = ZERO_SIZE) -> None:
        self._capacity = capacity
        self._teams: dict[str, _Team] = {}
        self._use = ZERO_SIZE
        self._claims = ZERO_SIZE

    @property
    def capacity(self) -> Size:
        """What all instances hold together."""
        return self._capacity

    @property
    def use(self) -> Size:
        """What all teams use together."""
        return self._use

    @property
    def claims(self) -> Size:
        """What all teams may still claim of their quotas."""
        return self._claims

    def set_capacity(self, capacity: Size) -> None:
        """Note that instances came or went."""
        self._capacity = capacity

    def set_quota(self, team: str, quota: Size, weight: float = 1.0) -> None:
        """Set a team's quota; a lower one never stops what runs by itself.

        :param weight: its share of what is idle, against other teams' weights.
        """
        record = self._get(team)
        record.quota = quota
        record.weight = weight
        self._update_claim(record)

    def remove_quota(self, team: str) -> None:
        """Take away a team's quota; what it still uses counts as borrowed."""
        self.set_quota(team, ZERO_SIZE)

    def read(self, team: str) -> TeamState:
        """Return a team's quota, use and wants."""
        record = self._teams.get(team)
        if record is None:
            return TeamState(ZERO_SIZE, 1.0, ZERO_SIZE, ZERO_SIZE)
        return TeamState(record.quota, record.weight, record.use, record.wants[-1])

    def get_usage(self, team: str) -> tuple[Size, float]:
        """Return what a team uses, and its weight."""
        record = self._get(team)
        return record.use, record.weight

    def list_teams(self) -> tuple[str, ...]:
        """List all known teams in order of name."""
        return tuple(sorted(self._teams))

    def charge(self, team: str, size: Size, rank: int = PREEMPTING_RANKS) -> None:
        """Count ``size`` as used by ``team``.

        :param rank: of the work's class; 0 is the most urgent.
        """
        record = self._get(team)
        _add_up(record.uses, size, rank)
        self._use = add_sizes(self._use, size)
        self._update_claim(record)

    def release(self, team: str, size: Size, rank: int = PREEMPTING_RANKS) -> None:
        """Count ``size`` as no longer used.

        :param rank: for which it was charged.
        :raises InvariantError: when more is given back than was charged.
        """
        record = self._get(team)
        _take_off(record.uses, size, rank, team)
        self._use = subtract_sizes(self._use, size)
        self._update_claim(record)

    def add_demand(self, team: str, size: Size, rank: int = PREEMPTING_RANKS) -> None:
        """Count ``size`` as wanted by waiting work of ``team``."""
        record = self._get(team)
        _add_up(record.wants, size, rank)
        self._update_claim(record)

    def remove_demand(
        self, team: str, size: Size, rank: int = PREEMPTING_RANKS
    ) -> None:
        """Count ``size`` as no longer wanted."""
        record = self._get(team)
        _take_off(record.wants, size, rank, team)
        self._update_claim(record)

    def charge_demand(
        self, team: str, size: Size, rank: int = PREEMPTING_RANKS
    ) -> None:
        """Count ``size`` as used instead of wanted, as a waiting job starts."""
        record = self._get(team)
        _take_off(record.wants, size, rank, team)
        _add_up(record.uses, size, rank)
        self._use = add_sizes(self._use, size)
        self._update_claim(record)

    def find_shortfall(
        self,
        team: str,
        need: Size,
        rank: int = PREEMPTING_RANKS,
        lends_claims: bool = False,
    ) -> str | None:
        """Tell in which dimension ``team`` may not use ``need`` more, if any.

        :param rank: of the class that needs it; 0 is the most urgent.
        :param lends_claims: lend what others claim too, as no room was found
            for the work that claims it.
        """
        record = self._get(team)
        use, quota = record.uses[_clip_rank(rank)], record.quota
        for index in DIMENSIONS:
            wanted = need[index]
            is_above = wanted and use[index] + wanted > quota[index]
            if is_above and wanted > self._count_idle(record, index, lends_claims):
                return Size._fields[index]
        return None

    def is_within(self, team: str, need: Size, rank: int = PREEMPTING_RANKS) -> bool:
        """Tell whether ``team`` stays within its own quota with ``need`` more."""
        record = self._get(team)
        use, quota = record.uses[_clip_rank(rank)], record.quota
        for index in DIMENSIONS:
            if need[index] and use[index] + need[index] > quota[index]:
                return False
        return True

    def may_take_back(self, taker: str, need: Size, giver: str, held: Size) -> bool:
        """Tell whether ``taker`` may preempt a task of ``giver`` for ``need``.

        It may when it stays within its quota and the giver is above its own, in
        a dimension that the task would free for the need, even without it.

        :param held: what the giver's task would free.
        """
        if taker == giver or not self.is_within(taker, need):
            return False
        record = self._get(giver)
        return any(
            need[index]
            and held[index]
            and record.use[index] - held[index] >= record.quota[index]
            for index in DIMENSIONS
        )

    def list_givers(self, need: Size) -> tuple[Giver, ...]:
        """List who must give back for ``need``, the greatest excess first.

        Excess is compared by the share of the capacity that it takes in the
        dimensions of ``need``, divided by the team's weight.
        """
        givers = []
        for name, record in self._teams.items():
            excess = _find_excess(record)
            rank = self._rank_excess(excess, need) / record.weight
            if rank > 0:
                givers.append((-rank, name, excess))
        return tuple(Giver(name, excess) for _, name, excess in sorted(givers))

    def _get(self, team: str) -> _Team:
        record = self._teams.get(team)
        if record is None:
            record = self._teams[team] = _Team()
        return record

    def _count_idle(self, record: _Team, index: int, lends_claims: bool) -> int:
        """Count what is free and, unless lent too, claimed by no other team."""
        if lends_claims:
            return self._capacity[index] - self._use[index]
        others = self._claims[index] - record.claim[index]
        return self._capacity[index] - self._use[index] - others

    def _update_claim(self, record: _Team) -> None:
        claim = _compute_claim(record.wants[-1], record.uses[-1], record.quota)
        if claim != record.wants[-1]:
            claim = _add_preempting(claim, record)
        if claim != record.claim:
            rest = subtract_sizes(self._claims, record.claim)
            self._claims = add_sizes(rest, claim)
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
    """Return ``size`` taken ``count`` times."""
    return Size(size[0] * count, size[1] * count, size[2] * count)


def _compute_claim(want: Size, use: Size, quota: Size) -> Size:
    (w0, w1, w2), (u0, u1, u2), (q0, q1, q2) = want, use, quota
    return Size(_clip(w0, q0 - u0), _clip(w1, q1 - u1), _clip(w2, q2 - u2))


def _add_preempting(claim: Size, record: _Team) -> Size:
    """Raise a claim to what the classes that may preempt can add by themselves."""
    for rank in range(PREEMPTING_RANKS):
        want = record.wants[rank]
        if want != ZERO_SIZE:
            more = _compute_claim(want, record.uses[rank], record.quota)
            claim = Size(*map(max, claim, more))
    return claim


def _clip(want: int, left: int) -> int:
    least = want if want < left else left
    return least if least > 0 else 0


def _clip_rank(rank: int) -> int:
    return rank if rank < PREEMPTING_RANKS else PREEMPTING_RANKS


def _add_up(sums: list[Size], size: Size, rank: int) -> None:
    """Add to the sums of a rank and of all less urgent ones."""
    for index in range(_clip_rank(rank), len(sums)):
        sums[index] = add_sizes(sums[index], size)


def _take_off(sums: list[Size], size: Size, rank: int, team: str) -> None:
    """Subtract from the sums of a rank and of all less urgent ones."""
    first = _clip_rank(rank)
    rest = subtract_sizes(sums[first], size)
    below = sums[first - 1] if first else ZERO_SIZE
    if not fits(below, rest):
        raise InvariantError(f"team {team} gives back more than it was charged")
    sums[first] = rest
    for index in range(first + 1, len(sums)):
        sums[index] = subtract_sizes(sums[index], size)


def _find_excess(record: _Team) -> Size:
    return Size(*(max(0, u - q) for u, q in zip(record.use, record.quota, strict=True)))
