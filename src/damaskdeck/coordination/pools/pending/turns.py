"""Which steps have waited so long that others may not go before them any more.

The order of urgency alone has no bound for what is late: while more arrives on time
than can be started, it would wait for ever. An accepted job is a promise, so a share of
the starts belongs to the steps that have waited longest.
"""

from damaskdeck.coordination.pools.pending.steps import RankedStep
from damaskdeck.state.pooljobs import Step

# From this wait on a preference for other workers gives way.
OVERDUE_SECONDS = 2.0
# From this wait on the preference for more urgent steps gives way, too. A long-running
# task is missed for as long as it is down.
TURN_SECONDS = 10.0
LASTING_TURN_SECONDS = OVERDUE_SECONDS


def is_overdue(step: Step, now: float, seconds: float = OVERDUE_SECONDS) -> bool:
    """Whether tasks of a step have waited for too long.

    :param now: monotonic seconds.
    :param seconds: the longest wait that isn't too long.
    """
    since = step.incomplete_since
    return since is not None and now - since >= seconds


def find_turn_seconds(step: Step) -> float:
    """Return from which wait on a step goes before more urgent ones, in seconds."""
    return LASTING_TURN_SECONDS if step.spec.is_long_running else TURN_SECONDS


def list_overdue(ranked: list[RankedStep], now: float) -> list[RankedStep]:
    """List the steps that go before more urgent ones, as they have waited for too long.

    Those of long-running tasks come first, then those that have waited longest.
    """
    overdue = []
    for entry in ranked:
        step = entry.pending.step
        is_lasting = step.spec.is_long_running
        if is_overdue(step, now, find_turn_seconds(step)):
            overdue.append((not is_lasting, step.incomplete_since or now, entry))
    overdue.sort(key=lambda row: row[:2])
    return [entry for _, _, entry in overdue]
