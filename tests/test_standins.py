"""Tests the stand-ins for the platform: their faults and what they record."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.protocol.ports import (
    Accepted,
    Events,
    Found,
    Granted,
    InstanceState,
    Lapsed,
    Lost,
    Missing,
    Rejected,
    StartOrder,
    TargetAnswer,
    TargetCall,
    TaskState,
    Usage,
)
from damaskdeck.protocol.sizes import Size
from standins.clock import ManualClock, settle
from standins.faults import FaultKind
from standins.platform import Platform
from standins.targets import make_constant_time

SECOND = timedelta(seconds=1)
LEASE = 10 * SECOND
SIZE = Size(1000, 1000, 0)


def order_task(task: str, attempt: int = 1, payload: bytes = b"", **fields):
    """Return an order for a task that takes half of the test worker's capacity."""
    return StartOrder(task, attempt, SIZE, LEASE, payload, **fields)


class StandInTestCase(unittest.IsolatedAsyncioTestCase):
    """A platform with two small workers and a target."""

    def setUp(self):
        self.clock = ManualClock()
        self.platform = Platform(self.clock)
        self.worker = self.platform.add_worker("worker-1", "zone-a", Size(2000, 2000))
        self.other = self.platform.add_worker("worker-2", "zone-a", Size(2000, 2000))
        self.target = self.platform.add_target(
            "target-1", "zone-a", "orders", slots=1, connections=2
        )
        self.ports = self.platform.connect("entry-1")
        self.workers = self.ports.workers
        self.targets = self.ports.targets


class TestMemoryStore(StandInTestCase):
    """Leases and watches of the store."""

    async def test_lapsed_lease_wakes_a_waiting_watch(self):
        store = self.ports.store
        lease = (await store.grant_lease(3 * SECOND)).lease
        written = await store.put("a/1", b"x", 0, lease)
        watch = asyncio.ensure_future(store.watch("a/", written.revision, LEASE))
        await self.clock.advance(4 * SECOND)
        self.assertTrue(watch.done())
        self.assertIsNone(watch.result().events[0].value)
        self.assertIsInstance(await store.renew_lease(lease), Lapsed)

    async def test_write_between_read_and_wait_wakes_the_watch(self):
        store = self.ports.store
        watch = asyncio.ensure_future(store.watch("a/", 0, LEASE))
        await asyncio.sleep(0)
        self.assertEqual(self.platform.store.waiting_watches, 1)
        await store.put("a/1", b"x", 0)
        await settle()
        self.assertTrue(watch.done())
        self.assertIsInstance(watch.result(), Events)

    async def test_paused_store_applies_a_write_after_its_caller_timed_out(self):
        store = self.ports.store
        self.platform.store.faults.pause()
        put = asyncio.ensure_future(store.put("a", b"x", 0))
        await self.clock.advance(LEASE)
        self.assertEqual(put.result(), Lost("timeout"))
        self.assertIsInstance(self.platform.store.get("a"), Missing)
        self.platform.store.faults.resume()
        await settle()
        self.assertIsInstance(await store.get("a"), Found)


