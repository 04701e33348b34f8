"""The HTTP API on a real server, with fakes of the services that it calls."""

import asyncio
import json
import re
import socket
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any
from unittest import mock

import aiohttp

from damaskdeck.protocol.handlers import JobState, JobView, ServiceRequest, Submission
from damaskdeck.protocol.outcomes import Completed, Failed, Outcome, Refused, Unknown
from damaskdeck.protocol.ports import Event
from damaskdeck.protocol.resources import Kind, Resource, Urgency
from damaskdeck.state.changehistory import ResourceChanges
from damaskdeck.state.versions import encode_resource
from damaskdeck.transport.api import routes, streams
from damaskdeck.transport.api.app import build_app
from damaskdeck.transport.api.credentials import Credentials, Role
from damaskdeck.transport.api.openapi import describe_api
from damaskdeck.transport.api.problems import CODES
from damaskdeck.transport.api.routes import ROUTES, Context
from damaskdeck.transport.api.server import ApiServer
from damaskdeck.transport.api.streams import watch_configuration
from damaskdeck.transport.listeners import open_listener
from standins.faults import FaultKind
from tests.cluster import Cluster, make_team, make_workload

OPERATOR = {"Authorization": "Bearer operator-token"}
TEAM = {"Authorization": "Bearer maps-token"}
OTHER = {"Authorization": "Bearer other-token"}


class FakeRequests:
    """Answers requests with a preset outcome, once they are released."""

    def __init__(self) -> None:
        self.outcome: Outcome = Completed(b'{"ok":1}')
        self.requests: list[ServiceRequest] = []
        self.release = asyncio.Event()
        self.release.set()
        self.arrived = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        self.requests.append(request)
        self.arrived.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return self.outcome


class FakeJobs:
    """Stores jobs in a dictionary."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        self.submissions: list[Submission] = []
        self.answer: Refused | Unknown | None = None

    async def submit_job(self, submission: Submission) -> JobView | Refused | Unknown:
        if self.answer:
            return self.answer
        self.submissions.append(submission)
        name = f"{submission.team}-{len(self.jobs)}"
        view = JobView(name, submission.workload, submission.team, JobState.QUEUED)
        self.jobs[name] = view
        return view

    async def read_job(self, name: str) -> JobView | Refused | Unknown:
        return self.answer or self.jobs.get(name) or Refused("no_such_job")

    async def cancel_job(self, name: str) -> JobView | Refused | Unknown:
        view = self.jobs[name]._replace(state=JobState.REFUSED, code="cancelled")
        self.jobs[name] = view
        return view

    async def list_jobs(
        self, team: str, after: str, limit: int
    ) -> tuple[JobView, ...] | Refused | Unknown:
        found = [j for n, j in sorted(self.jobs.items()) if n > after]
        return tuple(j for j in found if team in ("", j.team))[:limit]


class FakeResources:
    """Returns three workers."""

    def __init__(self) -> None:
        self.free = {"w2": 1, "w1": 1, "w3": 1}
        self.refusal: Refused | None = None
        self.readings = 0
        self.wait: Callable[[], Awaitable[None]] | None = None

    async def list_resources(self, kind: str) -> tuple[Resource, ...] | Refused:
        self.readings += 1
        if self.wait is not None:
            await self.wait()
        if self.refusal:
            return self.refusal
        free = self.free if kind == "worker" else {}
        return tuple(
            Resource(kind="worker", metadata={"name": n}, status={"free": f})
            for n, f in free.items()
        )


class ApiCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server on a free port, with the relay of a single daemon."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.cluster = Cluster(1)
        self.daemon = self.cluster["d00"]
        self.requests = FakeRequests()
        self.jobs = FakeJobs()
        self.resources = FakeResources()
        self.app = build_app(
            self.daemon.configuration,
            self.daemon.relay,
            self.requests,
            self.jobs,
            self.resources,
            Credentials(
                "operator-token", {"maps": "maps-token", "other": "other-token"}
            ),
            self.cluster.clock,
            body_limit=10_000,
            watch_limit=2,
        )
        self.server = ApiServer(self.app, "127.0.0.1", 0, timedelta(seconds=5))
        await self.server.start()
        self.session = aiohttp.ClientSession(f"http://{self.server.address}")
        await self.cluster.pass_time(3)

    async def asyncTearDown(self) -> None:
        self.requests.release.set()
        await self.session.close()
        await self.server.stop()
        await self.cluster.stop()

    async def call(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any, Any]:
        """Call as an operator by default; return status, body and headers."""
        sent = {**OPERATOR, **{n.replace("_", "-"): v for n, v in headers.items()}}
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        async with self.session.request(
            method, path, data=data, headers=sent
        ) as answer:
            text = await answer.text()
            is_json = "json" in answer.headers.get("Content-Type", "")
            return answer.status, json.loads(text) if is_json else text, answer.headers

    async def assert_problem(
        self,
        method: str,
        path: str,
        status: int,
        code: str,
        body: Any = None,
        **headers: str,
    ) -> Any:
        """Check that a call ends with a problem, and return the problem."""
        found, problem, received = await self.call(method, path, body, **headers)
        self.assertEqual(
            (found, problem["code"]), (status, code), (method, path, headers)
        )
        self.assertEqual(received["Content-Type"], "application/problem+json")
        self.assertEqual(received["Outcome"], problem["outcome"])
        self.assertEqual(problem["status"], status)
        return problem

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Let the event loop run until a condition holds."""
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0)

    async def declare(self) -> int:
        """Declare team ``maps`` and workload ``tiles``; return the team's revision."""
        _, team, _ = await self.call("PUT", "/v1/teams/maps", make_team())
        await self.call("PUT", "/v1/workloads/tiles", make_workload())
        return team["metadata"]["revision"]


