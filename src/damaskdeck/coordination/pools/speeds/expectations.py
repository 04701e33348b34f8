"""The expected ends of a step's tasks on the workers of an uneven pool."""

import math
from typing import NamedTuple

from damaskdeck.coordination.pools.speeds.estimates import SpeedEstimate

# Width of a class of about equally fast workers, in logarithms: the members of a gang
# differ in expected speed by less than a third.
CLASS_WIDTH = 0.28
# Workers are preferred on which a task ends in time with this many standard errors to
# spare: a job is as late as its slowest task. With 1.28 instead, 7 % of urgent tasks
# went to slow workers although fast ones were free.
PREFERRED_ERRORS = 2.0
# A task does not wait for other workers than those on which it ends in time with this
# many standard errors to spare.
ACCEPTABLE_ERRORS = 1.0
# The longest duration to allow for in multiples of the expected one. Estimates that are
# off by more would make every worker count as too slow.
MAX_MARGIN = 2.5
# A step waits for better workers for as long as it would gain there, but not longer
# than this: a rule of the platform forbids a step to wait for 3 s while there is free
# capacity elsewhere.
MAX_PLACEMENT_WAIT_SECONDS = 2.0
# The part of a run's duration between the order and the report of its end that is not
# work.
REPORT_SECONDS = 0.1


class StepExpectation(NamedTuple):
    """How long a step's tasks take, and how long they may.

    :param duration: seconds on a nominal worker, by the corrected estimate.
    :param variance: of the logarithm of ``duration``, for one task.
    :param available: seconds from now until the step has to end to be in time.
    :param fastest: duration factor of the fast workers of the pool.
    :param waited: seconds for which the step has waited for workers.
    """

    duration: float
    variance: float
    available: float
    fastest: float
    waited: float = 0.0

    def ends_in_time(
        self, speed: SpeedEstimate, standard_errors: float = PREFERRED_ERRORS
    ) -> bool:
        """Whether a task ends in time on a worker.

        :param standard_errors: how much longer than expected it may take.
        """
        error = math.sqrt(self.variance + speed.error**2)
        margin = min(math.exp(standard_errors * error), MAX_MARGIN)
        expected = self.duration * speed.duration_factor
        return expected * margin + REPORT_SECONDS <= self.available

    def is_acceptable(self, speed: SpeedEstimate) -> bool:
        """Whether a task probably ends in time on a worker."""
        return self.ends_in_time(speed, ACCEPTABLE_ERRORS)

    def should_wait(self, speed: SpeedEstimate) -> bool:
        """Whether to wait for a fast worker instead of using one that is too slow.

        Waiting ends when it has taken as long as a fast worker would gain, or as long
        as is allowed, and when the task would be late on a fast worker too.
        """
        gain = self.duration * (speed.duration_factor - self.fastest)
        longest = min(gain, MAX_PLACEMENT_WAIT_SECONDS)
        is_useful = self.duration * self.fastest < self.available
        return is_useful and self.waited < longest and not self.is_acceptable(speed)
