"""The command ``losses``, which finds in daemons' logs what late jobs waited for."""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from itertools import pairwise
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.logs import (
    JOB_ACCEPTED,
    JOB_ENDED,
    RUN_ENDED,
    RUN_LOST,
    STARTS_ORDERED,
    Line,
    read_lines,
)
from damaskdeck.cli.output import print_message

WORKER_SILENT = "A worker does not answer."
WORKER_ANSWERS = "A worker answers."
OWNER_LOADED = "Loaded."
START_UNCONFIRMED = "A start was not confirmed."
ACCOUNT_HELD_BACK = "An account is held back."
SHARE_EXCEEDED = "An account is above its fair share."
SHARE_KEPT = "An account is no longer above its fair share."
END_DURABLE = "A final state is durable."
# A run is slow when it takes more than this multiple of its step's median duration.
SLOW_FACTOR = 2.0
# The log line about an account that is held back is repeated at this interval while
# the account stays held back.
HOLD_REPORT_SECONDS = 5.0
# A poll without an answer ends after this time: its wait limit and the slack.
SILENCE_DETECTION_SECONDS = 0.85


class Span(NamedTuple):
    """A span of time, in seconds since 1970."""

    begin: float
    end: float


class Run(NamedTuple):
    """A run of a task, as reconstructed from the logs.

    :param span: its end is infinite when the logs hold no end of the run.
    :param outcome: ``untold`` when the logs hold no end of the run.
    """

    step: int
    index: int
    worker: str
    span: Span
    outcome: str


