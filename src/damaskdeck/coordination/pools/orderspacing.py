"""Orders to one worker that are kept apart, so that its crash tells under which.

What ran together on a worker that crashed is lost at the same moment, would be started
again at the same moment, and packed together once more: what only stood beside the
cause would then crash as often.
"""

from damaskdeck.state.pooljobs import Step

# Longer than a worker needs to fall and its channel to break.
APART_SECONDS = 0.1


class LastOrder:
    """What a worker was last told to start."""

    def __init__(self) -> None:
        self._at = float("-inf")
        self._job = ""
        self._is_suspect = False

    def note(self, step: Step, now: float) -> None:
        """Take note of an order."""
        self._at, self._job = now, step.job.identifier
        self._is_suspect = step.has_crashes

    def allows(self, step: Step, now: float) -> bool:
        """Whether tasks of a step may be ordered now.

        Not where either has seen workers crash, just after one of another job.
        """
        if now - self._at >= APART_SECONDS or self._job == step.job.identifier:
            return True
        return not (self._is_suspect or step.has_crashes)
