"""Removal of results and keys after their retention time."""

from datetime import timedelta
from itertools import islice

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.protocol.handlers import FINAL_JOB_STATES
from damaskdeck.state import records

CLEANUP_INTERVAL = timedelta(minutes=1)
BATCH_LIMIT = 1000


class Retention:
    """Removes old jobs and keys of one owned ledger in batches.

    :param retention: how long results and outcomes of keys are stored.
    """

    def __init__(
        self,
        ledger: OwnedLedger,
        clock: Clock,
        retention: timedelta = defaults.RESULT_RETENTION,
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._retention = retention

    async def run(self) -> None:
        """Remove old jobs and keys periodically until cancelled."""
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL)
            await self._remove_old()

    async def _remove_old(self) -> None:
        limit = self._ledger.get_time() - self._retention.total_seconds()
        table = self._ledger.table
        jobs = (
            job.name
            for job in table.jobs.values()
            if job.state in FINAL_JOB_STATES and job.ended <= limit
        )
        keys = (
            records.KeyName(team=index[0], service=index[1], key=index[2])
            for index, key in table.keys.items()
            if key.deadline <= limit
        )
        record = records.RemovedJobs(
            jobs=list(islice(jobs, BATCH_LIMIT)),
            keys=list(islice(keys, BATCH_LIMIT)),
        )
        if record["jobs"] or record["keys"]:
            await self._ledger.commit((record, records.RemovedJobs))
