"""Fair shares of client accounts: declared rates, fair shares and the order of steps.

The load: an account that sends several times its usual load to a pool that is nearly
full. Its backlog would delay the jobs of all other accounts.
"""

import random
import unittest
from unittest import mock

from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.coordination.pools.shares import (
    AccountShares,
    DeclaredRates,
    compute_levels,
    reports,
)
from damaskdeck.coordination.pools.shares import rates as rates_module
from damaskdeck.coordination.pools.shares.levels import measure_want
from damaskdeck.protocol.clientaccounts import UNLIMITED_SIZE, ClientAccounts
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import ZERO_SIZE, Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job
from damaskdeck.state.quotas import TeamState
from tests.hotaccount import Load
from tests.poolcluster import SECOND, SMALL, make_account, make_job, make_queue

CAPACITY = Size(10_000, 10_000, 0)


def draw_acceptances(seed: int) -> list[tuple[str, float]]:
    """Return identifiers and acceptance times at twice a rate of 3 per second."""
    rng, at = random.Random(seed), 1e9
    acceptances = []
    for number in range(200):
        at += rng.expovariate(6.0)
        acceptances.append((f"{number}", at))
    return acceptances


def judge(acceptances: list[tuple[str, float]], weight: float = 3.0) -> set[str]:
    """Return the jobs beyond the rate, judged after each of them."""
    rates = DeclaredRates()
    rates.set_weights({"kiosk": weight})
    for identifier, at in acceptances:
        rates.add("kiosk", identifier, at)
        rates.judge()
    return rates.beyond


class TestRates(unittest.TestCase):
    """Jobs beyond the declared rate, whoever derives them and when."""

    def test_a_burst_of_two_seconds_is_within_the_rate(self):
        jobs = [(f"{number}", 5.0) for number in range(8)]
        self.assertEqual(judge(jobs), {"6", "7"})

    def test_an_account_of_less_than_a_job_per_burst_gets_whole_jobs(self):
        jobs = [("a", 0.0), ("b", 9.0), ("c", 11.0)]
        self.assertEqual(judge(jobs, 0.1), {"b"})
        self.assertEqual(judge(jobs, 0.0), {"a", "b", "c"})

    def test_the_order_of_arrival_does_not_matter(self):
        # A successor reads the records in the order of their keys.
        jobs = draw_acceptances(1)
        expected = judge(jobs)
        self.assertGreater(len(expected), 50)
        for seed in range(5):
            shuffled = random.Random(seed).sample(jobs, len(jobs))
            self.assertEqual(judge(shuffled), expected)

    def test_a_retried_job_counts_once(self):
        jobs = draw_acceptances(2)
        self.assertEqual(judge([job for job in jobs for _ in range(3)]), judge(jobs))

    def test_folded_acceptances_are_dropped_and_the_bucket_is_kept(self):
        jobs, rates = draw_acceptances(3), DeclaredRates()
        rates.set_weights({"kiosk": 3.0})
        for identifier, at in jobs:
            rates.add("kiosk", identifier, at)
            rates.fold(at)
        self.assertEqual(rates.beyond, judge(jobs))
        (bucket,) = rates._buckets.values()
        self.assertLess(len(bucket._acceptances), 100)

    def test_a_successor_without_the_removed_jobs_agrees_about_the_others(self):
        jobs = draw_acceptances(4)
        known = {identifier for identifier, _ in jobs[100:]}
        self.assertEqual(judge(jobs[60:]) & known, judge(jobs) & known)

    def test_a_wrong_clock_of_one_daemon_holds_no_memory_and_no_other_job_back(self):
        rates = DeclaredRates()
        rates.set_weights({"kiosk": 3.0})
        rates.add("kiosk", "ahead", 1e9 + 3600)
        for number in range(2 * rates_module.MAX_ACCEPTANCES):
            rates.add("kiosk", f"{number}", 1e9 + number / 2)
            if number % 500 == 0:
                rates.fold(0.0)
        rates.fold(0.0)
        (bucket,) = rates._buckets.values()
        self.assertLessEqual(len(bucket._acceptances), rates_module.MAX_ACCEPTANCES)
        self.assertEqual(rates.beyond, set())

    def test_ended_jobs_count_but_are_not_remembered(self):
        rates = DeclaredRates()
        rates.set_weights({"kiosk": 1.0})
        for number in range(5):
            rates.add("kiosk", f"{number}", 5.0, is_open=number > 2)
        rates.judge()
        self.assertEqual(rates.beyond, {"3", "4"})
        rates.discard("3")
        rates.add("kiosk", "late", 4.0)
        rates.judge()
        self.assertEqual(rates.beyond, {"4"})


