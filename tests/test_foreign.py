"""Entries of the store's other writers: used whole, or told of and left alone."""

import asyncio
import json
import unittest
from datetime import timedelta
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from logbook import TestHandler

from damaskdeck.errors import MessageError
from damaskdeck.platform import PlatformQueues, PlatformRegistry
from damaskdeck.platform.client import Reply
from damaskdeck.platform.fields import is_callable_address
from damaskdeck.platform.jobs import parse_job
from damaskdeck.platform.workers import parse_inventory
from damaskdeck.protocol.pools import (
    DeclaredQueues,
    PoolWorker,
    RegisteredWorkers,
    RegistryChanges,
    WorkerRegistry,
    WorkerTasks,
)
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.state.jobrecords import (
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    ROSTER_KEY,
    JobRecord,
    ProgressRecord,
    StepProgress,
    decode_job,
    decode_record,
    encode_record,
)
from standins.loops import LoopClock
from standins.pools import StandinWorker, Work
from standins.poolstore import PoolStore, PoolStoreClient
from tests.poolcluster import SECOND, SMALL, PoolCase, PoolCluster, make_job, make_queue
from tests.virtual import virtual

GOOD = {
    "service": "hub",
    "address": "10.0.0.9:80",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 4096},
    "labels": ["a", "r1-1"],
}
ODD_FIELDS: dict[str, list[Any]] = {
    "service": [None, 7, "", ["hub"]],
    "address": [None, "", "10.0.0.9", "10.0.0.999:1", "h.example:80", "10.0.0.9:0"],
    "state": [None, "", "READY", "gone", 1],
    "capacity": [None, [], {"cpu": -1}, {"cpu": "4"}, {"mem_mb": 2**70}, {"gpu": 1.5}],
    "labels": [None, "a", [1]],
    "remaining_ms": [1e300, -1, "soon", 2**80],
}
DOCUMENT = {
    "version": 3,
    "routes": [
        {"name": "q", "host": "h", "path_prefix": "/q/", "service": "hub"},
    ],
    "services": [{"name": "hub"}],
}
ODD_ROUTE: dict[str, list[Any]] = {
    "target_latency_ms": [1e300, -1, "1"],
    "slack_factor": [-1, 1e300, None],
    "max_attempts": [-1, 2**80, "3"],
    "advice": [{"decide_ms": 1e300}, {"valid_ms": -1}, 7],
    "service": [None, "", 7],
}


def draw_values(integers: st.SearchStrategy[int]) -> st.SearchStrategy[Any]:
    """Draw anything that JSON or MessagePack can hold."""
    return st.recursive(
        st.none() | st.booleans() | integers | st.floats() | st.text(max_size=8),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=8), inner, max_size=4)
        ),
        max_leaves=12,
    )


VALUES = draw_values(st.integers())
# MessagePack has no larger numbers.
PACKED = draw_values(st.integers(-(2**63), 2**64 - 1)).map(encode_record)


def mix(fields: dict[str, Any], names: tuple[str, ...]) -> st.SearchStrategy[bytes]:
    """Draw a document of which some fields hold anything."""
    odd = st.dictionaries(st.sampled_from(names), VALUES, max_size=3)
    return st.one_of(
        st.binary(max_size=40),
        odd.map(lambda drawn: json.dumps({**fields, **drawn}).encode()),
    )


def register(identifier: str, **fields: Any) -> bytes:
    """Return a registration with some fields of its own."""
    kept = {**GOOD, **fields}
    return json.dumps({k: v for k, v in kept.items() if v != "left out"}).encode()


