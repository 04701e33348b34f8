"""Arbitrary input from outside is either used completely or refused with a code."""

import asyncio
import contextlib
import copy
import io
import json
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple, is_typeddict
from urllib.parse import urlencode

import logbook
import msgspec
import typer
import yaml
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from damaskdeck.cli.declarations import load_resources
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.session import get_path
from damaskdeck.clock import SystemClock
from damaskdeck.coordination.configuration.pulls import pull
from damaskdeck.coordination.members.tables import OwnerEntry, TableDocument
from damaskdeck.coordination.requests.attempts import (
    AnswerLost,
    Redirect,
    RequestContext,
)
from damaskdeck.errors import MessageError, SettingsError
from damaskdeck.protocol.configurationmessages import ConfigurationReport
from damaskdeck.protocol.forwarding import ServiceLoad
from damaskdeck.protocol.handlers import ServiceRequest, Submission
from damaskdeck.protocol.heartbeats import (
    Echo,
    Heartbeat,
    MemberFields,
    ReportFields,
    TableChange,
)
from damaskdeck.protocol.jobs import ClaimKey, ReadJob, ReserveTasks
from damaskdeck.protocol.members import Owner
from damaskdeck.protocol.messages import (
    Answered,
    Envelope,
    Unanswered,
    Unsent,
    _replies,
    decode_message,
    encode_message,
    get_message_name,
    get_message_type,
)
from damaskdeck.protocol.outcomes import Completed, Refused, Unknown
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.resources import Kind
from damaskdeck.protocol.summaries import WorkerSummary
from damaskdeck.settings import Settings, load_settings
from damaskdeck.state.names import parse_ledger_name
from damaskdeck.state.records import JobSnapshot, encode_record
from damaskdeck.state.segments import Head, decode_segment, encode
from damaskdeck.transport.api.app import build_app
from damaskdeck.transport.api.credentials import Credentials
from damaskdeck.transport.api.problems import CODES, PROBLEM_TYPE
from damaskdeck.transport.api.resources import PATCH_MEDIA_TYPE
from damaskdeck.transport.api.routes import ROUTES, Route
from damaskdeck.transport.peers import PeerNetwork
from damaskdeck.transport.pool import Reply
from damaskdeck.transport.replies import read_reply
from damaskdeck.transport.store import HttpStore, _read_granted
from standins.clock import settle
from standins.loops import run_virtual
from tests.cluster import Cluster, make_team, make_workload
from tests.messages import WholeDaemon, draw_message
from tests.test_api import FakeJobs, FakeRequests, FakeResources
from tests.virtual import virtual

REFUSED = Unsent("invalid_message")
INVALID_REPLY = Unanswered("invalid_reply")
LOAD = ServiceLoad(slots=1, free=1, queued=0, service_time=0.1, targets=1, ejected=0)
INVALID_REPLIES = (None, {}, [], 1, {"outcome": {}}, {"state": "known"}, {"jobs": [{}]})

fuzz = settings(
    derandomize=True,
    deadline=None,
    max_examples=10,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)


def list_handled_messages() -> list[str]:
    """Return the names of all messages that a daemon handles."""

    async def collect() -> list[str]:
        return sorted(WholeDaemon().handlers)

    return run_virtual(collect())


def make_reserve_message(**fields: Any) -> dict[str, Any]:
    """Return a message that reserves half of worker ``w1``."""
    size = {"millicores": 2000, "memory": 4000, "accelerators": 0}
    task = {"task": "tiles-00-x.0", "attempt": 1, "size": size, **fields}
    return {"ledger": "00", "epoch": 1, "tasks": [task]}


def make_request_context(daemon: WholeDaemon) -> RequestContext:
    """Return the context of a request in the daemon's router."""
    request = ServiceRequest("r", "s", "maps", b"", timedelta(seconds=1))
    return RequestContext(request, daemon.clock)


async def deliver(daemon: WholeDaemon, kind: type, value: Any) -> Any:
    """Deliver an encoded message from ``d2`` and return its result."""
    envelope = Envelope(get_message_name(kind), 1, 0, encode_message(value))
    return await daemon.peers.handle("d2", envelope)


def read_topics() -> dict[str, Any]:
    """Return the types of the reports in heartbeats, by topic."""
    return {
        "workers": WorkerSummary,
        "load": dict[str, ServiceLoad],
        "configuration": ConfigurationReport,
    }