class TestLevel(unittest.TestCase):
    """What one account leaves goes to those that want more, by weight."""

    def compute(self, *wants: tuple[float, Size, Size]) -> float:
        """Return the lowest level of accounts with a weight, a demand and a quota."""
        return min(self.compute_all(CAPACITY, *wants))

    def compute_all(
        self, capacity: Size, *wants: tuple[float, Size, Size]
    ) -> tuple[float, ...]:
        """Return the level in each dimension."""
        states = [TeamState(quota, w, ZERO_SIZE, need) for w, need, quota in wants]
        found = [measure_want(state, capacity) for state in states]
        return compute_levels([want for want in found if want], capacity, capacity)

    def test_there_is_no_level_while_all_wants_fit(self):
        half = (1.0, Size(5_000, 5_000, 0), UNLIMITED_SIZE)
        self.assertEqual(self.compute(half, half), float("inf"))

    def test_unused_shares_are_divided_by_weight(self):
        level = self.compute(
            (1.0, Size(1_000, 0, 0), UNLIMITED_SIZE),
            (1.0, Size(9_000, 0, 0), UNLIMITED_SIZE),
            (2.0, Size(9_000, 0, 0), UNLIMITED_SIZE),
        )
        self.assertAlmostEqual(level, 0.3)

    def test_demand_beyond_a_quota_takes_no_share_from_others(self):
        level = self.compute(
            (1.0, Size(9_000, 0, 0), Size(1_000, 9_000, 0)),
            (1.0, Size(20_000, 0, 0), UNLIMITED_SIZE),
        )
        self.assertAlmostEqual(level, 0.9)

    def test_the_dimension_that_is_used_up_first_decides(self):
        level = self.compute(
            (1.0, Size(6_000, 2_000, 0), UNLIMITED_SIZE),
            (1.0, Size(6_000, 9_000, 0), UNLIMITED_SIZE),
        )
        # At level x they use (x + 2x/3) of the processors and (x/3 + x) of the memory.
        self.assertAlmostEqual(level, 0.6)

    def test_each_dimension_has_its_own_level(self):
        wants = (
            (1.0, Size(1_000, 0, 30), UNLIMITED_SIZE),
            (1.0, Size(6_000, 0, 0), UNLIMITED_SIZE),
        )
        level = float("inf")
        capacity = CAPACITY._replace(accelerators=10)
        self.assertEqual(self.compute_all(capacity, *wants), (level, level, 1.0))
        self.assertEqual(self.compute_all(CAPACITY, *wants), (level, level, level))

    def test_rounding_leads_to_no_level_outside_the_wants(self):
        rng = random.Random(7)
        for _ in range(2000):
            sizes = [
                Size(rng.randrange(5000), rng.choice((0, rng.randrange(9000))), 0)
                for _ in range(rng.randrange(2, 9))
            ]
            wants = [(10 ** rng.uniform(-6, 3), size, UNLIMITED_SIZE) for size in sizes]
            for index, level in enumerate(self.compute_all(CAPACITY, *wants)):
                total = sum(size[index] for size in sizes)
                self.assertEqual(level < float("inf"), total > CAPACITY[index])
                found = [
                    measure_want(TeamState(q, w, ZERO_SIZE, n), CAPACITY)
                    for w, n, q in wants
                ]
                if total > CAPACITY[index]:
                    given = sum(
                        want.size[index] * min(1.0, level / want.level)
                        for want in found
                        if want
                    )
                    self.assertAlmostEqual(given / CAPACITY[index], 1.0)


