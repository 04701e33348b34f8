"""Pool daemons and workers in one process, on stand-ins and in virtual time."""

import asyncio
import contextvars
import functools
import itertools
import unittest
from collections.abc import Callable, Iterator
from datetime import timedelta

from damaskdeck.coordination.pools.authorization import CallAuthorizer
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.delegatedcommits import DelegatingStore
from damaskdeck.coordination.pools.delegates import Delegates
from damaskdeck.coordination.pools.jobfrontend import JobFrontend
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.leases.outagegrants import OutageGrants
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.owner import OwnerDependencies, PoolOwner
from damaskdeck.coordination.pools.ownermonitor import OwnerMonitor
from damaskdeck.coordination.pools.times import PoolBounds, derive_times
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.workerfleet import FleetDependencies
from damaskdeck.delays import LoopDelay
from damaskdeck.protocol.callresults import JobAccepted, JobNotFound, JobStateFound
from damaskdeck.protocol.clientaccounts import ClientAccount, ClientAccounts, digest_key
from damaskdeck.protocol.pools import (
    EndKind,
    PoolWorker,
    WorkerIncarnation,
    WorkerRegistry,
)
from damaskdeck.protocol.queues import (
    AdvisorTiming,
    JobSpec,
    Queue,
    QueueJobState,
    QueueTable,
    StepSpec,
    TaskName,
)
from damaskdeck.protocol.sizes import Size, add_sizes, fits
from damaskdeck.state.jobrecords import (
    OWNER_KEY,
    RECORDING_KEY,
    MemberRecord,
    OwnerRecord,
    decode_record,
)
from standins.limits import STORE_LIMITS, StoreLimits, WorkerLimits
from standins.loops import LoopClock
from standins.peers import PeerSwitch
from standins.pools import (
    StandinAdvisor,
    StandinQueues,
    StandinRegistry,
    StandinWorker,
    Work,
    WorkersClient,
)
from standins.poolstore import PoolStore, PoolStoreClient

BOUNDS = PoolBounds(
    max_worker_lease=timedelta(seconds=6),
    min_store_lease=timedelta(seconds=1),
    grace=timedelta(seconds=6),
    status_retention=timedelta(seconds=120),
    max_stop_time=timedelta(milliseconds=900),
)
WORKER_LIMITS = WorkerLimits(lease=BOUNDS.max_worker_lease)
# No daemon serves a caller whose key was revoked longer ago than this.
REVOCATION = timedelta(seconds=5)
SECOND = timedelta(seconds=1)
ADVISOR_TIMING = AdvisorTiming(
    timedelta(milliseconds=10), timedelta(), timedelta(seconds=2)
)
SIZE = Size(4000, 8000, 0)
# A worker may get orders for its old capacity for this long and one heartbeat after it
# has shrunk.
CONTACT_BOUND = timedelta(seconds=3)
HEARTBEAT = timedelta(milliseconds=1500)
HEARTBEAT_STEP = timedelta(milliseconds=100)
# A crashed worker returns after this time as a new incarnation at its address.
RESTART_DELAY = timedelta(seconds=3)
# A registration is removed after this many missed heartbeats.
MISSED_HEARTBEATS = 3
# The users' bound: after three crashes a task may start at most twice more.
CRASHES_BEFORE_LIMIT = 3
STARTS_AFTER_LIMIT = 2
# Unix milliseconds of the start of the clock, by which births are given.
FIRST_BIRTH = 1_700_000_000_000
SMALL = Size(1000, 1000, 0)


def make_queue(name: str = "plans", **fields) -> Queue:
    """Return a queue, whose policy is given by the fields."""
    values = {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "pool": "hub",
        "rank": 1,
        "attempts": 3,
        "slack": 3.0,
        "allowance": SECOND,
        "advice": None,
    }
    return Queue(**{**values, **fields})


def make_account(name: str, *keys: str, **fields) -> ClientAccount:
    """Return an account with the given keys."""
    digests = frozenset(digest_key(key.encode()) for key in keys)
    return ClientAccount(name, digests, **fields)


def make_job(*steps: StepSpec, **fields) -> JobSpec:
    """Return a job of the given steps; by default one step with a small task."""
    return JobSpec("payload", steps or (StepSpec(1, SMALL, SECOND),), **fields)