async def send_reports(
    daemon: WholeDaemon, number: int, reports: dict[str, bytes]
) -> None:
    """Deliver a heartbeat of ``d2`` with reports, which makes it a live member."""
    member = MemberFields(
        name="d2",
        zone="z1",
        region="r",
        peer_address="127.0.0.1:3",
        api_address="127.0.0.1:4",
        incarnation="d2-1",
    )
    echo = Echo(
        number=daemon.members._number, session=daemon.members.owner_lease.session
    )
    fields = {t: ReportFields(version=number, value=v) for t, v in reports.items()}
    heartbeat = Heartbeat(
        member=member, number=number, session="d2-1.1", echo=echo, reports=fields
    )
    await deliver(daemon, Heartbeat, heartbeat)
    assert daemon.members.is_alive("d2")


class TestReports(unittest.TestCase):
    """Reports in heartbeats for the parts of a daemon."""

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
                daemon.router._choose_route(make_request_context(daemon))
            await daemon.close()

        run_virtual(run())

    @virtual
    async def test_reports_nested_too_deeply_are_dropped(self):
        daemon = await WholeDaemon().start()
        deep = b"\x81\xa1x" * 2000
        await send_reports(daemon, 1, dict.fromkeys(read_topics(), deep))
        await asyncio.sleep(0.5)
        daemon.check()
        self.assertEqual(set(daemon.relay._reports.read()), {"d1"})
        await daemon.close()

    @virtual
    async def test_a_summary_with_a_truncated_size_is_dropped(self):
        daemon = await WholeDaemon().start()
        part = {"workers": 1, "free": [1], "slices": [[1, 1]], "largest": [1]}
        summary = {"zone": "z1", "classes": [part], "preemptible": []}
        report = {"workers": encode_message(summary)}
        await send_reports(daemon, 1, report)
        owners = daemon.ledger_owner.controllers["00"].dispatcher._owners
        owners.refresh()
        self.assertNotIn("d2", owners._views)
        await daemon.close()


class TestMessages(unittest.TestCase):
    """Messages of older, newer and faulty peers to the real handlers."""

    HANDLED = st.sampled_from(list_handled_messages())
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
            daemon.members.send_heartbeats()
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
    async def test_a_negative_size_frees_no_capacity(self):
        daemon = await WholeDaemon().start()
        size = {"millicores": -9000, "memory": -9000, "accelerators": 0}
        message = make_reserve_message(size=size)
        self.assertEqual(await deliver(daemon, ReserveTasks, message), REFUSED)
        free = daemon.host.accounts.workers["w1"].free
        self.assertEqual(free, daemon.platform.workers["w1"].instance.size)
        await daemon.close()

    @virtual
    async def test_an_unknown_urgency_reserves_nothing_of_the_batch(self):
        daemon = await WholeDaemon().start()
        message = make_reserve_message()
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
    async def test_an_invalid_timeout_claims_no_key(self):
        daemon = await WholeDaemon().start()
        for timeout in (float("nan"), float("inf"), -1.0, 1e300):
            claim = {"team": "t", "service": "s", "key": "k", "digest": b""}
            answer = await deliver(daemon, ClaimKey, {**claim, "timeout": timeout})
            self.assertEqual(answer, REFUSED, timeout)
        self.assertFalse(daemon.ledger_owner.controllers["00"].ledger.table.keys)
        await daemon.close()

    @virtual
    async def test_a_field_of_a_newer_peer_is_ignored(self):
        daemon = await WholeDaemon().start()
        message = make_reserve_message(flavour="x")
        answer = await deliver(daemon, ReserveTasks, {**message, "colour": 1})
        self.assertEqual(answer.message["granted"][0]["worker"], "w1")
        await daemon.close()


TEXTS = st.one_of(
    st.sampled_from(("maps", "tiles", "0", "1", "9" * 5000, "true", "*", "x=1,!y")),
    st.text(max_size=8),
)
DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)
FIELDS = ("kind", "metadata", "spec", "name", "labels", "revision", "quota", "team")
BODIES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from((b"[" * 9000, b'{"a":' * 500 + b"1" + b"}" * 500)),
    DOCUMENTS.map(lambda document: json.dumps(document).encode()),
    st.tuples(st.booleans(), st.sampled_from(FIELDS), DOCUMENTS).map(
        lambda case: spoil_resource(*case)
    ),
)


