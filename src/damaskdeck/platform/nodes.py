"""Settings that the platform provides for each process in a file."""

import os
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from damaskdeck.coordination.pools.times import PoolBounds
from damaskdeck.errors import Fault, SettingsError

# Port of the metrics on every instance; the deployment file contains it as well.
METRICS_PORT = 9464
NODE_FILE_VARIABLE = "DAMASKDECK_NODE_FILE"
# The contract under which callers send the API keys of client accounts.
_ACCOUNTS_CONTRACT = "tenants"
# Settings of which only one value is supported: workers receive orders by calls (not
# in replies to heartbeats), and the store is a key-value store (not a log).
_SUPPORTED_VALUES = {"commands": "call", "platform.form": "kv"}
MEBIBYTE = 2**20
DEFAULT_VALUE_BYTES = MEBIBYTE


class NodeSettings(NamedTuple):
    """Settings of a process and addresses of the platform's services.

    :param host: IP address for the ports between daemons and for the metrics.
    :param callers_address: ``IP:port`` on which callers connect.
    :param ready_address: ``IP:port`` of the balancer's readiness checks.
    :param peer_port: first of the ports reserved for daemons; 0 takes any free port.
    :param metrics_port: 0, any free port, if ``peer_port`` is 0.
    :param power: processing power of the instance, in cores.
    :param advisor_address: an empty string if there is no advisor.
    :param unserved_duties: duties that the platform requests and this version
        doesn't perform.
    :param needs_keys: whether callers must send API keys of client accounts.
    :param descriptors: how many files and sockets the process may have open.
    :param value_limit: the most bytes that the store takes for a value.
    :param memory: how much memory the process may use, in bytes; 0 if not given.
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
    memory: int = 0
    value_limit: int = DEFAULT_VALUE_BYTES


def load_node_settings(environment: Mapping[str, str] = os.environ) -> NodeSettings:
    """Load the settings file named by the environment variable.

    :raises SettingsError: if the file can't be read, or with every fault in it.
    """
    path = environment.get(NODE_FILE_VARIABLE, "")
    if not path:
        raise SettingsError(
            (Fault(NODE_FILE_VARIABLE, "missing", "must name the settings file"),)
        )
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError((Fault(path, "unreadable", str(error)),)) from error
    return parse_node_settings(text)


def parse_node_settings(text: str) -> NodeSettings:
    """Parse lines of the form ``a.b=value``; unknown names are ignored.

    :raises SettingsError: with every fault found.
    """
    reader = _SettingsReader(text)
    for name, supported in _SUPPORTED_VALUES.items():
        reader.require_supported(name, supported)
    ports = reader.read_required("internal_ports").split(",")
    first_peer_port = int(ports[0]) if ports[0].isdigit() else 0
    needs_keys = _ACCOUNTS_CONTRACT in reader.values.get("contracts", "").split(",")
    is_strict = reader.values.get("bounds.strict_revocation", "") == "true"
    revocation = reader.read_duration("bounds.revoke_ms", 5000, 1)
    settings = NodeSettings(
        reader.read_required("node_name"),
        reader.read_required("zone"),
        reader.read_required("region"),
        reader.read_required("ip"),
        reader.read_required("listen.frontend"),
        reader.read_required("listen.readiness"),
        first_peer_port,
        METRICS_PORT if first_peer_port else 0,
        reader.read_number("limits.cpu_share", 1)
        * reader.read_number("limits.cores", 1),
        reader.read_required("platform.address"),
        reader.values.get("advice", ""),
        PoolBounds(
            reader.read_duration("bounds.hold_max_ms", 6000, 1),
            reader.read_duration("platform.ttl_min_ms", 1000, 1),
            reader.read_duration("bounds.grace_s", 6, 1000),
            reader.read_duration("bounds.status_s", 120, 1000),
            reader.read_number("bounds.remote_factor", 2),
            reader.read_duration("bounds.stop_timeout_ms", 1000, 1),
            reader.read_duration("bounds.config_apply_ms", 3000, 1),
            reader.read_duration("bounds.contact_ms", 3000, 1),
            reader.read_duration("heartbeat_ms", 1500, 1),
            revocation if needs_keys and is_strict else None,
            reader.read_duration("bounds.restore_ms", 500, 1),
        ),
        tuple(filter(None, reader.values.get("cloud_api.duties", "").split(","))),
        needs_keys,
        int(reader.read_number("limits.max_fds", 1024)),
        int(reader.read_number("limits.memory_mb", 0)) * MEBIBYTE,
        int(reader.read_number("platform.value_bytes", DEFAULT_VALUE_BYTES)),
    )
    if reader.faults:
        raise SettingsError(tuple(reader.faults))
    return settings


class _SettingsReader:
    """Reads typed values from the lines of a settings file and collects the faults."""

    def __init__(self, text: str) -> None:
        self.faults: list[Fault] = []
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.strip().partition("=")
            if separator and not name.startswith("#"):
                self.values[name.strip()] = value.strip()

    def read_required(self, name: str) -> str:
        """Return a required value, or an empty string after recording a fault."""
        value = self.values.get(name, "")
        if not value:
            self.faults.append(Fault(name, "missing", "must be set"))
        return value

    def require_supported(self, name: str, supported: str) -> None:
        """Record a fault unless the value is missing or equals ``supported``."""
        value = self.values.get(name, "") or supported
        if value != supported:
            detail = f"{value} is not supported, only {supported}"
            self.faults.append(Fault(name, "unsupported", detail))

    def read_duration(self, name: str, default: float, scale: int) -> timedelta:
        """Return a duration.

        :param default: in the unit of the setting, used if the setting is missing.
        :param scale: milliseconds in one unit of the setting.
        """
        return timedelta(milliseconds=self.read_number(name, default) * scale)

    def read_number(self, name: str, default: float) -> float:
        """Return a number, or ``default`` if the setting is missing.

        A malformed value is recorded as a fault; ``default`` is returned for it, too.
        """
        text = self.values.get(name, "")
        try:
            return float(text) if text else default
        except ValueError:
            self.faults.append(Fault(name, "not_a_number", text))
            return default
