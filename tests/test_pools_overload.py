"""An overloaded control plane may be slow, but must not depose its owner repeatedly.

The load: each process needs time for each message, as entry instances with a tenth of a
core do, and messages arrive faster than the owner handles them. It then replies to
heartbeat requests late by a second or more. Each successor loaded the same jobs and
workers, was checked for liveness by all daemons and was overloaded as well: one
takeover a second without end, and no task started.
"""

import asyncio
import random
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.liveness import (
    LOADING_SILENCE,
    MAX_SILENCE,
    MIN_SILENCE,
    OwnerLiveness,
)
from damaskdeck.coordination.pools.ownermonitor import MONITOR_COUNT
from damaskdeck.protocol.poolmessages import CountWaitingJobs
from damaskdeck.protocol.queues import QueueJobState
from standins.clock import ManualClock
from tests.poolcluster import SECOND, PoolCase, PoolCluster, make_job
from tests.virtual import virtual

# Time to handle a message on a tenth of a core: 1.5 ms of a whole core.
WORK = timedelta(milliseconds=15)
DAEMONS = 24


class TestOverload(PoolCase):
    """Takeovers while the owner is overloaded."""

    async def load_owner(self, rate: float, seconds: float) -> None:
        """Let daemons send requests to the owner at a rate per second."""
        rng = random.Random(1)
        names = list(self.cluster.daemons)
        calls = []
        for _ in range(int(rate * seconds)):
            owner = self.cluster.find_recorded_owner()
            asker = self.cluster.daemons[rng.choice(names)]
            calls.append(
                asyncio.ensure_future(
                    asker.peers.call(
                        owner, {"queue": "plans"}, CountWaitingJobs, SECOND
                    )
                )
            )
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)

    async def begin_slow_cluster(self):
        """Start a cluster whose processes need time for each message."""
        cluster = await self.begin(daemons=DAEMONS, workers=8)
        await cluster.run_first_job()
        cluster.epochs.clear()
        for name in cluster.daemons:
            cluster.switch.processing_times[name] = WORK
        return cluster

    @virtual
    async def test_an_overloaded_owner_is_not_deposed_repeatedly(self):
        cluster = await self.begin_slow_cluster()
        await self.load_owner(rate=1.3 / WORK.total_seconds(), seconds=8)
        self.assertLessEqual(len(cluster.epochs), 1)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        self.end()

    @virtual
    async def test_an_owner_that_is_lost_under_load_is_succeeded_once(self):
        cluster = await self.begin_slow_cluster()
        pressing = asyncio.ensure_future(
            self.load_owner(rate=0.8 / WORK.total_seconds(), seconds=6)
        )
        await asyncio.sleep(1)
        cluster.find_owner().kill()
        await pressing
        self.assertEqual(len(cluster.epochs), 1)
        survivor = cluster.find_other_daemon().name
        await cluster.submit("j1", make_job(), survivor)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, survivor, seconds=5)
        self.end()

    @virtual
    async def test_a_successor_is_seen_alive_despite_hanging_requests(
        self,
    ):
        cluster = await self.begin(daemons=7)
        await cluster.run_first_job()
        owner = cluster.find_owner()
        cluster.switch.pause(owner.name)
        owner.freeze()
        await cluster.wait(lambda: cluster.find_recorded_owner() != owner.name)
        await asyncio.sleep(0.5)
        successor = cluster.daemons[cluster.find_recorded_owner()]
        monitors = [d.monitor for d in cluster.daemons.values() if d is not successor]
        answered = [w for w in monitors if w._liveness._round_trips.answers]
        self.assertGreaterEqual(len(answered), 3)
        cluster.switch.resume(owner.name)
        owner.thaw()
        await asyncio.sleep(1)
        self.end()

    @virtual
    async def test_other_daemons_monitor_the_owner_once_its_monitors_are_gone(self):
        # Daemons that don't monitor the owner sleep until a member changes.
        cluster = await self.begin(daemons=8, workers=2)
        await cluster.run_first_job()
        owner = cluster.find_owner()
        others = [d for d in cluster.daemons.values() if d is not owner]
        idle = [d for d in others if not d.monitor._liveness._round_trips.answers]
        self.assertEqual(len(idle), len(others) - MONITOR_COUNT)
        for daemon in others:
            if daemon not in idle:
                daemon.kill()
        # The lease of their member keys, and a few heartbeats.
        await asyncio.sleep(cluster.times.member_ttl.total_seconds() + 0.5)
        for daemon in idle:
            self.assertTrue(daemon.monitor._liveness._round_trips.answers, daemon.name)
        self.end()

    @virtual
    async def test_consulting_witnesses_costs_no_more_in_a_large_deployment(self):
        cluster = await self.begin(daemons=48, workers=2)
        await cluster.run_first_job()
        owner = cluster.find_owner()
        monitor = cluster.find_other_daemon().monitor
        before = sum(cluster.switch.messages.values())
        await monitor._consult_witnesses(owner.name, owner.owner.term.epoch)
        asked = sum(cluster.switch.messages.values()) - before
        self.assertLess(asked, 60)
        self.end()