def spoil_resource(is_team: bool, field: str, value: Any) -> bytes:
    """Return an encoded resource in which one field has another value."""
    resource = make_team() if is_team else make_workload()
    for part in (resource, *filter(lambda p: isinstance(p, dict), resource.values())):
        if field in part:
            part[field] = value
    return json.dumps(resource).encode()


class AppCall(NamedTuple):
    """A call of the application."""

    entry: Route
    name: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@st.composite
def draw_call(draw: st.DrawFn) -> AppCall:
    """Draw a call of a route with arbitrary parameters."""
    entry = draw(st.sampled_from(ROUTES))
    headers = [name for name in entry.parameters if name[0].isupper()]
    query = [name for name in entry.parameters if not name[0].isupper()]
    return AppCall(
        entry,
        draw(TEXTS),
        {name: draw(TEXTS) for name in query if draw(st.booleans())},
        {name: draw(TEXTS) for name in headers if draw(st.booleans())},
        draw(BODIES),
    )


class Api:
    """The application on a single daemon's relay, called without a socket."""

    def __init__(self) -> None:
        self.cluster = Cluster(1)
        daemon = self.cluster["d00"]
        self.requests, self.jobs = FakeRequests(), FakeJobs()
        self.app = build_app(
            daemon.configuration,
            daemon.relay,
            self.requests,
            self.jobs,
            FakeResources(),
            Credentials("operator-token", {"maps": "maps-token"}),
            self.cluster.clock,
            body_limit=10_000,
        )

    def read_effects(self) -> tuple[int, int, int]:
        """Return counters that only an accepted call may change."""
        store, taken = self.cluster.store, self.jobs.submissions
        return store.revision, len(self.requests.requests), len(taken)

    async def call(self, call: AppCall) -> tuple[int, dict[str, str], bytes]:
        """Call the application; return status, headers and body of the answer."""
        headers = {"Authorization": "Bearer operator-token", **call.headers}
        if call.entry.method == "PATCH":
            headers["Content-Type"] = PATCH_MEDIA_TYPE
        path = call.entry.path.replace("{name}", call.name)
        path = path.replace("{revision}", call.name)
        scope = {
            "type": "http",
            "method": call.entry.method,
            "path": path,
            "query_string": urlencode(call.query).encode(),
            "headers": [
                (name.lower().encode(), value.encode("latin-1", "replace"))
                for name, value in headers.items()
            ],
        }
        sent: list[dict[str, Any]] = []
        received = iter([{"type": "http.request", "body": call.body}])

        async def receive() -> dict[str, Any]:
            found = next(received, None)
            if found is None:
                await settle()
            return found or {"type": "http.disconnect"}

        async def send(part: dict[str, Any]) -> None:
            sent.append(part)

        await self.app(scope, receive, send)
        answer_headers = {
            name.decode(): value.decode() for name, value in sent[0]["headers"]
        }
        return (
            sent[0]["status"],
            answer_headers,
            b"".join(p.get("body", b"") for p in sent),
        )


class TestApi(unittest.TestCase):
    """Arbitrary calls get a documented answer, and refused ones have no effect."""

    @fuzz
    @given(st.lists(draw_call(), min_size=10, max_size=30))
    def test_each_answer_is_documented_and_what_is_refused_was_not_done(self, calls):
        async def run() -> None:
            api = Api()
            await api.cluster.pass_time(3)
            for call in calls:
                before = api.read_effects()
                status, headers, body = await api.call(call)
                if status < 400:
                    self.assertIn(status, call.entry.answers, call)
                    continue
                problem = json.loads(body)
                self.assertEqual(headers["content-type"], PROBLEM_TYPE)
                self.assertEqual(CODES[problem["code"]].status, status, call)
                self.assertEqual(problem["outcome"], "refused", (call, problem))
                self.assertEqual(api.read_effects(), before, call)
            await api.cluster.stop()

        asyncio.run(run())

    def assert_refused(self, method: str, path: str, code: str, **fields: Any) -> None:
        """Check that a call is refused with a code."""

        async def run() -> bytes:
            api = Api()
            await api.cluster.pass_time(3)
            entry = next(r for r in ROUTES if (r.method, r.path) == (method, path))
            call = AppCall(entry, "maps", {}, {}, b"")._replace(**fields)
            _, _, body = await api.call(call)
            await api.cluster.stop()
            return body

        self.assertEqual(json.loads(asyncio.run(run()))["code"], code)

    def test_a_body_nested_too_deeply_is_bad_json(self):
        for body in (b"[" * 9000, b'{"a":' * 500 + b"1" + b"}" * 500):
            self.assert_refused("PUT", "/v1/teams/{name}", "bad_json", body=body)

    def test_a_revision_of_thousands_of_digits_is_a_bad_header(self):
        headers = {"If-Match": "9" * 5000}
        path = "/v1/teams/{name}"
        self.assert_refused("DELETE", path, "bad_header", headers=headers)

    def test_a_page_token_that_is_not_ascii_is_a_bad_parameter(self):
        query = {"continue": "é"}
        self.assert_refused("GET", "/v1/teams", "bad_parameter", query=query)


