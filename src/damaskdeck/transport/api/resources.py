"""Declared resources: teams, workloads and policies."""

from typing import Any

from starlette.responses import Response

from damaskdeck.coordination.configuration.writes import (
    Absent,
    Declared,
    Deleted,
    Invalid,
    Outdated,
)
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.transport.api.answers import (
    parse_number,
    read_flag,
    read_number,
    read_selector,
    render_json,
    render_page,
    render_resource,
)
from damaskdeck.transport.api.credentials import Role
from damaskdeck.transport.api.problems import ProblemError, make_problem
from damaskdeck.transport.api.routes import Call, require_loaded, route
from damaskdeck.transport.api.streams import watch_configuration

PLURALS = {
    "teams": Kind.TEAM,
    "workloads": Kind.WORKLOAD,
    "policies": Kind.POLICY,
}
PATCH_TYPE = "application/merge-patch+json"
PATCH_ATTEMPTS = 5
WATCHED = ("watch", "revision", "selector")


def register_kind(plural: str, kind: Kind) -> None:
    """Register the routes of one declared kind."""
    many, one = f"/v1/{plural}", f"/v1/{plural}/{{name}}"

    @route("GET", many, Role.OPERATOR, parameters=(*WATCHED, "limit", "continue"))
    async def list_kind(call: Call) -> Response:
        """List resources of a kind, or watch them."""
        return list_declared(call, kind)

    @route("GET", one, Role.OPERATOR, parameters=("watch", "revision"))
    async def get_one(call: Call) -> Response:
        """Read a resource, or watch it."""
        return get_declared(call, kind)

    answers = {200: "Replaced", 201: "Created"}
    conditions = ("If-Match", "If-None-Match")

    @route("PUT", one, Role.OPERATOR, parameters=conditions, body=kind, answers=answers)
    async def put_one(call: Call) -> Response:
        """Create or replace a resource."""
        return await put_declared(call, kind)

    @route("PATCH", one, Role.OPERATOR, parameters=("If-Match",), body="MergePatch")
    async def patch_one(call: Call) -> Response:
        """Change a resource by a merge patch (RFC 7396)."""
        return await patch_declared(call, kind)

    @route("DELETE", one, Role.OPERATOR, parameters=("If-Match",))
    async def delete_one(call: Call) -> Response:
        """Delete a resource."""
        return await delete_declared(call, kind)


def list_declared(call: Call, kind: Kind) -> Response:
    """List or watch the resources of a kind."""
    configuration = call.context.configuration
    require_loaded(call)
    if read_flag(call, "watch"):
        after = read_number(call, "revision", configuration.revision)
        return watch_configuration(call.context, kind, after, read_selector(call))
    return render_page(call, configuration.list(kind), configuration.revision)


def get_declared(call: Call, kind: Kind) -> Response:
    """Read or watch a resource."""
    require_loaded(call)
    name = call.path("name")
    if read_flag(call, "watch"):
        after = read_number(call, "revision", call.context.configuration.revision)
        select = read_selector(call)
        return watch_configuration(call.context, kind, after, select, name)
    return render_resource(_find(call, kind, name))


async def put_declared(call: Call, kind: Kind) -> Response:
    """Create or replace a resource."""
    require_loaded(call)
    resource = await call.read_json()
    expected = _read_condition(call)
    if expected is None:
        expected = _read_own_revision(resource)
    resource = _name_resource(resource, kind, call.path("name"))
    done = await call.context.relay.put(kind, resource, expected)
    return _render_written(call, done)


async def patch_declared(call: Call, kind: Kind) -> Response:
    """Apply a merge patch to a resource.

    Without ``If-Match`` the patch is applied again when another write came
    first.
    """
    require_loaded(call)
    if call.header("content-type").partition(";")[0].strip() != PATCH_TYPE:
        raise ProblemError("unsupported_media_type", f"must be {PATCH_TYPE}")
    name, patch = call.path("name"), await call.read_json()
    expected = _read_condition(call)
    current = _find(call, kind, name)
    for _ in range(PATCH_ATTEMPTS):
        resource = _name_resource(merge(current, patch), kind, name)
        compared = expected or current["metadata"]["revision"]
        done = await call.context.relay.put(kind, resource, compared)
        if not isinstance(done, Outdated) or expected or done.current is None:
            break
        current = done.current
    return _render_written(call, done)


async def delete_declared(call: Call, kind: Kind) -> Response:
    """Delete a resource."""
    require_loaded(call)
    name = call.path("name")
    done = await call.context.relay.delete(kind, name, _read_condition(call))
    return _render_written(call, done)


def merge(document: Any, patch: Any) -> Any:
    """Apply a merge patch (RFC 7396); the document is left as it is."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), value)
    return merged


def _find(call: Call, kind: Kind, name: str) -> Resource:
    resource = call.context.configuration.get(kind, name)
    if resource is None:
        raise ProblemError("no_such_resource", f"{kind} {name!r}")
    return resource


def _read_condition(call: Call) -> int | None:
    """Return the revision that the call expects, 0 for none, ``None`` for any."""
    if call.header("if-none-match"):
        if call.header("if-none-match") != "*" or call.header("if-match"):
            raise ProblemError("bad_header", "If-None-Match: only * and alone")
        return 0
    text = call.header("if-match")
    if text in ("", "*"):
        return None
    revision = parse_number(text.strip('"'))
    if not revision:
        raise ProblemError("bad_header", "If-Match: must be a revision")
    return revision


def _read_own_revision(resource: Any) -> int | None:
    """Return the revision in a body, which an operator has read before."""
    metadata = resource.get("metadata") if isinstance(resource, dict) else None
    revision = metadata.get("revision") if isinstance(metadata, dict) else None
    return revision if isinstance(revision, int) and revision > 0 else None


def _name_resource(resource: Any, kind: Kind, name: str) -> Any:
    """Fill in what the path says and drop what only the system tells."""
    if not isinstance(resource, dict):
        return resource
    named = {"kind": kind.value, **resource}
    named.pop("status", None)
    metadata = named.get("metadata", {})
    if not isinstance(metadata, dict):
        return named
    if metadata.get("name", name) != name:
        raise ProblemError("bad_parameter", "the body names another resource")
    kept = {key: value for key, value in metadata.items() if key != "revision"}
    named["metadata"] = {"name": name, **kept}
    return named


def _render_written(
    call: Call,
    done: Declared | Deleted | Outdated | Absent | Invalid | Refused | Unknown,
) -> Response:
    if isinstance(done, Declared):
        return render_resource(done.resource, 201 if done.is_new else 200)
    if isinstance(done, Deleted):
        metadata = {"name": done.name, "revision": done.revision}
        return render_json({"kind": done.kind.value, "metadata": metadata})
    if isinstance(done, Absent):
        raise ProblemError("no_such_resource", f"{done.kind} {done.name!r}")
    if isinstance(done, Invalid):
        is_used = all(fault.code == "in_use" for fault in done.faults)
        code = "in_use" if is_used else "invalid_resource"
        raise ProblemError(code, faults=done.faults)
    if isinstance(done, Outdated):
        raise _describe_race(call, done)
    raise make_problem(done)


def _describe_race(call: Call, done: Outdated) -> ProblemError:
    revision = done.current["metadata"]["revision"] if done.current else 0
    has_condition = call.header("if-match") or call.header("if-none-match")
    code = "precondition_failed" if has_condition else "conflict"
    return ProblemError(code, f"its revision is {revision}", revision=revision)


for _plural, _kind in PLURALS.items():
    register_kind(_plural, _kind)
