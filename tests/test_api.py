"""The HTTP API against a real server, with small fakes behind it."""

import asyncio
import json
import unittest
from datetime import timedelta
from typing import Any

import aiohttp

from damaskdeck.protocol.handlers import JobState, JobView, ServiceRequest, Submission
from damaskdeck.protocol.outcomes import Completed, Failed, Outcome, Refused, Unknown
from damaskdeck.protocol.resources import Resource
from damaskdeck.transport.api.app import build_app
from damaskdeck.transport.api.credentials import Credentials
from damaskdeck.transport.api.openapi import describe_api
from damaskdeck.transport.api.routes import ROUTES
from damaskdeck.transport.api.server import ApiServer
from tests.cluster import Cluster, make_team, make_workload

OPERATOR = {"Authorization": "Bearer operator-token"}
TEAM = {"Authorization": "Bearer maps-token"}
OTHER = {"Authorization": "Bearer other-token"}


class FakeRequests:
    """Answers requests with a planned outcome, or holds them."""

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
    """Keeps jobs in a dictionary."""

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
    """Tells of three workers."""

    async def list_resources(self, kind: str) -> tuple[Resource, ...] | Refused:
        names = ["w2", "w1", "w3"] if kind == "worker" else []
        return tuple(Resource(kind="worker", metadata={"name": n}) for n in names)


class ApiCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server on a free port, with the relay of a lone daemon behind it."""

    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(1)
        self.daemon = self.cluster["d00"]
        self.requests = FakeRequests()
        self.jobs = FakeJobs()
        self.app = build_app(
            self.daemon.configuration,
            self.daemon.relay,
            self.requests,
            self.jobs,
            FakeResources(),
            Credentials(
                "operator-token", {"maps": "maps-token", "other": "other-token"}
            ),
            self.cluster.clock,
            body_limit=10_000,
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
        """Call as an operator unless told otherwise; return status, body, headers."""
        sent = {**OPERATOR, **{n.replace("_", "-"): v for n, v in headers.items()}}
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        async with self.session.request(
            method, path, data=data, headers=sent
        ) as answer:
            text = await answer.text()
            is_json = "json" in answer.headers.get("Content-Type", "")
            return answer.status, json.loads(text) if is_json else text, answer.headers

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
        merge = "application/merge-patch+json"
        status, patched, _ = await self.call(
            "PATCH", "/v1/teams/maps", patch, Content_Type=merge
        )
        self.assertEqual((status, patched["spec"]["weight"]), (200, 3.0))
        self.assertEqual(patched["spec"]["quota"], make_team()["spec"]["quota"])
        status, listed, _ = await self.call("GET", "/v1/teams?selector=a=b")
        self.assertEqual(listed["items"], [patched])
        self.assertEqual((await self.call("DELETE", "/v1/teams/maps"))[0], 200)
        status, problem, _ = await self.call("GET", "/v1/teams/maps")
        self.assertEqual((status, problem["code"]), (404, "no_such_resource"))


class TestCallers(ApiCase):
    """Requests and jobs."""

    async def test_each_outcome_is_told(self):
        cases = [
            (Completed(b"hi", "text/plain"), 200, "completed", None),
            (Failed("exit_nonzero"), 502, "failed", "exit_nonzero"),
            (Refused("queue_full", "", timedelta(seconds=1.2)), 429, "refused", "2"),
            (Unknown("answer_lost"), 504, "unknown", "answer_lost"),
        ]
        for outcome, expected, name, more in cases:
            self.requests.outcome = outcome
            status, body, headers = await self.call(
                "POST", "/v1/services/api/requests", b"x", **TEAM
            )
            self.assertEqual((status, headers["Outcome"]), (expected, name))
            if isinstance(outcome, Refused):
                self.assertEqual(headers["Retry-After"], more)
            elif more:
                self.assertEqual(body["code"], more)

    async def test_a_job_is_submitted_read_and_cancelled(self):
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
        status, job, _ = await self.call("DELETE", path, **TEAM)
        self.assertEqual(job["status"]["code"], "cancelled")


class TestDescription(ApiCase):
    """The OpenAPI description."""

    async def test_it_names_exactly_the_routes_served(self):
        served = {
            (method, entry.path)
            for entry in self.app.routes
            for method in entry.methods - {"HEAD"}
        }
        _, described, _ = await self.call("GET", "/openapi.json")
        told = {
            (method.upper(), path)
            for path, methods in described["paths"].items()
            for method in methods
        }
        self.assertEqual(told, served)
        self.assertEqual(len(served), len(ROUTES))
        self.assertEqual(described, json.loads(json.dumps(describe_api())))
