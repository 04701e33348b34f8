"""The adapter to the users' platform, tested against a stand-in of its services."""

import asyncio
import json
import signal
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import aiohttp
from logbook import TestHandler

from damaskdeck.clock import SystemClock
from damaskdeck.delays import LoopDelay, ReplyLimit
from damaskdeck.errors import MessageError, SettingsError
from damaskdeck.platform import (
    PlatformAdvisor,
    PlatformClient,
    PlatformQueues,
    PlatformRegistry,
    PlatformStore,
    PlatformWorkers,
)
from damaskdeck.platform.client import _read_body
from damaskdeck.platform.jobs import parse_job
from damaskdeck.platform.nodes import parse_node_settings
from damaskdeck.platform.tasks import format_task, parse_task
from damaskdeck.platform.workers import MAX_LISTED_ENDS
from damaskdeck.protocol.pools import (
    Advice,
    Consent,
    DeclaredQueues,
    Declined,
    Done,
    EndKind,
    RefusalCode,
    RegisteredWorkers,
    RegistryChanges,
    Replaced,
    TaskStart,
    WorkerTasks,
)
from damaskdeck.protocol.ports import (
    OTHER_CONNECTION,
    Events,
    Found,
    Granted,
    Lapsed,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
    Written,
)
from damaskdeck.protocol.queues import StepSpec, TaskName
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import (
    Mismatch,
    Page,
    ReplyTooLarge,
    Transaction,
    Unchanged,
    Write,
)
from standins.faults import FaultKind
from standins.nodes import NodeProcess
from standins.pools import Work
from standins.waiting import wait_until
from standins.wire import WirePlatform

SECOND = timedelta(seconds=1)
TASK = TaskName("00000000000000aa", 0, 1, 7)
HOST = {"Host": "a.example"}


class WireCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that use the adapter with a stand-in of the platform."""

    async def asyncSetUp(self) -> None:
        self.clock = SystemClock()
        self.platform = WirePlatform(
            self.clock, workers=1, behave=self.behave, born=self.born
        )
        await self.platform.start()
        self.addCleanup(self.platform.close)
        self.client = PlatformClient()
        self.addAsyncCleanup(self.client.close)
        address = self.platform.store.listener.address
        self.store = PlatformStore(self.client, address)
        self.worker = self.platform.workers[0].worker
        self.workers = PlatformWorkers(self.client, 1024)

    born: int | None = None

    def behave(self, task: TaskName, attempt: int) -> Work:
        """Let tasks run for minutes."""
        return Work(timedelta(minutes=5))


class _StalledResponse:
    """A response whose body stops arriving until the read times out."""

    url = SimpleNamespace(path="/kv-key")
    status = 200
    content_length = 9000
    content = SimpleNamespace(total_bytes=70)

    async def read(self) -> bytes:
        """Raise the timeout."""
        raise TimeoutError


class TestClient(unittest.IsolatedAsyncioTestCase):
    """The HTTP client for all services of the platform."""

    async def test_timeout_while_reading_a_body_is_logged(self):
        limit = ReplyLimit(timedelta(seconds=1), LoopDelay())
        with TestHandler() as handler, self.assertRaises(TimeoutError):
            await _read_body(_StalledResponse(), limit)
        (record,) = handler.records
        self.assertEqual(record.message, "Timed out while reading a response body.")
        self.assertEqual(
            (record.extra["path"], record.extra["read"], record.extra["size"]),
            ("/kv-key", 70, 9000),
        )


class TestStore(WireCase):
    """The adapter to the metadata store."""

    async def test_commit_is_atomic(self):
        writes = (Write("a/1", b"\x00\xff"), Write("a/2", b"two"))
        done = await self.store.commit(Transaction((("a/1", 0),), writes))
        self.assertIsInstance(done, Written)
        found = await self.store.read("a/1")
        self.assertEqual(found.entry.value, b"\x00\xff")
        self.assertEqual(found.entry.revision, done.revision)
        repeated = await self.store.commit(Transaction((("a/1", 0),), writes))
        self.assertIsInstance(repeated, Mismatch)
        self.assertEqual(repeated.find("a/1").revision, done.revision)
        self.assertIsNone(repeated.find("a/9"))

    async def test_missing_key_differs_from_rejection(self):
        self.assertIsInstance(await self.store.read("none"), Missing)
        self.platform.store.faults.plan("/kv-key", FaultKind.REFUSE)
        self.assertIsInstance(await self.store.read("none"), Rejected)

    async def test_lost_response_is_not_a_rejection(self):
        self.platform.store.faults.plan("/kv-txn", FaultKind.LOSE_ANSWER)
        done = await self.store.commit(Transaction(writes=(Write("a", b"1"),)))
        self.assertIsInstance(done, Lost)
        self.assertIsInstance(await self.store.read("a"), Found)

    async def test_unreachable_store_is_a_rejection(self):
        self.platform.store.listener.close()
        done = await self.store.commit(Transaction(writes=(Write("a", b"1"),)))
        self.assertIsInstance(done, Rejected)

    async def test_slow_page_does_not_time_out(self):
        timeouts = []

        async def call(*args, **options):
            timeouts.append((args[3], options["read_timeout"]))
            return Lost("timeout")

        self.client.call = call
        await self.store.read_page("a/", "")
        # A megabyte at 2 Mbit/s takes 4 s, but a store that sends nothing times out.
        (whole, silence), *_ = timeouts
        self.assertGreater(whole, 8 * SECOND)
        self.assertLess(silence, 2 * SECOND)

    async def test_read_changed_skips_an_unchanged_value(self):
        self.assertEqual(await self.store.read_changed("v", 7), Missing(0))
        self.platform.store.store.set("v", b"1")
        found = await self.store.read_changed("v", 0)
        self.assertEqual(found.entry.value, b"1")
        revision = self.platform.store.store.revision
        repeated = await self.store.read_changed("v", found.entry.revision)
        self.assertEqual(repeated, Unchanged(revision))
        self.assertEqual(self.platform.store.store.revision, revision)

    async def test_first_byte_timeout_ends_a_call(self):
        self.platform.store.faults.pause()
        lost = await self.store.read_changed("v", 7, SECOND / 10)
        self.assertEqual(lost, Lost("timeout"))
        self.platform.store.faults.resume()

    async def test_oversized_reply_is_not_read(self):
        store = self.platform.store.store
        store.set("w/wide", b"x" * 9000)
        watched = await self.store.watch("w/", store.revision - 1, SECOND, 9000)
        self.assertIsInstance(watched, ReplyTooLarge)
        transaction = Transaction((("w/wide", 1),), (Write("w/other", b"1"),))
        refused = await self.store.commit(transaction, max_reply_bytes=9000)
        self.assertIsInstance(refused, ReplyTooLarge)
        self.assertIsInstance(await self.store.read("w/other"), Missing)
        self.assertIsInstance(await self.store.commit(transaction), Mismatch)

    async def test_next_page_starts_after_the_last_key(self):
        for number in range(501):
            self.platform.store.store.set(f"p/{number:04}", b"x")
        first = await self.store.read_page("p/", "")
        self.assertIsInstance(first, Page)
        self.assertTrue(first.has_more)
        second = await self.store.read_page("p/", first.entries[-1].key)
        self.assertEqual([e.key for e in second.entries], ["p/0500"])

    async def test_watch_returns_writes_and_deletions(self):
        base = self.platform.store.store.revision
        self.platform.store.store.set("w/a", b"1")
        self.platform.store.store.set("w/a", None)
        found = await self.store.watch("w/", base, SECOND)
        self.assertIsInstance(found, Events)
        self.assertEqual([e.value for e in found.events], [b"1", None])
        self.platform.store.store.discard_history()
        self.assertIsInstance(
            await self.store.watch("w/", base, SECOND), RevisionTooOld
        )

    async def test_writes_are_bound_to_leases(self):
        lease = await self.store.grant_lease(SECOND)
        self.assertIsInstance(lease, Granted)
        write = Transaction(writes=(Write("l", b"1", lease.lease),))
        self.assertIsInstance(await self.store.commit(write), Written)
        self.assertIsInstance(await self.store.renew_lease(lease.lease), Granted)
        self.assertIsInstance(await self.store.renew_lease("999"), Lapsed)
        lapsed = Transaction(writes=(Write("l", b"1", "999"),))
        self.assertIsInstance(await self.store.commit(lapsed), Lapsed)


class TestWorkers(WireCase):
    """Orders, leases and inventories."""

    def order(self, attempt: int = 1, window: timedelta = SECOND) -> TaskStart:
        """Return an order to start the task."""
        deadline = self.clock.monotonic() + window
        return TaskStart(TASK, attempt, "payload", deadline, "", "ticket")

    async def test_started_task_is_listed_until_stopped(self):
        info = self.worker.info
        started = await self.workers.start(info, 3, self.order())
        self.assertIsInstance(started, Done)
        inventory = await self.workers.poll(info, 3, 0, None, timedelta())
        self.assertIsInstance(inventory, WorkerTasks)
        self.assertEqual([(r.task, r.attempt) for r in inventory.running], [(TASK, 1)])
        self.assertIsInstance(await self.workers.stop(info, 3, TASK, 1), Done)
        inventory = await self.workers.poll(info, 3, 0, None, timedelta())
        self.assertEqual([e.kind for e in inventory.ended], [EndKind.STOPPED])
        inventory = await self.workers.poll(
            info, 3, inventory.ended[0].number, None, timedelta()
        )
        self.assertEqual(inventory.ended, ())

    async def list_ends(self, count: int) -> WorkerTasks:
        """Let a number of tasks end and return the worker's list."""
        deadline = self.clock.monotonic() + 100 * SECOND
        for index in range(count):
            task = TASK._replace(index=index)
            self.worker.start(3, TaskStart(task, 1, "payload", deadline))
            self.worker.stop(3, task, 1)
        return await self.workers.poll(self.worker.info, 3, 0, None, timedelta())

    # A full list was taken for all ends that the worker has.
    async def test_a_full_list_says_that_there_may_be_more(self):
        listed = await self.list_ends(MAX_LISTED_ENDS)
        self.assertEqual(len(listed.ended), MAX_LISTED_ENDS)
        self.assertTrue(listed.has_more)

    async def test_a_list_below_the_limit_is_complete(self):
        listed = await self.list_ends(MAX_LISTED_ENDS - 1)
        self.assertEqual(len(listed.ended), MAX_LISTED_ENDS - 1)
        self.assertFalse(listed.has_more)

    async def test_ends_beyond_the_limit_follow_once_the_first_are_observed(self):
        first = await self.list_ends(MAX_LISTED_ENDS + 1)
        self.assertEqual(first.ended[-1].number, MAX_LISTED_ENDS)
        last = await self.workers.poll(
            self.worker.info, 3, MAX_LISTED_ENDS, None, timedelta()
        )
        self.assertEqual([e.number for e in last.ended], [MAX_LISTED_ENDS + 1])
        self.assertFalse(last.has_more)

    async def test_refusal_reasons_are_mapped_to_codes(self):
        info = self.worker.info
        late = self.order(window=-SECOND)
        refused = await self.workers.start(info, 3, late)
        self.assertEqual(refused.code, RefusalCode.LATE)
        await self.workers.start(info, 3, self.order(attempt=2))
        stale = await self.workers.start(info, 2, self.order(attempt=3))
        self.assertEqual(stale.code, RefusalCode.STALE_EPOCH)
        await self.workers.stop(info, 3, TASK, 2)
        repeated = await self.workers.start(info, 3, self.order(attempt=2))
        self.assertEqual(repeated.code, RefusalCode.STALE_ATTEMPT)

    async def test_busy_worker_declines_an_order(self):
        self.platform.workers[0].faults.plan("/run-start", FaultKind.REFUSE)
        refused = await self.workers.start(self.worker.info, 3, self.order())
        self.assertEqual(refused, Declined(RefusalCode.UNHEALTHY))

    async def test_other_incarnation_at_the_same_address_is_reported(self):
        other = self.worker.info._replace(identifier="i-before")
        done = await self.workers.start(other, 3, self.order())
        self.assertIsInstance(done, Replaced)

    async def test_order_with_lost_response_may_start_the_task(self):
        self.platform.workers[0].faults.plan("/run-start", FaultKind.LOSE_ANSWER)
        done = await self.workers.start(self.worker.info, 3, self.order())
        self.assertIsInstance(done, Lost)
        self.assertIn(TASK, self.worker.running)

    def test_task_name_round_trip(self):
        self.assertEqual(format_task(TASK), "00000000000000aa.0.1.7")
        self.assertEqual(parse_task(format_task(TASK)), TASK)


