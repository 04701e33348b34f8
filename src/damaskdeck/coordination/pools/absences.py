"""Silent workers whose runs were abandoned, until it is known whether they crashed.

Silence proves nothing: a worker that is cut off runs on until its lease expires and
returns as the same incarnation. Only another incarnation at its address proves that it
has ended. A worker that stays away for good is taken as gone after a while.
"""

from enum import StrEnum
from typing import NamedTuple

from damaskdeck.state.pooljobs import Task

# A worker that has not registered for this long, while the registry could be followed,
# counts as gone. A network partition rarely lasts longer.
MAX_ABSENCE_SECONDS = 30.0


class AbsenceOutcome(StrEnum):
    """How an absence ended; the values are those of a log field."""

    ALIVE = "alive"
    REPLACED = "replaced"
    GONE = "gone"


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
        # The incarnations at each address.
        self._workers: dict[str, set[str]] = {}

    def add(self, worker: str, address: str, run: AbandonedRun, now: float) -> None:
        """Add a run that was abandoned on a worker."""
        absence = self._absences.get(worker)
        if absence is None:
            absence = self._absences[worker] = Absence(worker, address, now, [])
            self._workers.setdefault(address, set()).add(worker)
        absence.runs.append(run)

    def take(self, worker: str) -> Absence | None:
        """Remove the absence of a worker and return it, ``None`` if there is none."""
        absence = self._absences.pop(worker, None)
        if absence is not None:
            workers = self._workers[absence.address]
            workers.discard(worker)
            if not workers:
                del self._workers[absence.address]
        return absence

    def take_registered(
        self, worker: str, address: str, reported_at: float
    ) -> list[tuple[Absence, AbsenceOutcome]]:
        """Remove the absences that a registration ends.

        :param reported_at: the earliest monotonic time in seconds at which the worker
            may have written the registration.
        """
        ended = [
            name
            for name in {worker} | self._workers.get(address, set())
            if name in self._absences and self._absences[name].since <= reported_at
        ]
        return [
            (
                self.take(name),
                AbsenceOutcome.ALIVE if name == worker else AbsenceOutcome.REPLACED,
            )
            for name in sorted(ended)
        ]

    def take_gone(self, now: float, followed_since: float) -> list[Absence]:
        """Remove the absences that have lasted too long.

        :param followed_since: monotonic seconds since which the registry has been
            followed without a failure. Absence can't be told before.
        """
        latest = now - MAX_ABSENCE_SECONDS
        if followed_since > latest:
            return []
        gone = [a.worker for a in self._absences.values() if a.since <= latest]
        return [self.take(worker) for worker in gone]

    def __bool__(self) -> bool:
        return bool(self._absences)
