"""Tests that the outlook covers the queues that it has no room to name.

Pattern: a bounded report, in which what isn't named has a lower bound.
"""

import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.admission import (
    AdmissionControl,
    OutlookReporter,
    ReturningJobs,
)
from damaskdeck.coordination.pools.admission.outlook import (
    MAX_REPORTED_QUEUES,
    MAX_REPORTED_RANKS,
)
from damaskdeck.coordination.pools.overload import StartPace
from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.delays import LoopDelay
from damaskdeck.protocol.queues import QueueTable, StepSpec
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, JobIndex
from tests.poolcluster import SECOND, SMALL, make_job, make_queue

QUEUES = 2 * MAX_REPORTED_QUEUES
WAITING_TASKS = 200


class FixedClock:
    """A clock that stands still."""

    def monotonic(self) -> timedelta:
        """Return the start."""
        return timedelta()


class BusyOwner:
    """An owner that has accepted more than it can start soon."""

    contacts: dict = {}

    def __init__(self, table: QueueTable) -> None:
        self.job_index = JobIndex()
        self._table = table

    def get_table(self) -> QueueTable:
        """Return the declared queues."""
        return self._table

    def find_pool(self, step) -> str:
        """Return the only pool."""
        return "hub"


class TestManyQueues(unittest.TestCase):
    """More queues are declared than one report names."""

    def refuse(self, ranks: list[int]) -> list[bool]:
        """Return for each queue whether a job is refused by an owner at its limit."""
        queues = tuple(
            make_queue(f"q{number}", rank=rank) for number, rank in enumerate(ranks)
        )
        table = QueueTable(1, queues, frozenset({"hub"}), 100_000)
        owner, pace = BusyOwner(table), StartPace(LoopDelay())
        pending, now = PendingSteps(), 0.0
        spec = make_job(StepSpec(WAITING_TASKS, SMALL, SECOND))
        job = Job(JobRecord("j1", queues[0], spec, 1, 0.0), 0.0)
        owner.job_index.add(job)
        pending.mark_changed(job)
        for _ in range(30):
            now += 0.1
            pace.record_limit(now)
            pace.count_startable(now)
            pace.record_answers(1, now)
        reporter = OutlookReporter(owner, lambda step: False, ReturningJobs(), pace)
        outlook = reporter.build(lambda: pending.rank(now), 3, now)
        self.assertLessEqual(len(outlook["queues"]), MAX_REPORTED_QUEUES)
        self.assertLessEqual(len(outlook.get("others", ())), MAX_REPORTED_RANKS)
        control = AdmissionControl(FixedClock())
        control.update({"epoch": 1, "zones": [], "outlook": outlook})
        return [
            control.check(queue, f"new-{queue.name}", make_job(), "") is not None
            for queue in queues
        ]

    def test_jobs_of_queues_without_a_name_in_the_report_are_refused_too(self):
        # LOST on the shifted deployment: an owner at its limit accepted all jobs of
        # 21 of 45 queues, more than it could ever start.
        self.assertTrue(all(self.refuse([number % 3 for number in range(QUEUES)])))

    def test_many_ranks_have_a_lower_bound(self):
        self.assertTrue(all(self.refuse(list(range(3 * MAX_REPORTED_QUEUES)))))

    def test_a_report_on_few_queues_is_as_before(self):
        self.assertTrue(all(self.refuse([0, 1, 2])))
