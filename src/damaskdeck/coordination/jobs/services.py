"""Declared services, each of which is run by one job without an end."""

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
# How long a previous version keeps running if the new one can't be placed beside it.
OVERLAP_LIMIT = timedelta(seconds=30)
KEY_PREFIX = "service/"

_encoder = msgspec.json.Encoder(order="sorted")


class Services:
    """Starts, replaces and ends the services of the teams of one owned ledger.

    :param ledger_count: number of ledgers of the deployment.
    """

    def __init__(
        self,
        ledger: OwnedLedger,
        configuration: ConfigurationReader,
        clock: Clock,
        ledger_count: int,
    ) -> None:
        self._ledger = ledger
        self._configuration = configuration
        self._clock = clock
        self._count = ledger_count
        self._changed = asyncio.Event()

    def request_sync(self) -> None:
        """Request another synchronization with the declared services."""
        self._changed.set()

    async def run(self) -> None:
        """Synchronize the jobs with the declared services until cancelled."""
        while True:
            self._changed.clear()
            await self._sync_all()
            await wait_for_event(self._changed, SYNC_INTERVAL, self._clock)

    async def _sync_all(self) -> None:
        declared = {}
        for resource in self._configuration.list(Kind.WORKLOAD):
            submitted = self._make_submission(resource)
            if submitted is not None:
                declared[submitted["job"]] = submitted
        jobs = self._ledger.table.jobs
        missing = [s for name, s in declared.items() if name not in jobs]
        changes: list[tuple[object, type]] = [(s, records.Submitted) for s in missing]
        outdated = [job.name for job in jobs.values() if self._must_end(job, declared)]
        if outdated:
            cancelled = records.Cancelled(jobs=outdated, at=self._ledger.get_time())
            changes.append((cancelled, records.Cancelled))
        if changes:
            await self._ledger.commit(*changes)

    def _make_submission(self, resource: Resource) -> records.Submitted | None:
        spec: WorkloadSpec = resource.get("spec", {})
        ledger = self._ledger.name
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
            at=self._ledger.get_time(),
        )

    def _pick_name(self, workload: str, team: str, version: str) -> tuple[str, str]:
        """Return the name of the job of a version, and its key.

        A version that is declared again after its end gets a new job.
        """
        table = self._ledger.table
        for number in itertools.count():
            key = KEY_PREFIX + version + (f"/{number}" if number else "")
            name = build_job_name(workload, team, self._ledger.name, key)
            job = table.jobs.get(name)
            is_past = job.cancelled if job else name in table.removed_jobs
            if not is_past:
                break
        return name, key

    def _must_end(self, job: Job, declared: dict[str, records.Submitted]) -> bool:
        """Return whether a version of a service must end now."""
        if not job.key.startswith(KEY_PREFIX) or job.name in declared:
            return False
        if job.cancelled or job.state in FINAL_JOB_STATES:
            return False
        for name, submitted in declared.items():
            if submitted["workload"] == job.workload:
                return self._is_replaceable_by(self._ledger.table.jobs.get(name))
        return True

    def _is_replaceable_by(self, job: Job | None) -> bool:
        if job is None:
            return False
        waited = self._ledger.get_time() - job.submitted
        is_late = waited >= OVERLAP_LIMIT.total_seconds()
        return job.state is JobState.RUNNING or is_late