class TestZones(PoolCase):
    """The owner's availability zone is cut off, together with many daemons."""

    @virtual
    async def test_an_owner_is_monitored_from_other_zones(self):
        self.cluster = cluster = PoolCluster(daemons=0, workers=6, zones=2)
        inside = [f"a{number}" for number in range(4)]
        for name in inside:
            cluster.add_daemon(name, zone="z0")
        for number in range(6):
            cluster.add_daemon(f"b{number}", zone="z1")
        cluster.add_daemon("a9", power=2.0, zone="z0")
        await cluster.start()
        await asyncio.sleep(1)
        if cluster.find_recorded_owner() != "a9":
            await cluster.find_owner().leadership.release(is_leaving=False)
        await cluster.wait(lambda: cluster.find_recorded_owner() == "a9")
        await asyncio.sleep(1)
        cluster.cut_zone("z0", (*inside, "a9"))
        cut_at = cluster.clock.monotonic()
        await cluster.wait(lambda: cluster.find_recorded_owner() != "a9", seconds=5)
        self.assertLess(cluster.clock.monotonic() - cut_at, 0.9 * SECOND)
        cluster.heal()
        await asyncio.sleep(2)
        self.end()


class TestOwnerLiveness(unittest.TestCase):
    """The timeout after which a daemon suspects the owner."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.liveness = OwnerLiveness(self.clock)
        self.liveness.follow(1)

    def reply(self, duration: timedelta, count: int = 30) -> None:
        """Let the owner reply to heartbeat requests."""
        for _ in range(count):
            sent = self.clock.monotonic().total_seconds()
            self.clock.move(duration)
            self.liveness.record_reply(1, sent)

    def test_a_prompt_owner_has_the_shortest_timeout(self):
        self.reply(timedelta(milliseconds=4))
        self.assertEqual(self.liveness.find_timeout(0), MIN_SILENCE.total_seconds())

    def test_a_successor_has_a_longer_timeout_until_its_first_reply(self):
        self.reply(timedelta(milliseconds=4))
        self.liveness.follow(2)
        self.assertEqual(self.liveness.find_timeout(0), LOADING_SILENCE.total_seconds())
        self.clock.move(LOADING_SILENCE)
        self.assertEqual(self.liveness.find_timeout(0), MIN_SILENCE.total_seconds())

    def test_a_slow_owner_has_a_timeout_above_its_usual_response_time(self):
        self.reply(timedelta(milliseconds=800))
        self.assertGreater(self.liveness.find_timeout(0), 0.8)

    def test_each_owner_that_was_deposed_alive_doubles_the_timeout(self):
        self.reply(timedelta(milliseconds=4))
        least = MIN_SILENCE.total_seconds()
        self.assertEqual(self.liveness.find_timeout(2), 4 * least)
        longest = MAX_SILENCE.total_seconds()
        self.assertEqual(self.liveness.find_timeout(9), longest)

    def test_stored_changes_count_as_evidence_for_a_limited_time(self):
        self.clock.move(SECOND)
        self.liveness.record_progress()
        self.assertEqual(self.liveness.measure_silence(), 0)
        self.clock.move(2 * SECOND)
        self.liveness.record_progress()
        self.assertEqual(self.liveness.measure_silence(), 2)
