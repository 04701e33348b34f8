"""Callers' requests to services and their jobs."""

import asyncio
import base64
import uuid
from collections.abc import AsyncGenerator, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

from starlette.requests import ClientDisconnect
from starlette.responses import Response

from damaskdeck.protocol.handlers import (
    FINAL_JOB_STATES,
    JobView,
    ServiceRequest,
    Submission,
)
from damaskdeck.protocol.outcomes import Completed, Refused, Unknown
from damaskdeck.protocol.resources import Kind, Resource, Urgency
from damaskdeck.transport.api.answers import (
    read_flag,
    read_number,
    read_page,
    render_json,
    render_list,
    render_resource,
)
from damaskdeck.transport.api.credentials import Role
from damaskdeck.transport.api.problems import ProblemError, make_problem
from damaskdeck.transport.api.routes import (
    Call,
    require_loaded,
    route,
    wait_for_disconnect,
)
from damaskdeck.transport.api.streams import LineStream

KEY_LIMIT = 128
LONGEST_TIMEOUT = timedelta(hours=1)
SHORTEST_POLL = timedelta(milliseconds=200)
LONGEST_POLL = timedelta(seconds=2)

T = TypeVar("T")


@route(
    "POST",
    "/v1/services/{name}/requests",
    Role.TEAM,
    Role.OPERATOR,
    parameters=("Idempotency-Key", "Request-Timeout", "Urgency", "Idempotent"),
    body="Payload",
    answers={200: "Completed; the body is the service's answer"},
)
async def send_request(call: Call) -> Response:
    """Send a request to a service and wait for its answer."""
    request = ServiceRequest(
        identifier=uuid.uuid4().hex,
        service=call.path("name"),
        team=_pick_team(call, call.path("name")),
        timeout=_read_timeout(call),
        key=_read_key(call),
        urgency=_read_urgency(call),
        idempotent=_read_idempotent(call),
        content_type=call.header("content-type", "application/octet-stream"),
        body=await call.read_body(),
    )
    work = call.context.requests.handle_request(request)
    outcome = await _run_while_connected(call, work)
    if isinstance(outcome, Completed):
        headers = {"Outcome": "completed", "Content-Type": outcome.content_type}
        return Response(outcome.body, 200, headers)
    raise make_problem(outcome)


@route(
    "POST",
    "/v1/workloads/{name}/jobs",
    Role.TEAM,
    Role.OPERATOR,
    parameters=("Idempotency-Key",),
    body="Payload",
    answers={202: "Taken and durable; Location names the job"},
)
async def submit_job(call: Call) -> Response:
    """Submit a job of a workload."""
    require_loaded(call)
    name = call.path("name")
    workload = call.context.configuration.get(Kind.WORKLOAD, name)
    if workload is None:
        raise ProblemError("no_such_workload", f"workload {name!r}")
    team = _pick_team(call, name)
    if team != workload["spec"]["team"]:
        raise ProblemError("wrong_team", f"workload {name!r} is of another team")
    key, payload = _read_key(call), await call.read_body()
    view = await call.context.jobs.submit_job(Submission(name, team, payload, key))
    if isinstance(view, Refused | Unknown):
        raise make_problem(view)
    location = {"Location": f"/v1/jobs/{view.name}"}
    return render_json(describe_job(view), 202, location)


@route(
    "GET",
    "/v1/jobs",
    Role.TEAM,
    Role.OPERATOR,
    parameters=("team", "limit", "continue"),
)
async def list_jobs(call: Call) -> Response:
    """List jobs in order of name; callers see those of their team."""
    limit, after = read_page(call)
    own = call.caller.team if call.caller else ""
    team = own or call.query("team")
    views = await call.context.jobs.list_jobs(team, after, limit)
    if isinstance(views, Refused | Unknown):
        raise make_problem(views)
    last = views[-1].name if len(views) >= limit else ""
    revision = max((view.revision for view in views), default=0)
    return render_list([describe_job(view) for view in views], revision, last)


@route(
    "GET",
    "/v1/jobs/{name}",
    Role.TEAM,
    Role.OPERATOR,
    parameters=("watch", "revision"),
)
async def get_job(call: Call) -> Response:
    """Read a job, or watch it until it has ended."""
    view = await _read_job(call)
    if read_flag(call, "watch"):
        lines = _watch_job(call, view, read_number(call, "revision", -1))
        return LineStream(lines, call.context)
    return render_resource(describe_job(view))


