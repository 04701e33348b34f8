"""For how long each pending step has waited for what."""

from enum import StrEnum

from damaskdeck.metrics import observe_latency
from damaskdeck.state.pooljobs import Step

# What a step waits for is determined again after this time.
DIAGNOSIS_SECONDS = 0.5
# A step is reported when it has waited for this long, then each time that doubles.
FIRST_REPORT_SECONDS = 3.0


class WaitReason(StrEnum):
    """What keeps a step with waiting tasks from being ordered.

    ``ADVICE``: no worker has a valid ticket for it. ``CAPACITY``: workers that it may
    use lack free capacity. ``EXCLUDED``: those with capacity get no orders of it, as
    they are silent, suspect or held for others. ``RESERVED``: they are reserved for
    gangs. ``ZONES``: they are in other zones than those of its job. ``PLACEMENT``: they
    don't suit it together: it is a gang, is spread, or waits for other workers.
    ``QUOTA``: of its account. ``PACE``: no more starts may be under way. ``TURN``: the
    pass ended before it. ``PAUSE``: it has failed to start a moment ago.
    """

    ADVICE = "advice"
    CAPACITY = "capacity"
    EXCLUDED = "excluded"
    RESERVED = "reserved"
    ZONES = "zones"
    PLACEMENT = "placement"
    QUOTA = "quota"
    PACE = "pace"
    TURN = "turn"
    PAUSE = "pause"


class _Waiting:
    """The wait of one step.

    :ivar seconds: spent on each earlier reason.
    :ivar since: from when on ``reason`` counts.
    """

    __slots__ = ("began_at", "diagnosed_at", "reason", "report_at", "seconds", "since")

    def __init__(self, reason: WaitReason, now: float) -> None:
        self.reason = reason
        self.began_at = self.since = now
        self.seconds: dict[WaitReason, float] = {}
        self.diagnosed_at = float("-inf")
        self.report_at = now + FIRST_REPORT_SECONDS

    def add_elapsed(self, now: float) -> None:
        """Count the time up to now for the present reason."""
        spent = self.seconds.get(self.reason, 0.0)
        self.seconds[self.reason] = spent + now - self.since
        self.since = now


class WaitTracker:
    """Tracks what the pending steps of one owner wait for.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, _Waiting] = {}

    def record(self, step: Step, reason: WaitReason, now: float) -> None:
        """Record what a step waits for from now on."""
        waiting = self._waiting.get(step.name)
        if waiting is None:
            waiting = self._waiting[step.name] = _Waiting(reason, now)
        elif waiting.reason is not reason:
            waiting.add_elapsed(now)
            waiting.reason = reason
        waiting.diagnosed_at = now

    def is_diagnosis_due(self, step: Step, now: float) -> bool:
        """Whether what a step waits for was determined too long ago."""
        waiting = self._waiting.get(step.name)
        return waiting is None or now - waiting.diagnosed_at >= DIAGNOSIS_SECONDS

    def take_report(self, step: Step, now: float) -> dict[str, float] | None:
        """Return the seconds by reason if a step is to be reported, else ``None``."""
        waiting = self._waiting.get(step.name)
        if waiting is None or now < waiting.report_at:
            return None
        waiting.report_at = now + (now - waiting.began_at)
        waiting.add_elapsed(now)
        return _round(waiting.seconds)

    def end(self, step: Step, now: float) -> dict[str, float]:
        """End the wait of a step that is ordered; return its seconds by reason."""
        waiting = self._waiting.pop(step.name, None)
        if waiting is None:
            return {}
        waiting.add_elapsed(now)
        for reason, seconds in waiting.seconds.items():
            observe_latency("waiting", reason, seconds)
        return _round(waiting.seconds)

    def discard(self, step: Step) -> None:
        """Forget a step of a job that has ended."""
        self._waiting.pop(step.name, None)


def _round(seconds: dict[WaitReason, float]) -> dict[str, float]:
    return {str(reason): round(value, 3) for reason, value in seconds.items() if value}
