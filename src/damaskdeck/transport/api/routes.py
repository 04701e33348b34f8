"""The registry of routes and what happens around each call."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.types import Receive

from damaskdeck.clock import Clock
from damaskdeck.coordination.configuration.relay import ConfigurationRelay
from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.logs import get_logger
from damaskdeck.protocol.handlers import JobHandler, RequestHandler, ResourceReader
from damaskdeck.protocol.resources import Kind
from damaskdeck.state.configuration import Configuration
from damaskdeck.transport.api.credentials import Caller, Credentials, Role
from damaskdeck.transport.api.polls import Poller
from damaskdeck.transport.api.problems import ProblemError, render_problem

BODY_TIMEOUT_SECONDS = 30
NESTING_LIMIT = 32
GONE_STATUS = 499

_log = get_logger("api")


class Context(NamedTuple):
    """What the routes work with.

    :param pollers: by observed kind, for its watchers.
    :param read_status: further members of ``GET /v1/status``.
    :param is_ready: whether the balancer may send calls here.
    :param watch_slots: one is held by each running watch.
    :param stopping: set once the server is about to stop.
    """

    configuration: Configuration
    relay: ConfigurationRelay
    requests: RequestHandler
    jobs: JobHandler
    resources: ResourceReader
    pollers: Mapping[Kind, Poller]
    read_status: Callable[[], Mapping[str, Any]]
    is_ready: Callable[[], bool]
    credentials: Credentials
    clock: Clock
    body_limit: int
    request_timeout: timedelta
    stopping: asyncio.Event
    watch_slots: asyncio.Semaphore


class Call(NamedTuple):
    """One call of a route.

    :param caller: ``None`` on a route that is open to all.
    """

    request: Request
    context: Context
    caller: Caller | None

    def path(self, name: str) -> str:
        """Return a parameter of the path."""
        return self.request.path_params[name]

    def query(self, name: str, default: str = "") -> str:
        """Return a query parameter."""
        return self.request.query_params.get(name, default)

    def header(self, name: str, default: str = "") -> str:
        """Return a header."""
        return self.request.headers.get(name, default)

    async def read_body(self) -> bytes:
        """Read the body within its limits."""
        limit = self.context.body_limit
        length = self.header("content-length", "0")
        if length.isdigit() and int(length) > limit:
            raise ProblemError("body_too_large", f"at most {limit} bytes")
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                return await self._read_chunks(limit)
        except TimeoutError as error:
            raise ProblemError("body_timeout") from error

    async def read_json(self) -> Any:
        """Read the body as JSON."""
        try:
            document = msgspec.json.decode(await self.read_body())
        except DECODE_ERRORS as error:
            raise ProblemError("bad_json", str(error)) from error
        if _is_deep(document):
            raise ProblemError("bad_json", f"at most {NESTING_LIMIT} levels deep")
        return document

    async def _read_chunks(self, limit: int) -> bytes:
        body = bytearray()
        async for chunk in self.request.stream():
            body += chunk
            if len(body) > limit:
                raise ProblemError("body_too_large", f"at most {limit} bytes")
        return bytes(body)


Endpoint = Callable[[Call], Awaitable[Response]]


class Route(NamedTuple):
    """A route and its description.

    :param roles: who may call it; empty: everybody, without a credential.
    :param parameters: names of query parameters and headers it reads.
    :param body: name of the schema of its body, if it reads one.
    :param answers: description of each status that is not a problem.
    """

    method: str
    path: str
    endpoint: Endpoint
    roles: tuple[Role, ...]
    summary: str
    parameters: tuple[str, ...]
    body: str
    answers: Mapping[int, str]


ROUTES: list[Route] = []


def route(
    method: str,
    path: str,
    *roles: Role,
    parameters: tuple[str, ...] = (),
    body: str = "",
    answers: Mapping[int, str] | None = None,
) -> Callable[[Endpoint], Endpoint]:
    """Register a route; its summary is the first line of the docstring."""

    def register(endpoint: Endpoint) -> Endpoint:
        summary = (endpoint.__doc__ or "").strip().splitlines()[0]
        told = answers or {200: "Done"}
        ROUTES.append(
            Route(method, path, endpoint, roles, summary, parameters, body, told)
        )
        return endpoint

    return register


def _is_deep(document: Any) -> bool:
    """Tell whether a document has more levels than any resource needs."""
    level = [document] if isinstance(document, dict | list) else []
    for _ in range(NESTING_LIMIT):
        parts = [each.values() if isinstance(each, dict) else each for each in level]
        level = [
            item for part in parts for item in part if isinstance(item, dict | list)
        ]
        if not level:
            return False
    return True


def require_loaded(call: Call) -> None:
    """Refuse a call that this daemon can't judge yet."""
    if not call.context.relay.is_ready:
        raise ProblemError("not_ready", "the configuration hasn't come yet")


async def wait_for_disconnect(receive: Receive) -> None:
    """Return once the caller has left; the body must have been read."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def serve_call(entry: Route, context: Context, request: Request) -> Response:
    """Check the credential, run the endpoint and render its problems.

    While the daemon isn't ready, as when it drains, each answer ends its
    connection, so that no later request meets the server's end on it.
    """
    try:
        caller = _authorize(entry, context, request)
        response = await entry.endpoint(Call(request, context, caller))
    except ProblemError as problem:
        response = render_problem(problem)
    except ClientDisconnect:
        response = Response(status_code=GONE_STATUS)
    except Exception as error:
        _log.error("A call failed.", path=entry.path, error=repr(error))
        detail = "see the daemon's log"
        response = render_problem(ProblemError("internal", detail, "unknown"))
    if context.stopping.is_set() or not context.is_ready():
        response.headers["Connection"] = "close"
    return response


def _authorize(entry: Route, context: Context, request: Request) -> Caller | None:
    if not entry.roles:
        return None
    header = request.headers.get("authorization", "")
    caller = context.credentials.find_caller(header)
    if caller is None:
        raise ProblemError("unauthenticated")
    if caller.role not in entry.roles:
        raise ProblemError("forbidden", f"only for: {', '.join(entry.roles)}")
    return caller
