"""Owners of workers: takeovers, leases, lost answers and lost workers."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.defaults import (
    LEASE_MARGIN,
    MEMBER_LEASE,
    TASK_LEASE,
    TASK_RENEWAL,
)
from damaskdeck.protocol.handlers import JobState, Submission
from damaskdeck.protocol.jobs import SizeData, TaskToStart
from damaskdeck.protocol.ports import StartOrder
from damaskdeck.protocol.sizes import Size
from standins.faults import FaultKind
from standins.plane import Plane
from tests.virtual import virtual

LONG = b'{"run_time": 6, "result": "done"}'
ENDLESS = b'{"run_time": 600}'
LEASE = timedelta(seconds=12)


class WithPlane(unittest.TestCase):
    """A task plane with one job that runs on ``w1``, which ``d2`` owns."""

    async def start(self, payload=LONG, workers=1, **fields):
        self.plane = await Plane(daemons=2, workers=workers).start()
        self.worker = self.plane.platform.workers["w1"]
        self.runs = self.plane.platform.runs
        await self.plane.registry.hand_over("worker/w1", "d2")
        self.plane.declare(**fields)
        self.job = await self.submit(payload)

    async def submit(self, payload):
        ledger_owner = self.plane.find("d1").ledger_owner
        view = await ledger_owner.submit_job(Submission("batch", "team", payload))
        return view.name

    async def sleep(self, seconds):
        await self.plane.clock.sleep(timedelta(seconds=seconds))

    async def reserve(self, daemon, millicores, task="x-00-1-0"):
        """Request capacity for a task that its ledger owner doesn't know."""
        size = SizeData(millicores=millicores, memory=1, accelerators=0)
        request = {"task": task, "attempt": 1, "size": size}
        message = {"ledger": "00", "epoch": 1, "tasks": [request]}
        return await self.plane.find(daemon).host._handle_reserve("d1", message)

    async def order(self, daemon, epoch, task="x-00-1-0"):
        """Order the start of a task that its ledger owner doesn't know."""
        start = TaskToStart(
            task=task,
            attempt=1,
            worker="w1",
            epoch=epoch,
            payload=ENDLESS,
        )
        message = {"ledger": "00", "epoch": 1, "tasks": [start]}
        return await self.plane.find(daemon).host._handle_start("d1", message)

    def find_busy(self):
        """Return the worker that runs all tasks, and the other one."""
        name = self.runs.starts[0].worker
        return name, "w2" if name == "w1" else "w1"

    def check_runs(self, starts):
        self.assertEqual(len(self.runs.starts), starts)
        self.assertEqual(self.runs.overlaps, [])
        self.assertEqual(self.runs.overfills, [])