class TestMemoryWorker(StandInTestCase):
    """Tasks under leases, fencing by epochs, and what is recorded."""

    async def test_task_stops_when_its_lease_lapses_unless_renewed(self):
        instance = self.worker.instance
        await self.workers.start(instance, 1, order_task("kept"))
        await self.workers.start(instance, 1, order_task("lost"))
        await self.clock.advance(LEASE / 2)
        await self.workers.renew(instance, 1, ("kept",), LEASE)
        await self.clock.advance(LEASE * 0.6)
        inventory = await self.workers.read_inventory(instance, 1)
        states = {report.task: report.state for report in inventory.tasks}
        self.assertEqual(states, {"kept": TaskState.RUNNING, "lost": TaskState.LAPSED})

    async def test_older_epoch_is_refused_unless_the_check_is_off(self):
        instance = self.worker.instance
        await self.workers.read_inventory(instance, 5)
        refused = await self.workers.start(instance, 4, order_task("a"))
        self.assertEqual(refused, Rejected("stale_epoch"))
        self.worker.checks_epochs = False
        accepted = await self.workers.start(instance, 4, order_task("a"))
        self.assertIsInstance(accepted, Accepted)

    async def test_repeated_start_runs_once_and_older_attempt_is_refused(self):
        instance = self.worker.instance
        order = order_task("a", 2, b'{"run_time": 1}')
        first = await self.workers.start(instance, 1, order)
        self.assertEqual(await self.workers.start(instance, 1, order), first)
        stale = await self.workers.start(instance, 1, order_task("a", 1))
        self.assertEqual(stale, Rejected("stale_attempt"))
        self.assertEqual(self.platform.runs.counts, {"a": 1})

    async def test_overfill_and_peak_usage_are_recorded(self):
        for task in ("a", "b", "c"):
            await self.workers.start(self.worker.instance, 1, order_task(task))
        self.assertEqual(self.worker.peak_usage, Size(3000, 3000, 0))
        self.assertEqual(len(self.platform.runs.overfills), 1)

    async def test_task_running_elsewhere_is_recorded_as_overlap(self):
        await self.workers.start(self.worker.instance, 1, order_task("a", 1))
        await self.workers.start(self.other.instance, 1, order_task("a", 2))
        self.assertEqual(len(self.platform.runs.overlaps), 1)

    async def test_run_that_lapsed_unobserved_is_not_an_overlap(self):
        await self.workers.start(self.worker.instance, 1, order_task("a", 1))
        self.clock.move(LEASE)
        await self.workers.start(self.other.instance, 1, order_task("a", 2))
        self.assertEqual(self.platform.runs.overlaps, [])

    async def test_checkpointed_task_resumes_from_its_progress_elsewhere(self):
        payload = b'{"run_time": 8, "result": "curve"}'
        await self.workers.start(self.worker.instance, 1, order_task("a", 1, payload))
        await self.clock.advance(6 * SECOND)
        saved = await self.workers.checkpoint(self.worker.instance, 1, "a")
        self.assertEqual(saved.report.state, TaskState.CHECKPOINTED)
        resumed = order_task("a", 2, payload, checkpoint=saved.report.checkpoint)
        await self.workers.start(self.other.instance, 1, resumed)
        await self.clock.advance(2 * SECOND)
        inventory = await self.workers.read_inventory(self.other.instance, 1)
        self.assertEqual(inventory.tasks[0].state, TaskState.SUCCEEDED)
        self.assertEqual(inventory.tasks[0].result, b"curve")

    async def test_throttled_task_takes_longer_and_uses_less(self):
        instance = self.worker.instance
        self.worker.usage_factor = 1.5
        self.worker.usage_lag = SECOND
        await self.workers.start(instance, 1, order_task("a", 1, b'{"run_time": 4}'))
        await self.clock.advance(2 * SECOND)
        before = (await self.workers.read_inventory(instance, 1)).usage[0].size
        await self.workers.throttle(instance, 1, "a", 500)
        await self.clock.advance(3 * SECOND)
        inventory = await self.workers.read_inventory(instance, 1)
        self.assertEqual(before, Size(1500, 1500, 0))
        self.assertEqual(inventory.usage[0].size, Size(500, 1500, 0))
        await self.clock.advance(SECOND)
        self.assertEqual(self.worker.list_running(), ())

    async def test_usage_is_reported_with_a_lag(self):
        instance = self.worker.instance
        self.worker.usage_lag = SECOND
        payload = b'{"run_time": 9, "usage": 0.5}'
        await self.workers.start(instance, 1, order_task("a", 1, payload))
        self.assertEqual((await self.workers.read_inventory(instance, 1)).usage, ())
        await self.clock.advance(SECOND)
        inventory = await self.workers.read_inventory(instance, 1)
        self.assertEqual(inventory.usage, (Usage("a", Size(500, 500, 0), SECOND),))

    async def test_follow_wakes_when_a_task_ends_by_the_clock(self):
        instance = self.worker.instance
        await self.workers.start(instance, 1, order_task("a", 1, b'{"run_time": 2}'))
        seen = (await self.workers.read_inventory(instance, 1)).sequence
        follow = asyncio.ensure_future(self.workers.follow(instance, 1, seen, LEASE))
        await self.clock.advance(SECOND)
        self.assertFalse(follow.done())
        await self.clock.advance(SECOND)
        self.assertEqual(follow.result().tasks[0].state, TaskState.SUCCEEDED)
        rest = await self.workers.acknowledge(instance, 1, ("a",))
        self.assertEqual(rest.tasks, ())

    async def test_tasks_of_a_paused_worker_stand_still_and_lapse(self):
        instance = self.worker.instance
        payload = b'{"run_time": 4}'
        await self.workers.start(instance, 1, order_task("short", 1, payload))
        await self.clock.advance(SECOND)
        self.worker.pause()
        await self.clock.advance(5 * SECOND)
        self.assertEqual(self.worker.list_running(), ("short",))
        await self.clock.advance(5 * SECOND)
        await self.workers.start(self.other.instance, 1, order_task("short", 2))
        self.worker.resume()
        self.assertEqual(self.worker.list_running(), ())
        self.assertEqual(self.platform.runs.overlaps, [])

    async def test_start_that_waited_in_a_pause_runs_after_it(self):
        self.worker.pause()
        start = asyncio.ensure_future(
            self.workers.start(self.worker.instance, 1, order_task("a"))
        )
        await self.clock.advance(LEASE)
        self.assertEqual(start.result(), Lost("timeout"))
        self.worker.resume()
        await settle()
        self.assertEqual(self.worker.list_running(), ("a",))

    async def test_start_that_waited_in_a_pause_dies_with_the_worker(self):
        self.worker.pause()
        start = asyncio.ensure_future(
            self.workers.start(self.worker.instance, 1, order_task("a"))
        )
        await settle()
        self.worker.die()
        self.assertIsInstance(await start, Lost)
        self.worker.replace()
        await settle()
        self.assertEqual(self.worker.list_running(), ())
        inventory = await self.workers.read_inventory(self.worker.instance, 1)
        self.assertEqual(inventory.tasks, ())

    async def test_lost_answer_leaves_the_task_running(self):
        self.worker.faults.plan("start", FaultKind.LOSE_ANSWER)
        lost = await self.workers.start(self.worker.instance, 1, order_task("a"))
        self.assertIsInstance(lost, Lost)
        self.assertEqual(self.worker.list_running(), ("a",))

    async def test_dead_worker_is_unreachable_and_comes_back_empty(self):
        instance = self.worker.instance
        await self.workers.start(instance, 7, order_task("a"))
        self.worker.die()
        refused = await self.workers.read_inventory(instance, 7)
        self.assertEqual(refused, Rejected("unreachable"))
        self.worker.replace()
        self.assertEqual((await self.workers.read_inventory(instance, 1)).tasks, ())

    async def test_failing_worker_fails_every_task(self):
        self.worker.fails_everything = True
        accepted = await self.workers.start(
            self.worker.instance, 1, order_task("a", 1, b'{"run_time": 5}')
        )
        self.assertEqual(accepted.report.state, TaskState.FAILED)

    async def test_partition_cuts_off_one_client_only(self):
        other = self.platform.connect("entry-2")
        self.platform.cut_off("entry-1", "worker-1")
        instance = self.worker.instance
        refused = await self.workers.read_inventory(instance, 1)
        self.assertEqual(refused, Rejected("unreachable"))
        self.assertNotIsInstance(
            await other.workers.read_inventory(instance, 1), Rejected | Lost
        )
        self.platform.reconnect("entry-1")
        self.assertNotIsInstance(
            await self.workers.read_inventory(instance, 1), Rejected | Lost
        )


