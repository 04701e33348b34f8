"""Retries of failed idempotent tasks: a budget, a backoff, workers to avoid."""

import random
from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.retries import RetryBudget, draw_backoff
from damaskdeck.metrics import count_refusal, count_retry

# Retries that each start of a workload's task earns, and how many may be saved.
SHARE = 0.5
BURST = 20.0
# A task waits so many times longer than a request, from 1 s up to 200 s.
BACKOFF_FACTOR = 200
DOUBLINGS = 16
WORKLOAD_LIMIT = 4096


class Retry(NamedTuple):
    """Try again after ``delay``, elsewhere than on the workers ``avoid``."""

    delay: timedelta
    avoid: frozenset[str]


class NoRetry(NamedTuple):
    """The failure stands.

    :param code: why, as in ``not_idempotent``.
    """

    code: str


class TaskRetries:
    """Decides about retries, with a budget for each workload.

    A workload that fails everywhere uses up its own budget only.

    :param chooser: draws the waits.
    """

    def __init__(self, chooser: random.Random) -> None:
        self._chooser = chooser
        self._budgets: OrderedDict[str, RetryBudget] = OrderedDict()

    def note_start(self, workload: str) -> None:
        """Count the first start of a task."""
        self._get_budget(workload).earn()

    def plan(
        self,
        workload: str,
        failures: int,
        is_idempotent: bool,
        failed_on: frozenset[str],
        doubted: frozenset[str] = frozenset(),
    ) -> Retry | NoRetry:
        """Decide whether a task that failed is tried again.

        :param failures: of this task, this one included.
        :param failed_on: workers on which it failed.
        :param doubted: workers that are seen failing other work.
        """
        if not is_idempotent:
            return NoRetry("not_idempotent")
        if not self._get_budget(workload).spend():
            count_refusal("tasks", "retry_budget")
            return NoRetry("retry_budget")
        count_retry("tasks", "failed")
        doublings = min(failures, DOUBLINGS)
        delay = draw_backoff(doublings, self._chooser) * BACKOFF_FACTOR
        return Retry(delay, failed_on | doubted)

    def _get_budget(self, workload: str) -> RetryBudget:
        budget = self._budgets.get(workload)
        if budget is None:
            budget = self._budgets[workload] = RetryBudget(SHARE, BURST)
        self._budgets.move_to_end(workload)
        if len(self._budgets) > WORKLOAD_LIMIT:
            self._budgets.popitem(last=False)
        return budget
