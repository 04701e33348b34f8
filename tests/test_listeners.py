"""Listening sockets."""

import asyncio
import socket
import unittest

from damaskdeck.transport.listeners import format_address, open_listener


class TestListeners(unittest.IsolatedAsyncioTestCase):
    """Sockets bound before anything is served."""

    async def test_accepted_connections_send_small_answers_at_once(self):
        accepted = asyncio.get_running_loop().create_future()
        listener = open_listener("127.0.0.1", 0)
        server = await asyncio.start_server(
            lambda reader, writer: accepted.set_result(writer), sock=listener
        )
        host, port = format_address(listener).split(":")
        _, near = await asyncio.open_connection(host, int(port))
        far = await accepted
        connection = far.get_extra_info("socket")
        is_prompt = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertTrue(is_prompt)
        for writer in (near, far):
            writer.close()
        server.close()
        await server.wait_closed()
