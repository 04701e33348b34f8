"""Submissions, cancellations and readings of jobs, on the ledger's keeper."""

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
    """Takes jobs into one kept ledger and tells of them.

    :param find_impossible: names the dimension in which no worker of the fleet
        could ever hold a task of a workload.
    :param explain: tells in plain words why a job waits; its work grows with
        the queue, so only the reader of one job is told.
    """

    def __init__(
        self,
        kept: OwnedLedger,
        configuration: ConfigurationReader,
        find_impossible: FindImpossible,
        explain: Explain,
    ) -> None:
        self._kept = kept
        self._configuration = configuration
        self._find_impossible = find_impossible
        self._explain = explain

    async def submit(self, submission: Submission) -> JobView | Refused | Unknown:
        """Take a job; it is durable once a view is returned."""
        name = names.build_job_name(
            submission.workload, submission.team, self._kept.name, submission.key
        )
        digest = names.compute_digest(submission.payload)
        known = self._find_known(name, digest)
        if known is not None:
            return known
        spec = self._check(submission)
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
            at=self._kept.get_time(),
        )
        outcome = await self._kept.commit((record, records.Submitted))
        if isinstance(outcome, Refused | Unknown):
            return outcome
        return self._find_known(name, digest) or Unknown("answer_lost")

    def read(self, name: str) -> JobView | Refused:
        """Tell the state of a job."""
        job = self._kept.table.jobs.get(name)
        if job is not None:
            view = self._show(job)
            if job.state in FINAL_JOB_STATES:
                return view
            return view._replace(reasons=(*view.reasons, *self._explain(job)))
        if name in self._kept.table.removed_jobs:
            return Refused("forgotten", "its result was kept for as long as stated")
        return Refused("no_such_job")

    async def cancel(self, name: str) -> JobView | Refused | Unknown:
        """Cancel a job; one that has ended stays as it ended."""
        job = self._kept.table.jobs.get(name)
        if job is None or job.state in FINAL_JOB_STATES or job.cancelled:
            return self.read(name)
        record = records.Cancelled(jobs=[name], at=self._kept.get_time())
        outcome = await self._kept.commit((record, records.Cancelled))
        if isinstance(outcome, Refused | Unknown):
            return outcome
        return self.read(name)

    def list(self, team: str, after: str, limit: int) -> tuple[JobView, ...]:
        """List jobs in order of their names, without their results."""
        jobs = self._kept.table.jobs
        found = sorted(
            name
            for name, job in jobs.items()
            if name > after and (not team or job.team == team)
        )
        views = (self._show(jobs[name]) for name in found[:limit])
        return tuple(view._replace(results=()) for view in views)

    def _find_known(self, name: str, digest: bytes) -> JobView | Refused | None:
        """Return what a submission with the same key met before."""
        job = self._kept.table.jobs.get(name)
        if job is None:
            found = self.read(name)
            is_forgotten = isinstance(found, Refused) and found.code == "forgotten"
            return found if is_forgotten else None
        if job.digest != digest:
            return Refused("key_reused", "the key was used with another payload")
        return self._show(job)

    def _check(self, submission: Submission) -> WorkloadSpec | Refused:
        if len(submission.payload) > defaults.PAYLOAD_LIMIT:
            limit = defaults.PAYLOAD_LIMIT
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

    def _show(self, job: Job) -> JobView:
        tasks = list(self._kept.table.list_tasks(job))
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
    """Return the refusal of work that no worker could ever hold."""
    return Refused("impossible", f"no worker of the fleet has enough {dimension}")
