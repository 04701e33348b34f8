"""About which workers the advisor is asked first.

The pattern: 270 workers, nine tenths of their room in use; a question names at most
100. Asked in the order in which workers came, all steps wanted the same 100; of the
20 named in the zone of a confined quick job some 14 could be used, and two thirds of
such jobs had to be let into more zones by a commit.
"""

import unittest
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.pools.advising import QUESTION_LIMIT, Verdicts
from damaskdeck.coordination.pools.asking import Asker
from damaskdeck.coordination.pools.ordering import Outlook, Urgency
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.board import Job, Step
from damaskdeck.state.jobrecords import JobRecord
from tests.poolcluster import SECOND, SMALL, TERMS, make_job, make_queue

WORKERS = 270
ZONES = 5
ROOM = Size(16_000, 32_000, 0)
URGENT = Urgency(Outlook.PUNCTUAL, 0, 1.0)


class Contact(NamedTuple):
    """As much of a worker's contact as is looked at."""

    info: PoolWorker
    free: Size
    is_listed: bool = True


class Desk:
    """Keeps what it is asked."""

    def __init__(self) -> None:
        self.verdicts: dict[str, Verdicts] = {}
        self.asked: list[list[str]] = []

    def get(self, step: Step) -> Verdicts:
        """Return what is known of a step."""
        return self.verdicts.setdefault(step.name, Verdicts())

    def ask(self, step: Step, workers: list[str], urgency: float) -> None:
        """Take a question."""
        self.asked.append(workers[:QUESTION_LIMIT])


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

    def make(self, name: str = "j", zones: tuple[str, ...] = ()) -> Step:
        """Return a step of a job that may be confined."""
        spec = make_job(StepSpec(4, SMALL, SECOND))
        record = JobRecord(name, make_queue(advice=TERMS), spec, 1, 0.0, zones)
        return Job(record, 0.0).occurrences[0][0]

    def ask(self, step: Step, now: float = 1.0) -> list[str]:
        """Return whom a question names."""
        self.asker.ask(step, "hub", URGENT, 1, now)
        return self.desk.asked.pop()

    def test_workers_with_room_are_named_first(self):
        named = self.ask(self.make())
        self.assertEqual(len(named), QUESTION_LIMIT)
        self.assertEqual({n for n in named if int(n[1:]) >= 200}, set(named[:70]))

    def test_the_zones_of_a_confined_job_come_first(self):
        named = self.ask(self.make(zones=("z1",)))
        inside = [n for n in named if self.contacts[n].info.zone == "z1"]
        self.assertEqual(len(inside), WORKERS // ZONES)
        self.assertEqual(named[: len(inside)], inside)

    def test_other_steps_ask_about_others(self):
        first, second = self.ask(self.make("j1")), self.ask(self.make("j2"))
        self.assertLess(len(set(first[70:]) & set(second[70:])), 15)

    def test_who_has_consented_is_asked_again_first(self):
        step = self.make()
        for number in range(10):
            self.desk.get(step).tickets[f"w{number}"] = ("t", 0.0)
        self.assertEqual({f"w{n}" for n in range(10)}, set(self.ask(step)[:10]))

    def test_nothing_is_asked_again_before_tickets_end(self):
        step = self.make()
        for worker in self.contacts:
            self.desk.get(step).tickets[worker] = ("t", 60.0)
        self.asker.ask(step, "hub", URGENT, 1, 1.0)
        self.assertEqual(self.desk.asked, [])
        later = 60.0 - timedelta(milliseconds=250).total_seconds()
        self.assertEqual(len(self.ask(step, later)), QUESTION_LIMIT)
