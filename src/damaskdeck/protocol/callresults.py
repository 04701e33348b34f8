"""Results of callers' calls about jobs on queues."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.protocol.values import distinct

# Used where no better estimate is known; outages of the store last for seconds.
DEFAULT_RETRY_DELAY = timedelta(seconds=1)
# Code of a job that could not end while it is still useful.
OVERLOADED_CODE = "overloaded"
# The accepted jobs take all the memory that daemons have for them.
MEMORY_CODE = "too_many_open_jobs"


class Caller(NamedTuple):
    """The identity of a caller; anonymous by default.

    :param account: account of the key that was sent, an empty string on a public
        queue.
    :param queue: name of the queue that was called.
    :param digest: digest of the key that was sent.
    """

    account: str = ""
    queue: str = ""
    digest: bytes = b""

    def may_see(self, account: str, queue: str) -> bool:
        """Whether this caller may see a job of an account on a queue.

        Either the accounts are equal, or one of the two has no account, as on a queue
        that is or was public, and the queues are equal.
        """
        is_shared = not (self.account and account) and self.queue == queue
        return self.account == account or is_shared


ANONYMOUS = Caller()


class CallRejectionCode(StrEnum):
    """Why a call is rejected."""

    NO_DOCUMENT = "no_document"
    NO_QUEUE = "no_queue"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    STALE_DOCUMENT = "stale_document"
    IDENTIFIER_IN_USE = "identifier_in_use"


@distinct
class CallRejected(NamedTuple):
    """The call was rejected; nothing was done."""

    code: CallRejectionCode


@distinct
class JobAccepted(NamedTuple):
    """The job is stored, by this call or an earlier one."""


@distinct
class JobNotAccepted(NamedTuple):
    """The job was not stored and never will be; retry after ``retry``."""

    code: str
    retry: timedelta = DEFAULT_RETRY_DELAY


@distinct
class JobUnconfirmed(NamedTuple):
    """The job may have been stored, or may yet be stored."""

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
    """No daemon that knows the state could be reached; retry after ``retry``."""

    code: str
    retry: timedelta = DEFAULT_RETRY_DELAY
