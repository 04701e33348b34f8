"""Submission, cancellation and reading of jobs, on the owner of their ledger."""

from collections.abc import Callable

from damaskdeck import defaults
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.reasons import explain_tasks
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.handlers import (
    FINAL_JOB_STATES,
    ConfigurationReader,
    JobState,
    JobView,
    Submission,
)
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.resources import Kind, WorkloadSpec
from damaskdeck.state import names, records
from damaskdeck.state.jobmodel import Job

FindImpossible = Callable[[WorkloadSpec], str | None]
Explain = Callable[[Job], tuple[str, ...]]


class Submissions:
    """Accepts jobs into one owned ledger and returns their state.

    :param find_impossible: returns the dimension in which no worker of the fleet
        could ever hold a task of a workload, else ``None``.
    :param explain: returns the reasons why a job waits. Its cost grows with the
        queue, so it is called only when a single job is read.
    """

    def __init__(
        self,
        ledger: OwnedLedger,
        configuration: ConfigurationReader,
        find_impossible: FindImpossible,
        explain: Explain,
    ) -> None:
        self._ledger = ledger
        self._configuration = configuration
        self._find_impossible = find_impossible
        self._explain = explain

    async def submit(self, submission: Submission) -> JobView | Refused | Unknown:
        """Submit a job; it is durable once a view is returned."""
        name = names.build_job_name(
            submission.workload, submission.team, self._ledger.name, submission.key
        )
        digest = names.compute_digest(submission.payload)
        existing = self._find_existing(name, digest)
        if existing is not None:
            return existing
        spec = self._validate(submission)
        if isinstance(spec, Refused):
            count_refusal("jobs", spec.code)
            return spec
        record = records.Submitted(
            job=name,
            workload=submission.workload,
            team=submission.team,
            key=submission.key,
            digest=digest,
            payload=submission.payload,
            spec=spec,
            at=self._ledger.get_time(),
        )
        outcome = await self._ledger.commit((record, records.Submitted))
        if isinstance(outcome, Refused | Unknown):
            return outcome
        return self._find_existing(name, digest) or Unknown("answer_lost")

    def read(self, name: str) -> JobView | Refused:
        """Return the state of a job."""
        job = self._ledger.table.jobs.get(name)
        if job is not None:
            view = self._make_view(job)
            if job.state in FINAL_JOB_STATES:
                return view
            return view._replace(reasons=(*view.reasons, *self._explain(job)))
        if name in self._ledger.table.removed_jobs:
            return Refused("forgotten", "its retention time has ended")
        return Refused("no_such_job")

    async def cancel(self, name: str) -> JobView | Refused | Unknown:
        """Cancel a job; a job that has ended keeps its outcome."""
        job = self._ledger.table.jobs.get(name)
        if job is None or job.state in FINAL_JOB_STATES or job.cancelled:
            return self.read(name)
        record = records.Cancelled(jobs=[name], at=self._ledger.get_time())
        outcome = await self._ledger.commit((record, records.Cancelled))
        if isinstance(outcome, Refused | Unknown):
            return outcome
        return self.read(name)

    def list(self, team: str, after: str, limit: int) -> tuple[JobView, ...]:
        """Return jobs in order of their names, without their results."""
        jobs = self._ledger.table.jobs
        found = sorted(
            name
            for name, job in jobs.items()
            if name > after and (not team or job.team == team)
        )
        views = (self._make_view(jobs[name]) for name in found[:limit])
        return tuple(view._replace(results=()) for view in views)

    def _find_existing(self, name: str, digest: bytes) -> JobView | Refused | None:
        """Return the answer if the same key was submitted before, else ``None``."""
        job = self._ledger.table.jobs.get(name)
        if job is None:
            found = self.read(name)
            is_forgotten = isinstance(found, Refused) and found.code == "forgotten"
            return found if is_forgotten else None
        if job.digest != digest:
            return Refused("key_reused", "the key was used with another payload")
        return self._make_view(job)

    def _validate(self, submission: Submission) -> WorkloadSpec | Refused:
        if len(submission.payload) > defaults.MAX_PAYLOAD_BYTES:
            limit = defaults.MAX_PAYLOAD_BYTES
            return Refused("payload_too_large", f"at most {limit} bytes")
        resource = self._configuration.get(Kind.WORKLOAD, submission.workload)
        if resource is None:
            return Refused("no_such_workload")
        spec: WorkloadSpec = resource.get("spec", {})
        if spec["team"] != submission.team:
            return Refused("wrong_team", "the workload belongs to another team")
        if spec["type"] == "service":
            return Refused("not_a_job", "a service runs as declared, without jobs")
        dimension = self._find_impossible(spec)
        if dimension is not None:
            return refuse_impossible(dimension)
        return spec

    def _make_view(self, job: Job) -> JobView:
        tasks = list(self._ledger.table.list_tasks(job))
        reasons = job.reasons
        if job.state not in FINAL_JOB_STATES:
            reasons = (*reasons, *explain_tasks(job, tasks))
        results: tuple[bytes, ...] = ()
        if job.state is JobState.COMPLETED:
            results = tuple(task.result for task in tasks)
        return JobView(
            name=job.name,
            workload=job.workload,
            team=job.team,
            state=job.state,
            code="cancelled" if job.cancelled and not job.code else job.code,
            reasons=reasons,
            results=results,
            tasks=tuple(task.name for task in tasks),
            workers=tuple(task.worker for task in tasks),
            revision=job.revision,
        )


def refuse_impossible(dimension: str) -> Refused:
    """Return the refusal of a workload that no worker could ever hold."""
    return Refused("impossible", f"no worker of the fleet has enough {dimension}")
