"""A stand-in of a minion, after PROTOCOL.md."""

import asyncio
import itertools
import random
import time
import uuid
from typing import Any

from http1 import Answer, HttpServer, Request
from record import Record
from store import Store

HOLD_MAX_MS = 6000.0
STOP_MS = 50.0
MAX_LISTED_ENDS = 500
HEARTBEAT_SECONDS = 1.5
MAX_CHANNELS = 64


class _Run:
    def __init__(self, task: str, run: int, work_ms: float, now: float) -> None:
        self.task = task
        self.run = run
        self.began = now
        self.work_ms = work_ms
        self.timer: asyncio.TimerHandle | None = None

    def find_percent(self, now: float) -> int:
        """Return the part of its work that is done."""
        return min(99, int((now - self.began) / self.work_ms * 100))


class Minion:
    """A minion that starts whatever it is told to start.

    The text ``work=MS`` in a job's ``spec`` says how long a task works.

    :ivar is_cut: while true no daemon gets an answer. The minion runs on, and its
        entry stays in the store.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        zone: str,
        labels: list[str],
        capacity: dict[str, int],
    ) -> None:
        self.server = HttpServer(self._handle, MAX_CHANNELS)
        self.is_cut = False
        self.id = ""
        self._store = store
        self._record = record
        self._static = {
            "service": service,
            "zone": zone,
            "labels": labels,
            "capacity": capacity,
            "slots": 8,
            "version": "1",
            "cold_remaining_ms": 0,
        }
        self._heartbeat: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """How many tasks run."""
        return len(self._runs)

    @property
    def unnoted(self) -> int:
        """How many ends no ``observed`` has reached yet."""
        return len(self._ends)

    # Lives -------------------------------------------------------------------

    async def start(self) -> None:
        """Listen and register."""
        self.id = f"m-{uuid.uuid4().hex[:10]}"
        self._born = time.monotonic()
        self._runs: dict[str, _Run] = {}
        self._barred: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0
        self._fence = 0
        self._lease_until = 0.0
        self._new_end = asyncio.Event()
        await self.server.start()
        self._record.write("minion up", minion=self.id, address=self.server.address)
        self._heartbeat = asyncio.ensure_future(self._beat())

    async def _beat(self) -> None:
        for sequence in itertools.count(1):
            entry = {
                **self._static,
                "address": self.server.address,
                "state": "ready",
                "sequence": sequence,
            }
            await self._store.put(f"servers/{self.id}", entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    # Calls -------------------------------------------------------------------

    def _clock(self) -> float:
        return (time.monotonic() - self._born) * 1000 + 1000

    async def _handle(self, request: Request) -> Answer:
        if self.is_cut:
            await asyncio.sleep(30)
            return None
        if request.headers.get("expected-instance", self.id) != self.id:
            return 421, None
        self._check_lease()
        body = request.body
        token = body.get("fencing_token", 0)
        if token < self._fence:
            return self._refuse("fence")
        self._fence = token
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/hold":
            return await self._hold(body)
        return 404, None

    def _refuse(self, reason: str) -> Answer:
        return 409, {"clock_ms": round(self._clock()), "reason": reason}

    def _extend(self, deadline: float) -> None:
        latest = min(deadline, self._clock() + HOLD_MAX_MS)
        self._lease_until = max(self._lease_until, latest)

    def _check_lease(self) -> None:
        if self._runs and self._clock() > self._lease_until:
            for run in list(self._runs.values()):
                self._end(run, "lapsed")

    def _start_run(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        known = self._runs.get(task)
        if known is not None and known.run == number:
            self._extend(body["deadline_ms"])
            return 200, {"clock_ms": round(self._clock())}
        if body["deadline_ms"] <= self._clock():
            return self._refuse("late")
        self._extend(body["deadline_ms"])
        if known is not None or number <= self._barred.get(task, 0):
            return self._refuse("old")
        work = float(body["spec"].partition("work=")[2].split()[0])
        run = _Run(task, number, work * random.uniform(0.9, 1.0), self._clock())
        self._runs[task] = run
        self._record.write("start", minion=self.id, task=task, run=number)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_ms / 1000, self._finish, run)
        return 200, {"clock_ms": round(self._clock())}

    def _finish(self, run: _Run) -> None:
        self._end(run, "lapsed" if self._clock() > self._lease_until else "done")

    def _stop_run(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        run = self._runs.get(task)
        self._barred[task] = max(number, self._barred.get(task, 0))
        if run is not None and run.run == number:
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_MS / 1000, self._end, run, "stopped")
        return 200, {"clock_ms": round(self._clock())}

    def _end(self, run: _Run, how: str) -> None:
        if self._runs.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self._runs[run.task]
        self._barred[run.task] = max(run.run, self._barred.get(run.task, 0))
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.run, how, ""])
        self._record.write(
            how, minion=self.id, task=run.task, run=run.run, end=self._last_end
        )
        self._new_end.set()

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        self._note(body.get("observed", 0))
        wait = body.get("wait_ms", 0) / 1000
        if wait and not self._ends:
            self._new_end.clear()
            try:
                async with asyncio.timeout(wait):
                    await self._new_end.wait()
            except TimeoutError:
                pass
        if self.is_cut:
            await asyncio.sleep(30)
            return None
        self._check_lease()
        now = self._clock()
        running = [
            [r.task, r.run, "", r.find_percent(now), 0] for r in self._runs.values()
        ]
        listed = self._ends[:MAX_LISTED_ENDS]
        if len(self._ends) > MAX_LISTED_ENDS:
            self._record.write(
                "list cut", minion=self.id, ends=len(self._ends), listed=len(listed)
            )
        return 200, {"clock_ms": round(now), "running": running, "finished": listed}

    def _note(self, observed: int) -> None:
        while self._ends and self._ends[0][0] <= observed:
            end = self._ends.pop(0)
            self._record.write(
                "noted", minion=self.id, task=end[1], run=end[2], how=end[3]
            )
