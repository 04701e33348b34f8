"""Routes of observed resources, which are not declared: tasks, workers, targets."""

from starlette.responses import Response

from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.transport.api.answers import (
    read_flag,
    read_selector,
    render_page,
    render_resource,
)
from damaskdeck.transport.api.credentials import Role
from damaskdeck.transport.api.polls import stream_changes
from damaskdeck.transport.api.problems import ProblemError, make_problem
from damaskdeck.transport.api.routes import Call, route
from damaskdeck.transport.api.streams import LineStream

PLURALS = {"tasks": Kind.TASK, "workers": Kind.WORKER, "targets": Kind.TARGET}


def register_kind(plural: str, kind: Kind) -> None:
    """Register the routes of a kind of observed resource."""
    parameters = ("watch", "selector", "limit", "continue")

    @route("GET", f"/v1/{plural}", Role.OPERATOR, parameters=parameters)
    async def list_kind(call: Call) -> Response:
        """List observed resources of a kind, or watch them."""
        if read_flag(call, "watch"):
            return _watch(call, kind)
        return render_page(call, await _read(call, kind), 0)

    @route("GET", f"/v1/{plural}/{{name}}", Role.OPERATOR, parameters=("watch",))
    async def get_resource(call: Call) -> Response:
        """Read an observed resource, or watch it."""
        name = call.path("name")
        if read_flag(call, "watch"):
            return _watch(call, kind, name)
        for resource in await _read(call, kind):
            if resource["metadata"]["name"] == name:
                return render_resource(resource)
        raise ProblemError("no_such_resource", f"{kind} {name!r}")


async def _read(call: Call, kind: Kind) -> list[Resource]:
    found = await call.context.resources.list_resources(kind)
    if isinstance(found, Refused):
        raise make_problem(found)
    return sorted(found, key=lambda resource: resource["metadata"]["name"])


def _watch(call: Call, kind: Kind, name: str = "") -> LineStream:
    context, select = call.context, read_selector(call)
    lines = stream_changes(context.pollers[kind], context.clock, select, name)
    return LineStream(lines, context)


for _plural, _kind in PLURALS.items():
    register_kind(_plural, _kind)
