"""The settings that the platform gives a process, in its own file."""

import os
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from damaskdeck.coordination.pools.times import PoolBounds
from damaskdeck.errors import Fault, SettingsError

# Where metrics are served on every instance; the deploy file names it too.
METRICS_PORT = 9464
FILE_VARIABLE = "DAMASKDECK_NODE_FILE"
# The contract under which callers show keys of client accounts.
_ACCOUNTS = "tenants"
# Ways of the platform of which one is served: orders to workers by calls rather
# than by heartbeats, and a store of keys and values rather than a log.
_SERVED = {"commands": "call", "platform.form": "kv"}


class NodeSettings(NamedTuple):
    """What a process is told about itself and the platform.

    :param callers_address: where callers connect, as ``IP:port``.
    :param ready_address: where the balancer asks whether we are ready.
    :param peer_port: first of the ports that are free for daemons; 0 takes any.
    :param metrics_port: 0 takes any where ``peer_port`` does.
    :param power: processing power of the instance, in cores.
    :param advisor_address: an empty string where there is no advisor.
    :param descriptors: files and channels that the process may have open.
    :param needs_keys: whether callers show keys of client accounts.
    :param unserved_duties: what the platform asks for and this version doesn't do.
    """

    instance: str
    zone: str
    region: str
    host: str
    callers_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    power: float
    store_address: str
    advisor_address: str
    bounds: PoolBounds
    unserved_duties: tuple[str, ...] = ()
    needs_keys: bool = False
    descriptors: int = 1024


def load_node(environment: Mapping[str, str] = os.environ) -> NodeSettings:
    """Load the file that the environment names.

    :raises SettingsError: when it can't be read or lacks what must be there.
    """
    path = environment.get(FILE_VARIABLE, "")
    if not path:
        raise SettingsError((Fault(FILE_VARIABLE, "missing", "names no file"),))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError((Fault(path, "unreadable", str(error)),)) from error
    return read_node(text)


def read_node(text: str) -> NodeSettings:
    """Read settings of the form ``a.b=value``; unknown names are ignored.

    :raises SettingsError: with every fault found.
    """
    reader = _Reader(text)
    for name, served in _SERVED.items():
        reader.expect(name, served)
    ports = reader.take("internal_ports").split(",")
    first = int(ports[0]) if ports[0].isdigit() else 0
    needs_keys = _ACCOUNTS in reader.values.get("contracts", "").split(",")
    is_strict = reader.values.get("bounds.strict_revocation", "") == "true"
    revocation = reader.take_time("bounds.revoke_ms", 5000, 1)
    settings = NodeSettings(
        reader.take("node_name"),
        reader.take("zone"),
        reader.take("region"),
        reader.take("ip"),
        reader.take("listen.frontend"),
        reader.take("listen.readiness"),
        first,
        METRICS_PORT if first else 0,
        reader.take_number("limits.cpu_share", 1)
        * reader.take_number("limits.cores", 1),
        reader.take("platform.address"),
        reader.values.get("advice", ""),
        PoolBounds(
            reader.take_time("bounds.hold_max_ms", 6000, 1),
            reader.take_time("platform.ttl_min_ms", 1000, 1),
            reader.take_time("bounds.grace_s", 6, 1000),
            reader.take_time("bounds.status_s", 120, 1000),
            reader.take_number("bounds.remote_factor", 2),
            reader.take_time("bounds.stop_timeout_ms", 1000, 1),
            reader.take_time("bounds.config_apply_ms", 3000, 1),
            reader.take_time("bounds.contact_ms", 3000, 1),
            reader.take_time("heartbeat_ms", 1500, 1),
            revocation if needs_keys and is_strict else None,
        ),
        tuple(filter(None, reader.values.get("cloud_api.duties", "").split(","))),
        needs_keys,
        int(reader.take_number("limits.max_fds", 1024)),
    )
    if reader.faults:
        raise SettingsError(tuple(reader.faults))
    return settings


class _Reader:
    """Takes values out of the settings' lines and gathers the faults."""

    def __init__(self, text: str) -> None:
        self.faults: list[Fault] = []
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.strip().partition("=")
            if separator and not name.startswith("#"):
                self.values[name.strip()] = value.strip()

    def take(self, name: str) -> str:
        """Return a value that must be there."""
        value = self.values.get(name, "")
        if not value:
            self.faults.append(Fault(name, "missing", "must be set"))
        return value

    def expect(self, name: str, served: str) -> None:
        """Refuse a value other than the one that is served; it may be left out."""
        value = self.values.get(name, "") or served
        if value != served:
            detail = f"{value}: only {served} is served"
            self.faults.append(Fault(name, "unsupported", detail))

    def take_time(self, name: str, default: float, scale: int) -> timedelta:
        """Return a duration.

        :param default: in the wire's unit, where the platform says nothing.
        :param scale: milliseconds in the wire's unit.
        """
        return timedelta(milliseconds=self.take_number(name, default) * scale)

    def take_number(self, name: str, default: float) -> float:
        """Return a number, the default where the platform says nothing."""
        text = self.values.get(name, "")
        try:
            return float(text) if text else default
        except ValueError:
            self.faults.append(Fault(name, "not_a_number", text))
            return default
