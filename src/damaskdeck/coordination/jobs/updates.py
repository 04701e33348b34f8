"""Decisions on task updates: whether a task started, ended or is requeued."""

from collections.abc import Callable
from typing import NamedTuple

from damaskdeck import defaults
from damaskdeck.errors import InvariantError
from damaskdeck.protocol.jobs import TaskAttempt, TaskUpdate
from damaskdeck.protocol.resources import WorkloadSpec
from damaskdeck.state import records
from damaskdeck.state.jobmodel import Job, Task, TaskState
from damaskdeck.state.jobtable import JobTable

DEFAULT_ATTEMPTS = 3
# A task under which this many workers have restarted would crash further ones.
MAX_CRASHES = 3
_RESTARTED = "worker_restarted"

ResultSizes = dict[str, dict[str, int]]


class Decision(NamedTuple):
    """The consequences of some updates.

    :param started: attempts to record as started.
    :param returns: attempts to requeue.
    :param ends: ends of tasks to record.
    :param noted: attempts whose updates needn't be sent again once the records are
        durable.
    :param stop: attempts that run and must not.
    :param sizes: sizes in bytes of the results that aren't durable yet, by job and
        task.
    """

    started: list[records.Attempt]
    returns: list[records.RequeuedAttempt]
    ends: list[records.TaskEnd]
    noted: list[TaskAttempt]
    stop: list[TaskAttempt]
    sizes: ResultSizes

    def list_records(self, at: float) -> list[tuple[object, type]]:
        """Return the records to commit, if any.

        :param at: the time in seconds since 1970.
        """
        found: list[tuple[object, type]] = []
        if self.started:
            started = records.Started(tasks=self.started)
            found.append((started, records.Started))
        if self.returns:
            requeued = records.Requeued(tasks=self.returns, at=at)
            found.append((requeued, records.Requeued))
        if self.ends:
            found.append((records.Ended(tasks=self.ends, at=at), records.Ended))
        return found


Decider = Callable[[Decision, Job, Task, TaskUpdate], None]

_deciders: dict[str, Decider] = {}


def decides_on(state: str) -> Callable[[Decider], Decider]:
    """Register the function that decides on updates with ``state``."""

    def register(function: Decider) -> Decider:
        _deciders[state] = function
        return function

    return register


def decide_updates(
    table: JobTable, updates: list[TaskUpdate], sizes: ResultSizes
) -> Decision:
    """Return the decision on updates; those of other attempts change nothing.

    :param sizes: sizes of the results that are being committed to the ledger;
        those of ``updates`` are added.
    """
    decision = Decision([], [], [], [], [], sizes)
    for item in updates:
        attempt = TaskAttempt(
            task=item["task"], attempt=item["attempt"], worker=item["worker"]
        )
        task = table.find_attempt(item["task"], item["attempt"])
        decider = _deciders.get(item["state"])
        if task is None:
            _decide_unexpected(decision, attempt, item["state"])
        elif decider is not None:
            decider(decision, table.jobs[task.job], task, item)
            decision.noted.append(attempt)
    return decision


def is_idempotent(spec: WorkloadSpec) -> bool:
    """Return whether tasks of a workload may run more than once.

    Replicas of a service may by default, because they are replaced.
    """
    return spec.get("idempotent", spec["type"] == "service")


def _decide_unexpected(decision: Decision, attempt: TaskAttempt, state: str) -> None:
    """Stop an attempt that the ledger doesn't expect to run."""
    if state in ("running", "unsure", "starting"):
        decision.stop.append(attempt)
    decision.noted.append(attempt)


@decides_on("running")
def _decide_running(
    decision: Decision, job: Job, task: Task, update: TaskUpdate
) -> None:
    if task.state is TaskState.PLACED:
        attempt = records.Attempt(task=task.name, attempt=task.attempt)
        decision.started.append(attempt)


@decides_on("succeeded")
def _decide_success(
    decision: Decision, job: Job, task: Task, update: TaskUpdate
) -> None:
    result = update.get("result", b"")
    if job.spec["type"] == "service" and not job.stopping:
        _requeue(decision, job, task, update, "its task ended", failed=True)
        return
    others = dict(decision.sizes.get(job.name, {}))
    others.pop(task.name, None)
    total = job.result_size + sum(others.values()) + len(result)
    if (
        len(result) > defaults.MAX_RESULT_BYTES
        or total > defaults.MAX_TOTAL_RESULT_BYTES
    ):
        _end(decision, task, TaskState.FAILED, "result_too_large")
        return
    if result:
        decision.sizes.setdefault(job.name, {})[task.name] = len(result)
    _end(decision, task, TaskState.SUCCEEDED, result=result)


