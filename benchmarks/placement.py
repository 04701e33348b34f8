"""Measures placement over generated arrivals.

One run compares the policy with a naive scheduler and with an upper bound.
"""

import gc
import time
from collections.abc import Callable
from typing import Any

from benchmarks import decisions
from benchmarks.arrivals import (
    Mix,
    make_cielo_austral,
    make_maji_tamu,
    make_target_size,
)
from benchmarks.naive import NaiveQueue
from benchmarks.policy import Policy
from benchmarks.replay import Cell, Scheduler, compute_fluid_bound
from benchmarks.split import SplitPlacer, make_split
from damaskdeck.protocol.resources import Urgency

SchedulerFactory = Callable[[Cell], Scheduler]
Figures = dict[str, Any]
SEED = 1


def run(quick: bool) -> Figures:
    """Replay all mixes.

    :param quick: whether to replay a quarter of each mix's duration only.
    """
    factor = 0.25 if quick else 1.0
    figures: Figures = {}
    for make in (make_maji_tamu, make_cielo_austral, make_target_size):
        mix = make(SEED, (make.__defaults__ or ())[0] * factor)
        figures[mix.name] = compare(mix)
    figures["decisions"] = decisions.run(quick)
    return figures


def compare(mix: Mix) -> Figures:
    """Replay one mix with each scheduler and return the figures and their ratios."""
    bound = compute_fluid_bound(mix)
    ours = measure(mix, Policy, bound)
    naive = measure(mix, NaiveQueue, bound)
    figures = {"ours": ours, "naive": naive}
    if len(mix.workers) > 100:
        figures["ours_by_27_owners"] = measure(mix, make_split, bound)
    else:
        figures["naive_skipping"] = measure(
            mix, lambda cell: NaiveQueue(cell, skips=True), bound
        )
    figures["ratios"] = {
        name: {
            "delivered": _divide(ours["delivered"], other["delivered"]),
            "packing": _divide(ours["packing"], other["packing"]),
            "urgent_p99": _divide(
                ours["waiting"]["urgent"]["p99"], other["waiting"]["urgent"]["p99"]
            ),
        }
        for name, other in figures.items()
        if name != "ours"
    }
    return figures


def measure(mix: Mix, make: SchedulerFactory, bound: list[float]) -> Figures:
    """Replay one mix with one scheduler and return its figures.

    :param bound: the work that can be delivered at most, by dimension.
    """
    cell = Cell(mix)
    scheduler = make(cell)
    cell.scheduler = scheduler
    gc.collect()
    started = time.perf_counter()
    cell.run()
    elapsed = time.perf_counter() - started
    shares = [
        _divide(done, most)
        for done, most in zip(cell.delivered, bound, strict=True)
    ]  # fmt: skip
    binding = max(range(3), key=lambda index: _compute_offered_load(mix, index))
    contention = cell.contention
    figures: Figures = {
        "delivered": shares[binding],
        "delivered_by_dimension": shares,
        "packing": _divide(contention.binding, contention.time),
        "packing_by_dimension": [
            _divide(share, contention.time) for share in contention.shares
        ],
        "time_with_work_waiting_s": round(contention.time),
        "stranded_accelerators": _divide(sum(cell.stranded), len(cell.stranded)),
        "lost_core_seconds": round(cell.lost_core_seconds),
        "counts": dict(cell.counts),
        "waiting": {
            urgency.value: _summarize_waits(cell.list_waits(urgency))
            for urgency in Urgency
        },
        "elapsed_s": round(elapsed, 1),
    }
    if isinstance(scheduler, Policy):
        figures.update(_summarize_cost(scheduler))
    return figures


def _summarize_cost(policy: Policy) -> Figures:
    times = sorted(policy.decision_seconds)
    figures: Figures = {}
    if isinstance(policy.placer, SplitPlacer):
        placer = policy.placer
        figures["refused_by_owners"] = _divide(placer.refusals, placer.requests)
    return figures | {
        "decisions": len(times),
        "decisions_per_s": round(len(times) / policy.spent_seconds),
        "decision_us": round(1e6 * policy.spent_seconds / len(times), 1),
        "decision_p50_us": round(1e6 * _quantile(times, 0.5), 1),
        "decision_p99_us": round(1e6 * _quantile(times, 0.99), 1),
        "running_at_end": policy.accounts.totals.tasks,
    }


def _summarize_waits(waits: list[float]) -> Figures:
    return {
        "tasks": len(waits),
        "p50": round(_quantile(waits, 0.5), 3),
        "p99": round(_quantile(waits, 0.99), 3),
        "most": round(waits[-1], 3) if waits else 0.0,
    }


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def _divide(a: float, b: float) -> float:
    return round(a / b, 4) if b else 0.0


def _compute_offered_load(mix: Mix, index: int) -> float:
    end = mix.duration
    capacity = sum(worker.size[index] for worker in mix.workers)
    work = sum(
        arrival.tasks * arrival.declared[index] * (min(arrival.run_time, end) / end)
        for arrival in mix.arrivals
    )
    return work / capacity if capacity else 0.0
