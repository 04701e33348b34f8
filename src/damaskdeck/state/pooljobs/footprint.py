"""How much memory an owner needs for a job, whatever runs of it."""

from damaskdeck.protocol.queues import JobSpec

# So many steps of one job wait for capacity at a time. The others are created as these
# get it.
MAX_WAITING_STEPS = 128
# Fewer exist from the beginning.
FIRST_WAITING_STEPS = 16
# So many occurrences of one job are open at a time, if some of their steps can't start.
MAX_OPEN_OCCURRENCES = 512

# Upper bounds: of a job with one step that waits, of what each further step adds by its
# text, by the steps it follows and once it waits, and of an open occurrence.
JOB_BYTES = 8_000
STEP_BYTES = 450
EDGE_BYTES = 150
WAITING_STEP_BYTES = 1_800
OCCURRENCE_BYTES = 1_000
# What a value takes that is read from the store, in relation to its text.
TEXT_FACTOR = 2


def estimate_footprint(spec: JobSpec) -> int:
    """Return the bytes that an owner needs for an open job without runs."""
    steps = len(spec.steps)
    occurrences = max(spec.repeats, 1)
    waiting = min(steps * occurrences, MAX_WAITING_STEPS)
    is_schedule = spec.repeats > 0
    opened = min(occurrences, MAX_OPEN_OCCURRENCES) if is_schedule else 0
    return (
        JOB_BYTES
        + TEXT_FACTOR * len(spec.payload)
        + STEP_BYTES * steps
        + EDGE_BYTES * sum(len(step.after) for step in spec.steps)
        + WAITING_STEP_BYTES * waiting
        + OCCURRENCE_BYTES * opened
    )
