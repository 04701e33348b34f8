"""The queue compared with a naive one, and its guarantees."""

import unittest
from datetime import timedelta
from fractions import Fraction
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.queues.blocks import Block, Blocks
from damaskdeck.coordination.queues.passes import Pass
from damaskdeck.coordination.queues.queueing import CLASSES, JobQueue
from damaskdeck.coordination.queues.waiting import EntryHeap, Shape, WaitingJob
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size, fits, subtract_sizes
from damaskdeck.state.quotas import Quotas, sum_sizes
from standins.clock import ManualClock

TEAMS = ("ash", "birch", "cedar")
SMALL = Size(1, 1, 0)
CAPACITY = Size(16, 16, 4)
LIMITS = {
    urgency: timedelta(seconds=limit)
    for urgency, limit in zip(CLASSES, (2, 5, 9, 14), strict=True)
}
SIZES = st.sampled_from((Size(1, 1, 0), Size(2, 1, 0), Size(1, 4, 0), Size(4, 2, 1)))
JOBS = st.tuples(
    st.sampled_from(TEAMS),
    st.sampled_from(CLASSES),
    SIZES,
    st.integers(1, 3),
    st.booleans(),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), JOBS),
        st.tuples(st.just("push"), JOBS),
        st.tuples(st.just("remove"), st.integers(0, 30)),
        st.tuples(st.just("end"), st.integers(0, 30)),
        st.tuples(st.just("wait"), st.integers(1, 4)),
        st.tuples(st.just("pass"), st.none()),
    ),
    max_size=60,
)


def make_quotas(capacity=CAPACITY):
    quotas = Quotas(capacity)
    for weight, team in enumerate(TEAMS, start=1):
        quotas.set_quota(team, Size(5, 5, 1), float(weight))
    return quotas


def make_queue(quotas, clock, **options):
    return JobQueue(clock, quotas, wait_limits=LIMITS, overdue_turn=3, **options)


def make_job(name, team="ash", urgency=Urgency.NORMAL, size=SMALL, **options):
    options.setdefault("submitted", timedelta())
    return WaitingJob(name, team, urgency, size, **options)


def offer_all(queue, free):
    """Run a pass with ``free`` millicores; return the names in order of offer."""
    offers, order = Pass(queue), []
    while job := offers.next():
        order.append(job.name)
        if job.need.millicores <= free:
            free -= job.need.millicores
            offers.take(job)
        else:
            offers.fail(job, "millicores")
    return order


class NaiveQueue:
    """Sorts a list of all waiting jobs again for each decision."""

    def __init__(self):
        self.jobs = []
        self.running = []
        self.since_overdue = 0
        self.overdue_failures = 0

    def use(self, team):
        return sum_sizes(size for owner, size, _ in self.running if owner == team)

    def count_use(self, team, rank):
        """Return the usage that counts against a team's jobs of a class."""
        least = rank if rank < 2 else 3
        return sum_sizes(
            size
            for owner, size, other in self.running
            if owner == team and other <= least
        )

    def find_free_capacity(self):
        return subtract_sizes(CAPACITY, sum_sizes(size for _, size, _ in self.running))

    def allows(self, job, lends=False):
        everything = sum_sizes(size for _, size, _ in self.running)
        rank = CLASSES.index(job.urgency)
        for index, need in enumerate(job.need):
            used = self.count_use(job.team, rank)[index]
            others = [team for team in TEAMS if team != job.team and not lends]
            claims = sum(self.claim(team, index) for team in others)
            idle = CAPACITY[index] - everything[index] - claims
            if need and used + need > 5 - 4 * (index == 2) and need > idle:
                return False
        return True

    def claim(self, team, index):
        quota = 5 - 4 * (index == 2)
        claims = [0]
        for rank in (0, 1, 3):
            wants = sum(
                job.size[index] * job.tasks
                for job in self.jobs
                if job.team == team and CLASSES.index(job.urgency) <= rank
            )
            claims.append(min(wants, quota - self.count_use(team, rank)[index]))
        return max(claims)

    def share(self, team):
        parts = zip(self.use(team), CAPACITY, strict=True)
        return max(Fraction(a, b) for a, b in parts) / (TEAMS.index(team) + 1)

    def list_candidates(self, now, failed, lends):
        tried = [job for job in self.jobs if job.name not in failed]
        allowed = [job for job in tried if self.allows(job, lends)]
        order = sorted(
            allowed,
            key=lambda j: (CLASSES.index(j.urgency), self.share(j.team), j.team),
        )
        late = [j for j in allowed if j.submitted + LIMITS[j.urgency] <= now]
        is_urgent = bool(order) and order[0].urgency is Urgency.URGENT
        if self.since_overdue >= 2 and self.overdue_failures >= 1 and is_urgent:
            self.since_overdue = self.overdue_failures = 0
        if late and self.since_overdue >= 2:
            return [min(late, key=lambda j: j.submitted + LIMITS[j.urgency])], True
        return order, False

    def take(self, job, overdue):
        self.since_overdue = 0 if overdue else self.since_overdue + 1
        self.running.append((job.team, job.need, CLASSES.index(job.urgency)))
        index = self.jobs.index(job)
        left = job.tasks - job.offered
        self.jobs[index : index + 1] = [job._replace(tasks=left)] if left else []


