"""Writes the tables of docs/CAPACITY.md from the committed figures."""

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

PROCESSOR_BUDGET = 10.0
MEMORY_BUDGET = 32.0
BYTES_BUDGET = 23_000.0
WRITES_LIMIT = 300
READS_LIMIT = 2000

SMALLEST = 1e-3

Writer = Callable[[Slopes], str]

_writers: dict[str, Writer] = {}
_MARKED = re.compile(r"(<!-- begin (\w+) -->\n).*?(<!-- end \2 -->)", re.DOTALL)

_STATES = {
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
_MECHANISMS = {
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


def table(name: str) -> Callable[[Writer], Writer]:
    """Register what writes a table of the page."""

    def register(writer: Writer) -> Writer:
        _writers[name] = writer
        return writer

    return register


def write_page() -> None:
    """Replace each marked table of the page by one from the figures."""
    PAGE.write_text(fill_page(PAGE.read_text(), read_slopes()))


def read_slopes() -> Slopes:
    """Read the committed figures."""
    return Slopes(json.loads(FIGURES.read_text()))


def fill_page(text: str, slopes: Slopes) -> str:
    """Return the page with its tables worked out anew."""

    def replace(match: re.Match[str]) -> str:
        return match[1] + _writers[match[2]](slopes) + match[3]

    return _MARKED.sub(replace, text)


def list_tables() -> list[str]:
    """List the names of all tables."""
    return sorted(_writers)


def show(value: float, digits: int = 3) -> str:
    """Show a number with so many significant digits, more before the point."""
    if not value:
        return "0"
    if abs(value) < SMALLEST:
        return f"{value:.1e}"
    places = digits - 1 - math.floor(math.log10(abs(value)))
    return f"{value:,.{max(0, places)}f}"


def lay_out(head: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    """Return a table in Markdown."""
    names = list(head)
    lines = [names, ["---"] * len(names), *rows]
    return "".join("| " + " | ".join(map(_show_cell, row)) + " |\n" for row in lines)


def _show_cell(value: Any) -> str:
    return show(value) if isinstance(value, float) else str(value)


_COST_HEAD = (
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


@table("sizes")
def write_sizes(slopes: Slopes) -> str:
    """Write what is assumed of each deployment."""
    rows = [
        [s.name, s.zones, s.daemons, s.workers, s.tasks, s.starts, s.changes, s.ledgers]
        for s in sizing.SCALES
    ]
    head = ("deployment", "zones", "daemons", "workers", "tasks running")
    return lay_out((*head, "starts/s", "changes a day", "ledgers"), rows)


def _write_roles(slopes: Slopes, scale: Scale) -> str:
    roles = sizing.work_out(slopes, scale)
    each, kept = 1 / scale.daemons, 1 / scale.ledgers
    labels = {
        "peer": f"peer, idle: {scale.zones} zones",
        "workers": f"worker owner: {show(scale.workers * each)} workers",
        "tasks": f"worker owner: {show(scale.tasks * each)} tasks running",
        "starts": f"worker owner: {show(scale.starts * each)} starts/s",
        "kept_tasks": f"ledger keeper: {show(scale.tasks * kept)} tasks",
        "kept_starts": f"ledger keeper: {show(scale.starts * kept)} starts/s",
        "watcher": f"configuration watcher: {scale.changes:.0f} changes a day",
        "follower": f"configuration, others: {scale.changes:.0f} changes a day",
        "writer": f"entry of operators: all {scale.changes:.0f} changes a day",
    }
    rows = [
        [
            labels[name],
            _STATES[name],
            *_list_cost(getattr(roles, name)),
            _MECHANISMS[name],
        ]
        for name in Roles._fields
    ]
    sums = [
        ["sum: owner of workers, idle", "", *_list_cost(roles.idle), ""],
        ["sum: owner of workers, peak", "", *_list_cost(roles.owner), ""],
        ["sum: owner that keeps a ledger, peak", "", *_list_cost(roles.keeper), ""],
    ]
    head = ("role and its load", "state", *_COST_HEAD, "carried by")
    return lay_out(head, rows + sums)


@table("target")
def write_target(slopes: Slopes) -> str:
    """Write the roles at the target's size."""
    return _write_roles(slopes, sizing.TARGET)


@table("nairobi")
def write_nairobi(slopes: Slopes) -> str:
    """Write the roles in Nairobi today."""
    return _write_roles(slopes, sizing.NAIROBI)


@table("cordoba")
def write_cordoba(slopes: Slopes) -> str:
    """Write the roles in Córdoba today."""
    return _write_roles(slopes, sizing.CORDOBA)


@table("requests")
def write_requests(slopes: Slopes) -> str:
    """Write what a request costs; it isn't control."""
    rows = []
    for role in ("entry", "owner"):
        cost = slopes.measure_growth("requests", role)
        label = "entry that forwards" if role == "entry" else "target owner"
        rows.append([label, cost.processor, cost.messages, cost.peer_bytes])
    head = ("for each request a second", "processor ms", "messages", "peers B")
    return lay_out(head, rows)


@table("budget")
def write_budget(slopes: Slopes) -> str:
    """Write what is within the budget and what is over it."""
    imports = slopes.figures["imports MB"]["daemon"]
    rows = []
    for scale in sizing.SCALES:
        roles = sizing.work_out(slopes, scale)
        for label, cost in (
            ("idle", roles.idle),
            ("peak", roles.owner),
            ("peak, keeps a ledger", roles.keeper),
        ):
            control = cost.memory - imports
            rows.append(
                [
                    f"{scale.name}, {label}",
                    _judge(cost.processor / 10, PROCESSOR_BUDGET / 10),
                    _judge(control, MEMORY_BUDGET),
                    _judge(cost.memory, MEMORY_BUDGET),
                    _judge(cost.all_bytes / 1000, BYTES_BUDGET / 1000),
                ]
            )
    head = (
        "daemon",
        "processor, % of a core (1)",
        "memory beyond imports, MB (32)",
        "whole process, MB (32)",
        "KB/s (23)",
    )
    return lay_out(head, rows)


def _judge(value: float, budget: float) -> str:
    if value <= budget:
        return show(value)
    return f"**{show(value)}**, over: {show(value / budget, 2)} times"


@table("imports")
def write_imports(slopes: Slopes) -> str:
    """Write what imports alone take, each after those before it."""
    rows = []
    last = 0.0
    for name, size in slopes.figures["imports MB"].items():
        rows.append([name, size, size - last])
        last = size
    head = ("a process that imports only", "resident MB", "more than the row before")
    return lay_out(head, rows)


@table("store")
def write_store(slopes: Slopes) -> str:
    """Write the store's calls."""
    rows = []
    for scale in sizing.SCALES:
        calls = sizing.count_store_calls(slopes, scale)
        rows.append(
            [
                scale.name,
                calls.renewals,
                calls.task_writes,
                calls.change_writes,
                _judge(calls.writes, WRITES_LIMIT),
                calls.refreshes,
                calls.waiting,
                _judge(calls.reads, READS_LIMIT),
            ]
        )
    head = ("calls a second", "lease renewals", "ledger writes", "configuration writes")
    sums = (f"all writes ({WRITES_LIMIT})", "refreshes", "waiting watches")
    return lay_out((*head, *sums, f"all reads ({READS_LIMIT})"), rows)


_SHOWN = (
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


@table("slopes")
def write_slopes(slopes: Slopes) -> str:
    """Write the fits of all figures that the page uses."""
    rows = []
    for name, line in slopes.figures["lines"].items():
        experiment, role, figure = name.split("/", 2)
        if figure not in _SHOWN:
            continue
        drivers = ", ".join(f"{x:g}" for x, _ in line["points"])
        fitted = [line["slope"], line["intercept"], line["residual"]]
        rows.append([experiment, role, figure, *map(float, fitted), drivers])
    head = ("experiment", "role", "figure", "slope", "intercept", "residual")
    return lay_out((*head, "measured at"), rows)


@table("whole")
def write_whole(slopes: Slopes) -> str:
    """Compare a whole fleet as measured with what the slopes foretell."""
    rows = []
    for state, found in slopes.figures["whole"].items():
        if not isinstance(found, dict):
            continue
        foretold = _foretell(slopes, found)
        for figure, value in (
            ("processor ms", foretold.processor),
            ("resident MB", foretold.memory),
            ("peer_messages out", foretold.messages),
            ("peer_bytes in", foretold.peer_bytes / 2),
            ("platform bytes", foretold.platform_bytes),
            ("worker bytes", foretold.worker_bytes),
        ):
            measured = found["figures"].get(figure, {"average": 0.0, "highest": 0.0})
            average, highest = float(measured["average"]), float(measured["highest"])
            rows.append([state, found["running"], figure, value, average, highest])
        share = float(found["benchmark's share of a core"])
        rows.append([state, found["running"], "benchmark's own cores", "", share, ""])
    head = ("state", "tasks running", "figure of a daemon", "worked out")
    return lay_out((*head, "measured, average", "measured, highest"), rows)


def _foretell(slopes: Slopes, found: dict[str, Any]) -> Cost:
    """Return what the average daemon of a measured fleet should spend."""
    starts = found["figures"].get("task starts", {"average": 0.0})["average"]
    daemons = found["daemons"]
    scale = sizing.TARGET._replace(
        daemons=daemons, tasks=found["running"], starts=starts * daemons, changes=0
    )
    roles = sizing.work_out(slopes, scale)
    kept = roles.kept_tasks.plus(roles.kept_starts)
    return roles.owner.plus(kept.times(scale.ledgers / daemons))


@table("growth")
def write_growth(slopes: Slopes) -> str:
    """Write how messages and state grow as the fleet doubles."""
    rows = []
    for label, growth in sizing.list_growth(sizing.TARGET).items():
        total = "**workers x daemons**" if growth.is_product else ""
        rows.append([label, growth.law, *growth.amounts, total])
    head = ("what", "grows with", "target", "twice the zones", "twice in each zone")
    return lay_out((*head, "over all daemons"), rows)


_FAILURE_COLUMNS = (
    "seconds",
    "tasks started",
    "peer messages",
    "peer KB",
    "store writes",
    "store reads",
    "overlaps",
)


@table("failures")
def write_failures(slopes: Slopes) -> str:
    """Write what failures set off, as measured."""
    rows = []
    for label, found in slopes.figures["failures"]["scenes"].items():
        if "seconds" not in found:
            continue
        seconds = show(float(found["seconds"]))
        cells = [found[name] for name in _FAILURE_COLUMNS[1:]]
        rows.append([label, seconds if found["settled"] else "not settled", *cells])
    head = ("failure", "settled after, s", *_FAILURE_COLUMNS[1:-1])
    return lay_out((*head, "tasks in two places"), rows)


@table("limit")
def write_limit(slopes: Slopes) -> str:
    """Write what happens when the store refuses calls."""
    found = slopes.figures["failures"]["scenes"]
    tight = next(scene for scene in found.values() if "limit" in scene)
    free, limited = tight["without limit"], tight["with limit"]
    rows = [
        [name, float(free.get(name, 0)), float(limited.get(name, 0))]
        for name in sorted({*free, *limited})
    ]
    head = ("a second, all daemons", "no limit", f"{tight['limit']} calls/s let in")
    return lay_out(head, rows)
