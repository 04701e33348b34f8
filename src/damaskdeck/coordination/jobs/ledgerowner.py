"""Ownership of ledgers, and calls to the owner of a ledger from any daemon."""

import asyncio
import heapq
from datetime import timedelta
from typing import Any, Protocol

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.controllers import LedgerController
from damaskdeck.coordination.jobs.messagehandlers import (
    RETRY_AFTER,
    LedgerMessageHandlers,
    refuse_no_owner,
)
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.workers.supervisor import Supervisor
from damaskdeck.metrics import count_refusal, count_retry
from damaskdeck.protocol import jobs
from damaskdeck.protocol.conversions import (
    build_outcome_data,
    parse_job,
    parse_job_reply,
    parse_outcome,
    parse_refusal,
)
from damaskdeck.protocol.handlers import (
    ClaimedKey,
    ConfigurationReader,
    JobView,
    KnownKey,
    Submission,
)
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.outcomes import Outcome, Refused, Unknown
from damaskdeck.protocol.ports import Instance, InstanceRole, Store
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.state.names import format_ledger_name, parse_ledger_name, select_ledger

CALL_TIMEOUT = timedelta(seconds=6)
RETRY_INTERVAL = timedelta(milliseconds=200)
RETRY_LIMIT = 10
NO_OWNER_CODES = frozenset({"no_keeper", "keeper_unreachable"})
READS = frozenset({jobs.ReadJob, jobs.ListJobs})


class ListedFleet(Protocol):
    """The instances that the platform lists."""

    def list(self, role: InstanceRole, zone: str = "") -> tuple[Instance, ...]:
        """Return the instances of a role."""

    def on_change(self, handler: Any) -> None:
        """Call ``handler(changes)`` when the list changes."""


