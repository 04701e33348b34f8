"""Tests of what operators see of the pools, and of the command that shows it."""

import contextlib
import io
import json
import unittest
from unittest import mock

from typer.testing import CliRunner

from damaskdeck.cli import pools
from damaskdeck.cli.app import app
from damaskdeck.cli.exits import Exit
from damaskdeck.client import Reply
from damaskdeck.coordination.pools.status import build_sections
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.sizes import Size
from tests.poolcluster import SECOND, PoolCase, make_account, make_job, make_queue
from tests.virtual import virtual

PRIVATE = make_queue("plans", is_public=False)
WIDE = make_job(StepSpec(6, Size(4000, 1000, 0), SECOND))


class TestSections(PoolCase):
    """The sections that an owner builds of its state."""

    @virtual
    async def test_queues_accounts_and_pools_show_what_waits_and_runs(self):
        cluster = await self.begin(
            workers=2, queues=(PRIVATE,), accounts=(make_account("acme", "k1"),)
        )
        for job in ("j1", "j2"):
            await cluster.submit(job, WIDE)
        await cluster.wait_for_state("j1", QueueJobState.RUNNING)
        sections = build_sections(cluster.find_owner().owner)
        (queue,) = sections["queues"]
        self.assertEqual((queue["waiting jobs"], queue["started jobs"]), (1, 1))
        self.assertEqual(queue["running tasks"], 2)
        (pool,) = sections["pools"]
        self.assertEqual((pool["workers"], pool["used cores"]), (2, 8.0))
        json.dumps(sections)
        await cluster.wait_for_state("j2", QueueJobState.COMPLETED)
        self.end()


class StatusClient:
    """Answers ``/pools`` by the address that it was opened with."""

    replies: dict[str, dict] = {}

    def __init__(self, server: str, token: str) -> None:
        self._server = server

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error) -> None:
        pass

    async def call(self, method: str, path: str) -> Reply:
        """Return the reply of this address."""
        body = json.dumps(self.replies[self._server]).encode()
        return Reply(200, {"Content-Type": "application/json"}, body, "")


class TestCommand(unittest.TestCase):
    """The command follows the owner, and says so when there is none."""

    def run_command(self, **replies: dict):
        StatusClient.replies = {f"http://{name}:1": r for name, r in replies.items()}
        with (
            mock.patch.object(pools, "Client", StatusClient),
            mock.patch("damaskdeck.cli.session.Client", StatusClient),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            return CliRunner().invoke(app, ["pools", "other:1"])

    def test_a_daemon_that_is_not_the_owner_names_it(self):
        row = {"queue": "plans", "rank": 1, "waiting jobs": 3}
        result = self.run_command(
            other={"instance": "d1", "owner": "d0", "owner_address": "owner:1"},
            owner={"owner": "d0", "epoch": 4, "sections": {"queues": [row]}},
        )
        self.assertEqual(result.exit_code, Exit.COMPLETED)
        self.assertIn("owner d0, epoch 4", result.stdout)
        self.assertIn("plans  1     3", result.stdout)

    def test_without_an_owner_the_command_is_refused(self):
        result = self.run_command(other={"instance": "d1", "owner": ""})
        self.assertEqual(result.exit_code, Exit.REFUSED)
