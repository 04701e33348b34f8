"""Quotas of teams, compared with a direct computation."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.errors import InvariantError
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, fits, subtract_sizes
from damaskdeck.state.quotas import Borrower, Quotas, sum_sizes

TEAMS = ("ash", "birch", "cedar")
SIZES = st.builds(Size, *[st.integers(0, 4)] * 3)
RANKS = st.integers(0, 3)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("charge", "release", "want", "unwant", "start", "quota")),
        st.sampled_from(TEAMS),
        SIZES,
        RANKS,
    ),
    max_size=40,
)


class Model:
    """Usage and demand of each team as plain lists."""

    def __init__(self) -> None:
        self.quota = dict.fromkeys(TEAMS, ZERO_SIZE)
        self.used = {team: [] for team in TEAMS}
        self.wanted = {team: [] for team in TEAMS}

    def step(self, quotas, kind, team, size, rank):
        if kind == "quota":
            self.quota[team] = size
            quotas.set_quota(team, size)
        elif kind == "charge":
            self.used[team].append((size, rank))
            quotas.charge(team, size, rank)
        elif kind == "want":
            self.wanted[team].append((size, rank))
            quotas.add_demand(team, size, rank)
        elif kind == "start" and self.wanted[team]:
            self.used[team].append(self.wanted[team].pop())
            quotas.charge_demand(team, *self.used[team][-1])
        elif kind == "release" and self.used[team]:
            quotas.release(team, *self.used[team].pop())
        elif kind == "unwant" and self.wanted[team]:
            quotas.remove_demand(team, *self.wanted[team].pop())

    def sum_claims(self, but, index):
        return sum(self.claim(team, index) for team in TEAMS if team != but)

    def claim(self, team, index):
        """Return the most that waiting work could add within the quota."""
        return max(
            min(
                sum_counted(self.wanted[team], rank)[index],
                self.quota[team][index] - sum_counted(self.used[team], rank)[index],
            )
            if sum_counted(self.wanted[team], rank)[index]
            else 0
            for rank in (0, 1, 3)
        )

    def allows(self, team, need, capacity, rank):
        for index, amount in enumerate(need):
            used = sum_counted(self.used[team], rank)[index]
            everything = sum(s[index] for t in TEAMS for s, _ in self.used[t])
            idle = capacity[index] - everything - self.sum_claims(team, index)
            within = used + amount <= self.quota[team][index]
            if amount and not within and amount > idle:
                return False
        return True


def sum_counted(amounts, rank):
    """Return the sum of the sizes that count against jobs of a rank."""
    least = rank if rank < 2 else 3
    return sum_sizes(size for size, other in amounts if other <= least)


class TestQuotas(unittest.TestCase):
    """Usage is exact, and only unclaimed capacity is lent."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS, SIZES, st.builds(Size, *[st.integers(0, 30)] * 3), RANKS)
    def test_decisions_equal_a_direct_computation(self, steps, need, capacity, rank):
        quotas, model = Quotas(capacity), Model()
        for step in steps:
            model.step(quotas, *step)
            self.assertEqual(
                quotas.use,
                sum_sizes(s for used in model.used.values() for s, _ in used),
            )
            self.assertEqual(
                quotas.claims, Size(*(model.sum_claims("", i) for i in range(3)))
            )
            for team in TEAMS:
                self.assertEqual(
                    quotas.read(team).use, sum_counted(model.used[team], 3)
                )
                allowed = quotas.find_shortfall(team, need, rank) is None
                self.assertEqual(allowed, model.allows(team, need, capacity, rank))

    def test_less_urgent_usage_does_not_limit_urgent_work(self):
        quotas = Quotas(Size(10, 0, 0))
        quotas.set_quota("ash", Size(6, 0, 0))
        quotas.charge("ash", Size(4, 0, 0), 3)
        quotas.charge("ash", Size(2, 0, 0), 1)
        quotas.add_demand("birch", Size(4, 0, 0))
        quotas.set_quota("birch", Size(4, 0, 0))
        need = Size(3, 0, 0)
        found = [quotas.find_shortfall("ash", need, rank) for rank in range(4)]
        self.assertEqual(found, [None, None, "millicores", "millicores"])
        quotas.charge("ash", Size(4, 0, 0), 0)
        found = [quotas.find_shortfall("ash", need, rank) for rank in range(4)]
        self.assertEqual(found, ["millicores"] * 4)

    def test_idle_quota_is_lent_until_its_team_demands_it(self):
        quotas = Quotas(Size(10, 0, 0))
        quotas.set_quota("ash", Size(6, 0, 0))
        quotas.set_quota("birch", Size(4, 0, 0))
        quotas.charge("ash", Size(6, 0, 0))
        self.assertIsNone(quotas.find_shortfall("ash", Size(4, 0, 0)))
        quotas.add_demand("birch", Size(9, 0, 0))
        self.assertEqual(quotas.find_shortfall("ash", Size(1, 0, 0)), "millicores")
        self.assertIsNone(quotas.find_shortfall("birch", Size(4, 0, 0)))
        quotas.remove_demand("birch", Size(9, 0, 0))
        self.assertIsNone(quotas.find_shortfall("ash", Size(4, 0, 0)))

    def test_dimension_that_is_not_needed_never_limits(self):
        quotas = Quotas(Size(10, 10, 1))
        quotas.set_quota("ash", Size(5, 5, 0))
        quotas.charge("ash", Size(0, 0, 1))
        self.assertIsNone(quotas.find_shortfall("ash", Size(5, 5, 0)))
        self.assertEqual(quotas.find_shortfall("ash", Size(1, 1, 1)), "accelerators")

    def test_largest_weighted_excess_is_listed_first(self):
        quotas = Quotas(Size(100, 100, 10))
        quotas.set_quota("ash", Size(10, 10, 0), weight=4.0)
        quotas.set_quota("birch", Size(10, 10, 0))
        quotas.set_quota("cedar", Size(0, 0, 0))
        quotas.charge("ash", Size(50, 0, 0))
        quotas.charge("birch", Size(30, 0, 0))
        quotas.charge("cedar", Size(0, 0, 9))
        self.assertEqual(
            quotas.list_borrowers(Size(1, 0, 0)),
            (Borrower("birch", Size(20, 0, 0)), Borrower("ash", Size(40, 0, 0))),
        )

    def test_only_excess_is_reclaimed_and_only_within_the_own_quota(self):
        quotas = Quotas(Size(10, 10, 0))
        quotas.set_quota("ash", Size(5, 5, 0))
        quotas.set_quota("birch", Size(5, 5, 0))
        quotas.charge("ash", Size(8, 4, 0))
        need, held = Size(2, 2, 0), Size(3, 0, 0)
        self.assertTrue(quotas.may_reclaim("birch", need, "ash", held))
        more = Size(4, 0, 0)
        self.assertFalse(quotas.may_reclaim("birch", need, "ash", more))
        only_memory = Size(0, 4, 0)
        self.assertFalse(quotas.may_reclaim("birch", need, "ash", only_memory))
        self.assertFalse(quotas.may_reclaim("birch", only_memory, "ash", held))
        too_much = Size(6, 0, 0)
        self.assertFalse(quotas.may_reclaim("birch", too_much, "ash", held))
        quotas.charge("birch", Size(7, 0, 0))
        self.assertFalse(quotas.may_reclaim("ash", need, "ash", held))
        self.assertFalse(quotas.may_reclaim("ash", need, "birch", Size(1, 0, 0)))

    def test_usage_above_a_lowered_quota_becomes_excess(self):
        quotas = Quotas(Size(10, 0, 0))
        quotas.set_quota("ash", Size(8, 0, 0))
        quotas.charge("ash", Size(8, 0, 0))
        quotas.remove_quota("ash")
        self.assertEqual(
            quotas.list_borrowers(Size(1, 0, 0)), (Borrower("ash", Size(8, 0, 0)),)
        )

    def test_releasing_more_than_was_charged_raises_invariant_error(self):
        quotas = Quotas(Size(10, 0, 0))
        quotas.charge("ash", Size(2, 0, 0))
        quotas.charge("birch", Size(5, 0, 0))
        with self.assertRaises(InvariantError):
            quotas.release("ash", Size(3, 0, 0))
        quotas.charge("ash", Size(1, 0, 0), 0)
        with self.assertRaises(InvariantError):
            quotas.release("ash", Size(3, 0, 0), 3)
        self.assertEqual(quotas.use, Size(8, 0, 0))
        self.assertEqual(quotas.read("ash").use, Size(3, 0, 0))