class TestDeclared(ApiCase):
    """Teams, workloads and policies."""

    async def test_a_resource_is_created_read_patched_listed_and_deleted(self):
        status, made, headers = await self.call("PUT", "/v1/teams/maps", make_team())
        self.assertEqual(status, 201, made)
        self.assertEqual(headers["ETag"], f'"{made["metadata"]["revision"]}"')
        self.assertEqual((await self.call("GET", "/v1/teams/maps"))[1], made)
        patch = {"spec": {"weight": 3.0}, "metadata": {"labels": {"a": "b"}}}
        status, patched, _ = await self.patch(patch)
        self.assertEqual((status, patched["spec"]["weight"]), (200, 3.0))
        self.assertEqual(patched["spec"]["quota"], make_team()["spec"]["quota"])
        status, listed, _ = await self.call("GET", "/v1/teams?selector=a=b")
        self.assertEqual(listed["items"], [patched])
        self.assertEqual((await self.call("DELETE", "/v1/teams/maps"))[0], 200)
        await self.assert_problem("GET", "/v1/teams/maps", 404, "no_such_resource")

    async def test_one_concurrent_write_succeeds_and_others_get_its_revision(self):
        revision = await self.declare()
        calls = [
            self.call(
                "PUT", "/v1/teams/maps", make_team(weight=w), If_Match=f'"{revision}"'
            )
            for w in (2.0, 3.0, 4.0)
        ]
        answers = sorted(await asyncio.gather(*calls), key=lambda answer: answer[0])
        self.assertEqual([answer[0] for answer in answers], [200, 412, 412])
        current = answers[0][1]["metadata"]["revision"]
        for _, problem, headers in answers[1:]:
            self.assertEqual(problem["code"], "precondition_failed")
            self.assertEqual(problem["revision"], current)
            self.assertEqual(headers["ETag"], f'"{current}"')

    async def test_a_revision_in_the_body_is_a_condition_too(self):
        revision = await self.declare()
        stale = make_team(weight=2.0)
        stale["metadata"]["revision"] = revision + 50
        problem = await self.assert_problem(
            "PUT", "/v1/teams/maps", 409, "conflict", body=stale
        )
        self.assertEqual(problem["revision"], revision)

    async def test_create_only_and_delete_of_an_older_revision_fail(self):
        revision = await self.declare()
        path, code = "/v1/teams/maps", "precondition_failed"
        await self.assert_problem(
            "PUT", path, 412, code, body=make_team(), If_None_Match="*"
        )
        await self.call("DELETE", "/v1/workloads/tiles")
        await self.call("PUT", path, make_team(weight=2.0))
        await self.assert_problem("DELETE", path, 412, code, If_Match=str(revision))
        await self.assert_problem(
            "PATCH",
            path,
            412,
            code,
            body={},
            If_Match="1000000",
            Content_Type="application/merge-patch+json",
        )

    async def test_a_patch_is_reapplied_after_a_concurrent_write(self):
        await self.declare()
        await self.daemon.kill()
        other = make_team(weight=7.0)
        other["spec"]["quota"]["memory"] = 1
        store = self.cluster.store.connect("other")
        await store.put("config/team/maps", encode_resource(other), None)
        status, patched, _ = await self.patch({"spec": {"weight": 8.0}})
        self.assertEqual(status, 200)
        self.assertEqual(patched["spec"]["quota"]["memory"], 1)
        self.assertEqual(patched["spec"]["weight"], 8.0)

    async def test_all_faults_of_a_resource_are_reported(self):
        workload = make_workload(team="none", type="gang", extra=1, tasks=0)
        problem = await self.assert_problem(
            "PUT", "/v1/workloads/tiles", 422, "invalid_resource", body=workload
        )
        faults = {(fault["path"], fault["code"]) for fault in problem["faults"]}
        self.assertEqual(
            faults, {("spec.extra", "unknown_field"), ("spec.tasks", "bad_value")}
        )

    async def test_a_team_in_use_is_not_deleted(self):
        await self.declare()
        await self.assert_problem("DELETE", "/v1/teams/maps", 409, "in_use")

    async def test_lists_are_paged(self):
        for name in "edcba":
            await self.call("PUT", f"/v1/teams/{name}", make_team(name))
        names, token = [], ""
        while True:
            path = f"/v1/teams?limit=2&continue={token}"
            _, page, _ = await self.call("GET", path)
            names.append([item["metadata"]["name"] for item in page["items"]])
            token = page["metadata"].get("continue")
            if not token:
                break
        self.assertEqual(names, [["a", "b"], ["c", "d"], ["e"]])

    async def test_selectors_filter_by_labels(self):
        for name, labels in (("a", {"x": "1"}), ("b", {"x": "2", "y": "1"}), ("c", {})):
            team = make_team(name)
            team["metadata"]["labels"] = labels
            await self.call("PUT", f"/v1/teams/{name}", team)
        cases = {"x=1": "a", "x!=1": "bc", "x": "ab", "!x": "c", "x,y=1": "b"}
        for selector, expected in cases.items():
            path = f"/v1/teams?selector={selector.replace('=', '%3D')}"
            _, page, _ = await self.call("GET", path)
            found = "".join(item["metadata"]["name"] for item in page["items"])
            self.assertEqual(found, expected, selector)

    async def test_an_outage_is_refused_and_a_lost_answer_is_unknown(self):
        faults = self.cluster.store.faults
        faults.outage = True
        problem = await self.assert_problem(
            "PUT", "/v1/teams/maps", 503, "store_unavailable", body=make_team()
        )
        self.assertEqual(problem["outcome"], "refused")
        faults.outage = False
        faults.plan("put", FaultKind.LOSE_ANSWER)
        call = asyncio.ensure_future(self.call("PUT", "/v1/teams/maps", make_team()))
        await self.wait_until(lambda: not faults.planned["put"])
        faults.outage = True
        await self.cluster.pass_time(12)
        status, problem, headers = await call
        self.assertEqual((status, problem["code"]), (504, "answer_lost"))
        self.assertEqual(headers["Outcome"], "unknown")

    async def test_calls_are_refused_before_the_configuration_is_loaded(self):
        await self.declare()
        self.daemon.relay._is_ready = False
        for method in ("GET", "PUT", "PATCH", "DELETE"):
            body = make_team() if method in ("PUT", "PATCH") else None
            await self.assert_problem(
                method, "/v1/teams/maps", 503, "not_ready", body=body
            )

    async def patch(self, patch: Any) -> tuple[int, Any, Any]:
        kind = "application/merge-patch+json"
        return await self.call("PATCH", "/v1/teams/maps", patch, Content_Type=kind)


