"""About which workers the advisor is asked first.

The pattern: 270 workers, nine tenths of their room in use; a question names at most
100. Asked in the order in which workers came, all steps wanted the same 100; of the
20 named in the zone of a confined quick job some 14 could be used, and two thirds of
such jobs had to be let into more zones by a commit. And a question takes its time for
each worker: with 0.5 s and 7 ms for each, wide gangs knew enough workers after 3.5 s,
while half of the pool was free.
"""

import math
import unittest
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.pools.advice import (
    QUESTION_LIMIT,
    Consents,
    StepAdvice,
)
from damaskdeck.coordination.pools.adviceplanner import QUESTION_SIZE, Asker
from damaskdeck.coordination.pools.urgency import DeadlineStatus, Urgency
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, Step
from tests.poolcluster import SECOND, SMALL, TERMS, make_job, make_queue

WORKERS = 270
ZONES = 5
ROOM = Size(16_000, 32_000, 0)
URGENT = Urgency(DeadlineStatus.ON_TIME, 0, 1.0)


class Contact(NamedTuple):
    """As much of a worker's contact as is looked at."""

    info: PoolWorker
    free: Size
    is_listed: bool = True


class Desk:
    """Keeps what it is asked."""

    def __init__(self) -> None:
        self.step_advice: dict[str, StepAdvice] = {}
        self.asked: list[list[str]] = []
        self.free = 90

    def get(self, step: Step) -> StepAdvice:
        """Return what is known of a step."""
        return self.step_advice.setdefault(step.name, StepAdvice())

    def ask(self, step: Step, workers: list[str], urgency: float) -> None:
        """Take a question."""
        self.asked.append(workers)

    def count_free(self) -> int:
        """Return how many daemons could ask now."""
        return self.free

    def find_consents(self, step: Step) -> Consents:
        """Return what is learnt of a queue."""
        return Consents(10, 4)


class TestAsker(unittest.TestCase):
    """Questions in a crowded pool."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.contacts = {}
        for number in range(WORKERS):
            zone = f"z{number % ZONES}"
            name, address = f"w{number}", f"10.0.0.1:{number}"
            info = PoolWorker(name, "hub", address, zone, ROOM, frozenset())
            free = ROOM if number >= 200 else Size()
            self.contacts[name] = Contact(info, free)
        self.asker = Asker(self.desk, lambda: self.contacts)

    def make(
        self, name: str = "j", zones: tuple[str, ...] = (), tasks: int = 4
    ) -> Step:
        """Return a step of a job that may be confined."""
        spec = make_job(StepSpec(tasks, SMALL, SECOND))
        record = JobRecord(name, make_queue(advice=TERMS), spec, 1, 0.0, zones)
        return Job(record, 0.0).occurrences[0][0]

    def ask(self, step: Step, now: float = 1.0, lacks_room: bool = False) -> list[str]:
        """Return whom questions name."""
        self.desk.asked.clear()
        self.asker.ask(step, "hub", URGENT, 1, now, lacks_room)
        return [worker for part in self.desk.asked for worker in part]

    def test_workers_with_room_are_named_first(self):
        named = self.ask(self.make())
        self.assertEqual(len(named), QUESTION_SIZE)
        self.assertTrue(all(int(name[1:]) >= 200 for name in named))

    def test_the_zones_of_a_confined_job_come_first(self):
        named = self.ask(self.make(zones=("z1",)))
        self.assertEqual({self.contacts[n].info.zone for n in named}, {"z1"})

    def test_other_steps_ask_about_others(self):
        first, second = self.ask(self.make("j1")), self.ask(self.make("j2"))
        self.assertLess(len(set(first) & set(second)), 22)

    def test_a_wide_step_asks_about_as_many_as_should_hold_it(self):
        named = self.ask(self.make(tasks=60))
        # 70 workers hold 16 each; two in five may run it; twice its tasks are wanted.
        self.assertEqual(len(named), QUESTION_SIZE)
        self.assertGreater(len(self.ask(self.make(tasks=400))), 100)

    def test_many_are_asked_about_by_several_daemons_at_a_time(self):
        self.ask(self.make(tasks=600))
        self.assertGreater(len(self.desk.asked), 4)
        self.assertLessEqual(max(map(len, self.desk.asked)), QUESTION_SIZE)

    def test_daemons_that_are_busy_get_fewer_and_longer_questions(self):
        self.desk.free = 4
        self.ask(self.make(tasks=600))
        self.assertEqual(len(self.desk.asked), math.ceil(WORKERS / QUESTION_LIMIT))

    def test_others_are_asked_about_once_those_who_consented_lack_room(self):
        step = self.make()
        for worker in self.ask(step):
            self.desk.get(step).tickets[worker] = ("t", 60.0)
        self.assertEqual(self.ask(step), [])
        more = self.ask(step, lacks_room=True)
        self.assertEqual(set(more) & self.desk.get(step).tickets.keys(), set())
        self.assertEqual(len(more), QUESTION_SIZE)

    def test_nothing_is_asked_again_before_tickets_end(self):
        step = self.make()
        for worker in list(self.contacts)[:50]:
            self.desk.get(step).tickets[worker] = ("t", 60.0)
        self.assertEqual(self.ask(step), [])
        later = 60.0 - timedelta(milliseconds=250).total_seconds()
        self.assertEqual(len(self.ask(step, later)), 50)
