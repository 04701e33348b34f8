"""Passes over the failures that KNOWN-RED.txt lists, and over no others.

A test that is listed there runs like all others: it is printed with what it showed,
and its failure doesn't fail the run. One that is listed and passes fails the run, so
that its line is taken off with the mend.
"""

import re
import sys
from pathlib import Path
from typing import NamedTuple

from nose2.events import Plugin

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
# An entry begins with the name of its test; indented lines tell of it.
_NAME = re.compile(r"^(tests\.[\w.]+):")
_PASSED, _FAILED = "passed", "failed"


class Outcome(NamedTuple):
    """What a run of a listed test counts as.

    :param is_expected: whether the run may go on to pass.
    """

    outcome: str
    is_expected: bool


def read_names(text: str) -> frozenset[str]:
    """Return the names of the tests that a list of known failures holds."""
    matches = (_NAME.match(line) for line in text.splitlines())
    return frozenset(match[1] for match in matches if match is not None)


def judge(outcome: str, is_listed: bool) -> Outcome | None:
    """Return what an outcome counts as, ``None`` where the list changes nothing."""
    if not is_listed or outcome == "skipped":
        return None
    return Outcome(outcome, is_expected=outcome != _PASSED)


def _make_failure(message: str) -> tuple:
    """Return a failure as the runner's report wants it."""
    try:
        raise AssertionError(message)
    except AssertionError:
        return sys.exc_info()


class KnownRed(Plugin):
    """Judges the tests on the list by it."""

    alwaysOn = True  # noqa: N815
    configSection = "known-red"  # noqa: N815

    def __init__(self) -> None:
        text = LIST.read_text() if LIST.exists() else ""
        self._names = read_names(text)
        self._seen: dict[str, str] = {}

    def setTestOutcome(self, event) -> None:  # noqa: N802
        """Let a listed failure pass, and a listed pass fail."""
        name = event.test.id()
        judged = judge(event.outcome, name in self._names)
        if judged is None:
            return
        self._seen[name] = event.outcome
        event.outcome, event.expected = _FAILED, judged.is_expected
        if not judged.is_expected:
            event.exc_info = _make_failure("it passes: take it off KNOWN-RED.txt")

    def afterSummaryReport(self, event) -> None:  # noqa: N802
        """Print what was passed over."""
        for name, outcome in sorted(self._seen.items()):
            event.stream.writeln(f"known red: {name}: {outcome}")
