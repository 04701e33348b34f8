"""An owner that the store turns away: others make its commits.

The load is that of an outage that meets the owner and a third of the daemons: quick
checks that end in the 1.6 s before another owner is found must not be told late.
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

    async def turn_owner_away(self, *others: str):
        """Let the store turn the owner away until it has noticed."""
        cluster = await self.begin(behave=lambda task, attempt: Work(QUICK))
        owner = cluster.find_owner()
        for name in (owner.name, *others):
            cluster.daemons[name].store.faults.outage = True
        await asyncio.sleep(0.7)
        self.assertIs(cluster.find_owner(), owner)
        return cluster, owner

    @virtual
    async def test_what_ends_meanwhile_is_told(self):
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
        cluster, owner = await self.turn_owner_away()
        change = Transaction((("k", 0),), (Write("k", b"v"),))
        self.assertIsInstance(await owner.commits.commit(change), Written)
        again = await owner.commits.commit(change)
        self.assertIsInstance(again, Mismatch)
        self.assertEqual(again.find("k").value, b"v")
        self.end()

    @virtual
    async def test_an_answer_that_is_lost_on_the_way_is_no_refusal(self):
        cluster, owner = await self.turn_owner_away()
        for daemon in cluster.daemons.values():
            daemon.store.faults.plan("commit", FaultKind.LOSE_ANSWER)
        change = Transaction((("k", 0),), (Write("k", b"v"),))
        self.assertIsInstance(await owner.commits.commit(change), Lost)
        self.assertIn("k", cluster.store.entries)
        self.end()

    @virtual
    async def test_who_cannot_help_is_left_alone_for_a_while(self):
        cluster, owner = await self.turn_owner_away("d0", "d1", "d2")
        change = Transaction((("k", 0),), (Write("k", b"v"),))
        owner.commits._delegates._suspended_until.clear()
        others = len(cluster.daemons) - 1
        asked = [await owner.commits.commit(change) for _ in range(others)]
        self.assertEqual({done.code for done in asked}, {"store_failing"})
        # Nobody is left to ask: its own way is tried again.
        last = await owner.commits.commit(change)
        self.assertEqual(last, Rejected("unreachable"))
        self.end()

    @virtual
    async def test_it_hands_over_to_who_has_the_store(self):
        cluster, owner = await self.turn_owner_away()
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
        began = cluster.clock.monotonic()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        self.assertLess(cluster.clock.monotonic() - began, timedelta(seconds=0.3))
        self.assertNotIn(cluster.find_owner().name, (owner.name, successor))
        self.end()

    @virtual
    async def test_a_deposed_owner_changes_nothing_through_others(self):
        cluster, owner = await self.turn_owner_away()
        fence = owner.owner._journal
        stale = fence._build([Write("k", b"v")])
        await cluster.wait(lambda: cluster.find_owner() not in (None, owner), 10)
        self.assertIsInstance(await owner.commits.commit(stale), Mismatch)
        self.assertNotIn("k", cluster.store.entries)
        self.end()
