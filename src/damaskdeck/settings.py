"""Settings of a daemon, loaded from a YAML file and validated as a whole."""

from datetime import timedelta
from typing import Annotated, Any, Literal, NamedTuple, NotRequired, TypedDict

from msgspec import Meta

from damaskdeck import defaults
from damaskdeck.documents import load_documents
from damaskdeck.errors import DocumentError, Fault, SettingsError
from damaskdeck.protocol.checks import find_faults
from damaskdeck.protocol.resources import Name, Seconds

Host = Annotated[str, Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-fA-F:]+$")]
Port = Annotated[int, Meta(ge=0, le=65535)]
Address = Annotated[
    str, Meta(pattern=r"^(\[[0-9a-fA-F:]+\]|(\d{1,3}\.){3}\d{1,3}):\d+$")
]
Token = Annotated[str, Meta(min_length=8)]


class ListenSection(TypedDict):
    """Where the daemon listens; a port that is 0 or missing is any free port."""

    host: Host
    api_port: NotRequired[Port]
    peer_port: NotRequired[Port]


class PlatformSection(TypedDict):
    """Addresses of the platform's services."""

    store: Address
    instances: Address


class TokensSection(TypedDict):
    """Bearer tokens of operators, of daemons among each other, and of each team."""

    operator: Token
    peer: Token
    teams: NotRequired[dict[str, Token]]


class LogSection(TypedDict):
    """Format and level of the logs."""

    style: NotRequired[Literal["text", "json"]]
    level: NotRequired[Literal["debug", "info", "warning", "error"]]


class LimitsSection(TypedDict):
    """Limits and times.

    ``ledgers`` and ``queue`` are numbers of items, ``body`` is in bytes, and all others
    are in seconds.
    """

    ledgers: NotRequired[Annotated[int, Meta(ge=1, le=64)]]
    queue: NotRequired[Annotated[int, Meta(ge=1, le=1_000_000)]]
    body: NotRequired[Annotated[int, Meta(ge=1, le=100_000_000)]]
    request_timeout: NotRequired[Seconds]
    member_lease: NotRequired[Seconds]
    heartbeat_interval: NotRequired[Seconds]
    task_lease: NotRequired[Seconds]
    grace: NotRequired[Seconds]
    drain_delay: NotRequired[Annotated[float, Meta(ge=0, le=300)]]


class SettingsDocument(TypedDict):
    """The structure of the settings file."""

    name: Name
    zone: Name
    region: NotRequired[Name]
    listen: ListenSection
    platform: PlatformSection
    tokens: TokensSection
    seeds: NotRequired[list[Address]]
    log: NotRequired[LogSection]
    limits: NotRequired[LimitsSection]


class Settings(NamedTuple):
    """Settings in the form that the daemon uses; see :class:`SettingsDocument`.

    :param api_port: 0 for any free port, as for ``peer_port``.
    :param seeds: peer addresses of some daemons as ``IP:port``.
    :param body_limit: maximum size of a request body in bytes.
    """

    name: str
    zone: str
    region: str
    host: str
    api_port: int
    peer_port: int
    store_address: str
    instances_address: str
    operator_token: str
    peer_token: str
    team_tokens: dict[str, str]
    seeds: tuple[str, ...] = ()
    log_style: str = "text"
    log_level: str = "info"
    ledger_count: int = defaults.LEDGER_COUNT
    queue_limit: int = defaults.QUEUE_LIMIT
    body_limit: int = defaults.MAX_BODY_BYTES
    request_timeout: timedelta = defaults.REQUEST_TIMEOUT
    member_lease: timedelta = defaults.MEMBER_LEASE
    heartbeat_interval: timedelta = defaults.HEARTBEAT_INTERVAL
    task_lease: timedelta = defaults.TASK_LEASE
    grace: timedelta = defaults.SHUTDOWN_GRACE
    drain_delay: timedelta = defaults.DRAIN_DELAY


def load_settings(path: str) -> Settings:
    """Load and validate a settings file.

    :raises SettingsError: with every fault found.
    """
    try:
        with open(path, "rb") as file:
            documents = load_documents(file.read(), path)
    except OSError as error:
        raise SettingsError((Fault(path, "unreadable", str(error)),)) from error
    except DocumentError as error:
        raise SettingsError(error.faults) from error
    if len(documents) > 1:
        raise SettingsError(
            (Fault(path, "not_yaml", "must contain a single document"),)
        )
    return read_settings(documents[0] if documents else None)


def read_settings(document: Any) -> Settings:
    """Validate a settings document and fill in the defaults.

    :raises SettingsError: with every fault found.
    """
    faults = find_faults(document, SettingsDocument) or _find_shared_tokens(document)
    if faults:
        raise SettingsError(faults)
    listen, platform = document["listen"], document["platform"]
    tokens, log = document["tokens"], document.get("log", {})
    return Settings(
        name=document["name"],
        zone=document["zone"],
        region=document.get("region", ""),
        host=listen["host"],
        api_port=listen.get("api_port", 0),
        peer_port=listen.get("peer_port", 0),
        store_address=platform["store"],
        instances_address=platform["instances"],
        operator_token=tokens["operator"],
        peer_token=tokens["peer"],
        team_tokens=tokens.get("teams", {}),
        seeds=tuple(document.get("seeds", ())),
        log_style=log.get("style", "text"),
        log_level=log.get("level", "info"),
        **_read_limits(document.get("limits", {})),
    )


def _find_shared_tokens(document: SettingsDocument) -> tuple[Fault, ...]:
    """Return faults for tokens of two roles, whose calls could not be distinguished."""
    tokens = document["tokens"]
    holders = {tokens["operator"]: "operator"}
    faults = []
    others = {f"teams.{name}": t for name, t in tokens.get("teams", {}).items()}
    for holder, token in {"peer": tokens["peer"], **others}.items():
        if token in holders:
            detail = f"must differ from tokens.{holders[token]}"
            faults.append(Fault(f"tokens.{holder}", "shared_token", detail))
        holders.setdefault(token, holder)
    return tuple(faults)


def _read_limits(limits: LimitsSection) -> dict[str, Any]:
    plain_fields = {
        "ledgers": "ledger_count",
        "queue": "queue_limit",
        "body": "body_limit",
    }
    values: dict[str, Any] = {}
    for name, value in limits.items():
        if name in plain_fields:
            values[plain_fields[name]] = value
        else:
            values[name] = timedelta(seconds=value)
    return values