class JobTimeline(NamedTuple):
    """The events of a job, as reconstructed from the logs.

    :param slack: factor of the critical path in the job's objective.
    :param allowance: seconds that are added to the objective.
    :param accepted_at: when the job was accepted, in seconds since 1970.
    :param ended_at: when the job ended, in seconds since 1970.
    :param durable_at: when its end was durable, so that callers could learn of it, in
        seconds since 1970.
    :param is_beyond_rate: whether it was accepted beyond its account's declared rate.
    """

    identifier: str
    queue: str
    slack: float
    allowance: float
    accepted_at: float
    ended_at: float
    durable_at: float
    runs: list[Run]
    account: str = ""
    is_beyond_rate: bool = False

    @property
    def critical_path_seconds(self) -> float:
        """Length of the critical path, from the durations of the steps' runs.

        The steps are assumed to run one after another, so the value is too high for
        jobs with parallel steps.
        """
        total = 0.0
        for step in {run.step for run in self.runs}:
            durations = sorted(
                run.span.end - run.span.begin
                for run in self.runs
                if run.step == step and run.outcome == "completed"
            )
            if durations:
                median = durations[len(durations) // 2]
                total += max(t for t in durations if t <= SLOW_FACTOR * median)
        return total

    @property
    def objective(self) -> float:
        """Seconds after which the job is late."""
        return self.slack * self.critical_path_seconds + self.allowance

    @property
    def duration(self) -> float:
        """Seconds from acceptance until callers could learn the outcome."""
        return self.durable_at - self.accepted_at


class SystemHistory(NamedTuple):
    """Events in the logs that concern more than one job.

    :param silences: spans in which a worker did not answer, by worker.
    :param takeovers: spans in which no owner took decisions.
    :param quota_holds: approximate spans in which an account was held back by its
        quota, by account.
    :param share_excesses: spans in which an account was above its fair share while
        others waited, by account.
    """

    silences: dict[str, list[Span]]
    takeovers: list[Span]
    quota_holds: dict[str, list[Span]] = {}
    share_excesses: dict[str, list[Span]] = {}


def parse_time(text: str) -> float:
    """Return the time of a log line in seconds since 1970."""
    return datetime.fromisoformat(text).timestamp()


def read_history(lines: list[Line]) -> SystemHistory:
    """Collect silent workers, takeovers and accounts that were held back."""
    silences: dict[str, list[Span]] = defaultdict(list)
    silent_since: dict[str, float] = {}
    takeovers: list[Span] = []
    quota_holds: dict[str, list[Span]] = defaultdict(list)
    last_decision_at = 0.0
    for line in lines:
        at, fields = parse_time(line.time), line.fields
        worker = str(fields.get("worker", ""))
        if line.message == WORKER_SILENT:
            silent_since.setdefault(worker, at - SILENCE_DETECTION_SECONDS)
        elif line.message == WORKER_ANSWERS and worker in silent_since:
            silences[worker].append(Span(silent_since.pop(worker), at))
        elif line.message == ACCOUNT_HELD_BACK:
            account = str(line.fields.get("account", ""))
            quota_holds[account].append(Span(at, at + HOLD_REPORT_SECONDS))
        elif line.message == OWNER_LOADED and last_decision_at:
            takeovers.append(Span(last_decision_at, at))
        if line.message in (STARTS_ORDERED, RUN_ENDED, END_DURABLE, OWNER_LOADED):
            last_decision_at = at
    for worker, begin in silent_since.items():
        silences[worker].append(Span(begin, float("inf")))
    return SystemHistory(silences, takeovers, quota_holds, _read_excesses(lines))


def _read_excesses(lines: list[Line]) -> dict[str, list[Span]]:
    """Collect when accounts were above their fair share, as far as their owner knew."""
    excesses: dict[str, list[Span]] = defaultdict(list)
    begins: dict[str, float] = {}
    for line in lines:
        account = str(line.fields.get("account", ""))
        if line.message == SHARE_EXCEEDED:
            begins.setdefault(account, parse_time(line.time))
            continue
        # A new owner reports anew.
        is_reset = line.message == OWNER_LOADED
        ended = list(begins) if is_reset else [account] * (line.message == SHARE_KEPT)
        for name in ended:
            if name in begins:
                span = Span(begins.pop(name), parse_time(line.time))
                excesses[name].append(span)
    for name, begin in begins.items():
        excesses[name].append(Span(begin, float("inf")))
    return excesses


def read_timelines(lines: list[Line]) -> Iterator[JobTimeline]:
    """Yield the completed jobs whose acceptance and end are both in the logs."""
    lines_by_job: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        identifier = line.fields.get("id")
        if identifier:
            lines_by_job[str(identifier)].append(line)
    for identifier, job_lines in lines_by_job.items():
        found = {line.message: line for line in reversed(job_lines)}
        end, acceptance = found.get(JOB_ENDED), found.get(JOB_ACCEPTED)
        if end is None or acceptance is None or end.fields["state"] != "completed":
            continue
        ended_at = parse_time(end.time)
        durability = found.get(END_DURABLE)
        yield JobTimeline(
            identifier,
            str(end.fields.get("queue", "")),
            float(end.fields.get("slack", 1.0)),
            float(end.fields.get("allowance", 0.0)),
            ended_at - float(end.fields.get("age", 0.0)),
            ended_at,
            parse_time(durability.time) if durability is not None else ended_at,
            list(_read_runs(job_lines)),
            str(acceptance.fields.get("account", end.fields.get("account", ""))),
            bool(end.fields.get("beyond_rate", False)),
        )


def _read_runs(job_lines: list[Line]) -> Iterator[Run]:
    open_runs: dict[tuple[int, int, int], tuple[str, float]] = {}
    for line in job_lines:
        fields, at = line.fields, parse_time(line.time)
        if line.message == STARTS_ORDERED:
            pairs = zip(fields["tasks"], fields["workers"], strict=True)
            for index, worker in pairs:
                open_runs[fields["step"], index, fields["attempt"]] = worker, at
        elif line.message in (RUN_ENDED, START_UNCONFIRMED, RUN_LOST):
            _, step, index = fields.get("task", (0, 0, 0))
            worker, started_at = open_runs.pop(
                (step, index, fields.get("attempt")), ("", 0.0)
            )
            is_lost = line.message == RUN_LOST
            outcome = "lost" if is_lost else fields.get("outcome", "unconfirmed")
            if worker:
                yield Run(step, index, worker, Span(started_at, at), str(outcome))
    for (step, index, _), (worker, started_at) in open_runs.items():
        yield Run(step, index, worker, Span(started_at, float("inf")), "untold")


def split_by_cause(timeline: JobTimeline, history: SystemHistory) -> Counter[str]:
    """Split the duration of a job by what it waited for.

    :return: seconds by cause.
    """
    seconds: Counter[str] = Counter()
    median_durations = _find_median_durations(timeline)
    boundaries = {timeline.accepted_at, timeline.ended_at, timeline.durable_at}
    for run in timeline.runs:
        boundaries |= set(run.span) | {
            run.span.begin + SLOW_FACTOR * median_durations[run.step]
        }
        for span in history.silences.get(run.worker, ()):
            boundaries |= set(span)
    account = timeline.account
    for span in (
        *history.takeovers,
        *history.quota_holds.get(account, ()),
        *history.share_excesses.get(account, ()),
    ):
        boundaries |= set(span)
    inside = sorted(
        at for at in boundaries if timeline.accepted_at <= at <= timeline.durable_at
    )
    for begin, end in pairwise(inside):
        middle = (begin + end) / 2
        seconds[_find_cause(timeline, history, median_durations, middle)] += end - begin
    return seconds


def _find_median_durations(timeline: JobTimeline) -> dict[int, float]:
    """Return the median duration of the completed runs of each step, in seconds.

    It is infinite for steps without a completed run.
    """
    durations: dict[int, list[float]] = defaultdict(list)
    for run in timeline.runs:
        if run.outcome == "completed":
            durations[run.step].append(run.span.end - run.span.begin)
    median_durations = {
        step: sorted(seconds)[len(seconds) // 2] for step, seconds in durations.items()
    }
    return defaultdict(lambda: float("inf"), median_durations)


def _find_cause(
    timeline: JobTimeline,
    history: SystemHistory,
    median_durations: dict[int, float],
    at: float,
) -> str:
    """Return what the job waited for or did at a moment.

    The first cause that applies is returned, so their order matters.
    """
    if at >= timeline.ended_at:
        return "end not durable"
    running = [run for run in timeline.runs if run.span.begin <= at < run.span.end]
    for run in running:
        spans = history.silences.get(run.worker, ())
        if any(span.begin <= at < span.end for span in spans):
            return "lease of a silent worker"
    if any(span.begin <= at < span.end for span in history.takeovers):
        return "takeover"
    outcomes = {run.outcome for run in running}
    if "completed" in outcomes:
        slow = [
            at - r.span.begin > SLOW_FACTOR * median_durations[r.step] for r in running
        ]
        return "slow run" if all(slow) else "work"
    if "unconfirmed" in outcomes:
        return "order in doubt"
    if "lost" in outcomes:
        return "run lost with its worker"
    if outcomes - {"untold"}:
        return "run that failed"
    if outcomes:
        return "untold"
    return _find_wait_cause(timeline, history, at)


def _find_wait_cause(timeline: JobTimeline, history: SystemHistory, at: float) -> str:
    """Return what a job waited for at a moment at which nothing of it ran."""
    account = timeline.account
    for spans, cause in (
        (history.quota_holds, "quota, or room beside it"),
        (history.share_excesses, "fair share, or room beside it"),
    ):
        if any(span.begin <= at < span.end for span in spans.get(account, ())):
            return cause
    if timeline.is_beyond_rate:
        return "declared rate, or room beside it"
    return "room, advice or order"


def print_losses(
    timelines: list[JobTimeline], history: SystemHistory, top: int
) -> None:
    """Print by queue what late jobs waited for, then the jobs that were latest.

    :param top: how many of the latest jobs are printed.
    """
    late = [job for job in timelines if job.duration > job.objective]
    by_queue: dict[str, list[JobTimeline]] = defaultdict(list)
    for timeline in timelines:
        by_queue[timeline.queue].append(timeline)
    for queue, queue_jobs in sorted(by_queue.items()):
        late_jobs = [job for job in queue_jobs if job.duration > job.objective]
        print(f"{queue}: {len(queue_jobs)} jobs, {len(late_jobs)} late")
        _print_causes(late_jobs, history)
    _print_accounts(timelines, history)
    _print_seconds(late)
    late.sort(key=lambda job: job.objective - job.duration)
    for timeline in late[:top]:
        seconds = split_by_cause(timeline, history)
        causes = ", ".join(f"{n}: {s:.2f}" for n, s in seconds.most_common(4))
        print(
            f"{datetime.fromtimestamp(timeline.accepted_at):%H:%M:%S.%f}  "
            f"{timeline.identifier}  {timeline.queue}  "
            f"{timeline.duration:.2f} s of {timeline.objective:.2f}: {causes}"
        )


def _print_causes(late_jobs: list[JobTimeline], history: SystemHistory) -> None:
    """Print the seconds of late jobs by what they waited for, the longest first."""
    total: Counter[str] = Counter()
    for timeline in late_jobs:
        total += split_by_cause(timeline, history)
    for cause in sorted(total, key=lambda c: -total[c]):
        print(f"  {total[cause]:8.1f} s  {cause}")


def _print_accounts(timelines: list[JobTimeline], history: SystemHistory) -> None:
    """Print what late jobs of each account waited for, the worst served first."""
    by_account: dict[str, list[JobTimeline]] = defaultdict(list)
    late_by_account: dict[str, list[JobTimeline]] = defaultdict(list)
    for job in timelines:
        if job.account:
            by_account[job.account].append(job)
            if job.duration > job.objective:
                late_by_account[job.account].append(job)

    def measure_late(account: str) -> float:
        return len(late_by_account[account]) / len(by_account[account])

    for account in sorted(by_account, key=measure_late, reverse=True):
        jobs, late_jobs = by_account[account], late_by_account[account]
        beyond = sum(job.is_beyond_rate for job in jobs)
        suffix = f", {beyond} beyond the declared rate" if beyond else ""
        print(f"account {account}: {len(jobs)} jobs, {len(late_jobs)} late{suffix}")
        _print_causes(late_jobs, history)


def _print_seconds(late: list[JobTimeline]) -> None:
    seconds = Counter(int(job.accepted_at) for job in late)
    for second, count in sorted(seconds.items()):
        print(f"{datetime.fromtimestamp(second):%H:%M:%S}  {count} late")


@app.command()
def losses(
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of all daemons; standard input unless given."),
    ] = None,
    top: Annotated[int, typer.Option(help="How many late jobs to list.")] = 10,
) -> None:
    """Report what jobs on queues that ended late waited for, by queue and second."""
    texts: Iterable[str] = sys.stdin
    if logs:
        texts = (
            text
            for path in logs
            for text in path.read_text("utf-8", errors="replace").splitlines()
        )
    lines = sorted(read_lines(texts), key=lambda line: line.time)
    timelines = list(read_timelines(lines))
    if not timelines:
        print_message("no log line reports the acceptance and end of a job")
        raise typer.Exit(Exit.REFUSED)
    print_losses(timelines, read_history(lines), top)
