"""Jobs that no listed worker could ever hold: reported at once, refused later."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.shapes import WorkerShapes
from damaskdeck.logs import get_logger
from damaskdeck.state import records

# Long enough that jobs aren't refused while the rack that they need is being replaced.
IMPOSSIBLE_TIMEOUT = timedelta(seconds=60)

_log = get_logger("dispatch")


class Impossible(NamedTuple):
    """No listed worker could ever hold a job.

    :param since: monotonic time since when this is so.
    :param shortage: the dimension or property that no worker has enough of.
    """

    since: timedelta
    shortage: str

    @property
    def reason(self) -> str:
        """The reason for people to read."""
        return f"no worker of the fleet has enough {self.shortage}"


class ImpossibleJobs:
    """Finds the impossible jobs of one owned ledger when the fleet changes."""

    def __init__(self, ledger: OwnedLedger, shapes: WorkerShapes, clock: Clock) -> None:
        self._ledger = ledger
        self._shapes = shapes
        self._clock = clock
        self._found: dict[str, Impossible] = {}
        self._checked_workers: frozenset[str] | None = None
        self._next_check = timedelta()

    def find_reason(self, job: str) -> str | None:
        """Return the reason if no listed worker could hold a job, else ``None``."""
        found = self._found.get(job)
        return found.reason if found else None

    async def update(self, waiting: Iterable[str]) -> None:
        """Check all waiting jobs and refuse those that have long been impossible.

        Jobs are checked after a change of the fleet, and from time to time. Jobs of
        services are never refused.
        """
        now = self._clock.monotonic()
        if self._checked_workers is self._shapes.names and now < self._next_check:
            return
        self._checked_workers = self._shapes.names
        self._next_check = now + IMPOSSIBLE_TIMEOUT / 10
        found: dict[str, Impossible] = {}
        for name in waiting:
            job = self._ledger.table.jobs.get(name)
            shortage = self._shapes.find_impossible(job.spec) if job else None
            if shortage is not None:
                previous = self._found.get(name)
                found[name] = Impossible(previous.since if previous else now, shortage)
        self._found = found
        overdue = [n for n, i in found.items() if now - i.since >= IMPOSSIBLE_TIMEOUT]
        await self._refuse_all([name for name in overdue if not self._is_service(name)])

    def _is_service(self, name: str) -> bool:
        """Return whether a job belongs to a service, which waits without a limit."""
        return self._ledger.table.jobs[name].spec["type"] == "service"

    async def _refuse_all(self, names: list[str]) -> None:
        changes: list[tuple[object, type]] = []
        for name in names:
            _log.info("A job can never run.", job=name)
            refused = records.RefusedJobs(
                jobs=[name],
                code="impossible",
                detail=self._found[name].reason,
                at=self._ledger.get_time(),
            )
            changes.append((refused, records.RefusedJobs))
        if changes:
            await self._ledger.commit(*changes)