class OrderCase(unittest.TestCase):
    """Pending steps of an owner whose pool is full."""

    def begin(self, *accounts) -> None:
        """Declare accounts."""
        self.load = Load(CAPACITY, {})
        self.load.table.accounts = ClientAccounts(accounts)
        self.shares = self.load.shares = AccountShares(self.load)
        self.pending = PendingSteps(self.shares)
        self.update()

    def update(self) -> None:
        """Update the capacity."""
        self.shares.update_capacity((self.load.contact,), 0.0, 0.0)

    def use(self, account: str, tasks: int) -> None:
        """Let an account run tasks."""
        size = Size(tasks * 1000, tasks * 1000, 0)
        self.load.account_limits.quotas.charge(account, size)

    def add(
        self, name: str, account: str = "", rank: int = 1, at: float = 0.0, tasks=1
    ) -> Job:
        """Add a job with waiting tasks."""
        spec = make_job(StepSpec(tasks, SMALL, SECOND))
        record = JobRecord(name, make_queue(rank=rank), spec, 1, at, (), account)
        job = Job(record, at)
        self.shares.add_job(job)
        self.pending.mark_changed(job)
        return job

    def list_jobs(self, now: float = 0.0) -> list[str]:
        """List the jobs in the order of their steps."""
        return [ranked.name.split(".")[0] for ranked in self.pending.rank(now)]


class TestOrder(OrderCase):
    """What precedes what in a full pool with accounts."""

    def test_jobs_beyond_the_rate_follow_those_of_all_ranks_within_it(self):
        self.begin(make_account("hot", weight=1.0), make_account("calm"))
        for number in range(3):
            self.add(f"h{number}", "hot", rank=0)
        self.add("c", "calm", rank=2)
        self.assertEqual(self.list_jobs(), ["h0", "h1", "c", "h2"])

    def test_advisor_queries_about_deferred_steps_are_sent_last(self):
        self.begin(make_account("hot", weight=1.0), make_account("calm", weight=9.0))
        for number in range(3):
            self.add(f"h{number}", "hot")
        self.add("c", "calm", at=9.0)
        queries = sorted(
            (self.shares.adjust_urgency(pending.step, urgency).slack, name)
            for urgency, name, pending in self.pending.rank(1.0)
        )
        names = [name for _, name in queries]
        self.assertEqual(names, ["h0.0.0", "h1.0.0", "c.0.0", "h2.0.0"])

    def test_late_jobs_follow_those_in_time_whatever_their_account(self):
        self.begin(make_account("hot", weight=1.0), make_account("calm"))
        for number in range(3):
            self.add(f"h{number}", "hot", at=4.0)
        self.add("c", "calm", at=0.0)
        self.assertEqual(self.list_jobs(4.0), ["h0", "h1", "h2", "c"])

    def test_an_account_above_its_share_goes_last_within_its_rank(self):
        self.begin(make_account("hot", weight=9.0), make_account("calm", weight=9.0))
        self.use("hot", 7)
        self.use("calm", 3)
        self.add("h", "hot", tasks=9)
        self.add("c", "calm", tasks=9, at=1.0)
        self.add("c2", "calm", tasks=9, rank=2)
        self.assertEqual(self.list_jobs(1.0), ["c", "h", "c2"])

    def test_without_scarcity_shares_do_not_count(self):
        self.begin(make_account("hot", weight=9.0), make_account("calm", weight=9.0))
        self.use("hot", 7)
        self.add("h", "hot")
        self.add("c", "calm", at=1.0)
        self.assertEqual(self.list_jobs(1.0), ["h", "c"])

    def test_an_account_that_was_idle_has_neither_credit_nor_debt(self):
        self.begin(make_account("old", weight=9.0), make_account("new", weight=9.0))
        self.use("old", 10)
        self.add("o", "old", tasks=9)
        for second in range(60):
            self.list_jobs(second / 1e3)
        # Both use half from now on: what happened before doesn't count.
        self.load.account_limits.quotas.release("old", Size(5000, 5000, 0))
        self.use("new", 5)
        self.add("n", "new", tasks=9, at=0.5)
        self.assertEqual(self.list_jobs(0.5), ["o", "n"])

    def test_a_step_that_waited_for_its_objective_is_ordered_as_at_its_share(self):
        self.begin(make_account("hot", weight=9.0), make_account("calm", weight=9.0))
        self.use("hot", 7)
        self.use("calm", 3)
        self.add("h", "hot", tasks=9)
        for number in range(1, 46):
            now = number / 10
            self.add(f"c{number}", "calm", tasks=9, at=now)
            order = self.list_jobs(now)
            if number in (35, 45):
                # Jobs are late from 3 s on, and their objective is 4 s.
                late = [n for n in order if n == "h" or int(n[1:]) <= number - 31]
                self.assertEqual(late.index("h"), {35: 4, 45: 0}[number])

    def test_work_without_a_declared_account_is_ordered_by_urgency(self):
        self.begin(make_account("calm", weight=9.0))
        self.use("gone", 9)
        self.add("g", "gone", tasks=9)
        self.add("p", tasks=9, at=1.0)
        self.add("c", "calm", tasks=9, at=2.0)
        self.assertEqual(self.list_jobs(2.0), ["g", "p", "c"])


