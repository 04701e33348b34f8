"""HTTP servers of the stand-ins, run inside the current event loop.

Every component listens at an address of its own. It uses uvicorn's protocol class
without a server task, so that hundreds of listeners cost little.
"""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send
from uvicorn.server import ServerState

from damaskdeck.protocol.ports import (
    Accepted,
    Conflict,
    Events,
    Found,
    Granted,
    Inventory,
    Lapsed,
    Listing,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
    StartOrder,
    TargetAnswer,
    TargetCall,
    Written,
)
from standins.instances import MemoryInstanceList, Version
from standins.store import MemoryStore, StoreClient
from standins.targets import MemoryTarget, TargetsClient
from standins.workers import MemoryWorker, WorkersClient

KEEPALIVE_SECONDS = 75
LISTEN_BACKLOG = 128
REQUEST_TIMEOUT = timedelta(minutes=10)

T = TypeVar("T")
Endpoint = Callable[[Request], Awaitable[Response]]
Renderer = Callable[[Any], Response]

# Connections that a test resets are not errors of the stand-in.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)

_encoder = msgspec.msgpack.Encoder()
_renderers: dict[type, Renderer] = {}


class Listener:
    """A server for one application at one address.

    :param app: an ASGI application.
    :param state: state of each request, to which the listener itself is added.
    """

    def __init__(self, app: Any, **state: Any) -> None:
        # asyncio disables Nagle's algorithm only on sockets created with IPPROTO_TCP.
        self._socket = socket.socket(proto=socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(LISTEN_BACKLOG)
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self._app = app
        self._state = {**state, "listener": self}
        self._server: asyncio.Server | None = None
        self._server_state = ServerState()

    async def start(self) -> None:
        """Start to answer; earlier connections wait in the listen backlog."""
        config = uvicorn.Config(
            self._app,
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_keep_alive=KEEPALIVE_SECONDS,
        )
        config.load()
        self._server = await asyncio.get_running_loop().create_server(
            lambda: config.http_protocol_class(
                config=config, server_state=self._server_state, app_state=self._state
            ),
            sock=self._socket,
        )

    @property
    def transports(self) -> tuple[asyncio.Transport, ...]:
        """The open connections."""
        return tuple(protocol.transport for protocol in self._server_state.connections)

    def reset_connection(self, scope: Scope) -> None:
        """Reset the connection of a request instead of answering it."""
        for protocol in list(self._server_state.connections):
            if protocol.scope is scope:
                protocol.transport.abort()

    def close(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        self._socket.close()
        for transport in self.transports:
            transport.abort()


class ResetResponse(Response):
    """A response that resets the connection and sends nothing."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reset the connection and wait until it is closed."""
        scope["state"]["listener"].reset_connection(scope)
        while (await receive())["type"] != "http.disconnect":
            pass


def renders(kind: type) -> Callable[[Renderer], Renderer]:
    """Register the function that turns an answer of type ``kind`` into a response."""

    def register(renderer: Renderer) -> Renderer:
        _renderers[kind] = renderer
        return renderer

    return register


def render(answer: Any) -> Response:
    """Turn an answer of a port into a response."""
    return _renderers[type(answer)](answer)


@renders(Rejected)
def _render_rejected(answer: Rejected) -> Response:
    if answer.code == "unreachable":
        return ResetResponse()
    return Response(status_code=503, headers={"x-refusal": answer.code})


@renders(Lost)
def _render_lost(answer: Lost) -> Response:
    return ResetResponse()


@renders(Found)
def _render_found(answer: Found) -> Response:
    entry = answer.entry
    headers = {"x-revision": str(entry.revision), "x-lease": entry.lease}
    return Response(entry.value, headers=headers)


@renders(Missing)
def _render_missing(answer: Missing) -> Response:
    return Response(status_code=404, headers={"x-revision": str(answer.revision)})


@renders(Written)
def _render_written(answer: Written) -> Response:
    return Response(headers={"x-revision": str(answer.revision)})


@renders(Conflict)
def _render_conflict(answer: Conflict) -> Response:
    if answer.current is None:
        return Response(status_code=409, headers={"x-revision": "0"})
    response = _render_found(Found(answer.current))
    response.status_code = 409
    return response


@renders(Granted)
def _render_granted(answer: Granted) -> Response:
    ttl = str(answer.ttl.total_seconds())
    return Response(headers={"x-lease": answer.lease, "x-ttl": ttl})


@renders(Lapsed)
def _render_lapsed(answer: Lapsed) -> Response:
    return Response(status_code=410)


@renders(RevisionTooOld)
def _render_too_old(answer: RevisionTooOld) -> Response:
    return Response(status_code=410, headers={"x-revision": str(answer.oldest)})


@renders(Events)
@renders(Listing)
@renders(Inventory)
def _render_encoded(answer: Any) -> Response:
    return Response(_encoder.encode(answer))


@renders(Accepted)
def _render_accepted(answer: Accepted) -> Response:
    return Response(_encoder.encode(answer.report))


@renders(TargetAnswer)
def _render_target_answer(answer: TargetAnswer) -> Response:
    headers = {
        "x-request": answer.request,
        "x-attempt": str(answer.attempt),
        "content-type": answer.content_type,
    }
    return Response(answer.body, answer.status, headers)


# The store and the instance list --------------------------------------------------


async def _get_key(request: Request) -> Response:
    return render(await _connect_store(request).get(request.query_params["key"]))


async def _list_keys(request: Request) -> Response:
    return render(await _connect_store(request).list(request.query_params["prefix"]))


async def _put_key(request: Request) -> Response:
    query = request.query_params
    value = await request.body()
    store = _connect_store(request)
    return render(
        await store.put(query["key"], value, _read_expected(request), query["lease"])
    )


async def _delete_key(request: Request) -> Response:
    store = _connect_store(request)
    return render(
        await store.delete(request.query_params["key"], _read_expected(request))
    )


async def _grant_lease(request: Request) -> Response:
    ttl = timedelta(seconds=float(request.query_params["ttl"]))
    return render(await _connect_store(request).grant_lease(ttl))


async def _renew_lease(request: Request) -> Response:
    lease = request.query_params["lease"]
    return render(await _connect_store(request).renew_lease(lease))


async def _revoke_lease(request: Request) -> Response:
    lease = request.query_params["lease"]
    return render(await _connect_store(request).revoke_lease(lease))


async def _watch(request: Request) -> Response:
    query = request.query_params
    wait = timedelta(seconds=float(query["wait"]))
    watch = _connect_store(request).watch(query["prefix"], int(query["revision"]), wait)
    return render(await _await_while_connected(request, watch))


async def _list_instances(request: Request) -> Response:
    source: MemoryInstanceList = request.state.instances
    version = await source.connect(_read_client(request)).read_version()
    if not isinstance(version, Version):
        return render(version)
    headers = {"etag": f'"{id(source):x}-{version.number}"'}
    if request.headers.get("if-none-match") == headers["etag"]:
        return Response(status_code=304, headers=headers)
    rows = [msgspec.json.encode(instance) for instance in version.instances]
    middle = len(rows) // 2
    rows[middle:middle] = source.foreign_rows
    body = b"[[" + b",".join(rows) + b"]]"
    return Response(body, headers=headers, media_type="application/json")


def _connect_store(request: Request) -> StoreClient:
    store: MemoryStore = request.state.store
    return store.connect(_read_client(request))


def _read_expected(request: Request) -> int | None:
    expected = request.query_params.get("expected")
    return None if expected is None else int(expected)


def _read_client(request: Request) -> str:
    return request.headers.get("x-client", "")


async def _await_while_connected(request: Request, answer: Awaitable[T]) -> T | Lost:
    """Wait for the answer of a long poll until its client disconnects."""
    await request.body()
    work = asyncio.ensure_future(answer)
    disconnected = asyncio.ensure_future(request.receive())
    try:
        await asyncio.wait({work, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        return work.result() if work.done() else Lost("timeout")
    finally:
        work.cancel()
        disconnected.cancel()


# Workers ----------------------------------------------------------------------


class Operation(NamedTuple):
    """An operation of a worker.

    :param argument: type as which the request's body is decoded.
    :param call: function of the client, the worker, the epoch and the argument.
    """

    argument: Any
    call: Callable[..., Awaitable[Any]]


_OPERATIONS = {
    "start": Operation(StartOrder, WorkersClient.start),
    "stop": Operation(str, WorkersClient.stop),
    "checkpoint": Operation(str, WorkersClient.checkpoint),
    "throttle": Operation(
        tuple[str, int],
        lambda client, worker, epoch, arguments: client.throttle(
            worker, epoch, *arguments
        ),
    ),
    "renew": Operation(
        tuple[tuple[str, ...], timedelta],
        lambda client, worker, epoch, arguments: client.renew(
            worker, epoch, *arguments
        ),
    ),
    "read_inventory": Operation(
        None,
        lambda client, worker, epoch, arguments: client.read_inventory(worker, epoch),
    ),
    "follow": Operation(
        tuple[int, timedelta],
        lambda client, worker, epoch, arguments: client.follow(
            worker, epoch, *arguments
        ),
    ),
    "acknowledge": Operation(tuple[str, ...], WorkersClient.acknowledge),
}
_decoders = {
    name: msgspec.msgpack.Decoder(operation.argument)
    for name, operation in _OPERATIONS.items()
}


async def _handle_task_operation(request: Request) -> Response:
    name = request.path_params["operation"]
    epoch = int(request.query_params["epoch"])
    worker: MemoryWorker = request.state.machine
    client = WorkersClient({worker.instance.name: worker}, _read_client(request))
    argument = _decoders[name].decode(await request.body())
    answer = _OPERATIONS[name].call(client, worker.instance, epoch, argument)
    if name == "follow":
        return render(await _await_while_connected(request, answer))
    return render(await answer)


# Targets ----------------------------------------------------------------------


async def _serve_request(request: Request) -> Response:
    target: MemoryTarget = request.state.machine
    target.record_connections(len(request.state.listener.transports))
    call = TargetCall(
        request.headers["x-request"],
        int(request.headers["x-attempt"]),
        await request.body(),
        request.headers.get("content-type", ""),
    )
    return render(await _connect_targets(request).submit(target, call, REQUEST_TIMEOUT))


async def _probe(request: Request) -> Response:
    target: MemoryTarget = request.state.machine
    client = _connect_targets(request)
    return render(await client.probe(target.instance, REQUEST_TIMEOUT))


def _connect_targets(request: Request) -> TargetsClient:
    target: MemoryTarget = request.state.machine
    return TargetsClient({target.instance.name: target}, _read_client(request))


platform_app = Starlette(
    routes=[
        Route("/store/key", _get_key),
        Route("/store/list", _list_keys),
        Route("/store/put", _put_key, methods=["POST"]),
        Route("/store/delete", _delete_key, methods=["POST"]),
        Route("/store/lease/grant", _grant_lease, methods=["POST"]),
        Route("/store/lease/renew", _renew_lease, methods=["POST"]),
        Route("/store/lease/revoke", _revoke_lease, methods=["POST"]),
        Route("/store/watch", _watch),
        Route("/instances", _list_instances),
    ]
)
worker_app = Starlette(
    routes=[Route("/tasks/{operation}", _handle_task_operation, methods=["POST"])]
)
target_app = Starlette(
    routes=[
        Route("/request", _serve_request, methods=["POST"]),
        Route("/health", _probe),
    ]
)
