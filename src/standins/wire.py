"""The platform's HTTP interface, for tests of the adapter and of whole processes.

It follows the platform's documentation and is backed by the stand-ins of
:mod:`standins.pools`. Its faults are those of :class:`standins.faults.Faults`, with
the path of a call as the operation.
"""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs

from damaskdeck.clock import Clock
from damaskdeck.protocol.pools import (
    Declined,
    EndKind,
    PoolWorker,
    RefusalCode,
    TaskStart,
    WorkerIncarnation,
    WorkerTasks,
)
from damaskdeck.protocol.ports import Entry, Lapsed, RevisionTooOld
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import Mismatch, Transaction, Write
from standins.faults import FaultKind, Faults
from standins.http import Listener
from standins.limits import (
    ADVISOR_LIMITS,
    LimitExceededError,
    ProtectedKeyError,
    check_limit,
)
from standins.pools import StandinWorker, Work
from standins.poolstore import PoolStore

MILLISECOND = timedelta(milliseconds=1)
HEARTBEAT_INTERVAL = timedelta(milliseconds=1500)
REFUSAL_REASONS = {
    RefusalCode.STALE_EPOCH: "fence",
    RefusalCode.STALE_ATTEMPT: "old",
    RefusalCode.LATE: "late",
}
END_KINDS = {
    EndKind.COMPLETED: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LAPSED: "lapsed",
    EndKind.BROKEN: "broken",
    EndKind.ALONE: "alone",
}

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], dict[str, str], Any], Awaitable[Answer]]


