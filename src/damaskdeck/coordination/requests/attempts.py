"""What an attempt to run a request came to."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.outcomes import Completed, Failed

HOP_FACTOR = 100

# Refusals after which the next place is asked at once.
FREE_CODES = frozenset({"no_slot", "not_owner", "draining", "target_leaving"})


class NotRun(NamedTuple):
    """The attempt is proved to have run nothing; another may be made.

    :param retry_after: the hint of a daemon that refused it.
    :param is_free: whether the next place may be asked at once, without a
        retry's cost.
    """

    code: str
    retry_after: timedelta | None = None
    is_free: bool = False


class AnswerLost(NamedTuple):
    """The answer is lost; the request may have run."""

    code: str


Result = Completed | Failed | NotRun | AnswerLost


class Place(NamedTuple):
    """A slot taken on an own target.

    :param number: to give the slot back by.
    """

    pool: SlotPool
    number: int


class Redirect(NamedTuple):
    """Another daemon that is to run the request.

    :param patience: how many seconds it may wait there.
    """

    instance: str
    patience: float


class Moved(NamedTuple):
    """The place that was waited for is gone; look for another."""


class RequestContext:
    """A request on its way through its attempts on one daemon.

    :param deadline: on this daemon's monotonic clock.
    :param base: attempts are numbered from here, so that each number is used
        once for a request, whichever daemon makes the attempt.
    :param may_forward: whether another daemon may still be asked.
    :param patience: how many seconds the request may wait here.
    :ivar bounced: attempts that were proved not run and cost no retry.
    :ivar lost: code of the last lost answer, or an empty string.
    :ivar is_sent: whether anything may have left this daemon.
    """

    __slots__ = (
        "attempt",
        "avoided",
        "base",
        "bounced",
        "call",
        "deadline",
        "is_sent",
        "last",
        "lost",
        "may_forward",
        "patience",
        "request",
        "retries",
        "start",
    )

    def __init__(
        self,
        request: ServiceRequest,
        clock: Clock,
        base: int = 0,
        may_forward: bool = True,
        patience: float | None = None,
    ) -> None:
        self.request = request
        self.start = clock.monotonic()
        self.deadline = self.start + request.timeout
        self.base = base
        self.may_forward = may_forward
        self.patience = patience
        self.attempt = 0
        self.retries = 0
        self.bounced = 0
        self.avoided: frozenset[str] = frozenset()
        self.lost = ""
        self.last: NotRun | None = None
        self.is_sent = False
        self.call: asyncio.Task[Result] | None = None

    def begin_attempt(self, where: str) -> int:
        """Return the number of a new attempt.

        :param where: the target or daemon, avoided by later attempts.
        """
        self.attempt += 1
        self.avoided = self.avoided | {where}
        return self.base + self.attempt
