"""Preemption chooses only allowed victims, enough of them and no unneeded ones."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.places.placement import Placed, Placer
from damaskdeck.coordination.places.preemption import (
    RANKS,
    NoVictims,
    PreemptionBudget,
    Preemptor,
    Victims,
)
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size, add_sizes, fits
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccounts
from standins.clock import ManualClock
from tests.test_accounts import make_worker

SECOND = timedelta(seconds=1)
SIZES = st.builds(Size, st.integers(0, 4), st.integers(0, 4), st.integers(0, 1))
TASKS = st.tuples(
    SIZES, st.sampled_from(list(Urgency)), st.booleans(), st.booleans(),
    st.integers(0, 9), st.sampled_from(["w0", "w1"]),
)  # fmt: skip


def make_preemptor(workers, limit=100, per_task=3):
    """Return accounts of workers, a clock and a preemptor that uses them."""
    accounts = WorkerAccounts()
    for worker in workers:
        accounts.set_worker(worker)
    clock = ManualClock()
    budget = PreemptionBudget(clock, limit, SECOND, per_task)
    return accounts, clock, Preemptor(accounts, clock, budget)


class TestPreemptor(unittest.TestCase):
    """The choice of victims."""

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.lists(TASKS, max_size=10), SIZES, st.sampled_from(list(Urgency)))
    def test_victims_are_allowed_sufficient_and_all_needed(self, tasks, size, urgency):
        workers = [make_worker(name, Size(6, 6, 1)) for name in ("w0", "w1")]
        accounts, clock, preemptor = make_preemptor(workers)
        clock.move(10 * SECOND)
        for number, (
            task_size,
            rank,
            idempotent,
            checkpoint,
            start,
            worker,
        ) in enumerate(tasks):
            need = TaskNeed(
                f"t{number}", task_size, "", rank, idempotent, checkpoint,
                started=start * SECOND,
            )  # fmt: skip
            accounts.reserve(need, worker)
        need = TaskNeed("new", size, urgency=urgency)
        capacities = {
            name: self.find_preemptible_capacity(accounts, name, need)
            for name in ("w0", "w1")
        }
        victims = preemptor.choose(need)
        if isinstance(victims, NoVictims):
            self.assertFalse(
                any(fits(size, capacity) for capacity in capacities.values())
            )
            return
        account = accounts.workers[victims.worker]
        preempted = [account.reservations[task].need for task in victims.checkpointed]
        self.assertTrue(all(running.checkpoint for running in preempted))
        stopped = [account.reservations[task].need for task in victims.stopped]
        self.assertTrue(all(running.idempotent for running in stopped))
        self.assertTrue(not stopped or urgency is Urgency.URGENT)
        preempted += stopped
        for left_running in [*preempted, None]:
            capacity = account.free
            for running in preempted:
                if running is not left_running:
                    capacity = add_sizes(capacity, running.size)
                self.assertLess(RANKS[urgency], RANKS[running.urgency])
            self.assertEqual(fits(size, capacity), left_running is None)

    def find_preemptible_capacity(self, accounts, name, need):
        account = accounts.workers[name]
        capacity = account.free
        for reservation in account.reservations.values():
            running = reservation.need
            may_preempt = running.checkpoint or (
                running.idempotent and need.urgency is Urgency.URGENT
            )
            if may_preempt and RANKS[need.urgency] < RANKS[running.urgency]:
                capacity = add_sizes(capacity, running.size)
        return capacity

    def test_checkpointable_tasks_go_before_others_that_lose_less(self):
        accounts, clock, preemptor = make_preemptor([make_worker("w", Size(2, 2, 0))])
        for task, checkpoint, started in (("old", True, 0), ("new", False, 99)):
            need = TaskNeed(
                task, Size(1, 1, 0), "", Urgency.LOW, True, checkpoint,
                started=started * SECOND,
            )  # fmt: skip
            accounts.reserve(need, "w")
        clock.move(100 * SECOND)
        need = TaskNeed("urgent", Size(1, 1, 0), urgency=Urgency.URGENT)
        self.assertEqual(preemptor.choose(need).checkpointed, ("old",))

    def test_the_worker_with_least_work_lost_is_chosen(self):
        workers = [make_worker(name, Size(1000, 1, 0)) for name in ("w", "x", "y")]
        accounts, clock, preemptor = make_preemptor(workers)
        clock.move(100 * SECOND)
        for worker, started in (("w", 10), ("x", 90), ("y", 50)):
            size = Size(1000, 1, 0)
            need = TaskNeed(worker, size, urgency=Urgency.LOW, started=started * SECOND)
            accounts.reserve(need, worker)
        need = TaskNeed("urgent", size, urgency=Urgency.URGENT)
        self.assertEqual(preemptor.choose(need), Victims("x", (), ("x",), 10.0))

    def test_freed_capacity_is_claimed_for_the_task_it_was_freed_for(self):
        accounts, _, preemptor = make_preemptor([make_worker("w", Size(4, 4, 0))])
        placer = Placer(accounts)
        placer.add_filter("claimed", preemptor.prepare_claims)
        accounts.reserve(TaskNeed("low", Size(2, 2, 0), urgency=Urgency.LOW), "w")
        first = TaskNeed("first", Size(3, 3, 0), urgency=Urgency.URGENT)
        other = TaskNeed("other", Size(2, 2, 0), urgency=Urgency.HIGH)
        self.assertEqual(preemptor.choose(first).stopped, ("low",))
        self.assertNotIsInstance(placer.place(other), Placed)
        self.assertEqual(preemptor.choose(first).stopped, ())
        accounts.release("low")
        preemptor.record_end("low")
        self.assertNotIsInstance(placer.place(other), Placed)
        self.assertEqual(placer.place(first).worker, "w")
        preemptor.drop_claim("first")
        self.assertEqual(placer.place(other).worker, "w")

    def test_the_same_capacity_is_not_freed_for_two_tasks(self):
        accounts, _, preemptor = make_preemptor([make_worker("w", Size(4, 4, 0))])
        for task in ("a", "b"):
            need = TaskNeed(task, Size(1, 1, 0), urgency=Urgency.LOW)
            accounts.reserve(need, "w")
        first = TaskNeed("first", Size(3, 3, 0), urgency=Urgency.URGENT)
        second = TaskNeed("second", Size(1, 1, 0), urgency=Urgency.URGENT)
        third = TaskNeed("third", Size(1, 1, 0), urgency=Urgency.URGENT)
        self.assertEqual(len(preemptor.choose(first).stopped), 1)
        self.assertEqual(len(preemptor.choose(second).stopped), 1)
        self.assertEqual(preemptor.choose(third), NoVictims("no_victims"))


class TestPreemptionBudget(unittest.TestCase):
    """Preemption is limited for each task and in total."""

    def test_tasks_are_preempted_a_bounded_number_of_times(self):
        accounts, _, preemptor = make_preemptor(
            [make_worker("w", Size(1, 1, 0))], per_task=2
        )
        for number in range(3):
            need = TaskNeed("low", Size(1, 1, 0), urgency=Urgency.LOW)
            accounts.reserve(need, "w")
            urgent = TaskNeed(f"u{number}", Size(1, 1, 0), urgency=Urgency.URGENT)
            victims = preemptor.choose(urgent)
            accounts.release("low")
            preemptor.record_end("low")
            preemptor.drop_claim(f"u{number}")
        self.assertEqual(victims, NoVictims("no_victims"))

    def test_victims_of_a_lost_worker_do_not_count_when_it_returns(self):
        for size in (Size(1, 1, 0), Size(2, 2, 0)):
            with self.subTest(size=size):
                self.lose_worker(size)

    def lose_worker(self, size):
        """Lose a worker with a victim, and get it back without the task."""
        worker = make_worker("w", Size(2, 2, 0))
        accounts, _, preemptor = make_preemptor([worker])
        low = TaskNeed("low", Size(2, 2, 0), urgency=Urgency.LOW, checkpoint=True)
        accounts.reserve(low, "w")
        urgent = TaskNeed("u", size, urgency=Urgency.URGENT)
        self.assertIsInstance(preemptor.choose(urgent), Victims)
        accounts.remove_worker("w")
        preemptor.drop_claim("u")
        accounts.set_worker(worker)
        self.assertEqual(preemptor.find_free_capacity("w"), Size(2, 2, 0))
        accounts.reserve(low._replace(task="other"), "w")
        self.assertEqual(preemptor.choose(urgent).checkpointed, ("other",))

    def test_the_budget_refills_with_time(self):
        workers = [make_worker(f"w{number}", Size(1, 1, 0)) for number in range(3)]
        accounts, clock, preemptor = make_preemptor(workers, limit=2)
        for worker in accounts.workers:
            need = TaskNeed(worker, Size(1, 1, 0), urgency=Urgency.LOW)
            accounts.reserve(need, worker)
        outcomes = [
            preemptor.choose(TaskNeed(f"u{n}", Size(1, 1, 0), urgency=Urgency.URGENT))
            for n in range(3)
        ]
        self.assertEqual(outcomes[2], NoVictims("budget"))
        clock.move(SECOND)
        need = TaskNeed("u2", Size(1, 1, 0), urgency=Urgency.URGENT)
        self.assertIsInstance(preemptor.choose(need), Victims)
