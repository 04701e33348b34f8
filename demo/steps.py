"""The steps of the demo, each of which checks all outcomes that it causes.

The first line of a step's docstring is printed as its headline.
"""

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
    """The deployment and the clients that the steps use.

    :param checks: records the result of each check.
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
    """Register a step; steps run in order of definition."""
    STEPS.append(function)
    return function


def make_workload(
    name: str, team: str, workload_type: str, **spec: Any
) -> dict[str, Any]:
    """Return the resource of a workload, as an operator declares it."""
    size = spec.pop("size", {"processors": 1, "memory": 512})
    full_spec = {"team": team, "type": workload_type, "size": size, **spec}
    return {"kind": "workload", "metadata": {"name": name}, "spec": full_spec}


async def declare(client: Client, resource: dict[str, Any]) -> Reply:
    """Declare a resource by an HTTP PUT."""
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
        lambda: _read_json(context.operator, f"/v1/status?revision={revision}"),
        lambda s: s["configuration"].get("in_force_everywhere") is True,
    )
    in_force = status["configuration"].get("in_force_everywhere")
    context.checks.check(
        f"revision {revision} is in force everywhere", in_force is True
    )
    invalid_workload = make_workload("wrong", "nobody", "batch")
    reply = await declare(context.operator, invalid_workload)
    context.checks.check("a workload of no team is refused", reply.status == 422, reply)


@step
async def race_operators(context: Context) -> None:
    """Two operators race on one workload; exactly one wins."""
    path = "/v1/workloads/route-plan"
    resource_found = await _read_json(context.operator, path)
    condition = {
        "If-Match": f'"{resource_found["metadata"]["revision"]}"',
        "Content-Type": "application/merge-patch+json",
    }
    patches = [{"spec": {"urgency": urgency}} for urgency in ("high", "low")]
    replies = await asyncio.gather(
        *(context.operator.call("PATCH", path, p, headers=condition) for p in patches)
    )
    statuses = sorted(reply.status for reply in replies)
    has_one_winner = statuses[0] == 200 and statuses[1] in (409, 412)
    context.checks.check(
        "one change is accepted and one is told so", has_one_winner, statuses
    )


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
    own_answers = [n for n, r in replies if f'"order": {n}}}'.encode() in r.body]
    context.checks.check(
        "100 order checks completed", len(completed) == 100, replies[0]
    )
    context.checks.check(
        "each caller got its own answer", len(own_answers) == 100, replies[0]
    )
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
    execution_count = len(context.deployment.platform.executions.executions) - before
    context.checks.check("it ran once", execution_count == 1, execution_count)
    context.checks.check("both got one answer", first.body == second.body, second)


@step
async def submit_jobs(context: Context) -> None:
    """Teams submit jobs; each ends with its outcome, the invoice run only once."""
    plan_job = await _submit(
        context.riders, "route-plan", {"run_time": 0.3, "result": "route"}
    )
    lines = [line async for line in context.riders.watch(f"{plan_job}?watch=true")]
    states = [_get_state(line.get("resource")) for line in lines]
    context.checks.check(
        "a watch shows the job end", states[-1:] == ["completed"], lines
    )
    job = await _read_json(context.riders, plan_job)
    results = [base64.b64decode(r) for r in job["status"].get("results", [])]
    context.checks.check("its results are there", results == [b"route"] * 2, job)
    idempotency_header = {"Idempotency-Key": "2026-11"}
    payload = {"run_time": 0.2, "result": "billed"}
    invoice_jobs = [
        await _submit(context.invoices, "invoice-run", payload, idempotency_header)
        for _ in "ab"
    ]
    context.checks.check(
        "the same key meets the same job",
        invoice_jobs[0] == invoice_jobs[1],
        invoice_jobs,
    )
    ended_job = await _wait_for_job(context.invoices, invoice_jobs[0])
    context.checks.check(
        "the invoice run completed", _get_state(ended_job) == "completed", ended_job
    )
    starts = context.deployment.platform.runs.starts
    count = sum(invoice_jobs[0].rsplit("/", 1)[1] in start.task for start in starts)
    context.checks.check("it started once", count == 1, count)
    failing_job = await _submit(
        context.riders, "route-plan", {"run_time": 0.1, "fail": True}
    )
    ended_job = await _wait_for_job(context.riders, failing_job)
    context.checks.check(
        "a failing job failed", _get_state(ended_job) == "failed", ended_job
    )


@step
async def run_gang(context: Context) -> None:
    """A gang starts all its tasks or none, and completes."""
    gang_job = await _submit(context.invoices, "light-curves", {"run_time": 0.3})
    ended_job = await _wait_for_job(context.invoices, gang_job)
    context.checks.check(
        "the gang completed", _get_state(ended_job) == "completed", ended_job
    )
    name = gang_job.rsplit("/", 1)[1]
    starts = [s for s in context.deployment.platform.runs.starts if name in s.task]
    context.checks.check("its four tasks started", len(starts) == 4, starts)


@step
async def cancel_job(context: Context) -> None:
    """A job is cancelled while it runs; its caller is told that it ran."""
    name = await _submit(context.riders, "route-plan", {"run_time": 60})
    await wait_until(
        lambda: _read_json(context.riders, name),
        lambda job: _get_state(job) == "running",
    )
    await context.riders.call("DELETE", name)
    ended_job = await _wait_for_job(context.riders, name)
    code = ended_job["status"].get("code")
    is_reported = _get_state(ended_job) in ("failed", "unknown") and code == "cancelled"
    context.checks.check(
        "it ended as failed or unknown, code cancelled", is_reported, ended_job
    )


@step
async def refuse_impossible(context: Context) -> None:
    """A job that can never run is told so, with the dimension."""
    huge_workload = make_workload("huge", "riders", "batch", size={"processors": 60})
    reply = await declare(context.operator, huge_workload)
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
        lambda: _read_json(context.operator, "/v1/tasks"),
        lambda tasks: _count_running(tasks) >= 2,
    )
    context.checks.check("two replicas run", _count_running(tasks) >= 2, tasks)
    platform = context.deployment.platform
    context.checks.check("no task in two places", not platform.runs.overlaps)
    overfilled = platform.runs.overfills
    context.checks.check("no worker over its size", not overfilled, overfilled)
    overfilled = [
        t.instance.name for t in platform.targets.values() if t.slot_overfills
    ]
    context.checks.check("no target over its slots", not overfilled, overfilled)


@step
async def stop_daemon(context: Context) -> None:
    """A daemon shuts down under load; no request in progress is cut off."""

    async def send(number: int) -> Reply:
        await asyncio.sleep(number * 0.01)
        path = "/v1/services/orders/requests"
        return await context.riders.call("POST", path, body=b"{}")

    pending_replies = [asyncio.ensure_future(send(number)) for number in range(100)]
    await asyncio.sleep(0.3)
    code = await context.deployment.daemons["entry-1"].stop()
    replies = await asyncio.gather(*pending_replies)
    context.checks.check("it exits with 0", code == 0, code)
    outcomes = {reply.outcome for reply in replies}
    context.checks.check("all completed elsewhere", outcomes == {"completed"}, outcomes)


async def _read_json(client: Client, path: str) -> Any:
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
        lambda: _read_json(client, path),
        lambda job: _get_state(job) in FINAL_JOB_STATES,
    )


def _get_state(job: Any) -> str:
    return job.get("status", {}).get("state", "") if isinstance(job, dict) else ""


def _count_running(tasks: Any) -> int:
    return sum(
        item["status"]["state"] == "running" and "orders" in item["metadata"]["name"]
        for item in tasks.get("items", [])
    )
