"""Listening sockets, which are bound before a server starts on them."""

import socket

from damaskdeck.errors import Fault, SettingsError

BACKLOG = 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Return a non-blocking TCP socket that listens on an address.

    ``TCP_NODELAY`` is set here because accepted connections inherit it. The event loop
    sets it only on sockets that were created with the TCP protocol number, which
    ``create_server`` doesn't do; without it, an answer of two writes would wait 40 ms
    for an acknowledgement.

    :param port: 0 selects a free port.
    :raises SettingsError: when the address is in use or not one of this machine.
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


def format_address(listener: socket.socket) -> str:
    """Return the IP address and port of a listener, like ``127.0.0.1:8400``."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
