"""Orders to start tasks on workers, and what is known of their progress."""

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from damaskdeck.state.pooljobs.tasks import Task

# Minimum time over which the progress rate of a run is measured: workers are polled
# about this often.
MIN_RATE_SECONDS = 0.45
# Progress is reported in whole percent, too coarse for a rate from a smaller gain.
MIN_SIGNIFICANT_GAIN = 3
# Assumed gain in percent when none is reported.
HIDDEN_GAIN = 0.5


class RunPhase(Enum):
    """State of an order to start a task.

    ``DOUBTFUL`` means that it is unconfirmed whether the worker started the task. The
    lower-case names are values of a log field.
    """

    ORDERED = auto()
    RUNNING = auto()
    DOUBTFUL = auto()


class ProgressRate(NamedTuple):
    """The recent progress of a run: percent of its work gained, and in which time."""

    gained: int
    seconds: float

    @property
    def min_gain(self) -> float:
        """The gain for estimates, above 0.

        A gain below one percent may not show in the reports.
        """
        return max(self.gained, HIDDEN_GAIN)

    @property
    def rate(self) -> float:
        """Percent per second, above 0."""
        return self.min_gain / self.seconds


class Run:
    """One start of a task on a worker; it uses capacity there until it is removed.

    :ivar worker: identifier of the worker's incarnation that it was ordered on.
    :ivar ordered_at: monotonic seconds, as all times here.
    :ivar settled_at: when the worker confirmed it, or the order became unconfirmed.
    :ivar stopping_since: when a stop was first requested, ``None`` if never.
    :ivar stopped_at: when the worker first confirmed a stop; later ones are ignored.
    :ivar percent: completed part of its work, as last reported.
    :ivar progressed_at: when ``percent`` last changed.
    :ivar first_percent: percent in the first report, at ``first_at``.
    :ivar baseline: percent and time from which the next rate is measured.
    :ivar progress_rate: its recent progress rate, ``None`` while that is not known.
    :ivar best_rate: the highest earlier rate in percent per second.
    :ivar is_listed: whether a list of its worker has shown it.
    :ivar is_adopted: whether an owner found it running, at ``ordered_at``.
    """

    __slots__ = (
        "attempt",
        "best_rate",
        "checkpoint",
        "first_at",
        "first_percent",
        "is_adopted",
        "is_listed",
        "baseline",
        "progressed_at",
        "ordered_at",
        "progress_rate",
        "percent",
        "phase",
        "settled_at",
        "stop_sent_at",
        "stopped_at",
        "stopping_since",
        "task",
        "worker",
    )

    def __init__(self, task: "Task", worker: str, attempt: int, now: float) -> None:
        self.task = task
        self.worker = worker
        self.attempt = attempt
        self.phase = RunPhase.ORDERED
        self.ordered_at = self.settled_at = self.progressed_at = now
        self.stopping_since: float | None = None
        self.stop_sent_at: float | None = None
        self.stopped_at: float | None = None
        self.percent = 0
        self.first_percent: int | None = None
        self.first_at = now
        self.baseline = (0, now)
        self.progress_rate: ProgressRate | None = None
        self.best_rate = 0.0
        self.checkpoint = ""
        self.is_adopted = False
        self.is_listed = False

    def move(self, worker: str, now: float) -> None:
        """Move an order that the next incarnation of its worker may carry out."""
        self.worker = worker
        self.phase = RunPhase.DOUBTFUL
        self.settled_at = now
        self.stopping_since = now
        self.stop_sent_at = self.stopped_at = None

    def record_progress(self, percent: int, now: float) -> None:
        """Record the progress that the worker reports."""
        if self.first_percent is None:
            self.first_percent, self.first_at = percent, now
            self.baseline = percent, now
        since, seconds = self.baseline[0], now - self.baseline[1]
        if seconds >= MIN_RATE_SECONDS:
            if (
                self.progress_rate is not None
                and self.progress_rate.gained >= MIN_SIGNIFICANT_GAIN
            ):
                self.best_rate = max(self.best_rate, self.progress_rate.rate)
            self.progress_rate = ProgressRate(percent - since, seconds)
            self.baseline = percent, now
        if percent != self.percent:
            self.percent = percent
            self.progressed_at = now
