"""The remaining time of a run, by its progress so far."""

from damaskdeck.state.pooljobs import Run

# Below this progress a run says nothing about its rate.
MIN_MEASURED_PERCENT = 5


def estimate_remaining(run: Run, now: float, expected: float | None = None) -> float:
    """Return the seconds until a run ends if it continues at its rate so far.

    :param expected: the duration of the whole run in seconds if nothing is known of its
        rate; its estimate if ``None``.
    """
    spec = run.task.step.spec
    first_percent = run.first_percent if run.first_percent is not None else run.percent
    progress, seconds = run.percent - first_percent, run.progressed_at - run.first_at
    remaining_percent = 100 - run.percent
    if progress < MIN_MEASURED_PERCENT or seconds <= 0:
        if expected is None:
            expected = spec.estimate.total_seconds()
        return expected * remaining_percent / 100
    return max(0.0, remaining_percent * seconds / progress - (now - run.progressed_at))
