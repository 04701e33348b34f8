"""Listening sockets, bound before anything is served on them."""

import socket

from damaskdeck.errors import Fault, SettingsError

BACKLOG = 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Bind and listen; a TCP socket that doesn't block.

    Accepted connections inherit that small writes leave at once. The event
    loop doesn't see to it for a socket that was made without naming TCP, and
    an answer of two writes would wait 40 ms for an acknowledgement.

    :param port: 0 takes a free one.
    :raises SettingsError: when the address isn't this machine's or is taken.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        listener = socket.create_server((host, port), family=family)
    except OSError as error:
        fault = Fault("listen", "cannot_listen", f"{host} port {port}: {error}")
        raise SettingsError((fault,)) from error
    listener.setblocking(False)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def show_address(listener: socket.socket) -> str:
    """Return IP and port of a listener, as in ``127.0.0.1:8400``."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
