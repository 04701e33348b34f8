"""Tests which workers the advisor is queried about first.

The load is 270 workers with nine tenths of their capacity in use, and a query names at
most 100 workers. Two failures are guarded against:

- When workers were chosen in the order in which they registered, all steps chose the
  same 100. Of the 20 chosen in the zone of a confined quick job about 14 were usable,
  and two thirds of such jobs needed a commit that added zones.
- The advisor takes 0.5 s for a query and 7 ms for each worker in it. Wide gangs knew
  enough workers only after 3.5 s, while half of the pool was free.
"""

import math
import unittest
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.pools.advice import (
    MAX_QUERY_WORKERS,
    ConsentCount,
    StepAdvice,
)
from damaskdeck.coordination.pools.adviceplanner import QUERY_WORKERS, AdvicePlanner
from damaskdeck.coordination.pools.speeds import WorkerSpeeds
from damaskdeck.coordination.pools.urgency import DeadlineStatus, Urgency
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord, RecordedSpeed, SpeedsRecord
from damaskdeck.state.pooljobs import Job, Step
from tests.poolcluster import ADVISOR_TIMING, SECOND, SMALL, make_job, make_queue

WORKERS = 270
ZONES = 5
CAPACITY = Size(16_000, 32_000, 0)
URGENT = Urgency(DeadlineStatus.ON_TIME, 0, 1.0)


class StubContact(NamedTuple):
    """The attributes of a worker's contact that the planner uses."""

    info: PoolWorker
    free: Size
    is_listed: bool = True
    runs: dict = {}
    is_synchronized: bool = True


class StubScheduler:
    """Records the queries that are enqueued."""

    def __init__(self) -> None:
        self.advice: dict[str, StepAdvice] = {}
        self.queries: list[list[str]] = []
        self.free = 90

    def get(self, step: Step) -> StepAdvice:
        """Return the advice about a step."""
        return self.advice.setdefault(step.name, StepAdvice())

    def enqueue(self, step: Step, workers: list[str], urgency: float) -> None:
        """Record a query."""
        self.queries.append(workers)

    def count_idle_daemons(self) -> int:
        """Return the number of idle daemons."""
        return self.free

    def get_consent_count(self, step: Step) -> ConsentCount:
        """Return the same count for every queue."""
        return ConsentCount(10, 4)


