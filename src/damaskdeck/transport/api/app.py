"""The ASGI application of the API."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route as StarletteRoute

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.configuration.relay import ConfigurationRelay
from damaskdeck.protocol.handlers import JobHandler, RequestHandler, ResourceReader
from damaskdeck.state.configuration import Configuration
from damaskdeck.transport.api import callers, observed, openapi, resources, status
from damaskdeck.transport.api.credentials import Credentials
from damaskdeck.transport.api.polls import Poller
from damaskdeck.transport.api.problems import ProblemError, render_problem
from damaskdeck.transport.api.routes import ROUTES, Context, Route, serve_call
from damaskdeck.transport.exporter import install_exporter

# Importing these modules registers their routes.
MODULES = (callers, observed, openapi, resources, status)


def build_app(
    configuration: Configuration,
    relay: ConfigurationRelay,
    requests: RequestHandler,
    jobs: JobHandler,
    observed_resources: ResourceReader,
    credentials: Credentials,
    clock: Clock,
    read_status: Callable[[], Mapping[str, Any]] = dict,
    is_ready: Callable[[], bool] | None = None,
    body_limit: int = defaults.MAX_BODY_BYTES,
    request_timeout: timedelta = defaults.REQUEST_TIMEOUT,
    watch_limit: int = defaults.WATCH_LIMIT,
) -> Starlette:
    """Build the application.

    :param read_status: returns additional members of ``GET /v1/status``.
    :param is_ready: returns whether the load balancer may send calls to this daemon;
        defaults to the readiness of the relay.
    :param body_limit: maximum length of a body, in bytes.
    :param request_timeout: timeout of requests without ``Request-Timeout``.
    :param watch_limit: maximum number of concurrent watches.
    """
    install_exporter()
    context = Context(
        configuration=configuration,
        relay=relay,
        requests=requests,
        jobs=jobs,
        resources=observed_resources,
        pollers={
            kind: Poller(observed_resources, kind, clock)
            for kind in observed.PLURALS.values()
        },
        read_status=read_status,
        is_ready=is_ready or (lambda: relay.is_ready),
        credentials=credentials,
        clock=clock,
        body_limit=body_limit,
        request_timeout=request_timeout,
        stopping=asyncio.Event(),
        watch_slots=asyncio.Semaphore(watch_limit),
    )
    app = Starlette(
        routes=[_make_route(entry, context) for entry in ROUTES],
        exception_handlers={HTTPException: _render_http_error},
    )
    app.state.stopping = context.stopping
    app.router.redirect_slashes = False
    return app


def _make_route(entry: Route, context: Context) -> StarletteRoute:
    endpoint = partial(serve_call, entry, context)
    return StarletteRoute(entry.path, endpoint, methods=[entry.method])


async def _render_http_error(request: Request, error: Exception) -> Response:
    is_method_error = isinstance(error, HTTPException) and error.status_code == 405
    return render_problem(
        ProblemError("method_not_allowed" if is_method_error else "no_such_path")
    )