class TestWatches(ApiCase):
    """Streams of changes."""

    async def test_changes_and_bookmarks_are_streamed_and_can_be_resumed(self):
        revision = await self.declare()
        async with self.watch(f"/v1/teams?watch=true&revision={revision}") as lines:
            self.assertEqual((await lines.next())["type"], "BOOKMARK")
            await self.call("PUT", "/v1/teams/b", make_team("b"))
            added = await lines.next_change()
            await self.call("PUT", "/v1/teams/b", make_team("b", 2.0))
            await self.call("DELETE", "/v1/teams/b")
            modified, deleted = await lines.next_change(), await lines.next_change()
            types = [line["type"] for line in (added, modified, deleted)]
            self.assertEqual(types, ["ADDED", "MODIFIED", "DELETED"])
            await self.cluster.pass_time(11)
            end = await lines.next()
            while end["revision"] < self.cluster.store.revision:
                end = await lines.next()
            self.assertEqual(end["type"], "BOOKMARK")
        middle = modified["resource"]["metadata"]["revision"]
        async with self.watch(f"/v1/teams?watch=true&revision={middle}") as lines:
            self.assertEqual(await lines.next_change(), deleted)

    async def test_one_resource_can_be_watched(self):
        revision = await self.declare()
        await self.call("PUT", "/v1/teams/b", make_team("b"))
        await self.call("PUT", "/v1/teams/maps", make_team(weight=2.0))
        path = f"/v1/teams/maps?watch=true&revision={revision}"
        async with self.watch(path) as lines:
            change = await lines.next_change()
            self.assertEqual(change["resource"]["metadata"]["name"], "maps")

    async def test_a_resource_that_no_longer_matches_is_reported_as_deleted(self):
        revision = await self.declare()
        team = make_team("b")
        for value in ("1", "2"):
            team["metadata"]["labels"] = {"x": value}
            await self.call("PUT", "/v1/teams/b", team)
        path = f"/v1/teams?watch=true&revision={revision}&selector=x=1"
        async with self.watch(path) as lines:
            changes = [await lines.next_change(), await lines.next_change()]
        self.assertEqual([c["type"] for c in changes], ["ADDED", "DELETED"])

    async def test_a_revision_that_is_no_longer_kept_is_too_old(self):
        await self.declare()
        self.daemon.configuration.history.reset(50)
        problem = await self.assert_problem(
            "GET", "/v1/teams?watch=true&revision=1", 410, "too_old"
        )
        self.assertEqual(problem["oldest"], 50)

    async def test_a_running_watch_ends_when_its_revision_is_discarded(self):
        await self.declare()
        async with self.watch("/v1/teams?watch=true") as lines:
            await lines.next()
            self.daemon.configuration.history.reset(50)
            end = await lines.next()
            self.assertEqual(
                (end["type"], end["problem"]["code"]), ("ERROR", "too_old")
            )
            self.assertIsNone(await lines.next())

    async def test_a_reader_that_lags_is_dropped_with_a_revision_to_resume_from(self):
        await self.declare()
        context = self.find_context()
        stream = watch_configuration(context, Kind.TEAM, 0, lambda resource: True)
        may_send = asyncio.Event()
        sent: list[Any] = []

        async def send(message: Any) -> None:
            sent.append(message)
            if len(sent) == 3:
                await may_send.wait()

        task = asyncio.ensure_future(stream({}, self.wait_forever, send))
        await self.wait_until(lambda: len(sent) == 3)
        base = self.daemon.configuration.revision
        for revision in range(base, base + 1200):
            event = Event(
                "config/team/b", encode_resource(make_team("b")), revision + 1
            )
            self.daemon.configuration.apply_changes(revision, [event], revision + 1)
        may_send.set()
        await task
        lines = [json.loads(m["body"]) for m in sent[1:-1]]
        end = lines[-1]
        self.assertEqual(end["problem"]["code"], "slow_reader")
        self.assertEqual(end["revision"], lines[-2]["revision"])
        history = self.daemon.configuration.history
        self.assertIsInstance(history.read(end["revision"]), ResourceChanges)

    async def test_a_reader_that_does_not_read_is_dropped(self):
        await self.declare()
        stream = watch_configuration(self.find_context(), Kind.TEAM, 0, lambda r: True)
        sent: list[Any] = []

        async def send(message: Any) -> None:
            sent.append(message)
            if len(sent) > 1:
                await asyncio.Event().wait()

        with mock.patch.object(streams, "SEND_TIMEOUT_SECONDS", 0.01):
            async with asyncio.timeout(2):
                await stream({}, self.wait_forever, send)
        self.assertFalse([m for m in sent if not m.get("more_body", True)])

    async def test_concurrent_watches_are_limited_and_ended_ones_free_their_slot(self):
        await self.declare()
        path = "/v1/teams?watch=true"
        slots = self.find_context().watch_slots
        for _ in range(2):
            async with self.watch(path) as first, self.watch(path) as second:
                self.assertEqual((await first.next())["type"], "BOOKMARK")
                self.assertEqual((await second.next())["type"], "BOOKMARK")
                await self.assert_problem("GET", path, 429, "too_many_watches")
            await self.wait_until(lambda: slots._value == 2)

    async def test_a_failed_watch_breaks_the_connection(self):
        await self.declare()
        self.resources.refusal = 1
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with self.session.get(
                "/v1/workers?watch=true", headers=OPERATOR
            ) as answer:
                await answer.read()

    async def test_a_watch_of_a_job_ends_with_the_job(self):
        await self.declare()
        await self.call("POST", "/v1/workloads/tiles/jobs", b"", **TEAM)
        async with self.watch("/v1/jobs/maps-0?watch=true", **TEAM) as lines:
            first = await lines.next()
            self.assertEqual(first["resource"]["status"]["state"], "queued")
            view = self.jobs.jobs["maps-0"]
            ended = view._replace(state=JobState.COMPLETED, revision=5, results=(b"r",))
            self.jobs.jobs["maps-0"] = ended
            await self.cluster.pass_time(3)
            last = await lines.next_change()
            self.assertEqual(last["resource"]["status"]["results"], ["cg=="])
            self.assertIsNone(await lines.next())

    async def test_watches_of_observed_resources_share_reads(self):
        path = "/v1/workers?watch=true"
        async with self.watch(path) as first, self.watch(path) as second:
            for lines in (first, second):
                names = [
                    (await lines.next_change())["resource"]["metadata"]["name"]
                    for _ in range(3)
                ]
                self.assertEqual(names, ["w1", "w2", "w3"])
            self.resources.free = {"w1": 1, "w2": 0, "w4": 1}
            before = self.resources.readings
            await self.cluster.pass_time(1.1)
            self.assertEqual(self.resources.readings - before, 1)
            for lines in (first, second):
                changes = [await lines.next_change() for _ in range(3)]
                types = {c["resource"]["metadata"]["name"]: c["type"] for c in changes}
                self.assertEqual(
                    types, {"w2": "MODIFIED", "w3": "DELETED", "w4": "ADDED"}
                )
            self.resources.refusal = Refused("no_such_kind")
            await self.cluster.pass_time(1.1)
            end = await first.next_change()
            self.assertEqual(end["problem"]["code"], "no_such_kind")
            self.assertIsNone(await first.next())
        before = self.resources.readings
        await self.cluster.pass_time(5)
        self.assertLessEqual(self.resources.readings - before, 1)

    async def test_slow_reads_are_made_less_often(self):
        clock = self.cluster.clock
        self.resources.wait = lambda: clock.sleep(timedelta(seconds=2))
        async with self.watch("/v1/workers?watch=true"):
            await self.cluster.pass_time(60)
        self.assertLessEqual(self.resources.readings, 60 / 20 + 1)

    def find_context(self) -> Context:
        return self.app.routes[0].endpoint.args[1]

    async def wait_forever(self) -> Any:
        await asyncio.Event().wait()

    def watch(self, path: str, **headers: str) -> "Lines":
        return Lines(self.session.get(path, headers={**OPERATOR, **headers}))


