"""The steps of the demo; each checks every outcome that it causes."""

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from damaskdeck.client import Client, Reply
from damaskdeck.protocol.handlers import FINAL_JOB_STATES
from demo.checks import Checks
from standins.deployment import Deployment
from standins.waiting import wait_until


class Context(NamedTuple):
    """What the steps work with.

    :param checks: takes the result of each check.
    :param operator: calls the first daemon with the operator's token.
    :param riders: calls the second daemon with the token of team ``riders``.
    :param invoices: calls the third daemon with the token of team ``invoices``.
    """

    deployment: Deployment
    checks: Checks
    operator: Client
    riders: Client
    invoices: Client


Step = Callable[[Context], Awaitable[None]]
STEPS: list[Step] = []


def step(function: Step) -> Step:
    """Register a step; they run in order of definition."""
    STEPS.append(function)
    return function


def make_workload(name: str, team: str, kind: str, **spec: Any) -> dict[str, Any]:
    """Return a workload as an operator declares it."""
    size = spec.pop("size", {"processors": 1, "memory": 512})
    declared = {"team": team, "type": kind, "size": size, **spec}
    return {"kind": "workload", "metadata": {"name": name}, "spec": declared}


async def declare(client: Client, resource: dict[str, Any]) -> Reply:
    """Write a resource by PUT."""
    plural = {"team": "teams", "workload": "workloads"}[resource["kind"]]
    path = f"/v1/{plural}/{resource['metadata']['name']}"
    return await client.call("PUT", path, resource)


@step
async def declare_everything(context: Context) -> None:
    """An operator declares teams and workloads; all daemons have them in force."""
    quota = {"processors": 64, "memory": 262_144, "accelerators": 4}
    for team in ("riders", "invoices"):
        resource = {
            "kind": "team",
            "metadata": {"name": team},
            "spec": {"quota": quota},
        }
        reply = await declare(context.operator, resource)
        context.checks.check(f"team {team} is declared", reply.status < 300, reply.body)
    workloads = [
        make_workload("orders", "riders", "service", tasks=2, urgency="urgent"),
        make_workload("route-plan", "riders", "batch", tasks=2, idempotent=True),
        make_workload("invoice-run", "invoices", "batch", idempotent=False),
        make_workload(
            "light-curves",
            "invoices",
            "gang",
            tasks=4,
            idempotent=True,
            size={"processors": 8, "memory": 4096},
        ),
    ]
    for workload in workloads:
        reply = await declare(context.operator, workload)
        name = workload["metadata"]["name"]
        context.checks.check(
            f"workload {name} is declared", reply.status < 300, reply.body
        )
    revision = reply.read_json()["metadata"]["revision"]
    status = await wait_until(
        lambda: _read(context.operator, f"/v1/status?revision={revision}"),
        lambda s: s["configuration"].get("in_force_everywhere") is True,
    )
    in_force = status["configuration"].get("in_force_everywhere")
    context.checks.check(
        f"revision {revision} is in force everywhere", in_force is True
    )
    wrong = make_workload("wrong", "nobody", "batch")
    reply = await declare(context.operator, wrong)
    context.checks.check("a workload of no team is refused", reply.status == 422, reply)


@step
async def race_operators(context: Context) -> None:
    """Two operators race on one workload; exactly one wins."""
    path = "/v1/workloads/route-plan"
    found = await _read(context.operator, path)
    condition = {
        "If-Match": f'"{found["metadata"]["revision"]}"',
        "Content-Type": "application/merge-patch+json",
    }
    patches = [{"spec": {"urgency": urgency}} for urgency in ("high", "low")]
    replies = await asyncio.gather(
        *(context.operator.call("PATCH", path, p, headers=condition) for p in patches)
    )
    statuses = sorted(reply.status for reply in replies)
    is_one = statuses[0] == 200 and statuses[1] in (409, 412)
    context.checks.check("one change is accepted and one is told so", is_one, statuses)


@step
async def send_requests(context: Context) -> None:
    """Callers send order checks; each gets the answer to its own request."""

    async def send(number: int) -> tuple[int, Reply]:
        client = context.riders if number % 2 else context.operator
        headers = {"Idempotent": "true"}
        body = f'{{"order": {number}}}'.encode()
        path = "/v1/services/orders/requests"
        return number, await client.call("POST", path, body=body, headers=headers)

    replies = await asyncio.gather(*(send(number) for number in range(100)))
    completed = [r for _, r in replies if r.outcome == "completed"]
    own = [n for n, r in replies if f'"order": {n}}}'.encode() in r.body]
    context.checks.check(
        "100 order checks completed", len(completed) == 100, replies[0]
    )
    context.checks.check("each caller got its own answer", len(own) == 100, replies[0])
    reply = await context.riders.call(
        "POST", "/v1/services/no-such/requests", body=b"{}"
    )
    context.checks.check(
        "a request to no service is refused", reply.outcome == "refused", reply
    )


@step
async def repeat_key(context: Context) -> None:
    """A doubled confirmation with one key runs once and has one answer."""
    path, headers = "/v1/services/orders/requests", {"Idempotency-Key": "gate-17"}
    before = len(context.deployment.platform.executions.executions)
    first = await context.riders.call("POST", path, body=b'{"go": 1}', headers=headers)
    second = await context.riders.call("POST", path, body=b'{"go": 1}', headers=headers)
    ran = len(context.deployment.platform.executions.executions) - before
    context.checks.check("it ran once", ran == 1, ran)
    context.checks.check("both got one answer", first.body == second.body, second)


