"""The registry of routes, and the processing that all calls share."""

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
MAX_NESTING = 32
# Status of calls whose client has disconnected; it is never received.
CLIENT_CLOSED_STATUS = 499

_log = get_logger("api")


class Context(NamedTuple):
    """The objects that the routes work with.

    :param pollers: pollers of observed resources, by kind.
    :param read_status: returns additional members of ``GET /v1/status``.
    :param is_ready: returns whether the load balancer may send calls to this daemon.
    :param body_limit: maximum length of a body, in bytes.
    :param request_timeout: timeout of requests without ``Request-Timeout``.
    :param stopping: set when the server begins to stop.
    :param watch_slots: each running watch holds one slot.
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

    :param caller: ``None`` on routes without a credential.
    """

    request: Request
    context: Context
    caller: Caller | None

    def path(self, name: str) -> str:
        """Return a path parameter."""
        return self.request.path_params[name]

    def query(self, name: str, default: str = "") -> str:
        """Return a query parameter."""
        return self.request.query_params.get(name, default)

    def header(self, name: str, default: str = "") -> str:
        """Return a header."""
        return self.request.headers.get(name, default)

    async def read_body(self) -> bytes:
        """Return the body.

        :raises ProblemError: ``body_too_large`` or ``body_timeout``.
        """
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
        """Return the decoded JSON body.

        :raises ProblemError: ``bad_json`` and those of :meth:`read_body`.
        """
        try:
            document = msgspec.json.decode(await self.read_body())
        except DECODE_ERRORS as error:
            raise ProblemError("bad_json", str(error)) from error
        if _is_too_deep(document):
            raise ProblemError("bad_json", f"at most {MAX_NESTING} levels deep")
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

    :param roles: roles that may call the route; if empty, no credential is needed.
    :param parameters: names of the query parameters and headers that the route reads.
    :param body: name of the schema of its body; empty if it reads none.
    :param answers: descriptions of the answers that are not problems, by status.
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
    """Register a route; the first line of its docstring is its summary."""

    def register(endpoint: Endpoint) -> Endpoint:
        summary = (endpoint.__doc__ or "").strip().splitlines()[0]
        documented = answers or {200: "Done"}
        ROUTES.append(
            Route(method, path, endpoint, roles, summary, parameters, body, documented)
        )
        return endpoint

    return register


def _is_too_deep(document: Any) -> bool:
    """Return whether a document is nested more deeply than any resource."""
    level = [document] if isinstance(document, dict | list) else []
    for _ in range(MAX_NESTING):
        groups = [
            container.values() if isinstance(container, dict) else container
            for container in level
        ]
        level = [
            item for group in groups for item in group if isinstance(item, dict | list)
        ]
        if not level:
            return False
    return True


def require_loaded(call: Call) -> None:
    """Check that this daemon has loaded the configuration.

    :raises ProblemError: ``not_ready``.
    """
    if not call.context.relay.is_ready:
        raise ProblemError("not_ready", "the configuration is not loaded yet")


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the client has disconnected; the body must have been read."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def serve_call(entry: Route, context: Context, request: Request) -> Response:
    """Check the credential, run the endpoint and render its problems.

    While the daemon isn't ready, as when it drains, each answer closes its connection.
    Otherwise a later request on the connection could fail when the server stops.
    """
    try:
        caller = _authorize(entry, context, request)
        response = await entry.endpoint(Call(request, context, caller))
    except ProblemError as problem:
        response = render_problem(problem)
    except ClientDisconnect:
        response = Response(status_code=CLIENT_CLOSED_STATUS)
    except Exception as error:
        _log.error(
            "An API call raised an exception.", path=entry.path, error=repr(error)
        )
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
