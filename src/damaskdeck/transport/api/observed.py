"""Observed resources, which nobody declares: tasks, workers and targets."""

from starlette.responses import Response

from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.resources import Kind
from damaskdeck.transport.api.answers import read_flag, render_page, render_resource
from damaskdeck.transport.api.credentials import Role
from damaskdeck.transport.api.problems import ProblemError, make_problem
from damaskdeck.transport.api.routes import Call, route

PLURALS = {"tasks": Kind.TASK, "workers": Kind.WORKER, "targets": Kind.TARGET}


def register_kind(plural: str, kind: Kind) -> None:
    """Register the routes of one observed kind."""
    parameters = ("selector", "limit", "continue")

    @route("GET", f"/v1/{plural}", Role.OPERATOR, parameters=parameters)
    async def list_kind(call: Call) -> Response:
        """List observed resources of a kind."""
        if read_flag(call, "watch"):
            raise ProblemError("bad_parameter", "watch: not for observed resources")
        found = await call.context.resources.list_resources(kind)
        if isinstance(found, Refused):
            raise make_problem(found)
        ordered = sorted(found, key=lambda resource: resource["metadata"]["name"])
        return render_page(call, ordered, 0)

    @route("GET", f"/v1/{plural}/{{name}}", Role.OPERATOR)
    async def get_one(call: Call) -> Response:
        """Read an observed resource."""
        found = await call.context.resources.list_resources(kind)
        if isinstance(found, Refused):
            raise make_problem(found)
        name = call.path("name")
        for resource in found:
            if resource["metadata"]["name"] == name:
                return render_resource(resource)
        raise ProblemError("no_such_resource", f"{kind} {name!r}")


for _plural, _kind in PLURALS.items():
    register_kind(_plural, _kind)
