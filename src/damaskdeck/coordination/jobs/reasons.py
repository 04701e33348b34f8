"""Descriptions of where the tasks of a job are, for people to read."""

from collections.abc import Iterable

from damaskdeck.state.jobmodel import Job, Task, TaskState

_MAX_NAMED_WORKERS = 3


def explain_tasks(job: Job, tasks: Iterable[Task]) -> tuple[str, ...]:
    """Describe how many tasks start, run or avoid workers, and where.

    This is for unfinished jobs. The recorded reasons of a finished job explain its
    outcome.
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
            found.append(
                f"{_count(groups[state])} {verb} {_name_workers(groups[state])}"
            )
    if job.stopping and found:
        found.append("what runs of it is being stopped")
    retried = [task for task in groups.get(TaskState.QUEUED, ()) if task.avoid]
    if retried:
        workers = sorted({worker for task in retried for worker in task.avoid})
        found.append(
            f"{_count(retried)} kept off {_join_names(workers)}, where it failed"
        )
    return tuple(found)


def _count(tasks: list[Task]) -> str:
    return "1 task is" if len(tasks) == 1 else f"{len(tasks)} tasks are"


def _name_workers(tasks: list[Task]) -> str:
    return _join_names(sorted({task.worker for task in tasks}))


def _join_names(names: list[str]) -> str:
    shown = ", ".join(names[:_MAX_NAMED_WORKERS])
    rest = len(names) - _MAX_NAMED_WORKERS
    return f"{shown} and {rest} more" if rest > 0 else shown