class TestBorrowing(unittest.TestCase):
    """No team starts work above its quota with capacity that another team claims."""

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(st.tuples(st.sampled_from(TEAMS), SIZES, st.booleans()), max_size=60)
    )
    def test_borrowing_leaves_the_claims_of_others_idle(self, steps):
        capacity, quota = Size(24, 24, 24), Size(8, 8, 8)
        quotas = Quotas(capacity)
        used, wanted = {t: [] for t in TEAMS}, {t: [] for t in TEAMS}
        for team in TEAMS:
            quotas.set_quota(team, quota)
        for team, need, ends in steps:
            if ends and used[team]:
                quotas.release(team, used[team].pop(0))
            idle = subtract_sizes(capacity, quotas.use)
            quotas.add_demand(team, need)
            wanted[team].append(need)
            if quotas.find_shortfall(team, need) or not fits(need, idle):
                continue
            quotas.remove_demand(team, need)
            wanted[team].remove(need)
            quotas.charge(team, need)
            used[team].append(need)
            idle = subtract_sizes(idle, need)
            for index in range(3):
                if need[index] and sum_sizes(used[team])[index] > quota[index]:
                    claims = sum(
                        min(
                            sum_sizes(wanted[other])[index],
                            max(0, quota[index] - sum_sizes(used[other])[index]),
                        )
                        for other in TEAMS
                        if other != team
                    )
                    self.assertGreaterEqual(idle[index], claims)
