"""Routes of declared resources: teams, workloads and policies."""

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
PATCH_MEDIA_TYPE = "application/merge-patch+json"
MAX_PATCH_ATTEMPTS = 5
WATCH_PARAMETERS = ("watch", "revision", "selector")


def register_kind(plural: str, kind: Kind) -> None:
    """Register the routes of a kind of declared resource."""
    list_path, item_path = f"/v1/{plural}", f"/v1/{plural}/{{name}}"

    @route(
        "GET",
        list_path,
        Role.OPERATOR,
        parameters=(*WATCH_PARAMETERS, "limit", "continue"),
    )
    async def list_kind(call: Call) -> Response:
        """List resources of a kind, or watch them."""
        return list_declared(call, kind)

    @route("GET", item_path, Role.OPERATOR, parameters=("watch", "revision"))
    async def get_resource(call: Call) -> Response:
        """Read a resource, or watch it."""
        return get_declared(call, kind)

    answers = {200: "Replaced", 201: "Created"}
    conditions = ("If-Match", "If-None-Match")

    @route(
        "PUT",
        item_path,
        Role.OPERATOR,
        parameters=conditions,
        body=kind,
        answers=answers,
    )
    async def put_resource(call: Call) -> Response:
        """Create or replace a resource."""
        return await put_declared(call, kind)

    @route(
        "PATCH", item_path, Role.OPERATOR, parameters=("If-Match",), body="MergePatch"
    )
    async def patch_resource(call: Call) -> Response:
        """Change a resource by a merge patch (RFC 7396)."""
        return await patch_declared(call, kind)

    @route("DELETE", item_path, Role.OPERATOR, parameters=("If-Match",))
    async def delete_resource(call: Call) -> Response:
        """Delete a resource."""
        return await delete_declared(call, kind)


def list_declared(call: Call, kind: Kind) -> Response:
    """Answer with the resources of a kind, or watch them."""
    configuration = call.context.configuration
    require_loaded(call)
    if read_flag(call, "watch"):
        after = read_number(call, "revision", configuration.revision)
        return watch_configuration(call.context, kind, after, read_selector(call))
    return render_page(call, configuration.list(kind), configuration.revision)


def get_declared(call: Call, kind: Kind) -> Response:
    """Answer with a resource, or watch it."""
    require_loaded(call)
    name = call.path("name")
    if read_flag(call, "watch"):
        after = read_number(call, "revision", call.context.configuration.revision)
        select = read_selector(call)
        return watch_configuration(call.context, kind, after, select, name)
    return render_resource(_get_or_raise(call, kind, name))


async def put_declared(call: Call, kind: Kind) -> Response:
    """Create or replace a resource.

    A revision in the body is a condition like ``If-Match`` when the call has none.
    """
    require_loaded(call)
    resource = await call.read_json()
    expected = _read_condition(call)
    if expected is None:
        expected = _read_body_revision(resource)
    resource = _normalize_resource(resource, kind, call.path("name"))
    result = await call.context.relay.put(kind, resource, expected)
    return _render_result(call, result)


async def patch_declared(call: Call, kind: Kind) -> Response:
    """Apply a merge patch to a resource.

    Without ``If-Match``, the patch is applied again to the new state when another write
    came first.
    """
    require_loaded(call)
    if call.header("content-type").partition(";")[0].strip() != PATCH_MEDIA_TYPE:
        raise ProblemError("unsupported_media_type", f"must be {PATCH_MEDIA_TYPE}")
    name, patch = call.path("name"), await call.read_json()
    expected = _read_condition(call)
    current = _get_or_raise(call, kind, name)
    for _ in range(MAX_PATCH_ATTEMPTS):
        resource = _normalize_resource(apply_merge_patch(current, patch), kind, name)
        compared = expected or current["metadata"]["revision"]
        result = await call.context.relay.put(kind, resource, compared)
        if not isinstance(result, Outdated) or expected or result.current is None:
            break
        current = result.current
    return _render_result(call, result)