class Lines:
    """The lines of a watch."""

    def __init__(self, request: Any) -> None:
        self._request = request

    async def __aenter__(self) -> "Lines":
        self._answer = await self._request.__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> None:
        self._answer.close()

    async def next(self) -> Any:
        """Return the next line, ``None`` at the end."""
        async with asyncio.timeout(5):
            line = await self._answer.content.readline()
        return json.loads(line) if line else None

    async def next_change(self) -> Any:
        """Return the next line that is not a bookmark."""
        line = await self.next()
        while line["type"] == "BOOKMARK":
            line = await self.next()
        return line


class TestCallers(ApiCase):
    """Routes for requests and jobs."""

    path = "/v1/services/api/requests"

    async def test_each_outcome_has_its_answer(self):
        cases = [
            (Completed(b"hi", "text/plain"), 200, "completed"),
            (Failed("exit_nonzero", "no"), 502, "failed"),
            (Failed("cancelled"), 502, "failed"),
            (Refused("queue_full", "", timedelta(seconds=1.2)), 429, "refused"),
            (Refused("some_new_code", "", timedelta(seconds=1)), 503, "refused"),
            (Refused("some_new_code"), 422, "refused"),
            (Unknown("answer_lost"), 504, "unknown"),
            (Unknown("cancelled"), 504, "unknown"),
        ]
        for outcome, expected, name in cases:
            self.requests.outcome = outcome
            status, body, headers = await self.call("POST", self.path, b"x", **TEAM)
            self.assertEqual((status, headers["Outcome"]), (expected, name), outcome)
            if isinstance(outcome, Completed):
                self.assertEqual((body, headers["Content-Type"]), ("hi", "text/plain"))
            else:
                self.assertEqual((body["code"], body["outcome"]), (outcome.code, name))
            if isinstance(outcome, Refused) and outcome.retry_after:
                self.assertGreaterEqual(int(headers["Retry-After"]), 1)

    async def test_the_headers_of_a_request_are_read(self):
        await self.call(
            "POST",
            self.path,
            b"x",
            **TEAM,
            Idempotency_Key="k",
            Request_Timeout="2.5",
            Urgency="urgent",
            Idempotent="true",
            Content_Type="text/plain",
        )
        (request,) = self.requests.requests
        self.assertEqual(
            request._replace(identifier=""),
            ServiceRequest(
                "",
                "api",
                "maps",
                b"x",
                timedelta(seconds=2.5),
                "text/plain",
                "k",
                Urgency.URGENT,
                True,
            ),
        )

    async def test_headers_that_cannot_be_used_are_refused(self):
        cases = [
            {"Request_Timeout": "soon"},
            {"Request_Timeout": "0"},
            {"Request_Timeout": "nan"},
            {"Request_Timeout": "1e9"},
            {"Urgency": "now"},
            {"Idempotent": "yes"},
            {"Idempotency_Key": "x" * 129},
        ]
        for headers in cases:
            await self.assert_problem(
                "POST", self.path, 400, "bad_header", body=b"", **TEAM, **headers
            )
        self.assertEqual(self.requests.requests, [])

    async def test_a_caller_that_disconnects_cancels_its_request(self):
        self.requests.release.clear()
        call = asyncio.ensure_future(self.call("POST", self.path, b"x", **TEAM))
        await self.requests.arrived.wait()
        call.cancel()
        async with asyncio.timeout(5):
            await self.requests.cancelled.wait()
        self.requests.release.set()
        self.assertEqual((await self.call("POST", self.path, b"x", **TEAM))[0], 200)

    async def test_a_handler_that_fails_leaves_the_outcome_unknown(self):
        self.requests.outcome = None
        status, problem, headers = await self.call("POST", self.path, b"x", **TEAM)
        self.assertEqual((status, problem["code"]), (500, "internal"))
        self.assertEqual(headers["Outcome"], "unknown")

    async def test_a_job_is_submitted_read_listed_and_cancelled(self):
        await self.declare()
        status, job, headers = await self.call(
            "POST", "/v1/workloads/tiles/jobs", b"p", **TEAM, Idempotency_Key="k"
        )
        self.assertEqual(status, 202)
        self.assertEqual(
            self.jobs.submissions, [Submission("tiles", "maps", b"p", "k")]
        )
        path = headers["Location"]
        self.assertEqual((await self.call("GET", path, **TEAM))[1]["spec"], job["spec"])
        _, listed, _ = await self.call("GET", "/v1/jobs", **TEAM)
        self.assertEqual(len(listed["items"]), 1)
        status, job, _ = await self.call("DELETE", path, **TEAM)
        self.assertEqual(job["status"]["code"], "cancelled")

    async def test_a_team_cannot_read_or_cancel_jobs_of_another(self):
        await self.declare()
        jobs = "/v1/workloads/tiles/jobs"
        await self.assert_problem("POST", jobs, 403, "wrong_team", body=b"", **OTHER)
        self.assertEqual(self.jobs.submissions, [])
        await self.call("POST", jobs, b"", **TEAM)
        path = "/v1/jobs/maps-0"
        await self.assert_problem("GET", path, 404, "no_such_job", **OTHER)
        await self.assert_problem("DELETE", path, 404, "no_such_job", **OTHER)
        self.assertEqual(self.jobs.jobs["maps-0"].state, JobState.QUEUED)
        _, listed, _ = await self.call("GET", "/v1/jobs?team=maps", **OTHER)
        self.assertEqual(listed["items"], [])

    async def test_a_daemon_that_is_not_ready_refuses_jobs(self):
        self.daemon.relay._is_ready = False
        path = "/v1/workloads/tiles/jobs"
        await self.assert_problem("POST", path, 503, "not_ready", body=b"", **TEAM)

    async def test_refused_and_unknown_submissions_are_problems(self):
        await self.declare()
        jobs = "/v1/workloads/tiles/jobs"
        for answer, status in (
            (Refused("impossible"), 422),
            (Unknown("answer_lost"), 504),
        ):
            self.jobs.answer = answer
            code = answer.code
            await self.assert_problem("POST", jobs, status, code, body=b"", **TEAM)
        path = "/v1/workloads/none/jobs"
        await self.assert_problem("POST", path, 404, "no_such_workload", body=b"")