class TestOrder(unittest.TestCase):
    """The order in which jobs are offered."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS)
    def test_each_offer_is_the_one_a_naive_queue_would_choose(self, steps):
        clock, quotas, naive = ManualClock(), make_quotas(), NaiveQueue()
        queue = make_queue(quotas, clock, block_duration=timedelta())
        for number, (kind, value) in enumerate(steps):
            if kind == "push":
                team, urgency, size, tasks, gang = value
                job = make_job(
                    f"job-{number}",
                    team,
                    urgency,
                    size,
                    submitted=clock.monotonic(),
                    tasks=tasks,
                    gang=gang,
                )
                queue.push(job)
                naive.jobs.append(job)
            elif kind == "remove" and naive.jobs:
                job = naive.jobs.pop(value % len(naive.jobs))
                self.assertEqual(queue.remove(job.name), job)
            elif kind == "end" and naive.running:
                quotas.release(*naive.running.pop(value % len(naive.running)))
            elif kind == "wait":
                clock.move(timedelta(seconds=value))
            elif kind == "pass":
                self._compare_pass(queue, naive, clock)
            self.assertEqual(len(queue), len(naive.jobs))
            for team in TEAMS:
                self.assertEqual(quotas.read(team).use, naive.use(team))

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS)
    def test_nothing_that_fits_is_left_waiting(self, steps):
        clock, quotas, naive = ManualClock(), make_quotas(), NaiveQueue()
        queue = make_queue(quotas, clock, block_duration=timedelta(days=1))
        for number, (kind, value) in enumerate(steps):
            if kind == "push":
                job = make_job(f"job-{number}", *value[:3], tasks=1)
                queue.push(job)
                naive.jobs.append(job)
            elif kind == "remove" and naive.jobs:
                queue.remove(naive.jobs.pop(value % len(naive.jobs)).name)
            elif kind == "end" and naive.running:
                quotas.release(*naive.running.pop(value % len(naive.running)))
                queue.unblock_fitting(naive.find_free_capacity())
            offers = Pass(queue, max_failures=100)
            while job := offers.next():
                if fits(job.need, naive.find_free_capacity()):
                    offers.take(job)
                    naive.take(job, False)
                else:
                    offers.fail(job, "memory")
            for job in naive.jobs:
                is_open = fits(job.need, naive.find_free_capacity())
                is_open = is_open and naive.allows(job, lends=True)
                self.assertFalse(is_open, job)

    def _compare_pass(self, queue, naive, clock):
        offers = Pass(queue, max_failures=100, max_overdue_failures=1)
        failed, lends, naive.overdue_failures = set(), False, 0
        free = naive.find_free_capacity()
        while job := offers.next():
            now = clock.monotonic()
            lends = lends or not naive.list_candidates(now, failed, False)[0]
            choices, overdue = naive.list_candidates(now, failed, lends)
            best = choices[0]
            self.assertIn(job, naive.jobs)
            self.assertTrue(naive.allows(job, lends), job)
            if overdue:
                self.assertEqual(
                    job.submitted + LIMITS[job.urgency],
                    best.submitted + LIMITS[best.urgency],
                )
            else:
                self.assertEqual(job.urgency, best.urgency)
                self.assertEqual(naive.share(job.team), naive.share(best.team))
            if fits(job.need, free):
                free = subtract_sizes(free, job.need)
                offers.take(job)
                naive.take(job, overdue)
            else:
                offers.fail(job, "memory")
                naive.overdue_failures += overdue
                failed |= {j.name for j in naive.jobs if _is_as_hard(j, job, naive)}
        left, _ = naive.list_candidates(clock.monotonic(), failed, True)
        self.assertEqual(left, [])

    def test_overdue_jobs_go_in_order_of_their_due_times(self):
        clock = ManualClock()
        queue = JobQueue(
            clock, make_quotas(Size(1000, 1000, 0)), wait_limits=LIMITS, overdue_turn=1
        )
        for second, urgency in enumerate(
            (Urgency.LOW, Urgency.HIGH, Urgency.NORMAL, Urgency.LOW, Urgency.HIGH)
        ):
            submitted = timedelta(seconds=4 * second)
            queue.push(make_job(str(second), urgency=urgency, submitted=submitted))
        clock.move(timedelta(seconds=30))
        offers, order = Pass(queue), []
        while job := offers.next():
            order.append(job.name)
            offers.take(job)
        self.assertEqual("".join(order), "10243")

    def test_claims_of_jobs_that_fail_are_lent_after_their_offer(self):
        for free, expected in (
            (10, ["large"]),
            (7, ["large", "borrower", "borrower"]),
        ):
            with self.subTest(free=free):
                quotas, used = Quotas(Size(10, 0, 0)), Size(10 - free, 0, 0)
                quotas.set_quota("ash", Size(10, 0, 0))
                quotas.charge("cedar", used)
                queue = make_queue(quotas, ManualClock())
                queue.push(make_job("large", "ash", size=Size(8, 0, 0), tasks=2))
                queue.push(make_job("borrower", "birch", size=Size(3, 0, 0), tasks=9))
                self.assertEqual(offer_all(queue, free), expected)

    def test_the_longest_overdue_job_within_its_quota_is_found(self):
        clock, quotas = ManualClock(), make_quotas()
        queue = make_queue(quotas, clock)
        quotas.charge("ash", CAPACITY, CLASSES.index(Urgency.URGENT))
        queue.push(make_job("at-quota", "ash", Urgency.URGENT))
        queue.push(make_job("second", "birch", Urgency.LOW))
        queue.push(make_job("first", "cedar", Urgency.NORMAL))
        clock.move(LIMITS[Urgency.NORMAL] - timedelta(seconds=1))
        self.assertIsNone(queue.find_longest_overdue())
        clock.move(timedelta(seconds=20))
        self.assertEqual(queue.find_longest_overdue().name, "first")
        queue.remove("first")
        self.assertEqual(queue.find_longest_overdue().name, "second")

    def test_overdue_jobs_that_fail_block_no_urgent_job(self):
        clock = ManualClock()
        queue = JobQueue(clock, make_quotas(Size(999, 0, 0)))
        for size in range(40):
            late = make_job(f"late-{size}", urgency=Urgency.LOW, size=Size(99 - size))
            queue.push(late)
        clock.move(timedelta(hours=2))
        for number in range(9):
            now, name = clock.monotonic(), f"urgent-{number}"
            queue.push(make_job(name, "birch", Urgency.URGENT, Size(1), submitted=now))
            order = offer_all(queue, 1)
            self.assertIn(name, order[:9])
            clock.move(timedelta(seconds=2))

    def test_a_team_served_out_of_turn_is_charged_in_its_turn(self):
        clock, quotas = ManualClock(), Quotas(Size(100, 100, 0))
        queue = JobQueue(clock, quotas, wait_limits=LIMITS, overdue_turn=2)
        for team in ("ash", "birch"):
            quotas.set_quota(team, Size(100, 100, 0))
        queue.push(make_job("late", "ash", Urgency.LOW, Size(9, 0, 0)))
        clock.move(LIMITS[Urgency.LOW])
        now = clock.monotonic()
        for number in range(3):
            queue.push(make_job(f"ash-{number}", "ash", submitted=now))
            queue.push(make_job(f"birch-{number}", "birch", submitted=now))
        offers, order = Pass(queue), []
        while job := offers.next():
            order.append(job.name)
            offers.take(job)
        self.assertEqual(
            order,
            ["ash-0", "late", "birch-0", "birch-1", "birch-2", "ash-1", "ash-2"],
        )


SHAPES = st.builds(
    Shape,
    st.builds(Size, *[st.integers(0, 1)] * 3),
    st.integers(1, 2),
    st.sampled_from(("", "zone-a")),
)
BLOCKS = st.builds(Block, st.integers(0, 3), st.booleans(), SHAPES, st.just("memory"))


class TestBlocks(unittest.TestCase):
    """A failure covers every shape that is at least as hard to place."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(BLOCKS, max_size=8), BLOCKS, st.builds(Size, *[st.integers(0, 1)] * 3)
    )
    def test_dropped_failures_change_no_answer(self, failures, wanted, free):
        blocks = Blocks(timedelta(seconds=1))
        for block in failures:
            blocks.add(block)
        self._compare(blocks, failures, wanted)
        blocks.remove_fitting(free)
        found = blocks.find(*wanted[:3])
        if found is not None:
            self.assertFalse(fits(wanted.shape.size, free))

    def _compare(self, blocks, failures, wanted):
        expected = any(
            block.rank <= wanted.rank
            and (block.within_quota or not wanted.within_quota)
            and block.shape.constraint == wanted.shape.constraint
            and block.shape.tasks <= wanted.shape.tasks
            and fits(block.shape.size, wanted.shape.size)
            for block in failures
        )
        self.assertEqual(blocks.find(*wanted[:3]) is not None, expected)


