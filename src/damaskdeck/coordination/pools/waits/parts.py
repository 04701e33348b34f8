"""What the tasks of a step have waited for until they are ordered."""

from typing import NamedTuple

from damaskdeck.coordination.pools.advice import StepAdvice
from damaskdeck.metrics import observe_latency
from damaskdeck.state.pooljobs import Step


class StepWait(NamedTuple):
    """The parts of the wait of a step, one after the other, in seconds.

    :param held: until no worker could have runs of the job that the owner doesn't know.
    :param advised: after that, until the advisor consented to a worker.
    :param placed: after that, until the order.
    """

    held: float
    advised: float
    placed: float

    def describe(self) -> dict[str, float]:
        """Return the fields of a log line."""
        return {
            f"wait_{name}": round(value, 3) for name, value in self._asdict().items()
        }


def measure_wait(step: Step, advice: StepAdvice, now: float) -> StepWait:
    """Return what the tasks of a step that is ordered now have waited for."""
    since = step.waiting_since if step.waiting_since is not None else now
    confirmed_at = max(since, step.job.confirmed_at)
    answered_at = max(confirmed_at, advice.answered_at or 0.0)
    return StepWait(confirmed_at - since, answered_at - confirmed_at, now - answered_at)


def record_wait(wait: StepWait) -> None:
    """Record the parts of a wait as latencies."""
    for name, seconds in wait._asdict().items():
        observe_latency("dispatching", name, seconds)