class TestEdges(ApiCase):
    """Credentials, limits, invalid calls, and the state of the daemon."""

    async def test_every_protected_route_requires_a_credential(self):
        revision = self.cluster.store.revision
        protected_routes = [entry for entry in ROUTES if entry.roles]
        self.assertEqual(len(ROUTES) - len(protected_routes), 4)
        for entry in protected_routes:
            path = entry.path.replace("{name}", "maps")
            for token in ("", "Bearer wrong-token", "Basic operator-token", "Bearer é"):
                status, problem, headers = await self.call(
                    entry.method, path, b"{}", Authorization=token
                )
                self.assertEqual((status, problem["code"]), (401, "unauthenticated"))
                self.assertIn("Bearer", headers["WWW-Authenticate"])
            if Role.TEAM not in entry.roles:
                await self.assert_problem(
                    entry.method, path, 403, "forbidden", body=b"{}", **TEAM
                )
        self.assertEqual(self.cluster.store.revision, revision)
        self.assertEqual(self.requests.requests, [])

    async def test_bodies_that_are_too_large_are_refused(self):
        async def chunks() -> Any:
            for _ in range(20):
                yield b"x" * 1000

        path = "/v1/services/api/requests"
        for body in (b"x" * 10_001, chunks()):
            async with self.session.post(path, data=body, headers=TEAM) as answer:
                self.assertEqual(answer.status, 413)
                self.assertEqual((await answer.json())["code"], "body_too_large")
        self.assertEqual((await self.call("POST", path, b"x" * 10_000, **TEAM))[0], 200)
        self.assertEqual(len(self.requests.requests), 1)

    async def test_a_body_that_does_not_arrive_times_out(self):
        async def chunks() -> Any:
            yield b"x"
            await asyncio.Event().wait()

        path = "/v1/services/api/requests"
        with mock.patch.object(routes, "BODY_TIMEOUT_SECONDS", 0.01):
            async with self.session.post(path, data=chunks(), headers=TEAM) as answer:
                self.assertEqual(answer.status, 408)
                self.assertEqual((await answer.json())["code"], "body_timeout")

    async def test_a_too_large_content_length_is_refused_before_the_body(self):
        host, port = self.server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = ["POST /v1/services/api/requests HTTP/1.1", "Host: api"]
        head += [f"Authorization: {TEAM['Authorization']}", "Content-Length: 10001"]
        writer.write("\r\n".join([*head, "", ""]).encode())
        async with asyncio.timeout(5):
            line = await reader.readline()
        writer.close()
        self.assertIn(b" 413 ", line)

    async def test_invalid_calls_are_refused(self):
        await self.declare()
        cases = [
            ("GET", "/v1/nothing", 404, "no_such_path", None, {}),
            ("POST", "/v1/teams/maps", 405, "method_not_allowed", b"", {}),
            ("PUT", "/v1/teams/maps", 400, "bad_json", b"{", {}),
            ("PUT", "/v1/teams/other", 400, "bad_parameter", make_team(), {}),
            ("PUT", "/v1/teams/maps", 400, "bad_header", {}, {"If_Match": "x"}),
            ("PUT", "/v1/teams/maps", 400, "bad_header", {}, {"If_None_Match": "1"}),
            ("PATCH", "/v1/teams/maps", 415, "unsupported_media_type", {}, {}),
            ("GET", "/v1/teams?limit=0", 400, "bad_parameter", None, {}),
            ("GET", "/v1/teams?limit=x", 400, "bad_parameter", None, {}),
            ("GET", "/v1/teams?continue=x", 400, "bad_parameter", None, {}),
            ("GET", "/v1/teams?watch=1", 400, "bad_parameter", None, {}),
            ("GET", "/v1/teams?watch=true&revision=-1", 400, "bad_parameter", None, {}),
            ("GET", "/v1/workers/none", 404, "no_such_resource", None, {}),
        ]
        for method, path, status, code, body, headers in cases:
            await self.assert_problem(method, path, status, code, body=body, **headers)

    async def test_observed_resources_are_listed(self):
        _, page, _ = await self.call("GET", "/v1/workers?limit=2")
        names = [item["metadata"]["name"] for item in page["items"]]
        self.assertEqual(names, ["w1", "w2"])
        self.assertEqual((await self.call("GET", "/v1/workers/w3"))[0], 200)

    async def test_the_status_has_the_revision_in_force_on_each_daemon(self):
        revision = await self.declare()
        await self.cluster.pass_time(1)
        _, status, _ = await self.call("GET", f"/v1/status?revision={revision}")
        self.assertEqual(status["store"], "reachable")
        self.assertEqual(
            status["configuration"]["in_force"], {"d00": self.cluster.store.revision}
        )
        self.assertTrue(status["configuration"]["in_force_everywhere"])

    async def test_health_readiness_and_metrics_need_no_credential(self):
        await self.assert_problem(
            "GET", "/v1/teams", 401, "unauthenticated", Authorization=""
        )
        for path in ("/healthz", "/readyz", "/metrics"):
            status, text, _ = await self.call("GET", path, Authorization="")
            self.assertEqual(status, 200)
        pattern = r'damaskdeck_refusals_total{code="unauthenticated".*part="api"}'
        self.assertRegex(text, pattern)
        self.daemon.relay._is_ready = False
        await self.assert_problem("GET", "/readyz", 503, "not_ready")

    async def test_a_draining_daemon_closes_each_connection_after_its_answer(self):
        path = "/v1/services/api/requests"
        _, _, headers = await self.call("POST", path, b"", **TEAM)
        self.assertNotIn("Connection", headers)
        self.daemon.relay._is_ready = False
        status, _, headers = await self.call("POST", path, b"", **TEAM)
        self.assertEqual((status, headers["Connection"]), (200, "close"))

    async def test_stopping_waits_for_requests_and_ends_watches(self):
        await self.declare()
        self.requests.release.clear()
        call = asyncio.ensure_future(
            self.call("POST", "/v1/services/api/requests", b"x", **TEAM)
        )
        await self.requests.arrived.wait()
        watch = await self.session.get("/v1/teams?watch=true", headers=OPERATOR)
        stopping = asyncio.ensure_future(self.server.stop())
        async with asyncio.timeout(5):
            self.assertIn(b"BOOKMARK", await watch.content.read())
        self.assertFalse(stopping.done())
        with self.assertRaises(aiohttp.ClientConnectorError):
            async with aiohttp.ClientSession() as session:
                await session.get(f"http://{self.server.address}/healthz")
        self.requests.release.set()
        status, body, headers = await call
        self.assertEqual((status, body), (200, {"ok": 1}))
        async with asyncio.timeout(5):
            await stopping


