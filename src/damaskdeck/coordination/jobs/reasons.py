"""Plain words about where the tasks of a job are."""

from collections.abc import Iterable

from damaskdeck.state.jobmodel import Job, Task, TaskState

_NAMED_WORKERS = 3


def explain_tasks(job: Job, tasks: Iterable[Task]) -> tuple[str, ...]:
    """Tell how many tasks wait, start and run, and where.

    A job that has ended tells by its reasons why it ended as it did.
    """
    groups: dict[TaskState, list[Task]] = {}
    for task in tasks:
        groups.setdefault(task.state, []).append(task)
    found = []
    for state, verb in (
        (TaskState.PLACED, "being started on"),
        (TaskState.RUNNING, "running on"),
    ):
        if state in groups:
            found.append(f"{_count(groups[state])} {verb} {_name(groups[state])}")
    if job.stopping and found:
        found.append("what runs of it is being stopped")
    retried = [task for task in groups.get(TaskState.QUEUED, ()) if task.avoid]
    if retried:
        workers = sorted({worker for task in retried for worker in task.avoid})
        found.append(f"{_count(retried)} kept off {_list(workers)}, where it failed")
    return tuple(found)


def _count(tasks: list[Task]) -> str:
    return "1 task is" if len(tasks) == 1 else f"{len(tasks)} tasks are"


def _name(tasks: list[Task]) -> str:
    return _list(sorted({task.worker for task in tasks}))


def _list(names: list[str]) -> str:
    shown = ", ".join(names[:_NAMED_WORKERS])
    rest = len(names) - _NAMED_WORKERS
    return f"{shown} and {rest} more" if rest > 0 else shown
