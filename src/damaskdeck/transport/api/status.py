"""Routes on the state of the daemon: status, health, readiness and metrics."""

from starlette.responses import Response

from damaskdeck.transport.api.answers import read_number, render_json
from damaskdeck.transport.api.credentials import Role
from damaskdeck.transport.api.problems import ProblemError
from damaskdeck.transport.api.routes import Call, route
from damaskdeck.transport.exporter import METRICS_MEDIA_TYPE, read_metrics


@route("GET", "/v1/status", Role.OPERATOR, parameters=("revision",))
async def get_status(call: Call) -> Response:
    """Tell the revision in force on each daemon, ownership and outages."""
    context = call.context
    configuration, relay = context.configuration, context.relay
    revision = read_number(call, "revision", 0)
    in_force = await relay.read_in_force(revision)
    configuration_status = {
        "revision": configuration.revision,
        "loaded": configuration.is_loaded,
        "ahead": sorted(configuration.ahead_revisions),
        "in_force": in_force.revisions,
    }
    if revision:
        configuration_status["in_force_everywhere"] = in_force.is_everywhere
    store = "reachable" if relay.reaches_store else "unreachable"
    document = {
        "ready": context.is_ready(),
        "store": store,
        "configuration": configuration_status,
    }
    return render_json({**document, **context.read_status()})


@route("GET", "/healthz")
async def get_health(call: Call) -> Response:
    """Tell that the process answers."""
    return Response("ok\n", media_type="text/plain")


@route("GET", "/readyz")
async def get_readiness(call: Call) -> Response:
    """Tell whether the balancer may send calls here."""
    if call.context.stopping.is_set():
        raise ProblemError("not_ready", "the server is stopping")
    if not call.context.is_ready():
        raise ProblemError("not_ready")
    return Response("ok\n", media_type="text/plain")


@route("GET", "/metrics")
async def get_metrics(call: Call) -> Response:
    """Give the metrics in the Prometheus text format."""
    return Response(read_metrics(), headers={"Content-Type": METRICS_MEDIA_TYPE})
