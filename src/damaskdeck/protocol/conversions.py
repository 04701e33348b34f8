"""Conversion of outcomes and jobs to and from the data in messages."""

from datetime import timedelta

from damaskdeck.protocol.handlers import JobState, JobView
from damaskdeck.protocol.jobs import (
    JobData,
    JobReply,
    JobsReply,
    KeyReply,
    OutcomeData,
)
from damaskdeck.protocol.outcomes import Completed, Failed, Outcome, Refused, Unknown

_KINDS: dict[str, type] = {
    "completed": Completed,
    "failed": Failed,
    "refused": Refused,
    "unknown": Unknown,
}


def build_outcome_data(outcome: Outcome) -> OutcomeData:
    """Convert an outcome to data."""
    data = OutcomeData(kind=type(outcome).__name__.lower())
    if isinstance(outcome, Completed):
        data["body"] = outcome.body
        data["content_type"] = outcome.content_type
        return data
    data["code"] = outcome.code
    data["detail"] = outcome.detail
    if isinstance(outcome, Refused) and outcome.retry_after is not None:
        data["retry_after"] = outcome.retry_after.total_seconds()
    return data


def parse_outcome(data: OutcomeData) -> Outcome:
    """Convert data to an outcome; an unknown kind becomes ``Unknown``."""
    kind = _KINDS.get(data["kind"])
    if kind is Completed:
        return Completed(data.get("body", b""), data.get("content_type", ""))
    code, detail = data.get("code", ""), data.get("detail", "")
    if kind is Refused:
        seconds = data.get("retry_after")
        retry_after = None if seconds is None else timedelta(seconds=seconds)
        return Refused(code, detail, retry_after)
    if kind is Failed:
        return Failed(code, detail)
    return Unknown(code or "answer_lost", detail)


def build_job_data(view: JobView) -> JobData:
    """Convert a job view to data."""
    return JobData(
        name=view.name,
        workload=view.workload,
        team=view.team,
        state=view.state.value,
        code=view.code,
        reasons=list(view.reasons),
        results=list(view.results),
        tasks=list(view.tasks),
        workers=list(view.workers),
        revision=view.revision,
    )


def parse_job(data: JobData) -> JobView:
    """Convert data to a job view."""
    return JobView(
        name=data["name"],
        workload=data["workload"],
        team=data["team"],
        state=JobState(data["state"]),
        code=data.get("code", ""),
        reasons=tuple(data.get("reasons", ())),
        results=tuple(data.get("results", ())),
        tasks=tuple(data.get("tasks", ())),
        workers=tuple(data.get("workers", ())),
        revision=data.get("revision", 0),
    )


def build_job_reply(answer: JobView | Refused | Unknown) -> JobReply:
    """Convert an answer about a job to a message."""
    if isinstance(answer, JobView):
        return JobReply(job=build_job_data(answer))
    return JobReply(outcome=build_outcome_data(answer))


def parse_job_reply(reply: JobReply) -> JobView | Refused | Unknown:
    """Convert a message to an answer about a job."""
    if "job" in reply:
        return parse_job(reply["job"])
    return parse_refusal(reply)


def parse_refusal(reply: JobReply | JobsReply | KeyReply) -> Refused | Unknown:
    """Return why the reply of a ledger owner has no result."""
    outcome = parse_outcome(reply["outcome"]) if "outcome" in reply else None
    if isinstance(outcome, Refused | Unknown):
        return outcome
    return Unknown("answer_lost", "invalid reply of the ledger owner")
