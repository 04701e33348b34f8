"""The HTTP client for the platform's services, over real connections.

Each connection of the stand-in plays one script: the answers to its requests in order.
"""

import asyncio
import random
import socket
import unittest
from datetime import timedelta

from logbook import TestHandler

from damaskdeck.platform.client import OversizedReply, PlatformClient, Reply
from damaskdeck.platform.connections import (
    BrokenReplyError,
    build_request,
    parse_head,
)
from damaskdeck.protocol.ports import Lost, Rejected

SECOND = timedelta(seconds=1)
SHORT = SECOND / 20
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# What a response may look like, and its body.
RESPONSES = (
    (OK, b"ok"),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, b"ok"),
    (b"HTTP/1.1 204 \r\n\r\n", b""),
    (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
        b"3;name=x\r\na\r\n\r\n0A\r\n0123456789\r\n0\r\nLate: 1\r\n\r\n",
        b"a\r\n0123456789",
    ),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, b"x" * 70000),
)
MALFORMED_HEADS = (
    b"HTTP/2 200 OK",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1 200 OK\r\nno separator",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
)


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """A service whose connections follow scripts."""

    async def asyncSetUp(self) -> None:
        self.scripts: list[list[bytes | list[bytes]]] = []
        self.requests: list[tuple[int, bytes]] = []
        self.opened = 0
        self.has_requested, self.has_ended = asyncio.Event(), asyncio.Event()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        self.client = PlatformClient()
        self.addAsyncCleanup(self.client.close)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        """Play a script; an empty part closes the connection."""
        script = self.scripts[self.opened]
        self.opened += 1
        self.addCleanup(writer.close)
        for answer in script:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                self.has_ended.set()
                return
            self.has_requested.set()
            self.requests.append((self.opened, head))
            for part in answer if isinstance(answer, list) else [answer]:
                if not part:
                    writer.close()
                    return
                writer.write(part)
                await writer.drain()

    async def call(self, method: str = "GET", **options):
        """Make one call."""
        options.setdefault("timeout", 5 * SECOND)
        return await self.client.call(method, self.address, "/kv-key?key=a", **options)


