"""What the demo expects, counted and printed."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

POLL_SECONDS = 0.1


class Checks:
    """Prints each thing that became true; remembers what did not."""

    def __init__(self) -> None:
        self.failed: list[str] = []
        self.count = 0

    def check(self, sentence: str, is_true: bool, found: Any = "") -> None:
        """Note whether ``sentence`` is true; ``found`` is shown when it isn't."""
        self.count += 1
        if is_true:
            print(f"  ok      {sentence}", flush=True)
            return
        self.failed.append(sentence)
        print(f"  FAILED  {sentence}: {found}", flush=True)


async def wait_until(
    read: Callable[[], Awaitable[Any]],
    is_reached: Callable[[Any], bool],
    limit_seconds: float = 20,
) -> Any:
    """Read again and again until it is as wanted; return the last reading."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_seconds
    while True:
        found = await read()
        if is_reached(found) or loop.time() > deadline:
            return found
        await asyncio.sleep(POLL_SECONDS)
