"""Tasks that crash the workers that start them.

Seen: a task was started for as long as its job was kept, and each start ended the life
of the worker that carried it out, with all that ran there. The worker was back seconds
later, and the task was started on the next one.
"""

from datetime import timedelta

from damaskdeck.protocol.queues import QueuedState, TaskName
from standins.pools import Work
from tests.poolcluster import PoolCase, make_job
from tests.virtual import virtual

# As seen: a worker is gone some 10 ms after it was told to start the task.
AT_ONCE = timedelta(milliseconds=10)
# Five starts with three seconds between them, and as long again.
ENOUGH_SECONDS = 40


def crash_under(*jobs: str, after: timedelta = AT_ONCE):
    """Return the behaviour in which the first tasks of some jobs crash workers."""

    def behave(task: TaskName, attempt: int) -> Work:
        is_bad = task.job in jobs and (task.step, task.index) == (0, 0)
        return Work(crash_after=after if is_bad else None)

    return behave


class TestCrashes(PoolCase):
    """A task that crashes workers is given up, and others are not."""

    @virtual
    async def test_a_task_that_crashes_its_workers_is_given_up(self):
        cluster = await self.begin(workers=6, behave=crash_under("bad"))
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state("bad", QueuedState.FAILED, seconds=ENOUGH_SECONDS)
        self.assertLessEqual(len(cluster.list_starts("bad")), 5)
        self.end()
