"""Watches of observed resources, based on periodic reads that all watchers share."""

import asyncio
from collections.abc import AsyncGenerator, Callable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.handlers import ResourceReader
from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.transport.api.problems import make_problem

MIN_PAUSE = timedelta(seconds=1)
BOOKMARK_INTERVAL = timedelta(seconds=10)
# Pause between two reads, as a multiple of the duration of a read.
PAUSE_FACTOR = 10

Selector = Callable[[Resource], bool]


class Reading(NamedTuple):
    """The result of one read.

    :param number: increases with each read.
    :param answer: resources by name, or the refusal of the read.
    """

    number: int
    answer: Mapping[str, Resource] | Refused


class Poller:
    """Reads the resources of one kind periodically while there are watchers.

    All watchers share the readings. The pause between two reads grows with the duration
    of a read, so that reads never take more than a tenth of the time.
    """

    def __init__(self, resources: ResourceReader, kind: Kind, clock: Clock) -> None:
        self._resources = resources
        self._kind = kind
        self._clock = clock
        self._last_reading = Reading(0, {})
        self._next_read_at = clock.monotonic()
        self._task: asyncio.Task[Reading] | None = None

    async def read(self, seen_number: int) -> Reading:
        """Return a current reading whose number is not ``seen_number``."""
        last = self._last_reading
        if last.number != seen_number and self._clock.monotonic() < self._next_read_at:
            return last
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._read())
        return await asyncio.shield(self._task)

    async def _read(self) -> Reading:
        await self._clock.sleep(self._next_read_at - self._clock.monotonic())
        started_at = self._clock.monotonic()
        found = await self._resources.list_resources(self._kind)
        now = self._clock.monotonic()
        self._next_read_at = now + max(MIN_PAUSE, PAUSE_FACTOR * (now - started_at))
        if not isinstance(found, Refused):
            found = {resource["metadata"]["name"]: resource for resource in found}
        self._last_reading = Reading(self._last_reading.number + 1, found)
        return self._last_reading


async def stream_changes(
    poller: Poller, clock: Clock, select: Selector, name: str = ""
) -> AsyncGenerator[dict[str, Any], None]:
    """Yield the existing resources and then their changes, as lines of a watch.

    A bookmark means that everything read so far was sent. Its revision is always 0,
    because a watch can't be resumed: the next one begins with all resources that exist
    then.

    :param name: yield only the resource of this name; an empty string means all.
    """
    previous: dict[str, Resource] = {}
    bookmarked_at: timedelta | None = None
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
        for line in compare_readings(previous, current):
            yield line
        previous, now = current, clock.monotonic()
        if bookmarked_at is None or now - bookmarked_at >= BOOKMARK_INTERVAL:
            bookmarked_at = now
            yield {"type": "BOOKMARK", "revision": 0}


def compare_readings(
    before: Mapping[str, Resource], after: Mapping[str, Resource]
) -> list[dict[str, Any]]:
    """Return the changes between two readings as lines of a watch."""
    lines = []
    for key, resource in after.items():
        if key not in before:
            lines.append({"type": "ADDED", "resource": resource})
        elif before[key] != resource:
            lines.append({"type": "MODIFIED", "resource": resource})
    deleted = [before[key] for key in before if key not in after]
    return lines + [{"type": "DELETED", "resource": resource} for resource in deleted]
