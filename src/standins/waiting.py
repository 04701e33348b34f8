"""Polling for a state that separate processes bring about."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

POLL_SECONDS = 0.1


async def wait_until(
    read: Callable[[], Awaitable[Any]],
    is_reached: Callable[[Any], bool],
    limit_seconds: float = 20,
) -> Any:
    """Call ``read`` until ``is_reached`` accepts its result; return the last result.

    The last result is also returned after ``limit_seconds``, so callers must check it.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_seconds
    while True:
        found = await read()
        if is_reached(found) or loop.time() > deadline:
            return found
        await asyncio.sleep(POLL_SECONDS)
