"""Gangs: planned capacity, and reservations by the owners of workers."""

import unittest
from datetime import timedelta

from damaskdeck.coordination.places.allocator import CapacityAllocator, Hold
from damaskdeck.coordination.places.backfill import Backfill
from damaskdeck.coordination.places.gangreservations import COOLDOWN, RESERVATION_LIMIT
from damaskdeck.coordination.places.placement import Placed, Placer
from damaskdeck.protocol.jobs import GangRequest, ReservationRequest, SizeData
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccounts
from standins.clock import ManualClock
from tests.test_accounts import make_worker

SECOND = timedelta(seconds=1)
SMALL, LARGE = Size(1, 1, 0), Size(4, 4, 0)


class TestBackfill(unittest.TestCase):
    """Capacity is planned for a gang, and other tasks may use it until then."""

    def setUp(self):
        self.clock = ManualClock()
        self.accounts = WorkerAccounts()
        for name in ("w", "x", "y"):
            self.accounts.set_worker(make_worker(name, LARGE))
        self.times = {}
        self.placer = Placer(self.accounts)
        self.backfill = Backfill(
            self.accounts,
            self.clock,
            lambda need: self.times[need.task] * SECOND,
            self.placer.find_refusal,
        )
        self.placer.add_filter("planned", self.backfill.prepare)

    def make_need(self, task, size, seconds, urgency=Urgency.NORMAL):
        self.times[task] = seconds
        now = self.clock.monotonic()
        return TaskNeed(task, size, urgency=urgency, started=now)

    def run_task(self, task, worker, size, seconds):
        self.accounts.reserve(self.make_need(task, size, seconds), worker)

    def plan_gang(self, count=2):
        needs = tuple(self.make_need(f"g{n}", LARGE, 50) for n in range(count))
        return self.backfill.make_plan("gang", needs)

    def place(self, need):
        outcome = self.placer.place(need)
        if not isinstance(outcome, Placed):
            return None
        self.accounts.reserve(need, outcome.worker)
        self.backfill.record_start(need, outcome.worker)
        return outcome.worker

    def test_the_plan_uses_the_workers_that_are_free_first(self):
        self.run_task("long", "w", SMALL, 100)
        self.run_task("short", "x", SMALL, 10)
        plan = self.plan_gang()
        self.assertEqual(plan.start, 10 * SECOND)
        self.assertEqual(set(plan.spare), {"x", "y"})

    def test_only_tasks_that_end_before_or_fit_beside_are_placed(self):
        self.run_task("long", "w", LARGE, 100)
        self.run_task("short", "x", SMALL, 10)
        self.plan_gang()
        self.assertIsNone(self.place(self.make_need("late", SMALL, 11)))
        self.assertIn(self.place(self.make_need("early", SMALL, 10)), "xy")
        urgent = self.make_need("urgent", SMALL, 99, Urgency.URGENT)
        self.assertIsNotNone(self.place(urgent))

    def test_a_task_beside_the_gang_is_placed_once(self):
        self.run_task("short", "w", Size(2, 2, 0), 10)
        for name in ("x", "y"):
            self.run_task(name, name, LARGE, 100)
        needs = (self.make_need("g", Size(3, 3, 0), 50),)
        self.assertEqual(
            self.backfill.make_plan("gang", needs).spare["w"], Size(1, 1, 0)
        )
        self.accounts.release("short")
        self.assertEqual(self.place(self.make_need("beside", SMALL, 99)), "w")
        self.assertIsNone(self.place(self.make_need("again", SMALL, 99)))
        self.assertEqual(self.place(needs[0]), "w")

    def test_a_stream_of_small_tasks_does_not_starve_the_gang(self):
        for name in ("w", "x", "y"):
            self.run_task(name, name, SMALL, 10)
        self.plan_gang(3)
        running = []
        for second in range(200):
            self.clock.move(SECOND)
            self.backfill.refresh()
            ended = {task for end, task in running if end <= second}
            for task in ended | ({"w", "x", "y"} if second == 10 else set()):
                self.accounts.release(task)
            plan = self.backfill.plan
            free = [account.free == LARGE for account in self.accounts.workers.values()]
            if plan.start <= self.clock.monotonic() and all(free):
                return
            # The declared run time is too short by a factor of four.
            need = self.make_need(f"small-{second}", SMALL, 5)
            if self.place(need):
                running.append((second + 20, need.task))
        self.fail("the gang never fits")

    def test_nothing_is_planned_behind_tasks_that_never_end(self):
        for name in ("w", "x"):
            self.run_task(name, name, SMALL, 10**8)
        self.assertIsNone(self.plan_gang())
        need = self.make_need("late", SMALL, 99)
        self.assertIsNotNone(self.place(need))


