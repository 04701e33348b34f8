"""Stand-ins of the users' minions, by the users' pages."""

import asyncio
import itertools
import math
import secrets
import time
from collections.abc import Callable
from typing import NamedTuple

from store import Store
from web import Answer, WebServer

HEARTBEAT_SECONDS = 1.5
LISTED_ENDS = 500
# A stop takes less than `stop_timeout_ms`.
STOP_SECONDS = 0.1
STARTUP_SECONDS = 0.3


class Run(NamedTuple):
    """A run that a minion has begun."""

    task: str
    number: int
    began_at: float
    spec: str


class Ended(NamedTuple):
    """A run that is over, with its end as the minion lists it."""

    run: Run
    how: str
    at: float
    minion: str


class Minion:
    """A machine with one life of a minion after the other.

    :param find_seconds: returns how long a run takes that ends `done`; infinite for a
        task that lasts.
    :param record: called with a line for the record.
    :param keeps_id: whether each life has the same id, and a birth (`born`) of its own.
    :ivar is_cut: whether nothing reaches the minion, and it reaches nothing.
    :ivar history: all runs of all lives that have ended.
    :ivar noted: the ends that were taken note of, and when.
    :ivar lapses: when its lease has lapsed.
    :ivar running: the runs of this life, by task and number.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        rack: str,
        service: str,
        store: Store,
        find_seconds: Callable[[str, int], float],
        record: Callable[[str], None],
        cpu: int = 16_000,
        memory: int = 65_536,
        hold_max: float = 6.0,
        keeps_id: bool = False,
    ) -> None:
        self.name = name
        self.is_cut = False
        self.history: list[Ended] = []
        self.noted: list[tuple[Ended, float]] = []
        self.lapses: list[float] = []
        self.running: dict[tuple[str, int], Run] = {}
        self.identifier = ""
        self._zone, self._rack, self._service = zone, rack, service
        self._size = {"cpu": cpu, "mem_mb": memory, "gpu": 0}
        self._store = store
        self._find_seconds = find_seconds
        self._record = record
        self._hold_max = hold_max
        self._keeps_id = keeps_id
        self._server = WebServer(self._handle)
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Where it takes calls."""
        return f"127.0.0.1:{self._server.port}"

    # Lives -------------------------------------------------------------------

    async def start(self) -> None:
        """Begin a life, at the same address as the one before."""
        if not (self.identifier and self._keeps_id):
            self.identifier = f"i-{secrets.token_hex(5)}"
        self._birth = {"born": round(time.time() * 1000)} if self._keeps_id else {}
        self._born_at = time.monotonic()
        self._fence = 0
        self._lease_until = 0.0
        self._observed = 0
        self._ends: list[tuple[int, Ended]] = []
        self._numbers = itertools.count(1)
        self._barred: dict[str, int] = {}
        self._has_ended = asyncio.Event()
        self._sequence = itertools.count(1)
        await self._server.start("127.0.0.1", self._server.port)
        self._start_task(self._send_heartbeats(self.identifier))
        self._start_task(self._check_lease())

    def crash(self) -> None:
        """End this life at once."""
        self._record(f"{self.name} ({self.identifier}) crashes")
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._server.stop()
        for key in list(self.running):
            self._end(key, "crashed")
        # The entry is removed after three heartbeat intervals of silence.
        identifier = self.identifier
        if not self._keeps_id:
            asyncio.get_running_loop().call_later(
                3 * HEARTBEAT_SECONDS, self._store.remove, f"servers/{identifier}"
            )

    def lose(self) -> None:
        """Lose this machine for good: calls to it get no answer any more."""
        self.is_cut = True
        for key in list(self.running):
            self._end(key, "lost")
        identifier = self.identifier
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_SECONDS, self._store.remove, f"servers/{identifier}"
        )

    def stop(self) -> None:
        """End without a record."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()

    def _start_task(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeats(self, identifier: str) -> None:
        while True:
            if not self.is_cut:
                entry = {
                    "service": self._service,
                    "address": self.address,
                    "zone": self._zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "capacity": self._size,
                    "labels": ["a", self._rack],
                    "clock_ms": self._read_clock(),
                    "sequence": next(self._sequence),
                    **self._birth,
                }
                self._store.put(f"servers/{identifier}", entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    # Runs --------------------------------------------------------------------

    def _read_clock(self) -> int:
        return int((time.monotonic() - self._born_at) * 1000) + 1

    async def _check_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.running and time.monotonic() >= self._lease_until:
                for key in list(self.running):
                    self._end(key, "lapsed")

    def _extend_lease(self, deadline_ms: float) -> None:
        if 0 < self._lease_until < time.monotonic():
            self.lapses.append(self._lease_until)
        until = min(
            self._born_at + deadline_ms / 1000, time.monotonic() + self._hold_max
        )
        self._lease_until = max(self._lease_until, until)

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self.running.pop(key, None)
        if run is None:
            return
        ended = Ended(run, how, time.monotonic(), self.name)
        self.history.append(ended)
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._ends.append((next(self._numbers), ended))
        self._has_ended.set()
        self._has_ended = asyncio.Event()

    async def _work(self, key: tuple[str, int], seconds: float) -> None:
        if math.isfinite(seconds):
            await asyncio.sleep(seconds)
            self._end(key, "done")

    async def _stop_soon(self, key: tuple[str, int]) -> None:
        await asyncio.sleep(STOP_SECONDS)
        self._end(key, "stopped")

    # Calls -------------------------------------------------------------------

    async def _handle(self, method, path, query, headers, body) -> Answer:
        if self.is_cut:
            return None
        if headers.get("expected-instance", self.identifier) != self.identifier:
            return 421, {}
        if method == "GET":
            return 200, {}
        if body["fencing_token"] < self._fence:
            return 409, {"clock_ms": self._read_clock(), "reason": "fence"}
        self._fence = body["fencing_token"]
        if path == "/run-start":
            return self._handle_start(body)
        if path == "/run-stop":
            return self._handle_stop(body)
        if path == "/hold":
            return await self._handle_hold(body)
        return 404, {}

    def _handle_start(self, body: dict) -> Answer:
        key = task, number = body["task"], body["run"]
        if key in self.running:
            return 200, {"clock_ms": self._read_clock()}
        if body["deadline_ms"] <= self._read_clock():
            return 409, {"clock_ms": self._read_clock(), "reason": "late"}
        self._extend_lease(body["deadline_ms"])
        if number <= self._barred.get(task, 0):
            return 409, {"clock_ms": self._read_clock(), "reason": "old"}
        self.running[key] = Run(task, number, time.monotonic(), body["spec"])
        self._start_task(self._work(key, self._find_seconds(task, number)))
        return 200, {"clock_ms": self._read_clock()}

    def _handle_stop(self, body: dict) -> Answer:
        key = task, number = body["task"], body["run"]
        if key in self.running:
            self._start_task(self._stop_soon(key))
        else:
            self._barred[task] = max(self._barred.get(task, 0), number)
        return 200, {"clock_ms": self._read_clock()}

    async def _handle_hold(self, body: dict) -> Answer:
        # The ends up to this number are taken note of, and forgotten.
        self._observed = max(self._observed, body.get("observed", 0))
        now = time.monotonic()
        for number, ended in self._ends:
            if number <= self._observed:
                self.noted.append((ended, now))
        self._ends = [row for row in self._ends if row[0] > self._observed]
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait and not self._ends:
            try:
                async with asyncio.timeout(wait):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        if self.is_cut:
            return None
        now = time.monotonic()
        running = [
            [run.task, run.number, "", self._find_percent(run, now), 0]
            for run in self.running.values()
        ]
        finished = [
            [number, ended.run.task, ended.run.number, ended.how, ""]
            for number, ended in self._ends[:LISTED_ENDS]
        ]
        return 200, {
            "clock_ms": self._read_clock(),
            "running": running,
            "finished": finished,
            **self._birth,
        }

    def _find_percent(self, run: Run, now: float) -> int:
        seconds = self._find_seconds(run.task, run.number)
        if not math.isfinite(seconds):
            # A task that lasts is at work after a short startup.
            return 100 if now - run.began_at > STARTUP_SECONDS else 50
        return min(99, int(100 * (now - run.began_at) / seconds))
