"""Changes that the store refuses for good, beside those that it takes.

Pattern: bulkhead, a commit that can't succeed keeps no other one back.
"""

from damaskdeck.protocol.pools import EndKind
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.sizes import Size
from standins.limits import STORE_LIMITS
from standins.pools import Work
from tests.poolcluster import SECOND, PoolCase, make_job, make_queue
from tests.virtual import virtual

# Less than what the owner counts on.
LIMITS = STORE_LIMITS._replace(value_bytes=2_000)
TINY = Size(10, 10, 0)
WIDE_TASKS = 400


class TestRefusals(PoolCase):
    """A wide job whose records the store doesn't take, and small jobs."""

    kind_of_end = EndKind.COMPLETED

    def behave(self, task, attempt: int) -> Work:
        """Let tasks of the wide job end as the test asks, one after the other."""
        if task.job != "wide":
            return Work(SECOND)
        return Work((1 + task.index % 7) * SECOND, self.kind_of_end)

    async def run_jobs(self, tasks: int) -> None:
        """Submit the wide job, and small ones before and after it."""
        cluster = await self.begin(
            behave=self.behave,
            store_limits=LIMITS,
            queues=(make_queue(attempts=100),),
        )
        await cluster.run_first_job()
        step = StepSpec(tasks, TINY, SECOND)
        await cluster.submit("wide", make_job(step))
        for number in range(3):
            await cluster.submit(f"j{number}", make_job())
            state = QueueJobState.COMPLETED
            await cluster.wait_for_state(f"j{number}", state, seconds=5)

    # Otherwise the journal repeats the commit, and nothing becomes durable any more.
    @virtual
    async def test_small_jobs_go_on_beside_a_refused_record_of_runs(self):
        await self.run_jobs(WIDE_TASKS)
        self.assertEqual(self.cluster.list_starts("wide"), [])
        self.end()

    # Callers would be told nothing of it, or ends would be noted that aren't durable.
    @virtual
    async def test_a_job_whose_progress_is_refused_fails(self):
        self.kind_of_end = EndKind.FAILED
        await self.run_jobs(150)
        cluster = self.cluster
        await cluster.wait_for_state("wide", QueueJobState.FAILED, seconds=60)
        owner = cluster.find_owner()
        self.assertTrue(owner.store.refusals)
        await owner.stop()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        name = cluster.find_owner().name
        await cluster.wait_for_state("wide", QueueJobState.FAILED, name, 5)
        await cluster.submit("later", make_job(), name)
        await cluster.wait_for_state("later", QueueJobState.COMPLETED, name, 10)
        self.end()