class TestBirths(WireCase):
    """Workers that report their births are called by their names."""

    born = 1_700_000_000_123

    # With the identifier in place of the name the worker would refuse all calls.
    async def test_orders_name_the_worker_and_lists_have_its_birth(self):
        info = self.worker.info
        self.assertEqual(info.identifier, "i-0@1700000000123")
        order = TaskStart(TASK, 1, "payload", self.clock.monotonic() + SECOND)
        self.assertIsInstance(await self.workers.start(info, 3, order), Done)
        self.assertIsInstance(await self.workers.stop(info, 3, TASK, 1), Done)
        listed = await self.workers.poll(info, 3, 0, None, timedelta())
        self.assertEqual(listed.born, self.born)

    async def poll(self, observed: int = 0, connection: object = None):
        """Poll the worker."""
        return await self.workers.poll(
            self.worker.info, 3, observed, None, timedelta(), connection
        )

    async def test_polls_of_an_incarnation_share_a_connection(self):
        first = await self.poll()
        order = TaskStart(TASK, 1, "payload", self.clock.monotonic() + SECOND)
        await self.workers.start(self.worker.info, 3, order)
        second = await self.poll(connection=first.connection)
        self.assertIsInstance(second, WorkerTasks)
        self.assertIs(second.connection, first.connection)

    # Otherwise it reaches the next incarnation, which takes its ends for observed.
    async def test_a_poll_over_a_connection_that_has_ended_is_not_sent(self):
        first = await self.poll()
        listener = self.platform.workers[0].listener
        for transport in listener.transports:
            transport.abort()
        # Whether this process has seen the end by now or not, nothing may arrive.
        refused = await self.poll(observed=7, connection=first.connection)
        self.assertIsInstance(refused, Rejected | Lost)
        refused = await self.poll(observed=7, connection=first.connection)
        self.assertEqual(refused, Rejected(OTHER_CONNECTION))
        self.worker.start(3, TaskStart(TASK, 1, "", self.clock.monotonic() + SECOND))
        self.worker.stop(3, TASK, 1)
        listed = await self.poll()
        self.assertEqual([end.number for end in listed.ended], [1])
        self.assertIsNot(listed.connection, first.connection)

    async def test_a_registration_names_the_incarnation_and_a_removal_the_name(self):
        registry = PlatformRegistry(self.store)
        listed = await registry.list_workers()
        self.assertEqual([w.identifier for w in listed.workers], ["i-0@1700000000123"])
        self.platform.store.store.set("servers/i-0", None)
        followed = await registry.follow_workers(listed.revision, SECOND)
        self.assertEqual([c.identifier for c in followed.changes], ["i-0"])

    # A ticket would be kept for a worker that is not known.
    async def test_the_advisor_gets_names_and_its_consents_are_for_incarnations(self):
        advisor = PlatformAdvisor(self.client, self.platform.advisor.listener.address)
        answer = await advisor.request_advice("j.0.0", ("i-0@17",), SECOND)
        self.assertEqual(answer, Advice((Consent("i-0@17", "t-i-0"),)))


