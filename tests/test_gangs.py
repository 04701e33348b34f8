"""Gangs: planned room, and all tasks or none across owners."""

import unittest
from datetime import timedelta

from damaskdeck.coordination.backfill import Backfill
from damaskdeck.coordination.placement import Placed, Placer
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.accounts import Accounts, TaskNeed
from standins.clock import ManualClock
from tests.test_accounts import make_worker

SECOND = timedelta(seconds=1)
SMALL, LARGE = Size(1, 1, 0), Size(4, 4, 0)


class TestBackfill(unittest.TestCase):
    """Room is planned for a gang and other work may use it until then."""

    def setUp(self):
        self.clock = ManualClock()
        self.accounts = Accounts()
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
        self.backfill.note_start(need, outcome.worker)
        return outcome.worker

    def test_the_plan_takes_the_workers_that_are_free_first(self):
        self.run_task("long", "w", SMALL, 100)
        self.run_task("short", "x", SMALL, 10)
        plan = self.plan_gang()
        self.assertEqual(plan.start, 10 * SECOND)
        self.assertEqual(set(plan.spare), {"x", "y"})

    def test_only_what_ends_before_or_fits_beside_is_let_in(self):
        self.run_task("long", "w", LARGE, 100)
        self.run_task("short", "x", SMALL, 10)
        self.plan_gang()
        self.assertIsNone(self.place(self.make_need("late", SMALL, 11)))
        self.assertIn(self.place(self.make_need("early", SMALL, 10)), "xy")
        urgent = self.make_need("urgent", SMALL, 99, Urgency.URGENT)
        self.assertIsNotNone(self.place(urgent))

    def test_what_fits_beside_the_gang_is_let_in_once(self):
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

    def test_small_work_that_keeps_coming_does_not_starve_the_gang(self):
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
            # Declared too short by four times.
            need = self.make_need(f"small-{second}", SMALL, 5)
            if self.place(need):
                running.append((second + 20, need.task))
        self.fail("the gang never fits")

    def test_no_room_is_planned_behind_what_never_ends(self):
        for name in ("w", "x"):
            self.run_task(name, name, SMALL, 10**8)
        self.assertIsNone(self.plan_gang())
        need = self.make_need("late", SMALL, 99)
        self.assertIsNotNone(self.place(need))
