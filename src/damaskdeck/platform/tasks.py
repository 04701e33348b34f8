"""Names of tasks as the platform writes them."""

from damaskdeck.protocol.queues import TaskName


def format_task(task: TaskName) -> str:
    """Return a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskName:
    """Read a task's name from the wire.

    :raises ValueError: when it isn't one.
    :raises TypeError: when it is no text.
    """
    if not isinstance(text, str):
        raise TypeError(f"no text: {type(text).__name__}")
    job, occurrence, step, index = text.rsplit(".", 3)
    return TaskName(job, int(occurrence), int(step), int(index))