SETTINGS = {
    "name": "d1",
    "zone": "z1",
    "listen": {"host": "127.0.0.1"},
    "platform": {"store": "127.0.0.1:1", "instances": "127.0.0.1:2"},
    "tokens": {"operator": "operator-token", "peer": "peer-token"},
    "limits": {"ledgers": 3},
}
CIRCULAR_RESOURCE = b"kind: team\nmetadata: {name: maps}\nspec: &spec {spec: *spec}"
BAD_SCALARS = (b"a: !!bool x", b"a: 2001-99-99", b"a: !!int ''", b"\xff", b"- " * 1200)


@st.composite
def draw_file(draw: st.DrawFn) -> bytes:
    """Draw a settings file with arbitrary fields, or arbitrary bytes."""
    if draw(st.booleans()):
        odd = st.sampled_from(
            (*BAD_SCALARS, CIRCULAR_RESOURCE, b"a: &a [*a]", b"--- 1\n--- 2")
        )
        return draw(odd | st.binary(max_size=20))
    document = copy.deepcopy(SETTINGS)
    part = document
    while draw(st.booleans()) and isinstance(part, dict) and part:
        part = part[draw(st.sampled_from(sorted(part)))]
    if isinstance(part, dict):
        name = draw(st.sampled_from(sorted(part)) | st.text(max_size=3))
        part[name] = draw(DOCUMENTS)
    return yaml.safe_dump(document).encode()


class TestFiles(unittest.TestCase):
    """Files in YAML are either used completely or refused with their faults."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "file.yaml")

    def load_settings(self, content: bytes) -> Settings | SettingsError:
        """Return the settings, or the error with their faults."""
        self.path.write_bytes(content)
        try:
            return load_settings(str(self.path))
        except SettingsError as error:
            return error

    def load_resources(self, content: bytes) -> list[Any] | int:
        """Return the resources, or the command's exit code."""
        self.path.write_bytes(content)
        try:
            with contextlib.redirect_stderr(io.StringIO()):
                return load_resources(self.path)
        except typer.Exit as end:
            return end.exit_code

    @settings(fuzz, max_examples=40)
    @given(draw_file())
    def test_each_is_read_or_refused(self, content):
        found = self.load_settings(content)
        if isinstance(found, SettingsError):
            self.assertTrue(all(fault.code for fault in found.faults), content)
        resources = self.load_resources(content)
        if resources != Exit.USAGE:
            self.assertTrue(all("name" in each["metadata"] for each in resources))

    def test_scalars_that_yaml_cannot_convert_are_refused(self):
        for content in BAD_SCALARS:
            self.assertEqual(self.load_settings(content).faults[0].code, "not_yaml")
            self.assertEqual(self.load_resources(content), Exit.USAGE)

    def test_a_resource_that_refers_to_itself_is_refused(self):
        self.assertEqual(self.load_resources(CIRCULAR_RESOURCE), Exit.USAGE)

    def test_an_unknown_kind_is_refused_before_anything_is_sent(self):
        resources = [make_team(), {"kind": "odd", "metadata": {"name": "x"}}]
        content = yaml.safe_dump_all(resources).encode()
        self.assertEqual(self.load_resources(content), Exit.USAGE)

    def test_a_second_document_of_settings_is_refused(self):
        content = yaml.safe_dump_all([SETTINGS, {"limits": {}}]).encode()
        self.assertEqual(self.load_settings(content).faults[0].code, "not_yaml")

    def test_names_are_quoted_in_paths(self):
        path = get_path("team", "../policies/default?x#y")
        self.assertEqual(path, "/v1/teams/..%2Fpolicies%2Fdefault%3Fx%23y")


