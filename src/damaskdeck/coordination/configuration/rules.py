"""Validation rules for declared resources, registered by decorators."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from damaskdeck import defaults
from damaskdeck.errors import Fault
from damaskdeck.protocol.checks import find_faults
from damaskdeck.protocol.handlers import ConfigurationReader
from damaskdeck.protocol.resources import (
    Kind,
    Resource,
    parse_size,
)
from damaskdeck.protocol.sizes import ZERO_SIZE, find_exceeded_dimension
from damaskdeck.state.versions import SPEC_TYPES

Rule = Callable[[Resource, ConfigurationReader], Iterable[Fault]]

_write_rules: dict[Kind, list[Rule]] = {kind: [] for kind in SPEC_TYPES}
_delete_rules: dict[Kind, list[Rule]] = {kind: [] for kind in SPEC_TYPES}


def write_rule(*kinds: Kind) -> Callable[[Rule], Rule]:
    """Register a check for writes; it gets only specs with valid types."""

    def register(check: Rule) -> Rule:
        for kind in kinds:
            _write_rules[kind].append(check)
        return check

    return register


def delete_rule(*kinds: Kind) -> Callable[[Rule], Rule]:
    """Register a check for deletions."""

    def register(check: Rule) -> Rule:
        for kind in kinds:
            _delete_rules[kind].append(check)
        return check

    return register


def check_write(
    kind: Kind, resource: Any, configuration: ConfigurationReader
) -> tuple[Fault, ...]:
    """Return all faults of a resource that an operator declares."""
    faults = find_faults(resource, Resource)
    if not isinstance(resource, dict):
        return faults
    faults += find_faults(resource.get("spec"), SPEC_TYPES[kind], "spec")
    if resource.get("kind") != kind:
        faults += (Fault("kind", "wrong_kind", f"must be {kind}"),)
    if faults:
        return faults
    return _collect(_write_rules[kind], resource, configuration)


def check_delete(
    resource: Resource, configuration: ConfigurationReader
) -> tuple[Fault, ...]:
    """Return the faults that prevent the deletion of a resource."""
    return _collect(_delete_rules[Kind(resource["kind"])], resource, configuration)


def _collect(
    rules: list[Rule], resource: Resource, configuration: ConfigurationReader
) -> tuple[Fault, ...]:
    return tuple(f for check in rules for f in check(resource, configuration))


@write_rule(Kind.TEAM, Kind.WORKLOAD, Kind.POLICY)
def check_length(resource: Resource, _: ConfigurationReader) -> Iterator[Fault]:
    """Limit the size, as every daemon keeps the resource in memory."""
    size = len(msgspec.json.encode(resource))
    if size > defaults.MAX_RESOURCE_BYTES:
        detail = f"{size} bytes, at most {defaults.MAX_RESOURCE_BYTES}"
        yield Fault("$", "too_large", detail)


@write_rule(Kind.WORKLOAD)
def check_team(
    resource: Resource, configuration: ConfigurationReader
) -> Iterator[Fault]:
    """Require that the workload's team exists."""
    team = resource["spec"]["team"]
    if configuration.get(Kind.TEAM, team) is None:
        yield Fault("spec.team", "no_such_team", f"team {team!r} is not declared")


@write_rule(Kind.WORKLOAD)
def check_gang(resource: Resource, _: ConfigurationReader) -> Iterator[Fault]:
    """Require that a gang declares how many tasks run together."""
    spec = resource["spec"]
    if spec["type"] == "gang" and "tasks" not in spec:
        yield Fault("spec.tasks", "missing_field", "a gang must declare its tasks")


@write_rule(Kind.WORKLOAD)
def check_size(resource: Resource, _: ConfigurationReader) -> Iterator[Fault]:
    """Require a size: work without one can't be kept within an instance's capacity."""
    if parse_size(resource["spec"]["size"]) == ZERO_SIZE:
        yield Fault("spec.size", "empty_size", "at least one dimension must be set")


@write_rule(Kind.WORKLOAD)
def check_quota(
    resource: Resource, configuration: ConfigurationReader
) -> Iterator[Fault]:
    """Reject a task whose size alone exceeds its team's quota."""
    spec = resource["spec"]
    team = configuration.get(Kind.TEAM, spec["team"])
    if team is None:
        return
    need, quota = parse_size(spec["size"]), parse_size(team["spec"]["quota"])
    short = find_exceeded_dimension(need, quota)
    if short:
        yield Fault("spec.size", "above_quota", f"one task exceeds the quota: {short}")


@write_rule(Kind.WORKLOAD)
def check_zones(resource: Resource, _: ConfigurationReader) -> Iterator[Fault]:
    """Reject a zone that is listed twice."""
    zones = resource["spec"].get("zones", [])
    if len(set(zones)) < len(zones):
        yield Fault("spec.zones", "repeated", "each zone may be listed once")


@write_rule(Kind.POLICY)
def check_weights(resource: Resource, _: ConfigurationReader) -> Iterator[Fault]:
    """Reject weights of unknown scores."""
    for name in resource["spec"].get("weights", {}):
        if name not in defaults.WEIGHTS:
            allowed = ", ".join(sorted(defaults.WEIGHTS))
            yield Fault(f"spec.weights.{name}", "unknown_field", f"allowed: {allowed}")


@delete_rule(Kind.TEAM)
def check_workloads(
    resource: Resource, configuration: ConfigurationReader
) -> Iterator[Fault]:
    """Reject the deletion of a team that has workloads."""
    name = resource["metadata"]["name"]
    for workload in configuration.list(Kind.WORKLOAD):
        if workload["spec"]["team"] == name:
            used = workload["metadata"]["name"]
            yield Fault("$", "in_use", f"workload {used!r} belongs to it")
            return
