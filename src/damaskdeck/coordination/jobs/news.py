"""What news of a task mean for its job: started, ended, or back to the queue."""

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
# A task under which so many workers have restarted would take more of them down.
CRASHES_LIMIT = 3
_RESTARTED = "worker_restarted"

ResultSizes = dict[str, dict[str, int]]


class Verdict(NamedTuple):
    """What follows from some news.

    :param noted: attempts whose news are settled once the records are durable.
    :param stop: attempts that run and must not.
    :param sizes: bytes of the results that aren't durable yet, by job and task.
    """

    started: list[records.Attempt]
    returns: list[records.RequeuedAttempt]
    ends: list[records.TaskEnd]
    noted: list[TaskAttempt]
    stop: list[TaskAttempt]
    sizes: ResultSizes

    def list_records(self, at: float) -> list[tuple[object, type]]:
        """Return the records to commit, if any."""
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


Judge = Callable[[Verdict, Job, Task, TaskUpdate], None]

_judges: dict[str, Judge] = {}


def judges(state: str) -> Callable[[Judge], Judge]:
    """Register what follows from news of ``state``."""

    def register(function: Judge) -> Judge:
        _judges[state] = function
        return function

    return register


def judge_news(table: JobTable, news: list[TaskUpdate], sizes: ResultSizes) -> Verdict:
    """Return what follows from news; those of other attempts change nothing.

    :param sizes: of results on their way to the ledger; those of ``news`` are
        added.
    """
    verdict = Verdict([], [], [], [], [], sizes)
    for item in news:
        attempt = TaskAttempt(
            task=item["task"], attempt=item["attempt"], worker=item["worker"]
        )
        task = table.find_attempt(item["task"], item["attempt"])
        judge = _judges.get(item["state"])
        if task is None:
            _judge_stranger(verdict, attempt, item["state"])
        elif judge is not None:
            judge(verdict, table.jobs[task.job], task, item)
            verdict.noted.append(attempt)
    return verdict


def is_idempotent(spec: WorkloadSpec) -> bool:
    """Tell whether tasks of a workload may run more than once.

    A service's replicas may, unless it says otherwise: they are replaced.
    """
    return spec.get("idempotent", spec["type"] == "service")


def _judge_stranger(verdict: Verdict, attempt: TaskAttempt, state: str) -> None:
    """An attempt that the ledger doesn't wait for must not go on."""
    if state in ("running", "unsure", "starting"):
        verdict.stop.append(attempt)
    verdict.noted.append(attempt)


@judges("running")
def _judge_running(verdict: Verdict, job: Job, task: Task, news: TaskUpdate) -> None:
    if task.state is TaskState.PLACED:
        attempt = records.Attempt(task=task.name, attempt=task.attempt)
        verdict.started.append(attempt)


@judges("succeeded")
def _judge_success(verdict: Verdict, job: Job, task: Task, news: TaskUpdate) -> None:
    result = news.get("result", b"")
    if job.spec["type"] == "service" and not job.stopping:
        _return(verdict, job, task, news, "its task ended", failed=True)
        return
    others = dict(verdict.sizes.get(job.name, {}))
    others.pop(task.name, None)
    total = job.result_size + sum(others.values()) + len(result)
    if len(result) > defaults.RESULT_LIMIT or total > defaults.RESULTS_LIMIT:
        _end(verdict, task, TaskState.FAILED, "result_too_large")
        return
    if result:
        verdict.sizes.setdefault(job.name, {})[task.name] = len(result)
    _end(verdict, task, TaskState.SUCCEEDED, result=result)


@judges("failed")
def _judge_failure(verdict: Verdict, job: Job, task: Task, news: TaskUpdate) -> None:
    code = news.get("code") or "task_failed"
    if _may_retry(job, task):
        _return(verdict, job, task, news, "the task failed", failed=True)
    else:
        _end(verdict, task, TaskState.FAILED, code)


@judges("stopped")
@judges("checkpointed")
def _judge_stop(verdict: Verdict, job: Job, task: Task, news: TaskUpdate) -> None:
    if job.stopping:
        _end(verdict, task, TaskState.STOPPED)
    elif is_idempotent(job.spec) or news["state"] == "checkpointed":
        reason = news.get("code") or news["state"]
        _return(verdict, job, task, news, reason)
    else:
        _end(verdict, task, TaskState.FAILED, "stopped")


@judges("lapsed")
def _judge_lapse(verdict: Verdict, job: Job, task: Task, news: TaskUpdate) -> None:
    """The worker says that it stopped the task when its lease lapsed."""
    if job.stopping:
        _end(verdict, task, TaskState.STOPPED)
    elif is_idempotent(job.spec):
        _return(verdict, job, task, news, "its lease lapsed")
    else:
        _end(verdict, task, TaskState.FAILED, "lease_lapsed")


@judges("lost")
def _judge_loss(verdict: Verdict, job: Job, task: Task, news: TaskUpdate) -> None:
    """It isn't running any more, and how it ended can't be learned."""
    code = news.get("code") or "worker_lost"
    has_crashed = code == _RESTARTED
    if not is_idempotent(job.spec) or job.stopping:
        _end(verdict, task, TaskState.UNKNOWN, code)
    elif has_crashed and not _may_crash_again(job, task):
        # No worker will ever tell a failure of it.
        _end(verdict, task, TaskState.FAILED, "workers_crashed")
    else:
        reason = f"the worker was lost ({code})"
        _return(verdict, job, task, news, reason, crashed=has_crashed)


@judges("unstarted")
def _judge_refusal(verdict: Verdict, job: Job, task: Task, news: TaskUpdate) -> None:
    """It is proved that the attempt never started."""
    code = news.get("code") or "not started"
    _return(verdict, job, task, news, f"it was not started there ({code})", ran=False)


def _may_retry(job: Job, task: Task) -> bool:
    if job.stopping or not is_idempotent(job.spec):
        return False
    if job.spec["type"] == "service":
        return True
    return task.failures + 1 < job.spec.get("attempts", DEFAULT_ATTEMPTS)


def _may_crash_again(job: Job, task: Task) -> bool:
    """Whether a task may start after one more worker has restarted under it.

    A service's replica may: it has no end, and is started ever more seldom.
    """
    return job.spec["type"] == "service" or task.crashes + 1 < CRASHES_LIMIT


def _end(
    verdict: Verdict,
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
    verdict.ends.append(end)


def _return(
    verdict: Verdict,
    job: Job,
    task: Task,
    news: TaskUpdate,
    reason: str,
    ran: bool = True,
    failed: bool = False,
    crashed: bool = False,
) -> None:
    checkpoint = news.get("checkpoint", "")
    if ran and task.marked and not (is_idempotent(job.spec) or checkpoint):
        raise InvariantError(f"{task.name} was about to start a second time")
    back = records.RequeuedAttempt(
        task=task.name, attempt=task.attempt, reason=reason, ran=ran, failed=failed
    )
    if checkpoint:
        back["checkpoint"] = checkpoint
    if crashed:
        back["crashed"] = True
    verdict.returns.append(back)
