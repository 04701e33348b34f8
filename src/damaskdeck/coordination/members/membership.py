"""Membership: registration in the store, heartbeats, lease grants and reports."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.members.digests import DigestWriter, write_ages
from damaskdeck.coordination.members.ownerleases import NEVER, OwnerLease
from damaskdeck.coordination.members.peerstates import (
    PeerState,
    to_fields,
    to_milliseconds,
)
from damaskdeck.coordination.members.registration import (
    MemberRegistry,
    RegisteredMember,
)
from damaskdeck.coordination.members.rendezvous import choose_links
from damaskdeck.defaults import (
    CLOCK_DRIFT,
    HEARTBEAT_INTERVAL,
    MEMBER_LEASE,
    SILENCE_LIMIT,
    ZONE_LINKS,
)
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.heartbeats import (
    Digest,
    Echo,
    Goodbye,
    Heartbeat,
    ReportFields,
)
from damaskdeck.protocol.members import Member, Report
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.ports import Store

SEED_PREFIX = "seed/"
MAX_REPORT_BYTES = 4096
# Every nth heartbeat goes to other zones, has digests, or has all reports.
CROSS_ZONE_ROUNDS = 2
DIGEST_ROUNDS = 4
FULL_ROUNDS = 10
SENT_HEARTBEATS_LIMIT = 64
REFRESH_INTERVAL = timedelta(milliseconds=1500)
LEASE_GRANT = timedelta(milliseconds=2500)
OUTAGE_LEASE_GRANT = timedelta(seconds=30)
PAUSE_THRESHOLD = timedelta(seconds=1)
CROSS_ZONE_SILENCE_LIMIT = 3 * SILENCE_LIMIT
UNREGISTERED_SILENCE_LIMIT = timedelta(seconds=30)
NEWCOMER_DELAY = OUTAGE_LEASE_GRANT * (1 + 2 * CLOCK_DRIFT)

_log = get_logger("members")


class Membership:
    """This daemon's view of all members; implements ``Members``.

    :param seeds: peer addresses that get heartbeats until a member is known there,
        so that daemons find each other while the store can't be read.
    :param newcomer_delay: how long this daemon waits before it takes over from a
        member that never showed that it knew of this daemon.
    """

    def __init__(
        self,
        member: Member,
        peers: Peers,
        store: Store,
        clock: Clock,
        seeds: tuple[str, ...] = (),
        heartbeat_interval: timedelta = HEARTBEAT_INTERVAL,
        member_lease: timedelta = MEMBER_LEASE,
        zone_links: int = ZONE_LINKS,
        newcomer_delay: timedelta = NEWCOMER_DELAY,
    ) -> None:
        self.is_leaving = False
        self._member = member
        self._registry = MemberRegistry(member, store, clock, member_lease)
        self._peers = peers
        self._clock = clock
        self._seeds = seeds
        self._interval = heartbeat_interval
        self._zone_links = zone_links
        self._newcomer_delay = newcomer_delay
        self._has_left = False
        self._peer_states: dict[str, PeerState] = {}
        self._heartbeat_peers: set[str] | None = None
        self._number = 0
        self._sent_at: dict[int, timedelta] = {}
        self._digest_writers = {True: DigestWriter(), False: DigestWriter()}
        self._last_heartbeat_at = clock.monotonic()
        self._own = PeerState(member, last_seen=clock.monotonic())
        self._grants: dict[str, timedelta] = {}
        self._acknowledged_sessions: dict[str, str] = {}
        peers.register(Heartbeat, self._handle_heartbeat)
        peers.register(Goodbye, self._handle_goodbye)

    # Members protocol ---------------------------------------------------------

    @property
    def self(self) -> Member:
        """This daemon."""
        return self._member

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        """List live members in order of name, this daemon among them."""
        names = sorted(name for name in self._list_names() if self.is_alive(name))
        members = (self._get(name).member for name in names)
        return tuple(member for member in members if zone in ("", member.zone))

    def is_alive(self, name: str) -> bool:
        """Return whether heartbeats of ``name`` arrive, and own ones reach it."""
        if name == self._member.name:
            return True
        peer = self._peer_states.get(name)
        if peer is None:
            return False
        now = self._clock.monotonic()
        limit = SILENCE_LIMIT if self._is_same_zone(peer) else CROSS_ZONE_SILENCE_LIMIT
        if now - peer.last_seen >= limit:
            return False
        if (
            now - peer.last_heartbeat_at >= limit
            or name not in self._list_heartbeat_peers()
        ):
            return True
        return now - peer.echo_sent_at < 2 * SILENCE_LIMIT

    def publish(self, topic: str, value: bytes) -> None:
        """Attach a report to this daemon's next heartbeats, at most 4 KiB."""
        if len(value) > MAX_REPORT_BYTES:
            count_drop("members", "report_too_large")
            _log.warn("A report is too large.", topic=topic, size=len(value))
            return
        now = self._clock.monotonic()
        known = self._own.reports.get(topic)
        if known is None or known.value != value:
            self._own.report_versions[topic] = (
                self._own.report_versions.get(topic, 0) + 1
            )
        self._own.reports[topic] = Report(self._member.name, value, now)

    def read_reports(self, topic: str) -> Mapping[str, Report]:
        """Return the latest report of each live member, by name."""
        found = {}
        for name in self._list_names():
            report = self._get(name).reports.get(topic)
            if report is not None and self.is_alive(name):
                found[name] = report
        return found

    # For ownership and streams --------------------------------------------------

    def find_address(self, name: str) -> str | None:
        """Return the peer address of a member or a seed, or ``None``."""
        if name.startswith(SEED_PREFIX):
            return name.removeprefix(SEED_PREFIX)
        peer = self._peer_states.get(name)
        return peer.member.peer_address if peer else None

    def get_registered(self, name: str) -> RegisteredMember | None:
        """Return a member as last listed in the store, or ``None``."""
        return self._registry.registered.get(name)

    def is_registered(self, name: str) -> bool:
        """Return whether the store lists a member, even with an unreadable value."""
        registry = self._registry
        return name in registry.registered or name in registry.unreadable

    def list_candidates(self, zone: str = "") -> list[RegisteredMember]:
        """List registered members that may own shards, in order of name."""
        return [
            found
            for name, found in sorted(self._registry.registered.items())
            if zone in ("", found.member.zone) and not self._is_member_leaving(name)
        ]

    @property
    def revision(self) -> int:
        """The store's revision up to which registrations are known."""
        return self._registry.revision

    @property
    def owner_lease(self) -> OwnerLease | None:
        """How long this daemon may act as an owner; ``None`` before it registers."""
        return self._registry.owner_lease

    def can_take_over_from(self, name: str) -> bool:
        """Return whether shards of a member of this zone may be taken over.

        Its lease must have expired in the store, it must be silent, and all lease
        grants to it that bind this daemon must have ended. It must also have known this
        daemon's session, as otherwise it may act without a grant of this daemon; if it
        hasn't, the session must have lasted for ``newcomer_delay``.
        """
        now = self._clock.monotonic()
        if self.is_registered(name) or self.owner_lease is None:
            return False
        if now < self._grants.get(name, NEVER):
            return False
        peer = self._peer_states.get(name)
        if peer is not None and now - peer.last_seen < SILENCE_LIMIT:
            return False
        if self._acknowledged_sessions.get(name) == self.owner_lease.session:
            return True
        return now - self._registry.session_started_at >= self._newcomer_delay

    async def refresh(self) -> bool:
        """Read the registered members; return whether the store answered."""
        if not await self._registry.refresh():
            return False
        for found in self._registry.registered.values():
            peer = self._peer_states.get(found.member.name) or self._get_or_add_peer(
                found.member
            )
            peer.registered_session = found.session
        self._remove_silent_peers()
        return True

    # Background tasks -----------------------------------------------------------

    async def run(self) -> None:
        """Register, send heartbeats and follow the registrations until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._registry.keep_registered())
            group.create_task(self._run_refresh())
            group.create_task(self._run_heartbeats())

    async def leave(self) -> None:
        """Revoke the registration and notify the others; the last step of a drain."""
        self._has_left = True
        session = await self._registry.leave()
        for name in self._list_heartbeat_peers() if session else ():
            self._peers.send(name, {"session": session}, Goodbye)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each peer that gets them from this daemon."""
        now = self._clock.monotonic()
        self._detect_pause(now)
        self._number += 1
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - SENT_HEARTBEATS_LIMIT, None)
        self._own.last_seen = now
        for name in self._list_heartbeat_peers():
            peer = self._peer_states[name]
            if self._is_same_zone(peer) or self._number % CROSS_ZONE_ROUNDS == 0:
                self._peers.send(name, self._write_heartbeat(peer, now), Heartbeat)
        if self._number % DIGEST_ROUNDS == 1:
            self._send_to_seeds(now)
        self._extend_owner_leases(now)

    async def _run_heartbeats(self) -> None:
        while not self._has_left:
            self.send_heartbeats()
            await self._clock.sleep(self._interval)

    async def _run_refresh(self) -> None:
        while not self._has_left:
            now = self._clock.monotonic()
            if now - self._registry.refreshed_at >= REFRESH_INTERVAL:
                await self.refresh()
            await self._clock.sleep(REFRESH_INTERVAL / 2)

    # Heartbeats -----------------------------------------------------------------

    def _list_heartbeat_peers(self) -> set[str]:
        if self._heartbeat_peers is None:
            self._heartbeat_peers = self._choose_heartbeat_peers()
        return self._heartbeat_peers

    def _choose_heartbeat_peers(self) -> set[str]:
        zones: dict[str, list[str]] = {self._member.zone: [self._member.name]}
        for name, peer in self._peer_states.items():
            zones.setdefault(peer.member.zone, []).append(name)
        links = choose_links(
            self._member.name, self._member.zone, zones, self._zone_links
        )
        return links.union(zones[self._member.zone]) - {self._member.name}

    def _write_heartbeat(self, peer: PeerState, now: timedelta) -> Heartbeat:
        is_same_zone = self._is_same_zone(peer)
        heartbeat: Heartbeat = {
            "member": to_fields(self._member),
            "number": self._number,
            "session": self._registry.session,
            "reports": self._write_reports(peer),
        }
        if self.is_leaving:
            heartbeat["leaving"] = True
        if peer.number:
            heartbeat["echo"] = self._write_echo(peer, is_same_zone, now)
        if self._number % DIGEST_ROUNDS == 0:
            relayed = self._list_relayed(is_same_zone, now)
            heartbeat["ages"] = write_ages(relayed, now)
            heartbeat["digests"] = self._digest_writers[is_same_zone].write_digests(
                relayed, now
            )
        return heartbeat

    def _write_echo(self, peer: PeerState, is_same_zone: bool, now: timedelta) -> Echo:
        echo: Echo = {"number": peer.number, "session": peer.session}
        name = peer.member.name
        if is_same_zone and peer.number > peer.granted_number:
            peer.granted_number = peer.number
            duration = self._choose_grant(now)
            self._grant(name, duration, now)
            echo["promise"] = to_milliseconds(duration)
        if is_same_zone:
            time_left = self._registry.get_grant_time_left(now)
            echo["promised"] = to_milliseconds(time_left) + 1
        return echo

    def _choose_grant(self, now: timedelta) -> timedelta:
        """Return a longer grant while the store is out of reach.

        This costs nothing, as no takeover can be written then anyway. Due to the longer
        grant, the restart of a peer during the outage doesn't stop the owners of its
        zone.
        """
        return LEASE_GRANT if self._registry.can_write(now) else OUTAGE_LEASE_GRANT

    def _write_reports(self, peer: PeerState) -> dict[str, ReportFields]:
        is_full = self._number % FULL_ROUNDS == 0
        reports: dict[str, ReportFields] = {}
        for topic, report in self._own.reports.items():
            version = self._own.report_versions[topic]
            reports[topic] = {"version": version}
            if is_full or peer.sent_versions.get(topic) != version:
                reports[topic]["value"] = report.value
                peer.sent_versions[topic] = version
        return reports

    def _list_relayed(self, is_same_zone: bool, now: timedelta) -> list[PeerState]:
        """List the members to relay to a peer; each path has one relay per zone."""
        return [
            peer
            for _, peer in sorted(self._peer_states.items())
            if self._is_same_zone(peer) != is_same_zone
            and now
            - (peer.last_seen_outside_zone if is_same_zone else peer.last_heartbeat_at)
            < CROSS_ZONE_SILENCE_LIMIT
        ]

    async def _handle_heartbeat(self, instance: str, heartbeat: Heartbeat) -> None:
        member = Member(**heartbeat["member"])
        if member.name == self._member.name:
            return
        now = self._clock.monotonic()
        peer = self._get_or_add_peer(member)
        if heartbeat["number"] <= peer.number and member == peer.member:
            return
        peer.member = member
        peer.last_seen = peer.last_seen_outside_zone = peer.last_heartbeat_at = now
        peer.number = heartbeat["number"]
        peer.session = heartbeat["session"]
        peer.is_leaving = heartbeat.get("leaving", False)
        self._merge_reports(peer, heartbeat.get("reports", {}), now)
        is_other_zone = not self._is_same_zone(peer)
        self._merge_digests(heartbeat.get("digests", []), now)
        self._merge_ages(heartbeat.get("ages", {}), now, is_other_zone)
        if "echo" in heartbeat:
            self._handle_echo(peer, heartbeat["echo"], now)
        self._extend_owner_leases(now)

    def _handle_echo(self, peer: PeerState, echo: Echo, now: timedelta) -> None:
        sent_at = self._sent_at.get(echo["number"], NEVER)
        peer.echo_sent_at = max(peer.echo_sent_at, sent_at)
        self._record_acknowledgement(peer.member.name, echo, now)
        if "promise" in echo and sent_at != NEVER:
            duration = timedelta(milliseconds=echo["promise"])
            until = sent_at + duration * (1 - CLOCK_DRIFT)
            peer.granted_until = max(peer.granted_until, until)

    def _record_acknowledgement(self, name: str, echo: Echo, now: timedelta) -> None:
        """Record that a member knows this session, and so needs this daemon's grant.

        Grants that it got from others before are still valid, and this daemon must
        respect them as well.
        """
        if self._acknowledged_sessions.get(name) == echo["session"]:
            return
        self._acknowledged_sessions[name] = echo["session"]
        longest = to_milliseconds(OUTAGE_LEASE_GRANT)
        granted = timedelta(milliseconds=echo.get("promised", longest))
        self._grant(name, granted, now)

    def _grant(self, name: str, duration: timedelta, now: timedelta) -> None:
        until = now + duration * (1 + CLOCK_DRIFT)
        self._grants[name] = max(self._grants.get(name, NEVER), until)

    def _merge_reports(
        self, peer: PeerState, reports: dict[str, ReportFields], now: timedelta
    ) -> None:
        for topic, fields in reports.items():
            known = peer.reports.get(topic)
            if "value" in fields:
                value = fields["value"]
            elif known and peer.report_versions.get(topic) == fields["version"]:
                value = known.value
            else:
                continue
            peer.report_versions[topic] = fields["version"]
            peer.reports[topic] = Report(peer.member.name, value, now)

    def _merge_digests(self, digests: list[Digest], now: timedelta) -> None:
        for digest in digests:
            member = Member(**digest["member"])
            if member.zone == self._member.zone:
                continue
            peer = self._get_or_add_peer(member)
            last_seen = now - timedelta(milliseconds=digest["age"])
            for topic, value in digest["reports"].items():
                known = peer.reports.get(topic)
                if known is None or known.received < last_seen:
                    peer.reports[topic] = Report(member.name, value, last_seen)

    def _merge_ages(
        self, ages: dict[str, int], now: timedelta, is_other_zone: bool
    ) -> None:
        for name, age in ages.items():
            peer = self._peer_states.get(name)
            if peer is None or self._is_same_zone(peer):
                continue
            last_seen = now - timedelta(milliseconds=age)
            peer.last_seen = max(peer.last_seen, last_seen)
            if is_other_zone:
                peer.last_seen_outside_zone = max(
                    peer.last_seen_outside_zone, last_seen
                )

    async def _handle_goodbye(self, instance: str, goodbye: Goodbye) -> None:
        peer = self._peer_states.get(instance)
        if peer is not None and peer.session == goodbye["session"]:
            del self._peer_states[instance]
            self._heartbeat_peers = None
            self._registry.registered.pop(instance, None)

    def _send_to_seeds(self, now: timedelta) -> None:
        known = {peer.member.peer_address for peer in self._peer_states.values()}
        known.add(self._member.peer_address)
        for address in self._seeds:
            if address not in known:
                peer = PeerState(self._member)
                name = SEED_PREFIX + address
                self._peers.send(name, self._write_heartbeat(peer, now), Heartbeat)

    # Peer states ----------------------------------------------------------------

    def _list_names(self) -> list[str]:
        return [self._member.name, *self._peer_states]

    def _get(self, name: str) -> PeerState:
        return self._own if name == self._member.name else self._peer_states[name]

    def _is_member_leaving(self, name: str) -> bool:
        if name == self._member.name:
            return self.is_leaving
        peer = self._peer_states.get(name)
        return peer is not None and peer.is_leaving

    def _get_or_add_peer(self, member: Member) -> PeerState:
        peer = self._peer_states.get(member.name)
        if peer is None or peer.member.incarnation != member.incarnation:
            peer = PeerState(member)
            if member.name != self._member.name:
                self._peer_states[member.name] = peer
                self._heartbeat_peers = None
        return peer

    def _is_same_zone(self, peer: PeerState) -> bool:
        return peer.member.zone == self._member.zone

    def _remove_silent_peers(self) -> None:
        """Remove silent members that the store no longer lists.

        Their sessions have ended, so they can't take over from this daemon before they
        have exchanged heartbeats with it under a new session.
        """
        now = self._clock.monotonic()
        for name, peer in list(self._peer_states.items()):
            # A stale read may not show yet the session that a heartbeat has named.
            is_session_registered = peer.registered_session == peer.session
            limit = (
                SILENCE_LIMIT if is_session_registered else UNREGISTERED_SILENCE_LIMIT
            )
            if not self.is_registered(name) and now - peer.last_seen >= limit:
                del self._peer_states[name]
                self._heartbeat_peers = None

    def _extend_owner_leases(self, now: timedelta) -> None:
        granted = [
            peer.granted_until
            for peer in self._peer_states.values()
            if self._is_same_zone(peer)
        ]
        self._registry.extend_owner_leases(min(granted, default=now + LEASE_GRANT), now)

    def _detect_pause(self, now: timedelta) -> None:
        gap = now - self._last_heartbeat_at - self._interval
        self._last_heartbeat_at = now
        if gap < PAUSE_THRESHOLD:
            return
        count_drop("members", "paused")
        _log.warn("The daemon was paused.", seconds=gap.total_seconds())
        for peer in self._peer_states.values():
            if peer.last_seen != NEVER:
                peer.last_seen = min(now, peer.last_seen + gap)
                peer.last_heartbeat_at = min(now, peer.last_heartbeat_at + gap)
                peer.echo_sent_at = min(now, peer.echo_sent_at + gap)