class Client(PoolStoreClient):
    """A store in this process, with keys that anybody may write."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.entries = PoolStore(clock)
        super().__init__(self.entries, clock)

    def set(self, key: str, value: bytes | None) -> None:
        """Write as another writer does."""
        self.entries.set(key, value)


class TestRegistrations(unittest.TestCase):
    """What workers, or others in their place, have written of themselves."""

    def assert_left_out(self, value: bytes) -> None:
        """Expect that an entry names no worker, and that the others hold."""

        @virtual
        async def play(_):
            store = Client()
            store.set("servers/i-odd", value)
            store.set("servers/i-good", register("i-good"))
            registry = PlatformRegistry(store)
            with TestHandler() as log:
                listed = await registry.list_workers()
                await registry.list_workers()
            self.assertIsInstance(listed, RegisteredWorkers)
            self.assertEqual([w.identifier for w in listed.workers], ["i-good"], value)
            told = [r for r in log.records if "can't be used" in r.message]
            self.assertEqual(len(told), 1, value)

        play(self)

    def test_a_field_that_makes_no_sense_names_no_worker(self):
        for name, odd in ODD_FIELDS.items():
            for value in odd:
                if not (name == "remaining_ms" and value is None):
                    self.assert_left_out(register("i-odd", **{name: value}))

    def test_a_field_that_is_missing_names_no_worker(self):
        for name in ("service", "address", "state"):
            self.assert_left_out(register("i-odd", **{name: "left out"}))

    def test_bytes_that_cannot_be_read_name_no_worker(self):
        for value in (b"", b"{", b"\xff\xfe", b"[]", b"[" * 5000, b"null"):
            self.assert_left_out(value)

    @virtual
    async def test_a_worker_is_back_with_an_entry_that_can_be_used(self):
        store = Client()
        store.set("servers/i-1", register("i-1"))
        registry = PlatformRegistry(store)
        listed = await registry.list_workers()
        store.set("servers/i-1", register("i-1", state="?"))
        bad = await registry.follow_workers(listed.revision, SECOND)
        self.assertIsInstance(bad, RegistryChanges)
        self.assertEqual([change.worker for change in bad.changes], [None])
        store.set("servers/i-1", register("i-1"))
        good = await registry.follow_workers(bad.revision, SECOND)
        self.assertIsInstance(good.changes[0].worker, PoolWorker)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(mix(GOOD, (*GOOD, "remaining_ms", "zone")))
    def test_whatever_stands_there_the_others_hold(self, value):
        @virtual
        async def play(_):
            store = Client()
            store.set("servers/i-odd", value)
            store.set("servers/i-good", register("i-good"))
            listed = await PlatformRegistry(store).list_workers()
            self.assertIn("i-good", [w.identifier for w in listed.workers])
            for worker in listed.workers:
                self.assertTrue(is_callable_address(worker.address))

        play(self)


class TestDeclarations(unittest.TestCase):
    """The operators' document: the one in force stays."""

    @virtual
    async def test_a_number_that_is_too_large_leaves_the_document_in_force(self):
        for name, odd in ODD_ROUTE.items():
            for value in odd:
                if name == "advice" and value is None:
                    continue
                route = {**DOCUMENT["routes"][0], name: value}
                store = Client()
                text = json.dumps({**DOCUMENT, "routes": [route]})
                store.set("op/config", text.encode())
                found = await PlatformQueues(store).read_queues()
                self.assertIsInstance(found, DeclaredQueues)
                self.assertIsNone(found.table, (name, value))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(mix(DOCUMENT, ("version", "routes", "services", "limits")))
    def test_any_document_is_read_or_left(self, value):
        @virtual
        async def play(_):
            store = Client()
            store.set("op/config", value)
            found = await PlatformQueues(store).read_queues()
            self.assertIsInstance(found, DeclaredQueues)

        play(self)


class TestBodies(unittest.TestCase):
    """What callers and workers send."""

    def test_a_job_out_of_all_measure_is_refused(self):
        step = {"task_count": 1, "cpu": 100, "estimated_ms": 10}
        for odd in ({"estimated_ms": 1e300}, {"cpu": -1}, {"task_count": 10**9}):
            body = json.dumps({"spec": "", "steps": [{**step, **odd}]}).encode()
            with self.assertRaises(MessageError):
                parse_job(body)
        body = {"spec": "", "steps": [step], "repeat_count": 2, "start_at_ms": 1e300}
        with self.assertRaises(MessageError):
            parse_job(json.dumps(body).encode())

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(mix({"spec": "", "steps": [{"task_count": 1}]}, ("spec", "steps")))
    def test_any_body_is_a_job_or_refused(self, body):
        try:
            parse_job(body)
        except MessageError as error:
            self.assertEqual(error.code, "invalid_message")

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        mix(
            {"clock_ms": 1, "running": [], "finished": []},
            ("clock_ms", "running", "finished"),
        )
    )
    def test_any_inventory_is_read_or_lost(self, body):
        found = parse_inventory(Reply(200, body))
        self.assertIsInstance(found, WorkerTasks | Lost)


class TestRecords(unittest.TestCase):
    """The owner's own records, as another writer may leave them."""

    def test_a_step_after_one_that_does_not_exist_is_no_job(self):
        spec = make_job(StepSpec(1, SMALL, SECOND, after=(3,)))
        record = JobRecord("j", make_queue(), spec, 1, 0.0)
        with self.assertRaises(MessageError):
            decode_job(encode_record(record))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.binary(max_size=60) | PACKED)
    def test_any_bytes_are_a_record_or_refused(self, value):
        for kind in (JobRecord, ProgressRecord):
            try:
                decode_record(kind, value)
            except MessageError as error:
                self.assertEqual(error.code, "invalid_message")


