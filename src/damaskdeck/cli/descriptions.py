"""Descriptions of resources in sentences, registered by kind."""

from collections.abc import Callable, Iterator
from typing import Any

import yaml

from damaskdeck.cli.output import format_size

Description = Callable[[dict[str, Any]], Iterator[str]]

_descriptions: dict[str, Description] = {}


def description(kind: str) -> Callable[[Description], Description]:
    """Register the function that describes a kind of resource."""

    def register(function: Description) -> Description:
        _descriptions[kind] = function
        return function

    return register


def print_description(resource: dict[str, Any]) -> None:
    """Print the description of a resource, or its spec and status as YAML."""
    describe = _descriptions.get(resource["kind"], describe_as_yaml)
    print(f"{resource['kind']} {resource['metadata']['name']}")
    for line in describe(resource):
        print(f"  {line}")


def describe_as_yaml(resource: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of spec and status as YAML."""
    for part in ("spec", "status"):
        if resource.get(part):
            yield f"{part}:"
            text = yaml.safe_dump(resource[part], sort_keys=False)
            yield from (f"  {line}" for line in text.splitlines())


@description("job")
def describe_job(resource: dict[str, Any]) -> Iterator[str]:
    """Describe why a job waits, where it ran and why it was moved or refused."""
    spec, status = resource["spec"], resource["status"]
    yield f"of workload {spec['workload']}, team {spec['team']}"
    code = f" ({status['code']})" if status.get("code") else ""
    yield f"is {status['state']}{code}"
    yield from status.get("reasons", ())
    workers = status.get("workers", ())
    for task, worker in zip(status.get("tasks", ()), workers, strict=False):
        yield f"task {task}: {f'on {worker}' if worker else 'not placed'}"


@description("worker")
def describe_worker(resource: dict[str, Any]) -> Iterator[str]:
    """Describe a worker's capacity and its usage as declared and as observed."""
    spec, status = resource["spec"], resource["status"]
    yield f"in zone {spec['zone']}, rack {spec.get('rack') or 'unknown'}"
    yield f"is {status['state']}, owned by {status.get('owner', 'nobody')}"
    yield f"holds {format_size(spec['size'])}"
    yield f"free for new tasks: {format_size(status.get('free', {})) or 'nothing'}"
    if status.get("observed"):
        yield f"observed in use: {format_size(status['observed'])}"
    if status.get("closed"):
        yield f"takes no new tasks: {status['closed']}"
