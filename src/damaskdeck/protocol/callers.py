"""How a caller's question about a job on a queue ends."""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.queues import QueuedState
from damaskdeck.protocol.values import distinct

# When to ask again where nothing says better: outages of the store last for seconds.
COME_BACK = timedelta(seconds=1)


@distinct
class Taken(NamedTuple):
    """The job is stored, now or before."""


@distinct
class NotTaken(NamedTuple):
    """The job was not stored and never will be; come back after ``retry``."""

    code: str
    retry: timedelta = COME_BACK


@distinct
class Unsettled(NamedTuple):
    """The job may have been stored, or may yet be."""

    code: str


@distinct
class Told(NamedTuple):
    """The state of a job."""

    state: QueuedState


@distinct
class NoJob(NamedTuple):
    """There is no such job."""


@distinct
class Untold(NamedTuple):
    """Nobody who knows could be asked."""

    code: str
    retry: timedelta = COME_BACK
