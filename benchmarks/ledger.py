"""Measures ledgers in virtual time with a store that answers after 5 ms.

Latencies and rates are exact, in virtual time. Processor time is real, and includes
that of the simulated store and of the load.
"""

import asyncio
import random
import time
from collections import Counter, deque
from datetime import timedelta
from typing import Any

from damaskdeck.protocol.ports import Rejected, Written
from damaskdeck.state.ledger import Committed, Ledger, Opened
from standins.loops import LoopClock, run_virtual
from standins.store import MemoryStore, StoreClient

Figures = dict[str, Any]

STORE_LATENCY = timedelta(milliseconds=5)
RECORD_BYTES = 300
STATE_RECORDS = 17_000
LEDGERS = 4
BASE_COMMITS_PER_SECOND = 250
LOAD_FACTORS = (1, 2, 4, 8)
DAEMON_COUNTS = (3, 6, 12, 27)
CLIENTS = 500
SEED = 1


class CountingStore:
    """A client of the store that counts calls and written bytes by their purpose."""

    def __init__(self, client: StoreClient, calls: Counter[str]) -> None:
        self._client = client
        self._calls = calls

    def __getattr__(self, operation: str) -> Any:
        async def call(key: str, *arguments: Any) -> Any:
            kind = operation
            if operation == "put":
                kind = f"put {key.split('/')[2]}"
                self._calls[f"bytes {kind}"] += len(arguments[0])
            self._calls[kind] += 1
            return await getattr(self._client, operation)(key, *arguments)

        return call


class Deployment:
    """Ledgers in one store, each with a state of a fixed size.

    :param ledgers: number of ledgers, among which the state is divided evenly.
    """

    def __init__(self, ledgers: int) -> None:
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.store.faults.delay = STORE_LATENCY
        self.calls: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.ledgers: list[Ledger] = []
        self.epochs = [0] * ledgers
        self._states: list[deque[bytes]] = []

    async def start(self) -> None:
        """Open all ledgers, each with a state of full size."""
        count = len(self.epochs)
        for number in range(count):
            state = deque([bytes(RECORD_BYTES)], STATE_RECORDS // count)
            state *= STATE_RECORDS // count
            self._states.append(state)
            self.ledgers.append(await self.take_over(number))

    async def take_over(self, number: int) -> Ledger:
        """Open a ledger for a new owner, in the next epoch."""
        self.epochs[number] += 1
        state = self._states[number]
        client = CountingStore(self.store.connect("keeper"), self.calls)
        ledger = Ledger(
            f"{number:02d}", client, self.clock, lambda: tuple(state), state.extend
        )
        opened = await ledger.open(self.epochs[number])
        assert isinstance(opened, Opened), opened
        return ledger


def run(quick: bool) -> Figures:
    """Measure commits, calls to the store and written bytes.

    :param quick: whether to simulate a shorter time.
    """
    seconds = 4 if quick else 24
    return {
        "latency of the store ms": STORE_LATENCY.total_seconds() * 1000,
        "one ledger, closed loop": {
            "group commit": run_virtual(measure_closed_loop(seconds / 4)),
            "one write each": run_virtual(measure_single_writes(seconds / 4)),
        },
        f"{LEDGERS} ledgers by load": {
            f"{BASE_COMMITS_PER_SECOND * factor} commits/s": run_virtual(
                measure_load(BASE_COMMITS_PER_SECOND * factor, LEDGERS, seconds)
            )
            for factor in LOAD_FACTORS
        },
        f"{BASE_COMMITS_PER_SECOND * LOAD_FACTORS[-1]} commits/s by ledgers": {
            f"{count} ledgers": run_virtual(
                measure_load(BASE_COMMITS_PER_SECOND * LOAD_FACTORS[-1], count, seconds)
            )
            for count in LOAD_FACTORS
        },
        "rolling restart by daemons": {
            f"{count} daemons": run_virtual(measure_restart(count, seconds))
            for count in DAEMON_COUNTS
        },
    }


async def measure_closed_loop(seconds: float) -> Figures:
    """Measure clients that commit to one ledger, each after its last reply."""
    deployment = Deployment(1)
    await deployment.start()
    return await _run_clients(deployment, deployment.ledgers[0].commit, seconds)


async def measure_single_writes(seconds: float) -> Figures:
    """Measure the same clients with one write per commit, in the order of the log."""
    deployment = Deployment(1)
    store = CountingStore(deployment.store.connect("naive"), deployment.calls)
    lock = asyncio.Lock()
    position = 0

    async def commit(records: tuple[bytes, ...]) -> Written | Rejected:
        nonlocal position
        async with lock:
            position += 1
            return await store.put(f"ledger/00/log/{position:09d}", records[0], 0)

    return await _run_clients(deployment, commit, seconds)


async def _run_clients(deployment: Deployment, commit: Any, seconds: float) -> Figures:
    end = deployment.clock.monotonic() + timedelta(seconds=seconds)
    waits: list[float] = []

    async def commit_repeatedly() -> None:
        while (start := deployment.clock.monotonic()) < end:
            outcome = await commit((bytes(RECORD_BYTES),))
            assert isinstance(outcome, Committed | Written), outcome
            waits.append((deployment.clock.monotonic() - start).total_seconds())

    deployment.calls.clear()
    started = time.process_time()
    start = deployment.clock.monotonic()
    await asyncio.gather(*(commit_repeatedly() for _ in range(CLIENTS)))
    elapsed = (deployment.clock.monotonic() - start).total_seconds()
    return _summarize(waits, elapsed, deployment.calls, time.process_time() - started)


async def measure_load(load: int, ledgers: int, seconds: float) -> Figures:
    """Measure commits at random times, at a rate that doesn't depend on replies."""
    deployment = Deployment(ledgers)
    await deployment.start()
    deployment.calls.clear()
    started = time.process_time()
    waits = await _run_load(deployment, load, seconds)
    return _summarize(waits, seconds, deployment.calls, time.process_time() - started)


async def _run_load(deployment: Deployment, load: int, seconds: float) -> list[float]:
    rng = random.Random(SEED)
    clock = deployment.clock
    waits: list[float] = []

    async def commit() -> None:
        start = clock.monotonic()
        ledger = deployment.ledgers[rng.randrange(len(deployment.ledgers))]
        outcome = await ledger.commit((bytes(RECORD_BYTES),))
        deployment.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, Committed):
            waits.append((clock.monotonic() - start).total_seconds())

    async with asyncio.TaskGroup() as group:
        end = clock.monotonic() + timedelta(seconds=seconds)
        while clock.monotonic() < end:
            await asyncio.sleep(rng.expovariate(load))
            group.create_task(commit())
    return waits