class TestReports(OrderCase):
    """Log lines about accounts above their share, at most one each in 5 s."""

    def test_an_account_that_crosses_its_share_is_logged_at_intervals(self):
        self.begin(make_account("hot", weight=9.0), make_account("calm", weight=9.0))
        quotas = self.load.account_limits.quotas
        with mock.patch.object(reports, "_log") as log:
            for number in range(120):
                # The account crosses its share each half second.
                change = quotas.release if number % 10 == 5 else quotas.charge
                if number % 5 == 0:
                    change("hot", Size(7000, 7000, 0))
                if number == 0:
                    self.add("h", "hot", tasks=9)
                    self.add("c", "calm", tasks=9)
                ranked = self.pending.rank(number / 10)
                self.shares.report((r.pending.step for r in ranked), number / 10)
        lines = [call.args[0] for call in log.info.call_args_list]
        self.assertEqual(len(lines), 3)
        self.assertEqual(len(set(lines)), 2)
        fields = log.info.call_args_list[0].kwargs
        self.assertEqual(
            [fields[name] for name in ("id", "account", "waiting", "waiting_others")],
            ["h", "hot", 1, 1],
        )
        self.assertAlmostEqual(fields["share"], 0.7)
        self.assertAlmostEqual(fields["fair_share"], 0.5)

    def test_an_account_alone_borrows_and_is_not_logged(self):
        self.begin(make_account("hot", weight=1.0), make_account("calm", weight=3.0))
        self.use("hot", 8)
        self.use("calm", 1)
        self.add("h", "hot", tasks=9)
        with mock.patch.object(reports, "_log") as log:
            ranked = self.pending.rank(1.0)
            self.shares.report((r.pending.step for r in ranked), 1.0)
        self.update()
        log.info.assert_not_called()
        standing = self.shares.find_standing("hot")
        self.assertAlmostEqual(standing.borrowed, 0.8 - 0.25)
        self.assertAlmostEqual(standing.fair_share, 0.9)


class TestWithoutAccounts(OrderCase):
    """Where no accounts are declared, nothing changes."""

    def test_the_order_is_exactly_that_of_urgency(self):
        self.begin()
        plain, rng = PendingSteps(), random.Random(5)
        for number in range(300):
            account, rank = rng.choice(("", "gone")), rng.randrange(3)
            job = self.add(f"j{number}", account, rank, rng.uniform(0, 9), 9)
            plain.mark_changed(job)
            if number % 30 == 0:
                self.use("gone", 3)
                self.update()
            now = rng.uniform(5, 15)
            expected = [entry[:2] for entry in plain.rank(now)]
            self.assertEqual([e[:2] for e in self.pending.rank(now)], expected)
