"""Measures single decisions on a fully loaded fleet: place, reserve, release."""

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
    """Measure with 790 and with 88 workers, at 13,000 tasks per 790 workers.

    :param quick: whether to make fewer decisions.
    """
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
    """Return the memory of a full fleet's accounts, index and reservations in MiB."""
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
    """Repeatedly release a task, place another and reserve its resources.

    :param running: number of running tasks, as near as the mix of sizes allows.
    :param rounds: number of decisions.
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
        began = time.perf_counter()
        accounts.release(tasks[index])
        outcome = placer.place(need)
        if isinstance(outcome, Placed):
            accounts.reserve(need, outcome.worker)
        times.append(time.perf_counter() - began)
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
    """Start up to ``count`` tasks; stop after 50 that fit nowhere."""
    tasks: list[str] = []
    attempts_failed = 0
    while len(tasks) < count and attempts_failed < 50:
        need = TaskNeed(f"{prefix}-{len(tasks)}-{attempts_failed}", rng.choice(sizes))
        outcome = placer.place(need)
        if isinstance(outcome, Placed):
            accounts.reserve(need, outcome.worker)
            tasks.append(need.task)
        else:
            attempts_failed += 1
    return tasks
