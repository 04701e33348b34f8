"""Worker accounts: exact sums, never above a worker's size, holds that expire."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.errors import InvariantError
from damaskdeck.protocol.ports import Instance, InstanceRole, InstanceState
from damaskdeck.protocol.sizes import Size, subtract_sizes
from damaskdeck.state.workeraccounts import (
    AlreadyReserved,
    InsufficientCapacity,
    NoReservation,
    Reserved,
    TaskNeed,
    WorkerAccounts,
    WorkerUnavailable,
)

MEDIUM = Size(4000, 8000, 1)
SECOND = timedelta(seconds=1)
SIZES = st.builds(Size, st.integers(0, 6), st.integers(0, 6), st.integers(0, 2))
TASKS = st.sampled_from(["t0", "t1", "t2", "t3", "t4", "t5"])
WORKERS = st.sampled_from(["w0", "w1", "w2"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("worker"), WORKERS, SIZES, st.booleans()),
        st.tuples(st.just("remove"), WORKERS),
        st.tuples(st.just("close"), WORKERS, st.booleans()),
        st.tuples(st.just("reserve"), TASKS, WORKERS, SIZES, st.booleans()),
        st.tuples(st.just("hold"), TASKS, WORKERS, SIZES, st.integers(0, 9)),
        st.tuples(st.just("adopt"), TASKS, WORKERS, SIZES),
        st.tuples(st.just("release"), TASKS),
        st.tuples(st.just("move"), TASKS, WORKERS),
        st.tuples(st.just("resize"), TASKS, SIZES),
        st.tuples(st.just("confirm"), TASKS, st.integers(0, 9)),
        st.tuples(st.just("extend_hold"), TASKS, st.integers(0, 9)),
        st.tuples(st.just("expire"), st.integers(0, 9)),
    ),
    max_size=40,
)


def make_worker(name, size=MEDIUM, zone="a", rack="r0", leaving=False):
    """Return a worker as the platform lists it."""
    state = InstanceState.LEAVING if leaving else InstanceState.LIVE
    role = InstanceRole.WORKER
    return Instance(name, role, zone, "127.0.0.1:1", state, rack, size=size)


class Driver:
    """Applies the steps of a generated history to accounts."""

    def __init__(self):
        self.accounts = WorkerAccounts()

    def worker(self, name, size, is_leaving):
        zone = f"z{size[2]}"
        self.accounts.set_worker(make_worker(name, size, zone, leaving=is_leaving))

    def remove(self, name):
        self.accounts.remove_worker(name)

    def close(self, name, is_closed):
        self.accounts.close_worker(name, "quarantined" if is_closed else "")

    def reserve(self, task, worker, size, is_grouped):
        need = TaskNeed(task, size, "service" if is_grouped else "")
        self.accounts.reserve(need, worker)

    def hold(self, task, worker, size, deadline):
        self.accounts.reserve(TaskNeed(task, size), worker, deadline * SECOND)

    def adopt(self, task, worker, size):
        self.accounts.adopt(TaskNeed(task, size, "service"), worker)

    def release(self, task):
        self.accounts.release(task)

    def move(self, task, worker):
        before = self.accounts.find(task)
        if not isinstance(self.accounts.move(task, worker), Reserved):
            assert self.accounts.find(task) == before

    def resize(self, task, size):
        self.accounts.resize(task, size)

    def confirm(self, task, now):
        self.accounts.confirm(task, now * SECOND)

    def extend_hold(self, task, deadline):
        self.accounts.extend_hold(task, deadline * SECOND)

    def expire(self, now):
        self.accounts.expire(now * SECOND)
        for account in self.accounts.workers.values():
            for held in account.reservations.values():
                assert held.deadline is None or held.deadline > now * SECOND


class TestAccounts(unittest.TestCase):
    """After any history, the accounts equal a recount."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(STEPS)
    def test_accounts_equal_a_recount_after_every_step(self, steps):
        driver = Driver()
        accounts = driver.accounts
        for name, *arguments in steps:
            getattr(driver, name)(*arguments)
            self.assertEqual(accounts.recount(), accounts.totals)
            groups = accounts.recount_groups()
            self.assertEqual(accounts.count_group("service"), groups.get("service", {}))

    def test_each_dimension_refuses_a_task_that_does_not_fit(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("w"))
        for size, dimension in (
            (Size(4001, 0, 0), "millicores"),
            (Size(0, 8001, 0), "memory"),
            (Size(0, 0, 2), "accelerators"),
        ):
            outcome = accounts.reserve(TaskNeed("t", size), "w")
            self.assertEqual(outcome, InsufficientCapacity(dimension))
        self.assertEqual(accounts.totals.tasks, 0)

    def test_a_task_is_on_one_worker_at_most(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("w"))
        accounts.set_worker(make_worker("x"))
        need = TaskNeed("t", Size(1, 1, 0))
        self.assertEqual(accounts.reserve(need, "w"), Reserved("w"))
        self.assertEqual(accounts.reserve(need, "x"), AlreadyReserved("w"))
        self.assertEqual(accounts.move("t", "x"), Reserved("x"))
        self.assertEqual(accounts.workers["w"].reservations, {})
        self.assertEqual(accounts.move("u", "x"), NoReservation("u"))

    def test_negative_free_capacity_raises_invariant_error(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("w"))
        account = accounts.workers["w"]
        accounts.reserve(TaskNeed("t", Size(4000, 0, 0)), "w")
        account.free = subtract_sizes(account.free, Size(0, 1, 0))
        with self.assertRaises(InvariantError):
            accounts.recount()
        account.free = account.size
        with self.assertRaises(InvariantError):
            accounts.release("t")

    def test_closed_or_leaving_worker_accepts_only_running_tasks(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("w"))
        accounts.close_worker("w", "quarantined")
        need = TaskNeed("t", Size(1, 1, 0))
        self.assertEqual(accounts.reserve(need, "w"), WorkerUnavailable("quarantined"))
        self.assertEqual(accounts.adopt(need, "w"), Reserved("w"))
        accounts.set_worker(make_worker("w", leaving=True))
        accounts.close_worker("w", "")
        need = TaskNeed("u", Size(1, 1, 0))
        self.assertEqual(accounts.reserve(need, "w"), WorkerUnavailable("leaving"))

    def test_worker_that_shrank_below_its_usage_accepts_no_tasks(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("w"))
        accounts.reserve(TaskNeed("t", Size(3000, 0, 0)), "w")
        shrunk = make_worker("w", Size(2000, 8000, 1))
        self.assertEqual(
            accounts.set_worker(shrunk), InsufficientCapacity("millicores")
        )
        outcome = accounts.reserve(TaskNeed("u", Size(1, 0, 0)), "w")
        self.assertEqual(outcome, WorkerUnavailable("shrunk"))
        accounts.release("t")
        self.assertIsNone(accounts.set_worker(shrunk))
        self.assertEqual(accounts.totals.free, Size(2000, 8000, 1))

    def test_hold_ends_unless_confirmed_in_time(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("w"))
        for task in ("kept", "late", "left"):
            accounts.reserve(TaskNeed(task, Size(1, 1, 0)), "w", 5 * SECOND)
        self.assertTrue(accounts.confirm("kept", 4 * SECOND))
        self.assertFalse(accounts.confirm("late", 5 * SECOND))
        ended = {held.need.task for held in accounts.expire(5 * SECOND)}
        self.assertEqual(ended, {"late", "left"})
        self.assertTrue(accounts.confirm("kept", 9 * SECOND))
        self.assertFalse(accounts.confirm("left", 9 * SECOND))
