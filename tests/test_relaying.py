"""Commits that other daemons make for an owner that the store refuses to serve.

The load is that of an outage that affects the owner and a third of the daemons: quick
checks that end in the 1.6 s until there is another owner must not be reported late.
"""

import asyncio
from datetime import timedelta

from damaskdeck.protocol.callresults import JobStateFound
from damaskdeck.protocol.ports import Lost, Rejected, Written
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.transactions import Mismatch, Transaction, Write
from standins.faults import FaultKind
from standins.pools import Work
from tests.poolcluster import SMALL, PoolCase, make_job
from tests.virtual import virtual

QUICK = timedelta(milliseconds=500)


class TestRelaying(PoolCase):
    """Commits through other daemons."""

    async def refuse_owner(self, *others: str):
        """Let the store refuse the owner until the owner has noticed it."""
        cluster = await self.begin(behave=lambda task, attempt: Work(QUICK))
        owner = cluster.find_owner()
        for name in (owner.name, *others):
            cluster.daemons[name].store.faults.outage = True
        await asyncio.sleep(0.7)
        self.assertIs(cluster.find_owner(), owner)
        return cluster, owner

    @virtual
    async def test_jobs_that_end_during_the_outage_are_reported(self):
        cluster = await self.begin(behave=lambda task, attempt: Work(QUICK))
        owner = cluster.find_owner()
        other = cluster.find_other_daemon()
        await cluster.submit("j1", make_job(StepSpec(1, SMALL, QUICK)), other.name)
        owner.store.faults.outage = True
        await asyncio.sleep(0.9)
        self.assertIs(cluster.find_owner(), owner)
        self.assertEqual(
            await other.frontend.read_state("j1"),
            JobStateFound(QueueJobState.COMPLETED),
        )
        self.end()

    @virtual
    async def test_a_commit_takes_effect_once(self):
        cluster, owner = await self.refuse_owner()
        change = Transaction((("k", 0),), (Write("k", b"v"),))
        self.assertIsInstance(await owner.commits.commit(change), Written)
        again = await owner.commits.commit(change)
        self.assertIsInstance(again, Mismatch)
        self.assertEqual(again.find("k").value, b"v")
        self.end()

    @virtual
    async def test_a_lost_answer_of_a_delegate_is_no_refusal(self):
        cluster, owner = await self.refuse_owner()
        for daemon in cluster.daemons.values():
            daemon.store.faults.plan("commit", FaultKind.LOSE_ANSWER)
        change = Transaction((("k", 0),), (Write("k", b"v"),))
        self.assertIsInstance(await owner.commits.commit(change), Lost)
        self.assertIn("k", cluster.store.entries)
        self.end()

    @virtual
    async def test_a_delegate_that_fails_is_suspended(self):
        cluster, owner = await self.refuse_owner("d0", "d1", "d2")
        change = Transaction((("k", 0),), (Write("k", b"v"),))
        owner.commits._delegates._suspended_until.clear()
        others = len(cluster.daemons) - 1
        asked = [await owner.commits.commit(change) for _ in range(others)]
        self.assertEqual({done.code for done in asked}, {"store_failing"})
        # With all delegates suspended, the owner calls the store itself again.
        last = await owner.commits.commit(change)
        self.assertEqual(last, Rejected("unreachable"))
        self.end()

    @virtual
    async def test_the_owner_hands_over_to_a_daemon_that_the_store_serves(self):
        cluster, owner = await self.refuse_owner()
        successor = owner.leadership._list_other_successors()[0]
        cluster.daemons[successor].store.faults.outage = True
        for _ in cluster.daemons:
            await owner.commits.commit(Transaction(writes=(Write("k", b"v"),)))
        self.assertTrue(owner.commits.is_delegating)
        await owner.owner.drain()
        await owner.leadership.release_via_delegate(
            owner.owner.fence, owner.commits.commit_via_delegate
        )
        self.assertIsNone(owner.owner)
        started_at = cluster.clock.monotonic()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        self.assertLess(cluster.clock.monotonic() - started_at, timedelta(seconds=0.3))
        self.assertNotIn(cluster.find_owner().name, (owner.name, successor))
        self.end()

    @virtual
    async def test_a_deposed_owner_changes_nothing_through_delegates(self):
        cluster, owner = await self.refuse_owner()
        fence = owner.owner._journal
        stale = fence._build([Write("k", b"v")])
        await cluster.wait(lambda: cluster.find_owner() not in (None, owner), 10)
        self.assertIsInstance(await owner.commits.commit(stale), Mismatch)
        self.assertNotIn("k", cluster.store.entries)
        self.end()
