"""The path of a job through its ledger owner, from submission to its end."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

from damaskdeck import defaults
from damaskdeck.protocol.handlers import ClaimedKey, JobState, KnownKey, Submission
from damaskdeck.protocol.outcomes import Completed, Refused
from damaskdeck.protocol.resources import POLICY_NAME, Kind
from damaskdeck.protocol.sizes import Size
from standins.plane import Plane
from tests.virtual import virtual

RESULT = b'{"run_time": 2, "result": "done"}'
FAILING = b'{"run_time": 1, "fail": true}'
ENDLESS = b'{"run_time": 600}'
SECOND = timedelta(seconds=1)


class TestWholePath(unittest.TestCase):
    """A job from submission to outcome, through any daemon."""

    @virtual
    async def test_job_is_submitted_run_and_read_from_any_daemon(self):
        plane = await Plane().start()
        plane.declare(tasks=2)
        view = await plane.find("d2").ledger_owner.submit_job(
            Submission("batch", "team", RESULT)
        )
        self.assertEqual(view.state, JobState.QUEUED)
        ended = await plane.wait_for_end(view.name, at="d2")
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(ended.results, (b"done", b"done"))
        self.assertEqual(len(plane.platform.runs.starts), 2)

    @virtual
    async def test_repeated_key_meets_the_first_job(self):
        plane = await Plane().start()
        plane.declare()
        first = await plane.find("d1").ledger_owner.submit_job(
            Submission("batch", "team", RESULT, "k1")
        )
        again = await plane.find("d2").ledger_owner.submit_job(
            Submission("batch", "team", RESULT, "k1")
        )
        other = await plane.find("d2").ledger_owner.submit_job(
            Submission("batch", "team", b"{}", "k1")
        )
        self.assertEqual(again.name, first.name)
        self.assertEqual(other.code, "key_reused")
        await plane.wait_for_end(first.name)
        self.assertEqual(len(plane.platform.runs.starts), 1)

    @virtual
    async def test_job_too_large_for_every_worker_is_refused_with_the_dimension(self):
        plane = await Plane().start()
        plane.declare(size={"processors": 1, "memory": 9000})
        answer = await plane.find("d1").ledger_owner.submit_job(
            Submission("batch", "team")
        )
        self.assertIsInstance(answer, Refused)
        self.assertEqual(answer.code, "impossible")
        self.assertIn("memory", answer.detail)


async def submit(plane, payload=RESULT, workload="batch", at="d2", key=""):
    """Submit a job and return its view."""
    submission = Submission(workload, "team", payload, key)
    return await plane.find(at).ledger_owner.submit_job(submission)


class TestLostReplies(unittest.TestCase):
    """A call is repeated after a lost reply only if that is harmless."""

    async def submit(self, key):
        plane = await Plane().start()
        plane.declare()
        plane.switch.lose_replies("d2", "d1")
        view = await submit(plane, key=key)
        await plane.clock.sleep(10 * SECOND)
        self.assertEqual(len(plane.platform.runs.starts), 1)
        return view

    @virtual
    async def test_submission_with_a_key_is_repeated(self):
        self.assertEqual((await self.submit("k")).workload, "batch")

    @virtual
    async def test_submission_without_a_key_is_not_repeated(self):
        self.assertEqual((await self.submit("")).code, "answer_lost")


class TestOutcomes(unittest.TestCase):
    """Each job ends in one of the four outcomes, the one that is true."""

    @virtual
    async def test_job_refused_in_an_outage_is_not_there_afterwards(self):
        plane = await Plane().start()
        plane.declare()
        plane.platform.store.faults.outage = True
        view = await submit(plane, key="k")
        plane.platform.store.faults.outage = False
        self.assertIsInstance(view, Refused)
        await plane.clock.sleep(10 * SECOND)
        self.assertEqual(plane.platform.runs.starts, [])
        self.assertEqual(await plane.find("d1").ledger_owner.list_jobs("", "", 10), ())

    @virtual
    async def test_queued_job_that_is_cancelled_is_refused(self):
        plane = await Plane(workers=1).start()
        plane.declare(size={"processors": 4, "memory": 1})
        await submit(plane, ENDLESS)
        await plane.clock.sleep(SECOND)
        view = await submit(plane)
        await plane.find("d2").ledger_owner.cancel_job(view.name)
        ended = await plane.wait_for_end(view.name)
        self.assertEqual((ended.state, ended.code), (JobState.REFUSED, "cancelled"))
        self.assertEqual(len(plane.platform.runs.starts), 1)

    @virtual
    async def test_running_job_that_is_cancelled_is_stopped_and_failed(self):
        plane = await Plane().start()
        plane.declare(tasks=3)
        view = await submit(plane, ENDLESS)
        await plane.clock.sleep(2 * SECOND)
        await plane.find("d2").ledger_owner.cancel_job(view.name)
        ended = await plane.wait_for_end(view.name, seconds=5)
        self.assertEqual((ended.state, ended.code), (JobState.FAILED, "cancelled"))
        for worker in plane.platform.workers.values():
            self.assertEqual(worker.list_running(), ())

    @virtual
    async def test_ended_job_stays_as_it_ended(self):
        plane = await Plane().start()
        plane.declare()
        view = await submit(plane)
        ended = await plane.wait_for_end(view.name)
        again = await plane.find("d2").ledger_owner.cancel_job(view.name)
        self.assertEqual(again, ended)

    @virtual
    async def test_failing_task_is_tried_as_often_as_declared(self):
        plane = await Plane().start()
        plane.declare(attempts=2)
        view = await submit(plane, FAILING)
        ended = await plane.wait_for_end(view.name)
        self.assertEqual(ended.state, JobState.FAILED)
        workers = [start.worker for start in plane.platform.runs.starts]
        self.assertEqual(len(workers), 2)
        self.assertEqual(len(set(workers)), 2)

    @virtual
    async def test_failing_task_that_is_not_idempotent_is_not_tried_again(self):
        plane = await Plane().start()
        plane.declare(idempotent=False, attempts=5)
        view = await submit(plane, FAILING)
        ended = await plane.wait_for_end(view.name)
        self.assertEqual(ended.state, JobState.FAILED)
        self.assertEqual(len(plane.platform.runs.starts), 1)

    @virtual
    async def test_large_payload_and_large_result_have_codes(self):
        plane = await Plane().start()
        plane.declare()
        refused = await submit(plane, b"x" * 300_000)
        self.assertEqual(refused.code, "payload_too_large")
        with mock.patch.object(defaults, "MAX_RESULT_BYTES", 3):
            view = await submit(plane)
            ended = await plane.wait_for_end(view.name)
        self.assertEqual(ended.state, JobState.FAILED)
        self.assertEqual(ended.code, "result_too_large")

    @virtual
    async def test_results_of_a_job_are_limited_together(self):
        plane = await Plane(workers=1).start()
        plane.declare(tasks=3, size={"processors": 4, "memory": 1})
        with mock.patch.object(defaults, "MAX_TOTAL_RESULT_BYTES", 9):
            view = await submit(plane)
            ended = await plane.wait_for_end(view.name)
        self.assertEqual(
            (ended.state, ended.code), (JobState.FAILED, "result_too_large")
        )


class TestFailover(unittest.TestCase):
    """A new ledger owner continues where the previous one stopped."""

    @virtual
    async def test_job_survives_its_ledger_owner_and_runs_once(self):
        plane = await Plane().start()
        plane.declare(idempotent=False)
        view = await submit(plane, key="k")
        await plane.kill("d1")
        again = await submit(plane, key="k")
        ended = await plane.wait_for_end(view.name, at="d2")
        self.assertEqual(again.name, view.name)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(len(plane.platform.runs.starts), 1)

    @virtual
    async def test_owner_that_dies_before_sending_a_marked_start(self):
        plane = await Plane(workers=1).start()
        await plane.registry.hand_over("worker/w1", "d2")
        plane.declare(idempotent=False)
        await plane.clock.sleep(SECOND)
        view = await submit(plane, at="d1")
        table = plane.find("d1").ledger_owner.controllers["00"].ledger.table
        for _ in range(5000):
            if table.tasks[f"{view.name}-0"].state != "queued":
                break
            await plane.clock.sleep(SECOND / 1000)
        plane.switch.cut("d1", "d2")
        starts = len(plane.platform.runs.starts)
        await plane.kill("d1")
        ended = await plane.wait_for_end(view.name, at="d2")
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(len(plane.platform.runs.starts), 1)
        self.assertLessEqual(starts, 1)

    @virtual
    async def test_updates_of_an_older_attempt_change_nothing(self):
        plane = await Plane().start()
        plane.declare()
        view = await submit(plane, ENDLESS)
        await plane.clock.sleep(2 * SECOND)
        controller = plane.find("d1").ledger_owner.controllers["00"]
        task = controller.ledger.table.tasks[f"{view.name}-0"]
        update = {"task": task.name, "attempt": 0, "worker": "w1", "state": "lost"}
        noted = await controller.tracker.handle_updates([update])
        self.assertEqual(len(noted["noted"]), 1)
        self.assertEqual(controller.ledger.table.tasks[task.name], task)

    @virtual
    async def test_late_updates_of_a_previous_owner_confirm_nothing(self):
        plane = await Plane(workers=1).start()
        plane.declare()
        view = await submit(plane, ENDLESS)
        await plane.clock.sleep(2 * SECOND)
        tracker = plane.find("d1").ledger_owner.controllers["00"].tracker
        task = f"{view.name}-0"
        tracker.mark_unconfirmed([task])
        update = {"task": task, "attempt": 1, "worker": "w1", "state": "running"}
        await tracker.handle_updates([update])
        self.assertIn(task, tracker._unconfirmed)
        await plane.clock.sleep(2 * SECOND)
        self.assertNotIn(task, tracker._unconfirmed)


class TestKeys(unittest.TestCase):
    """Keys of requests: one claim, one outcome, also after a failover."""

    @virtual
    async def test_key_is_claimed_once_and_its_outcome_is_stored(self):
        plane = await Plane().start()
        first, second = plane.find("d1").ledger_owner, plane.find("d2").ledger_owner
        claim = ("team", "orders", "k1", b"digest", 30 * SECOND)
        claims = await asyncio.gather(first.claim_key(*claim), second.claim_key(*claim))
        self.assertEqual(claims.count(ClaimedKey()), 1)
        other = await first.claim_key("team", "orders", "k1", b"other", SECOND)
        self.assertEqual(other.code, "key_reused")
        outcome = Completed(b"done", "text/plain")
        self.assertTrue(await second.settle_key("team", "orders", "k1", outcome))
        await plane.kill("d1")
        self.assertEqual(await second.claim_key(*claim), KnownKey(outcome))

    @virtual
    async def test_claim_without_an_outcome_becomes_unknown(self):
        plane = await Plane().start()
        ledger_owner = plane.find("d2").ledger_owner
        claim = ("team", "orders", "k1", b"digest", 3 * SECOND)
        await ledger_owner.claim_key(*claim)
        self.assertEqual((await ledger_owner.claim_key(*claim)).code, "in_progress")
        await plane.clock.sleep(4 * SECOND)
        known = await ledger_owner.claim_key(*claim)
        self.assertEqual(known.outcome.code, "answer_lost")


class TestPolicy(unittest.TestCase):
    """The policies of placement and of the queue, through the whole path."""

    @virtual
    async def test_gang_starts_all_tasks_at_once_or_none(self):
        plane = await Plane(workers=2).start()
        quota = {"processors": 16, "memory": 16_000}
        plane.configuration.declare(Kind.TEAM, "team", {"quota": quota})
        plane.declare("small")
        plane.declare("gang", type="gang", tasks=8)
        await submit(plane, ENDLESS, "small")
        await plane.clock.sleep(2 * SECOND)
        view = await submit(plane, ENDLESS, "gang")
        await plane.clock.sleep(10 * SECOND)
        self.assertEqual(len(plane.platform.runs.starts), 1)
        jobs = await plane.find("d1").ledger_owner.list_jobs("team", "", 10)
        small = next(job for job in jobs if job.workload == "small")
        await plane.find("d1").ledger_owner.cancel_job(small.name)
        await plane.clock.sleep(5 * SECOND)
        self.assertEqual(len(plane.platform.runs.starts), 9)
        self.assertEqual((await submit_read(plane, view)).state, JobState.RUNNING)

    @virtual
    async def test_gang_is_stopped_and_run_again_when_one_of_it_is_lost(self):
        plane = await Plane(workers=3).start()
        plane.declare("gang", type="gang", tasks=8)
        view = await submit(plane, b'{"run_time": 30}', "gang")
        await plane.clock.sleep(5 * SECOND)
        victim = plane.platform.workers[plane.platform.runs.starts[0].worker]
        victim.die()
        victim.replace()
        ended = await plane.wait_for_end(view.name, seconds=200)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(len(plane.platform.runs.starts), 16)
        self.assertEqual(plane.platform.runs.overlaps, [])

    @virtual
    async def test_urgent_job_takes_the_room_of_a_checkpointed_one(self):
        plane = await Plane(workers=1).start()
        quota = {"processors": 2, "memory": 4000}
        plane.configuration.declare(Kind.TEAM, "team", {"quota": quota})
        plane.declare("low", "other", urgency="low", checkpoint=True, tasks=4)
        plane.declare("urgent", urgency="urgent")
        low = await plane.find("d1").ledger_owner.submit_job(
            Submission("low", "other", b'{"run_time": 20}')
        )
        await plane.clock.sleep(5 * SECOND)
        urgent = await submit(plane, b'{"run_time": 1}', "urgent")
        before = plane.clock.monotonic()
        ended = await plane.wait_for_end(urgent.name)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertLess(plane.clock.monotonic() - before, 4.6 * SECOND)
        ended = await plane.wait_for_end(low.name)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertTrue(any("preempted" in reason for reason in ended.reasons))
        self.assertEqual(len(plane.platform.runs.starts), 6)
        self.assertEqual(plane.platform.runs.overfills, [])

    @virtual
    async def test_urgent_job_is_not_held_back_by_less_urgent_use_of_its_team(self):
        plane = await Plane(workers=1).start()
        quota = {"processors": 4, "memory": 4000}
        plane.configuration.declare(Kind.TEAM, "team", {"quota": quota})
        plane.declare("low", urgency="low", checkpoint=True, tasks=4)
        plane.declare("urgent", urgency="urgent")
        low = await submit(plane, b'{"run_time": 20}', "low")
        await plane.clock.sleep(5 * SECOND)
        self.assertEqual(len(plane.platform.runs.starts), 4)
        urgent = await submit(plane, b'{"run_time": 1}', "urgent")
        before = plane.clock.monotonic()
        ended = await plane.wait_for_end(urgent.name)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertLess(plane.clock.monotonic() - before, 4.6 * SECOND)
        ended = await plane.wait_for_end(low.name)
        self.assertTrue(any("preempted" in reason for reason in ended.reasons))

    @virtual
    async def test_non_idempotent_task_without_checkpoint_is_not_preempted(self):
        plane = await Plane(workers=1).start()
        quota = {"processors": 8, "memory": 8000}
        plane.configuration.declare(Kind.TEAM, "team", {"quota": quota})
        plane.declare("low", urgency="low", idempotent=False, tasks=4)
        plane.declare("urgent", urgency="urgent")
        low = await submit(plane, b'{"run_time": 20}', "low")
        await plane.clock.sleep(5 * SECOND)
        await plane.registry.hand_over("worker/w1", "d2")
        urgent = await submit(plane, b'{"run_time": 1}', "urgent")
        self.assertEqual((await plane.wait_for_end(low.name)).state, "completed")
        self.assertEqual((await plane.wait_for_end(urgent.name)).state, "completed")
        self.assertEqual(len(plane.platform.runs.starts), 5)

    @virtual
    async def test_weights_of_the_policy_change_placement_until_it_is_deleted(self):
        plane = Plane(daemons=1, workers=1)
        plane.platform.add_worker("a1", "z1", Size(4000, 4000, 1))
        await plane.start()
        weights = {"weights": {"keep_accelerators": 0, "balance": 100}}
        plane.declare()
        for policy, expected in ((None, "w1"), (weights, "a1"), ({}, "w1")):
            with self.subTest(policy=policy):
                if policy is not None:
                    plane.configuration.declare(Kind.POLICY, POLICY_NAME, policy)
                view = await submit(plane, at="d1")
                await plane.wait_for_end(view.name)
                self.assertEqual(plane.platform.runs.starts[-1].worker, expected)
        plane.configuration.declare(Kind.POLICY, POLICY_NAME, weights)
        plane.configuration.declare(Kind.POLICY, POLICY_NAME, None)
        view = await submit(plane, at="d1")
        await plane.wait_for_end(view.name)
        self.assertEqual(plane.platform.runs.starts[-1].worker, "w1")

    @virtual
    async def test_weights_declared_before_a_daemon_starts_hold_on_it(self):
        plane = Plane(daemons=1, workers=1)
        plane.platform.add_worker("a1", "z1", Size(4000, 4000, 1))
        weights = {"weights": {"keep_accelerators": 0, "balance": 100}}
        plane.configuration.declare(Kind.POLICY, POLICY_NAME, weights)
        await plane.start()
        plane.declare()
        view = await submit(plane, at="d1")
        await plane.wait_for_end(view.name)
        self.assertEqual(plane.platform.runs.starts[-1].worker, "a1")

    @virtual
    async def test_worker_that_fails_everything_gets_no_more_work(self):
        plane = await Plane(daemons=1, workers=3).start()
        plane.platform.workers["w2"].fails_everything = True
        plane.declare("first")
        plane.declare("second")
        views = []
        for index in range(30):
            view = await submit(plane, workload=("first", "second")[index % 2], at="d1")
            views.append(view)
            await plane.clock.sleep(SECOND)
        for view in views:
            ended = await plane.wait_for_end(view.name)
            self.assertEqual(ended.state, JobState.COMPLETED)
        failed = [s for s in plane.platform.runs.starts if s.worker == "w2"]
        self.assertLess(len(failed), 10)

    @virtual
    async def test_job_of_a_full_quota_waits_and_says_so(self):
        plane = await Plane(workers=1).start()
        quota = {"processors": 1, "memory": 1000}
        plane.configuration.declare(Kind.TEAM, "team", {"quota": quota})
        plane.configuration.declare(Kind.TEAM, "other", {"quota": {"processors": 3}})
        plane.declare("batch", size={"processors": 1, "memory": 1000})
        plane.declare("others", "other", size={"processors": 3})
        await plane.find("d1").ledger_owner.submit_job(
            Submission("others", "other", ENDLESS)
        )
        await submit(plane, ENDLESS)
        await plane.clock.sleep(2 * SECOND)
        view = await submit(plane, ENDLESS)
        await plane.clock.sleep(2 * SECOND)
        view = await submit_read(plane, view)
        self.assertEqual(view.state, JobState.QUEUED)
        self.assertTrue(any("quota" in reason for reason in view.reasons), view)

    @virtual
    async def test_job_that_becomes_impossible_is_reported_then_refused(self):
        plane = await Plane(workers=1).start()
        large = plane.platform.add_worker("w9", "z1", Size(8000, 8000, 0))
        await plane.clock.sleep(3 * SECOND)
        plane.declare(size={"processors": 8, "memory": 1})
        view = await submit(plane, RESULT)
        plane.platform.remove(large.instance.name)
        await plane.clock.sleep(10 * SECOND)
        waiting = await submit_read(plane, view)
        self.assertEqual(waiting.state, JobState.QUEUED)
        self.assertTrue(any("millicores" in reason for reason in waiting.reasons))
        ended = await plane.wait_for_end(view.name)
        self.assertEqual((ended.state, ended.code), (JobState.REFUSED, "impossible"))

    @virtual
    async def test_owner_without_recent_reports_is_not_called(self):
        plane = await Plane(daemons=1, workers=1).start()
        plane.declare()
        await plane.clock.sleep(2 * SECOND)
        plane.find("d1").members.publish = lambda topic, value: None
        await plane.clock.sleep(2000 * SECOND)
        view = await submit(plane, at="d1")
        await plane.clock.sleep(5 * SECOND)
        self.assertEqual(plane.platform.runs.starts, [])
        del plane.find("d1").members.publish
        ended = await plane.wait_for_end(view.name)
        self.assertEqual(ended.state, JobState.COMPLETED)


class TestServices(unittest.TestCase):
    """Declared services run with the declared number of tasks."""

    @virtual
    async def test_service_is_started_scaled_and_ended_as_declared(self):
        plane = await Plane(workers=2).start()
        plane.declare("web", type="service", tasks=2)
        await plane.clock.sleep(3 * SECOND)
        self.assertEqual(count_running(plane), 2)
        plane.declare("web", type="service", tasks=3)
        await plane.clock.sleep(10 * SECOND)
        self.assertEqual(count_running(plane), 3)
        plane.configuration.declare(Kind.WORKLOAD, "web", None)
        await plane.clock.sleep(5 * SECOND)
        self.assertEqual(count_running(plane), 0)

    @virtual
    async def test_lost_replica_is_replaced(self):
        plane = await Plane(workers=2).start()
        plane.declare("web", type="service", tasks=2)
        await plane.clock.sleep(3 * SECOND)
        plane.platform.remove(plane.platform.runs.starts[0].worker)
        await plane.clock.sleep(90 * SECOND)
        self.assertEqual(count_running(plane), 2)
        self.assertEqual(plane.platform.runs.overlaps, [])


class TestRetention(unittest.TestCase):
    """Results are removed after the retention time, and this is reported."""

    @virtual
    async def test_old_job_is_removed_and_its_key_does_not_run_again(self):
        plane = await Plane().start()
        plane.declare()
        view = await submit(plane, key="k")
        await plane.wait_for_end(view.name)
        controller = plane.find("d1").ledger_owner.controllers["00"]
        controller._retention._retention = 60 * SECOND
        await plane.clock.sleep(150 * SECOND)
        self.assertEqual((await submit_read(plane, view)).code, "forgotten")
        self.assertEqual((await submit(plane, key="k")).code, "forgotten")
        self.assertEqual(len(plane.platform.runs.starts), 1)


async def submit_read(plane, view):
    """Read a job again."""
    return await plane.find("d2").ledger_owner.read_job(view.name)


def count_running(plane):
    """Return the number of tasks that run on all workers."""
    return sum(len(worker.list_running()) for worker in plane.platform.workers.values())
