"""Calls of other daemons to the keeper of a ledger."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck.coordination.jobs.desks import Desk
from damaskdeck.protocol import jobs
from damaskdeck.protocol.handlers import Claimed, Known, Submission
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.replies import (
    read_outcome,
    show_job,
    show_outcome,
    show_reply,
)
from damaskdeck.state.names import pick_ledger, read_ledger

RETRY_AFTER = timedelta(seconds=1)


class Inbox:
    """Answers messages about the ledgers that this daemon keeps.

    :param find_desk: returns the desk of a ledger if it is kept here now.
    """

    def __init__(
        self, peers: Peers, find_desk: Callable[[str | None], Desk | None], count: int
    ) -> None:
        self._find_desk = find_desk
        self._count = count
        peers.register(jobs.SubmitJob, self._take_submission)
        peers.register(jobs.ReadJob, self._take_reading)
        peers.register(jobs.CancelJob, self._take_cancellation)
        peers.register(jobs.ListJobs, self._take_listing)
        peers.register(jobs.ClaimKey, self._take_claim)
        peers.register(jobs.SettleKey, self._take_settlement)
        peers.register(jobs.TaskReports, self._take_reports)

    async def _take_submission(self, _: str, message: jobs.SubmitJob) -> jobs.JobReply:
        desk = self._find_desk(pick_ledger(message["team"], self._count))
        if desk is None:
            return show_reply(refuse_no_keeper())
        return show_reply(await desk.submissions.submit(Submission(**message)))

    async def _take_reading(self, _: str, message: jobs.ReadJob) -> jobs.JobReply:
        desk = self._find_desk(read_ledger(message["job"]))
        if desk is None:
            return show_reply(refuse_no_keeper())
        return show_reply(desk.submissions.read(message["job"]))

    async def _take_cancellation(
        self, _: str, message: jobs.CancelJob
    ) -> jobs.JobReply:
        desk = self._find_desk(read_ledger(message["job"]))
        if desk is None:
            return show_reply(refuse_no_keeper())
        return show_reply(await desk.submissions.cancel(message["job"]))

    async def _take_listing(self, _: str, message: jobs.ListJobs) -> jobs.JobsReply:
        desk = self._find_desk(message["ledger"])
        if desk is None:
            return jobs.JobsReply(outcome=show_outcome(refuse_no_keeper()))
        found = desk.submissions.list(
            message["team"], message["after"], message["limit"]
        )
        return jobs.JobsReply(jobs=[show_job(view) for view in found])

    async def _take_claim(self, _: str, message: jobs.ClaimKey) -> jobs.KeyReply:
        desk = self._find_desk(pick_ledger(message["team"], self._count))
        if desk is None:
            return jobs.KeyReply(
                state="failed", outcome=show_outcome(refuse_no_keeper())
            )
        index = (message["team"], message["service"], message["key"])
        timeout = timedelta(seconds=message["timeout"])
        found = await desk.keys.claim(index, message["digest"], timeout)
        if isinstance(found, Claimed):
            return jobs.KeyReply(state="claimed")
        if isinstance(found, Known):
            return jobs.KeyReply(state="known", outcome=show_outcome(found.outcome))
        return jobs.KeyReply(state="failed", outcome=show_outcome(found))

    async def _take_settlement(self, _: str, message: jobs.SettleKey) -> jobs.KeyReply:
        desk = self._find_desk(pick_ledger(message["team"], self._count))
        if desk is None:
            return jobs.KeyReply(
                state="failed", outcome=show_outcome(refuse_no_keeper())
            )
        index = (message["team"], message["service"], message["key"])
        outcome = read_outcome(message["outcome"])
        is_durable = await desk.keys.settle(index, outcome)
        return jobs.KeyReply(state="settled" if is_durable else "failed")

    async def _take_reports(
        self, _: str, message: jobs.TaskReports
    ) -> jobs.TasksNoted | None:
        desk = self._find_desk(message["ledger"])
        if desk is None:
            return None
        return await desk.followups.take_news(message["tasks"])


def refuse_no_keeper() -> Refused:
    """Return the refusal of a call while its ledger has no keeper here."""
    return Refused("no_keeper", "the team's ledger is changing hands", RETRY_AFTER)
