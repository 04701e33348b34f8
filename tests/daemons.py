"""Daemons of one process, on stand-ins, that tests can pause and kill."""

import asyncio
import itertools
from datetime import datetime, timedelta

from damaskdeck.coordination.members.membership import Membership
from damaskdeck.coordination.members.ownership import StoreOwnership
from damaskdeck.protocol.members import Member
from standins.clock import ManualClock, settle
from standins.peers import PeerSwitch
from standins.store import MemoryStore

STEP = timedelta(milliseconds=250)
ZONE = "z1"
WORKERS = tuple(f"w{index}" for index in range(6))
SHARDS = (*(f"worker/{name}" for name in WORKERS), "ledger/00", "ledger/01")


class PausableClock:
    """The shared clock as seen by a process that can be paused."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._runs = asyncio.Event()
        self._runs.set()

    def now(self) -> datetime:
        return self._clock.now()

    def monotonic(self) -> timedelta:
        return self._clock.monotonic()

    async def sleep(self, duration: timedelta) -> None:
        await self._clock.sleep(duration)
        while not self._runs.is_set():
            await self._runs.wait()

    def pause(self) -> None:
        self._runs.clear()

    def resume(self) -> None:
        self._runs.set()


class Daemon:
    """Membership and ownership of one daemon."""

    def __init__(self, deployment: "Deployment", name: str, zone: str) -> None:
        member = Member(
            name=name,
            zone=zone,
            region="r1",
            peer_address=f"127.0.0.1:{next(deployment.ports)}",
            api_address="127.0.0.1:1",
            incarnation=f"{name}-{next(deployment.ports)}",
        )
        self.name = name
        self.clock = PausableClock(deployment.clock)
        self.losses: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []
        peers = deployment.switch.connect(name)
        store = deployment.store.connect(name)
        self.members = Membership(
            member, peers, store, self.clock, newcomer_delay=deployment.newcomer_delay
        )
        self.ownership = StoreOwnership(self.members, peers, store, self.clock)
        self.ownership.set_shards("worker", WORKERS if zone == ZONE else ())
        self.ownership.set_shards("ledger", ("00", "01"))
        for scope in ("worker", "ledger"):
            self.ownership.on_loss(scope, self._record_loss)

    async def _record_loss(self, shard: str, epoch: int) -> None:
        self.losses.append(shard)

    def start(self) -> None:
        runs = (self.members.run(), self.ownership.run())
        self.tasks = [asyncio.ensure_future(run) for run in runs]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def list_owned(self, scope: str = "worker") -> tuple[str, ...]:
        return self.ownership.list_owned(scope)


class Deployment:
    """Daemons that share a store, a switch and a clock."""

    def __init__(self, newcomer_delay: timedelta = timedelta(hours=1)) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.switch = PeerSwitch(self.clock)
        self.newcomer_delay = newcomer_delay
        self.ports = itertools.count(1)
        self.daemons: dict[str, Daemon] = {}
        self.last_deciders: dict[str, tuple[Daemon, int]] = {}

    def add(self, name: str, zone: str = ZONE) -> Daemon:
        """Start a daemon; one of the same name must be dead."""
        daemon = self.daemons[name] = Daemon(self, name, zone)
        daemon.start()
        return daemon

    def kill(self, name: str) -> None:
        """Kill a daemon's process without a shutdown."""
        self.daemons.pop(name).stop()
        self.switch.disconnect(name)

    def pause(self, name: str) -> None:
        """Pause a daemon's process; its clock goes on."""
        self.daemons[name].clock.pause()
        self.switch.pause(name)

    def resume(self, name: str) -> None:
        """Resume a paused daemon."""
        self.daemons[name].clock.resume()
        self.switch.resume(name)

    def isolate(self, name: str) -> None:
        """Cut a daemon off from the store and from all others."""
        self.store.faults.cut_off.add(name)
        for other in self.daemons:
            self.switch.cut_both(name, other)

    def find_deciders(self, shard: str) -> dict[str, int]:
        """Return the epochs of daemons that consider themselves owner of ``shard``."""
        found = {}
        for name, daemon in self.daemons.items():
            epoch = daemon.ownership.get_epoch(shard)
            if epoch is not None:
                found[name] = epoch
        return found

    def check(self) -> None:
        """Fail when two daemons decide about one shard, or one with an old epoch."""
        for shard in SHARDS:
            deciders = self.find_deciders(shard)
            assert len(deciders) <= 1, (shard, deciders, self.clock.monotonic())
            for name, epoch in deciders.items():
                self.check_epoch(shard, self.daemons[name], epoch)
        for daemon in self.daemons.values():
            for task in daemon.tasks:
                assert not task.done() or task.exception() is None, task

    def check_epoch(self, shard: str, decider: Daemon, epoch: int) -> None:
        """Fail when another daemon had this epoch or a higher one."""
        last, last_epoch = self.last_deciders.get(shard, (decider, 0))
        allowed = last_epoch if decider is last else last_epoch + 1
        assert epoch >= allowed, (shard, epoch, last_epoch)
        self.last_deciders[shard] = decider, epoch

    async def advance(self, seconds: float) -> None:
        """Advance the clock in steps and check after each."""
        end = self.clock.monotonic() + timedelta(seconds=seconds)
        while self.clock.monotonic() < end:
            await self.clock.advance(min(STEP, end - self.clock.monotonic()))
            self.check()

    async def close(self) -> None:
        """Stop all daemons."""
        for daemon in self.daemons.values():
            daemon.stop()
        self.switch.close()
        await settle()
