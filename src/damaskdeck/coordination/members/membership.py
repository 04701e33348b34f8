"""Who takes part: registration in the store, heartbeats, promises and reports."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.members.contacts import (
    Contact,
    to_fields,
    to_milliseconds,
)
from damaskdeck.coordination.members.digests import Relay, write_ages
from damaskdeck.coordination.members.registration import Registered, Registry
from damaskdeck.coordination.members.rendezvous import choose_links
from damaskdeck.coordination.members.tenures import NEVER, OwnerLease
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
REPORT_LIMIT = 4096
CROSS_ZONE_ROUNDS = 2
DIGEST_ROUNDS = 4
FULL_ROUNDS = 10
SENT_LIMIT = 64
REFRESH_INTERVAL = timedelta(milliseconds=1500)
PROMISE_TIME = timedelta(milliseconds=2500)
OUTAGE_PROMISE = timedelta(seconds=30)
PAUSE_LIMIT = timedelta(seconds=1)
FAR_SILENCE = 3 * SILENCE_LIMIT
FORGET_TIME = timedelta(seconds=30)
NEWCOMER_WAIT = OUTAGE_PROMISE * (1 + 2 * CLOCK_DRIFT)

_log = get_logger("members")


class Membership:
    """This daemon's view of all members; implements ``Members``.

    :param seeds: peer addresses to greet while the store can't be read.
    :param newcomer_wait: how long a member waits before it takes over from one
        that never showed that it knew of it.
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
        newcomer_wait: timedelta = NEWCOMER_WAIT,
    ) -> None:
        self.is_leaving = False
        self._member = member
        self._registry = Registry(member, store, clock, member_lease)
        self._peers = peers
        self._clock = clock
        self._seeds = seeds
        self._interval = heartbeat_interval
        self._zone_links = zone_links
        self._newcomer_wait = newcomer_wait
        self._has_left = False
        self._peer_states: dict[str, Contact] = {}
        self._targets: set[str] | None = None
        self._number = 0
        self._sent: dict[int, timedelta] = {}
        self._relays = {True: Relay(), False: Relay()}
        self._last_beat = clock.monotonic()
        self._own = Contact(member, heard=clock.monotonic())
        self._promises: dict[str, timedelta] = {}
        self._familiar: dict[str, str] = {}
        peers.register(Heartbeat, self._handle_heartbeat)
        peers.register(Goodbye, self._take_goodbye)

    # Members ------------------------------------------------------------------

    @property
    def self(self) -> Member:
        """This daemon."""
        return self._member

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        """List live members in order of name, this daemon among them."""
        names = sorted(name for name in self._list_names() if self.is_live(name))
        members = (self._get(name).member for name in names)
        return tuple(member for member in members if zone in ("", member.zone))

    def is_live(self, name: str) -> bool:
        """Tell whether heartbeats of ``name`` still come, and ours reach it."""
        if name == self._member.name:
            return True
        peer_state = self._peer_states.get(name)
        if peer_state is None:
            return False
        now = self._clock.monotonic()
        limit = SILENCE_LIMIT if self._is_near(peer_state) else FAR_SILENCE
        if now - peer_state.heard >= limit:
            return False
        if now - peer_state.direct >= limit or name not in self._list_targets():
            return True
        return now - peer_state.echoed < 2 * SILENCE_LIMIT

    def publish(self, topic: str, value: bytes) -> None:
        """Attach a report to this daemon's next heartbeats, at most 4 KiB."""
        if len(value) > REPORT_LIMIT:
            count_drop("members", "report_too_large")
            _log.warn("A report is too large.", topic=topic, size=len(value))
            return
        now = self._clock.monotonic()
        known = self._own.reports.get(topic)
        if known is None or known.value != value:
            self._own.versions[topic] = self._own.versions.get(topic, 0) + 1
        self._own.reports[topic] = Report(self._member.name, value, now)

    def read_reports(self, topic: str) -> Mapping[str, Report]:
        """Return the latest report of each live member, by name."""
        found = {}
        for name in self._list_names():
            report = self._get(name).reports.get(topic)
            if report is not None and self.is_live(name):
                found[name] = report
        return found

    # For ownership and streams --------------------------------------------------

    def find_address(self, name: str) -> str | None:
        """Return the address of a member's streams."""
        if name.startswith(SEED_PREFIX):
            return name.removeprefix(SEED_PREFIX)
        peer_state = self._peer_states.get(name)
        return peer_state.member.peer_address if peer_state else None

    def get_registered(self, name: str) -> Registered | None:
        """Return a member as the store showed it last."""
        return self._registry.registered.get(name)

    def is_registered(self, name: str) -> bool:
        """Tell whether the store shows a member, be it unreadable."""
        registry = self._registry
        return name in registry.registered or name in registry.unreadable

    def list_candidates(self, zone: str = "") -> list[Registered]:
        """List registered members that may own things, in order of name."""
        return [
            found
            for name, found in sorted(self._registry.registered.items())
            if zone in ("", found.member.zone) and not self._get_leaving(name)
        ]

    @property
    def revision(self) -> int:
        """The store's revision up to which registrations are known."""
        return self._registry.revision

    @property
    def owner_lease(self) -> OwnerLease | None:
        """The time in which this daemon may decide; ``None`` before it registers."""
        return self._registry.owner_lease

    def may_take_from(self, name: str) -> bool:
        """Tell whether things of a member of this zone may be taken over.

        Its lease must have lapsed in the store, it must be silent, no promise
        to it may be open, and it must have known this daemon so that it
        doesn't go on without this daemon's promise.
        """
        now = self._clock.monotonic()
        if self.is_registered(name) or self.owner_lease is None:
            return False
        if now < self._promises.get(name, NEVER):
            return False
        peer_state = self._peer_states.get(name)
        if peer_state is not None and now - peer_state.heard < SILENCE_LIMIT:
            return False
        if self._familiar.get(name) == self.owner_lease.session:
            return True
        return now - self._registry.since >= self._newcomer_wait

    async def refresh(self) -> bool:
        """Read who is registered; tell whether the store answered."""
        if not await self._registry.refresh():
            return False
        for found in self._registry.registered.values():
            peer_state = self._peer_states.get(found.member.name) or self._meet(
                found.member
            )
            peer_state.seen_session = found.session
        self._forget_contacts()
        return True

    # Running --------------------------------------------------------------------

    async def run(self) -> None:
        """Take part until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._registry.keep())
            group.create_task(self._keep_refreshed())
            group.create_task(self._keep_beating())

    async def leave(self) -> None:
        """Give up the registration and tell the others; the end of a drain."""
        self._has_left = True
        session = await self._registry.leave()
        for name in self._list_targets() if session else ():
            self._peers.send(name, {"session": session}, Goodbye)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each peer that gets them from this daemon."""
        now = self._clock.monotonic()
        self._check_pause(now)
        self._number += 1
        self._sent[self._number] = now
        self._sent.pop(self._number - SENT_LIMIT, None)
        self._own.heard = now
        for name in self._list_targets():
            peer_state = self._peer_states[name]
            if self._is_near(peer_state) or self._number % CROSS_ZONE_ROUNDS == 0:
                self._peers.send(
                    name, self._write_heartbeat(peer_state, now), Heartbeat
                )
        if self._number % DIGEST_ROUNDS == 1:
            self._greet_seeds(now)
        self._prolong(now)

    async def _keep_beating(self) -> None:
        while not self._has_left:
            self.send_heartbeats()
            await self._clock.sleep(self._interval)

    async def _keep_refreshed(self) -> None:
        while not self._has_left:
            now = self._clock.monotonic()
            if now - self._registry.refreshed >= REFRESH_INTERVAL:
                await self.refresh()
            await self._clock.sleep(REFRESH_INTERVAL / 2)

    # Heartbeats -----------------------------------------------------------------

    def _list_targets(self) -> set[str]:
        if self._targets is None:
            self._targets = self._choose_targets()
        return self._targets

    def _choose_targets(self) -> set[str]:
        zones: dict[str, list[str]] = {self._member.zone: [self._member.name]}
        for name, peer_state in self._peer_states.items():
            zones.setdefault(peer_state.member.zone, []).append(name)
        links = choose_links(
            self._member.name, self._member.zone, zones, self._zone_links
        )
        return links.union(zones[self._member.zone]) - {self._member.name}

    def _write_heartbeat(self, peer_state: Contact, now: timedelta) -> Heartbeat:
        is_near = self._is_near(peer_state)
        heartbeat: Heartbeat = {
            "member": to_fields(self._member),
            "number": self._number,
            "session": self._registry.session,
            "reports": self._write_reports(peer_state),
        }
        if self.is_leaving:
            heartbeat["leaving"] = True
        if peer_state.number:
            heartbeat["echo"] = self._write_echo(peer_state, is_near, now)
        if self._number % DIGEST_ROUNDS == 0:
            relayed = self._list_relayed(is_near, now)
            heartbeat["ages"] = write_ages(relayed, now)
            heartbeat["digests"] = self._relays[is_near].write_digests(relayed, now)
        return heartbeat

    def _write_echo(self, peer_state: Contact, is_near: bool, now: timedelta) -> Echo:
        echo: Echo = {"number": peer_state.number, "session": peer_state.session}
        name = peer_state.member.name
        if is_near and peer_state.number > peer_state.promised:
            peer_state.promised = peer_state.number
            duration = self._choose_promise(now)
            self._promise(name, duration, now)
            echo["promise"] = to_milliseconds(duration)
        if is_near:
            promised = self._registry.get_promised(now)
            echo["promised"] = to_milliseconds(promised) + 1
        return echo

    def _choose_promise(self, now: timedelta) -> timedelta:
        """Promise for longer while no takeover can be written anyway.

        Then a peer's restart in an outage doesn't stop the owners of its zone.
        """
        return PROMISE_TIME if self._registry.can_write(now) else OUTAGE_PROMISE

    def _write_reports(self, peer_state: Contact) -> dict[str, ReportFields]:
        is_full = self._number % FULL_ROUNDS == 0
        reports: dict[str, ReportFields] = {}
        for topic, report in self._own.reports.items():
            version = self._own.versions[topic]
            reports[topic] = {"version": version}
            if is_full or peer_state.sent_versions.get(topic) != version:
                reports[topic]["value"] = report.value
                peer_state.sent_versions[topic] = version
        return reports

    def _list_relayed(self, is_near: bool, now: timedelta) -> list[Contact]:
        """List whom a peer hears of through this daemon; one relay on each side."""
        return [
            peer_state
            for _, peer_state in sorted(self._peer_states.items())
            if self._is_near(peer_state) != is_near
            and now - (peer_state.first_hand if is_near else peer_state.direct)
            < FAR_SILENCE
        ]

    async def _handle_heartbeat(self, instance: str, heartbeat: Heartbeat) -> None:
        member = Member(**heartbeat["member"])
        if member.name == self._member.name:
            return
        now = self._clock.monotonic()
        peer_state = self._meet(member)
        if heartbeat["number"] <= peer_state.number and member == peer_state.member:
            return
        peer_state.member = member
        peer_state.heard = peer_state.first_hand = peer_state.direct = now
        peer_state.number = heartbeat["number"]
        peer_state.session = heartbeat["session"]
        peer_state.is_leaving = heartbeat.get("leaving", False)
        self._take_reports(peer_state, heartbeat.get("reports", {}), now)
        is_far = not self._is_near(peer_state)
        self._take_digests(heartbeat.get("digests", []), now)
        self._take_ages(heartbeat.get("ages", {}), now, is_far)
        if "echo" in heartbeat:
            self._take_echo(peer_state, heartbeat["echo"], now)
        self._prolong(now)

    def _take_echo(self, peer_state: Contact, echo: Echo, now: timedelta) -> None:
        sent = self._sent.get(echo["number"], NEVER)
        peer_state.echoed = max(peer_state.echoed, sent)
        self._get_known(peer_state.member.name, echo, now)
        if "promise" in echo and sent != NEVER:
            promise = timedelta(milliseconds=echo["promise"])
            until = sent + promise * (1 - CLOCK_DRIFT)
            peer_state.vouched_until = max(peer_state.vouched_until, until)

    def _get_known(self, name: str, echo: Echo, now: timedelta) -> None:
        """Note that a member knows this session, and so needs our promise.

        What others had promised it before still holds and binds us as well.
        """
        if self._familiar.get(name) == echo["session"]:
            return
        self._familiar[name] = echo["session"]
        longest = to_milliseconds(OUTAGE_PROMISE)
        promised = timedelta(milliseconds=echo.get("promised", longest))
        self._promise(name, promised, now)

    def _promise(self, name: str, duration: timedelta, now: timedelta) -> None:
        until = now + duration * (1 + CLOCK_DRIFT)
        self._promises[name] = max(self._promises.get(name, NEVER), until)

    def _take_reports(
        self, peer_state: Contact, reports: dict[str, ReportFields], now: timedelta
    ) -> None:
        for topic, fields in reports.items():
            known = peer_state.reports.get(topic)
            if "value" in fields:
                value = fields["value"]
            elif known and peer_state.versions.get(topic) == fields["version"]:
                value = known.value
            else:
                continue
            peer_state.versions[topic] = fields["version"]
            peer_state.reports[topic] = Report(peer_state.member.name, value, now)

    def _take_digests(self, digests: list[Digest], now: timedelta) -> None:
        for digest in digests:
            member = Member(**digest["member"])
            if member.zone == self._member.zone:
                continue
            peer_state = self._meet(member)
            heard = now - timedelta(milliseconds=digest["age"])
            for topic, value in digest["reports"].items():
                known = peer_state.reports.get(topic)
                if known is None or known.received < heard:
                    peer_state.reports[topic] = Report(member.name, value, heard)

    def _take_ages(self, ages: dict[str, int], now: timedelta, is_far: bool) -> None:
        for name, age in ages.items():
            peer_state = self._peer_states.get(name)
            if peer_state is None or self._is_near(peer_state):
                continue
            heard = now - timedelta(milliseconds=age)
            peer_state.heard = max(peer_state.heard, heard)
            if is_far:
                peer_state.first_hand = max(peer_state.first_hand, heard)

    async def _take_goodbye(self, instance: str, goodbye: Goodbye) -> None:
        peer_state = self._peer_states.get(instance)
        if peer_state is not None and peer_state.session == goodbye["session"]:
            del self._peer_states[instance]
            self._targets = None
            self._registry.registered.pop(instance, None)

    def _greet_seeds(self, now: timedelta) -> None:
        known = {
            peer_state.member.peer_address for peer_state in self._peer_states.values()
        }
        known.add(self._member.peer_address)
        for address in self._seeds:
            if address not in known:
                peer_state = Contact(self._member)
                name = SEED_PREFIX + address
                self._peers.send(
                    name, self._write_heartbeat(peer_state, now), Heartbeat
                )

    # Contacts -------------------------------------------------------------------

    def _list_names(self) -> list[str]:
        return [self._member.name, *self._peer_states]

    def _get(self, name: str) -> Contact:
        return self._own if name == self._member.name else self._peer_states[name]

    def _get_leaving(self, name: str) -> bool:
        if name == self._member.name:
            return self.is_leaving
        peer_state = self._peer_states.get(name)
        return peer_state is not None and peer_state.is_leaving

    def _meet(self, member: Member) -> Contact:
        peer_state = self._peer_states.get(member.name)
        if peer_state is None or peer_state.member.incarnation != member.incarnation:
            peer_state = Contact(member)
            if member.name != self._member.name:
                self._peer_states[member.name] = peer_state
                self._targets = None
        return peer_state

    def _is_near(self, peer_state: Contact) -> bool:
        return peer_state.member.zone == self._member.zone

    def _forget_contacts(self) -> None:
        """Forget silent members that the store shows no more.

        Their sessions are over, so they can't take over from this daemon before
        it has met them again under a new one.
        """
        now = self._clock.monotonic()
        for name, peer_state in list(self._peer_states.items()):
            # A read that lags may not show yet what a heartbeat has named.
            was_shown = peer_state.seen_session == peer_state.session
            limit = SILENCE_LIMIT if was_shown else FORGET_TIME
            if not self.is_registered(name) and now - peer_state.heard >= limit:
                del self._peer_states[name]
                self._targets = None

    def _prolong(self, now: timedelta) -> None:
        vouched = [
            peer_state.vouched_until
            for peer_state in self._peer_states.values()
            if self._is_near(peer_state)
        ]
        self._registry.prolong(min(vouched, default=now + PROMISE_TIME), now)

    def _check_pause(self, now: timedelta) -> None:
        gap = now - self._last_beat - self._interval
        self._last_beat = now
        if gap < PAUSE_LIMIT:
            return
        count_drop("members", "paused")
        _log.warn("This daemon was paused.", seconds=gap.total_seconds())
        for peer_state in self._peer_states.values():
            if peer_state.heard != NEVER:
                peer_state.heard = min(now, peer_state.heard + gap)
                peer_state.direct = min(now, peer_state.direct + gap)
                peer_state.echoed = min(now, peer_state.echoed + gap)
