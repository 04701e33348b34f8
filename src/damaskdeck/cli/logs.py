"""The command that tells a job's life from the daemons' logs."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.output import print_note
from damaskdeck.errors import DECODE_ERRORS

LEFT_OUT = "Lines were left out."
ORDERED = "Ordered."
ENDED = "A run has ended."
LOST = "A run is lost with its worker."
SETTLED = frozenset({ENDED, LOST, "A start was not confirmed."})
FINAL = "A job has ended."
TAKEN = "Taken."
# Fields that stand before the others, or are told otherwise.
_HEAD = ("time", "level", "instance", "part", "message", "id")


class Line(NamedTuple):
    """A log line.

    :param time: as written, which sorts.
    """

    time: str
    instance: str
    part: str
    message: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the structured lines; whatever stands before the object is ignored."""
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


def select_life(lines: Iterable[Line], identifier: str) -> list[Line]:
    """Return what concerns a job in order of time, told gaps among it."""
    chosen = [
        line
        for line in lines
        if line.fields.get("id") == identifier or line.message == LEFT_OUT
    ]
    chosen.sort(key=lambda line: line.time)
    times = [line.time for line in chosen if line.message != LEFT_OUT]
    if not times:
        return []
    first, last = times[0], times[-1]
    return [line for line in chosen if first <= line.time <= last]


def find_gaps(life: list[Line]) -> list[str]:
    """Say what the logs should hold of a job's life and do not."""
    gaps = []
    messages = {line.message for line in life}
    if TAKEN not in messages:
        gaps.append("how it was taken is not in these logs")
    open_runs = set()
    for line in life:
        if line.message == ORDERED:
            step, attempt = line.fields.get("step"), line.fields.get("attempt")
            tasks = line.fields.get("tasks", ())
            open_runs |= {(step, index, attempt) for index in tasks}
        elif line.message in SETTLED:
            _, step, index = line.fields.get("task", (0, 0, 0))
            open_runs.discard((step, index, line.fields.get("attempt")))
    for step, index, attempt in sorted(open_runs):
        gaps.append(f"no end of step {step} task {index} attempt {attempt}")
    if FINAL not in messages:
        gaps.append("its end is not in these logs")
    if LEFT_OUT in messages:
        gaps.append("a daemon left lines out meanwhile, as told above")
    return gaps


def render_line(line: Line) -> str:
    """Return a line for people."""
    rest = {k: v for k, v in line.fields.items() if k not in _HEAD}
    told = " ".join(f"{name}={value}" for name, value in rest.items())
    head = f"{line.time}  {line.instance:24}  {line.part:12}"
    return f"{head}  {line.message} {told}".rstrip()


@app.command()
def explain(
    identifier: Annotated[str, typer.Argument(help="A job's identifier.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of any daemons; standard input unless given."),
    ] = None,
) -> None:
    """Tell a job's life across daemons, in order, with gaps told as gaps."""
    texts: list[str] = []
    for path in logs or ():
        texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
    if not logs:
        texts = list(sys.stdin)
    life = select_life(read_lines(texts), identifier)
    if not life:
        print_note(f"no line names {identifier}")
        raise typer.Exit(Exit.REFUSED)
    for line in life:
        print(render_line(line))
    for gap in find_gaps(life):
        print(f"gap: {gap}")