async def start_with_job() -> tuple[WholeDaemon, str]:
    """Return a daemon with a job in its ledger, and the name of the job."""
    daemon = await WholeDaemon().start()
    await daemon.relay.put(Kind.TEAM, make_team(), None)
    await daemon.relay.put(Kind.WORKLOAD, make_workload(), None)
    view = await daemon.ledger_owner.submit_job(Submission("tiles", "maps", b"{}"))
    return daemon, view.name


def spoil_value(value: bytes, cut: int, place: int, byte: int) -> bytes:
    """Return a stored value that is truncated and in which one byte is changed."""
    spoilt = bytearray(value[: max(0, len(value) - cut)])
    if spoilt:
        spoilt[place % len(spoilt)] = byte
    return bytes(spoilt)


SPOILS = st.tuples(
    st.sampled_from((0, 0, 1, 30)), st.integers(0, 200), st.integers(0, 255)
)


class InvalidReplyPeer:
    """Answers calls of ``d1`` to ``d2`` with preset bytes."""

    def __init__(self, daemon: WholeDaemon) -> None:
        self.body = b""
        daemon.other.handle = self.handle

    async def handle(self, instance: str, envelope: Envelope) -> Any:
        """Answer any message."""
        return Answered(msgspec.Raw(self.body))


def list_asked() -> list[tuple[type, Any]]:
    """Return the types of messages that have a reply, with the types of the replies."""
    return [
        (get_message_type(name), get_message_type(reply))
        for name, reply in sorted(_replies.items())
    ]


class TestReplies(unittest.TestCase):
    """Replies of other versions to the callers that wait for them."""

    CASES = st.sampled_from(list_asked()).flatmap(
        lambda pair: st.tuples(st.just(pair[0]), draw_message(pair[1]))
    )

    @settings(fuzz, max_examples=60)
    @given(CASES, st.none() | st.binary(max_size=8))
    def test_each_has_its_type_or_is_told_as_unanswered(self, case, body):
        kind, value = case
        body = encode_message(value) if body is None else body
        found = read_reply(get_message_name(kind), body)
        if isinstance(found, Unanswered):
            self.assertIn(found.code, ("invalid_reply", "no_reply"))
        else:
            reply = dict(list_asked())[kind]
            self.assertLessEqual(set(found.message), set(reply.__annotations__))

    def test_each_reply_type_is_a_typed_dict(self):
        for kind, reply in list_asked():
            self.assertTrue(is_typeddict(reply), kind)

    @virtual
    async def test_invalid_replies_crash_no_caller(self):
        daemon = await WholeDaemon().start()
        await daemon.relay.put(Kind.TEAM, make_team(), None)
        await daemon.relay.put(Kind.WORKLOAD, make_workload(), None)
        await send_reports(daemon, 1, {"load": encode_message({"s": LOAD})})
        await asyncio.sleep(0.1)
        daemon.ownership.find_owner = lambda shard: Owner("d2", 9)
        peer, ledger_owner = InvalidReplyPeer(daemon), daemon.ledger_owner
        for value in INVALID_REPLIES:
            peer.body = encode_message(value)
            results = [
                await ledger_owner.submit_job(Submission("tiles", "maps", b"")),
                await ledger_owner.read_job("tiles-00-x"),
                await ledger_owner.cancel_job("tiles-00-x"),
                await ledger_owner.list_jobs("maps", "", 5),
                await ledger_owner.claim_key(
                    "maps", "s", "k", b"", timedelta(seconds=1)
                ),
            ]
            self.assertTrue(all(isinstance(each, Unknown) for each in results), results)
            self.assertFalse(
                await ledger_owner.settle_key("maps", "s", "k", Completed()), value
            )
            forwarded = await daemon.router._forwarder.forward(
                Redirect("d2", 1.0), make_request_context(daemon)
            )
            self.assertIsInstance(forwarded, AnswerLost)
            self.assertFalse(await pull(daemon.peers, "d2", daemon.configuration))
            await daemon.observer.list_resources("worker")
            await daemon.relay.read_in_force()
            await asyncio.sleep(1)
            daemon.check()
        await daemon.close()

    def test_a_grant_without_an_epoch_is_an_invalid_reply(self):
        grant = {"task": "tiles-00-x.0", "attempt": 1, "worker": "w1"}
        body = encode_message({"granted": [grant], "refused": []})
        self.assertEqual(read_reply("reserve_tasks", body), INVALID_REPLY)

    @virtual
    async def test_a_snapshot_whose_parts_make_no_progress_is_abandoned(self):
        daemon = await WholeDaemon().start()
        peer = InvalidReplyPeer(daemon)
        entry = {"key": "config/team/a", "revision": 1}
        for entries in ([], [entry]):
            reply = {"revision": 99, "entries": entries, "more": True}
            peer.body = encode_message({**reply, "is_snapshot": True})
            async with asyncio.timeout(30):
                done = await pull(daemon.peers, "d2", daemon.configuration)
            self.assertFalse(done)
        await daemon.close()


