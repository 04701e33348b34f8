"""How a caller's question about a job on a queue ends."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.protocol.values import distinct

# When to ask again where nothing says better: outages of the store last for seconds.
DEFAULT_RETRY_DELAY = timedelta(seconds=1)


class Caller(NamedTuple):
    """Who calls, as far as it counts; nobody in particular by default.

    :param account: of the key that was shown, an empty string on a public queue.
    :param queue: name of the queue that was called.
    :param digest: of the key that was shown.
    """

    account: str = ""
    queue: str = ""
    digest: bytes = b""

    def may_see(self, account: str, queue: str) -> bool:
        """Whether a job of an account on a queue is shown to this caller.

        On a queue that is or was public some have no account.
        """
        is_shared = not (self.account and account) and self.queue == queue
        return self.account == account or is_shared


ANONYMOUS = Caller()


class CallRejectionCode(StrEnum):
    """Why a call goes no further."""

    NO_DOCUMENT = "no_document"
    NO_QUEUE = "no_queue"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    STALE_DOCUMENT = "stale_document"
    IDENTIFIER_IN_USE = "identifier_in_use"


@distinct
class CallRejected(NamedTuple):
    """The call goes no further; nothing was done."""

    code: CallRejectionCode


@distinct
class JobAccepted(NamedTuple):
    """The job is stored, now or before."""


@distinct
class JobNotAccepted(NamedTuple):
    """The job was not stored and never will be; come back after ``retry``."""

    code: str
    retry: timedelta = DEFAULT_RETRY_DELAY


@distinct
class JobUnconfirmed(NamedTuple):
    """The job may have been stored, or may yet be."""

    code: str


@distinct
class JobStateFound(NamedTuple):
    """The state of a job."""

    state: QueueJobState


@distinct
class JobNotFound(NamedTuple):
    """There is no such job."""


@distinct
class JobStateUnavailable(NamedTuple):
    """Nobody who knows could be asked."""

    code: str
    retry: timedelta = DEFAULT_RETRY_DELAY