class TestReplies(ConnectionCase):
    """Responses of all forms that HTTP/1.1 allows."""

    async def test_responses_cut_anywhere_are_read_over_one_connection(self):
        # A response may arrive in any pieces, also in the middle of a line.
        rng = random.Random(3)
        expected = []
        script: list = []
        for _ in range(60):
            response, body = rng.choice(RESPONSES)
            cuts = sorted(
                rng.sample(range(1, len(response)), min(3, len(response) - 1))
            )
            ends = zip([0, *cuts], [*cuts, len(response)], strict=True)
            script.append([response[a:b] for a, b in ends])
            expected.append(body)
        self.scripts = [script]
        for body in expected:
            reply = await self.call()
            self.assertIsInstance(reply, Reply)
            self.assertEqual(reply.body, body)
        self.assertEqual(self.opened, 1)

    async def test_body_without_length_ends_with_the_connection(self):
        self.scripts = [[[b"HTTP/1.1 200 OK\r\n\r\nrest", b""]]]
        self.assertEqual(await self.call(), Reply(200, b"rest"))

    async def test_connection_that_the_service_ends_is_not_used_again(self):
        closing = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        self.scripts = [[closing], [OK.replace(b"1.1", b"1.0")], [OK]]
        for _ in range(3):
            self.assertEqual(await self.call("POST"), Reply(200, b"ok"))
        self.assertEqual([number for number, _ in self.requests], [1, 2, 3])

    async def test_incomplete_and_malformed_responses_are_lost(self):
        # The call may have had its effect, so it must not count as rejected.
        self.scripts = [
            [[OK[:-1], b""]],
            [[b"HTTP/1.1 200", b""]],
            [[b"nonsense\r\n\r\n"]],
            [[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n"]],
            [[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc"]],
        ]
        for _ in self.scripts:
            lost = await self.call()
            self.assertIsInstance(lost, Lost)
            self.assertEqual(lost.code, "broken_channel")

    def test_malformed_heads_are_refused(self):
        for head in MALFORMED_HEADS:
            with self.assertRaises(BrokenReplyError, msg=head):
                parse_head(head)

    def test_requests_cannot_be_split(self):
        # A key or a name with a line break would be read as a second request.
        for path, headers in (("/a b", {}), ("/a\r\nX: 1", {}), ("/", {"A": "1\n2"})):
            with self.assertRaises(ValueError):
                build_request("GET", "h:1", path, headers, None)


class TestFailures(ConnectionCase):
    """Connections that break, stall or go out of use."""

    async def test_idle_connection_that_was_closed_costs_a_read_nothing(self):
        # A service closes idle connections at any time; a read is repeated.
        self.scripts = [[OK, [b""]], [OK]]
        self.assertEqual(await self.call(), Reply(200, b"ok"))
        self.assertEqual(await self.call(), Reply(200, b"ok"))
        self.assertEqual([number for number, _ in self.requests], [1, 1, 2])

    async def test_write_is_never_repeated(self):
        # The service may have made the write before it closed the connection.
        self.scripts = [[OK, [b""]], [OK]]
        self.assertEqual(await self.call(), Reply(200, b"ok"))
        self.assertIsInstance(await self.call("POST"), Lost)
        self.assertEqual(len(self.requests), 2)

    async def test_answer_that_breaks_off_is_not_requested_again(self):
        self.scripts = [[OK, [OK[:-1], b""]], [OK]]
        self.assertEqual(await self.call(), Reply(200, b"ok"))
        self.assertIsInstance(await self.call(), Lost)

    async def test_unreachable_service_is_a_rejection(self):
        with socket.create_server(("127.0.0.1", 0)) as unused:
            address = "{}:{}".format(*unused.getsockname())
        done = await self.client.call("POST", address, "/", SECOND)
        self.assertIsInstance(done, Rejected)

    async def test_address_without_a_port_fails_the_call_only(self):
        done = await self.client.call("GET", "nowhere", "/", SECOND)
        self.assertIsInstance(done, Lost)

    async def test_silent_service_times_out_and_the_connection_is_closed(self):
        # A late answer must not be taken for the answer to the next call.
        self.scripts = [[[b"H"]], [OK]]
        self.assertEqual(await self.call(read_timeout=SHORT), Lost("timeout"))
        self.assertEqual(await self.call(), Reply(200, b"ok"))
        self.assertEqual([number for number, _ in self.requests], [1, 2])

    async def test_cancelled_call_closes_its_connection(self):
        self.scripts = [[[b"H"]], [OK]]
        call = asyncio.ensure_future(self.call())
        async with asyncio.timeout(5):
            await self.has_requested.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.assertEqual(await self.call(), Reply(200, b"ok"))
        self.assertEqual([number for number, _ in self.requests], [1, 2])

    async def test_timeout_while_reading_a_body_is_logged(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
        self.scripts = [[[head + b"x" * 70]]]
        with TestHandler() as handler:
            self.assertEqual(await self.call(read_timeout=SHORT), Lost("timeout"))
        (record,) = handler.records
        self.assertEqual(record.message, "Timed out while reading a response body.")
        self.assertEqual(
            [record.extra[name] for name in ("path", "status", "read", "size")],
            ["/kv-key", 200, 70, 9000],
        )

    async def test_oversized_body_is_not_read(self):
        head = b"HTTP/1.1 412 No\r\nContent-Length: 9000\r\n\r\n"
        self.scripts = [[[head]], [OK]]
        self.assertEqual(await self.call(max_reply_bytes=99), OversizedReply(412, 9000))
        self.assertEqual(await self.call(), Reply(200, b"ok"))

    async def test_expired_connections_are_closed(self):
        # Each order to another worker opens a connection; a large fleet would exhaust
        # the descriptors if they stayed open.
        self.scripts = [[OK, OK], [OK]]
        self.assertEqual(await self.call(keepalive_seconds=0.01), Reply(200, b"ok"))
        async with asyncio.timeout(5):
            await self.has_ended.wait()
        self.assertEqual(await self.call(keepalive_seconds=0.01), Reply(200, b"ok"))
        self.assertEqual(self.opened, 2)
