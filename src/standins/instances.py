"""An in-memory instance list whose answers lag behind its content."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import (
    Instance,
    Instances,
    InstanceState,
    Lost,
    Rejected,
)
from standins.gateway import Gateway

HISTORY_LIMIT = 1000


class Version(NamedTuple):
    """A version of the list, valid from ``time`` on.

    :param number: increases with each change.
    :param time: monotonic time.
    """

    number: int
    time: timedelta
    instances: tuple[Instance, ...]


class MemoryInstanceList:
    """The instance list, shared by all clients; see :meth:`connect`.

    :param lag: age of each answer.
    """

    def __init__(self, clock: Clock, lag: timedelta = timedelta()) -> None:
        self.clock = clock
        self.gateway = Gateway(clock, "list_busy")
        self.faults = self.gateway.faults
        self.calls = self.gateway.calls
        self.draw_lag: Callable[[], timedelta] = lambda: lag
        # Entries of other writers, as JSON, which the list contains over HTTP.
        self.foreign_rows: tuple[bytes, ...] = ()
        self._instances: dict[str, Instance] = {}
        self._versions = [Version(0, clock.monotonic() - timedelta(days=1), ())]

    def connect(self, client: str) -> "InstanceListClient":
        """Return a client of the list, which can be cut off on its own."""
        return InstanceListClient(self, client)

    def set_lag(self, lag: timedelta) -> None:
        """Make each answer ``lag`` old."""
        self.draw_lag = lambda: lag

    def put(self, instance: Instance) -> None:
        """Add or change an instance."""
        self._instances[instance.name] = instance
        self._record()

    def put_foreign(self, *rows: bytes) -> None:
        """Set the entries that another writer has left."""
        self.foreign_rows = rows
        self._record()

    def mark_leaving(self, name: str) -> None:
        """List an instance as leaving."""
        self.put(self._instances[name]._replace(state=InstanceState.LEAVING))

    def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        self._instances.pop(name, None)
        self._record()

    def get(self, name: str) -> Instance | None:
        """Return the current state of an instance, without lag."""
        return self._instances.get(name)

    def read(self) -> Version:
        """Return the newest version that is at least as old as the lag."""
        time = self.clock.monotonic() - self.draw_lag()
        for version in reversed(self._versions):
            if version.time <= time:
                return version
        return self._versions[0]

    def _record(self) -> None:
        number = self._versions[-1].number + 1
        instances = tuple(self._instances.values())
        self._versions.append(Version(number, self.clock.monotonic(), instances))
        del self._versions[:-HISTORY_LIMIT]


class InstanceListClient:
    """A client of the list; implements the port ``InstanceList``.

    :param client: name by which this client can be cut off.
    """

    def __init__(self, source: MemoryInstanceList, client: str) -> None:
        self._source = source
        self._client = client

    async def list_instances(self) -> Instances | Rejected | Lost:
        """Read the whole list."""
        version = await self.read_version()
        return Instances(version.instances) if isinstance(version, Version) else version

    async def read_version(self) -> Version | Rejected | Lost:
        """Read the list with its version number."""
        source = self._source
        return await source.gateway.call(self._client, "list_instances", source.read)
