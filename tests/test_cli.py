"""Decisions of the command line that need no daemon."""

import unittest

import typer

from damaskdeck.cli import jobs
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.session import find_exit, get_path
from damaskdeck.client import Reply

FORBIDDEN = Reply(
    403,
    {"Content-Type": "application/problem+json"},
    b'{"code": "forbidden", "outcome": "refused"}',
    "refused",
)


class RefusingClient:
    """A client whose watches end immediately and whose calls are refused."""

    def __init__(self) -> None:
        self.watches = 0

    async def watch(self, path):
        """Yield the problem that ended the watch."""
        self.watches += 1
        yield FORBIDDEN.read_json()

    async def call(self, method, path):
        """Refuse a call."""
        return FORBIDDEN


class TestFollow(unittest.IsolatedAsyncioTestCase):
    """Following a job until it has ended."""

    async def test_refused_watch_ends_the_command_as_refused(self):
        client = RefusingClient()
        with self.assertRaises(typer.Exit) as caught:
            await jobs.follow_job(client, "plan-00-1")
        self.assertEqual(caught.exception.exit_code, Exit.REFUSED)
        self.assertEqual(client.watches, 1)


class TestPaths(unittest.TestCase):
    """HTTP paths of resources."""

    def test_names_are_quoted(self):
        self.assertEqual(get_path("jobs", "a/b?c"), "/v1/jobs/a%2Fb%3Fc")

    def test_unknown_kind_is_a_usage_error(self):
        with self.assertRaises(typer.BadParameter):
            get_path("pods")


class TestExits(unittest.TestCase):
    """Exit codes of outcomes."""

    def test_each_outcome_has_its_code(self):
        for outcome, code in (("failed", 1), ("refused", 3), ("unknown", 4)):
            reply = Reply(500, {}, b"", outcome)
            self.assertEqual(find_exit(reply, ""), code)

    def test_server_error_without_an_outcome_is_unknown(self):
        self.assertEqual(find_exit(Reply(502, {}, b"", ""), "bad gateway"), 4)