class TestRegistry(WireCase):
    """Registrations, declarations and advice."""

    async def test_workers_are_listed_and_watched(self):
        registry = PlatformRegistry(self.store)
        listed = await registry.list_workers()
        self.assertIsInstance(listed, RegisteredWorkers)
        (worker,) = listed.workers
        self.assertEqual((worker.pool, worker.rack), ("hub", "r1-1"))
        self.assertEqual(worker.size, self.platform.workers[0].size)
        self.platform.store.store.set("servers/i-0", None)
        followed = await registry.follow_workers(listed.revision, SECOND)
        self.assertIsInstance(followed, RegistryChanges)
        self.assertEqual([c.worker for c in followed.changes], [None])

    async def test_malformed_registration_is_ignored(self):
        self.platform.store.store.set("servers/i-bad", b"{")
        listed = await PlatformRegistry(self.store).list_workers()
        self.assertEqual([w.identifier for w in listed.workers], ["i-0"])

    async def test_declared_queues_are_decoded(self):
        queues = PlatformQueues(self.store)
        self.assertIsNone((await queues.read_queues()).table)
        self.platform.declare(7)
        found = await queues.read_queues()
        self.assertIsInstance(found, DeclaredQueues)
        queue = found.table.find("a.example", "/plans/1234")
        self.assertEqual(
            (queue.name, queue.pool, queue.attempts), ("r-plans", "hub", 3)
        )
        self.assertEqual(queue.advice.ticket_validity, timedelta(milliseconds=2500))
        self.assertIsNone(found.table.find("a.example", "/other/"))
        self.platform.declare(9, max_attempts=5)
        followed = await queues.follow_queues(found.revision, SECOND)
        self.assertEqual(followed.table.version, 9)

    async def test_upkeep_wave_is_logged_as_unsupported(self):
        queues = PlatformQueues(self.store)
        self.platform.declare(7)
        found = await queues.read_queues()
        self.platform.store.store.set("op/wave/3", b'{"wave":3}')
        with TestHandler() as handler:
            followed = await queues.follow_queues(found.revision, SECOND)
        self.assertIsNone(followed.table)
        (record,) = handler.records
        self.assertEqual(record.extra["code"], "unsupported")
        self.assertEqual(record.extra["key"], "op/wave/3")

    async def test_advisor_returns_consents(self):
        advisor = PlatformAdvisor(self.client, self.platform.advisor.listener.address)
        answer = await advisor.request_advice("j.0.0", ("i-0",), SECOND)
        self.assertEqual(answer, Advice((Consent("i-0", "t-i-0"),)))
        self.platform.advisor.faults.plan("/advise", FaultKind.REFUSE)
        self.assertIsInstance(
            await advisor.request_advice("j.0.0", ("i-0",), SECOND), Rejected
        )
        no_advisor = PlatformAdvisor(self.client, "")
        self.assertIsInstance(
            await no_advisor.request_advice("j.0.0", ("i-0",), SECOND), Rejected
        )


