"""Messages as peers of other versions may send them, and a complete daemon."""

import asyncio
import typing
from datetime import timedelta
from typing import Any

from hypothesis import strategies as st

from damaskdeck.coordination.configuration.relay import ConfigurationRelay
from damaskdeck.coordination.jobs.ledgerowner import LedgerOwner
from damaskdeck.coordination.members.membership import Membership
from damaskdeck.coordination.members.ownership import StoreOwnership
from damaskdeck.coordination.requests.routing import Router
from damaskdeck.coordination.workers.fleet import Fleet
from damaskdeck.coordination.workers.hosting import WorkerHost
from damaskdeck.coordination.workers.observations import Observer
from damaskdeck.protocol.members import Member
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.configuration import Configuration
from standins.loops import LoopClock
from standins.peers import PeerSwitch
from standins.platform import Platform

TEXTS = ("00", "d1", "d2", "z1", "z2", "w1", "s", "maps", "team", "tiles-00-x", "")
NUMBERS = (0, 1, 2, 7)
ODD_NUMBERS = (-1, -(2**63), 2**40, 2**63, 2**64 - 1)
ODD_FLOATS = (float("nan"), float("inf"), -float("inf"), -1.0, 1e300)
ODD_VALUES = (None, True, -1, 2**64 - 1, 1.5, "x", "\0", "é" * 999, b"\xff", [], {})


def draw_value(kind: Any) -> st.SearchStrategy[Any]:
    """Draw plain data of a type, sometimes with unusual numbers."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Required, typing.NotRequired, typing.Annotated):
        return draw_value(arguments[0])
    if typing.is_typeddict(kind):
        return draw_fields(kind)
    if origin is list:
        return st.lists(draw_value(arguments[0]), max_size=2)
    if origin is dict:
        keys = st.sampled_from(TEXTS)
        return st.dictionaries(keys, draw_value(arguments[1]), max_size=2)
    if origin is typing.Literal:
        return st.sampled_from(arguments)
    if arguments:
        return st.one_of(*(draw_value(each) for each in arguments))
    return _LEAVES.get(kind, st.sampled_from(ODD_VALUES))


def draw_fields(kind: Any) -> st.SearchStrategy[dict[str, Any]]:
    """Draw a ``TypedDict`` as a peer of the same version may send it."""
    hints = typing.get_type_hints(kind, include_extras=True)
    drawn = {name: draw_value(hint) for name, hint in hints.items()}
    required = {name: drawn[name] for name in kind.__required_keys__}
    optional = {name: drawn[name] for name in kind.__optional_keys__}
    return st.fixed_dictionaries(required, optional=optional)


@st.composite
def draw_message(draw: st.DrawFn, kind: Any) -> Any:
    """Draw a message as an older, a newer or a broken peer may send it."""
    value = draw(draw_value(kind))
    for _ in range(draw(st.integers(0, 2))):
        _spoil(draw, value)
    return value


def _spoil(draw: st.DrawFn, value: Any) -> None:
    """Drop, add or replace a field at any depth."""
    while isinstance(value, dict | list) and value:
        keys = list(value) if isinstance(value, dict) else range(len(value))
        key = draw(st.sampled_from(keys))
        act = draw(st.sampled_from(("enter", "enter", "drop", "add", "replace")))
        if act == "enter" and isinstance(value[key], dict | list) and value[key]:
            value = value[key]
        elif act == "drop":
            del value[key]
            return
        elif act == "add" and isinstance(value, dict):
            value["from_a_newer_peer"] = draw(st.sampled_from(ODD_VALUES))
            return
        else:
            value[key] = draw(st.sampled_from(ODD_VALUES))
            return


_LEAVES: dict[Any, st.SearchStrategy[Any]] = {
    str: st.sampled_from(TEXTS),
    bytes: st.sampled_from((b"", b"{}", b"\xff", b"\x80")),
    bool: st.booleans(),
    int: st.sampled_from(NUMBERS * 3 + ODD_NUMBERS),
    float: st.sampled_from((0.0, 0.5, 1.0) * 3 + ODD_FLOATS),
    type(None): st.none(),
}


class WholeDaemon:
    """All components of daemon ``d1``, on stand-ins and with a peer ``d2``."""

    def __init__(self, platform: Platform | None = None) -> None:
        self.clock = clock = LoopClock()
        self.switch = PeerSwitch(clock)
        self.platform = platform or Platform(clock)
        if platform is None:
            self.platform.add_worker("w1", "z1", Size(4000, 8000, 0))
            self.platform.add_target("t1", "z1", "s", slots=2)
        ports = self.platform.connect("d1")
        self.peers = self.switch.connect("d1")
        self.other = self.switch.connect("d2")
        member = Member("d1", "z1", "r", "127.0.0.1:1", "127.0.0.1:2", "d1-1")
        self.members = Membership(
            member, self.peers, ports.store, clock, newcomer_delay=timedelta()
        )
        shared = (self.members, self.peers, ports.store, clock)
        self.ownership = StoreOwnership(*shared)
        self.configuration = Configuration()
        self.relay = ConfigurationRelay(self.configuration, *shared)
        self.fleet = Fleet(ports.instances, clock)
        shared = (self.members, self.ownership, self.peers)
        self.ledger_owner = LedgerOwner(
            *shared, ports.store, self.configuration, self.fleet, clock, 2
        )
        self.host = WorkerHost(*shared, ports.workers, self.fleet, clock)
        self.router = Router(
            *shared, ports.targets, self.fleet, clock, self.ledger_owner
        )
        self.observer = Observer(*shared, self.fleet, self.host)
        self.ownership.set_shards("ledger", ("00", "01"))
        self.ownership.set_shards("worker", ("w1",))
        self.ownership.set_shards("target", ("t1",))
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Any]:
        """The handlers that all components have registered, by wire name."""
        return self.peers._handlers

    async def start(self, seconds: float = 10) -> "WholeDaemon":
        """Run until it owns all that it may own."""
        parts = (self.fleet, self.members, self.ownership, self.relay)
        parts += (self.ledger_owner, self.host, self.router)
        self.tasks = [asyncio.ensure_future(part.run()) for part in parts]
        await asyncio.sleep(seconds)
        self.check()
        return self

    async def restart(self) -> "WholeDaemon":
        """Return a daemon whose only state is what the store holds."""
        await self.close()
        await asyncio.sleep(12)
        return await WholeDaemon(self.platform).start()

    def overwrite(self, key: str, value: bytes) -> None:
        """Overwrite a key in the store, as a fault or another version may do."""
        store = self.platform.store
        store.put(key, value, None, store.get(key).entry.lease)

    def check(self) -> None:
        """Fail when a component has ended."""
        for task in self.tasks:
            if task.done():
                task.result()
                raise AssertionError(f"ended: {task}")

    async def close(self) -> None:
        """Stop all components."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.switch.close()
