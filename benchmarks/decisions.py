"""Measures single decisions on a full fleet: place, reserve, release."""

import gc
import random
import time
import tracemalloc
from typing import Any

from benchmarks.arrivals import Mix, make_target_size
from damaskdeck.coordination.places.placement import Placed, Placer
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccounts

Figures = dict[str, Any]
RUNNING = 13_000


def run(quick: bool) -> Figures:
    """Measure at 790 and 88 workers, with 13,000 tasks for each 790."""
    rounds = 5_000 if quick else 20_000
    large = measure(make_target_size(1), RUNNING, rounds)
    small = measure(make_target_size(1, workers=88), RUNNING * 88 // 790, rounds)
    ratio = large["decision_us"] / small["decision_us"]
    return {
        "790": large,
        "88": small,
        "cost_790_to_88": round(ratio, 3),
        "memory_mib": measure_memory(make_target_size(1), RUNNING),
    }


def measure_memory(mix: Mix, running: int) -> float:
    """Return what accounts, index and reservations of a full fleet take, in MiB."""
    sizes = [arrival.declared for arrival in mix.arrivals]
    tracemalloc.start()
    accounts = WorkerAccounts()
    placer = Placer(accounts)
    for worker in mix.workers:
        accounts.set_worker(worker)
    _fill(accounts, placer, random.Random(1), sizes, running)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(memory / 2**20, 1)


def measure(mix: Mix, running: int, rounds: int) -> Figures:
    """End a task, place another and reserve, over and over.

    :param running: tasks that run, as near as the mix of sizes allows.
    """
    rng = random.Random(1)
    sizes = [
        arrival.declared
        for arrival in mix.arrivals
        for _ in range(arrival.tasks)
        if arrival.type != "service"
    ]
    accounts = WorkerAccounts()
    placer = Placer(accounts)
    for worker in mix.workers:
        accounts.set_worker(worker)
    gc.collect()
    tasks = _fill(accounts, placer, rng, sizes, running)
    times, placed = [], 0
    started = time.process_time()
    for number in range(rounds):
        index = rng.randrange(len(tasks))
        need = TaskNeed(f"r{number}", rng.choice(sizes))
        moment = time.perf_counter()
        accounts.release(tasks[index])
        outcome = placer.place(need)
        if isinstance(outcome, Placed):
            accounts.reserve(need, outcome.worker)
        times.append(time.perf_counter() - moment)
        if isinstance(outcome, Placed):
            tasks[index] = need.task
            placed += 1
        else:
            tasks[index] = tasks[-1]
            tasks.pop()
            tasks += _fill(accounts, placer, rng, sizes, 1, f"f{number}")
    elapsed = time.process_time() - started
    times.sort()
    return {
        "running": len(tasks),
        "placed_share": round(placed / rounds, 3),
        "decisions_per_s": round(rounds / sum(times)),
        "decision_us": round(1e6 * sum(times) / rounds, 1),
        "decision_p50_us": round(1e6 * times[rounds // 2], 1),
        "decision_p99_us": round(1e6 * times[int(rounds * 0.99)], 1),
        "loop_us": round(1e6 * elapsed / rounds, 1),
    }


def _fill(
    accounts: WorkerAccounts,
    placer: Placer,
    rng: random.Random,
    sizes: list[Size],
    count: int,
    prefix: str = "t",
) -> list[str]:
    """Start tasks until there are ``count`` more, or many found no room."""
    tasks: list[str] = []
    failures = 0
    while len(tasks) < count and failures < 50:
        need = TaskNeed(f"{prefix}-{len(tasks)}-{failures}", rng.choice(sizes))
        outcome = placer.place(need)
        if isinstance(outcome, Placed):
            accounts.reserve(need, outcome.worker)
            tasks.append(need.task)
        else:
            failures += 1
    return tasks