class TestCallersJobs(unittest.TestCase):
    """Decoding of callers' jobs."""

    def read(self, **fields: Any) -> StepSpec:
        """Decode a job of one step."""
        body = json.dumps({"spec": "s", "steps": [fields]}).encode()
        (step,) = parse_job(body).steps
        return step

    def test_each_field_of_a_step_is_decoded(self):
        step = self.read(
            task_count=3,
            cpu=500,
            mem_mb=64,
            gpu=1,
            estimated_ms=900,
            gang=True,
            same_rack=True,
            checkpointing=True,
            speculative=True,
            long_running=True,
            constraints="b",
            affinity="r1-2",
            anti_affinity=2,
            image="i",
            may_miss=1,
        )
        expected = StepSpec(
            3,
            Size(500, 64, 1),
            timedelta(milliseconds=900),
            is_gang=True,
            is_checkpointing=True,
            is_speculative=True,
            is_long_running=True,
            needs_one_rack=True,
            label="b",
            near="r1-2",
            spread=2,
            image="i",
            max_missing=1,
        )
        self.assertEqual(step, expected)

    def test_unsupported_field_is_named_in_the_error(self):
        for field in ({"target_ms": 40}, {"fills": True}):
            with self.assertRaisesRegex(MessageError, "unsupported: " + min(field)):
                self.read(**field)

    def test_malformed_job_is_rejected(self):
        for step in ({"task_count": 0}, {"after": [0]}, {"cpu": "much"}):
            with self.assertRaises(MessageError):
                self.read(**step)
        for body in (b"{", b'{"spec":"s","steps":[]}', b'{"steps":[{}]}'):
            with self.assertRaises(MessageError):
                parse_job(body)


