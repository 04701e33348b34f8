"""Background tasks of the event loop."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def start_task(
    work: Coroutine[Any, Any, T], running_tasks: "set[asyncio.Task[T]]"
) -> "asyncio.Task[T]":
    """Start ``work`` as a task and hold it, see :func:`hold_task`."""
    return hold_task(asyncio.ensure_future(work), running_tasks)


def hold_task(
    task: "asyncio.Task[T]", running_tasks: "set[asyncio.Task[T]]"
) -> "asyncio.Task[T]":
    """Return a task that ``running_tasks`` holds until it ends.

    The event loop itself keeps only a weak reference to it.
    """
    running_tasks.add(task)
    task.add_done_callback(running_tasks.discard)
    return task