class TestStreams(unittest.IsolatedAsyncioTestCase):
    """Invalid replies over real streams and from a daemon to itself."""

    async def asyncSetUp(self) -> None:
        addresses: dict[str, str] = {"nowhere": "no address"}
        clock = SystemClock()
        self.networks = [
            PeerNetwork(name, "127.0.0.1", 0, "token", clock, addresses.get)
            for name in ("d1", "d2")
        ]
        for name, network in zip(("d1", "d2"), self.networks, strict=True):
            await network.start()
            self.addAsyncCleanup(network.close)
            addresses[name] = network.address
            network.register(ReadJob, self.answer)

    async def answer(self, instance: str, message: ReadJob) -> Any:
        """Reply as a peer whose version has another type of reply."""
        return {"job": {"name": message["job"]}}

    async def read_job_from(self, instance: str) -> Any:
        """Call a daemon from ``d1`` to read a job."""
        second = timedelta(seconds=1)
        return await self.networks[0].call(instance, ReadJob(job="x"), ReadJob, second)

    async def test_a_reply_without_a_field_leaves_the_call_unanswered(self):
        self.assertEqual(await self.read_job_from("d2"), INVALID_REPLY)
        self.assertEqual(await self.read_job_from("d1"), INVALID_REPLY)

    async def test_a_call_to_an_invalid_address_is_unsent(self):
        self.assertEqual(await self.read_job_from("nowhere"), Unsent("unreachable"))
        link, task = self.networks[0]._links["nowhere"]
        self.assertFalse(task.done(), "the stream's task died")


class TestPlatform(unittest.TestCase):
    """Invalid answers of the platform's service."""

    def test_a_lease_without_a_finite_ttl_is_invalid(self):
        store = HttpStore("127.0.0.1:1")
        for ttl in ("inf", "nan", "x", "1e400", ""):
            reply = Reply(200, {"x-lease": "a", "x-ttl": ttl}, b"")
            self.assertIsInstance(store._read(reply, _read_granted), Lost, ttl)


