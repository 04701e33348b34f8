"""Placement compared with a naive scheduler that scans every worker."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.places.filters import find_refusal
from damaskdeck.coordination.places.placement import Impossible, Placed, Placer
from damaskdeck.protocol.ports import InstanceState
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.workeraccounts import (
    InsufficientCapacity,
    Reserved,
    TaskNeed,
    WorkerAccounts,
)
from tests.naive_scheduler import NaiveScheduler
from tests.test_accounts import make_worker

LARGE = Size(8000, 16000, 0)
ZONES = st.sets(st.sampled_from(["a", "b", "c"]), max_size=2)
SIZES = st.builds(
    Size,
    st.sampled_from([0, 1, 250, 999, 1000, 2000, 3999, 4000]),
    st.sampled_from([0, 1, 512, 4095, 4096, 8192]),
    st.sampled_from([0, 0, 0, 1, 2]),
)
NAMES = [f"w{number}" for number in range(8)]
WORKERS = st.lists(
    st.tuples(SIZES, st.sampled_from("abc"), st.booleans()), min_size=1, max_size=8
)
NEEDS = st.lists(
    st.tuples(
        SIZES,
        ZONES,
        st.sampled_from(["", "", "s"]),
        st.integers(0, 9),
        st.one_of(st.just(()), st.frozensets(st.sampled_from(NAMES))),
    ),
    max_size=30,
)


class TestPlacer(unittest.TestCase):
    """Placements fit, and only tasks that can't fit are reported impossible."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(WORKERS, NEEDS)
    def test_naive_agrees_with_each_decision(self, workers, needs):
        instances = [
            make_worker(f"w{number}", size, zone, leaving=is_leaving)
            for number, (size, zone, is_leaving) in enumerate(workers)
        ]
        naive, empty = NaiveScheduler(instances), NaiveScheduler(instances)
        accounts = WorkerAccounts()
        placer = Placer(accounts)
        for instance in instances:
            accounts.set_worker(instance)
        for number, (size, zones, group, other, avoid) in enumerate(needs):
            if other < 3:
                accounts.release(f"t{other}")
                naive.stop(f"t{other}")
            need = TaskNeed(
                f"t{number}",
                size,
                group,
                zones=frozenset(zones),
                avoid=frozenset(avoid),
            )
            outcome = placer.place(need)
            if isinstance(outcome, Placed):
                self.assertTrue(naive.can_hold(need, outcome.worker))
                self.assertEqual(
                    accounts.reserve(need, outcome.worker), Reserved(outcome.worker)
                )
                naive.start(need, outcome.worker)
            else:
                self.assertIsNone(naive.place(need))
            if empty.place(need) is not None:
                self.assertNotIsInstance(outcome, Impossible)
            for name in accounts.workers:
                self.assertEqual(
                    find_refusal(need, accounts.workers[name]) is None,
                    naive.can_hold(need, name),
                )

    def test_the_index_follows_workers_that_close_leave_and_vanish(self):
        accounts = WorkerAccounts()
        placer = Placer(accounts)
        need = TaskNeed("t", Size(1000, 1000, 0))
        self.assertEqual(placer.place(need), InsufficientCapacity("workers"))
        for name in ("w", "x", "y"):
            accounts.set_worker(make_worker(name, LARGE))
        accounts.close_worker("w", "quarantined")
        accounts.set_worker(make_worker("x", LARGE, leaving=True))
        self.assertEqual(placer.place(need).worker, "y")
        accounts.remove_worker("y")
        self.assertIsInstance(placer.place(need), InsufficientCapacity)
        accounts.close_worker("w", "")
        self.assertEqual(placer.place(need).worker, "w")

    def test_avoided_workers_hide_no_other(self):
        accounts = WorkerAccounts()
        placer = Placer(accounts)
        for name in NAMES:
            accounts.set_worker(make_worker(name, LARGE))
        accounts.set_worker(make_worker("fast", Size(8000, 16000, 1)))
        need = TaskNeed("t", Size(1000, 1000, 0), avoid=frozenset(NAMES[:-1]))
        self.assertEqual(placer.place(need).worker, NAMES[-1])
        need = TaskNeed("t", Size(1000, 1000, 0), avoid=frozenset(NAMES))
        self.assertEqual(placer.place(need).worker, "fast")

    def test_a_refused_cell_hides_no_larger_one(self):
        accounts = WorkerAccounts()
        placer = Placer(accounts)
        accounts.set_worker(make_worker("tight", Size(8000, 4000, 0)))
        accounts.set_worker(make_worker("loose", Size(8000, 64_000, 0)))
        need = TaskNeed("t", Size(1000, 1000, 0), avoid=frozenset({"tight"}))
        self.assertEqual(placer.place(need).worker, "loose")

    def test_no_room_names_the_dimension_or_the_filter(self):
        accounts = WorkerAccounts()
        placer = Placer(accounts)
        accounts.set_worker(make_worker("w", Size(8000, 8000, 2)))
        accounts.reserve(TaskNeed("r", Size(4000, 1000, 1)), "w")
        for size, lack in (
            (Size(8000, 1, 0), "millicores"),
            (Size(1, 8000, 0), "memory"),
            (Size(1, 1, 2), "accelerators"),
        ):
            self.assertEqual(
                placer.place(TaskNeed("t", size)), InsufficientCapacity(lack)
            )
        need = TaskNeed("t", Size(1, 1, 0), avoid=frozenset({"w"}))
        self.assertEqual(placer.place(need), InsufficientCapacity("avoided"))
        placer.add_filter("planned", lambda need: lambda account: False)
        need = TaskNeed("t", Size(1, 1, 0))
        self.assertEqual(placer.place(need), InsufficientCapacity("planned"))

    def test_impossible_names_the_dimension_that_fails(self):
        accounts = WorkerAccounts()
        placer = Placer(accounts)
        accounts.set_worker(make_worker("w", Size(8000, 1000, 0)))
        accounts.set_worker(make_worker("x", Size(1000, 9000, 2)))
        for size, dimension in (
            (Size(8001, 1, 0), "millicores"),
            (Size(1, 9001, 0), "memory"),
            (Size(1, 1, 3), "accelerators"),
            (Size(8000, 1001, 0), "memory"),
        ):
            outcome = placer.place(TaskNeed("t", size))
            self.assertEqual(outcome, Impossible(dimension))
        need = TaskNeed("t", Size(1, 1, 0), zones=frozenset({"nowhere"}))
        self.assertEqual(placer.place(need), Impossible("zone"))