class TestBounds(unittest.TestCase):
    """Guarantees for a job that hold under any arrivals of other jobs."""

    def test_no_class_and_no_team_starves(self):
        clock, quotas = ManualClock(), make_quotas(Size(1000, 1000, 0))
        queue = make_queue(quotas, clock)
        quotas.charge("birch", Size(900, 0, 0))
        waiting = [
            make_job("low", "ash", Urgency.LOW),
            make_job("greedy", "birch", Urgency.LOW),
        ]
        quotas.set_quota("birch", Size(1000, 1000, 0))
        quotas.set_quota("cedar", Size(1000, 1000, 0))
        queue.push_all(waiting)
        clock.move(LIMITS[Urgency.LOW])
        taken = 0
        while "low" in queue or "greedy" in queue:
            taken += 1
            now = clock.monotonic()
            queue.push(make_job(f"u-{taken}", "cedar", Urgency.URGENT, submitted=now))
            offers = Pass(queue)
            job = offers.next()
            offers.take(job)
            quotas.release(job.team, job.need, CLASSES.index(job.urgency))
            self.assertLessEqual(taken, 3 * len(waiting))

    def test_overdue_jobs_that_fail_block_no_other_overdue_job(self):
        clock, quotas = ManualClock(), make_quotas(Size(9999, 0, 0))
        queue = make_queue(quotas, clock)
        for size in range(20):
            large = make_job(f"large-{size}", urgency=Urgency.LOW, size=Size(99 - size))
            queue.push(large)
        clock.move(timedelta(seconds=1))
        queue.push(make_job("late", urgency=Urgency.LOW, submitted=clock.monotonic()))
        clock.move(LIMITS[Urgency.LOW])
        taken = 0
        while "late" in queue:
            now = clock.monotonic()
            urgent = make_job("u", "cedar", Urgency.URGENT, submitted=now, tasks=200)
            queue.push(urgent)
            offers = Pass(queue)
            while "late" in queue and (job := offers.next()):
                if job.size.millicores > 1:
                    offers.fail(job, "millicores")
                    continue
                taken += 1
                self.assertLessEqual(taken, 9)
                offers.take(job)
                quotas.release(job.team, job.need, CLASSES.index(job.urgency))

    def test_many_cancellations_cost_linear_work(self):
        work = {}
        for count in (2500, 10_000):
            queue = make_queue(make_quotas(), ManualClock())
            queue.push_all(
                make_job(f"job-{n}", TEAMS[n % 3], CLASSES[n % 4], Size(n % 7, 1, 0))
                for n in range(count)
            )
            start = queue.work
            self.assertEqual(start, count)
            names = (f"job-{n * 7919 % count}" for n in range(count))
            self.assertEqual(queue.remove_all(names), count)
            work[count] = queue.work - start
            self.assertEqual(len(queue), 0)
        self.assertLessEqual(work[10_000], 5 * work[2500])
        self.assertLessEqual(work[10_000], 8 * 10_000)

    def test_a_failed_shape_is_tried_once_and_blocks_no_other(self):
        queue = make_queue(make_quotas(Size(1000, 1000, 0)), ManualClock())
        queue.push_all(make_job(f"big-{n}", size=Size(8, 8, 0)) for n in range(50))
        queue.push_all(make_job(f"huge-{n}", size=Size(9, 8, 0)) for n in range(50))
        queue.push(make_job("small", submitted=timedelta(seconds=1)))
        offers, offered = Pass(queue), []
        while job := offers.next():
            offered.append(job.name)
            if job.name == "small":
                offers.take(job)
            else:
                offers.fail(job, "memory")
        self.assertEqual(offered, ["big-0", "small"])

    def test_a_pass_after_failures_examines_no_job_again(self):
        queue = make_queue(make_quotas(Size(10_000, 10_000, 0)), ManualClock())
        for team in TEAMS:
            queue.quotas.set_quota(team, Size(10_000, 10_000, 0))
        queue.push_all(
            make_job(f"job-{n}", TEAMS[n % 3], CLASSES[n % 4], Size(1 + n % 50, 9, 0))
            for n in range(1000)
        )
        _fail_all(queue)
        with mock.patch.object(EntryHeap, "peek", side_effect=AssertionError):
            self.assertEqual(_fail_all(queue), [])
        queue.push(make_job("new", size=Size(1, 8, 0)))
        self.assertEqual(_fail_all(queue), ["new"])

    def test_free_capacity_unblocks_only_shapes_that_fit(self):
        queue = make_queue(make_quotas(Size(1000, 1000, 0)), ManualClock())
        queue.push(make_job("big", size=Size(8, 8, 0)))
        queue.push(make_job("long", size=Size(2, 9, 0)))
        _fail_all(queue)
        queue.unblock_fitting(Size(7, 7, 0))
        self.assertIsNone(Pass(queue).next())
        queue.unblock_fitting(Size(8, 8, 0))
        self.assertEqual(_fail_all(queue), ["big"])

    def test_a_failure_expires(self):
        clock = ManualClock()
        queue = make_queue(make_quotas(), clock)
        queue.push(make_job("job"))
        clock.move(timedelta(seconds=5))
        self.assertEqual(_fail_all(queue), ["job"])
        clock.move(timedelta(milliseconds=999))
        self.assertEqual(_fail_all(queue), [])
        clock.move(timedelta(milliseconds=1))
        self.assertEqual(_fail_all(queue), ["job"])

    def test_free_capacity_for_one_task_unblocks_a_gang(self):
        queue = make_queue(make_quotas(Size(1000, 1000, 0)), ManualClock())
        queue.push(make_job("gang", size=Size(4, 4, 0), tasks=9, gang=True))
        self.assertEqual(_fail_all(queue), ["gang"])
        queue.unblock_fitting(Size(4, 3, 0))
        self.assertEqual(_fail_all(queue), [])
        queue.unblock_fitting(Size(4, 4, 0))
        self.assertEqual(_fail_all(queue), ["gang"])

    def test_a_team_within_its_quota_is_tried_where_one_above_it_failed(self):
        quotas = make_quotas(Size(1000, 1000, 0))
        queue = make_queue(quotas, ManualClock())
        queue.push_all(make_job(team, team) for team in ("birch", "cedar"))
        quotas.charge("ash", Size(5, 5, 0))
        queue.push(make_job("ash", "ash"))
        quotas.set_quota("birch", Size())
        self.assertEqual(_fail_all(queue), ["birch", "cedar"])

    def test_a_skipped_job_blocks_no_job_of_its_shape(self):
        clock = ManualClock()
        queue = make_queue(make_quotas(Size(1000, 1000, 0)), clock)
        queue.push_all(make_job(f"job-{n}") for n in range(5))
        offers = Pass(queue)
        for _ in range(3):
            offers.skip(offers.next(), "it would hold up the reservation of x")
        self.assertEqual(offers.next().name, "job-3")
        queue.remove("job-3")
        self.assertEqual(offers.next().name, "job-4")
        clock.move(timedelta(seconds=1))
        self.assertEqual(Pass(queue).next().name, "job-0")

    def test_tasks_that_could_not_start_keep_their_position(self):
        quotas = make_quotas()
        queue = make_queue(quotas, ManualClock())
        queue.push(make_job("first", tasks=3))
        queue.push(make_job("second", submitted=timedelta(seconds=1)))
        offers = Pass(queue)
        job = offers.next()
        offers.take(job)
        self.assertEqual(queue.get("first").tasks, 2)
        queue.put_back(job)
        self.assertEqual(queue.get("first").tasks, 3)
        self.assertEqual(quotas.read("ash").use, Size(0, 0, 0))
        self.assertEqual(quotas.read("ash").demand, Size(4, 4, 0))
        self.assertEqual(Pass(queue).next().name, "first")