class TestStored(unittest.TestCase):
    """Stored values that can't be decoded are not taken for valid or missing ones."""

    @settings(fuzz, max_examples=25)
    @given(st.integers(0, 99), SPOILS)
    def test_no_value_stops_a_daemon_that_runs_or_starts(self, choice, spoil):
        async def run() -> None:
            daemon, _ = await start_with_job()
            entries = daemon.platform.store.list("").entries
            entry = entries[choice % len(entries)]
            daemon.overwrite(entry.key, spoil_value(entry.value, *spoil))
            await asyncio.sleep(5)
            daemon.check()
            daemon = await daemon.restart()
            await daemon.close()

        run_virtual(run())

    async def restart_with(self, key: str, make: Any) -> tuple[WholeDaemon, str]:
        """Restart a daemon with another value at a key of the job's ledger."""
        daemon, job = await start_with_job()
        prefix = f"ledger/{parse_ledger_name(job)}/"
        entries = daemon.platform.store.list(prefix + key).entries
        entry = max(entries, key=lambda entry: entry.revision)
        daemon.overwrite(entry.key, make(entry.value))
        daemon = await daemon.restart()
        held = daemon.ownership.list_owned("ledger")
        self.assertEqual(len(held), 1, "the other ledger is open")
        self.assertNotIn(f"ledger/{parse_ledger_name(job)}", held)
        return daemon, job

    async def assert_closed(self, key: str, make: Any) -> None:
        """Check that a ledger with such a value refuses all callers."""
        with logbook.TestHandler() as logged:
            daemon, job = await self.restart_with(key, make)
        codes = {record.extra.get("code") for record in logged.records}
        self.assertIn("unreadable_ledger", codes)
        answer = await daemon.ledger_owner.read_job(job)
        self.assertIsInstance(answer, Refused)
        self.assertEqual(answer.code, "no_keeper")
        await daemon.close()

    @virtual
    async def test_a_truncated_segment_closes_only_its_ledger(self):
        await self.assert_closed("log/", lambda value: cut_array(value, 3))

    @virtual
    async def test_a_truncated_head_closes_only_its_ledger(self):
        await self.assert_closed("head", lambda value: cut_array(value, 4))

    @virtual
    async def test_a_head_without_slots_closes_only_its_ledger(self):
        await self.assert_closed("head", lambda value: encode(Head()))

    @virtual
    async def test_an_invalid_record_closes_only_its_ledger(self):
        fields = {"fields": {"name": "x", "state": "odd", "reasons": None}}
        record = encode_record(fields, JobSnapshot)

        def replace(value: bytes) -> bytes:
            segment = decode_segment(value)
            return encode(msgspec.structs.replace(segment, records=(record,)))

        await self.assert_closed("log/", replace)

    @virtual
    async def test_a_corrupted_ledger_refuses_and_others_continue(self):
        daemon, job = await start_with_job()
        log = daemon.ledger_owner.controllers[
            parse_ledger_name(job)
        ].ledger._ledger._log
        slot = log._keys.slot(log.last + 1, log.head.slots)
        daemon.platform.store.put(slot, b"odd", None, "")
        submission = Submission("tiles", "maps", b"{}")
        first = await daemon.ledger_owner.submit_job(submission)
        self.assertIsInstance(first, Unknown)
        second = await daemon.ledger_owner.submit_job(submission)
        self.assertEqual(second.code, "unreadable_ledger")
        await asyncio.sleep(10)
        daemon.check()
        self.assertEqual((await daemon.ledger_owner.read_job(job)).name, job)
        await daemon.close()

    @virtual
    async def test_an_unreadable_ledger_is_retried_rarely(self):
        daemon, _ = await self.restart_with("head", lambda value: b"odd")
        calls = daemon.platform.store.calls
        before = calls["list"]
        await asyncio.sleep(60)
        self.assertLessEqual(calls["list"] - before, 3)
        await daemon.close()

    @virtual
    async def test_a_table_without_its_entries_is_not_an_empty_table(self):
        daemon = await WholeDaemon().start()
        for value in (b"\x80", b"\x81\xa5floor\x00", b"[]"):
            daemon.overwrite("ownership/z1/worker", value)
            await asyncio.sleep(5)
            self.assertEqual(daemon.ownership.list_owned("worker"), ("worker/w1",))
            self.assertEqual(daemon.ownership.get_epoch("worker/w1"), 1)
            entry = daemon.platform.store.get("ownership/z1/worker").entry
            self.assertEqual(entry.value, value, "written over")
        await daemon.close()

    @virtual
    async def test_a_table_from_a_peer_that_is_unreadable_is_ignored(self):
        daemon = await WholeDaemon().start()
        key = "ownership/z1/worker"
        change = {"key": key, "revision": 2**40, "value": b"\x80"}
        await deliver(daemon, TableChange, change)
        self.assertLess(daemon.ownership._mirror.entries[key].revision, 2**40)
        await daemon.close()

    @virtual
    async def test_no_takeover_from_a_member_that_cannot_be_decoded(self):
        daemon = await WholeDaemon().start()
        store = daemon.platform.store.connect("d2")
        lease = (await store.grant_lease(timedelta(hours=1))).lease
        await store.put("member/z1/d2", b"of a newer version", 0, lease)
        owner_entry = OwnerEntry("d2", "d2-1.1", 5)
        table = TableDocument(things={"00": owner_entry, "01": owner_entry})
        daemon.overwrite("ownership/ledger", msgspec.msgpack.encode(table))
        await asyncio.sleep(60)
        self.assertEqual(daemon.ownership.list_owned("ledger"), ())
        await store.revoke_lease(lease)
        await asyncio.sleep(60)
        self.assertEqual(daemon.ownership.get_epoch("ledger/00"), 6)
        await daemon.close()


def cut_array(value: bytes, count: int) -> bytes:
    """Return an encoded array without its last items."""
    return msgspec.msgpack.encode(msgspec.msgpack.decode(value)[:-count])