async def measure_restart(daemons: int, seconds: float) -> Figures:
    """Measure a rolling restart of all daemons under full load.

    Daemon ``n`` modulo the number of daemons owns ledger ``n`` at first. A daemon
    hands its ledgers over to the next daemon before it stops.
    """
    deployment = Deployment(LEDGERS)
    await deployment.start()
    deployment.calls.clear()
    owners = {number: number % daemons for number in range(LEDGERS)}
    gaps: list[float] = []

    async def restart_all() -> None:
        for daemon in range(daemons):
            await asyncio.sleep(seconds / (daemons + 1))
            for number in [n for n, d in owners.items() if d == daemon]:
                started = deployment.clock.monotonic()
                await deployment.ledgers[number].close()
                deployment.ledgers[number] = await deployment.take_over(number)
                owners[number] = (daemon + 1) % daemons
                gap = deployment.clock.monotonic() - started
                gaps.append(gap.total_seconds() * 1000)

    load = BASE_COMMITS_PER_SECOND * LOAD_FACTORS[-1]
    restarts = asyncio.ensure_future(restart_all())
    started = time.process_time()
    waits = await _run_load(deployment, load, seconds)
    await restarts
    return {
        **_summarize(waits, seconds, deployment.calls, time.process_time() - started),
        "outcomes": dict(deployment.outcomes),
        "takeovers": len(gaps),
        "longest gap ms": round(max(gaps), 1),
    }


def _summarize(
    waits: list[float], seconds: float, calls: Counter[str], processor: float
) -> Figures:
    waits.sort()
    writes = sum(n for kind, n in calls.items() if kind.startswith(("put", "delete")))
    return {
        "commits/s": round(len(waits) / seconds),
        "p50 ms": round(waits[len(waits) // 2] * 1000, 1),
        "p99 ms": round(waits[len(waits) * 99 // 100] * 1000, 1),
        "store writes/s": round(writes / seconds, 1),
        "store reads/s": round((calls["get"] + calls["list"]) / seconds, 1),
        "commits/write": round(len(waits) / writes, 1),
        "by kind/s": {k: round(n / seconds, 1) for k, n in sorted(calls.items())},
        "processor us/commit": round(processor / len(waits) * 1e6, 1),
    }
