"""A nose2 plugin that tolerates the failures listed in KNOWN-RED.txt, and no others.

A listed test runs like all others: its outcome is printed, and its failure does not
fail the run. A listed test that passes does fail the run, so that the commit that
fixes it also removes its entry.
"""

import re
import sys
from pathlib import Path
from typing import NamedTuple

from nose2.events import Plugin

KNOWN_FAILURES_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
# An entry starts with the name of its test; indented lines describe the failure.
_NAME = re.compile(r"^(tests\.[\w.]+):")
_PASSED, _FAILED = "passed", "failed"


class Outcome(NamedTuple):
    """The outcome to report for a listed test.

    :param is_expected: whether the whole run can still pass.
    """

    outcome: str
    is_expected: bool


def read_names(text: str) -> frozenset[str]:
    """Return the names of the tests in a list of known failures."""
    matches = (_NAME.match(line) for line in text.splitlines())
    return frozenset(match[1] for match in matches if match is not None)


def decide_outcome(outcome: str, is_listed: bool) -> Outcome | None:
    """Return the outcome to report, or ``None`` to leave the outcome unchanged."""
    if not is_listed or outcome == "skipped":
        return None
    return Outcome(outcome, is_expected=outcome != _PASSED)


def _make_failure(message: str) -> tuple:
    """Return a failure as an ``exc_info`` tuple, which the runner's report expects."""
    try:
        raise AssertionError(message)
    except AssertionError:
        return sys.exc_info()


class KnownRed(Plugin):
    """Replaces the outcomes of the tests in KNOWN-RED.txt."""

    alwaysOn = True  # noqa: N815
    configSection = "known-red"  # noqa: N815

    def __init__(self) -> None:
        text = KNOWN_FAILURES_PATH.read_text() if KNOWN_FAILURES_PATH.exists() else ""
        self._names = read_names(text)
        self._outcomes: dict[str, str] = {}

    def setTestOutcome(self, event) -> None:  # noqa: N802
        """Expect the failure of a listed test, and fail a listed test that passes."""
        name = event.test.id()
        decision = decide_outcome(event.outcome, name in self._names)
        if decision is None:
            return
        self._outcomes[name] = event.outcome
        event.outcome, event.expected = _FAILED, decision.is_expected
        if not decision.is_expected:
            event.exc_info = _make_failure(
                "the test passes: remove its entry from KNOWN-RED.txt"
            )

    def afterSummaryReport(self, event) -> None:  # noqa: N802
        """Print the outcomes of the listed tests."""
        for name, outcome in sorted(self._outcomes.items()):
            event.stream.writeln(f"known red: {name}: {outcome}")
