"""Addresses that others give, which have to be checked before they are called."""

import ipaddress


def is_callable_address(text: str, allows_ipv6: bool = False) -> bool:
    """Return whether ``text`` is an IPv4 address with a port from 1 to 65535.

    :param allows_ipv6: whether an IPv6 address in brackets will do, too.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
        return False
    if allows_ipv6 and host.startswith("[") and host.endswith("]"):
        return _is_address(host[1:-1], ipaddress.IPv6Address)
    return _is_address(host, ipaddress.IPv4Address)


def _is_address(text: str, kind: type) -> bool:
    try:
        kind(text)
    except ValueError:
        return False
    return True
