"""Limits for retries: a budget, a backoff and a number of attempts."""

import random
from datetime import timedelta

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
ATTEMPT_LIMIT = 4
BACKOFF = timedelta(milliseconds=5)
BACKOFF_LIMIT = timedelta(seconds=1)


class RetryBudget:
    """Allows retries up to a share of the requests.

    When everything fails, retries add at most this share to the load.

    :param share: retries earned by each request.
    :param burst: maximum and initial number of saved retries.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._saved = burst

    def earn(self) -> None:
        """Count a request."""
        self._saved = min(self._burst, self._saved + self._share)

    def spend(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


def draw_backoff(retry: int, rng: random.Random) -> timedelta:
    """Draw the wait before a retry, between zero and a limit that doubles.

    :param retry: 1 for the first retry.
    """
    limit = min(BACKOFF * 2 ** (retry - 1), BACKOFF_LIMIT)
    return limit * rng.random()