async def delete_declared(call: Call, kind: Kind) -> Response:
    """Delete a resource."""
    require_loaded(call)
    name = call.path("name")
    result = await call.context.relay.delete(kind, name, _read_condition(call))
    return _render_result(call, result)


def apply_merge_patch(document: Any, patch: Any) -> Any:
    """Return a document with a merge patch (RFC 7396) applied, without changing it."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = apply_merge_patch(merged.get(name), value)
    return merged


def _get_or_raise(call: Call, kind: Kind, name: str) -> Resource:
    resource = call.context.configuration.get(kind, name)
    if resource is None:
        raise ProblemError("no_such_resource", f"{kind} {name!r}")
    return resource


def _read_condition(call: Call) -> int | None:
    """Return the revision that the call's headers expect.

    :return: 0 when the resource must not exist, ``None`` without a condition.
    :raises ProblemError: ``bad_header``.
    """
    if call.header("if-none-match"):
        if call.header("if-none-match") != "*" or call.header("if-match"):
            raise ProblemError(
                "bad_header", "If-None-Match: must be * and the only condition"
            )
        return 0
    text = call.header("if-match")
    if text in ("", "*"):
        return None
    revision = parse_number(text.strip('"'))
    if not revision:
        raise ProblemError("bad_header", "If-Match: must be a revision")
    return revision


def _read_body_revision(resource: Any) -> int | None:
    """Return the revision in a body, which an operator got from an earlier read."""
    metadata = resource.get("metadata") if isinstance(resource, dict) else None
    revision = metadata.get("revision") if isinstance(metadata, dict) else None
    return revision if isinstance(revision, int) and revision > 0 else None


def _normalize_resource(resource: Any, kind: Kind, name: str) -> Any:
    """Return a resource with the kind and name that the path gives.

    Status and revision are removed, because only the system sets them. A body that is
    not an object is returned unchanged; the validation reports it.

    :raises ProblemError: ``bad_parameter`` when the body has another name.
    """
    if not isinstance(resource, dict):
        return resource
    normalized = {"kind": kind.value, **resource}
    normalized.pop("status", None)
    metadata = normalized.get("metadata", {})
    if not isinstance(metadata, dict):
        return normalized
    if metadata.get("name", name) != name:
        raise ProblemError("bad_parameter", "the body names another resource")
    remaining = {key: value for key, value in metadata.items() if key != "revision"}
    normalized["metadata"] = {"name": name, **remaining}
    return normalized


def _render_result(
    call: Call,
    result: Declared | Deleted | Outdated | Absent | Invalid | Refused | Unknown,
) -> Response:
    """Return the answer to a write.

    :raises ProblemError: when the write was not done.
    """
    if isinstance(result, Declared):
        return render_resource(result.resource, 201 if result.is_new else 200)
    if isinstance(result, Deleted):
        metadata = {"name": result.name, "revision": result.revision}
        return render_json({"kind": result.kind.value, "metadata": metadata})
    if isinstance(result, Absent):
        raise ProblemError("no_such_resource", f"{result.kind} {result.name!r}")
    if isinstance(result, Invalid):
        is_used = all(fault.code == "in_use" for fault in result.faults)
        code = "in_use" if is_used else "invalid_resource"
        raise ProblemError(code, faults=result.faults)
    if isinstance(result, Outdated):
        raise _build_conflict(call, result)
    raise make_problem(result)


def _build_conflict(call: Call, result: Outdated) -> ProblemError:
    revision = result.current["metadata"]["revision"] if result.current else 0
    has_condition = call.header("if-match") or call.header("if-none-match")
    code = "precondition_failed" if has_condition else "conflict"
    return ProblemError(code, f"the current revision is {revision}", revision=revision)


for _plural, _kind in PLURALS.items():
    register_kind(_plural, _kind)
