"""Runs the seeds of random tests in several processes."""

import multiprocessing
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

T = TypeVar("T")


def map_seeds(play: Callable[[int], T], seeds: Sequence[int]) -> list[T]:
    """Return the result of each seed, in the order of the seeds.

    :param play: Runs one seed. It must be picklable, and seeds must not depend on each
        other.
    """
    # Other tests may have started threads, which a fork would not copy.
    context = multiprocessing.get_context("spawn")
    processes = min(len(seeds), os.cpu_count() or 1)
    with ProcessPoolExecutor(processes, mp_context=context) as pool:
        return list(pool.map(play, seeds))
