"""Tests the metrics of client accounts."""

import unittest
from unittest import mock

from damaskdeck.coordination.pools import accountmetrics
from damaskdeck.coordination.pools.accountmetrics import (
    MAX_ACCOUNT_LABELS,
    OTHERS_LABEL,
    AccountMetrics,
)
from damaskdeck.coordination.pools.shares import AccountStanding
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, JobIndex
from tests.poolcluster import SMALL, make_job, make_queue


class TestAccountMetrics(unittest.TestCase):
    """What is published, and under how many labels."""

    def setUp(self) -> None:
        self.job_index = JobIndex()
        self.shares: mock.Mock | None = None
        self.metrics = AccountMetrics(
            self.job_index, lambda name: 700, lambda: self.shares
        )
        self.states: dict[str, tuple[int, int]] = {}
        self.share_states: dict[str, tuple[float, float, int]] = {}
        self.ended: list[tuple[str, str]] = []
        for name, replacement in (
            ("set_account", lambda name, *state: self.states.update({name: state})),
            (
                "set_account_share",
                lambda name, *state: self.share_states.update({name: state}),
            ),
            ("count_account_job", lambda *row: self.ended.append(row)),
        ):
            patch = mock.patch.object(accountmetrics, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)

    def add(self, name: str, account: str) -> Job:
        """Add a job of an account."""
        record = JobRecord(name, make_queue(), make_job(), 1, 0.0, (), account)
        job = Job(record, 0.0)
        self.job_index.add(job)
        return job

    def test_waiting_jobs_and_usage_are_published(self):
        self.add("j1", "kiosk")
        self.add("j2", "kiosk").record_start()
        self.add("j3", "")
        self.metrics.publish(10.0)
        self.assertEqual(self.states, {"kiosk": (1, 700)})

    def test_shares_are_published_and_return_to_zero(self):
        self.shares = mock.Mock()
        self.shares.find_standing.return_value = AccountStanding(
            SMALL, SMALL, 0.5, 0.4, 0.25
        )
        self.shares.is_beyond_rate.side_effect = lambda job: job.identifier == "j2"
        jobs = [self.add("j1", "kiosk"), self.add("j2", "kiosk")]
        self.metrics.publish(10.0)
        self.assertEqual(self.share_states, {"kiosk": (0.5, 0.25, 1)})
        for job in jobs:
            self.job_index.remove(job)
        self.metrics.publish(12.0)
        self.assertEqual(self.share_states, {"kiosk": (0.0, 0.0, 0)})

    def test_an_account_without_jobs_returns_to_zero(self):
        self.job_index.remove(self.add("j1", "kiosk"))
        job = self.add("j2", "kiosk")
        self.metrics.publish(10.0)
        self.job_index.remove(job)
        self.metrics.publish(12.0)
        self.assertEqual(self.states["kiosk"], (0, 0))

    def test_late_jobs_have_their_own_outcome(self):
        for final_at, outcome in ((1.0, "completed"), (100.0, "late")):
            job = self.add(outcome, "kiosk")
            job.close(QueueJobState.COMPLETED, final_at)
            self.metrics.record_end(job)
        failed = self.add("f", "kiosk")
        failed.close(QueueJobState.FAILED, 100.0)
        self.metrics.record_end(failed)
        outcomes = [outcome for _, outcome in self.ended]
        self.assertEqual(outcomes, ["completed", "late", "failed"])

    def test_the_number_of_labels_is_bounded(self):
        for number in range(MAX_ACCOUNT_LABELS + 5):
            self.add(f"j{number}", f"a{number}")
        self.metrics.publish(10.0)
        self.assertEqual(len(self.states), MAX_ACCOUNT_LABELS + 1)
        self.assertEqual(self.states[OTHERS_LABEL], (5, 5 * 700))
