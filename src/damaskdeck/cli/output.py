"""Output of the command line as tables, JSON or YAML."""

import sys
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec
import yaml

Column = Callable[[dict[str, Any]], Any]


class Style(StrEnum):
    """How a document is printed."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


_columns: dict[str, dict[str, Column]] = {}


def columns(kind: str) -> Callable[[Callable[[], dict[str, Column]]], None]:
    """Register the table columns of a kind of resource."""

    def register(function: Callable[[], dict[str, Column]]) -> None:
        _columns[kind] = function()

    return register


def _spec(name: str) -> Column:
    return lambda item: item.get("spec", {}).get(name, "")


def _status(name: str) -> Column:
    return lambda item: item.get("status", {}).get(name, "")


@columns("team")
def list_team_columns() -> dict[str, Column]:
    """Return the columns of teams."""
    return {"QUOTA": lambda item: format_size(item["spec"].get("quota", {}))}


@columns("workload")
def list_workload_columns() -> dict[str, Column]:
    """Return the columns of workloads."""
    return {
        "TEAM": _spec("team"),
        "TYPE": _spec("type"),
        "URGENCY": _spec("urgency"),
        "TASKS": _spec("tasks"),
        "SIZE": lambda item: format_size(item["spec"].get("size", {})),
    }


@columns("policy")
def list_policy_columns() -> dict[str, Column]:
    """Return the columns of policies."""
    return {"DRAINED": lambda item: ",".join(item["spec"].get("drained", ()))}


@columns("job")
def list_job_columns() -> dict[str, Column]:
    """Return the columns of jobs."""
    return {
        "TEAM": _spec("team"),
        "WORKLOAD": _spec("workload"),
        "STATE": _status("state"),
        "CODE": _status("code"),
    }


@columns("task")
def list_task_columns() -> dict[str, Column]:
    """Return the columns of tasks."""
    return {
        "WORKER": _status("worker"),
        "STATE": _status("state"),
        "ATTEMPT": _status("attempt"),
    }


@columns("worker")
def list_worker_columns() -> dict[str, Column]:
    """Return the columns of workers."""
    return {
        "ZONE": _spec("zone"),
        "STATE": _status("state"),
        "OWNER": _status("owner"),
        "FREE": lambda item: format_size(item.get("status", {}).get("free", {})),
        "TASKS": _status("tasks"),
    }


@columns("target")
def list_target_columns() -> dict[str, Column]:
    """Return the columns of targets."""
    return {
        "SERVICE": _spec("service"),
        "ZONE": _spec("zone"),
        "STATE": _status("state"),
        "OWNER": _status("owner"),
        "SLOTS": _spec("slots"),
    }


def format_size(size: dict[str, Any]) -> str:
    """Return the short form of a size, for example ``2 cores 512 MiB``."""
    units = {"processors": "cores", "memory": "MiB", "accelerators": "accelerators"}
    parts = [f"{size[n]:g} {unit}" for n, unit in units.items() if size.get(n)]
    return " ".join(parts)


def print_document(document: Any, style: Style) -> None:
    """Print a resource, a list of resources or any other document."""
    if style is Style.JSON:
        print(msgspec.json.format(msgspec.json.encode(document), indent=2).decode())
    elif style is Style.YAML:
        print(yaml.safe_dump(document, sort_keys=False), end="")
    else:
        print_table(_list_items(document))


def print_table(items: list[dict[str, Any]]) -> None:
    """Print resources of one kind as a table with a heading line."""
    if not items:
        print("Nothing found.")
        return
    chosen = _columns.get(items[0]["kind"], {})
    rows = [["NAME", *chosen]]
    for item in items:
        cells = [column(item) for column in chosen.values()]
        rows.append([item["metadata"]["name"], *map(str, cells)])
    _print_cells(rows)


def print_rows(rows: list[dict[str, Any]]) -> None:
    """Print rows with the same keys as a table; the keys are its heading."""
    if not rows:
        print("Nothing found.")
        return
    _print_cells([[str(key) for key in rows[0]]] + [_format_row(row) for row in rows])


def _format_row(row: dict[str, Any]) -> list[str]:
    return [f"{v:g}" if isinstance(v, float) else str(v) for v in row.values()]


def _print_cells(rows: list[list[str]]) -> None:
    widths = [max(map(len, cells)) for cells in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_message(text: str) -> None:
    """Print progress or an error message to standard error."""
    print(text, file=sys.stderr, flush=True)


def print_problem(document: Any) -> None:
    """Print a problem body to standard error, with one line for each fault."""
    if not isinstance(document, dict):
        print_message(str(document))
        return
    fields = [document.get("code", ""), document.get("title", "")]
    if document.get("detail"):
        fields.append(document["detail"])
    print_message(": ".join(field for field in fields if field))
    for fault in document.get("faults", ()):
        print_message(f"  {fault['path']}: {fault['code']}: {fault['detail']}")


def _list_items(document: Any) -> list[dict[str, Any]]:
    if isinstance(document, dict) and document.get("kind") == "list":
        return document["items"]
    return [document]
