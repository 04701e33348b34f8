"""Interfaces to membership and ownership."""

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import NamedTuple, Protocol


class Member(NamedTuple):
    """A daemon of the deployment.

    :param peer_address: IP address and port for peers.
    :param api_address: IP address and port of its HTTP API.
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

    :param received: local monotonic time of its arrival.
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
        """List live members, including this daemon, in order of name."""

    def is_alive(self, name: str) -> bool:
        """Whether ``name`` still sends heartbeats."""

    def publish(self, topic: str, value: bytes) -> None:
        """Attach a report of at most 4 KiB to the next heartbeats of this daemon."""

    def read_reports(self, topic: str) -> Mapping[str, Report]:
        """Return the latest report of each live member, by name."""


class Owner(NamedTuple):
    """The owner of a shard.

    :param epoch: rises with each change of owner; serves as a fencing token.
    """

    instance: str
    epoch: int


OwnershipHandler = Callable[[str, int], Awaitable[None]]


class Ownership(Protocol):
    """Assignment of shards to owners; a shard is named ``scope/name``.

    The scope ``ledger`` covers the whole deployment (``ledger/03``). The scopes
    ``target`` and ``worker`` belong to an availability zone (``worker/rack-1-w7``).
    """

    def get_epoch(self, shard: str) -> int | None:
        """Return the epoch if this daemon owns ``shard`` now, else ``None``.

        Each call checks the lease by the monotonic clock.
        """

    def find_owner(self, shard: str) -> Owner | None:
        """Return the last known owner of ``shard``, in any zone."""

    def list_owned(self, scope: str) -> tuple[str, ...]:
        """List the shards of ``scope`` that this daemon owns."""

    def set_shards(self, scope: str, names: tuple[str, ...]) -> None:
        """Set the shards of ``scope`` that exist and need an owner."""

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when this daemon gains a shard of ``scope``.

        :meth:`get_epoch` returns ``None`` until the handler has returned.
        """

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when a shard is lost or handed over.

        In a handover it runs before the successor may decide.
        """
