"""Writes the tables of docs/CAPACITY.md from the committed docs/capacity.json."""

import json
import math
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from benchmarks import sizing
from benchmarks.sizing import Cost, Roles, Scale, Slopes

DOCS = Path(__file__).parents[1] / "docs"
FIGURES = DOCS / "capacity.json"
PAGE = DOCS / "CAPACITY.md"

PROCESSOR_BUDGET_MS = 10.0
MEMORY_BUDGET_MB = 32.0
BYTES_BUDGET_PER_SECOND = 23_000.0
MAX_WRITES_PER_SECOND = 300
MAX_READS_PER_SECOND = 2000

MIN_FIXED_POINT = 1e-3

TableWriter = Callable[[Slopes], str]

_writers: dict[str, TableWriter] = {}
_MARKED_TABLE = re.compile(r"(<!-- begin (\w+) -->\n).*?(<!-- end \2 -->)", re.DOTALL)

_STATE_BY_ROLE = {
    "peer": "members and their reports; the platform's list; owners of all things",
    "workers": "a session, a connection and an account for each worker",
    "tasks": "each task's order, attempt and lease",
    "starts": "holds of 10 s and orders on their way",
    "kept_tasks": "the table of jobs and tasks; the log's tail",
    "kept_starts": "the queue, quotas and shares, picks on their way",
    "watcher": "all declared resources and 2,000 changes of history",
    "follower": "all declared resources and 2,000 changes of history",
    "writer": "the same; a write on its way",
}
_MECHANISM_BY_ROLE = {
    "peer": "heartbeats in the zone, two links for each pair of zones, one lease",
    "workers": "a long poll on each worker; a bounded summary in the heartbeat",
    "tasks": "one renewal for all tasks of a worker each 4 s",
    "starts": "batched reservations and starts; one call to the worker for each start",
    "kept_tasks": "log and snapshots in the store; doubts settled by owners",
    "kept_starts": "passes over the queue, group commit, batches to owners",
    "watcher": "one waiting watch; relays to its zone",
    "follower": "applies what is relayed if its revision is higher",
    "writer": "one write by compare-and-swap; tells all daemons of it",
}


def register_table(name: str) -> Callable[[TableWriter], TableWriter]:
    """Register a function as the writer of a table of the page."""

    def register(writer: TableWriter) -> TableWriter:
        _writers[name] = writer
        return writer

    return register


def write_page() -> None:
    """Replace each marked table of the page by one from the committed figures."""
    PAGE.write_text(fill_page(PAGE.read_text(), read_slopes()))


def read_slopes() -> Slopes:
    """Read the committed figures."""
    return Slopes(json.loads(FIGURES.read_text()))


def fill_page(text: str, slopes: Slopes) -> str:
    """Return the text of the page with all tables written again."""

    def replace(match: re.Match[str]) -> str:
        return match[1] + _writers[match[2]](slopes) + match[3]

    return _MARKED_TABLE.sub(replace, text)


def list_tables() -> list[str]:
    """List the names of all tables."""
    return sorted(_writers)


def show(value: float, digits: int = 3) -> str:
    """Format a number with ``digits`` significant digits; keep all before the point."""
    if not value:
        return "0"
    if abs(value) < MIN_FIXED_POINT:
        return f"{value:.1e}"
    decimals = digits - 1 - math.floor(math.log10(abs(value)))
    return f"{value:,.{max(0, decimals)}f}"