class TestSettings(unittest.TestCase):
    """The platform's settings file."""

    def test_unsupported_installation_is_rejected(self):
        with self.assertRaises(SettingsError) as caught:
            parse_node_settings("commands=heartbeat\nplatform.form=log")
        codes = {fault.path: fault.code for fault in caught.exception.faults}
        self.assertEqual(codes["commands"], "unsupported")
        self.assertEqual(codes["platform.form"], "unsupported")

    def test_unsupported_duties_are_listed(self):
        reader = Path(__file__).with_name("node.conf").read_text()
        settings = parse_node_settings(reader + "cloud_api.duties=upkeep,move\n")
        self.assertEqual(settings.unserved_duties, ("upkeep", "move"))
        self.assertEqual(parse_node_settings(reader).unserved_duties, ())

    def test_the_time_of_a_restore_is_read_in_milliseconds(self):
        reader = Path(__file__).with_name("node.conf").read_text()
        settings = parse_node_settings(reader + "bounds.restore_ms=250\n")
        self.assertEqual(settings.bounds.restore_time, timedelta(seconds=0.25))
        default = parse_node_settings(reader).bounds.restore_time
        self.assertEqual(default, timedelta(seconds=0.5))

    def test_all_faults_are_reported_together(self):
        with self.assertRaises(SettingsError) as caught:
            parse_node_settings("node_name=a\nbounds.grace_s=soon")
        paths = {fault.path for fault in caught.exception.faults}
        self.assertIn("platform.address", paths)
        self.assertIn("listen.frontend", paths)
        self.assertIn("bounds.grace_s", paths)


