"""Whatever comes from outside: it is used whole, or refused with a code."""

import asyncio
import unittest
from datetime import timedelta
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.attempts import Course
from damaskdeck.errors import MessageError
from damaskdeck.protocol.forwarding import Load
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.heartbeats import (
    Echo,
    Heartbeat,
    MemberFields,
    ReportFields,
)
from damaskdeck.protocol.jobs import ClaimKey, ReserveTasks
from damaskdeck.protocol.messages import (
    Answered,
    Envelope,
    Unsent,
    decode_message,
    encode_message,
    get_message_name,
    get_message_type,
)
from damaskdeck.protocol.relays import ConfigurationReport
from damaskdeck.protocol.summaries import WorkerSummary
from standins.loops import run_virtual
from tests.messages import WholeDaemon, draw_message
from tests.virtual import virtual

REFUSED = Unsent("invalid_message")

fuzz = settings(
    derandomize=True,
    deadline=None,
    max_examples=10,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)


def list_handled() -> list[str]:
    """List the names of all messages that some part of a daemon handles."""

    async def collect() -> list[str]:
        return sorted(WholeDaemon().handlers)

    return run_virtual(collect())


def make_reservation(**fields: Any) -> dict[str, Any]:
    """Return a message that asks for half of worker ``w1``."""
    size = {"millicores": 2000, "memory": 4000, "accelerators": 0}
    task = {"task": "tiles-00-x.0", "attempt": 1, "size": size, **fields}
    return {"ledger": "00", "epoch": 1, "tasks": [task]}


def make_course(daemon: WholeDaemon) -> Course:
    """Return a request on its way through the daemon's router."""
    request = ServiceRequest("r", "s", "maps", b"", timedelta(seconds=1))
    return Course(request, daemon.clock)


async def deliver(daemon: WholeDaemon, kind: type, value: Any) -> Any:
    """Let a message arrive from ``d2`` as bytes, and return what it is told."""
    envelope = Envelope(get_message_name(kind), 1, 0, encode_message(value))
    return await daemon.peers.handle("d2", envelope)


def read_topics() -> dict[str, Any]:
    """Return the types of the reports on heartbeats, by topic."""
    return {
        "workers": WorkerSummary,
        "load": dict[str, Load],
        "configuration": ConfigurationReport,
    }


async def send_reports(
    daemon: WholeDaemon, number: int, reports: dict[str, bytes]
) -> None:
    """Let a heartbeat of ``d2`` arrive that makes it a live member."""
    member = MemberFields(
        name="d2",
        zone="z1",
        region="r",
        peer_address="127.0.0.1:3",
        api_address="127.0.0.1:4",
        incarnation="d2-1",
    )
    echo = Echo(number=daemon.members._number, session=daemon.members.tenure.session)
    fields = {t: ReportFields(version=number, value=v) for t, v in reports.items()}
    heartbeat = Heartbeat(
        member=member, number=number, session="d2-1.1", echo=echo, reports=fields
    )
    await deliver(daemon, Heartbeat, heartbeat)
    assert daemon.members.is_live("d2")


class TestReports(unittest.TestCase):
    """What heartbeats carry for the parts of a daemon."""

    TOPICS = st.sampled_from(sorted(read_topics()))
    VALUES = TOPICS.flatmap(
        lambda topic: st.tuples(
            st.just(topic),
            draw_message(read_topics()[topic]).map(encode_message) | st.binary(),
        )
    )

    @fuzz
    @given(st.lists(VALUES, min_size=5, max_size=20))
    def test_unreadable_ones_stop_no_part(self, reports):
        async def run() -> None:
            daemon = await WholeDaemon().start()
            for number, report in enumerate(reports, 1):
                await send_reports(daemon, number, dict([report]))
                await asyncio.sleep(0.3)
                daemon.check()
                daemon.router._find_place(make_course(daemon))
            await daemon.close()

        run_virtual(run())

    @virtual
    async def test_a_summary_with_a_size_cut_short_is_dropped(self):
        daemon = await WholeDaemon().start()
        part = {"workers": 1, "free": [1], "slices": [[1, 1]], "largest": [1]}
        summary = {"zone": "z1", "classes": [part], "preemptible": []}
        report = {"workers": encode_message(summary)}
        await send_reports(daemon, 1, report)
        owners = daemon.keeper.desks["00"].dispatcher._owners
        owners.refresh()
        self.assertNotIn("d2", owners._views)
        await daemon.close()


