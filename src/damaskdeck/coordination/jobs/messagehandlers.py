"""Handlers of the messages that other daemons send to a ledger owner."""

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


class LedgerMessageHandlers:
    """Handles messages about the ledgers that this daemon owns.

    :param find_controller: returns the controller of a ledger that this daemon owns
        now, else ``None``.
    :param count: number of ledgers of the deployment.
    """

    def __init__(
        self,
        peers: Peers,
        find_controller: Callable[[str | None], LedgerController | None],
        count: int,
    ) -> None:
        self._find_controller = find_controller
        self._count = count
        peers.register(jobs.SubmitJob, self._handle_submission)
        peers.register(jobs.ReadJob, self._handle_reading)
        peers.register(jobs.CancelJob, self._handle_cancellation)
        peers.register(jobs.ListJobs, self._handle_listing)
        peers.register(jobs.ClaimKey, self._handle_claim)
        peers.register(jobs.SettleKey, self._handle_settlement)
        peers.register(jobs.TaskUpdates, self._handle_reports)

    async def _handle_submission(
        self, _: str, message: jobs.SubmitJob
    ) -> jobs.JobReply:
        controller = self._find_controller(select_ledger(message["team"], self._count))
        if controller is None:
            return build_job_reply(refuse_no_owner())
        return build_job_reply(
            await controller.submissions.submit(Submission(**message))
        )

    async def _handle_reading(self, _: str, message: jobs.ReadJob) -> jobs.JobReply:
        controller = self._find_controller(parse_ledger_name(message["job"]))
        if controller is None:
            return build_job_reply(refuse_no_owner())
        return build_job_reply(controller.submissions.read(message["job"]))

    async def _handle_cancellation(
        self, _: str, message: jobs.CancelJob
    ) -> jobs.JobReply:
        controller = self._find_controller(parse_ledger_name(message["job"]))
        if controller is None:
            return build_job_reply(refuse_no_owner())
        return build_job_reply(await controller.submissions.cancel(message["job"]))

    async def _handle_listing(self, _: str, message: jobs.ListJobs) -> jobs.JobsReply:
        controller = self._find_controller(message["ledger"])
        if controller is None:
            return jobs.JobsReply(outcome=build_outcome_data(refuse_no_owner()))
        found = controller.submissions.list(
            message["team"], message["after"], message["limit"]
        )
        return jobs.JobsReply(jobs=[build_job_data(view) for view in found])

    async def _handle_claim(self, _: str, message: jobs.ClaimKey) -> jobs.KeyReply:
        controller = self._find_controller(select_ledger(message["team"], self._count))
        if controller is None:
            return jobs.KeyReply(
                state="failed", outcome=build_outcome_data(refuse_no_owner())
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

    async def _handle_settlement(
        self, _: str, message: jobs.SettleKey
    ) -> jobs.KeyReply:
        controller = self._find_controller(select_ledger(message["team"], self._count))
        if controller is None:
            return jobs.KeyReply(
                state="failed", outcome=build_outcome_data(refuse_no_owner())
            )
        index = (message["team"], message["service"], message["key"])
        outcome = parse_outcome(message["outcome"])
        is_durable = await controller.keys.settle(index, outcome)
        return jobs.KeyReply(state="settled" if is_durable else "failed")

    async def _handle_reports(
        self, _: str, message: jobs.TaskUpdates
    ) -> jobs.TaskUpdatesReply | None:
        controller = self._find_controller(message["ledger"])
        if controller is None:
            return None
        return await controller.tracker.handle_updates(message["tasks"])


def refuse_no_owner() -> Refused:
    """Return the refusal of a call whose ledger this daemon doesn't own now."""
    return Refused("no_keeper", "the team's ledger is changing owners", RETRY_AFTER)
