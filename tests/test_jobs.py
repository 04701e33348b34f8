"""The job table: deterministic replay, snapshots, states and names."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.errors import MessageError
from damaskdeck.protocol.handlers import FINAL_JOB_STATES, JobState
from damaskdeck.state import names, records
from damaskdeck.state.jobmodel import FINAL_TASK_STATES, TaskState
from damaskdeck.state.jobtable import JobTable
from damaskdeck.state.records import encode_record
from damaskdeck.state.replay import apply_record

JOBS = ("a-00-1", "b-00-2")
SPEC = {"team": "t", "type": "batch", "size": {"memory": 1}, "tasks": 2}
tasks = st.sampled_from([f"{job}-{index}" for job in JOBS for index in range(2)])
attempts = st.integers(1, 3)


def submitted(job, tasks=2):
    """Return the record of a submission."""
    return (
        records.Submitted(
            job=job,
            workload="w",
            team="t",
            key="",
            digest=b"d",
            payload=b"p",
            spec=SPEC | {"tasks": tasks},
            at=1.0,
        ),
        records.Submitted,
    )


def placed(task, attempt=1):
    """Return the record of a placement."""
    placement = {"task": task, "attempt": attempt, "worker": "w1", "epoch": 1}
    return {"tasks": [placement]}, records.Placed


def ended(task, state, attempt=1):
    """Return the record of an end."""
    end = {"task": task, "attempt": attempt, "state": state, "result": b"r"}
    return {"tasks": [end], "at": 2.0}, records.Ended


def requeued(task, attempt=1, ran=True, failed=False):
    """Return the record of a task that waits again."""
    back = {"task": task, "attempt": attempt, "reason": "x", "ran": ran}
    return {"tasks": [back | {"failed": failed}], "at": 2.0}, records.Requeued


changes = st.one_of(
    st.sampled_from(JOBS).map(submitted),
    st.builds(placed, tasks, attempts),
    st.builds(lambda t: ({"tasks": [t]}, records.StartMarked), tasks),
    st.builds(
        lambda t, a: ({"tasks": [{"task": t, "attempt": a}]}, records.Started),
        tasks,
        attempts,
    ),
    st.builds(requeued, tasks, attempts, st.booleans(), st.booleans()),
    st.builds(ended, tasks, st.sampled_from(sorted(FINAL_TASK_STATES)), attempts),
    st.sampled_from(JOBS).map(
        lambda job: ({"jobs": [job], "at": 3.0}, records.Cancelled)
    ),
    st.sampled_from(JOBS).map(
        lambda job: (
            {"jobs": [job], "code": "impossible", "detail": "d", "at": 3.0},
            records.RefusedJobs,
        )
    ),
    st.sampled_from(JOBS).map(
        lambda job: ({"jobs": [job], "keys": []}, records.RemovedJobs)
    ),
)


def apply_all(changes, table=None):
    """Apply records to a table."""
    table = table or JobTable()
    for value, kind in changes:
        apply_record(table, encode_record(value, kind))
    return table


class TestReplay(unittest.TestCase):
    """The same records give the same table, also through a snapshot."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(changes, max_size=30), st.integers(0, 30))
    def test_snapshot_in_the_middle_changes_nothing(self, changes, cut):
        whole = apply_all(changes)
        half = apply_all(changes[:cut])
        restored = JobTable()
        for record in half.snapshot():
            apply_record(restored, record)
        restored.revision = half.revision
        apply_all(changes[cut:], restored)
        self.assertEqual(restored.jobs, whole.jobs)
        self.assertEqual(restored.tasks, whole.tasks)
        self.assertEqual(restored.removed_jobs, whole.removed_jobs)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(changes, max_size=40))
    def test_outcome_of_an_ended_job_never_changes(self, changes):
        table = JobTable()
        outcomes = {}
        for change in changes:
            apply_all([change], table)
            for name, job in table.jobs.items():
                left = [t.state not in FINAL_TASK_STATES for t in table.list_tasks(job)]
                self.assertEqual(job.unsettled, sum(left))
                self.assertEqual(job.state in FINAL_JOB_STATES, not any(left))
                if job.state in FINAL_JOB_STATES:
                    self.assertEqual(outcomes.setdefault(name, job.state), job.state)
            outcomes = {n: s for n, s in outcomes.items() if n in table.jobs}

    def test_unknown_kinds_and_fields_are_ignored_but_not_bad_bytes(self):
        table = JobTable()
        value, kind = submitted("a-00-1")
        apply_record(table, encode_record({**value, "later": 1}, kind))
        apply_record(table, records._encoder.encode(("of_a_later_version", {})))
        self.assertEqual(list(table.jobs), ["a-00-1"])
        with self.assertRaises(MessageError):
            apply_record(table, b"\xc1")


class TestOutcomes(unittest.TestCase):
    """The outcome of a job by the ends of its tasks."""

    def compute_outcome(self, *changes):
        table = apply_all([submitted("a-00-1"), *changes])
        job = table.jobs["a-00-1"]
        return job.state, job.code

    def test_job_that_never_ran_is_refused_when_cancelled(self):
        cancelled = ({"jobs": ["a-00-1"], "at": 3.0}, records.Cancelled)
        back = requeued("a-00-1-0", ran=False)
        self.assertEqual(
            self.compute_outcome(placed("a-00-1-0"), cancelled, back),
            (JobState.REFUSED, "cancelled"),
        )

    def test_job_with_a_task_that_may_have_run_is_not_refused(self):
        cancelled = ({"jobs": ["a-00-1"], "at": 3.0}, records.Cancelled)
        back = requeued("a-00-1-0", ran=True)
        self.assertEqual(
            self.compute_outcome(placed("a-00-1-0"), cancelled, back),
            (JobState.FAILED, "cancelled"),
        )

    def test_unknown_end_takes_precedence_over_a_failure(self):
        ends = (
            placed("a-00-1-0"),
            placed("a-00-1-1"),
            ended("a-00-1-0", TaskState.FAILED),
            ended("a-00-1-1", TaskState.UNKNOWN),
        )
        self.assertEqual(self.compute_outcome(*ends), (JobState.UNKNOWN, "end_unknown"))


class TestNames(unittest.TestCase):
    """A name contains its ledger, and the same key gives the same name."""

    def test_ledger_and_job_are_read_from_names(self):
        job = names.build_job_name("w" * 60, "team", "03", "key")
        self.assertEqual(names.parse_ledger_name(job), "03")
        self.assertEqual(names.parse_job_name(names.build_task_name(job, 12)), job)
        self.assertLessEqual(len(names.build_task_name(job, 3999)), 63)
        self.assertIsNone(names.parse_ledger_name("nonsense"))

    def test_name_depends_on_the_key_and_is_random_without(self):
        first, again, other, none = (
            names.build_job_name("w", team, "03", key)
            for team, key in (("t", "k"), ("t", "k"), ("u", "k"), ("t", ""))
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)
        self.assertNotEqual(none, names.build_job_name("w", "t", "03", ""))
