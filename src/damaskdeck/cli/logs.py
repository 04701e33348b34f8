"""The command ``explain``, which lists the events of a job from daemons' logs."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.output import print_message
from damaskdeck.errors import DECODE_ERRORS

# Messages of log lines. Logs of older versions contain them too.
LINES_OMITTED = "Lines were left out."
STARTS_ORDERED = "Ordered."
RUN_ENDED = "A run has ended."
RUN_LOST = "A run is lost with its worker."
RUN_CLOSING_MESSAGES = frozenset({RUN_ENDED, RUN_LOST, "A start was not confirmed."})
JOB_ENDED = "A job has ended."
JOB_ACCEPTED = "Taken."
# Fields that are printed at the start of a line, or not at all.
_HEADER_FIELDS = ("time", "level", "instance", "part", "message", "id")


class Line(NamedTuple):
    """A log line.

    :param time: as written in the log; its text sorts by time.
    :param fields: all fields of the line, by name.
    """

    time: str
    instance: str
    part: str
    message: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the structured lines; text before the JSON object is ignored."""
    decoder = msgspec.json.Decoder(dict[str, Any])
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = decoder.decode(text[start:].strip().encode())
        except DECODE_ERRORS:
            continue
        if "time" in line and "message" in line:
            yield Line(
                str(line["time"]),
                str(line.get("instance", "")),
                str(line.get("part", "")),
                str(line["message"]),
                line,
            )


def select_job_lines(lines: Iterable[Line], identifier: str) -> list[Line]:
    """Return the lines of a job in order of time, with reports of omitted lines."""
    chosen = [
        line
        for line in lines
        if line.fields.get("id") == identifier or line.message == LINES_OMITTED
    ]
    chosen.sort(key=lambda line: line.time)
    times = [line.time for line in chosen if line.message != LINES_OMITTED]
    if not times:
        return []
    first, last = times[0], times[-1]
    return [line for line in chosen if first <= line.time <= last]


def find_gaps(job_lines: list[Line]) -> list[str]:
    """Return descriptions of the events of a job that the logs lack."""
    gaps = []
    messages = {line.message for line in job_lines}
    if JOB_ACCEPTED not in messages:
        gaps.append("how it was taken is not in these logs")
    open_runs = set()
    for line in job_lines:
        if line.message == STARTS_ORDERED:
            step, attempt = line.fields.get("step"), line.fields.get("attempt")
            tasks = line.fields.get("tasks", ())
            open_runs |= {(step, index, attempt) for index in tasks}
        elif line.message in RUN_CLOSING_MESSAGES:
            _, step, index = line.fields.get("task", (0, 0, 0))
            open_runs.discard((step, index, line.fields.get("attempt")))
    for step, index, attempt in sorted(open_runs):
        gaps.append(f"no end of step {step} task {index} attempt {attempt}")
    if JOB_ENDED not in messages:
        gaps.append("its end is not in these logs")
    if LINES_OMITTED in messages:
        gaps.append("a daemon left lines out meanwhile, as told above")
    return gaps


def render_line(line: Line) -> str:
    """Return a line in a readable form."""
    remaining = {k: v for k, v in line.fields.items() if k not in _HEADER_FIELDS}
    rendered_fields = " ".join(f"{name}={value}" for name, value in remaining.items())
    head = f"{line.time}  {line.instance:24}  {line.part:12}"
    return f"{head}  {line.message} {rendered_fields}".rstrip()


@app.command()
def explain(
    identifier: Annotated[str, typer.Argument(help="A job's identifier.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of any daemons; standard input unless given."),
    ] = None,
) -> None:
    """List the events of a job on all daemons in order, and what the logs lack."""
    texts: list[str] = []
    for path in logs or ():
        texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
    if not logs:
        texts = list(sys.stdin)
    job_lines = select_job_lines(read_lines(texts), identifier)
    if not job_lines:
        print_message(f"no log line concerns {identifier}")
        raise typer.Exit(Exit.REFUSED)
    for line in job_lines:
        print(render_line(line))
    for gap in find_gaps(job_lines):
        print(f"gap: {gap}")