class _JsonEndpoint:
    """An address at which JSON requests are answered with JSON.

    :param handler: function of method, path, query, headers and decoded body that
        returns a status and a body; ``None`` is sent as an empty body.
    """

    def __init__(self, handler: Handler, faults: Faults) -> None:
        self._handler = handler
        self.faults = faults
        self.listener = Listener(self)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request, with the fault planned for its path, if any."""
        body = b""
        while True:
            event = await receive()
            body += event.get("body", b"")
            if not event.get("more_body", False):
                break
        await self.faults.resumed.wait()
        kind = self.faults.take(scope["path"])
        if self.faults.outage or kind is FaultKind.REFUSE:
            await _reply(send, 503, None)
            return
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        headers = {k.decode().lower(): v.decode() for k, v in scope["headers"]}
        try:
            status, answer = await self._handler(
                scope["method"],
                scope["path"],
                query,
                headers,
                json.loads(body) if body else {},
            )
        except LimitExceededError:
            status, answer = 400, None
        except ProtectedKeyError:
            status, answer = 403, None
        if kind is FaultKind.LOSE_ANSWER:
            scope["state"]["listener"].reset_connection(scope)
            return
        await _reply(send, status, answer)


async def _reply(send: Any, status: int, answer: Any) -> None:
    data = b"" if answer is None else json.dumps(answer).encode()
    headers = [(b"content-length", str(len(data)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": data})


def _encode_item(entry: Entry) -> dict[str, Any]:
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.revision,
        "lease": int(entry.lease or 0),
    }


class WireStore:
    """The metadata store, served at one address.

    :ivar calls: paths of all calls, in order.
    """

    def __init__(self, clock: Clock) -> None:
        self.store = PoolStore(clock)
        self.faults = Faults()
        self.calls: list[str] = []
        self._endpoint = _JsonEndpoint(self.answer, self.faults)
        self.listener = self._endpoint.listener

    async def answer(
        self, method: str, path: str, query: dict, headers: dict, body: Any
    ) -> Answer:
        """Return the status and the body of the answer to one call."""
        self.calls.append(path)
        store = self.store
        if path == "/kv-key":
            store.read_page("", "")
            entry = store.entries.get(query["key"])
            if entry is None:
                return 404, {"as_of": store.revision}
            return 200, {**_encode_item(entry), "as_of": store.revision}
        if path == "/kv-range":
            page = store.read_page(query["path_prefix"], query.get("after", ""))
            items = [_encode_item(entry) for entry in page.entries]
            has_more, as_of = page.has_more, page.revision
            return 200, {"items": items, "has_more": has_more, "as_of": as_of}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            ttl = store.clamp_ttl(timedelta(milliseconds=body["ttl_ms"]))
            lease = int(store.open_lease(ttl))
            return 200, {"lease": lease, "ttl_ms": round(ttl / MILLISECOND)}
        if path.startswith("/kv-keep/"):
            ttl = store.renew(path.removeprefix("/kv-keep/"))
            if ttl is None:
                return 404, None
            return 200, {"ttl_ms": round(ttl / MILLISECOND)}
        return 404, None

    async def _watch(self, query: dict[str, str]) -> Answer:
        wait = timedelta(milliseconds=int(query["wait_ms"]))
        found = await self.store.watch(query["path_prefix"], int(query["after"]), wait)
        if isinstance(found, RevisionTooOld):
            return 410, None
        events = []
        for event in found.events:
            row: dict[str, Any] = {"key": event.key, "revision": event.revision}
            if event.value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(event.value).decode()
            events.append(row)
        return 200, {"events": events, "as_of": found.revision}

    def _commit(self, body: Any) -> Answer:
        result = self.store.commit(
            Transaction(
                tuple((e["key"], e["revision"]) for e in body.get("expected", [])),
                tuple(
                    Write(
                        w["key"],
                        base64.b64decode(w["value"]),
                        str(w["lease"]) if w.get("lease") else "",
                    )
                    for w in body.get("writes", [])
                ),
                tuple(body.get("remove", [])),
            )
        )
        if isinstance(result, Mismatch):
            return 412, {"items": [_encode_item(entry) for entry in result.entries]}
        if isinstance(result, Lapsed):
            return 404, None
        return 200, {"revision": result.revision}


class WireWorker:
    """One incarnation of a worker, served at an address of its own."""

    def __init__(
        self,
        name: str,
        pool: str,
        clock: Clock,
        behave: Callable[[TaskName, int], Work],
        born: int | None = None,
    ) -> None:
        self.faults = Faults()
        self._endpoint = _JsonEndpoint(self._answer, self.faults)
        self.listener = self._endpoint.listener
        self.size = Size(4000, 8000, 0)
        identifier = WorkerIncarnation(name, born).identifier
        info = PoolWorker(identifier, pool, self.listener.address, "z", self.size)
        self.worker = StandinWorker(info, clock, behave)

    def describe(self) -> bytes:
        """Return the worker's registration as JSON."""
        info = self.worker.info
        return json.dumps(
            {
                "service": info.pool,
                "address": info.address,
                "zone": info.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "capacity": {"cpu": info.size[0], "mem_mb": info.size[1], "gpu": 0},
                "labels": ["a", "r1-1"],
                "sequence": 1,
                **_encode_birth(self.worker.incarnation.born),
            }
        ).encode()

    async def _answer(
        self, method: str, path: str, query: dict, headers: dict, body: Any
    ) -> Answer:
        if headers.get("expected-instance") != self.worker.incarnation.name:
            return 421, None
        epoch = body["fencing_token"]
        if path == "/run-start":
            order = TaskStart(
                _parse_task_name(body["task"]),
                body["run"],
                body["spec"],
                timedelta(milliseconds=body["deadline_ms"]),
                body.get("checkpoint", ""),
                body.get("ticket", ""),
            )
            return _encode_result(self.worker.start(epoch, order))
        if path == "/run-stop":
            task = _parse_task_name(body["task"])
            return _encode_result(self.worker.stop(epoch, task, body["run"]))
        if path != "/hold":
            return 404, None
        deadline = body.get("deadline_ms")
        found = await self.worker.poll(
            epoch,
            body["observed"],
            None if deadline is None else timedelta(milliseconds=deadline),
            timedelta(milliseconds=body.get("wait_ms", 0)),
        )
        return (
            _encode_tasks(found)
            if isinstance(found, WorkerTasks)
            else _encode_result(found)
        )


