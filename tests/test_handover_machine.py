"""State machine test: owners that hand over while they don't know all runs.

Workers can't be read, records don't fit, are late or can't be decoded, and owners
change several times within one lease. Nothing may run twice, and each job goes on in
the end.
"""

import asyncio
import itertools
import os
import unittest
from datetime import timedelta
from unittest import mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from damaskdeck.coordination.pools import changeset
from damaskdeck.protocol.queues import StepSpec, TaskName
from damaskdeck.state.jobrecords import (
    CORDONS_KEY,
    RECORDING_KEY,
    ROSTER_KEY,
    RUNS_PREFIX,
)
from standins.loops import VirtualLoop
from standins.pools import StandinRegistry, Work
from tests.poolcluster import SECOND, SMALL, PoolCluster, make_job

# DAMASKDECK_HANDOVERS=COUNT plays so many examples, drawn anew.
EXAMPLES = int(os.environ.get("DAMASKDECK_HANDOVERS", "0"))
CI_EXAMPLES = 60
STEPS = 20
UNREADABLE = b"\xc1"
# The runs of two, four and six tasks fit, or those of all jobs.
RECORD_LIMITS = (20, 30, 40, 32_000)
# Starts wait for their record only while the store is fast.
STORE_DELAYS = (timedelta(), timedelta(milliseconds=150))
SHORT_SECONDS = (0.7, 1.6, 2.4, 3.1)
LONG_SECONDS = 40.0
# Three workers can run as many at a time.
MAX_TASKS = 12
# A daemon that was added just now waits for long as an owner, so those that were there
# from the beginning come first.
DAEMONS, MIN_DAEMONS = 6, 3
OWNER_SECONDS = 30.0
# By this time after the end of all faults each task runs, or has ended.
SETTLE_SECONDS = 40.0
READ_SECONDS = 3.0
WORKER_NUMBERS = st.integers(0, 3)


