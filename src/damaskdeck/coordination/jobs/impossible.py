"""Jobs that no listed worker could ever hold: told at once, refused later."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.shapes import Shapes
from damaskdeck.logs import get_logger
from damaskdeck.state import records

# A rack that is being replaced doesn't cost the jobs that wait for it.
IMPOSSIBLE_LIMIT = timedelta(seconds=60)

_log = get_logger("dispatch")


class Impossible(NamedTuple):
    """Since when no listed worker could ever hold a job, and what they lack."""

    since: timedelta
    lack: str

    @property
    def reason(self) -> str:
        """Plain words for people."""
        return f"no worker of the fleet has enough {self.lack}"


class ImpossibleJobs:
    """Judges the waiting jobs of one kept ledger when the fleet changes."""

    def __init__(self, kept: OwnedLedger, shapes: Shapes, clock: Clock) -> None:
        self._kept = kept
        self._shapes = shapes
        self._clock = clock
        self._found: dict[str, Impossible] = {}
        self._judged: frozenset[str] | None = None
        self._next = timedelta()

    def find_reason(self, job: str) -> str | None:
        """Return why a job can't run at present, if no worker could hold it."""
        found = self._found.get(job)
        return found.reason if found else None

    async def judge(self, waiting: Iterable[str]) -> None:
        """Judge jobs after a change of the fleet, and refuse those judged long."""
        now = self._clock.monotonic()
        if self._judged is self._shapes.names and now < self._next:
            return
        self._judged = self._shapes.names
        self._next = now + IMPOSSIBLE_LIMIT / 10
        found: dict[str, Impossible] = {}
        for name in waiting:
            job = self._kept.table.jobs.get(name)
            lack = self._shapes.find_impossible(job.spec) if job else None
            if lack is not None:
                known = self._found.get(name)
                found[name] = Impossible(known.since if known else now, lack)
        self._found = found
        late = [n for n, i in found.items() if now - i.since >= IMPOSSIBLE_LIMIT]
        await self._refuse_all([name for name in late if not self._is_service(name)])

    def _is_service(self, name: str) -> bool:
        """Tell whether a job is declared to run, so that it waits on."""
        return self._kept.table.jobs[name].spec["type"] == "service"

    async def _refuse_all(self, names: list[str]) -> None:
        changes: list[tuple[object, type]] = []
        for name in names:
            _log.info("A job can never run.", job=name)
            refused = records.RefusedJobs(
                jobs=[name],
                code="impossible",
                detail=self._found[name].reason,
                at=self._kept.get_time(),
            )
            changes.append((refused, records.RefusedJobs))
        if changes:
            await self._kept.commit(*changes)
