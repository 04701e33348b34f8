"""Measures the request plane.

One run compares the router with a naive one, direct calls, a single queue, fixed
shares and lent credits.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from benchmarks.alternatives import lend_credits, share_fixed
from benchmarks.services import (
    NAIROBI,
    Arrival,
    ReplayResult,
    StartRouters,
    compute_capacity,
    count_completed,
    make_arrivals,
    replay,
    simulate_single_queue,
    start_direct,
    start_naive,
    start_naive_with_long_pause,
)
from damaskdeck.coordination.requests.routing import Router
from damaskdeck.protocol.outcomes import Completed, Refused
from damaskdeck.protocol.resources import Urgency
from standins.loops import run_virtual

Figures = dict[str, Any]
SEED = 1
LOADS = (0.5, 0.8, 0.95)
OVERLOAD = 3.0
WARM_UP_SHARE = 0.2

# Seconds until overload has reached a steady state, and the time within which a
# refusal counts as immediate.
BUILD_UP_SECONDS = 1.0
IMMEDIATE_SECONDS = 0.01


def run(quick: bool) -> Figures:
    """Measure waiting times, overload, processor time and added latency.

    :param quick: whether to send fewer requests.
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
    """Replay one load with each router, leaving out the waits during the warm-up.

    :returns: waiting times, and the microseconds of the router's decisions.
    """
    arrivals = make_arrivals(load, count, SEED, timeout=30.0)
    late = arrivals[int(count * WARM_UP_SHARE) :]
    ours, decisions = replay_ours(arrivals)
    naive = run_virtual(replay(arrivals, start_naive))
    single = simulate_single_queue(arrivals)
    fixed = share_fixed(arrivals)
    lent = lend_credits(arrivals, SEED)
    figures = {
        "ours": summarize([ours.waits[a.name] * 1000 for a in late]),
        "naive": summarize([naive.waits[a.name] * 1000 for a in late]),
        "single_queue": summarize([single[a.name] * 1000 for a in late]),
        "fixed_shares": summarize([fixed[a.name] * 1000 for a in late]),
        "lent_credits": summarize([lent.waits[a.name] * 1000 for a in late]),
        "lent_asks_per_request": round(
            sum(entry.borrow_requests for entry in lent.entries) / count, 3
        ),
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
    """Replay a load of three times the capacity.

    Goodput is compared with that of slots that are busy all the time.
    """
    arrivals = make_arrivals(OVERLOAD, count, SEED)
    ours, _ = replay_ours(arrivals)
    naive = run_virtual(replay(arrivals, start_naive_with_long_pause))
    best = compute_capacity() * (arrivals[-1].time - BUILD_UP_SECONDS)
    figures: Figures = {}
    for name, result in (("ours", ours), ("naive", naive)):
        refused = [n for n, o in result.outcomes.items() if isinstance(o, Refused)]
        figures[name] = {
            "goodput_of_best": divide(count_steady(arrivals, result), best),
            "urgent_waiting_ms": summarize_urgent(arrivals, result),
            "urgent_completed": divide(
                count_completed(result, _make_urgent_filter(arrivals)),
                sum(a.urgency is Urgency.URGENT for a in arrivals),
            ),
            "outcomes": Counter(type(o).__name__ for o in result.outcomes.values()),
            "refused_at_once": divide(
                sum(result.answered[name] < IMMEDIATE_SECONDS for name in refused),
                len(refused),
            ),
            "refused_after_ms": summarize(
                [result.answered[name] * 1000 for name in refused]
            ),
        }
    return figures


def count_steady(arrivals: list[Arrival], result: ReplayResult) -> int:
    """Count the requests completed between the build-up and the last arrival."""
    first, last = BUILD_UP_SECONDS, arrivals[-1].time
    return sum(
        isinstance(result.outcomes[a.name], Completed)
        and first <= a.time + result.answered[a.name] < last
        for a in arrivals
    )


def summarize_urgent(arrivals: list[Arrival], result: ReplayResult) -> Figures:
    """Summarize the waits of urgent requests in milliseconds.

    A request that never ran counts as having waited for its whole timeout.
    """
    waits = [
        result.waits.get(a.name, a.timeout.total_seconds()) * 1000
        for a in arrivals
        if a.urgency is Urgency.URGENT
    ]
    return summarize(waits)


def replay_ours(arrivals: list[Arrival]) -> tuple[ReplayResult, list[float]]:
    """Replay with the routers of damaskdeck.

    :returns: the result, and the microseconds of each decision.
    """
    decisions: list[float] = []
    original = Router._choose_route

    def measure_choice(router: Router, context: Any) -> Any:
        start = time.thread_time_ns()
        route = original(router, context)
        decisions.append((time.thread_time_ns() - start) / 1000)
        return route

    start_routers = StartRouters()

    async def play() -> ReplayResult:
        result = await replay(arrivals, start_routers)
        result.calls.update(start_routers.stop())
        return result

    Router._choose_route = measure_choice
    try:
        return run_virtual(play()), decisions
    finally:
        Router._choose_route = original


def measure_processor(count: int) -> Figures:
    """Measure the processor time of a request at half load.

    The simulation's own share is included, and subtracted as that of direct calls.
    """
    arrivals = make_arrivals(0.5, count, SEED)
    start_routers = StartRouters()

    async def play_ours() -> None:
        await replay(arrivals, start_routers)
        start_routers.stop()

    async def play_direct() -> None:
        await replay(arrivals, start_direct)

    ours = measure_processor_seconds(play_ours) / count
    direct = measure_processor_seconds(play_direct) / count
    return {
        "ours_us_per_request": round(ours * 1e6, 1),
        "direct_us_per_request": round(direct * 1e6, 1),
        "added_us_per_request": round((ours - direct) * 1e6, 1),
        "requests_per_core_second": round(1 / (ours - direct)),
    }


def measure_latency(count: int) -> Figures:
    """Measure in real time the latency that one entry adds at half load."""
    load = 0.5 / (NAIROBI.zones * NAIROBI.entries)
    arrivals = make_arrivals(load, count, SEED)
    start_routers = StartRouters()

    async def play_ours() -> ReplayResult:
        result = await replay(arrivals, start_routers)
        start_routers.stop()
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
        "added": summarize([own - other for own, other in pairs]),
    }


def measure_processor_seconds(play: Callable[[], Any]) -> float:
    """Return the processor seconds of a run in virtual time."""
    start = time.process_time()
    run_virtual(play())
    return time.process_time() - start


def summarize(values: list[float]) -> Figures:
    """Return quantiles of ``values`` by name; empty without values."""
    ordered = sorted(values)
    if not ordered:
        return {}
    names = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
    return {
        name: round(ordered[min(int(share * len(ordered)), len(ordered) - 1)], 3)
        for name, share in names.items()
    }


def divide(value: float, other: float) -> float | None:
    """Return a ratio, or None if ``other`` isn't positive.

    A run that ends during the build-up has no steady state and so no best goodput.
    """
    return round(value / other, 3) if other > 0 else None


def _make_urgent_filter(arrivals: list[Arrival]) -> Callable[[str], bool]:
    urgent = {a.name for a in arrivals if a.urgency is Urgency.URGENT}
    return urgent.__contains__