@decides_on("failed")
def _decide_failure(
    decision: Decision, job: Job, task: Task, update: TaskUpdate
) -> None:
    code = update.get("code") or "task_failed"
    if _may_retry(job, task):
        _requeue(decision, job, task, update, "the task failed", failed=True)
    else:
        _end(decision, task, TaskState.FAILED, code)


@decides_on("stopped")
@decides_on("checkpointed")
def _decide_stop(decision: Decision, job: Job, task: Task, update: TaskUpdate) -> None:
    if job.stopping:
        _end(decision, task, TaskState.STOPPED)
    elif is_idempotent(job.spec) or update["state"] == "checkpointed":
        reason = update.get("code") or update["state"]
        _requeue(decision, job, task, update, reason)
    else:
        _end(decision, task, TaskState.FAILED, "stopped")


@decides_on("lapsed")
def _decide_lapse(decision: Decision, job: Job, task: Task, update: TaskUpdate) -> None:
    """Decide on a task that the worker stopped because its lease lapsed."""
    if job.stopping:
        _end(decision, task, TaskState.STOPPED)
    elif is_idempotent(job.spec):
        _requeue(decision, job, task, update, "its lease lapsed")
    else:
        _end(decision, task, TaskState.FAILED, "lease_lapsed")


@decides_on("lost")
def _decide_loss(decision: Decision, job: Job, task: Task, update: TaskUpdate) -> None:
    """Decide on a task that no longer runs and whose end can't be determined."""
    code = update.get("code") or "worker_lost"
    has_crashed = code == _RESTARTED
    if not is_idempotent(job.spec) or job.stopping:
        _end(decision, task, TaskState.UNKNOWN, code)
    elif has_crashed and not _may_crash_again(job, task):
        # The task would never end otherwise: a crashed worker can't report a failure.
        _end(decision, task, TaskState.FAILED, "workers_crashed")
    else:
        reason = f"the worker was lost ({code})"
        _requeue(decision, job, task, update, reason, crashed=has_crashed)


@decides_on("unstarted")
def _decide_refusal(
    decision: Decision, job: Job, task: Task, update: TaskUpdate
) -> None:
    """Requeue a task whose attempt is proved never to have started."""
    code = update.get("code") or "not started"
    _requeue(
        decision, job, task, update, f"it was not started there ({code})", ran=False
    )


def _may_retry(job: Job, task: Task) -> bool:
    if job.stopping or not is_idempotent(job.spec):
        return False
    if job.spec["type"] == "service":
        return True
    return task.failures + 1 < job.spec.get("attempts", DEFAULT_ATTEMPTS)


def _may_crash_again(job: Job, task: Task) -> bool:
    """Return whether a task may start after one more worker restarted under it.

    Replicas of a service may, because they have no end and are started with a
    growing backoff.
    """
    return job.spec["type"] == "service" or task.crashes + 1 < MAX_CRASHES


def _end(
    decision: Decision,
    task: Task,
    state: TaskState,
    code: str = "",
    result: bytes = b"",
) -> None:
    end = records.TaskEnd(task=task.name, attempt=task.attempt, state=state.value)
    if code:
        end["code"] = code
    if result:
        end["result"] = result
    decision.ends.append(end)


def _requeue(
    decision: Decision,
    job: Job,
    task: Task,
    update: TaskUpdate,
    reason: str,
    ran: bool = True,
    failed: bool = False,
    crashed: bool = False,
) -> None:
    checkpoint = update.get("checkpoint", "")
    if ran and task.marked and not (is_idempotent(job.spec) or checkpoint):
        raise InvariantError(
            f"{task.name} is not idempotent and would start a second time"
        )
    requeued = records.RequeuedAttempt(
        task=task.name, attempt=task.attempt, reason=reason, ran=ran, failed=failed
    )
    if checkpoint:
        requeued["checkpoint"] = checkpoint
    if crashed:
        requeued["crashed"] = True
    decision.returns.append(requeued)
