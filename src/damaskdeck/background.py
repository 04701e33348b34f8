"""Background tasks of the event loop."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def start_task(
    work: Coroutine[Any, Any, T], running_tasks: "set[asyncio.Task[T]]"
) -> "asyncio.Task[T]":
    """Start ``work`` as a task.

    :param running_tasks: holds the task until it ends, as the event loop itself keeps
        only a weak reference to it.
    """
    task = asyncio.ensure_future(work)
    running_tasks.add(task)
    task.add_done_callback(running_tasks.discard)
    return task
