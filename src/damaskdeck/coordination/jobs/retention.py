"""Forgets results and keys once they have been kept for as long as stated."""

from datetime import timedelta
from itertools import islice

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.protocol.handlers import FINAL_JOB_STATES
from damaskdeck.state import records

INTERVAL = timedelta(minutes=1)
BATCH_LIMIT = 1000


class Retention:
    """Forgets what is old in one kept ledger, one commit for many.

    :param retention: how long results and outcomes of keys are kept.
    """

    def __init__(
        self,
        kept: OwnedLedger,
        clock: Clock,
        retention: timedelta = defaults.RESULT_RETENTION,
    ) -> None:
        self._kept = kept
        self._clock = clock
        self._retention = retention

    async def run(self) -> None:
        """Forget until cancelled."""
        while True:
            await self._clock.sleep(INTERVAL)
            await self._forget_old()

    async def _forget_old(self) -> None:
        limit = self._kept.get_time() - self._retention.total_seconds()
        table = self._kept.table
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
            await self._kept.commit((record, records.RemovedJobs))
