"""Routes for callers: requests to services, and jobs."""

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

MAX_KEY_LENGTH = 128
MAX_TIMEOUT = timedelta(hours=1)
MIN_POLL_INTERVAL = timedelta(milliseconds=200)
MAX_POLL_INTERVAL = timedelta(seconds=2)

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
        team=_select_team(call, call.path("name")),
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
    team = _select_team(call, name)
    if team != workload["spec"]["team"]:
        raise ProblemError("wrong_team", f"workload {name!r} belongs to another team")
    key, payload = _read_key(call), await call.read_body()
    view = await call.context.jobs.submit_job(Submission(name, team, payload, key))
    if isinstance(view, Refused | Unknown):
        raise make_problem(view)
    location = {"Location": f"/v1/jobs/{view.name}"}
    return render_json(build_job_resource(view), 202, location)


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
    caller_team = call.caller.team if call.caller else ""
    team = caller_team or call.query("team")
    views = await call.context.jobs.list_jobs(team, after, limit)
    if isinstance(views, Refused | Unknown):
        raise make_problem(views)
    last = views[-1].name if len(views) >= limit else ""
    revision = max((view.revision for view in views), default=0)
    return render_list([build_job_resource(view) for view in views], revision, last)


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
    return render_resource(build_job_resource(view))


@route("DELETE", "/v1/jobs/{name}", Role.TEAM, Role.OPERATOR)
async def cancel_job(call: Call) -> Response:
    """Cancel a job; one that has ended stays as it ended."""
    view = await _read_job(call)
    cancelled = await call.context.jobs.cancel_job(view.name)
    if isinstance(cancelled, Refused | Unknown):
        raise make_problem(cancelled)
    return render_resource(build_job_resource(cancelled))


def build_job_resource(view: JobView) -> Resource:
    """Return a job as a resource.

    Results are encoded in base64, because they may be arbitrary bytes.
    """
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
    """Return the job in the path, if the caller may see it.

    A job of another team is reported as ``no_such_job``.
    """
    name = call.path("name")
    view = await call.context.jobs.read_job(name)
    if isinstance(view, Refused | Unknown):
        raise make_problem(view)
    caller_team = call.caller.team if call.caller else ""
    if caller_team and caller_team != view.team:
        raise ProblemError("no_such_job", f"job {name!r}")
    return view


async def _watch_job(
    call: Call, view: JobView, after: int
) -> AsyncGenerator[dict[str, Any], None]:
    """Yield the lines of a watch until the job has ended.

    The interval between two reads doubles while the job doesn't change.
    """
    context, last_sent, interval = call.context, None, MIN_POLL_INTERVAL
    while True:
        if view != last_sent and (view.revision > after or last_sent is not None):
            yield {"type": "MODIFIED", "resource": build_job_resource(view)}
            interval = MIN_POLL_INTERVAL
        else:
            yield {"type": "BOOKMARK", "revision": view.revision}
        last_sent = view
        if view.state in FINAL_JOB_STATES:
            return
        await context.clock.sleep(interval)
        interval = min(2 * interval, MAX_POLL_INTERVAL)
        found = await context.jobs.read_job(view.name)
        if isinstance(found, JobView):
            view = found


async def _run_while_connected(call: Call, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of ``work``, but cancel it if the caller disconnects.

    :raises ClientDisconnect: when the caller has disconnected.
    """
    task = asyncio.ensure_future(work)
    disconnected = asyncio.ensure_future(wait_for_disconnect(call.request.receive))
    try:
        await asyncio.wait({task, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise ClientDisconnect
    finally:
        disconnected.cancel()
        task.cancel()
        await asyncio.wait({task, disconnected})


def _select_team(call: Call, workload: str) -> str:
    """Return the caller's team, or the workload's team for operators."""
    if call.caller and call.caller.team:
        return call.caller.team
    resource = call.context.configuration.get(Kind.WORKLOAD, workload)
    return resource["spec"]["team"] if resource else ""


def _read_key(call: Call) -> str:
    key = call.header("idempotency-key")
    if len(key) > MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
        detail = f"Idempotency-Key: at most {MAX_KEY_LENGTH} printable characters"
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
    if not timedelta() < timeout <= MAX_TIMEOUT:
        max_seconds = MAX_TIMEOUT.total_seconds()
        raise ProblemError(
            "bad_header", f"Request-Timeout: seconds, at most {max_seconds:g}"
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