class TestDescribe(unittest.TestCase):
    """The reasons why a job waits are described."""

    def test_each_cause_is_named(self):
        quotas = make_quotas()
        queue = make_queue(quotas, ManualClock())
        queue.push(make_job("a", size=Size(2, 2, 0)))
        queue.push(make_job("b", size=Size(2, 2, 0), submitted=timedelta(seconds=1)))
        self.assertIn("number 2 of team ash in class normal", queue.describe("b")[0])
        order = "no team that waits in the class uses less of its share"
        self.assertEqual(queue.describe("b")[1], order)
        _fail_all(queue)
        self.assertEqual(queue.describe("b")[1], "no worker has room: memory")
        quotas.charge("birch", CAPACITY)
        quotas.charge("ash", Size(4, 0, 0))
        self.assertIn("quota of millicores", queue.describe("b")[1])
        self.assertEqual(queue.describe("c"), ())


def _fail_all(queue):
    offers, names = Pass(queue), []
    while job := offers.next():
        names.append(job.name)
        offers.fail(job, "memory")
    return names


def _is_as_hard(other, job, naive):
    """Return whether the failure of ``job`` covers ``other`` by definition."""
    return (
        CLASSES.index(other.urgency) >= CLASSES.index(job.urgency)
        and other.offered >= job.offered
        and fits(job.size, other.size)
        and (_is_within(job, naive) or not _is_within(other, naive))
    )


def _is_within(job, naive):
    use = naive.use(job.team)
    return all(
        not need or use[index] + need <= 5 - 4 * (index == 2)
        for index, need in enumerate(job.need)
    )
