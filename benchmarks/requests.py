"""Measures the request plane: ours, naive, direct and a single queue, in one run."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from benchmarks.alternatives import lend_credits, share_fixed
from benchmarks.services import (
    NAIROBI,
    Arrival,
    Deployed,
    Run,
    compute_capacity,
    count_completed,
    make_arrivals,
    queue_once,
    replay,
    start_direct,
    start_lazy,
    start_naive,
)
from damaskdeck.coordination.requests.routing import Router
from damaskdeck.protocol.outcomes import Completed, Refused
from damaskdeck.protocol.resources import Urgency
from standins.loops import run_virtual

Figures = dict[str, Any]
SEED = 1
LOADS = (0.5, 0.8, 0.95)
OVERLOAD = 3.0
WARM_UP = 0.2

# Seconds until overload is steady, and within which a refusal comes at once.
BUILD_UP = 1.0
AT_ONCE = 0.01


def run(quick: bool) -> Figures:
    """Measure waiting, overload and processor time.

    :param quick: fewer requests.
    """
    count = 10_000 if quick else 25_000
    figures: Figures = {"waiting_ms": {}, "decision_us": {}}
    for load in LOADS:
        waiting, decision = compare_waiting(load, count)
        figures["waiting_ms"][f"load_{load}"] = waiting
        figures["decision_us"][f"load_{load}"] = decision
    figures["overload"] = compare_overload(count)
    figures["processor"] = measure_processor(count // 4)
    figures["added_latency_ms"] = measure_latency(500 if quick else 1500)
    return figures


def compare_waiting(load: float, count: int) -> tuple[Figures, Figures]:
    """Replay one load with each router; waits count from the warm-up on."""
    arrivals = make_arrivals(load, count, SEED, timeout=30.0)
    late = arrivals[int(count * WARM_UP) :]
    ours, decisions = replay_ours(arrivals)
    naive = run_virtual(replay(arrivals, start_naive))
    single = queue_once(arrivals)
    fixed = share_fixed(arrivals)
    lent = lend_credits(arrivals, SEED)
    figures = {
        "ours": summarize([ours.waits[a.name] * 1000 for a in late]),
        "naive": summarize([naive.waits[a.name] * 1000 for a in late]),
        "single_queue": summarize([single[a.name] * 1000 for a in late]),
        "fixed_shares": summarize([fixed[a.name] * 1000 for a in late]),
        "lent_credits": summarize([lent.waits[a.name] * 1000 for a in late]),
        "lent_asks_per_request": round(sum(e.asks for e in lent.lenders) / count, 3),
        "messages_per_request": round(ours.calls["messages"] / count, 3),
        "naive_sends_per_request": round(naive.calls["sends"] / count, 3),
        "refused_by_targets": ours.calls["refused"],
    }
    figures["ratios"] = {
        "p99_to_naive": divide(figures["ours"]["p99"], figures["naive"]["p99"]),
        "p99_to_single_queue": divide(
            figures["ours"]["p99"], figures["single_queue"]["p99"]
        ),
    }
    return figures, summarize(decisions)


def compare_overload(count: int) -> Figures:
    """Replay three times the load; the best goodput is that of busy slots."""
    arrivals = make_arrivals(OVERLOAD, count, SEED)
    ours, _ = replay_ours(arrivals)
    naive = run_virtual(replay(arrivals, start_lazy))
    best = compute_capacity() * (arrivals[-1].time - BUILD_UP)
    figures: Figures = {}
    for name, result in (("ours", ours), ("naive", naive)):
        refused = [n for n, o in result.outcomes.items() if isinstance(o, Refused)]
        figures[name] = {
            "goodput_of_best": divide(count_steady(arrivals, result), best),
            "urgent_waiting_ms": summarize_urgent(arrivals, result),
            "urgent_completed": divide(
                count_completed(result, _pick_urgent(arrivals)),
                sum(a.urgency is Urgency.URGENT for a in arrivals),
            ),
            "outcomes": Counter(type(o).__name__ for o in result.outcomes.values()),
            "refused_at_once": divide(
                sum(result.answered[name] < AT_ONCE for name in refused), len(refused)
            ),
            "refused_after_ms": summarize(
                [result.answered[name] * 1000 for name in refused]
            ),
        }
    return figures


def count_steady(arrivals: list[Arrival], result: Run) -> int:
    """Count what was completed between the build-up and the last arrival."""
    first, last = BUILD_UP, arrivals[-1].time
    return sum(
        isinstance(result.outcomes[a.name], Completed)
        and first <= a.time + result.answered[a.name] < last
        for a in arrivals
    )


def summarize_urgent(arrivals: list[Arrival], result: Run) -> Figures:
    """Summarize the waits of the urgent; who never ran waited all its time."""
    waits = [
        result.waits.get(a.name, a.timeout.total_seconds()) * 1000
        for a in arrivals
        if a.urgency is Urgency.URGENT
    ]
    return summarize(waits)


def replay_ours(arrivals: list[Arrival]) -> tuple[Run, list[float]]:
    """Replay with our routers; also return each decision's microseconds."""
    decisions: list[float] = []
    original = Router._choose_route

    def measured(router: Router, course: Any) -> Any:
        start = time.thread_time_ns()
        place = original(router, course)
        decisions.append((time.thread_time_ns() - start) / 1000)
        return place

    deployed = Deployed()

    async def play() -> Run:
        result = await replay(arrivals, deployed)
        result.calls.update(deployed.stop())
        return result

    Router._choose_route = measured
    try:
        return run_virtual(play()), decisions
    finally:
        Router._choose_route = original


