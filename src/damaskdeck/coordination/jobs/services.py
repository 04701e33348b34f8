"""Keeps declared services running: one job without an end for each."""

import asyncio
import itertools
from datetime import timedelta

import msgspec

from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.protocol.handlers import (
    FINAL_JOB_STATES,
    ConfigurationReader,
    JobState,
)
from damaskdeck.protocol.resources import Kind, Resource, WorkloadSpec
from damaskdeck.state import records
from damaskdeck.state.jobmodel import Job
from damaskdeck.state.names import build_job_name, compute_digest, select_ledger

SYNC_INTERVAL = timedelta(seconds=5)
# How long a former version runs on while the new one finds no room beside it.
OVERLAP_LIMIT = timedelta(seconds=30)
KEY_PREFIX = "service/"

_encoder = msgspec.json.Encoder(order="sorted")


class Services:
    """Starts, replaces and ends the services of one kept ledger's teams.

    :param ledger_count: how many ledgers the deployment has.
    """

    def __init__(
        self,
        kept: OwnedLedger,
        configuration: ConfigurationReader,
        clock: Clock,
        ledger_count: int,
    ) -> None:
        self._kept = kept
        self._configuration = configuration
        self._clock = clock
        self._count = ledger_count
        self._changed = asyncio.Event()

    def wake(self) -> None:
        """Look at the declared services again."""
        self._changed.set()

    async def run(self) -> None:
        """Keep the jobs in step with what is declared until cancelled."""
        while True:
            self._changed.clear()
            await self._sync_all()
            await wait_for_event(self._changed, SYNC_INTERVAL, self._clock)

    async def _sync_all(self) -> None:
        wanted = {}
        for resource in self._configuration.list(Kind.WORKLOAD):
            submitted = self._make_submission(resource)
            if submitted is not None:
                wanted[submitted["job"]] = submitted
        jobs = self._kept.table.jobs
        missing = [s for name, s in wanted.items() if name not in jobs]
        changes: list[tuple[object, type]] = [(s, records.Submitted) for s in missing]
        old = [job.name for job in jobs.values() if self._is_over(job, wanted)]
        if old:
            cancelled = records.Cancelled(jobs=old, at=self._kept.get_time())
            changes.append((cancelled, records.Cancelled))
        if changes:
            await self._kept.commit(*changes)

    def _make_submission(self, resource: Resource) -> records.Submitted | None:
        spec: WorkloadSpec = resource.get("spec", {})
        ledger = self._kept.name
        if spec["type"] != "service":
            return None
        if select_ledger(spec["team"], self._count) != ledger:
            return None
        workload = resource["metadata"]["name"]
        version = compute_digest(_encoder.encode(spec))
        name, key = self._pick_name(workload, spec["team"], version.hex())
        return records.Submitted(
            job=name,
            workload=workload,
            team=spec["team"],
            key=key,
            digest=version,
            payload=b"",
            spec=spec,
            at=self._kept.get_time(),
        )

    def _pick_name(self, workload: str, team: str, version: str) -> tuple[str, str]:
        """Name the job of a version, and its key.

        A version that is declared again after its end is another job.
        """
        table = self._kept.table
        for number in itertools.count():
            key = KEY_PREFIX + version + (f"/{number}" if number else "")
            name = build_job_name(workload, team, self._kept.name, key)
            job = table.jobs.get(name)
            is_past = job.cancelled if job else name in table.removed_jobs
            if not is_past:
                break
        return name, key

    def _is_over(self, job: Job, wanted: dict[str, records.Submitted]) -> bool:
        """Tell whether a version of a service must end now."""
        if not job.key.startswith(KEY_PREFIX) or job.name in wanted:
            return False
        if job.cancelled or job.state in FINAL_JOB_STATES:
            return False
        for name, submitted in wanted.items():
            if submitted["workload"] == job.workload:
                return self._has_started(self._kept.table.jobs.get(name))
        return True

    def _has_started(self, job: Job | None) -> bool:
        if job is None:
            return False
        waited = self._kept.get_time() - job.submitted
        is_late = waited >= OVERLAP_LIMIT.total_seconds()
        return job.state is JobState.RUNNING or is_late