def _parse_task_name(text: str) -> TaskName:
    job, occurrence, step, index = text.split(".")
    return TaskName(job, int(occurrence), int(step), int(index))


def _format_task_name(task: TaskName) -> str:
    return ".".join(map(str, task))


def _encode_birth(born: int | None) -> dict[str, int]:
    return {} if born is None else {"born": born}


def _encode_result(result: Any) -> Answer:
    clock = {"clock_ms": round(result.clock / MILLISECOND)} if result.clock else {}
    if isinstance(result, Declined):
        return 409, {**clock, "reason": REFUSAL_REASONS[result.code]}
    return 200, clock


def _encode_tasks(found: WorkerTasks) -> Answer:
    return 200, {
        "clock_ms": round(found.clock / MILLISECOND),
        "running": [
            [_format_task_name(r.task), r.attempt, r.checkpoint, r.percent]
            for r in found.running
        ],
        "finished": [
            [
                e.number,
                _format_task_name(e.task),
                e.attempt,
                END_KINDS[e.kind],
                e.checkpoint,
            ]
            for e in found.ended
        ],
        **_encode_birth(found.born),
    }


class WireAdvisor:
    """An advisor that consents to every worker in a request."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._endpoint = _JsonEndpoint(self._answer, self.faults)
        self.listener = self._endpoint.listener

    async def _answer(
        self, method: str, path: str, query: dict, headers: dict, body: Any
    ) -> Answer:
        check_limit("workers", len(body["workers"]), ADVISOR_LIMITS.workers)
        consents = [[worker, f"t-{worker}"] for worker in body["workers"]]
        return 200, {"good": consents, "valid_ms": 2500}


class WirePlatform:
    """The store, workers and advisor, and the operators' document.

    :param workers: number of workers.
    :param behave: returns how an attempt of a task behaves.
    :param born: birth that all workers report.
    """

    def __init__(
        self,
        clock: Clock,
        workers: int = 3,
        behave: Callable[[TaskName, int], Work] = lambda task, attempt: Work(),
        born: int | None = None,
    ) -> None:
        self._clock = clock
        self._heartbeats: asyncio.Task[None] | None = None
        self.store = WireStore(clock)
        self.advisor = WireAdvisor()
        self.workers = [
            WireWorker(f"i-{number}", "hub", clock, behave, born)
            for number in range(workers)
        ]

    async def start(self) -> None:
        """Start all listeners and register the workers."""
        for part in (self.store, self.advisor, *self.workers):
            await part.listener.start()
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        """Write the workers' registrations at once and on every heartbeat."""
        while True:
            for worker in self.workers:
                name = worker.worker.incarnation.name
                self.store.store.set(f"servers/{name}", worker.describe())
            await self._clock.sleep(HEARTBEAT_INTERVAL)

    def declare(
        self,
        version: int,
        tenants: list[dict[str, Any]] | None = None,
        **changes: Any,
    ) -> None:
        """Declare a document with one queue whose steps need advice.

        :param version: version of the document.
        :param tenants: client accounts, whose keys the queue then requires.
        :param changes: fields of the queue's route that differ from the defaults.
        """
        route = {
            "name": "r-plans",
            "host": "a.example",
            "path_prefix": "/plans/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": "hub",
            "max_attempts": 3,
            "slack_factor": 2.2,
            "advice": {"decide_ms": 5.0, "period_ms": 0.1, "valid_ms": 2500},
            **changes,
        }
        document = {
            "version": version,
            "routes": [route],
            "services": [{"name": "hub", "health_path": "/health"}],
            "limits": {"max_body_bytes": 100_000},
        }
        if tenants is not None:
            document["tenants"] = tenants
        self.store.store.set("op/config", json.dumps(document).encode())

    def close(self) -> None:
        """Stop heartbeats and close all listeners."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for part in (self.store, self.advisor, *self.workers):
            part.listener.close()
