"""State and results of the attempts to run a request."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.outcomes import Completed, Failed

# The next hop numbers its attempts from the forwarder's number times this.
ATTEMPTS_PER_HOP = 100

# Refusals after which another target or daemon is tried at once.
FREE_RETRY_CODES = frozenset({"no_slot", "not_owner", "draining", "target_leaving"})


class NotRun(NamedTuple):
    """The attempt has certainly not run; another one may be made.

    :param retry_after: the hint of a daemon that refused it.
    :param is_free_retry: whether another attempt may be made at once and without
        spending the retry budget.
    """

    code: str
    retry_after: timedelta | None = None
    is_free_retry: bool = False


class AnswerLost(NamedTuple):
    """The answer was lost; the request may have run."""

    code: str


Result = Completed | Failed | NotRun | AnswerLost


class TakenSlot(NamedTuple):
    """A slot that was taken on an owned target.

    :param number: identifies the slot when it is released.
    """

    pool: SlotPool
    number: int


class Redirect(NamedTuple):
    """Another daemon to forward the request to.

    :param wait_limit: how many seconds the request may wait there.
    """

    instance: str
    wait_limit: float


class Reroute(NamedTuple):
    """The daemon has no slots any more; choose another route."""


class RequestContext:
    """State of a request over its attempts on one daemon.

    :param deadline: on this daemon's monotonic clock.
    :param base: offset of the attempt numbers, so that each number is used only
        once per request, whichever daemon makes the attempt.
    :param may_forward: whether the request may be forwarded to another daemon.
    :param wait_limit: how many seconds the request may wait here; ``None`` for as
        long as its deadline allows.
    :ivar free_retries: attempts that certainly didn't run and cost no retry.
    :ivar lost_code: code of the last lost answer, or an empty string.
    :ivar is_sent: whether any attempt may have left this daemon.
    """

    __slots__ = (
        "attempt",
        "avoided",
        "base",
        "call",
        "deadline",
        "free_retries",
        "is_sent",
        "last_refusal",
        "lost_code",
        "may_forward",
        "request",
        "retries",
        "start",
        "wait_limit",
    )

    def __init__(
        self,
        request: ServiceRequest,
        clock: Clock,
        base: int = 0,
        may_forward: bool = True,
        wait_limit: float | None = None,
    ) -> None:
        self.request = request
        self.start = clock.monotonic()
        self.deadline = self.start + request.timeout
        self.base = base
        self.may_forward = may_forward
        self.wait_limit = wait_limit
        self.attempt = 0
        self.retries = 0
        self.free_retries = 0
        self.avoided: frozenset[str] = frozenset()
        self.lost_code = ""
        self.last_refusal: NotRun | None = None
        self.is_sent = False
        self.call: asyncio.Task[Result] | None = None

    def begin_attempt(self, where: str) -> int:
        """Return the number of a new attempt.

        :param where: the target or daemon, which later attempts avoid.
        """
        self.attempt += 1
        self.avoided = self.avoided | {where}
        return self.base + self.attempt
