"""Task names in the platform's format, ``JOB.OCCURRENCE.STEP.INDEX``."""

from damaskdeck.protocol.queues import TaskName


def format_task(task: TaskName) -> str:
    """Return a task's name in the wire format."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskName:
    """Parse a task's name from the wire format.

    :raises ValueError: if ``text`` isn't a task name.
    :raises TypeError: if ``text`` isn't a string.
    """
    if not isinstance(text, str):
        raise TypeError(f"task name must be a string, not {type(text).__name__}")
    job, occurrence, step, index = text.rsplit(".", 3)
    return TaskName(job, int(occurrence), int(step), int(index))
