"""Preemption: only victims that may go, enough of them and no more than needed."""

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
    """Make accounts of workers and a preemptor over them."""
    accounts = WorkerAccounts()
    for worker in workers:
        accounts.set_worker(worker)
    clock = ManualClock()
    budget = PreemptionBudget(clock, limit, SECOND, per_task)
    return accounts, clock, Preemptor(accounts, clock, budget)


class TestPreemptor(unittest.TestCase):
    """Who has to go, and who never has to."""

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.lists(TASKS, max_size=10), SIZES, st.sampled_from(list(Urgency)))
    def test_victims_may_go_suffice_and_are_all_needed(self, tasks, size, urgency):
        workers = [make_worker(name, Size(6, 6, 1)) for name in ("w0", "w1")]
        accounts, clock, preemptor = make_preemptor(workers)
        clock.move(10 * SECOND)
        for number, (held, rank, idempotent, checkpoint, start, worker) in enumerate(
            tasks
        ):
            need = TaskNeed(
                f"t{number}", held, "", rank, idempotent, checkpoint,
                started=start * SECOND,
            )  # fmt: skip
            accounts.reserve(need, worker)
        need = TaskNeed("new", size, urgency=urgency)
        rooms = {
            name: self.find_most_room(accounts, name, need) for name in ("w0", "w1")
        }
        victims = preemptor.choose(need)
        if isinstance(victims, NoVictims):
            self.assertFalse(any(fits(size, room) for room in rooms.values()))
            return
        account = accounts.workers[victims.worker]
        gone = [account.reservations[task].need for task in victims.checkpointed]
        self.assertTrue(all(running.checkpoint for running in gone))
        stopped = [account.reservations[task].need for task in victims.stopped]
        self.assertTrue(all(running.idempotent for running in stopped))
        self.assertTrue(not stopped or urgency is Urgency.URGENT)
        gone += stopped
        for left_out in [*gone, None]:
            room = account.free
            for running in gone:
                if running is not left_out:
                    room = add_sizes(room, running.size)
                self.assertLess(RANKS[urgency], RANKS[running.urgency])
            self.assertEqual(fits(size, room), left_out is None)

    def find_most_room(self, accounts, name, need):
        account = accounts.workers[name]
        room = account.free
        for held in account.reservations.values():
            running = held.need
            may_go = running.checkpoint or (
                running.idempotent and need.urgency is Urgency.URGENT
            )
            if may_go and RANKS[need.urgency] < RANKS[running.urgency]:
                room = add_sizes(room, running.size)
        return room

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

    def test_the_worker_with_least_work_lost_is_cleared(self):
        workers = [make_worker(name, Size(1000, 1, 0)) for name in ("w", "x", "y")]
        accounts, clock, preemptor = make_preemptor(workers)
        clock.move(100 * SECOND)
        for worker, started in (("w", 10), ("x", 90), ("y", 50)):
            size = Size(1000, 1, 0)
            need = TaskNeed(worker, size, urgency=Urgency.LOW, started=started * SECOND)
            accounts.reserve(need, worker)
        need = TaskNeed("urgent", size, urgency=Urgency.URGENT)
        self.assertEqual(preemptor.choose(need), Victims("x", (), ("x",), 10.0))

    def test_a_cleared_room_is_kept_for_whom_it_was_cleared(self):
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

    def test_the_same_room_is_not_cleared_for_two(self):
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
    """Preemption doesn't spread."""

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

    def test_victims_of_a_worker_that_was_lost_lend_it_no_room_later(self):
        for size in (Size(1, 1, 0), Size(2, 2, 0)):
            with self.subTest(size=size):
                self.lose_worker(size)

    def lose_worker(self, size):
        """Lose a worker whose task is a victim, and get it back without it."""
        worker = make_worker("w", Size(2, 2, 0))
        accounts, _, preemptor = make_preemptor([worker])
        low = TaskNeed("low", Size(2, 2, 0), urgency=Urgency.LOW, checkpoint=True)
        accounts.reserve(low, "w")
        urgent = TaskNeed("u", size, urgency=Urgency.URGENT)
        self.assertIsInstance(preemptor.choose(urgent), Victims)
        accounts.remove_worker("w")
        preemptor.drop_claim("u")
        accounts.set_worker(worker)
        self.assertEqual(preemptor.find_room("w"), Size(2, 2, 0))
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
