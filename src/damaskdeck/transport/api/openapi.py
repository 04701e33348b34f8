"""The OpenAPI description of the API, generated from the registered routes."""

from functools import cache
from typing import Any

import msgspec
from starlette.responses import Response

from damaskdeck import __version__
from damaskdeck.protocol.resources import (
    Kind,
    PolicySpec,
    Resource,
    TeamSpec,
    WorkloadSpec,
)
from damaskdeck.transport.api.answers import render_json
from damaskdeck.transport.api.problems import CODES, PROBLEM_TYPE
from damaskdeck.transport.api.routes import ROUTES, Call, Route, route

PARAMETERS = {
    "watch": "true: stream changes as JSON lines",
    "revision": "the revision to watch after, or to ask about",
    "selector": "labels, as in app=maps,tier!=test,owner,!old",
    "limit": "length of a page",
    "continue": "where the page starts, from the page before",
    "team": "only jobs of this team",
    "If-Match": "the resource's revision, as in its ETag",
    "If-None-Match": "*: only create",
    "Idempotency-Key": "a repeat with the same key gets the first one's outcome",
    "Request-Timeout": "seconds until the caller's deadline",
    "Urgency": "urgent, high, normal or low",
    "Idempotent": "true: the request may be repeated",
}
SCHEMA_REFERENCE = "#/components/schemas/{name}"


@route("GET", "/openapi.json")
async def get_description(call: Call) -> Response:
    """Describe this API."""
    return render_json(describe_api())


@cache
def describe_api() -> dict[str, Any]:
    """Return the OpenAPI description of all registered routes."""
    paths: dict[str, dict[str, Any]] = {}
    for entry in ROUTES:
        paths.setdefault(entry.path, {})[entry.method.lower()] = _describe(entry)
    security = {"bearer": {"type": "http", "scheme": "bearer"}}
    return {
        "openapi": "3.1.0",
        "info": {"title": "damaskdeck", "version": __version__},
        "paths": paths,
        "components": {"schemas": _make_schemas(), "securitySchemes": security},
    }


def _describe(entry: Route) -> dict[str, Any]:
    described: dict[str, Any] = {
        "summary": entry.summary,
        "parameters": _describe_parameters(entry),
        "responses": _describe_answers(entry),
    }
    if entry.roles:
        described["security"] = [{"bearer": []}]
        described["x-roles"] = [role.value for role in entry.roles]
    if entry.body:
        described["requestBody"] = {"required": True, "content": _describe_body(entry)}
    return described


def _describe_parameters(entry: Route) -> list[dict[str, Any]]:
    string_schema = {"type": "string"}
    described: list[dict[str, Any]] = []
    if "{name}" in entry.path:
        described.append(
            {"name": "name", "in": "path", "required": True, "schema": string_schema}
        )
    for name in entry.parameters:
        # Names of headers begin with a capital letter, those of parameters do not.
        location = "header" if name[0].isupper() else "query"
        description = PARAMETERS[name]
        described.append(
            {
                "name": name,
                "in": location,
                "description": description,
                "schema": string_schema,
            }
        )
    return described


def _describe_answers(entry: Route) -> dict[str, Any]:
    answers: dict[str, Any] = {
        str(status): {"description": text} for status, text in entry.answers.items()
    }
    schema = {"$ref": SCHEMA_REFERENCE.format(name="Problem")}
    answers["default"] = {
        "description": "A problem; see its code",
        "content": {PROBLEM_TYPE: {"schema": schema}},
    }
    return answers


def _describe_body(entry: Route) -> dict[str, Any]:
    if entry.body == "Payload":
        return {"*/*": {}}
    if entry.body == "MergePatch":
        return {"application/merge-patch+json": {"schema": {"type": "object"}}}
    schema = {"$ref": SCHEMA_REFERENCE.format(name=entry.body.capitalize())}
    return {"application/json": {"schema": schema}}


def _make_schemas() -> dict[str, Any]:
    specs = {Kind.TEAM: TeamSpec, Kind.WORKLOAD: WorkloadSpec, Kind.POLICY: PolicySpec}
    _, schemas = msgspec.json.schema_components(
        [Resource, *specs.values()], ref_template=SCHEMA_REFERENCE
    )
    for kind, spec in specs.items():
        declared = dict(schemas["Resource"])
        reference = {"$ref": SCHEMA_REFERENCE.format(name=spec.__name__)}
        declared["properties"] = {**declared["properties"], "spec": reference}
        schemas[kind.capitalize()] = declared | {"required": ["spec"]}
    schemas["Problem"] = _make_problem_schema()
    return schemas


def _make_problem_schema() -> dict[str, Any]:
    string_schema = {"type": "string"}
    outcomes = ["failed", "refused", "unknown"]
    return {
        "type": "object",
        "required": ["type", "title", "status", "code", "outcome"],
        "properties": {
            "type": string_schema,
            "title": string_schema,
            "status": {"type": "integer"},
            "code": {"type": "string", "examples": sorted(CODES)},
            "detail": string_schema,
            "outcome": {"enum": outcomes},
            "revision": {"type": "integer"},
            "faults": {"type": "array", "items": {"type": "object"}},
        },
    }
