"""Calls of other daemons to the keeper of a ledger."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck.coordination.jobs.controllers import LedgerController
from damaskdeck.protocol import jobs
from damaskdeck.protocol.conversions import (
    build_job_data,
    build_job_reply,
    build_outcome_data,
    parse_outcome,
)
from damaskdeck.protocol.handlers import ClaimedKey, KnownKey, Submission
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.outcomes import Refused
from damaskdeck.state.names import parse_ledger_name, select_ledger

RETRY_AFTER = timedelta(seconds=1)


class Inbox:
    """Answers messages about the ledgers that this daemon keeps.

    :param find_desk: returns the desk of a ledger if it is kept here now.
    """

    def __init__(
        self,
        peers: Peers,
        find_desk: Callable[[str | None], LedgerController | None],
        count: int,
    ) -> None:
        self._find_desk = find_desk
        self._count = count
        peers.register(jobs.SubmitJob, self._take_submission)
        peers.register(jobs.ReadJob, self._take_reading)
        peers.register(jobs.CancelJob, self._take_cancellation)
        peers.register(jobs.ListJobs, self._take_listing)
        peers.register(jobs.ClaimKey, self._take_claim)
        peers.register(jobs.SettleKey, self._take_settlement)
        peers.register(jobs.TaskUpdates, self._take_reports)

    async def _take_submission(self, _: str, message: jobs.SubmitJob) -> jobs.JobReply:
        controller = self._find_desk(select_ledger(message["team"], self._count))
        if controller is None:
            return build_job_reply(refuse_no_keeper())
        return build_job_reply(
            await controller.submissions.submit(Submission(**message))
        )

    async def _take_reading(self, _: str, message: jobs.ReadJob) -> jobs.JobReply:
        controller = self._find_desk(parse_ledger_name(message["job"]))
        if controller is None:
            return build_job_reply(refuse_no_keeper())
        return build_job_reply(controller.submissions.read(message["job"]))

    async def _take_cancellation(
        self, _: str, message: jobs.CancelJob
    ) -> jobs.JobReply:
        controller = self._find_desk(parse_ledger_name(message["job"]))
        if controller is None:
            return build_job_reply(refuse_no_keeper())
        return build_job_reply(await controller.submissions.cancel(message["job"]))

    async def _take_listing(self, _: str, message: jobs.ListJobs) -> jobs.JobsReply:
        controller = self._find_desk(message["ledger"])
        if controller is None:
            return jobs.JobsReply(outcome=build_outcome_data(refuse_no_keeper()))
        found = controller.submissions.list(
            message["team"], message["after"], message["limit"]
        )
        return jobs.JobsReply(jobs=[build_job_data(view) for view in found])

    async def _take_claim(self, _: str, message: jobs.ClaimKey) -> jobs.KeyReply:
        controller = self._find_desk(select_ledger(message["team"], self._count))
        if controller is None:
            return jobs.KeyReply(
                state="failed", outcome=build_outcome_data(refuse_no_keeper())
            )
        index = (message["team"], message["service"], message["key"])
        timeout = timedelta(seconds=message["timeout"])
        found = await controller.keys.claim(index, message["digest"], timeout)
        if isinstance(found, ClaimedKey):
            return jobs.KeyReply(state="claimed")
        if isinstance(found, KnownKey):
            return jobs.KeyReply(
                state="known", outcome=build_outcome_data(found.outcome)
            )
        return jobs.KeyReply(state="failed", outcome=build_outcome_data(found))

    async def _take_settlement(self, _: str, message: jobs.SettleKey) -> jobs.KeyReply:
        controller = self._find_desk(select_ledger(message["team"], self._count))
        if controller is None:
            return jobs.KeyReply(
                state="failed", outcome=build_outcome_data(refuse_no_keeper())
            )
        index = (message["team"], message["service"], message["key"])
        outcome = parse_outcome(message["outcome"])
        is_durable = await controller.keys.settle(index, outcome)
        return jobs.KeyReply(state="settled" if is_durable else "failed")

    async def _take_reports(
        self, _: str, message: jobs.TaskUpdates
    ) -> jobs.TaskUpdatesReply | None:
        controller = self._find_desk(message["ledger"])
        if controller is None:
            return None
        return await controller.tracker.take_news(message["tasks"])


def refuse_no_keeper() -> Refused:
    """Return the refusal of a call while its ledger has no keeper here."""
    return Refused("no_keeper", "the team's ledger is changing hands", RETRY_AFTER)