class HandoverMachine(RuleBasedStateMachine):
    """Some daemons, four workers and jobs whose tasks end soon or last."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.numbers = itertools.count()
        self.room = MAX_TASKS
        self.limit = mock.patch.object(changeset, "MAX_RUNS_BYTES", RECORD_LIMITS[1])
        self.limit.start()

    def behave(self, task: TaskName, attempt: int) -> Work:
        """Let every other task last, and the others end soon."""
        if task.index % 2:
            return Work(LONG_SECONDS * SECOND)
        return Work(SHORT_SECONDS[task.index // 2 % len(SHORT_SECONDS)] * SECOND)

    @initialize()
    def start(self):
        """Start the cluster and a job on several workers."""
        self.runner.run(self._start())
        self.submit(8)

    async def _start(self) -> None:
        self.cluster = PoolCluster(daemons=DAEMONS, behave=self.behave)
        await self.cluster.start()

    # Jobs and time -------------------------------------------------------------

    @precondition(lambda self: self.room)
    @rule(tasks=st.integers(1, 8))
    def submit(self, tasks):
        """Submit a job, whose runs fit their record or don't."""
        tasks = min(tasks, self.room)
        self.room -= tasks
        self.runner.run(self._submit(f"j{next(self.numbers)}", tasks))

    async def _submit(self, job: str, tasks: int) -> None:
        spec = make_job(StepSpec(tasks, SMALL, SECOND))
        await self.cluster.submit(job, spec, self.cluster.find_other_daemon().name)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds):
        """Let time pass."""
        self.runner.run(asyncio.sleep(seconds))

    # Faults --------------------------------------------------------------------

    @rule(number=WORKER_NUMBERS, is_registered=st.booleans())
    def cut_off(self, number, is_registered):
        """Cut a worker off; its registration may be gone as well."""
        name = f"w{number}"
        self.runner.run(self._isolate(name))
        if not is_registered:
            self.cluster.store.set(StandinRegistry.prefix + name, None)

    async def _isolate(self, name: str) -> None:
        self.cluster.isolate(name)

    @rule(number=WORKER_NUMBERS)
    def rejoin(self, number):
        """Reconnect a worker."""
        self.cluster.rejoin(f"w{number}")

    @rule(delay=st.sampled_from(STORE_DELAYS))
    def slow_store(self, delay):
        """Make the store slow, or fast again."""
        for daemon in self.cluster.daemons.values():
            daemon.store.faults.delay = delay

    @rule(limit=st.sampled_from(RECORD_LIMITS))
    def limit_records(self, limit):
        """Let fewer runs fit a record, or more."""
        changeset.MAX_RUNS_BYTES = limit

    @rule(
        is_killed=st.booleans(),
        damaged=st.sampled_from(
            [
                None,
                None,
                None,
                None,
                None,
                None,
                RUNS_PREFIX,
                ROSTER_KEY,
                CORDONS_KEY,
                RECORDING_KEY,
            ]
        ),
        seconds=st.sampled_from([0.0, 0.3, 0.8, 1.5]),
    )
    def replace_owner(self, is_killed, damaged, seconds):
        """End the owner, and let its successor own for a while at least.

        :param damaged: key, or prefix of the keys, whose values can't be decoded then.
        """
        self.runner.run(self._replace_owner(is_killed, damaged))
        self.runner.run(asyncio.sleep(seconds))

    async def _replace_owner(self, is_killed: bool, damaged: str | None) -> None:
        cluster = self.cluster
        await cluster.wait(lambda: cluster.find_owner() is not None, OWNER_SECONDS)
        owner = cluster.find_owner()
        if is_killed:
            owner.kill()
        else:
            await owner.stop()
        if damaged is not None:
            for key in list(cluster.store.entries):
                if key.startswith(damaged):
                    cluster.store.set(key, UNREADABLE)
        if sum(not d.is_killed for d in cluster.daemons.values()) < MIN_DAEMONS:
            added = cluster.add_daemon(owner.name)
            added.store.faults.delay = owner.store.faults.delay
            added.start()
        await cluster.wait(lambda: cluster.find_owner() is not None, OWNER_SECONDS)

    # Guarantees ----------------------------------------------------------------

    @invariant()
    def nothing_runs_twice(self):
        """Check what the workers saw."""
        self.runner.run(self._check("runs twice"))

    async def _check(self, kind: str) -> None:
        violations = [v for v in self.cluster.find_violations() if kind in v]
        assert not violations, violations

    def teardown(self):
        """End all faults; then each task must run or have ended."""
        try:
            if hasattr(self, "cluster"):
                self.runner.run(self._end())
        finally:
            self.limit.stop()
            self.runner.close()

    async def _end(self) -> None:
        cluster = self.cluster
        try:
            for name in cluster.workers:
                cluster.rejoin(name)
            for daemon in cluster.daemons.values():
                daemon.store.faults.delay = timedelta()
            await cluster.wait(self._are_all_started, SETTLE_SECONDS)
            # Ends on a worker that was cut off count as lost once it has been read.
            await asyncio.sleep(READ_SECONDS)
            await self._check("")
        finally:
            cluster.close()

    def _are_all_started(self) -> bool:
        owner = self.cluster.find_owner()
        if owner is None:
            return False
        jobs = owner.owner.job_index.open_jobs.values()
        return not any(
            job.has_unconfirmed_runs or job.count_unstarted() for job in jobs
        )


TestHandoverMachine = HandoverMachine.TestCase
TestHandoverMachine.settings = settings(
    derandomize=not EXAMPLES,
    deadline=None,
    max_examples=EXAMPLES or CI_EXAMPLES,
    phases=(Phase.explicit, Phase.generate) if EXAMPLES else tuple(Phase),
    stateful_step_count=STEPS,
    database=None,
)


if __name__ == "__main__":
    unittest.main()