@route("DELETE", "/v1/jobs/{name}", Role.TEAM, Role.OPERATOR)
async def cancel_job(call: Call) -> Response:
    """Cancel a job; one that has ended stays as it ended."""
    view = await _read_job(call)
    cancelled = await call.context.jobs.cancel_job(view.name)
    if isinstance(cancelled, Refused | Unknown):
        raise make_problem(cancelled)
    return render_resource(describe_job(cancelled))


def describe_job(view: JobView) -> Resource:
    """Show a job as a resource; results in base64, as they may be any bytes."""
    status: dict[str, Any] = {"state": view.state.value}
    if view.code:
        status["code"] = view.code
    status["reasons"] = list(view.reasons)
    status["tasks"] = list(view.tasks)
    status["workers"] = list(view.workers)
    if view.state in FINAL_JOB_STATES:
        encoded = [base64.b64encode(result).decode() for result in view.results]
        status["results"] = encoded
    return Resource(
        kind="job",
        metadata={"name": view.name, "revision": view.revision},
        spec={"workload": view.workload, "team": view.team},
        status=status,
    )


async def _read_job(call: Call) -> JobView:
    name = call.path("name")
    view = await call.context.jobs.read_job(name)
    if isinstance(view, Refused | Unknown):
        raise make_problem(view)
    own = call.caller.team if call.caller else ""
    if own and own != view.team:
        raise ProblemError("no_such_job", f"job {name!r}")
    return view


async def _watch_job(
    call: Call, view: JobView, after: int
) -> AsyncGenerator[dict[str, Any], None]:
    context, shown, poll = call.context, None, SHORTEST_POLL
    while True:
        if view != shown and (view.revision > after or shown is not None):
            yield {"type": "MODIFIED", "resource": describe_job(view)}
            poll = SHORTEST_POLL
        else:
            yield {"type": "BOOKMARK", "revision": view.revision}
        shown = view
        if view.state in FINAL_JOB_STATES:
            return
        await context.clock.sleep(poll)
        poll = min(2 * poll, LONGEST_POLL)
        found = await context.jobs.read_job(view.name)
        if isinstance(found, JobView):
            view = found


async def _run_while_connected(call: Call, work: Coroutine[Any, Any, T]) -> T:
    """Await ``work``, but cancel it when its caller leaves."""
    task = asyncio.ensure_future(work)
    gone = asyncio.ensure_future(wait_for_disconnect(call.request.receive))
    try:
        await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise ClientDisconnect
    finally:
        gone.cancel()
        task.cancel()
        await asyncio.wait({task, gone})


def _pick_team(call: Call, workload: str) -> str:
    """Return the caller's team; operators act for the workload's team."""
    if call.caller and call.caller.team:
        return call.caller.team
    resource = call.context.configuration.get(Kind.WORKLOAD, workload)
    return resource["spec"]["team"] if resource else ""


def _read_key(call: Call) -> str:
    key = call.header("idempotency-key")
    if len(key) > KEY_LIMIT or not key.isascii() or not key.isprintable():
        detail = f"Idempotency-Key: at most {KEY_LIMIT} printable characters"
        raise ProblemError("bad_header", detail)
    return key


def _read_timeout(call: Call) -> timedelta:
    text = call.header("request-timeout")
    if not text:
        return call.context.request_timeout
    try:
        timeout = timedelta(seconds=float(text))
    except (ValueError, OverflowError):
        timeout = timedelta()
    if not timedelta() < timeout <= LONGEST_TIMEOUT:
        longest = LONGEST_TIMEOUT.total_seconds()
        raise ProblemError(
            "bad_header", f"Request-Timeout: seconds, at most {longest:g}"
        )
    return timeout


def _read_urgency(call: Call) -> Urgency:
    text = call.header("urgency", Urgency.NORMAL)
    if text not in list(Urgency):
        raise ProblemError("bad_header", f"Urgency: one of {', '.join(Urgency)}")
    return Urgency(text)


def _read_idempotent(call: Call) -> bool:
    text = call.header("idempotent", "false")
    if text not in ("true", "false"):
        raise ProblemError("bad_header", "Idempotent: must be true or false")
    return text == "true"
