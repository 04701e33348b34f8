"""Summaries of owners' workers: bounded, correct, and sufficient to choose an owner."""

import random
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.places.placement import Placed, Placer
from damaskdeck.coordination.workers.summaries import (
    OwnerView,
    choose_owner,
    list_preemptible,
    summarize_workers,
)
from damaskdeck.protocol.messages import decode_message, encode_message
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccounts
from tests.test_accounts import make_worker

NOW = timedelta(seconds=100)
SIZES = st.builds(Size, st.integers(0, 9), st.integers(0, 9), st.integers(0, 2))


def make_view(name, sizes, zone="a", age=0, accounts=None):
    """Return a ledger owner's view of an owner with workers of some sizes."""
    accounts = accounts or WorkerAccounts()
    for number, size in enumerate(sizes):
        accounts.set_worker(make_worker(f"{name}-{number}", size, zone))
    data = encode_message(summarize_workers(accounts, zone))
    summary = decode_message("worker_summary", data)
    return OwnerView(name, summary, NOW - timedelta(seconds=age))


class TestSummaries(unittest.TestCase):
    """Contents of a summary."""

    def test_a_summary_is_bounded_whatever_the_number_of_workers(self):
        accounts = WorkerAccounts()
        rng = random.Random(1)
        for number in range(790):
            size = Size(rng.randint(1, 256_000), rng.randint(1, 1 << 21), number % 9)
            accounts.set_worker(make_worker(f"w{number}", size))
        self.assertLessEqual(
            len(encode_message(summarize_workers(accounts, "a"))), 1024
        )

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(SIZES, max_size=12), SIZES)
    def test_a_fresh_summary_of_few_workers_agrees_with_their_owner(self, sizes, size):
        accounts = WorkerAccounts()
        view = make_view("o", sizes, accounts=accounts)
        need = TaskNeed("t", size)
        outcome = Placer(accounts).place(need)
        found = choose_owner([view], need, random.Random(1), NOW)
        self.assertEqual(isinstance(outcome, Placed), found is view)

    def test_closed_workers_are_left_out(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("o-0", Size(4, 4, 0)))
        accounts.close_worker("o-0", "quarantined")
        view = make_view("o", [], accounts=accounts)
        self.assertIsNone(view.find_tightest(TaskNeed("t", Size(1, 1, 0))))

    def test_preemptible_capacity_is_summarized_by_urgency(self):
        accounts = WorkerAccounts()
        accounts.set_worker(make_worker("o-0", Size(9, 9, 0)))
        for task, urgency, idempotent in (
            ("low", Urgency.LOW, True),
            ("high", Urgency.HIGH, True),
            ("once", Urgency.LOW, False),
        ):
            need = TaskNeed(task, Size(2, 1, 0), "", urgency, idempotent)
            accounts.reserve(need, "o-0")
        view = make_view("o", [], accounts=accounts)
        urgent = TaskNeed("t", Size(4, 2, 0), urgency=Urgency.URGENT)
        rng = random.Random(1)
        self.assertEqual(list_preemptible([view], urgent, rng, 3), [view])
        larger = urgent._replace(size=Size(5, 2, 0))
        self.assertEqual(list_preemptible([view], larger, rng, 3), [])
        normal = urgent._replace(urgency=Urgency.NORMAL)
        self.assertEqual(list_preemptible([view], normal, rng, 3), [])


class TestChooseOwner(unittest.TestCase):
    """Choice of the owner that gets a task."""

    def count_choices(self, views, need, times=300):
        rng = random.Random(1)
        return Counter(choose_owner(views, need, rng, NOW).name for _ in range(times))

    def test_zones_of_the_task_are_kept(self):
        views = [make_view(zone, [Size(4, 4, 0)], zone) for zone in "abc"]
        need = TaskNeed("t", Size(1, 1, 0), zones=frozenset("b"))
        self.assertEqual(set(self.count_choices(views, need)), {"b"})
        need = TaskNeed("t", Size(1, 1, 0), near=frozenset("c"))
        self.assertGreater(self.count_choices(views, need)["c"], 150)

    def test_an_owner_with_a_stale_summary_is_asked_less(self):
        fresh = make_view("fresh", [Size(4, 4, 0)])
        stale = make_view("stale", [Size(4, 4, 0)], age=8)
        need = TaskNeed("t", Size(1, 1, 0))
        self.assertLess(self.count_choices([fresh, stale], need)["stale"], 30)
        self.assertEqual(set(self.count_choices([stale], need)), {"stale"})

    def test_ledger_owners_do_not_all_ask_the_same_owner(self):
        views = [make_view(f"o{n}", [Size(4 + n, 4, 0)]) for n in range(9)]
        counts = self.count_choices(views, TaskNeed("t", Size(1, 1, 0)))
        self.assertLess(max(counts.values()), 150)

    def test_workers_with_accelerators_are_the_last_resort(self):
        views = [
            make_view("fast", [Size(4, 4, 2)]),
            make_view("plain", [Size(9, 9, 0)]),
        ]
        counts = self.count_choices(views, TaskNeed("t", Size(1, 1, 0)))
        self.assertGreater(counts["plain"], 200)
        need = TaskNeed("t", Size(1, 1, 1))
        self.assertEqual(set(self.count_choices(views, need)), {"fast"})

    def test_requests_are_deducted_until_the_next_summary(self):
        view = make_view("o", [Size(4, 4, 0), Size(3, 3, 0)])
        need = TaskNeed("t", Size(3, 3, 0))
        for _ in range(2):
            self.assertIsNotNone(choose_owner([view], need, random.Random(1), NOW))
            view.deduct(need)
        self.assertIsNone(choose_owner([view], need, random.Random(1), NOW))

    def test_a_refusal_removes_slices_for_needs_as_large(self):
        view = make_view("o", [Size(4, 4, 0), Size(2, 2, 0)])
        view.record_refusal(TaskNeed("t", Size(3, 3, 0)))
        self.assertIsNone(view.find_tightest(TaskNeed("t", Size(3, 3, 0))))
        self.assertIsNotNone(view.find_tightest(TaskNeed("t", Size(2, 2, 0))))