def format_table(header: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    """Return a table in Markdown."""
    names = list(header)
    lines = [names, ["---"] * len(names), *rows]
    return "".join("| " + " | ".join(map(_format_cell, row)) + " |\n" for row in lines)


def _format_cell(value: Any) -> str:
    return show(value) if isinstance(value, float) else str(value)


_COST_HEADER = (
    "processor, % of a core",
    "memory, MB",
    "messages/s",
    "peers B/s",
    "platform B/s",
    "workers B/s",
)


def _list_cost(cost: Cost) -> list[float]:
    return [
        cost.processor / 10,
        cost.memory,
        cost.messages,
        cost.peer_bytes,
        cost.platform_bytes,
        cost.worker_bytes,
    ]


@register_table("sizes")
def write_sizes(slopes: Slopes) -> str:
    """Write the assumed size and load of each deployment."""
    rows = [
        [s.name, s.zones, s.daemons, s.workers, s.tasks, s.starts, s.changes, s.ledgers]
        for s in sizing.SCALES
    ]
    header = ("deployment", "zones", "daemons", "workers", "tasks running")
    return format_table((*header, "starts/s", "changes a day", "ledgers"), rows)


def _write_roles(slopes: Slopes, scale: Scale) -> str:
    roles = sizing.compute_roles(slopes, scale)
    per_daemon, per_ledger = 1 / scale.daemons, 1 / scale.ledgers
    labels = {
        "peer": f"peer, idle: {scale.zones} zones",
        "workers": f"worker owner: {show(scale.workers * per_daemon)} workers",
        "tasks": f"worker owner: {show(scale.tasks * per_daemon)} tasks running",
        "starts": f"worker owner: {show(scale.starts * per_daemon)} starts/s",
        "kept_tasks": f"ledger keeper: {show(scale.tasks * per_ledger)} tasks",
        "kept_starts": f"ledger keeper: {show(scale.starts * per_ledger)} starts/s",
        "watcher": f"configuration watcher: {scale.changes:.0f} changes a day",
        "follower": f"configuration, others: {scale.changes:.0f} changes a day",
        "writer": f"entry of operators: all {scale.changes:.0f} changes a day",
    }
    rows = [
        [
            labels[name],
            _STATE_BY_ROLE[name],
            *_list_cost(getattr(roles, name)),
            _MECHANISM_BY_ROLE[name],
        ]
        for name in Roles._fields
    ]
    sums = [
        ["sum: owner of workers, idle", "", *_list_cost(roles.idle), ""],
        ["sum: owner of workers, peak", "", *_list_cost(roles.owner), ""],
        [
            "sum: owner that keeps a ledger, peak",
            "",
            *_list_cost(roles.ledger_owner),
            "",
        ],
    ]
    header = ("role and its load", "state", *_COST_HEADER, "carried by")
    return format_table(header, rows + sums)


@register_table("target")
def write_target(slopes: Slopes) -> str:
    """Write the costs of the roles at the target size."""
    return _write_roles(slopes, sizing.TARGET)


@register_table("nairobi")
def write_nairobi(slopes: Slopes) -> str:
    """Write the costs of the roles in today's deployment in Nairobi."""
    return _write_roles(slopes, sizing.NAIROBI)


@register_table("cordoba")
def write_cordoba(slopes: Slopes) -> str:
    """Write the costs of the roles in today's deployment in Córdoba."""
    return _write_roles(slopes, sizing.CORDOBA)


@register_table("requests")
def write_requests(slopes: Slopes) -> str:
    """Write the cost of a request, which isn't part of the control plane's cost."""
    rows = []
    for role in ("entry", "owner"):
        cost = slopes.compute_unit_cost("requests", role)
        label = "entry that forwards" if role == "entry" else "target owner"
        rows.append([label, cost.processor, cost.messages, cost.peer_bytes])
    header = ("for each request a second", "processor ms", "messages", "peers B")
    return format_table(header, rows)


@register_table("budget")
def write_budget(slopes: Slopes) -> str:
    """Write the costs of daemons against the budgets."""
    imports = slopes.figures["imports MB"]["daemon"]
    rows = []
    for scale in sizing.SCALES:
        roles = sizing.compute_roles(slopes, scale)
        for label, cost in (
            ("idle", roles.idle),
            ("peak", roles.owner),
            ("peak, keeps a ledger", roles.ledger_owner),
        ):
            control = cost.memory - imports
            rows.append(
                [
                    f"{scale.name}, {label}",
                    _show_against_budget(cost.processor / 10, PROCESSOR_BUDGET_MS / 10),
                    _show_against_budget(control, MEMORY_BUDGET_MB),
                    _show_against_budget(cost.memory, MEMORY_BUDGET_MB),
                    _show_against_budget(
                        cost.all_bytes / 1000, BYTES_BUDGET_PER_SECOND / 1000
                    ),
                ]
            )
    header = (
        "daemon",
        "processor, % of a core (1)",
        "memory beyond imports, MB (32)",
        "whole process, MB (32)",
        "KB/s (23)",
    )
    return format_table(header, rows)


def _show_against_budget(value: float, budget: float) -> str:
    if value <= budget:
        return show(value)
    return f"**{show(value)}**, over: {show(value / budget, 2)} times"


@register_table("imports")
def write_imports(slopes: Slopes) -> str:
    """Write the memory of a process after each import, in addition to earlier ones."""
    rows = []
    previous = 0.0
    for name, size in slopes.figures["imports MB"].items():
        rows.append([name, size, size - previous])
        previous = size
    header = ("a process that imports only", "resident MB", "more than the row before")
    return format_table(header, rows)


@register_table("store")
def write_store(slopes: Slopes) -> str:
    """Write the calls to the store against its limits."""
    rows = []
    for scale in sizing.SCALES:
        calls = sizing.count_store_calls(slopes, scale)
        rows.append(
            [
                scale.name,
                calls.renewals,
                calls.task_writes,
                calls.change_writes,
                _show_against_budget(calls.writes, MAX_WRITES_PER_SECOND),
                calls.refreshes,
                calls.waiting,
                _show_against_budget(calls.reads, MAX_READS_PER_SECOND),
            ]
        )
    header = (
        "calls a second",
        "lease renewals",
        "ledger writes",
        "configuration writes",
    )
    sums = (f"all writes ({MAX_WRITES_PER_SECOND})", "refreshes", "waiting watches")
    return format_table((*header, *sums, f"all reads ({MAX_READS_PER_SECOND})"), rows)


_SHOWN_FIGURES = (
    "processor ms",
    "resident MB",
    "peer_messages out",
    "peer_bytes in",
    "peer_bytes out",
    "platform bytes",
    "worker bytes",
    "store put",
    "store watch",
    "store renew_lease",
    "worker follow",
    "worker renew",
    "worker start",
    "worker acknowledge",
)


@register_table("slopes")
def write_slopes(slopes: Slopes) -> str:
    """Write the fitted lines of the figures that the page uses."""
    rows = []
    for name, line in slopes.figures["lines"].items():
        experiment, role, figure = name.split("/", 2)
        if figure not in _SHOWN_FIGURES:
            continue
        drivers = ", ".join(f"{x:g}" for x, _ in line["points"])
        fitted = [line["slope"], line["intercept"], line["residual"]]
        rows.append([experiment, role, figure, *map(float, fitted), drivers])
    header = ("experiment", "role", "figure", "slope", "intercept", "residual")
    return format_table((*header, "measured at"), rows)


@register_table("whole")
def write_whole(slopes: Slopes) -> str:
    """Compare the measured figures of a whole fleet with those that slopes predict."""
    rows = []
    for state, found in slopes.figures["whole"].items():
        if not isinstance(found, dict):
            continue
        predicted = _predict(slopes, found)
        for figure, value in (
            ("processor ms", predicted.processor),
            ("resident MB", predicted.memory),
            ("peer_messages out", predicted.messages),
            ("peer_bytes in", predicted.peer_bytes / 2),
            ("platform bytes", predicted.platform_bytes),
            ("worker bytes", predicted.worker_bytes),
        ):
            measured = found["figures"].get(figure, {"average": 0.0, "highest": 0.0})
            average, highest = float(measured["average"]), float(measured["highest"])
            rows.append([state, found["running"], figure, value, average, highest])
        share = float(found["benchmark's share of a core"])
        rows.append([state, found["running"], "benchmark's own cores", "", share, ""])
    header = ("state", "tasks running", "figure of a daemon", "worked out")
    return format_table((*header, "measured, average", "measured, highest"), rows)


def _predict(slopes: Slopes, found: dict[str, Any]) -> Cost:
    """Return the predicted cost of an average daemon of a measured fleet."""
    starts = found["figures"].get("task starts", {"average": 0.0})["average"]
    daemons = found["daemons"]
    scale = sizing.TARGET._replace(
        daemons=daemons, tasks=found["running"], starts=starts * daemons, changes=0
    )
    roles = sizing.compute_roles(slopes, scale)
    kept = roles.kept_tasks.plus(roles.kept_starts)
    return roles.owner.plus(kept.times(scale.ledgers / daemons))


@register_table("growth")
def write_growth(slopes: Slopes) -> str:
    """Write how messages and state grow when the fleet doubles."""
    rows = []
    for label, growth in sizing.list_growth(sizing.TARGET).items():
        total = "**workers x daemons**" if growth.is_product else ""
        rows.append([label, growth.law, *growth.amounts, total])
    header = ("what", "grows with", "target", "twice the zones", "twice in each zone")
    return format_table((*header, "over all daemons"), rows)


_FAILURE_COLUMNS = (
    "seconds",
    "tasks started",
    "peer messages",
    "peer KB",
    "store writes",
    "store reads",
    "overlaps",
)


@register_table("failures")
def write_failures(slopes: Slopes) -> str:
    """Write the measured effects of failures."""
    rows = []
    for label, found in slopes.figures["failures"]["scenes"].items():
        if "seconds" not in found:
            continue
        seconds = show(float(found["seconds"]))
        cells = [found[name] for name in _FAILURE_COLUMNS[1:]]
        rows.append([label, seconds if found["settled"] else "not settled", *cells])
    header = ("failure", "settled after, s", *_FAILURE_COLUMNS[1:-1])
    return format_table((*header, "tasks in two places"), rows)


@register_table("limit")
def write_limit(slopes: Slopes) -> str:
    """Write the figures of a store that refuses calls beyond a rate."""
    found = slopes.figures["failures"]["scenes"]
    limited_run = next(scene for scene in found.values() if "limit" in scene)
    without_limit, with_limit = limited_run["without limit"], limited_run["with limit"]
    rows = [
        [name, float(without_limit.get(name, 0)), float(with_limit.get(name, 0))]
        for name in sorted({*without_limit, *with_limit})
    ]
    header = (
        "a second, all daemons",
        "no limit",
        f"{limited_run['limit']} calls/s let in",
    )
    return format_table(header, rows)
