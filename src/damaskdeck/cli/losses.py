"""The command that tells what late jobs waited for, from the daemons' logs."""

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
from damaskdeck.cli.logs import ENDED, FINAL, LOST, ORDERED, TAKEN, Line, read_lines
from damaskdeck.cli.output import print_note

SILENT = "A worker does not answer."
ANSWERS = "A worker answers."
LOADED = "Loaded."
UNCONFIRMED = "A start was not confirmed."
HELD = "An account is held back."
DURABLE = "A final state is durable."
# A run that goes on for so many times as long as the median of its step ran slowly.
SLOW_FACTOR = 2.0
# An account that is held back is told of again after so long, as long as it is.
HELD_SECONDS = 5.0
# A look that gets no answer takes so many seconds: its wait and the slack.
NOTICED_AFTER = 0.85


class Span(NamedTuple):
    """A span of time, in seconds since 1970."""

    begin: float
    end: float


class Run(NamedTuple):
    """A run of a task as the logs tell it; one without an end lasts for ever."""

    step: int
    index: int
    worker: str
    span: Span
    outcome: str


class Life(NamedTuple):
    """A job's life as the logs tell it.

    :param slack: the objective is so many times the longest chain of work.
    :param allowance: seconds more.
    :param taken: when it was taken, seconds since 1970.
    :param final: when it ended, ``durable`` when that could be told to callers.
    """

    identifier: str
    queue: str
    slack: float
    allowance: float
    taken: float
    final: float
    durable: float
    runs: list[Run]
    account: str = ""

    @property
    def chain(self) -> float:
        """Seconds of the longest chain of work, as its steps' runs took.

        Steps are taken to follow each other, so it is too long where they don't.
        """
        total = 0.0
        for step in {run.step for run in self.runs}:
            took = sorted(
                run.span.end - run.span.begin
                for run in self.runs
                if run.step == step and run.outcome == "completed"
            )
            if took:
                usual = took[len(took) // 2]
                total += max(t for t in took if t <= SLOW_FACTOR * usual)
        return total

    @property
    def objective(self) -> float:
        """Seconds after which it is late."""
        return self.slack * self.chain + self.allowance

    @property
    def took(self) -> float:
        """Seconds until callers could be told."""
        return self.durable - self.taken


class History(NamedTuple):
    """What the logs tell of the system, beside its jobs.

    :param held: when accounts were held back by their quota, about.
    """

    silent: dict[str, list[Span]]
    takeovers: list[Span]
    held: dict[str, list[Span]] = {}


def parse_time(text: str) -> float:
    """Return a line's time, in seconds since 1970."""
    return datetime.fromisoformat(text).timestamp()


def read_history(lines: list[Line]) -> History:
    """Gather when workers were silent and when nobody owned."""
    silent: dict[str, list[Span]] = defaultdict(list)
    since: dict[str, float] = {}
    takeovers: list[Span] = []
    held: dict[str, list[Span]] = defaultdict(list)
    decided_at = 0.0
    for line in lines:
        at, fields = parse_time(line.time), line.fields
        worker = str(fields.get("worker", ""))
        if line.message == SILENT:
            since.setdefault(worker, at - NOTICED_AFTER)
        elif line.message == ANSWERS and worker in since:
            silent[worker].append(Span(since.pop(worker), at))
        elif line.message == HELD:
            account = str(line.fields.get("account", ""))
            held[account].append(Span(at, at + HELD_SECONDS))
        elif line.message == LOADED and decided_at:
            takeovers.append(Span(decided_at, at))
        if line.message in (ORDERED, ENDED, DURABLE, LOADED):
            decided_at = at
    for worker, begin in since.items():
        silent[worker].append(Span(begin, float("inf")))
    return History(silent, takeovers, held)


def read_lives(lines: list[Line]) -> Iterator[Life]:
    """Yield the jobs whose taking and end are both told."""
    told: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        identifier = line.fields.get("id")
        if identifier:
            told[str(identifier)].append(line)
    for identifier, life in told.items():
        found = {line.message: line for line in reversed(life)}
        final, taken = found.get(FINAL), found.get(TAKEN)
        if final is None or taken is None or final.fields["state"] != "completed":
            continue
        ended_at = parse_time(final.time)
        durable = found.get(DURABLE)
        yield Life(
            identifier,
            str(final.fields.get("queue", "")),
            float(final.fields.get("slack", 1.0)),
            float(final.fields.get("allowance", 0.0)),
            ended_at - float(final.fields.get("age", 0.0)),
            ended_at,
            parse_time(durable.time) if durable is not None else ended_at,
            list(_read_runs(life)),
            str(taken.fields.get("account", "")),
        )


def _read_runs(life: list[Line]) -> Iterator[Run]:
    begun: dict[tuple[int, int, int], tuple[str, float]] = {}
    for line in life:
        fields, at = line.fields, parse_time(line.time)
        if line.message == ORDERED:
            pairs = zip(fields["tasks"], fields["workers"], strict=True)
            for index, worker in pairs:
                begun[fields["step"], index, fields["attempt"]] = worker, at
        elif line.message in (ENDED, UNCONFIRMED, LOST):
            _, step, index = fields.get("task", (0, 0, 0))
            worker, since = begun.pop((step, index, fields.get("attempt")), ("", 0.0))
            is_lost = line.message == LOST
            outcome = "lost" if is_lost else fields.get("outcome", "unconfirmed")
            if worker:
                yield Run(step, index, worker, Span(since, at), str(outcome))
    for (step, index, _), (worker, since) in begun.items():
        yield Run(step, index, worker, Span(since, float("inf")), "untold")


def split_life(life: Life, history: History) -> Counter[str]:
    """Split the seconds of a life by what it waited for."""
    split: Counter[str] = Counter()
    usual = _find_usual(life)
    cuts = {life.taken, life.final, life.durable}
    for run in life.runs:
        cuts |= set(run.span) | {run.span.begin + SLOW_FACTOR * usual[run.step]}
        for span in history.silent.get(run.worker, ()):
            cuts |= set(span)
    for span in (*history.takeovers, *history.held.get(life.account, ())):
        cuts |= set(span)
    inside = sorted(at for at in cuts if life.taken <= at <= life.durable)
    for begin, end in pairwise(inside):
        middle = (begin + end) / 2
        split[_judge(life, history, usual, middle)] += end - begin
    return split


def _find_usual(life: Life) -> dict[int, float]:
    """Return what a run of each step usually took, in seconds."""
    took: dict[int, list[float]] = defaultdict(list)
    for run in life.runs:
        if run.outcome == "completed":
            took[run.step].append(run.span.end - run.span.begin)
    usual = {step: sorted(all_)[len(all_) // 2] for step, all_ in took.items()}
    return defaultdict(lambda: float("inf"), usual)


def _judge(life: Life, history: History, usual: dict[int, float], at: float) -> str:
    if at >= life.final:
        return "end not durable"
    going = [run for run in life.runs if run.span.begin <= at < run.span.end]
    for run in going:
        spans = history.silent.get(run.worker, ())
        if any(span.begin <= at < span.end for span in spans):
            return "lease of a silent worker"
    if any(span.begin <= at < span.end for span in history.takeovers):
        return "takeover"
    outcomes = {run.outcome for run in going}
    if "completed" in outcomes:
        slow = [at - r.span.begin > SLOW_FACTOR * usual[r.step] for r in going]
        return "slow run" if all(slow) else "work"
    if "unconfirmed" in outcomes:
        return "order in doubt"
    if "lost" in outcomes:
        return "run lost with its worker"
    if outcomes - {"untold"}:
        return "run that failed"
    if outcomes:
        return "untold"
    spans = history.held.get(life.account, ())
    is_held = any(span.begin <= at < span.end for span in spans)
    return "quota, or room beside it" if is_held else "room, advice or order"


def print_losses(lives: list[Life], history: History, top: int) -> None:
    """Print, by queue, what late jobs waited for, and the latest ones."""
    late = [life for life in lives if life.took > life.objective]
    by_queue: dict[str, list[Life]] = defaultdict(list)
    for life in lives:
        by_queue[life.queue].append(life)
    for queue, all_ in sorted(by_queue.items()):
        behind = [life for life in all_ if life.took > life.objective]
        print(f"{queue}: {len(all_)} jobs, {len(behind)} late")
        total: Counter[str] = Counter()
        for life in behind:
            total += split_life(life, history)
        for reason in sorted(total, key=lambda r: -total[r]):
            print(f"  {total[reason]:8.1f} s  {reason}")
    _print_accounts(lives)
    _print_seconds(late)
    late.sort(key=lambda life: life.objective - life.took)
    for life in late[:top]:
        split = split_life(life, history)
        told = ", ".join(f"{n}: {s:.2f}" for n, s in split.most_common(4))
        print(
            f"{datetime.fromtimestamp(life.taken):%H:%M:%S.%f}  {life.identifier}  "
            f"{life.queue}  {life.took:.2f} s of {life.objective:.2f}: {told}"
        )


def _print_accounts(lives: list[Life]) -> None:
    """Print how many jobs of each account were late, the worst served first."""
    jobs = Counter(life.account for life in lives if life.account)
    behind = Counter(life.account for life in lives if life.took > life.objective)
    for account in sorted(jobs, key=lambda name: -behind[name] / jobs[name]):
        print(f"account {account}: {jobs[account]} jobs, {behind[account]} late")


def _print_seconds(late: list[Life]) -> None:
    seconds = Counter(int(life.taken) for life in late)
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
    """Tell what jobs on queues that ended late waited for, by queue and second."""
    texts: Iterable[str] = sys.stdin
    if logs:
        texts = (
            text
            for path in logs
            for text in path.read_text("utf-8", errors="replace").splitlines()
        )
    lines = sorted(read_lines(texts), key=lambda line: line.time)
    lives = list(read_lives(lines))
    if not lives:
        print_note("no line tells of a job's taking and end")
        raise typer.Exit(Exit.REFUSED)
    print_losses(lives, read_history(lines), top)