class WiredCluster(PoolCluster):
    """Workers register as the platform's do, beside whoever else writes there."""

    def build_registry(self, store: PoolStoreClient) -> WorkerRegistry:
        """Return the platform's registry."""
        return PlatformRegistry(store)

    def register(self, worker: StandinWorker) -> None:
        """Write a worker's registration as it stands on the wire."""
        info = worker.info
        self.store.set(
            f"servers/{info.identifier}",
            register(
                info.identifier,
                address=info.address,
                capacity={"cpu": info.size.millicores, "mem_mb": info.size.memory},
                labels=sorted(info.labels),
            ),
        )


class TestOwner(PoolCase):
    """An owner goes on deciding whatever others write."""

    kind = WiredCluster

    def write_foreign(self) -> None:
        """Write entries of all odd kinds."""
        store = self.cluster.store
        number = 0
        for name, odd in ODD_FIELDS.items():
            for value in odd:
                number += 1
                entry = register("", **{name: value})
                store.set(f"servers/i-odd{number}", entry)
        store.set("servers/i-stray", register("i-stray", service="unheard"))
        store.set("servers/", register(""))

    @virtual
    async def test_foreign_entries_from_the_start_stop_nobody(self):
        self.cluster = cluster = WiredCluster(workers=2)
        self.write_foreign()
        await cluster.start()
        await cluster.submit("j1", make_job(StepSpec(4, SMALL, SECOND)))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        contacts = cluster.find_owner().owner.contacts
        self.assertEqual(set(contacts), {"w0", "w1"})
        # A successor doesn't wait for what never was a worker.
        owner = cluster.find_owner()
        owner.kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        await cluster.submit("j2", make_job(), cluster.find_owner().name)
        await cluster.wait_for_state(
            "j2", QueueJobState.COMPLETED, cluster.find_owner().name, seconds=5
        )
        self.end()

    @virtual
    async def test_a_used_workers_entry_turns_bad_and_good_again(self):
        cluster = await self.begin(
            workers=1, behave=lambda t, a: Work(timedelta(seconds=4))
        )
        await cluster.submit("j1", make_job(StepSpec(1, SMALL, SECOND)))
        await cluster.wait(lambda: len(cluster.list_starts()) == 1)
        cluster.externally_registered.add("w0")
        cluster.store.set("servers/w0", register("w0", remaining_ms=1e300))
        await asyncio.sleep(1.5)
        await cluster.submit("j2", make_job())
        await asyncio.sleep(1)
        self.assertEqual(len(cluster.list_starts("j2")), 0)
        cluster.externally_registered.clear()
        cluster.register(cluster.workers["w0"])
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=8)
        await cluster.wait_for_state("j2", QueueJobState.COMPLETED, seconds=8)
        self.assertEqual(len(cluster.list_starts()), 2)
        self.end()

    @virtual
    async def test_progress_that_cannot_be_read_starts_nothing_twice(self):
        cluster = await self.begin(workers=2)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        beyond = ProgressRecord("", True, (StepProgress(0, 9, (4,)),))
        for value in (b"\xc1", encode_record(beyond)):
            cluster.store.set(PROGRESS_PREFIX + "j1", value)
            cluster.store.set(JOBS_PREFIX + "odd", b"\xc1")
            old = cluster.find_owner()
            old.kill()
            await cluster.wait(
                lambda gone=old: cluster.find_owner() not in (None, gone)
            )
            name = cluster.find_owner().name
            await cluster.submit(f"k{name}", make_job(), name)
            await cluster.wait_for_state(f"k{name}", QueueJobState.COMPLETED, name, 5)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.end()

    @virtual
    async def test_a_job_of_an_epoch_that_there_is_not_deposes_nobody(self):
        cluster = await self.begin(workers=2)
        await cluster.run_first_job()
        owner = cluster.find_owner()
        odd = JobRecord("odd", make_queue(), make_job(), 10**9, 0.0)
        cluster.store.set(JOBS_PREFIX + "odd", encode_record(odd))
        await asyncio.sleep(1)
        self.assertIs(cluster.find_owner(), owner)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        self.assertEqual(cluster.list_starts("odd"), [])
        self.end()

    @virtual
    async def test_a_roster_that_cannot_be_read_makes_older_jobs_wait(self):
        cluster = await self.begin(workers=2)
        await cluster.run_first_job()
        cluster.store.set(ROSTER_KEY, b"\xc1")
        old = cluster.find_owner()
        old.kill()
        await cluster.wait(lambda: cluster.find_owner() not in (None, old))
        owner = cluster.find_owner()
        self.assertTrue(owner.owner.job_index.jobs)
        await cluster.submit("j1", make_job(), owner.name)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, owner.name, 5)
        self.end()
