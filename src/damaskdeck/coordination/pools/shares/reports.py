"""Log lines about accounts that go above their fair share and back."""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from damaskdeck.coordination.pools.shares.standings import AccountStanding
from damaskdeck.logs import get_logger
from damaskdeck.state.pooljobs import Step

# An account near its share may cross it with every start, so that each account is
# logged at most this often.
LOG_INTERVAL_SECONDS = 5.0

_log = get_logger("shares")


class ReportedShares(Protocol):
    """What reports need from the shares."""

    above_share: frozenset[str]

    def find_standing(self, account: str) -> AccountStanding:
        """Return what an account has of the pools at present."""


class ShareReports:
    """Logs which accounts are above their fair share while others wait."""

    def __init__(self, shares: ReportedShares) -> None:
        self._shares = shares
        self._reported: set[str] = set()
        self._logged_at: dict[str, float] = {}

    def update(self, steps: Iterable[Step], now: float) -> None:
        """Log the accounts that have changed since the last line about each.

        :param steps: The pending steps in their order.
        """
        above = self._shares.above_share
        if not (above or self._reported):
            return
        waiting: Counter[str] = Counter()
        jobs: dict[str, str] = {}
        for step in steps:
            account = step.job.record.account
            waiting[account] += 1
            jobs.setdefault(account, step.job.identifier)
        total = waiting.total()
        found = {account for account in above if total > waiting[account]}
        for account in sorted(found ^ self._reported):
            if now - self._logged_at.get(account, float("-inf")) < LOG_INTERVAL_SECONDS:
                continue
            self._logged_at[account] = now
            self._reported ^= {account}
            others = total - waiting[account]
            self._log(account, jobs.get(account, ""), waiting[account], others)

    def _log(self, account: str, job: str, waiting: int, others: int) -> None:
        """Log one line.

        :param job: The first waiting job of the account.
        :param waiting: The number of its waiting steps.
        :param others: The number of the other accounts' waiting steps.
        """
        standing = self._shares.find_standing(account)
        is_above = account in self._reported
        _log.info(
            "An account is above its fair share."
            if is_above
            else "An account is no longer above its fair share.",
            **({"id": job} if job else {}),
            account=account,
            use=list(standing.use),
            share=round(standing.share, 4),
            fair_share=round(min(standing.fair_share, 1.0), 4),
            waiting=waiting,
            waiting_others=others,
        )
