"""Listening sockets."""

import asyncio
import socket
import unittest

from damaskdeck.transport.listeners import format_address, open_listener


class TestListeners(unittest.IsolatedAsyncioTestCase):
    """Sockets that are bound before a server starts."""

    async def test_accepted_connections_have_tcp_nodelay(self):
        # Without it, an answer of two writes waits 40 ms for an acknowledgement.
        accepted = asyncio.get_running_loop().create_future()
        listener = open_listener("127.0.0.1", 0)
        server = await asyncio.start_server(
            lambda reader, writer: accepted.set_result(writer), sock=listener
        )
        host, port = format_address(listener).split(":")
        _, client = await asyncio.open_connection(host, int(port))
        accepted_writer = await accepted
        connection = accepted_writer.get_extra_info("socket")
        has_nodelay = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertTrue(has_nodelay)
        for writer in (client, accepted_writer):
            writer.close()
        server.close()
        await server.wait_closed()
