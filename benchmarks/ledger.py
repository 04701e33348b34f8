"""Measures ledgers in virtual time against a store that answers after 5 ms.

Latencies and rates are exact in virtual time; processor time is real and holds
the store's stand-in and the load as well.
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

LATENCY = timedelta(milliseconds=5)
RECORD_SIZE = 300
STATE_RECORDS = 17_000
LEDGERS = 4
BASE_LOAD = 250
GROWTH = (1, 2, 4, 8)
DAEMONS = (3, 6, 12, 27)
CLIENTS = 500
SEED = 1


class CountingStore:
    """A client that counts calls and written bytes by what they are for."""

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
    """Some ledgers in one store, each with a state of a fixed size.

    :param ledgers: how many; they share the state of the whole deployment.
    """

    def __init__(self, ledgers: int) -> None:
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.store.faults.delay = LATENCY
        self.calls: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.ledgers: list[Ledger] = []
        self.epochs = [0] * ledgers
        self._states: list[deque[bytes]] = []

    async def start(self) -> None:
        """Open all ledgers; each state has its full size from the start."""
        count = len(self.epochs)
        for number in range(count):
            state = deque([bytes(RECORD_SIZE)], STATE_RECORDS // count)
            state *= STATE_RECORDS // count
            self._states.append(state)
            self.ledgers.append(await self.take_over(number))

    async def take_over(self, number: int) -> Ledger:
        """Open a ledger for a new keeper."""
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
    """Measure commits, store calls and bytes.

    :param quick: shorter runs.
    """
    seconds = 4 if quick else 24
    return {
        "latency of the store ms": LATENCY.total_seconds() * 1000,
        "one ledger, closed loop": {
            "group commit": run_virtual(measure_closed_loop(seconds / 4)),
            "one write each": run_virtual(measure_single_writes(seconds / 4)),
        },
        f"{LEDGERS} ledgers by load": {
            f"{BASE_LOAD * growth} commits/s": run_virtual(
                measure_load(BASE_LOAD * growth, LEDGERS, seconds)
            )
            for growth in GROWTH
        },
        f"{BASE_LOAD * GROWTH[-1]} commits/s by ledgers": {
            f"{count} ledgers": run_virtual(
                measure_load(BASE_LOAD * GROWTH[-1], count, seconds)
            )
            for count in GROWTH
        },
        "rolling restart by daemons": {
            f"{count} daemons": run_virtual(measure_restart(count, seconds))
            for count in DAEMONS
        },
    }


async def measure_closed_loop(seconds: float) -> Figures:
    """Let many clients commit to one ledger, each again once it was answered."""
    deployment = Deployment(1)
    await deployment.start()
    return await _run_clients(deployment, deployment.ledgers[0].commit, seconds)


async def measure_single_writes(seconds: float) -> Figures:
    """The same clients with one append for each commit, in order of the log."""
    deployment = Deployment(1)
    store = CountingStore(deployment.store.connect("naive"), deployment.calls)
    lock = asyncio.Lock()
    place = 0

    async def commit(records: tuple[bytes, ...]) -> Written | Rejected:
        nonlocal place
        async with lock:
            place += 1
            return await store.put(f"ledger/00/log/{place:09d}", records[0], 0)

    return await _run_clients(deployment, commit, seconds)


async def _run_clients(deployment: Deployment, commit: Any, seconds: float) -> Figures:
    end = deployment.clock.monotonic() + timedelta(seconds=seconds)
    waits: list[float] = []

    async def work() -> None:
        while (start := deployment.clock.monotonic()) < end:
            outcome = await commit((bytes(RECORD_SIZE),))
            assert isinstance(outcome, Committed | Written), outcome
            waits.append((deployment.clock.monotonic() - start).total_seconds())

    deployment.calls.clear()
    begun = time.process_time()
    start = deployment.clock.monotonic()
    await asyncio.gather(*(work() for _ in range(CLIENTS)))
    taken = (deployment.clock.monotonic() - start).total_seconds()
    return _summarize(waits, taken, deployment.calls, time.process_time() - begun)


async def measure_load(load: int, ledgers: int, seconds: float) -> Figures:
    """Commit at random times, at a fixed rate whatever the answers take."""
    deployment = Deployment(ledgers)
    await deployment.start()
    deployment.calls.clear()
    begun = time.process_time()
    waits = await _run_load(deployment, load, seconds)
    return _summarize(waits, seconds, deployment.calls, time.process_time() - begun)


async def _run_load(deployment: Deployment, load: int, seconds: float) -> list[float]:
    numbers = random.Random(SEED)
    clock = deployment.clock
    waits: list[float] = []

    async def commit() -> None:
        start = clock.monotonic()
        ledger = deployment.ledgers[numbers.randrange(len(deployment.ledgers))]
        outcome = await ledger.commit((bytes(RECORD_SIZE),))
        deployment.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, Committed):
            waits.append((clock.monotonic() - start).total_seconds())

    async with asyncio.TaskGroup() as group:
        end = clock.monotonic() + timedelta(seconds=seconds)
        while clock.monotonic() < end:
            await asyncio.sleep(numbers.expovariate(load))
            group.create_task(commit())
    return waits


async def measure_restart(daemons: int, seconds: float) -> Figures:
    """Restart all daemons one after another under full load.

    Ledger ``n`` starts at daemon ``n`` and moves to the next daemon; a daemon
    hands over its ledgers before it stops.
    """
    deployment = Deployment(LEDGERS)
    await deployment.start()
    deployment.calls.clear()
    keepers = {number: number % daemons for number in range(LEDGERS)}
    gaps: list[float] = []

    async def restart_all() -> None:
        for daemon in range(daemons):
            await asyncio.sleep(seconds / (daemons + 1))
            for number in [n for n, d in keepers.items() if d == daemon]:
                begun = deployment.clock.monotonic()
                await deployment.ledgers[number].close()
                deployment.ledgers[number] = await deployment.take_over(number)
                keepers[number] = (daemon + 1) % daemons
                gap = deployment.clock.monotonic() - begun
                gaps.append(gap.total_seconds() * 1000)

    load = BASE_LOAD * GROWTH[-1]
    restarts = asyncio.ensure_future(restart_all())
    begun = time.process_time()
    waits = await _run_load(deployment, load, seconds)
    await restarts
    return {
        **_summarize(waits, seconds, deployment.calls, time.process_time() - begun),
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
