"""Tests of the attempt numbers of successive owners.

Pattern: a durable high-water mark, reserved ahead in growing parts.
"""

import asyncio
import random
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.predecessors.attempts import (
    ATTEMPTS_PER_EPOCH,
    AttemptNumbers,
)
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.protocol.pools import EndKind
from damaskdeck.protocol.ports import Entry, Found, Missing
from damaskdeck.protocol.queues import StepSpec, TaskName
from damaskdeck.protocol.transactions import Write
from standins.loops import LoopClock, run_virtual
from standins.pools import Work
from tests.poolcluster import (
    ADVISOR_TIMING,
    SECOND,
    SMALL,
    PoolCase,
    make_job,
    make_queue,
)
from tests.virtual import virtual

# The users' rule for a long-running task: 6 s after its last run, and 3 s more.
MAX_DOWN_SECONDS = 9
CRASH_LOOP_SECONDS = 0.05
RESTARTS = 3 * ATTEMPTS_PER_EPOCH
SERVICE = StepSpec(1, SMALL, SECOND, is_long_running=True)


class AttemptStore:
    """Holds the last written limit."""

    def __init__(self) -> None:
        self.value: bytes | None = None

    async def read(self, key: str) -> Found | Missing:
        """Return the limit."""
        if self.value is None:
            return Missing(1)
        return Found(Entry(key, self.value, 1))

    def write(self, write: Write) -> None:
        """Store a limit."""
        self.value = write.value


class TestAttemptNumbers(unittest.TestCase):
    """Each owner's attempts are above those of all owners before it."""

    def open(self, store: AttemptStore, epoch: int) -> AttemptNumbers:
        """Return the attempt numbers of an owner that has loaded."""
        self.changes = 0

        def record_change() -> None:
            self.changes += 1

        numbers = AttemptNumbers(OwnerTerm(epoch, 1, 1, None), record_change)
        run_virtual(numbers.read(store, LoopClock()))
        return numbers

    def test_an_owner_of_few_attempts_reserves_nothing(self):
        numbers = self.open(AttemptStore(), 3)
        self.assertEqual(numbers.choose([0, 0]), 2 * ATTEMPTS_PER_EPOCH + 1)
        self.assertTrue(numbers.is_durable(3 * ATTEMPTS_PER_EPOCH))
        self.assertEqual(self.changes, 0)

    def test_attempts_beyond_the_limit_wait_until_more_are_reserved(self):
        numbers = self.open(AttemptStore(), 1)
        attempt = ATTEMPTS_PER_EPOCH + 1
        self.assertEqual(numbers.choose([ATTEMPTS_PER_EPOCH]), attempt)
        self.assertFalse(numbers.is_durable(attempt))
        self.assertEqual(self.changes, 1)
        _, apply = numbers.build_write()
        self.assertFalse(apply())
        self.assertTrue(numbers.is_durable(attempt))

    def test_attempts_of_random_owners_rise(self):
        for seed in range(30):
            rng, store, last = random.Random(seed), AttemptStore(), 0
            for epoch in range(1, 8):
                numbers = self.open(store, epoch)
                tasks, first = [0, 0, 0], last
                for _ in range(rng.choice((3, 90, 700))):
                    index = rng.randrange(3)
                    attempt = numbers.choose([tasks[index]])
                    if not numbers.is_durable(attempt):
                        write, apply = numbers.build_write()
                        store.write(write)
                        apply()
                    self.assertTrue(numbers.is_durable(attempt))
                    self.assertGreater(attempt, first)
                    tasks[index] = attempt
                    last = max(last, attempt)


class TestCrashLoop(PoolCase):
    """A service that was restarted often is up again after a change of the owner."""

    @virtual
    async def test_the_successor_starts_a_service_that_was_restarted_often(self):
        # Guards against starts that workers refuse, as a number was used before.
        is_down = is_admitted = True

        def behave(task: TaskName, attempt: int) -> Work:
            if is_down:
                return Work(CRASH_LOOP_SECONDS * SECOND, EndKind.FAILED)
            return Work(timedelta(hours=1))

        advised = make_queue(advice=ADVISOR_TIMING)
        cluster = await self.begin(
            workers=1,
            behave=behave,
            allow=lambda step, worker: is_admitted,
            queues=(advised,),
        )
        cluster.specs["service"] = make_job(SERVICE)
        frontend = cluster.daemons["d0"].frontend
        await frontend.submit(advised, "service", cluster.specs["service"])
        await cluster.wait(lambda: len(cluster.list_starts("service")) > RESTARTS, 600)
        # No run and no end that isn't observed tells the successor of the attempts.
        is_admitted = False
        await asyncio.sleep(5)
        is_down = False
        is_admitted = True
        cluster.find_owner().kill()
        killed_at = cluster.clock.monotonic()

        def is_up() -> bool:
            return any(worker.running for worker in cluster.workers.values())

        await cluster.wait(lambda: cluster.find_owner() is not None)
        await cluster.wait(is_up, 30)
        down = (cluster.clock.monotonic() - killed_at).total_seconds()
        self.assertLess(down, MAX_DOWN_SECONDS)
        self.end()