class TestProcesses(unittest.IsolatedAsyncioTestCase):
    """Three daemons as processes: submit, query, cancel, kill and stop."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.platform = WirePlatform(SystemClock(), behave=self.behave)
        await self.platform.start()
        self.addCleanup(self.platform.close)
        self.platform.declare(5)
        self.nodes = [
            NodeProcess(f"n{n}", f"z{n}", self.platform, Path(folder.name))
            for n in range(3)
        ]
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.addAsyncCleanup(self.kill_nodes)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        for node in self.nodes:
            await self.wait_ready(node)

    def behave(self, task: TaskName, attempt: int) -> Work:
        """Let tasks of jobs whose identifiers begin with f run for minutes."""
        is_long = task.job.startswith("f")
        return Work(timedelta(minutes=5) if is_long else timedelta(milliseconds=300))

    async def kill_nodes(self) -> None:
        """Kill the daemons that are still running."""
        for node in self.nodes:
            await node.kill()

    async def wait_ready(self, node: NodeProcess) -> None:
        """Wait until a daemon is ready for the balancer."""

        async def get_status() -> int:
            async with self.session.get(f"http://{node.ready_address}/ready") as reply:
                return reply.status

        self.assertEqual(
            await wait_until(get_status, lambda status: status == 200), 200
        )

    async def call(
        self, node: NodeProcess, method: str, job: str, body: Any = None
    ) -> tuple[int, Any]:
        """Call a daemon's API as a client does; return status and decoded body."""
        url = f"http://{node.address}/plans/{job}"
        data = None if body is None else json.dumps(body)
        async with self.session.request(method, url, data=data, headers=HOST) as reply:
            text = await reply.text()
            return reply.status, json.loads(text) if text else None

    async def submit(self, node: NodeProcess, job: str, tasks: int = 2) -> None:
        """Submit a job with one step."""
        step = {"task_count": tasks, "cpu": 500, "mem_mb": 100, "estimated_ms": 300}
        status, _ = await self.call(node, "POST", job, {"spec": "s", "steps": [step]})
        self.assertEqual(status, 200)

    async def wait_state(self, node: NodeProcess, job: str, state: str) -> None:
        """Wait until a daemon reports the state."""
        response = await wait_until(
            lambda: self.call(node, "GET", job),
            lambda answer: answer[1] is not None and answer[1].get("state") == state,
        )
        self.assertEqual(response, (200, {"state": state}))

    def count_starts(self, job: str) -> int:
        """Count the starts that the workers received for a job."""
        return sum(
            task.job == job
            for worker in self.platform.workers
            for _, task, _, _ in worker.worker.starts
        )

    async def test_jobs_survive_kills_cancellations_and_stops(self):
        first, second, third = self.nodes
        await self.submit(first, "000000000000000a")
        await self.submit(second, "000000000000000a")
        for node in self.nodes:
            await self.wait_state(node, "000000000000000a", "done")
        self.assertEqual(self.count_starts("000000000000000a"), 2)
        status, _ = await self.call(third, "GET", "00000000000000ff")
        self.assertEqual(status, 410)
        status, response = await self.call(third, "GET", "")
        self.assertEqual((status, response), (200, {"pending": 0}))
        status, _ = await self.call(third, "POST", "000000000000000b", {"steps": 1})
        self.assertEqual(status, 400)

        await self.submit(second, "f00000000000000a")
        await self.wait_state(third, "f00000000000000a", "running")
        owner = next(n for n in self.nodes if self.is_owner(n))
        await owner.kill()
        remaining = [node for node in self.nodes if node is not owner]
        await self.submit(remaining[0], "000000000000000c")
        await self.wait_state(remaining[1], "000000000000000c", "done")
        self.assertEqual(self.count_starts("f00000000000000a"), 2)

        async with self.session.get(
            f"http://{remaining[0].metrics_address}/metrics"
        ) as r:
            self.assertIn("damaskdeck_latency_seconds_bucket", await r.text())
        await self.check_status(remaining)
        remaining[0].add_settings("advice=127.0.0.1:1")
        remaining[0].process.send_signal(signal.SIGHUP)
        await wait_until(
            lambda: asyncio.sleep(0, remaining[0].find_lines("Settings have changed.")),
            bool,
        )
        changed = remaining[0].find_lines("Settings have changed.")
        self.assertEqual(changed[0]["changed"], ["advisor_address"])

        status, _ = await self.call(remaining[0], "DELETE", "f00000000000000a")
        self.assertEqual(status, 200)
        await self.wait_state(remaining[1], "f00000000000000a", "cancelled")
        self.assertEqual(await remaining[0].stop(), 0)
        await self.submit(remaining[1], "000000000000000d")
        await self.wait_state(remaining[1], "000000000000000d", "done")
        self.assertEqual(self.count_starts("000000000000000d"), 2)

    async def check_status(self, nodes: list[NodeProcess]) -> None:
        """Check that the owner shows the status of its pools, and all name it."""
        owner = next(node for node in nodes if self.is_owner(node))
        for node in nodes:
            async with self.session.get(f"http://{node.metrics_address}/pools") as r:
                status = await r.json()
            self.assertEqual("sections" in status, node is owner)
            self.assertTrue(status["owner"])

    def is_owner(self, node: NodeProcess) -> bool:
        """Return whether a daemon owns the pools according to its log."""
        messages = [line.get("message") for line in node.lines]
        return "Owner of the pools." in messages and "Deposed." not in messages
