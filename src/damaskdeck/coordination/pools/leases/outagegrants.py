"""What lets an owner act through an outage of the store.

An owner grants leases to workers only within a limit that counts from the last call
which showed it named in the store, so that a successor waits for one lease. Through an
outage, all tasks would end with these leases. But while no member reaches the store,
none can take over. So an owner that the store doesn't answer requests a grant of every
member that it knows, and goes on while it has all of them. A member grants it only if
the store doesn't answer it either, and once it has taken over it waits until its grant
and the leases that count from it have expired.

A member that the owner doesn't know isn't asked. Members therefore ask each owner
whether it knows them. One that an owner may not know became a member after that owner
last knew all of them, which bounds how long the owner may act without the store. Each
member's bound holds by itself, so a successor asks the others for theirs if its own is
late.
"""

import asyncio
import math
from datetime import timedelta
from typing import TYPE_CHECKING

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leases.memberlease import Registration
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import GrantBounds, OwnerTerm
from damaskdeck.defaults import CLOCK_DRIFT
from damaskdeck.logs import get_logger
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.poolmessages import (
    CheckMember,
    CheckMemberReply,
    CheckOutageGrants,
    CheckOutageGrantsReply,
    RecordDeparture,
    RecordDepartureReply,
    RequestOutageGrant,
    RequestOutageGrantReply,
)
from damaskdeck.state.jobrecords import FIRST_EPOCH

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.leadership import Leadership

CHECK_INTERVAL = timedelta(milliseconds=100)
# The owner follows the control keys, so this means that the store doesn't answer it.
UNCONFIRMED_AGE = timedelta(seconds=1)
# Each member renews its lease several times a second, so this means that the store
# answers none of the calls of a member.
OUTAGE_SILENCE = timedelta(milliseconds=500)
# Within the time that a grant lasts, two of three requests may be lost.
REQUEST_INTERVAL = timedelta(milliseconds=450)

UNKNOWN_BOUNDS = GrantBounds(float("inf"), float("inf"))

_log = get_logger("leadership")