@step
async def submit_jobs(context: Context) -> None:
    """Teams submit jobs; each ends with its outcome, the invoice run only once."""
    plan = await _submit(
        context.riders, "route-plan", {"run_time": 0.3, "result": "route"}
    )
    lines = [line async for line in context.riders.watch(f"{plan}?watch=true")]
    states = [_state(line.get("resource")) for line in lines]
    context.checks.check(
        "a watch shows the job end", states[-1:] == ["completed"], lines
    )
    job = await _read(context.riders, plan)
    results = [base64.b64decode(r) for r in job["status"].get("results", [])]
    context.checks.check("its results are there", results == [b"route"] * 2, job)
    key = {"Idempotency-Key": "2026-11"}
    payload = {"run_time": 0.2, "result": "billed"}
    runs = [await _submit(context.invoices, "invoice-run", payload, key) for _ in "ab"]
    context.checks.check("the same key meets the same job", runs[0] == runs[1], runs)
    ended = await _wait_for_job(context.invoices, runs[0])
    context.checks.check(
        "the invoice run completed", _state(ended) == "completed", ended
    )
    starts = context.deployment.platform.runs.starts
    count = sum(runs[0].rsplit("/", 1)[1] in start.task for start in starts)
    context.checks.check("it started once", count == 1, count)
    bad = await _submit(context.riders, "route-plan", {"run_time": 0.1, "fail": True})
    ended = await _wait_for_job(context.riders, bad)
    context.checks.check("a failing job failed", _state(ended) == "failed", ended)


@step
async def run_gang(context: Context) -> None:
    """A gang starts all its tasks or none, and completes."""
    gang = await _submit(context.invoices, "light-curves", {"run_time": 0.3})
    ended = await _wait_for_job(context.invoices, gang)
    context.checks.check("the gang completed", _state(ended) == "completed", ended)
    name = gang.rsplit("/", 1)[1]
    starts = [s for s in context.deployment.platform.runs.starts if name in s.task]
    context.checks.check("its four tasks started", len(starts) == 4, starts)


@step
async def cancel_job(context: Context) -> None:
    """A job is cancelled while it runs; its caller is told that it ran."""
    name = await _submit(context.riders, "route-plan", {"run_time": 60})
    await wait_until(
        lambda: _read(context.riders, name), lambda job: _state(job) == "running"
    )
    await context.riders.call("DELETE", name)
    ended = await _wait_for_job(context.riders, name)
    code = ended["status"].get("code")
    is_told = _state(ended) in ("failed", "unknown") and code == "cancelled"
    context.checks.check(
        "it ended as failed or unknown, code cancelled", is_told, ended
    )


@step
async def refuse_impossible(context: Context) -> None:
    """A job that can never run is told so, with the dimension."""
    huge = make_workload("huge", "riders", "batch", size={"processors": 60})
    reply = await declare(context.operator, huge)
    context.checks.check("it is declared", reply.status < 300, reply.body)
    path = "/v1/workloads/huge/jobs"
    reply = await wait_until(
        lambda: context.riders.call("POST", path, body=b"{}"), lambda r: r.status != 404
    )
    text = reply.body.decode()
    if reply.status == 202:
        job = await _wait_for_job(context.riders, reply.headers["Location"])
        text = str(job)
    context.checks.check("it is refused", "refused" in (reply.outcome or text), text)
    context.checks.check("the dimension is named", "millicores" in text, text)


@step
async def check_services(context: Context) -> None:
    """The service's replicas run, and nothing ran in two places or over size."""
    tasks = await wait_until(
        lambda: _read(context.operator, "/v1/tasks"),
        lambda found: _count_running(found) >= 2,
    )
    context.checks.check("two replicas run", _count_running(tasks) >= 2, tasks)
    platform = context.deployment.platform
    context.checks.check("no task in two places", not platform.runs.overlaps)
    over = platform.runs.overfills
    context.checks.check("no worker over its size", not over, over)
    over = [t.instance.name for t in platform.targets.values() if t.slot_overfills]
    context.checks.check("no target over its slots", not over, over)


@step
async def stop_daemon(context: Context) -> None:
    """A daemon shuts down under load; no request in progress is cut off."""

    async def send(number: int) -> Reply:
        await asyncio.sleep(number * 0.01)
        path = "/v1/services/orders/requests"
        return await context.riders.call("POST", path, body=b"{}")

    sending = [asyncio.ensure_future(send(number)) for number in range(100)]
    await asyncio.sleep(0.3)
    code = await context.deployment.daemons["entry-1"].stop()
    replies = await asyncio.gather(*sending)
    context.checks.check("it exits with 0", code == 0, code)
    outcomes = {reply.outcome for reply in replies}
    context.checks.check("all completed elsewhere", outcomes == {"completed"}, outcomes)


async def _read(client: Client, path: str) -> Any:
    reply = await client.call("GET", path)
    return reply.read_json()


async def _submit(
    client: Client,
    workload: str,
    payload: dict[str, Any],
    headers: dict[str, str] | None = None,
) -> str:
    path = f"/v1/workloads/{workload}/jobs"
    reply = await wait_until(
        lambda: client.call("POST", path, payload, headers=headers),
        lambda r: r.status == 202,
    )
    return reply.headers.get("Location", reply.body.decode())


async def _wait_for_job(client: Client, path: str) -> Any:
    return await wait_until(
        lambda: _read(client, path), lambda job: _state(job) in FINAL_JOB_STATES
    )


def _state(job: Any) -> str:
    return job.get("status", {}).get("state", "") if isinstance(job, dict) else ""


def _count_running(tasks: Any) -> int:
    return sum(
        item["status"]["state"] == "running" and "orders" in item["metadata"]["name"]
        for item in tasks.get("items", [])
    )
