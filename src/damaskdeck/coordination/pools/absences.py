"""Silent workers whose runs were abandoned, until it is known whether they crashed.

Silence proves nothing: a worker that is cut off runs on until its lease expires and
returns as the same incarnation. Only another incarnation at its address, or a later one
under its name at any address, proves that it has ended.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from damaskdeck.protocol.pools import WorkerIncarnation
from damaskdeck.state.pooljobs import Task


class AbsenceOutcome(StrEnum):
    """How an absence ended; the values are those of a log field."""

    ALIVE = "alive"
    REPLACED = "replaced"


class AbandonedRun(NamedTuple):
    """An attempt of a task that was abandoned on a silent worker."""

    task: Task
    attempt: int


class Absence(NamedTuple):
    """A silent worker.

    :param worker: its incarnation.
    :param since: monotonic seconds when its runs were abandoned; no earlier sign of it
        or of its successor counts.
    :param runs: the runs that it may have lost in a crash.
    """

    worker: str
    address: str
    since: float
    runs: list[AbandonedRun]


class Absences:
    """The absences that one owner knows, by the worker's incarnation."""

    def __init__(self) -> None:
        self._absences: dict[str, Absence] = {}
        # The incarnations at each address, and of each name.
        self._workers: dict[str, set[str]] = {}
        self._namesakes: dict[str, set[str]] = {}

    def add(self, worker: str, address: str, run: AbandonedRun, now: float) -> None:
        """Add a run that was abandoned on a worker."""
        absence = self._absences.get(worker)
        if absence is None:
            absence = self._absences[worker] = Absence(worker, address, now, [])
            self._workers.setdefault(address, set()).add(worker)
            name = WorkerIncarnation.parse(worker).name
            self._namesakes.setdefault(name, set()).add(worker)
        absence.runs.append(run)

    def take(self, worker: str) -> Absence | None:
        """Remove the absence of a worker and return it, ``None`` if there is none."""
        absence = self._absences.pop(worker, None)
        if absence is not None:
            _discard(self._workers, absence.address, worker)
            _discard(self._namesakes, WorkerIncarnation.parse(worker).name, worker)
        return absence

    def take_registered(
        self, worker: str, address: str, reported_at: float
    ) -> list[tuple[Absence, AbsenceOutcome]]:
        """Remove the absences that a registration ends.

        :param reported_at: the earliest monotonic time in seconds at which the worker
            may have written the registration.
        """
        registered = WorkerIncarnation.parse(worker)
        at_address = self._workers.get(address, set())
        named = self._namesakes.get(registered.name, set())
        ended = []
        for name in sorted(at_address | named):
            absent, absence = WorkerIncarnation.parse(name), self._absences[name]
            # A later birth proves the end whenever it was registered.
            if absence.since <= reported_at or absent.precedes(registered):
                is_alive = absent.may_be(registered)
                outcome = AbsenceOutcome.ALIVE if is_alive else AbsenceOutcome.REPLACED
                ended.append((self.take(name), outcome))
        return ended

    def is_absent_since(self, worker: str, time: float) -> bool:
        """Whether a worker has been absent since a monotonic time in seconds."""
        absence = self._absences.get(worker)
        return absence is not None and absence.since <= time

    def retain(self, is_needed: Callable[[AbandonedRun], bool]) -> None:
        """Remove the runs that are not needed, and absences without runs."""
        for absence in list(self._absences.values()):
            absence.runs[:] = filter(is_needed, absence.runs)
            if not absence.runs:
                self.take(absence.worker)

    def __bool__(self) -> bool:
        return bool(self._absences)


def _discard(workers: dict[str, set[str]], key: str, worker: str) -> None:
    """Remove a worker from the set under a key, and the set if it is empty then."""
    workers[key].discard(worker)
    if not workers[key]:
        del workers[key]
