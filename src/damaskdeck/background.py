"""Tasks that run beside what started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def start_task(
    work: Coroutine[Any, Any, T], held: "set[asyncio.Task[T]]"
) -> "asyncio.Task[T]":
    """Start ``work``; ``held`` keeps its task until it ends, as no loop does."""
    task = asyncio.ensure_future(work)
    held.add(task)
    task.add_done_callback(held.discard)
    return task