class TestTakeover(WithPlane):
    """A new owner adopts running tasks and fences off the former owner."""

    @virtual
    async def test_running_task_goes_on_under_a_new_owner(self):
        await self.start(idempotent=False)
        await self.sleep(2)
        await self.plane.kill("d2")
        ended = await self.plane.wait_for_end(self.job)
        self.assertEqual(ended.results, (b"done",))
        self.check_runs(1)

    @virtual
    async def test_adopted_task_keeps_its_reservation(self):
        await self.start(ENDLESS, size={"processors": 3, "memory": 100})
        await self.sleep(2)
        await self.plane.registry.hand_over("worker/w1", "d1")
        await self.sleep(1)
        accounts = self.plane.find("d1").host.accounts
        self.assertEqual(accounts.totals.free.millicores, 1000)

    @virtual
    async def test_adopted_task_is_not_preemptible_until_its_ledger_owner_describes_it(
        self,
    ):
        await self.start(ENDLESS, urgency="low")
        await self.sleep(2)
        self.plane.find("d1").ledger_owner.controllers["00"]._runner.cancel()
        await self.plane.registry.hand_over("worker/w1", "d1")
        await self.sleep(1)
        accounts = self.plane.find("d1").host.accounts
        need = accounts.find(f"{self.job}-0").need
        self.assertFalse(need.idempotent or need.checkpoint)

    @virtual
    async def test_worker_takes_no_work_before_its_inventory(self):
        await self.start(ENDLESS, size={"processors": 3, "memory": 100})
        await self.sleep(2)
        self.worker.faults.plan("read_inventory", *[FaultKind.LOSE_CALL] * 4)
        await self.plane.registry.hand_over("worker/w1", "d1")
        reply = await self.reserve("d1", 2000)
        self.assertEqual(reply["refused"][0]["code"], "no_room")
        await self.sleep(5)
        reply = await self.reserve("d1", 2000)
        self.assertEqual(reply["refused"][0]["code"], "no_room")

    @virtual
    async def test_task_of_a_cut_off_worker_stays_until_its_lease_has_lapsed(self):
        await self.start(ENDLESS, workers=2)
        await self.sleep(2)
        name, _ = self.find_busy()
        owner = self.plane.registry.owners[f"worker/{name}"].instance
        other = "d2" if owner == "d1" else "d1"
        self.plane.platform.cut_off(other, name)
        await self.plane.registry.hand_over(f"worker/{name}", other)
        await self.sleep(60)
        self.check_runs(2)

    @virtual
    async def test_task_lost_with_its_owner_is_not_reported_as_unstarted(self):
        await self.start(idempotent=False)
        await self.sleep(2)
        self.worker.die()
        self.worker.replace()
        await self.plane.registry.hand_over("worker/w1", "d1")
        ended = await self.plane.wait_for_end(self.job)
        self.assertEqual(ended.state, JobState.UNKNOWN)
        self.check_runs(1)

    @virtual
    async def test_start_of_a_deposed_owner_is_refused_by_the_worker(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        old = self.plane.find("d2").host.sessions["w1"]
        await self.plane.registry.take_over("worker/w1", "d1")
        await self.sleep(1)
        start = TaskToStart(task="x-00-1-0", attempt=1, worker="w1", payload=b"")
        old.orders.start(start)
        await self.sleep(1)
        self.check_runs(1)

    @virtual
    async def test_deposed_owner_places_no_more_once_the_worker_refused_it(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        await self.plane.registry.take_over("worker/w1", "d1")
        await self.sleep(10)
        reply = await self.reserve("d2", 10)
        self.assertEqual(reply["refused"][0]["code"], "no_room")

    # A worker that forgot the newer epoch ran the tasks of two owners at once.
    @virtual
    async def test_restarted_worker_is_not_filled_by_a_deposed_owner_as_well(self):
        await self.start(LONG)
        await self.plane.registry.take_over("worker/w1", "d1")
        await self.reserve("d2", 3000, "x-00-1-0")
        await self.reserve("d1", 3000, "x-00-2-0")
        self.worker.die()
        self.worker.replace()
        await self.order("d2", 2, "x-00-1-0")
        await self.order("d1", 3, "x-00-2-0")
        await self.sleep(10)
        self.assertEqual(self.runs.overfills, [])
        self.check_accounts()

    # What an owner could not reserve for was not counted, and the worker got more.
    @virtual
    async def test_worker_that_runs_too_much_gets_nothing_until_it_fits(self):
        await self.start(LONG)
        size = Size(3000, 1, 0)
        lease = timedelta(minutes=5)
        long, short = b'{"run_time": 20}', b'{"run_time": 5}'
        self.worker.start(2, StartOrder("x-99-1-0", 1, size, lease, short))
        self.worker.start(2, StartOrder("x-99-2-0", 1, size, lease, long))
        before = len(self.runs.overfills)
        await self.plane.registry.take_over("worker/w1", "d1")
        for number in range(10):
            await self.reserve("d1", 3000, f"x-00-{number + 3}-0")
            await self.order("d1", 3, f"x-00-{number + 3}-0")
            await self.sleep(1)
        self.assertEqual(self.runs.overfills[before:], [])
        await self.sleep(20)
        granted = await self.reserve("d1", 3000, "x-00-20-0")
        self.assertEqual(granted["refused"], [])

    def check_accounts(self):
        """Check that the owner has reserved what the worker runs."""
        account = self.plane.find("d1").host.accounts.workers["w1"]
        used = account.size.millicores - account.free.millicores
        sizes = [run.order.size.millicores for run in self.worker._running.values()]
        self.assertEqual(used, sum(sizes))

    @virtual
    async def test_start_bound_to_an_old_epoch_is_refused_by_the_new_owner(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        granted = (await self.reserve("d2", 10))["granted"][0]
        reply = await self.order("d2", granted["epoch"] - 1)
        self.assertEqual(reply["refused"][0]["code"], "not_owner")

    @virtual
    async def test_ledger_owner_of_an_older_epoch_is_refused(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        await self.plane.registry.take_over("ledger/00", "d2")
        reply = await self.reserve("d2", 10)
        self.assertEqual(reply["refused"][0]["code"], "stale_keeper")

    @virtual
    async def test_task_ordered_from_a_deposed_owner_is_checked_at_the_new_one(self):
        self.plane = await Plane(daemons=2, workers=1).start()
        self.runs = self.plane.platform.runs
        self.plane.declare()
        await self.plane.registry.hand_over("worker/w1", "d2")
        await self.sleep(2)
        worker = self.plane.platform.workers["w1"]
        self.plane.platform.cut_off("d1", "w1")
        await self.plane.registry.take_over("worker/w1", "d1")
        tracker = self.plane.find("d1").ledger_owner.controllers["00"].tracker
        tracker._epochs["w1"] = self.plane.registry.owners["worker/w1"].epoch
        worker.pause()
        job = await self.submit(LONG)
        await self.sleep(1)
        self.plane.platform.reconnect("d1", "w1")
        self.plane.platform.cut_off("d2", "w1")
        worker.die()
        worker.replace()
        worker.resume()
        ended = await self.plane.wait_for_end(job)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.check_runs(1)


class TestListing(unittest.TestCase):
    """A worker is owned before the instance list shows it."""

    @virtual
    async def test_worker_gained_before_it_is_listed_is_hosted_once_it_is(self):
        plane = await Plane(workers=1).start()
        host = plane.find("d1").host
        plane.platform.cut_off("d1", "instances")
        plane.platform.add_worker("w9", "zone-1", Size(4000, 8000, 0))
        await plane.registry.grant("worker/w9", "d1")
        self.assertNotIn("w9", host.sessions)
        plane.platform.reconnect("d1", "instances")
        await asyncio.sleep(10)
        self.assertTrue(host.sessions["w9"].is_ready)
        self.assertEqual(host.accounts.workers["w9"].closed, "")


class TestOrders(WithPlane):
    """Orders of a ledger owner that the worker's owner refuses."""

    @virtual
    async def test_more_than_the_worker_holds_is_refused(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        reply = await self.reserve("d2", 3001)
        self.assertEqual(reply["refused"][0]["code"], "no_room")

    @virtual
    async def test_start_without_a_reservation_is_refused(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        epoch = self.plane.find("d2").host.sessions["w1"].epoch
        reply = await self.order("d2", epoch)
        self.assertEqual(reply["refused"][0]["code"], "hold_expired")

    @virtual
    async def test_start_of_an_expired_hold_is_refused(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        granted = (await self.reserve("d2", 10))["granted"][0]
        await self.sleep(11)
        reply = await self.order("d2", granted["epoch"])
        self.assertEqual(reply["refused"][0]["code"], "hold_expired")

    @virtual
    async def test_repeated_reservation_replaces_the_first_hold(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        for _ in range(3):
            reply = await self.reserve("d2", 3000)
            self.assertEqual(reply["refused"], [])

    @virtual
    async def test_task_found_running_is_reserved_besides_its_hold_elsewhere(self):
        self.plane = await Plane(daemons=1, workers=2).start()
        self.runs = self.plane.platform.runs
        await self.sleep(2)
        host = self.plane.find("d1").host
        granted = (await self.reserve("d1", 3000))["granted"][0]
        other = "w2" if granted["worker"] == "w1" else "w1"
        order = StartOrder("x-00-1-0", 1, Size(3000, 1, 0), LEASE, ENDLESS)
        stand_in = self.plane.platform.workers[other]
        stand_in.start(host.sessions[other].epoch, order)
        await self.sleep(0.005)
        self.assertEqual(host.accounts.workers[other].free.millicores, 1000)
        wrong = TaskToStart(**(granted | {"worker": other}), payload=ENDLESS)
        message = {"ledger": "00", "epoch": 1, "tasks": [wrong]}
        reply = await host._handle_start("d1", message)
        self.assertTrue(reply["refused"])
        await self.sleep(1)
        self.assertEqual(host.accounts.workers[other].free.millicores, 4000)

    @virtual
    async def test_start_that_comes_twice_is_refused_the_second_time(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        granted = (await self.reserve("d2", 10))["granted"][0]
        await self.order("d2", granted["epoch"])
        reply = await self.order("d2", granted["epoch"])
        self.assertEqual(reply["refused"][0]["code"], "already_started")

    @virtual
    async def test_attempt_reported_as_unstarted_is_never_started_later(self):
        await self.start(ENDLESS)
        await self.sleep(2)
        granted = (await self.reserve("d2", 10))["granted"][0]
        message = {"ledger": "00", "epoch": 1, "tasks": [granted]}
        checked = await self.plane.find("d2").host._handle_check("d1", message)
        self.assertEqual(checked["tasks"][0]["state"], "unstarted")
        await self.reserve("d2", 10)
        reply = await self.order("d2", granted["epoch"])
        self.assertEqual(reply["refused"][0]["code"], "fenced")


class TestLostWorkers(WithPlane):
    """Tasks start elsewhere only after their lease must have expired."""

    @virtual
    async def test_task_of_a_cut_off_worker_starts_elsewhere_after_its_lease(self):
        await self.start(ENDLESS, workers=2, tasks=3)
        await self.sleep(3)
        name, other = self.find_busy()
        for daemon in self.plane.names:
            self.plane.platform.cut_off(daemon, name)
        await self.sleep(60)
        self.assertEqual(self.plane.platform.workers[name].list_running(), ())
        self.assertEqual(len(self.plane.platform.workers[other].list_running()), 3)
        self.assertEqual(self.runs.overlaps, [])

    @virtual
    async def test_renewal_that_waits_inside_a_paused_worker_is_counted(self):
        await self.start(ENDLESS, workers=2, tasks=3)
        await self.sleep(3)
        name, _ = self.find_busy()
        worker = self.plane.platform.workers[name]
        running = worker.list_running()
        worker.pause()
        await self.sleep(9)
        worker.resume()
        self.assertEqual(worker.list_running(), running)
        for daemon in self.plane.names:
            self.plane.platform.cut_off(daemon, name)
        await self.sleep(60)
        self.assertEqual(len(self.runs.starts), 3 + len(running))
        self.assertEqual(self.runs.overlaps, [])

    @virtual
    async def test_start_that_waits_inside_a_paused_worker_runs_nowhere_else(self):
        await self.start(ENDLESS, workers=2)
        await self.sleep(1)
        for worker in self.plane.platform.workers.values():
            worker.pause()
        job = await self.submit(LONG)
        await self.sleep(1)
        starts = len(self.runs.starts)
        await self.sleep(60)
        for worker in self.plane.platform.workers.values():
            worker.resume()
        ended = await self.plane.wait_for_end(job)
        self.assertEqual(starts, 1)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(self.runs.overlaps, [])

    @virtual
    async def test_task_of_a_worker_taken_off_the_list_starts_elsewhere(self):
        await self.start(ENDLESS, workers=2, tasks=2)
        await self.sleep(2)
        name, other = self.find_busy()
        self.plane.platform.remove(name)
        await self.sleep(90)
        self.assertEqual(len(self.plane.platform.workers[other].list_running()), 2)

    async def lose_worker(self, name):
        """Let the owner of a worker lose it."""
        registry, shard = self.plane.registry, f"worker/{name}"
        await registry.daemons[registry.owners[shard].instance].ownership.lose(shard)

    @virtual
    async def test_renewal_in_flight_when_a_worker_is_lost_is_counted(self):
        await self.start(ENDLESS, workers=2, tasks=2)
        await self.sleep(3.5)
        name, other = self.find_busy()
        worker = self.plane.platform.workers[name]
        worker.pause()
        self.plane.platform.instances.remove(name)
        await self.sleep(4.5)
        await self.lose_worker(name)
        await self.sleep(2.5)
        worker.resume()
        await self.sleep(60)
        self.assertEqual(len(self.plane.platform.workers[other].list_running()), 2)
        self.assertEqual(self.runs.overlaps, [])

    @virtual
    async def test_task_of_a_lost_worker_starts_elsewhere_after_its_own_lease(self):
        await self.start(ENDLESS, workers=2, tasks=2)
        await self.sleep(2)
        name, other = self.find_busy()
        removed = self.plane.clock.monotonic()
        self.plane.platform.remove(name)
        await self.sleep(10)
        await self.lose_worker(name)
        await self.sleep(60)
        self.assertEqual(len(self.plane.platform.workers[other].list_running()), 2)
        waited = self.runs.starts[-1].time - removed
        self.assertGreater(waited, TASK_LEASE - TASK_RENEWAL)
        self.assertLess(waited, TASK_LEASE + 2 * LEASE_MARGIN)

    @virtual
    async def test_idempotent_task_of_a_restarted_worker_runs_again(self):
        await self.start()
        await self.sleep(2)
        self.worker.die()
        self.worker.replace()
        ended = await self.plane.wait_for_end(self.job)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.check_runs(2)

    def count_crashes(self):
        """Return how many crashes count against the job's only task."""
        controller = self.plane.find("d1").ledger_owner.controllers["00"]
        (task,) = controller.ledger.table.tasks.values()
        return task.crashes

    async def check_restart_counts(self):
        """Check that a restart of the worker counts against the job's task."""
        self.worker.die()
        self.worker.replace()
        await self.plane.wait_for_end(self.job)
        self.assertEqual(self.count_crashes(), 1)

    @virtual
    async def test_restart_of_a_worker_counts_against_its_task(self):
        await self.start()
        await self.sleep(2)
        await self.check_restart_counts()

    @virtual
    async def test_restart_counts_against_a_task_that_a_new_owner_adopted(self):
        await self.start()
        await self.sleep(1)
        await self.plane.registry.hand_over("worker/w1", "d1")
        await self.sleep(2)
        await self.check_restart_counts()

    # A task ended as if its workers crashed, though they only listed it no longer.
    @virtual
    async def test_task_that_a_worker_no_longer_lists_counts_as_no_crash(self):
        await self.start()
        await self.sleep(2)
        for name in self.worker.list_running():
            self.worker.stop(name)
            self.worker.acknowledge((name,))
        ended = await self.plane.wait_for_end(self.job)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(self.count_crashes(), 0)

    @virtual
    async def test_non_idempotent_task_of_a_restarted_worker_is_unknown(self):
        await self.start(idempotent=False)
        await self.sleep(2)
        self.worker.die()
        self.worker.replace()
        ended = await self.plane.wait_for_end(self.job)
        self.assertEqual(ended.state, JobState.UNKNOWN)
        self.check_runs(1)


class TestLostAnswers(WithPlane):
    """The inventory decides about a start whose answer was lost."""

    @virtual
    async def test_inventory_from_before_the_loss_leaves_the_start_unconfirmed(self):
        self.plane = await Plane(daemons=1, workers=1).start()
        self.runs = self.plane.platform.runs
        worker = self.plane.platform.workers["w1"]
        worker.faults.plan("start", FaultKind.LOSE_CALL)
        self.plane.declare()
        await self.sleep(2)
        session = self.plane.find("d1").host.sessions["w1"]
        ledger_owner = self.plane.find("d1").ledger_owner
        view = await ledger_owner.submit_job(Submission("batch", "team", LONG))
        for _ in range(2000):
            if session.roster.has_unconfirmed():
                break
            await self.sleep(0.001)
        self.assertTrue(session.roster.has_unconfirmed())
        session.set_unconfirmed(False)
        ended = await self.plane.wait_for_end(view.name)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.check_runs(1)

    async def lose(self, kind, **fields):
        self.plane = await Plane(daemons=2, workers=1).start()
        self.runs = self.plane.platform.runs
        self.plane.platform.workers["w1"].faults.plan("start", kind)
        self.plane.declare(**fields)
        job = await self.submit(LONG)
        return await self.plane.wait_for_end(job)

    @virtual
    async def test_lost_answer_of_a_non_idempotent_start(self):
        ended = await self.lose(FaultKind.LOSE_ANSWER, idempotent=False)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.check_runs(1)

    @virtual
    async def test_lost_call_of_an_idempotent_start_is_repeated(self):
        ended = await self.lose(FaultKind.LOSE_CALL)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.check_runs(1)

    @virtual
    async def test_lost_call_of_a_non_idempotent_start_is_unknown(self):
        ended = await self.lose(FaultKind.LOSE_CALL, idempotent=False)
        self.assertEqual(ended.state, JobState.UNKNOWN)
        self.check_runs(0)

    @virtual
    async def test_refused_start_is_not_counted_as_a_run(self):
        ended = await self.lose(FaultKind.REFUSE, idempotent=False)
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.check_runs(1)


class TestManyEnds(unittest.TestCase):
    """Inventories with more ended tasks than the users' platform lists at a time.

    An inventory lists all tasks, however many there are, so a running task that is not
    listed is lost. A worker that listed its ends in parts would have them run twice.
    """

    tasks = 600

    async def run_behind_cut(self) -> Plane:
        """Let all tasks end on a worker that is cut off meanwhile."""
        size = Size(10 * self.tasks, 10 * self.tasks)
        plane = await Plane(daemons=2, workers=1, size=size).start()
        plane.declare(size={"processors": 0.01, "memory": 10})
        ledger_owner = plane.find("d1").ledger_owner
        self.jobs = [
            (await ledger_owner.submit_job(Submission("batch", "team", LONG))).name
            for _ in range(self.tasks)
        ]
        while len(plane.platform.runs.starts) < self.tasks:
            await plane.clock.sleep(timedelta(milliseconds=100))
        for daemon in plane.names:
            plane.platform.cut_off(daemon, "w1")
        await plane.clock.sleep(timedelta(seconds=8))
        return plane

    async def check_single_starts(self, plane: Plane, daemon: str) -> None:
        """End the cut, and check that each job completes with one start."""
        for name in plane.names:
            plane.platform.reconnect(name, "w1")
        for job in self.jobs:
            ended = await plane.wait_for_end(job, at=daemon)
            self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(len(plane.platform.runs.starts), self.tasks)

    @virtual
    async def test_all_ends_are_read_after_a_cut(self):
        plane = await self.run_behind_cut()
        await self.check_single_starts(plane, "d1")

    @virtual
    async def test_a_new_owner_reads_all_ends(self):
        plane = await self.run_behind_cut()
        owner = plane.registry.owners["worker/w1"].instance
        other = "d2" if owner == "d1" else "d1"
        await plane.registry.take_over("worker/w1", other)
        await self.check_single_starts(plane, "d1")


class TestLeavingWorkers(WithPlane):
    """A leaving worker gets no new work; movable tasks move, the others finish."""

    async def leave(self, **fields):
        await self.start(LONG, workers=2, **fields)
        await self.sleep(3)
        name, other = self.find_busy()
        self.plane.platform.leave(name)
        ended = await self.plane.wait_for_end(self.job)
        self.assertEqual(ended.state, JobState.COMPLETED)
        return [start.worker for start in self.runs.starts], name, other

    @virtual
    async def test_task_that_can_be_checkpointed_goes_on_elsewhere(self):
        workers, name, other = await self.leave(checkpoint=True, idempotent=False)
        self.assertEqual(workers, [name, other])

    @virtual
    async def test_refused_checkpoint_is_tried_again(self):
        await self.start(LONG, workers=2, checkpoint=True)
        await self.sleep(1)
        name, other = self.find_busy()
        stand_in = self.plane.platform.workers[name]
        stand_in.faults.plan("checkpoint", FaultKind.REFUSE, FaultKind.LOSE_CALL)
        self.plane.platform.leave(name)
        await self.plane.wait_for_end(self.job)
        workers = [start.worker for start in self.runs.starts]
        self.assertEqual(workers, [name, other])

    @virtual
    async def test_task_that_cannot_move_ends_where_it_is(self):
        workers, name, _ = await self.leave(idempotent=False)
        self.assertEqual(workers, [name])


class TestLearntSizes(WithPlane):
    """Sizes are learnt only from reported usage."""

    @virtual
    async def test_sizes_stay_as_declared_where_nothing_is_reported(self):
        await self.start(b'{"run_time": 15}')
        await self.sleep(5)
        declared = self.list_sizes()
        self.assertEqual(len(declared), 1)
        for _ in range(6):
            await self.sleep(15)
            await self.submit(b'{"run_time": 15}')
            await self.sleep(5)
        self.assertEqual(self.list_sizes(), declared)

    def list_sizes(self):
        """Return the reserved size of each task on the worker."""
        accounts = self.plane.find("d2").host.accounts
        reservations = accounts.workers["w1"].reservations.values()
        return [reservation.need.size for reservation in reservations]


class TestPressure(WithPlane):
    """A worker isn't overloaded by declared sizes that are too small."""

    async def overload(self, **fields):
        self.plane = await Plane(daemons=1, workers=1).start()
        worker = self.plane.platform.workers["w1"]
        worker.usage_factor = 1.5
        size = {"processors": 1, "memory": 1900}
        self.plane.declare(tasks=4, size=size, **fields)
        self.job = await self.submit(ENDLESS)
        await self.sleep(40)
        return worker

    @virtual
    async def test_idempotent_task_is_stopped_and_waits(self):
        worker = await self.overload()
        self.assertGreater(worker.calls["stop"], 0)
        self.assertLess(len(worker.list_running()), 4)
        view = await self.plane.find("d1").ledger_owner.read_job(self.job)
        self.assertTrue(any("worker_full" in reason for reason in view.reasons))

    @virtual
    async def test_non_idempotent_task_is_throttled_and_never_stopped(self):
        worker = await self.overload(idempotent=False)
        self.assertEqual(worker.calls["stop"], 0)
        self.assertEqual(len(worker.list_running()), 4)


class TestWorkersWithoutEpochs(unittest.TestCase):
    """A new owner waits for the old lease if the worker can't check epochs."""

    @virtual
    async def test_worker_that_cannot_check_epochs_gets_work_after_the_old_lease(self):
        plane = Plane(daemons=2, workers=1)
        plane.checks_epochs = False
        await plane.start()
        await plane.clock.sleep(timedelta(seconds=10))
        plane.declare()
        await plane.registry.hand_over("worker/w1", "d2")
        before = plane.clock.monotonic()
        ledger_owner = plane.find("d1").ledger_owner
        await ledger_owner.submit_job(Submission("batch", "team", ENDLESS))
        await plane.clock.sleep(timedelta(seconds=10))
        waited = plane.platform.runs.starts[0].time - before
        self.assertGreaterEqual(waited, 2 * MEMBER_LEASE)
