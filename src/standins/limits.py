"""The limits that the platform's documentation sets, which the stand-ins enforce."""

from datetime import timedelta
from typing import NamedTuple


class StoreLimits(NamedTuple):
    """The limits of the platform's store.

    :param page_entries: how many entries a page of a list has at most.
    :param page_bytes: the size of a page's keys and values from which it ends.
    :param transaction_entries: how many keys a transaction names at most.
    :param watch_wait: the longest wait of a watch.
    :param min_ttl: the shortest lease; shorter ones are extended to it.
    :param max_ttl: the longest lease; longer ones are shortened to it.
    :param protected: the prefixes of keys that only the platform writes.
    """

    page_entries: int = 500
    page_bytes: int = 1_000_000
    transaction_entries: int = 32
    key_bytes: int = 200
    value_bytes: int = 1 << 20
    watch_wait: timedelta = timedelta(seconds=30)
    min_ttl: timedelta = timedelta(seconds=1)
    max_ttl: timedelta = timedelta(minutes=10)
    protected: tuple[str, ...] = ("op/", "servers/", "operator/", "workers/")


class WorkerLimits(NamedTuple):
    """The limits of a worker.

    :param listed_ends: how many ends a list contains at most.
    :param poll_wait: the longest wait of a poll.
    :param lease: the longest lease; longer ones are shortened to it.
    """

    listed_ends: int = 500
    poll_wait: timedelta = timedelta(seconds=2)
    lease: timedelta = timedelta(seconds=6)


class AdvisorLimits(NamedTuple):
    """The limits of the advisor.

    :param workers: how many workers a query names at most.
    :param waiting_calls: how many calls of one daemon may wait for their turn.
    """

    workers: int = 100
    waiting_calls: int = 32


STORE_LIMITS = StoreLimits()
WORKER_LIMITS = WorkerLimits()
ADVISOR_LIMITS = AdvisorLimits()


class LimitExceededError(Exception):
    """A call exceeds a limit of the platform.

    :param limit: name of the limit.
    :param size: what the call needs.
    :param allowed: what the limit allows.
    """

    def __init__(self, limit: str, size: object, allowed: object) -> None:
        super().__init__(f"{limit}: {size} exceeds {allowed}")
        self.limit = limit


class ProtectedKeyError(Exception):
    """A transaction writes a key that only the platform writes."""


def check_limit(name: str, size: int | timedelta, allowed: int | timedelta) -> None:
    """Check a size or a duration against a limit.

    :raises LimitExceededError: if it exceeds the limit.
    """
    if size > allowed:  # type: ignore[operator]
        raise LimitExceededError(name, size, allowed)