class TestMessages(unittest.TestCase):
    """Messages of older, newer and broken peers, at the real handlers."""

    HANDLED = st.sampled_from(list_handled())
    CASES = HANDLED.flatmap(
        lambda name: st.tuples(st.just(name), draw_message(get_message_type(name)))
    )

    @fuzz
    @given(st.lists(CASES, min_size=40, max_size=60))
    def test_each_is_handled_or_refused_and_the_daemon_goes_on(self, cases):
        async def run() -> None:
            daemon = await WholeDaemon().start()
            for name, value in cases:
                answer = await deliver(daemon, get_message_type(name), value)
                is_coded = answer == REFUSED or isinstance(answer, Answered)
                self.assertTrue(is_coded, (name, value, answer))
            daemon.members.beat()
            daemon.members.list_live()
            await asyncio.sleep(3)
            daemon.check()
            await daemon.close()

        run_virtual(run())

    @fuzz
    @given(HANDLED.flatmap(lambda name: st.tuples(st.just(name), st.binary())))
    def test_bytes_that_are_no_message_are_refused(self, case):
        name, body = case
        try:
            decode_message(name, body)
        except MessageError as error:
            self.assertEqual(error.code, "invalid_message")

    @virtual
    async def test_a_size_below_zero_makes_no_room(self):
        daemon = await WholeDaemon().start()
        size = {"millicores": -9000, "memory": -9000, "accelerators": 0}
        message = make_reservation(size=size)
        self.assertEqual(await deliver(daemon, ReserveTasks, message), REFUSED)
        free = daemon.host.accounts.workers["w1"].free
        self.assertEqual(free, daemon.platform.workers["w1"].instance.size)
        await daemon.close()

    @virtual
    async def test_an_unknown_urgency_reserves_nothing_of_the_batch(self):
        daemon = await WholeDaemon().start()
        message = make_reservation()
        message["tasks"].append({**message["tasks"][0], "urgency": "soon"})
        self.assertEqual(await deliver(daemon, ReserveTasks, message), REFUSED)
        self.assertFalse(daemon.host.accounts.workers["w1"].reservations)
        await daemon.close()

    @virtual
    async def test_a_heartbeat_with_an_impossible_age_is_not_half_applied(self):
        daemon = await WholeDaemon().start()
        member = daemon.members.self._replace(name="d2", zone="z2", incarnation="x")
        heartbeat = {"member": member._asdict(), "number": 1, "session": "x"}
        heartbeat["ages"] = {"d3": 2**64 - 1}
        self.assertEqual(await deliver(daemon, Heartbeat, heartbeat), REFUSED)
        self.assertIsNone(daemon.members.find_address("d2"))
        await daemon.close()

    @virtual
    async def test_a_timeout_that_is_no_number_claims_no_key(self):
        daemon = await WholeDaemon().start()
        for timeout in (float("nan"), float("inf"), -1.0, 1e300):
            claim = {"team": "t", "service": "s", "key": "k", "digest": b""}
            answer = await deliver(daemon, ClaimKey, {**claim, "timeout": timeout})
            self.assertEqual(answer, REFUSED, timeout)
        self.assertFalse(daemon.keeper.desks["00"].kept.table.keys)
        await daemon.close()

    @virtual
    async def test_a_field_of_a_newer_peer_is_ignored(self):
        daemon = await WholeDaemon().start()
        message = make_reservation(flavour="x")
        answer = await deliver(daemon, ReserveTasks, {**message, "colour": 1})
        self.assertEqual(answer.message["granted"][0]["worker"], "w1")
        await daemon.close()