class GatedClock(LoopClock):
    """Clock of a process that can be frozen."""

    def __init__(self) -> None:
        self.runs = asyncio.Event()
        self.runs.set()

    async def sleep(self, duration: timedelta) -> None:
        """Sleep, and do not return while frozen."""
        await super().sleep(duration)
        await self.runs.wait()


class ClusterDaemon:
    """The pool components of one daemon; :meth:`kill` ends them at once."""

    def __init__(
        self,
        cluster: "PoolCluster",
        name: str,
        power: float,
        started_at: float,
        zone: str,
    ) -> None:
        self.name = name
        self.is_killed = False
        clock = self.clock = GatedClock()
        self.delay = LoopDelay()
        self.context = cluster.build_context(name)
        self.store = cluster.connect_store(self)
        self.workers = cluster.connect_workers(self)
        self.advisor = StandinAdvisor(clock, cluster.allow)
        self.owner: PoolOwner | None = None
        self.terms: list[OwnerTerm] = []
        self._cluster = cluster
        self.peers = cluster.switch.connect(name)
        self._tasks: set[asyncio.Task[None]] = set()
        self._owner_task: asyncio.Task[None] | None = None
        incarnation = f"{name}-{next(cluster.numbers)}"
        healthy = self.healthy = MonitoredStore(self.store, clock, self.delay)
        self.leadership = Leadership(
            MemberRecord(name, incarnation, f"{name}:1", zone, power, started_at),
            healthy,
            clock,
            cluster.times,
            self._begin_term,
            self._end_term,
        )
        self.declarations = Declarations(
            StandinQueues(healthy, cluster.tables),
            clock,
            cluster.times.keys_max_age,
            cluster.times.document_max_age,
            healthy.measure_silence,
        )
        self.authorizer = CallAuthorizer(self.declarations)
        self.frontend = JobFrontend(
            name,
            healthy,
            self.peers,
            self.leadership,
            self.advisor,
            clock,
            cluster.times,
            self.declarations,
            lambda: self.owner,
            lambda epoch: self.monitor.record_heartbeat(epoch),
        )

        self.commits = DelegatingStore(
            healthy, self.peers, clock, Delegates(name, self.leadership, clock)
        )
        self.monitor = OwnerMonitor(
            name, self.peers, self.leadership, clock, self._get_epoch
        )
        self.grants = OutageGrants(self.peers, self.leadership, clock, cluster.times)

    def start(self) -> None:
        """Start the components."""
        self._spawn(self.leadership.run())
        self._spawn(self.grants.run())
        self._spawn(self.declarations.run())
        self._spawn(self.monitor.run())

    def _get_epoch(self) -> int:
        owner = self.owner
        return owner.term.epoch if owner and owner.may_decide() else 0

    def _spawn(self, work) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work, context=self.context)
        self._tasks.add(task)
        return task

    def _begin_term(self, term: OwnerTerm) -> None:
        self.terms.append(term)
        self._cluster.epochs.append(term.epoch)
        fleet_dependencies = FleetDependencies(
            self.leadership,
            self.store,
            self.workers,
            self._cluster.build_registry(self.store),
            self.clock,
            self._cluster.times,
            self.declarations.is_pool_declared,
            self.delay,
            self.healthy.write_times.find_write_time,
        )
        dependencies = OwnerDependencies(
            fleet_dependencies,
            self.peers,
            self.declarations,
            self.commits,
            self.healthy,
        )
        self.owner = PoolOwner(term, dependencies)
        self._owner_task = self._spawn(self.owner.run())

    def _end_term(self) -> None:
        self.owner = None
        if self._owner_task is not None:
            self._owner_task.cancel()

    def freeze(self) -> None:
        """Stop the process without ending it, as SIGSTOP does; time goes on."""
        self.clock.runs.clear()

    def thaw(self) -> None:
        """Let the process continue, as SIGCONT does."""
        self.clock.runs.set()

    def kill(self) -> None:
        """End the process as SIGKILL does."""
        self.is_killed = True
        self._cluster.switch.disconnect(self.name)
        self.owner = None
        for task in self._tasks:
            task.cancel()

    def check(self) -> None:
        """Raise the exception that ended a component, if there is one."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()

    async def stop(self) -> None:
        """End the process as SIGTERM does."""
        owner = self.owner
        if owner is not None:
            await owner.drain()
        await self.leadership.release(owner.fence if owner is not None else 0)
        if await self.leadership.leave():
            await self.grants.announce_departure()
        self.kill()


class PoolCluster:
    """Daemons, workers and an operator.

    :param behave: returns how an attempt of a task behaves.
    :param allow: returns whether the advisor consents to a step on a worker.
    :param has_births: whether workers report their births. A crashed worker then
        returns under its name, else a new incarnation has a new name.
    :param worker_limits: the limits of all workers.
    :param store_limits: the limits of the store.
    """

    def __init__(
        self,
        daemons: int = 3,
        workers: int = 4,
        behave: Callable[[TaskName, int], Work] = lambda task, attempt: Work(),
        allow: Callable[[str, str], bool] = lambda step, worker: True,
        queues: tuple[Queue, ...] = (make_queue(),),
        zones: int = 1,
        accounts: tuple[ClientAccount, ...] = (),
        has_births: bool = False,
        worker_limits: WorkerLimits = WORKER_LIMITS,
        store_limits: StoreLimits = STORE_LIMITS,
    ) -> None:
        self.worker_limits = worker_limits
        self.clock = LoopClock()
        self.has_births = has_births
        self.numbers = itertools.count(1)
        # The names of all incarnations that were or will be started by a restart.
        self._chosen_names: set[str] = set()
        self.allow = allow
        bounds = BOUNDS._replace(revocation=REVOCATION) if accounts else BOUNDS
        self.times = derive_times(bounds)
        self.store = PoolStore(self.clock, store_limits)
        self.switch = PeerSwitch(self.clock)
        self.workers: dict[str, StandinWorker] = {}
        self.epochs: list[int] = []
        self.specs: dict[str, JobSpec] = {}
        # The sizes of each worker, with the time from which each holds.
        self.sizes: dict[str, list[tuple[timedelta, Size]]] = {}
        # The time of each crash of a worker, with a task and attempt that it ran.
        self.crashes: list[tuple[timedelta, TaskName, int]] = []
        self.tables: dict[int, QueueTable] = {}
        # When each version was acknowledged to the operators.
        self.declared_at: dict[int, timedelta] = {}
        self.declare(queues, accounts)
        self._behave = behave
        for number in range(workers):
            self.add_worker(
                f"w{number}",
                f"10.0.0.{number}:1",
                f"r{number % 2}",
                f"z{number % zones}",
            )
        self._heartbeats: asyncio.Task[None] | None = None
        # Workers whose registrations are written by a test, not by the cluster.
        self.externally_registered: set[str] = set()
        # After which a crashed worker returns, ``None`` for never.
        self.restart_delay: timedelta | None = RESTART_DELAY
        # Workers that reach neither the daemons nor the store.
        self.isolated: set[str] = set()
        self.daemons: dict[str, ClusterDaemon] = {}
        for number in range(daemons):
            self.add_daemon(f"d{number}")

    @property
    def table(self) -> QueueTable:
        """The latest document."""
        return self.tables[max(self.tables)]

    def declare(
        self, queues: tuple[Queue, ...], accounts: tuple[ClientAccount, ...] = ()
    ) -> None:
        """Store a document, as the operators do."""
        version = len(self.tables) + 1
        self.tables[version] = QueueTable(
            version, queues, frozenset({"hub"}), 100_000, ClientAccounts(accounts)
        )
        self.store.set(StandinQueues.key, str(version).encode())
        self.declared_at[version] = self.clock.monotonic()

    def build_context(self, name: str) -> contextvars.Context | None:
        """Return the context in which a daemon runs, ``None`` for the current one."""
        return None

    def connect_store(self, daemon: ClusterDaemon) -> PoolStoreClient:
        """Return a daemon's client of the store."""
        return PoolStoreClient(self.store, daemon.clock)

    def connect_workers(self, daemon: ClusterDaemon) -> WorkersClient:
        """Return a daemon's client of the workers."""
        return WorkersClient(self.workers, daemon.clock)

    def build_registry(self, store: PoolStoreClient) -> WorkerRegistry:
        """Return the registry as a daemon sees it."""
        return StandinRegistry(store, self.workers)

    def register(self, worker: StandinWorker) -> None:
        """Write the registration of a worker."""
        key = StandinRegistry.prefix + worker.incarnation.name
        value = worker.info.identifier if self.has_births else str(worker.info.size)
        self.store.set(key, value.encode())

    @property
    def is_store_away(self) -> bool:
        """Whether the store answers no daemon, and then no worker either."""
        living = [d for d in self.daemons.values() if not d.is_killed]
        return bool(living) and all(d.store.faults.outage for d in living)

    async def _send_heartbeats(self) -> None:
        """Renew the registrations of the workers periodically, if the store is up."""
        due: dict[str, timedelta] = {}
        while True:
            now = self.clock.monotonic()
            for number, (name, worker) in enumerate(list(self.workers.items())):
                phase = HEARTBEAT_STEP * 4 * (number % 4)
                if worker.is_up and now >= due.setdefault(name, now + phase):
                    due[name] += HEARTBEAT
                    is_silent = (
                        worker.incarnation.name
                        in self.externally_registered | self.isolated
                    )
                    if not self.is_store_away and not is_silent:
                        size = self.sizes[name][-1][1]
                        worker.info = worker.info._replace(size=size)
                        self.register(worker)
            await self.clock.sleep(HEARTBEAT_STEP)

    def add_worker(
        self, name: str, address: str, rack: str = "r0", zone: str = "z0"
    ) -> StandinWorker:
        """Add a worker and register it."""
        labels = frozenset({"a", rack})
        now = self.clock.monotonic()
        identifier, clock_offset = name, timedelta()
        if self.has_births:
            born = FIRST_BIRTH + round(now / timedelta(milliseconds=1))
            identifier = WorkerIncarnation(name, born).identifier
            # The clock of each incarnation starts anew.
            clock_offset = SECOND - now
        info = PoolWorker(identifier, "hub", address, zone, SIZE, labels, rack)
        worker = StandinWorker(
            info, self.clock, self._behave, self.worker_limits, clock_offset
        )
        worker.on_crash = lambda: self.crash(worker)
        self.workers[identifier] = worker
        self.sizes[identifier] = [(now, info.size)]
        self.register(worker)
        return worker

    def choose_name(self, name: str, numbers: Iterator[int]) -> str:
        """Return a name for the next incarnation of a worker that none has had."""
        names = (f"{name.partition('+')[0]}+{number}" for number in numbers)
        chosen = next(name for name in names if name not in self._chosen_names)
        self._chosen_names.add(chosen)
        return chosen

    def find_worker(self, name: str) -> StandinWorker:
        """Return the latest incarnation of a worker."""
        named = [w for w in self.workers.values() if w.incarnation.name == name]
        return named[-1]

    def resize(self, name: str, size: Size) -> None:
        """Change the size of a worker, which reports it with its next heartbeat."""
        self.sizes[name].append((self.clock.monotonic(), size))

    def crash(self, worker: StandinWorker) -> None:
        """Crash a worker; its next incarnation starts at its address after a while."""
        self.record_crash(worker)
        worker.kill()
        info, name = worker.info, worker.incarnation.name
        self.store.set(StandinRegistry.prefix + name, None)
        if self.restart_delay is None:
            return
        if not self.has_births:
            name = self.choose_name(name, self.numbers)
        asyncio.get_running_loop().call_later(
            self.restart_delay.total_seconds(),
            lambda: self.add_worker(name, info.address, info.rack, info.zone),
        )

    def isolate(self, name: str) -> None:
        """Cut a worker off from all daemons and the store; it runs on."""
        self.isolated.add(name)
        for daemon in self.daemons.values():
            daemon.workers.cut_off.add(name)
        key = StandinRegistry.prefix + name

        def expire() -> None:
            if name in self.isolated:
                self.store.set(key, None)

        delay = MISSED_HEARTBEATS * HEARTBEAT.total_seconds()
        asyncio.get_running_loop().call_later(delay, expire)

    def rejoin(self, name: str) -> None:
        """Reconnect a worker, which registers with its next heartbeat."""
        self.isolated.discard(name)
        for daemon in self.daemons.values():
            daemon.workers.cut_off.discard(name)

    def record_crash(self, worker: StandinWorker) -> None:
        """Record the runs of a worker that is about to crash."""
        worker.settle()
        now = self.clock.monotonic()
        for task, run in worker.running.items():
            self.crashes.append((now, task, run.attempt))

    def retire(self, name: str, remaining: timedelta | None = None) -> None:
        """Let a worker announce that it leaves."""
        worker = self.workers[name]
        worker.info = worker.info._replace(is_leaving=True, remaining=remaining)
        self.store.set(StandinRegistry.prefix + name, b"2")

    def add_daemon(
        self,
        name: str,
        power: float = 1.0,
        started_at: float = 0.0,
        zone: str = "z",
    ) -> ClusterDaemon:
        """Create a daemon; it replaces a killed one of the same name."""
        daemon = ClusterDaemon(self, name, power, started_at, zone)
        daemon.workers.cut_off |= self.isolated
        self.daemons[name] = daemon
        return daemon

    async def start(self) -> None:
        """Start all daemons and wait for an owner that has loaded."""
        for daemon in self.daemons.values():
            daemon.start()
        await self.wait(lambda: self.find_owner() is not None)
        await self.wait(
            lambda: all(d.declarations.table for d in self.daemons.values())
        )
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())
        contacts = self.find_owner().owner.contacts.values()
        await self.wait(
            lambda: all(
                c.is_capacity_fresh(self._now()) for c in contacts if c.is_listed
            )
        )

    def find_owner(self) -> ClusterDaemon | None:
        """Return the daemon that is the owner, ``None`` if there is none."""
        for daemon in self.daemons.values():
            if daemon.owner is not None and daemon.owner.is_loaded:
                return daemon
        return None

    def find_host(self, job: str) -> StandinWorker | None:
        """Return a worker that runs a task of a job, ``None`` if there is none."""
        for worker in self.workers.values():
            if any(task.job == job for task in worker.running):
                return worker
        return None

    def is_open(self, job: str) -> bool:
        """Whether a job is not final for the owner, or there is no owner."""
        daemon = self.find_owner()
        return daemon is None or job in daemon.owner.job_index.open_jobs

    def find_recorded_owner(self) -> str:
        """Return the name of the owner that the store names."""
        return decode_record(OwnerRecord, self.store.entries[OWNER_KEY].value).instance

    def find_other_daemon(self) -> ClusterDaemon:
        """Return a daemon that is running and is not the owner."""
        daemons = self.daemons.values()
        return next(d for d in daemons if d.owner is None and not d.is_killed)

    async def wait(self, is_reached: Callable[[], bool], seconds: float = 60) -> None:
        """Wait for a condition.

        :raises AssertionError: if it is not met in time.
        """
        ends = self.clock.monotonic() + timedelta(seconds=seconds)
        while not is_reached():
            for daemon in self.daemons.values():
                daemon.check()
            if self.clock.monotonic() > ends:
                raise AssertionError("the condition was not met in time")
            await asyncio.sleep(0.01)

    async def submit(self, job: str, spec: JobSpec, daemon: str = "d0"):
        """Submit a job and expect it to be accepted."""
        self.specs[job] = spec
        queue = self.table.queues[0]
        done = await self.daemons[daemon].frontend.submit(queue, job, spec)
        if done != JobAccepted():
            raise AssertionError(f"not accepted: {done}")

    async def run_first_job(self) -> None:
        """Run a first job, so that all components are connected."""
        await self.submit("j0", make_job())
        await self.wait_for_state("j0", QueueJobState.COMPLETED)

    async def wait_for_state(
        self, job: str, state: QueueJobState, daemon: str = "", seconds: float = 60
    ) -> None:
        """Wait until a daemon reports a state of a job."""
        ends = self.clock.monotonic() + timedelta(seconds=seconds)
        found: object = None
        while found != JobStateFound(state):
            name = daemon or next(iter(self.daemons))
            found = await self.daemons[name].frontend.read_state(job)
            if isinstance(found, JobNotFound) or self.clock.monotonic() > ends:
                raise AssertionError(f"{job} is {found}, expected {state}")
            await asyncio.sleep(0.02)

    def list_starts(self, job: str = "") -> list[tuple[timedelta, TaskName, int, str]]:
        """List the starts of one job, or of all jobs, by time."""
        rows = [
            (at, task, attempt, name)
            for name, worker in self.workers.items()
            for at, task, attempt, _ in worker.starts
            if not job or task.job == job
        ]
        return sorted(rows)

    def find_violations(self) -> list[str]:
        """Return the violations of the invariants that the workers saw."""
        violations = []
        spans: dict[TaskName, list[tuple[timedelta, timedelta, EndKind, str]]] = {}
        for name, worker in self.workers.items():
            worker.settle()
            for task, attempt, kind, started_at, ended_at in worker.history:
                if (task, attempt) in worker.lost:
                    kind = EndKind.LAPSED
                spans.setdefault(task, []).append((started_at, ended_at, kind, name))
            for task, run in worker.running.items():
                row = (run.started_at, timedelta.max, EndKind.COMPLETED, name)
                spans.setdefault(task, []).append(row)
        for task, rows in spans.items():
            rows.sort()
            for first, second in itertools.pairwise(rows):
                if second[0] < first[1]:
                    violations.append(f"{task} runs twice: {first} {second}")
                if first[2] is EndKind.COMPLETED:
                    violations.append(f"{task} starts after it completed: {second}")
        return violations + self._find_excess_starts() + self._find_overfilled()

    def _find_overfilled(self) -> list[str]:
        """List the starts that exceeded the capacity in force of a worker."""
        violations = []
        for name, worker in self.workers.items():
            spans = [(row[3], row[4], row[0]) for row in worker.history]
            spans += [
                (r.started_at, timedelta.max, t) for t, r in worker.running.items()
            ]
            for at, task, _, _ in worker.starts:
                there = [
                    t
                    for started_at, ended_at, t in spans
                    if started_at <= at < ended_at
                ]
                used = functools.reduce(add_sizes, map(self._find_size, there), Size())
                if not any(fits(used, size) for size in self._list_sizes(name, at)):
                    violations.append(f"{task} at {at} overfills {name}: {used}")
        return violations

    def _find_size(self, task: TaskName) -> Size:
        spec = self.specs.get(task.job)
        return spec.steps[task.step].size if spec is not None else Size()

    def _list_sizes(self, name: str, at: timedelta) -> list[Size]:
        """List the sizes of a worker that an order at a time may have been based on."""
        sizes = self.sizes[name]
        ends = [*(since for since, _ in sizes[1:]), timedelta.max]
        return [
            size
            for (since, size), end in zip(sizes, ends, strict=True)
            if since <= at < _add_bound(end)
        ]

    def _find_excess_starts(self) -> list[str]:
        """List the tasks that were started too often after crashing workers.

        Only tasks that crash every worker that starts them count.
        """
        violations = []
        starts = self.list_starts()
        for task in sorted({task for _, task, _ in self.crashes}):
            crashed = [at for at, name, _ in self.crashes if name == task]
            mine = [row for row in starts if row[1] == task]
            crashes = [self._behave(task, row[2]).crash_after for row in mine]
            if len(crashed) < CRASHES_BEFORE_LIMIT or None in crashes:
                continue
            after = sum(row[0] > crashed[CRASHES_BEFORE_LIMIT - 1] for row in mine)
            if after > STARTS_AFTER_LIMIT:
                violations.append(f"{task} starts {after} times after three crashes")
        return violations

    def cut_zone(self, zone: str, inside: tuple[str, ...] = ()) -> None:
        """Cut an availability zone off from the other zones and from the store.

        :param inside: the daemons in that zone.
        """
        for daemon in self.daemons.values():
            is_inside = daemon.name in inside
            daemon.store.faults.outage = is_inside
            for name, worker in self.workers.items():
                if (worker.info.zone == zone) != is_inside:
                    daemon.workers.cut_off.add(name)
            for other in self.daemons:
                if (other in inside) != is_inside:
                    self.switch.cut_both(daemon.name, other)

    def forget_recording(self) -> None:
        """Remove what the owner has declared of the record of its runs.

        Owners of earlier versions declare nothing, and none does while the store is
        slow.
        """
        self.store.set(RECORDING_KEY, None)

    def begin_outage(self) -> None:
        """Let the store answer no daemon until :meth:`heal`."""
        for daemon in self.daemons.values():
            daemon.store.faults.outage = True

    def heal(self) -> None:
        """End all cuts and outages."""
        self.switch.heal_all()
        self.isolated.clear()
        for daemon in self.daemons.values():
            daemon.store.faults.outage = False
            daemon.workers.cut_off.clear()

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()

    def close(self) -> None:
        """End all daemons."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for daemon in self.daemons.values():
            daemon.kill()
        self.switch.close()


def _add_bound(end: timedelta) -> timedelta:
    return end if end == timedelta.max else end + CONTACT_BOUND + HEARTBEAT


class PoolCase(unittest.TestCase):
    """Closes the cluster and checks the invariants."""

    kind = PoolCluster

    async def begin(self, **options) -> PoolCluster:
        """Start a cluster."""
        self.cluster = self.kind(**options)
        await self.cluster.start()
        return self.cluster

    def end(self) -> None:
        """Check the invariants and close the cluster."""
        violations = self.cluster.find_violations()
        self.cluster.close()
        self.assertEqual(violations, [])
