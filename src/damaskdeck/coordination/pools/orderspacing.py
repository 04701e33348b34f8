"""Spacing between orders to one worker, so that a crash can be attributed to one job.

The runs on a worker that crashes are lost at the same moment. Without spacing they
would be started together and on one worker again, so that runs beside the cause would
crash as often as the cause itself.
"""

from damaskdeck.state.pooljobs import Step

# Longer than a worker needs to crash and its connection to break.
SPACING_SECONDS = 0.1


class LastOrder:
    """The last order to one worker."""

    def __init__(self) -> None:
        self._ordered_at = float("-inf")
        self._job = ""
        self._has_crashes = False

    def record(self, step: Step, now: float) -> None:
        """Record an order."""
        self._ordered_at, self._job = now, step.job.identifier
        self._has_crashes = step.has_crashes

    def allows(self, step: Step, now: float) -> bool:
        """Whether tasks of a step may be ordered now.

        An order shortly after one of another job is not allowed if either step has
        crashed workers before.
        """
        if (
            now - self._ordered_at >= SPACING_SECONDS
            or self._job == step.job.identifier
        ):
            return True
        return not (self._has_crashes or step.has_crashes)