class TestAsker(unittest.TestCase):
    """Queries in a crowded pool."""

    def setUp(self) -> None:
        self.scheduler = StubScheduler()
        self.contacts = {}
        for number in range(WORKERS):
            zone = f"z{number % ZONES}"
            name, address = f"w{number}", f"10.0.0.1:{number}"
            info = PoolWorker(name, "hub", address, zone, CAPACITY, frozenset())
            free = CAPACITY if number >= 200 else Size()
            self.contacts[name] = StubContact(info, free)
        self.speeds = WorkerSpeeds()
        self.planner = AdvicePlanner(self.scheduler, lambda: self.contacts, self.speeds)

    def make_step(
        self, name: str = "j", zones: tuple[str, ...] = (), tasks: int = 4
    ) -> Step:
        """Return a step of a job, which may be confined to zones."""
        spec = make_job(StepSpec(tasks, SMALL, SECOND))
        record = JobRecord(name, make_queue(advice=ADVISOR_TIMING), spec, 1, 0.0, zones)
        return Job(record, 0.0).occurrences[0][0]

    def query(
        self, step: Step, now: float = 1.0, lacks_capacity: bool = False
    ) -> list[str]:
        """Return the workers that the queries name."""
        self.scheduler.queries.clear()
        self.planner.request_advice(step, "hub", URGENT, 1, now, lacks_capacity)
        return [worker for query in self.scheduler.queries for worker in query]

    def test_workers_with_capacity_are_chosen_first(self):
        chosen = self.query(self.make_step())
        self.assertEqual(len(chosen), QUERY_WORKERS)
        self.assertTrue(all(int(name[1:]) >= 200 for name in chosen))

    def test_zones_of_a_confined_job_come_first(self):
        chosen = self.query(self.make_step(zones=("z1",)))
        self.assertEqual({self.contacts[n].info.zone for n in chosen}, {"z1"})

    def test_different_steps_choose_different_workers(self):
        first, second = (
            self.query(self.make_step("j1")),
            self.query(self.make_step("j2")),
        )
        self.assertLess(len(set(first) & set(second)), 22)

    def test_a_wide_step_requests_enough_workers_to_hold_it(self):
        chosen = self.query(self.make_step(tasks=60))
        # 70 workers hold 16 tasks each, two in five of them may run the step, and
        # capacity for twice its tasks is requested.
        self.assertEqual(len(chosen), QUERY_WORKERS)
        self.assertGreater(len(self.query(self.make_step(tasks=400))), 100)

    def test_many_workers_are_split_over_several_daemons(self):
        self.query(self.make_step(tasks=600))
        self.assertGreater(len(self.scheduler.queries), 4)
        self.assertLessEqual(max(map(len, self.scheduler.queries)), QUERY_WORKERS)

    def test_busy_daemons_get_fewer_and_longer_queries(self):
        self.scheduler.free = 4
        self.query(self.make_step(tasks=600))
        self.assertEqual(
            len(self.scheduler.queries), math.ceil(WORKERS / MAX_QUERY_WORKERS)
        )

    def test_more_workers_are_queried_once_the_known_ones_lack_capacity(self):
        step = self.make_step()
        for worker in self.query(step):
            self.scheduler.get(step).tickets[worker] = ("t", 60.0)
        self.assertEqual(self.query(step), [])
        more = self.query(step, lacks_capacity=True)
        self.assertEqual(set(more) & self.scheduler.get(step).tickets.keys(), set())
        self.assertEqual(len(more), QUERY_WORKERS)

    def test_no_query_is_repeated_before_tickets_expire(self):
        step = self.make_step()
        for worker in list(self.contacts)[:50]:
            self.scheduler.get(step).tickets[worker] = ("t", 60.0)
        self.assertEqual(self.query(step), [])
        later = 60.0 - timedelta(milliseconds=250).total_seconds()
        self.assertEqual(len(self.query(step, later)), 50)


class TestUnevenPool(TestAsker):
    """Queries in an uneven pool: every third worker is slow, a half is full."""

    def setUp(self) -> None:
        super().setUp()
        workers, labels = [], ((),)
        for number, contact in enumerate(list(self.contacts.values())):
            free = CAPACITY if number % 2 else Size()
            name = contact.info.identifier
            self.contacts[name] = contact._replace(free=free)
            mean = -530 if number % 3 == 0 else 357
            workers.append(RecordedSpeed(name, 0, mean, 300))
        self.speeds.load(SpeedsRecord(tuple(workers), labels, ("hub",)))
        self.speeds.update(self.contacts, 0.0)

    def list_slow(self, chosen: list[str]) -> list[str]:
        """Return the slow workers among those that queries name."""
        return [name for name in chosen if int(name[1:]) % 3 == 0]

    def test_workers_with_capacity_are_chosen_first(self):
        chosen = self.query(self.make_step())
        self.assertTrue(all(int(name[1:]) % 2 for name in chosen))

    def test_an_urgent_step_queries_fast_workers_without_naming_more(self):
        chosen = self.query(self.make_step())
        self.assertEqual(len(chosen), QUERY_WORKERS)
        self.assertEqual(self.list_slow(chosen), [])

    def test_a_patient_step_queries_slow_workers_first(self):
        patient = Urgency(DeadlineStatus.ON_TIME, 2, 8.0)
        self.planner.request_advice(self.make_step(), "hub", patient, 1, 1.0)
        chosen = [worker for query in self.scheduler.queries for worker in query]
        self.assertEqual(self.list_slow(chosen), chosen)