class TestGangReservations(unittest.TestCase):
    """An owner reserves capacity for the first gang, for a limited time."""

    def setUp(self):
        self.clock = ManualClock()
        self.accounts = WorkerAccounts()
        for name in ("w", "x"):
            self.accounts.set_worker(make_worker(name, LARGE))
        self.allocator = CapacityAllocator(self.accounts, self.clock, lambda *_: None)

    def request_capacity(self, job, size=LARGE, submitted=None, count=2, index=0):
        task = f"{job}-{index}"
        request = ReservationRequest(
            task=task, attempt=1, size=SizeData(**size._asdict())
        )
        if submitted is not None:
            gang = GangRequest(submitted=submitted, index=index, count=count)
            request["gang"] = gang
        return self.allocator.hold(request)

    def run_small(self, number):
        """Hold capacity for a small task and start it; return the hold or a code."""
        hold = self.request_capacity(f"small-00-{number}", SMALL)
        if isinstance(hold, Hold):
            self.allocator.confirm(f"small-00-{number}-0", hold.worker)
        return hold

    def end_small(self, number):
        hold = self.accounts.release(f"small-00-{number}-0")
        self.allocator.record_end(hold.worker, hold.need.task, "succeeded")

    def observe_short_tasks(self):
        """Let the estimates observe tasks of one workload that run for 10 s."""
        for number in range(8):
            self.run_small(number)
        self.clock.move(10 * SECOND)
        for number in range(8):
            self.end_small(number)

    def fill(self, seconds):
        """Run a task with a declared run time on each worker."""
        for name in ("w", "x"):
            need = TaskNeed(
                f"long-00-{name}-0",
                Size(3, 3, 0),
                idempotent=False,
                started=self.clock.monotonic(),
                run_time=seconds * SECOND,
            )
            self.accounts.reserve(need, name)

    def test_known_short_tasks_are_placed_and_unknown_tasks_are_not(self):
        self.observe_short_tasks()
        self.fill(60)
        self.assertEqual(self.request_capacity("gang-00-a", submitted=1), "room_kept")
        self.assertIsInstance(self.run_small(20), Hold)
        self.assertEqual(self.request_capacity("other-00-a", SMALL), "no_room")

    def test_short_tasks_are_refused_once_they_would_delay_the_gang(self):
        self.observe_short_tasks()
        self.fill(60)
        for _ in range(14):
            self.request_capacity("gang-00-a", submitted=1)
            self.clock.move(4 * SECOND)
        self.assertEqual(self.allocator.find_reserved_gang(), "gang-00-a")
        self.assertEqual(self.run_small(20), "no_room")

    def test_the_first_submitted_gang_has_priority_in_any_order(self):
        self.fill(60)
        self.assertEqual(self.request_capacity("gang-00-b", submitted=2), "room_kept")
        self.assertEqual(self.request_capacity("gang-01-a", submitted=1), "room_kept")
        self.assertEqual(self.request_capacity("gang-00-b", submitted=2), "no_room")
        self.assertEqual(self.allocator.find_reserved_gang(), "gang-01-a")

    def test_capacity_is_reserved_for_a_limited_time(self):
        self.fill(20 * 3600)
        for _ in range(RESERVATION_LIMIT // (4 * SECOND)):
            self.assertEqual(
                self.request_capacity("gang-00-a", submitted=1), "room_kept"
            )
            self.clock.move(4 * SECOND)
        self.assertEqual(self.request_capacity("gang-00-a", submitted=1), "no_room")
        self.assertIsInstance(self.request_capacity("other-00-a", SMALL), Hold)
        self.clock.move(COOLDOWN)
        self.allocator.expire()
        self.assertEqual(self.request_capacity("gang-00-a", submitted=1), "room_kept")

    def test_a_reservation_expires_without_further_requests(self):
        self.fill(60)
        self.request_capacity("gang-00-a", submitted=1)
        self.clock.move(6 * SECOND)
        self.allocator.expire()
        self.assertEqual(self.allocator.find_reserved_gang(), "")
        self.assertIsInstance(self.request_capacity("other-00-a", SMALL), Hold)
