"""Watches of observed resources, by reading them again and again for all watchers."""

import asyncio
from collections.abc import AsyncGenerator, Callable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.handlers import ResourceReader
from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.transport.api.problems import make_problem

SHORTEST_PAUSE = timedelta(seconds=1)
BOOKMARK_INTERVAL = timedelta(seconds=10)
DUTY = 10

Selector = Callable[[Resource], bool]


class Reading(NamedTuple):
    """What was read.

    :param number: rises with each reading.
    """

    number: int
    answer: Mapping[str, Resource] | Refused


class Poller:
    """Reads the resources of one kind while somebody watches.

    All watchers share a reading. The pause between two grows with the time
    that a reading takes, so that it never takes more than a tenth of the time.
    """

    def __init__(self, resources: ResourceReader, kind: Kind, clock: Clock) -> None:
        self._resources = resources
        self._kind = kind
        self._clock = clock
        self._last = Reading(0, {})
        self._next = clock.monotonic()
        self._task: asyncio.Task[Reading] | None = None

    async def read(self, seen: int) -> Reading:
        """Return a fresh reading other than the one with the number ``seen``."""
        last = self._last
        if last.number != seen and self._clock.monotonic() < self._next:
            return last
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._read())
        return await asyncio.shield(self._task)

    async def _read(self) -> Reading:
        await self._clock.sleep(self._next - self._clock.monotonic())
        began = self._clock.monotonic()
        found = await self._resources.list_resources(self._kind)
        now = self._clock.monotonic()
        self._next = now + max(SHORTEST_PAUSE, DUTY * (now - began))
        if not isinstance(found, Refused):
            found = {resource["metadata"]["name"]: resource for resource in found}
        self._last = Reading(self._last.number + 1, found)
        return self._last


async def list_changes(
    poller: Poller, clock: Clock, select: Selector, name: str = ""
) -> AsyncGenerator[dict[str, Any], None]:
    """Yield what there is and then what changes, as lines of a watch.

    A bookmark tells that everything read so far was sent; there is nothing to
    resume from, as the next watch starts with what there is then.
    """
    shown: dict[str, Resource] = {}
    marked: timedelta | None = None
    reading = Reading(0, {})
    while True:
        reading = await poller.read(reading.number)
        if isinstance(reading.answer, Refused):
            problem = make_problem(reading.answer).describe()
            yield {"type": "ERROR", "problem": problem}
            return
        current = {
            key: resource
            for key, resource in sorted(reading.answer.items())
            if name in ("", key) and select(resource)
        }
        for line in compare(shown, current):
            yield line
        shown, now = current, clock.monotonic()
        if marked is None or now - marked >= BOOKMARK_INTERVAL:
            marked = now
            yield {"type": "BOOKMARK", "revision": 0}


def compare(
    before: Mapping[str, Resource], after: Mapping[str, Resource]
) -> list[dict[str, Any]]:
    """Return the lines that lead from one reading to the next."""
    lines = []
    for key, resource in after.items():
        if key not in before:
            lines.append({"type": "ADDED", "resource": resource})
        elif before[key] != resource:
            lines.append({"type": "MODIFIED", "resource": resource})
    gone = [before[key] for key in before if key not in after]
    return lines + [{"type": "DELETED", "resource": resource} for resource in gone]