class OutageGrants:
    """Requests grants for this daemon as the owner, and gives them as a member."""

    def __init__(
        self, peers: Peers, leadership: "Leadership", clock: Clock, times: PoolTimes
    ) -> None:
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._times = times
        self._granted_until = float("-inf")
        # The members that have granted it, with the revisions of their keys.
        self._granted_by: dict[str, int] = {}
        self._is_granted = False
        self._given_until = float("-inf")
        # No grant is given to an owner before that of the newest known epoch.
        self._newest_epoch = 0
        # The owners that have known this member during its present membership.
        self._known_to: set[int] = set()
        # The epoch when that began, 0 before.
        self._first_epoch = 0
        self._membership = 0
        # The earliest bounds that other members have reported for a term.
        self._reported_epoch = 0
        self._reported = UNKNOWN_BOUNDS
        leadership.limits.get_grant = self.get_granted_until
        leadership.limits.get_last_grant = lambda: self._granted_until
        leadership.find_own_bounds = self.find_own_bounds
        leadership.find_grant_bounds = self.find_bounds
        peers.register(RequestOutageGrant, self._handle_request)
        peers.register(CheckOutageGrants, self._handle_check)
        peers.register(CheckMember, self._handle_member_check)
        peers.register(RecordDeparture, self._handle_departure)

    async def run(self) -> None:
        """Request grants while the store doesn't answer this owner, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self._track_owners()
            term = self._leadership.term
            if term is None:
                await self._introduce()
            elif self._leadership.limits.measure_age() > UNCONFIRMED_AGE:
                await self._request(term)
            elif self._must_ask(term):
                await self._ask(term)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    # The owner ---------------------------------------------------------------

    def get_granted_until(self) -> float:
        """Return until when all members that are known at present let this owner act.

        A member that has registered since may not know of its predecessor's grant.
        """
        known = self._leadership.members.list_remembered()
        is_unchanged = known.items() <= self._granted_by.items()
        return self._granted_until if is_unchanged else float("-inf")

    async def _request(self, term: OwnerTerm) -> None:
        """Request a grant of all other members; each of them has to give it."""
        sent_at = self._now()
        message: RequestOutageGrant = {"epoch": term.epoch}
        members = self._leadership.members.list_remembered()
        names = list(members)
        replies = await asyncio.gather(
            *(
                self._peers.call(name, message, RequestOutageGrant, REQUEST_INTERVAL)
                for name in names
            )
        )
        refusing = [
            name
            for name, reply in zip(names, replies, strict=True)
            if not (isinstance(reply, Answered) and reply.message["is_given"])
        ]
        if not refusing:
            self._granted_until = sent_at + self._times.outage_grant.total_seconds()
            self._granted_by = members
        if self._is_granted == bool(refusing):
            self._is_granted = not refusing
            _log.info(
                "All members let the owner act without the store."
                if self._is_granted
                else "Not all members let the owner act without the store.",
                epoch=term.epoch,
                members=len(names),
                refusing=refusing,
            )
        rest = sent_at + REQUEST_INTERVAL.total_seconds() - self._now()
        await self._clock.sleep(timedelta(seconds=max(rest, 0.0)))

    # A member ----------------------------------------------------------------

    async def _handle_request(
        self, peer: str, message: RequestOutageGrant
    ) -> RequestOutageGrantReply:
        owner = self._leadership.owner
        newest = max(self._newest_epoch, owner.epoch if owner is not None else 0)
        silence = self._leadership.measure_store_silence()
        if message["epoch"] < newest or silence <= OUTAGE_SILENCE:
            return {"is_given": False}
        duration = self._times.outage_grant + self._times.lease_expiry
        given_until = self._now() + duration.total_seconds() * (1 + CLOCK_DRIFT)
        self._given_until = max(self._given_until, given_until)
        return {"is_given": True}

    def _track_owners(self) -> None:
        """Record the first owner since the member key was written, and own terms."""
        owner, registration = self._leadership.owner, self._leadership.registration
        if registration.membership != self._membership:
            self._membership = registration.membership
            self._known_to.clear()
            self._first_epoch = 0
        if owner is not None and registration.revision and not self._first_epoch:
            self._first_epoch = owner.epoch
        if self._leadership.term is not None:
            self._known_to.add(self._leadership.term.epoch)

    async def _introduce(self) -> None:
        """Ask the owner whether it knows this member, until it does."""
        owner, registration = self._leadership.owner, self._leadership.registration
        is_due = owner is not None and not owner.is_released and registration.revision
        if not is_due or owner.epoch in self._known_to:
            return
        message: CheckMember = {"revision": registration.revision}
        reply = await self._peers.call(
            owner.instance, message, CheckMember, REQUEST_INTERVAL
        )
        if (
            isinstance(reply, Answered)
            and reply.message["is_known"]
            and reply.message["epoch"] == owner.epoch
            and self._membership == registration.membership
        ):
            self._known_to.add(owner.epoch)

    async def _handle_member_check(
        self, peer: str, message: CheckMember
    ) -> CheckMemberReply:
        term = self._leadership.term
        is_known = self._leadership.members.knows(peer, message["revision"])
        if self._leadership.limits.are_capped:
            # Only members that let the owner go on wait for what has no record yet.
            is_known = False
        return {"epoch": term.epoch if term is not None else 0, "is_known": is_known}

    async def announce_departure(self) -> None:
        """Tell the other members that this one has left, and need not be asked."""
        revision = self._leadership.registration.revision
        message: RecordDeparture = {"revision": revision}
        await asyncio.gather(
            *(
                self._peers.call(name, message, RecordDeparture, REQUEST_INTERVAL)
                for name in self._leadership.members.list_remembered()
            )
        )

    async def _handle_departure(
        self, peer: str, message: RecordDeparture
    ) -> RecordDepartureReply:
        self._leadership.members.record_departure(peer, message["revision"])
        return {}

    def find_own_bounds(
        self, predecessor: int, registration: Registration
    ) -> GrantBounds:
        """Return the bounds by what this member has granted, and who may not know it.

        :param predecessor: epoch of the last owner.
        :param registration: of this member, which is still in the store.
        """
        newcomer_wait = self._times.newcomer_wait.total_seconds() * (1 + CLOCK_DRIFT)
        unknown = max(self._given_until, registration.at + newcomer_wait)
        if registration.membership != self._membership:
            return GrantBounds(unknown, unknown)
        is_known = predecessor in self._known_to
        is_known_to_earlier = self._first_epoch == FIRST_EPOCH and all(
            epoch in self._known_to for epoch in range(FIRST_EPOCH, predecessor)
        )
        return GrantBounds(
            self._given_until if is_known else unknown,
            self._given_until if is_known_to_earlier else unknown,
        )

    async def _handle_check(
        self, peer: str, message: CheckOutageGrants
    ) -> CheckOutageGrantsReply:
        """Return this member's bounds, which hold from now on.

        They are only valid for a member whose key has stayed in the store.
        """
        self._newest_epoch = max(self._newest_epoch, message["epoch"])
        registration = self._leadership.registration
        if not await self._leadership.is_registered(registration):
            return {"is_known": False, "predecessor": 0, "earlier": 0}
        now = self._now()
        bounds = self.find_own_bounds(message["epoch"] - 1, registration)
        remaining = [math.ceil(max(0.0, bound - now) * 1000) for bound in bounds]
        return {"is_known": True, "predecessor": remaining[0], "earlier": remaining[1]}

    # A successor -------------------------------------------------------------

    def find_bounds(self) -> GrantBounds:
        """Return until when leases may last because of grants to earlier owners.

        They become earlier as other members report theirs.
        """
        term = self._leadership.term
        if term is None:
            return UNKNOWN_BOUNDS
        own = term.grant_bounds
        if term.epoch != self._reported_epoch:
            return own
        reported = self._reported
        return GrantBounds(
            min(own.predecessor, reported.predecessor),
            min(own.earlier, reported.earlier),
        )

    def _must_ask(self, term: OwnerTerm) -> bool:
        """Whether other members may know earlier bounds that matter."""
        plain = term.begun_at + self._times.lease_expiry.total_seconds()
        return term.predecessor is not None and max(self.find_bounds()) > max(
            plain, self._now()
        )

    async def _ask(self, term: OwnerTerm) -> None:
        message: CheckOutageGrants = {"epoch": term.epoch}
        replies = await asyncio.gather(
            *(
                self._peers.call(name, message, CheckOutageGrants, REQUEST_INTERVAL)
                for name in self._leadership.members.list_remembered()
            )
        )
        now = self._now()
        if self._reported_epoch != term.epoch:
            self._reported_epoch, self._reported = term.epoch, UNKNOWN_BOUNDS
        for reply in replies:
            if isinstance(reply, Answered) and reply.message["is_known"]:
                message_bounds = reply.message["predecessor"], reply.message["earlier"]
                self._reported = GrantBounds(
                    *(
                        min(bound, now + remaining / 1000 * (1 + CLOCK_DRIFT))
                        for bound, remaining in zip(
                            self._reported, message_bounds, strict=True
                        )
                    )
                )
        bounds = self.find_bounds()
        _log.info(
            "Members have told for how long earlier owners may act.",
            epoch=term.epoch,
            predecessor=round(bounds.predecessor - now, 3),
            earlier=round(bounds.earlier - now, 3),
        )
        await self._clock.sleep(REQUEST_INTERVAL)