class TestScores(unittest.TestCase):
    """Preferences among workers that all have enough free capacity."""

    def setUp(self):
        self.accounts = WorkerAccounts()
        self.placer = Placer(self.accounts)

    def add(self, name, size=LARGE, zone="a", rack="r0"):
        self.accounts.set_worker(make_worker(name, size, zone, rack))

    def put(self, need):
        worker = self.placer.place(need).worker
        self.accounts.reserve(need, worker)
        return worker

    def test_best_fit_takes_the_fullest_worker(self):
        for name in ("w", "x", "y"):
            self.add(name)
        self.accounts.reserve(TaskNeed("t", Size(4000, 8000, 0)), "x")
        self.assertEqual(self.put(TaskNeed("u", Size(4000, 8000, 0))), "x")

    def test_accelerators_are_kept_for_those_who_need_them(self):
        self.add("fast", Size(8000, 16000, 4))
        self.add("plain", Size(64000, 256000, 0))
        need = TaskNeed("t", Size(1000, 1000, 0))
        self.assertEqual(self.placer.place(need).worker, "plain")
        need = TaskNeed("u", Size(1000, 1000, 1))
        self.assertEqual(self.placer.place(need).worker, "fast")
        self.accounts.remove_worker("plain")
        self.assertEqual(self.put(TaskNeed("t", Size(1000, 1000, 0))), "fast")

    def test_a_service_spreads_over_zones_then_racks(self):
        for zone in "ab":
            for rack in ("r0", "r1"):
                for number in range(9):
                    self.add(f"{zone}-{rack}-{number}", LARGE, zone, rack)
        used = [
            self.put(TaskNeed(f"t{number}", Size(100, 100, 0), "service"))
            for number in range(4)
        ]
        self.assertEqual(len({name[:4] for name in used}), 4, used)
        self.assertEqual({name[0] for name in used[:2]}, {"a", "b"})

    def test_affinity_prefers_the_zone_of_the_data(self):
        for zone in "abc":
            self.add(zone, LARGE, zone)
        need = TaskNeed("t", Size(100, 100, 0), near=frozenset({"c"}))
        self.assertEqual(self.placer.place(need).worker, "c")

    def test_a_leaving_instance_is_refused_by_name(self):
        self.add("w")
        account = self.accounts.workers["w"]
        self.accounts.set_worker(account.instance._replace(state=InstanceState.LEAVING))
        self.assertEqual(find_refusal(TaskNeed("t", Size()), account), "leaving")