class TestDescription(ApiCase):
    """The OpenAPI description and the operators' page on the API."""

    async def test_it_describes_exactly_the_served_routes(self):
        served = {
            (method, entry.path)
            for entry in self.app.routes
            for method in entry.methods - {"HEAD"}
        }
        _, described, _ = await self.call("GET", "/openapi.json")
        described_routes = {
            (method.upper(), path)
            for path, methods in described["paths"].items()
            for method in methods
        }
        self.assertEqual(described_routes, served)
        self.assertEqual(len(served), len(ROUTES))
        self.assertEqual(described, json.loads(json.dumps(describe_api())))

    async def test_all_its_references_are_defined(self):
        described = describe_api()
        schemas = described["components"]["schemas"]
        names = re.findall(r"#/components/schemas/(\w+)", json.dumps(described))
        self.assertTrue(names)
        self.assertEqual(set(names) - set(schemas), set())

    async def test_the_operators_page_lists_every_code(self):
        page = Path(__file__).parents[1] / "docs" / "operations" / "api.md"
        rows = re.findall(r"^\| `(\w+)` \| (\d+) \|", page.read_text(), re.MULTILINE)
        documented = {code: int(status) for code, status in rows}
        self.assertEqual(
            documented, {name: code.status for name, code in CODES.items()}
        )


class TestListeners(unittest.TestCase):
    """The listening sockets of daemons."""

    def test_accepted_connections_have_tcp_nodelay(self):
        with open_listener("127.0.0.1", 0) as listener:
            client = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
            with client, accepted:
                option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertTrue(option)