class LedgerOwner:
    """Runs the owned ledgers and forwards calls for other ledgers to their owners.

    Implements ``JobHandler`` and ``IdempotencyKeys`` on every daemon, with at most
    one hop to the owner of the ledger.

    :param ledger_count: number of ledgers of the deployment, the same on all
        daemons.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        store: Store,
        configuration: ConfigurationReader,
        fleet: ListedFleet,
        clock: Clock,
        ledger_count: int = defaults.LEDGER_COUNT,
    ) -> None:
        self.controllers: dict[str, LedgerController] = {}
        self._members = members
        self._ownership = ownership
        self._peers = peers
        self._store = store
        self._configuration = configuration
        self._fleet = fleet
        self._clock = clock
        self._ledger_count = ledger_count
        self._supervisor = Supervisor()
        ownership.on_gain("ledger", self._gain)
        ownership.on_loss("ledger", self._lose)
        fleet.on_change(self._handle_fleet_change)
        configuration.subscribe(self._handle_resource_change)
        self._message_handlers = LedgerMessageHandlers(
            peers, self._find_controller, ledger_count
        )

    async def run(self) -> None:
        """Wait until cancelled, or raise the error of a failed background task."""
        await self._supervisor.run()

    # Gains and losses ------------------------------------------------------------

    async def _gain(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        await self._close(name)
        ledger = OwnedLedger(
            name,
            epoch,
            self._store,
            self._clock,
            lambda: self._ownership.get_epoch(shard) == epoch,
            self._ledger_count,
        )
        controller = LedgerController(
            ledger,
            self._members,
            self._ownership,
            self._peers,
            self._configuration,
            self._clock,
            self._supervisor.watch,
            self._ledger_count,
        )
        self.controllers[name] = controller
        await controller.open(self._fleet.list(InstanceRole.WORKER))

    async def _lose(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        controller = self.controllers.get(name)
        if controller is not None and controller.ledger.epoch == epoch:
            await self._close(name)

    async def _close(self, name: str) -> None:
        controller = self.controllers.pop(name, None)
        if controller is not None:
            await controller.close()

    async def close(self) -> None:
        """Close all ledgers after their commits in progress."""
        await asyncio.gather(*(self._close(name) for name in list(self.controllers)))

    def _handle_fleet_change(self, changes: object) -> None:
        workers = self._fleet.list(InstanceRole.WORKER)
        for controller in self.controllers.values():
            controller.set_workers(workers)

    def _handle_resource_change(
        self, kind: Kind, name: str, resource: Resource | None
    ) -> None:
        for controller in self.controllers.values():
            if kind is Kind.TEAM:
                controller.set_team(name, resource)
            elif kind is Kind.WORKLOAD:
                controller.services.request_sync()

    def _find_controller(self, ledger: str | None) -> LedgerController | None:
        controller = self.controllers.get(ledger or "")
        return (
            controller
            if controller is not None and controller.ledger.is_owner()
            else None
        )

    # Calls from callers of this daemon -------------------------------------------

    async def submit_job(self, submission: Submission) -> JobView | Refused | Unknown:
        """Submit a job; it is durable once a view is returned."""
        ledger = select_ledger(submission.team, self._ledger_count)
        message = jobs.SubmitJob(
            workload=submission.workload,
            team=submission.team,
            payload=submission.payload,
            key=submission.key,
        )
        return await self._call_for_job(ledger, message, jobs.SubmitJob)

    async def read_job(self, name: str) -> JobView | Refused | Unknown:
        """Return the state of a job, or ``Refused("no_such_job")``."""
        return await self._call_by_name(name, jobs.ReadJob(job=name), jobs.ReadJob)

    async def cancel_job(self, name: str) -> JobView | Refused | Unknown:
        """Cancel a job; a job that has ended keeps its outcome."""
        return await self._call_by_name(name, jobs.CancelJob(job=name), jobs.CancelJob)

    async def list_jobs(
        self, team: str, after: str, limit: int
    ) -> tuple[JobView, ...] | Refused | Unknown:
        """Return one page of jobs in order of their names.

        :param team: restricts the page to one team; empty for all teams.
        :param after: the page starts after this name.
        """
        if team:
            return await self._list_one(
                select_ledger(team, self._ledger_count), team, after, limit
            )
        pages = await asyncio.gather(
            *(
                self._list_one(format_ledger_name(number), team, after, limit)
                for number in range(self._ledger_count)
            )
        )
        for page in pages:
            if isinstance(page, Refused | Unknown):
                return page
        merged = heapq.merge(*pages, key=lambda view: view.name)
        return tuple(view for view, _ in zip(merged, range(limit), strict=False))

    async def claim_key(
        self, team: str, service: str, key: str, digest: bytes, timeout: timedelta
    ) -> ClaimedKey | KnownKey | Refused | Unknown:
        """Claim a key before its request is sent anywhere."""
        message = jobs.ClaimKey(
            team=team,
            service=service,
            key=key,
            digest=digest,
            timeout=timeout.total_seconds(),
        )
        ledger = select_ledger(team, self._ledger_count)
        reply = await self._call(ledger, message, jobs.ClaimKey)
        if isinstance(reply, Refused | Unknown):
            return reply
        if reply["state"] == "claimed":
            return ClaimedKey()
        if reply["state"] == "known" and "outcome" in reply:
            return KnownKey(parse_outcome(reply["outcome"]))
        return parse_refusal(reply)

    async def settle_key(
        self, team: str, service: str, key: str, outcome: Outcome
    ) -> bool:
        """Store the outcome of a key; return whether it is durable."""
        message = jobs.SettleKey(
            team=team, service=service, key=key, outcome=build_outcome_data(outcome)
        )
        ledger = select_ledger(team, self._ledger_count)
        reply = await self._call(ledger, message, jobs.SettleKey)
        return not isinstance(reply, Refused | Unknown) and reply["state"] == "settled"

    async def _list_one(
        self, ledger: str, team: str, after: str, limit: int
    ) -> tuple[JobView, ...] | Refused | Unknown:
        message = jobs.ListJobs(ledger=ledger, team=team, after=after, limit=limit)
        reply = await self._call(ledger, message, jobs.ListJobs)
        if isinstance(reply, Refused | Unknown):
            return reply
        if "jobs" not in reply:
            return parse_refusal(reply)
        return tuple(parse_job(job) for job in reply["jobs"])

    async def _call_by_name(
        self, job: str, message: Any, kind: type
    ) -> JobView | Refused | Unknown:
        ledger = parse_ledger_name(job)
        if ledger is None or int(ledger) >= self._ledger_count:
            return Refused("no_such_job")
        return await self._call_for_job(ledger, message, kind)

    async def _call_for_job(
        self, ledger: str, message: Any, kind: type
    ) -> JobView | Refused | Unknown:
        reply = await self._call(ledger, message, kind)
        return reply if isinstance(reply, Refused | Unknown) else parse_job_reply(reply)

    async def _call(self, ledger: str, message: Any, kind: type) -> Any:
        """Call the owner of a ledger, and repeat the call only if that is safe.

        It is safe if the owner certainly did nothing, or once after a lost answer
        if a repeated call finds the outcome of the first one. If the repeated call
        is refused with a request to retry later, the outcome of the first call
        remains unknown.
        """
        repeats = 1 if is_repeatable(message, kind) else 0
        first_unknown: Unknown | None = None
        for _ in range(RETRY_LIMIT):
            reply = await self._call_once(ledger, message, kind)
            if isinstance(reply, Unknown) and repeats:
                count_retry("jobs", reply.code)
                repeats -= 1
                first_unknown = None if kind in READS else reply
                continue
            refused = _find_refusal(reply)
            if refused is None or refused.code not in NO_OWNER_CODES:
                is_retryable = refused is not None and refused.retry_after is not None
                return (
                    first_unknown
                    if first_unknown is not None and is_retryable
                    else reply
                )
            count_retry("jobs", refused.code)
            await self._clock.sleep(RETRY_INTERVAL)
        count_refusal("jobs", refused.code)
        return first_unknown or refused

    async def _call_once(self, ledger: str, message: Any, kind: type) -> Any:
        owner = self._ownership.find_owner(f"ledger/{ledger}")
        if owner is None:
            return refuse_no_owner()
        answer = await self._peers.call(owner.instance, message, kind, CALL_TIMEOUT)
        if isinstance(answer, Answered) and answer.message is not None:
            return answer.message
        if isinstance(answer, Unsent):
            return Refused("keeper_unreachable", answer.code, RETRY_AFTER)
        return Unknown("answer_lost", "the owner of the job's ledger didn't answer")


def is_repeatable(message: Any, kind: type) -> bool:
    """Return whether sending a message twice has the same effect as once."""
    if kind is jobs.SubmitJob:
        return bool(message["key"])
    return kind is not jobs.ClaimKey


def _find_refusal(reply: Any) -> Refused | None:
    if isinstance(reply, Refused):
        return reply
    if isinstance(reply, dict) and "outcome" in reply and "state" not in reply:
        outcome = parse_outcome(reply["outcome"])
        return outcome if isinstance(outcome, Refused) else None
    if (
        isinstance(reply, dict)
        and reply.get("state") == "failed"
        and "outcome" in reply
    ):
        outcome = parse_outcome(reply["outcome"])
        return outcome if isinstance(outcome, Refused) else None
    return None
