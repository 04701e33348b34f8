"""Which jobs were accepted within the declared rate of their client account.

The declared rate is a token bucket, which is replayed in the order of the acceptance
times in the jobs' records. The result depends on the records only and not on the order
in which they are received, so a successor derives the same. Clocks of daemons differ:
the difference moves a job within the order, and the burst of the bucket covers it.

Acceptances that are older than the reorder window are folded into the state of the
bucket. A successor knows only the jobs that are still stored and starts with a full
bucket before the first of them. The bucket gets whole tokens at moments that are the
same for everyone, so both buckets are equal again once the account has been below its
rate, or after at most as many jobs beyond it as a bucket holds. With fractions of
tokens they would differ for as long as the account is beyond its rate.
"""

import bisect
import math
from collections.abc import Mapping

# The burst that an account may send at once, as the time in which its bucket fills.
BURST_SECONDS = 2.0
# A job is found at the latest by the owner's watch, which the store may delay by some
# seconds. One that is received later counts as accepted at the end of the folded time.
REORDER_SECONDS = 10.0
# The most acceptances that are kept of one account, some 100 bytes each: 30 s of an
# account with 130 jobs per second. It applies if a clock is wrong by more than the
# reorder window.
MAX_ACCEPTANCES = 4_096


class DeclaredRates:
    """The token buckets of all accounts.

    :ivar beyond: Identifiers of the open jobs that were accepted beyond the rate.
    """

    def __init__(self) -> None:
        self.beyond: set[str] = set()
        self._open: set[str] = set()
        self._buckets: dict[str, _Bucket] = {}
        self._weights: dict[str, float] = {}
        self._changed: set[str] = set()

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the declared rates in jobs per second.

        Jobs of accounts without a declared rate are never beyond it. A new rate applies
        to all acceptances that are not folded yet.
        """
        for account in self._weights.keys() | weights.keys():
            if self._weights.get(account) != weights.get(account):
                self._changed.add(account)
                if account in self._buckets:
                    self._buckets[account].restart()
        self._weights = dict(weights)

    def add(
        self, account: str, identifier: str, accepted_at: float, is_open: bool = True
    ) -> None:
        """Add an accepted job; the same identifier counts once.

        :param accepted_at: Seconds since 1970, from the job's record.
        :param is_open: Whether the job has not ended.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = _Bucket()
        if is_open:
            self._open.add(identifier)
        if bucket.add(accepted_at, identifier):
            self._changed.add(account)

    def discard(self, identifier: str) -> None:
        """Forget whether an ended job was within the rate; it still counts."""
        self._open.discard(identifier)
        self.beyond.discard(identifier)

    def judge(self) -> None:
        """Bring ``beyond`` up to date."""
        for account in self._changed:
            bucket = self._buckets.get(account)
            if bucket is None:
                continue
            weight = self._weights.get(account)
            for identifier, is_within in bucket.replay(weight):
                if is_within:
                    self.beyond.discard(identifier)
                elif identifier in self._open:
                    self.beyond.add(identifier)
        self._changed.clear()

    def fold(self, wall_time: float) -> None:
        """Drop the acceptances that no late one should precede any more.

        :param wall_time: Seconds since 1970.
        """
        self.judge()
        for bucket in self._buckets.values():
            bucket.fold(wall_time - REORDER_SECONDS)


class _Bucket:
    """The acceptances of one account in their order, with the state of its bucket."""

    __slots__ = ("_acceptances", "_folded_at", "_folded_tokens", "_known", "_tokens")

    def __init__(self) -> None:
        self._acceptances: list[tuple[float, str]] = []
        # The tokens after each acceptance that has been replayed.
        self._tokens: list[int] = []
        self._known: set[str] = set()
        self._folded_at = float("-inf")
        self._folded_tokens = 0

    def add(self, accepted_at: float, identifier: str) -> bool:
        """Insert an acceptance, and return whether it was new."""
        if identifier in self._known:
            return False
        self._known.add(identifier)
        acceptance = (max(accepted_at, self._folded_at), identifier)
        index = bisect.bisect_left(self._acceptances, acceptance)
        self._acceptances.insert(index, acceptance)
        del self._tokens[index:]
        return True

    def restart(self) -> None:
        """Replay all acceptances again, as the rate has changed."""
        self._tokens.clear()

    def replay(self, weight: float | None) -> list[tuple[str, bool]]:
        """Return which of the acceptances not yet replayed are within the rate.

        :param weight: Jobs per second; ``None`` if none are declared.
        """
        begin, judged = len(self._tokens), []
        if weight is None:
            self._tokens += [0] * (len(self._acceptances) - begin)
            return [(identifier, True) for _, identifier in self._acceptances[begin:]]
        burst = _find_burst(weight)
        if begin:
            at, tokens = self._acceptances[begin - 1][0], self._tokens[-1]
        else:
            at, tokens = self._folded_at, self._folded_tokens
        for accepted_at, identifier in self._acceptances[begin:]:
            tokens = min(burst, tokens + _count_refills(at, accepted_at, weight, burst))
            at = accepted_at
            is_within = tokens > 0
            tokens -= is_within
            self._tokens.append(tokens)
            judged.append((identifier, is_within))
        return judged

    def fold(self, horizon: float) -> None:
        """Drop the acceptances before a time, and the oldest above the bound.

        All acceptances must have been replayed.
        """
        count = max(
            bisect.bisect_left(self._acceptances, (horizon, "")),
            len(self._acceptances) - MAX_ACCEPTANCES,
        )
        if count <= 0:
            return
        self._folded_at = self._acceptances[count - 1][0]
        self._folded_tokens = self._tokens[count - 1]
        self._known.difference_update(name for _, name in self._acceptances[:count])
        del self._acceptances[:count]
        del self._tokens[:count]


def _find_burst(weight: float) -> int:
    """Return how many jobs a bucket holds.

    It holds at least one whole job, or no job of a small account would be within its
    rate.
    """
    return max(1, int(BURST_SECONDS * weight)) if weight else 0


def _count_refills(begin: float, end: float, weight: float, burst: int) -> int:
    """Return how many tokens a bucket gets from one time to a later one."""
    if begin == float("-inf"):
        return burst
    return math.floor(end * weight) - math.floor(begin * weight)
