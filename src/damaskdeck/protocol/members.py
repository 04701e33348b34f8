"""Who is in the deployment and who decides what, as the other parts see it."""

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import NamedTuple, Protocol


class Member(NamedTuple):
    """A daemon that takes part.

    :param peer_address: IP and port of its streams for peers.
    :param api_address: IP and port of its HTTP API.
    :param incarnation: new with each start of the daemon.
    """

    name: str
    zone: str
    region: str
    peer_address: str
    api_address: str
    incarnation: str


class Report(NamedTuple):
    """A short report that a member attached to its heartbeat.

    :param received: the local monotonic time when it came.
    """

    instance: str
    value: bytes
    received: timedelta


class Members(Protocol):
    """The members that are alive, and their reports."""

    @property
    def self(self) -> Member:
        """This daemon."""

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        """List live members in order of name, this daemon among them."""

    def is_live(self, name: str) -> bool:
        """Tell whether heartbeats of ``name`` still come."""

    def publish(self, topic: str, value: bytes) -> None:
        """Attach a report to this daemon's next heartbeats, at most 4 KiB."""

    def read_reports(self, topic: str) -> Mapping[str, Report]:
        """Return the latest report of each live member, by name."""


class Owner(NamedTuple):
    """Who decides about a thing.

    :param epoch: rises with each change of owner (a fencing token).
    """

    instance: str
    epoch: int


OwnershipHandler = Callable[[str, int], Awaitable[None]]


class Ownership(Protocol):
    """Who decides about what; a thing is named ``scope/name``.

    Scopes are ``ledger`` for the whole deployment (``ledger/03``) and
    ``target`` and ``worker`` inside an availability zone
    (``worker/rack-1-w7``).
    """

    def get_epoch(self, shard: str) -> int | None:
        """Return the epoch when this daemon may decide about ``shard`` now.

        Checks the lease by the monotonic clock at each call.
        """

    def find_owner(self, shard: str) -> Owner | None:
        """Return the last known owner of ``shard``, in whatever zone."""

    def list_owned(self, scope: str) -> tuple[str, ...]:
        """List the things of ``scope`` that this daemon may decide about."""

    def set_shards(self, scope: str, names: tuple[str, ...]) -> None:
        """Say which things of ``scope`` exist and need an owner."""

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` once a shard of ``scope`` was gained.

        Until it returns, :meth:`get_epoch` still says ``None``.
        """

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when a thing is lost or handed over.

        At a handover it runs before the successor may decide.
        """