def measure_processor(count: int) -> Figures:
    """Measure processor time for a request at half load, simulation included."""
    arrivals = make_arrivals(0.5, count, SEED)
    deployed = Deployed()

    async def play_ours() -> None:
        await replay(arrivals, deployed)
        deployed.stop()

    async def play_direct() -> None:
        await replay(arrivals, start_direct)

    ours = spend(play_ours) / count
    direct = spend(play_direct) / count
    return {
        "ours_us_per_request": round(ours * 1e6, 1),
        "direct_us_per_request": round(direct * 1e6, 1),
        "added_us_per_request": round((ours - direct) * 1e6, 1),
        "requests_per_core_second": round(1 / (ours - direct)),
    }


def measure_latency(count: int) -> Figures:
    """Measure in real time what one entry adds at its share of half load."""
    load = 0.5 / (NAIROBI.zones * NAIROBI.entries)
    arrivals = make_arrivals(load, count, SEED)
    deployed = Deployed()

    async def play_ours() -> Run:
        result = await replay(arrivals, deployed)
        deployed.stop()
        return result

    ours = asyncio.run(play_ours())
    direct = asyncio.run(replay(arrivals, start_direct))
    extra = {
        name: [(result.answered[a.name] - a.duration) * 1000 for a in arrivals]
        for name, result in (("ours", ours), ("direct", direct))
    }
    pairs = zip(extra["ours"], extra["direct"], strict=True)
    return {
        "ours": summarize(extra["ours"]),
        "direct": summarize(extra["direct"]),
        "added": summarize([mine - other for mine, other in pairs]),
    }


def spend(play: Callable[[], Any]) -> float:
    """Return the processor seconds of a run."""
    start = time.process_time()
    run_virtual(play())
    return time.process_time() - start


def summarize(values: list[float]) -> Figures:
    """Return quantiles of ``values``."""
    ordered = sorted(values)
    if not ordered:
        return {}
    names = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
    return {
        name: round(ordered[min(int(share * len(ordered)), len(ordered) - 1)], 3)
        for name, share in names.items()
    }


def divide(value: float, other: float) -> float | None:
    """Return a ratio, or nothing where there is nothing to compare with.

    A run that ends within its build-up has no steady time, so no best goodput.
    """
    return round(value / other, 3) if other > 0 else None


def _pick_urgent(arrivals: list[Arrival]) -> Callable[[str], bool]:
    urgent = {a.name for a in arrivals if a.urgency is Urgency.URGENT}
    return urgent.__contains__