class TestMemoryTarget(StandInTestCase):
    """Slots, connections and executions of a target."""

    async def _send(self, request: str, attempt: int = 1):
        call = TargetCall(request, attempt, b"body")
        return await self.targets.send(self.target.instance, call, LEASE)

    async def test_full_target_refuses_and_records_the_overfill(self):
        self.target.service_time = make_constant_time(SECOND)
        first = asyncio.ensure_future(self._send("a"))
        await settle()
        self.assertEqual(await self._send("b"), Rejected("target_full"))
        await self.clock.advance(SECOND)
        self.assertEqual(first.result(), TargetAnswer("a", 1, 200, b"body"))
        self.assertEqual(self.target.slot_overfills, 1)
        self.assertEqual(self.target.peak_running, 1)

    async def test_connections_beyond_the_limit_are_recorded(self):
        self.target.refuses_when_full = False
        self.target.service_time = make_constant_time(SECOND)
        sends = [asyncio.ensure_future(self._send(name)) for name in "abc"]
        await self.clock.advance(SECOND)
        await asyncio.gather(*sends)
        self.assertEqual(self.target.connection_overfills, 1)
        self.assertEqual(self.target.connections, 0)

    async def test_leaving_target_refuses_new_requests_and_is_listed_as_leaving(self):
        self.platform.leave("target-1")
        self.assertEqual(await self._send("a"), Rejected("target_leaving"))
        listed = (await self.ports.instances.list_instances()).instances
        states = {instance.name: instance.state for instance in listed}
        self.assertEqual(states["target-1"], InstanceState.LEAVING)

    async def test_request_continues_after_its_caller_timed_out(self):
        self.target.service_time = make_constant_time(2 * LEASE)
        send = asyncio.ensure_future(self._send("a"))
        await self.clock.advance(LEASE)
        self.assertEqual(send.result(), Lost("timeout"))
        self.assertEqual(self.target.running, 1)
        await self.clock.advance(LEASE)
        self.assertEqual(self.target.running, 0)

    async def test_second_execution_of_a_request_is_recorded(self):
        self.target.faults.plan("send", FaultKind.LOSE_ANSWER)
        self.assertIsInstance(await self._send("a", 1), Lost)
        await settle()
        await self._send("a", 2)
        self.assertEqual(self.platform.executions.list_duplicates(), ("a",))

    async def test_death_cancels_requests_in_progress(self):
        self.target.service_time = make_constant_time(SECOND)
        send = asyncio.ensure_future(self._send("a"))
        await settle()
        self.target.die()
        self.assertIsInstance(await send, Lost)
        self.assertEqual(await self._send("b"), Rejected("unreachable"))


class TestMemoryInstanceList(StandInTestCase):
    """The lag of the instance list, and the duration of a lease."""

    async def test_answers_lag_behind_changes(self):
        self.platform.instances.set_lag(3 * SECOND)
        await self.clock.advance(5 * SECOND)
        self.platform.leave("target-1")
        await self.clock.advance(2 * SECOND)
        self.assertNotIn(InstanceState.LEAVING, await self._list_states())
        await self.clock.advance(SECOND)
        self.assertIn(InstanceState.LEAVING, await self._list_states())

    async def _list_states(self):
        listed = await self.ports.instances.list_instances()
        return {instance.state for instance in listed.instances}

    async def test_lease_is_granted_for_the_requested_duration(self):
        granted = await self.ports.store.grant_lease(LEASE)
        self.assertEqual(granted, Granted(granted.lease, LEASE))
