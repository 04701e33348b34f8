"""Who decides about what: claims, takeovers and handovers through the store.

The promise behind it: "No task is ever running in two places at once", and no
instance is given more than it holds, as one daemon at a time decides.
"""

import asyncio
from collections.abc import Iterable, Mapping
from datetime import timedelta

from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.members.membership import Membership, Registered
from damaskdeck.coordination.members.mirrors import Mirror
from damaskdeck.coordination.members.rendezvous import assign_things, rank_members
from damaskdeck.coordination.members.tables import (
    Change,
    OwnerEntry,
    Table,
    decode_document,
)
from damaskdeck.coordination.members.tenures import OwnerLease
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.heartbeats import TableChange
from damaskdeck.protocol.members import Owner, OwnershipHandler
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.ports import Store

PREFIX = "ownership/"
GLOBAL_SCOPES = frozenset({"ledger"})
SETTLE_INTERVAL = timedelta(milliseconds=1500)
HASTE_INTERVAL = timedelta(milliseconds=250)
HANDOVER_DELAY = timedelta(seconds=2)
ORPHAN_DELAY = timedelta(seconds=2)
RELEASE_DELAY = timedelta(seconds=10)
DRAIN_ATTEMPTS = 4

_log = get_logger("ownership")


class Holding:
    """A thing that the store's table gives to this daemon.

    :ivar is_ready: whether the handlers have returned.
    :ivar gain: the task that runs the handlers.
    """

    __slots__ = ("epoch", "gain", "is_ready", "owner_lease")

    def __init__(self, epoch: int, owner_lease: OwnerLease) -> None:
        self.epoch = epoch
        self.owner_lease = owner_lease
        self.is_ready = False
        self.gain: asyncio.Task[None] | None = None


class StoreOwnership:
    """Owners of all things, kept in the store; implements ``Ownership``.

    Every daemon claims only for itself. Targets and workers may be decided on
    past the lease while all others of the zone promise to leave them alone;
    ledgers may not, as nothing can be committed without the store anyway and
    their logs are fenced by compare-and-swap.
    """

    def __init__(
        self,
        members: Membership,
        peers: Peers,
        store: Store,
        clock: Clock,
        interval: timedelta = SETTLE_INTERVAL,
        handover_delay: timedelta = HANDOVER_DELAY,
    ) -> None:
        self._members = members
        self._peers = peers
        self._store = store
        self._clock = clock
        self._interval = interval
        self._handover_delay = handover_delay
        self._mirror = Mirror(store, PREFIX)
        self._tables: dict[str, Table] = {}
        self._things: dict[str, frozenset[str]] = {}
        self._held: dict[str, Holding] = {}
        self._gain_handlers: dict[str, list[OwnershipHandler]] = {}
        self._loss_handlers: dict[str, list[OwnershipHandler]] = {}
        self._moving: set[str] = set()
        self._since: dict[tuple[str, str], timedelta] = {}
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._is_draining = False
        peers.register(TableChange, self._take_change)

    # Ownership ------------------------------------------------------------------

    def get_epoch(self, shard: str) -> int | None:
        """Return the epoch when this daemon may decide about ``shard`` now."""
        holding = self._held.get(shard)
        if holding is None or not holding.is_ready:
            return None
        return holding.epoch if self._is_valid(shard, holding) else None

    def find_owner(self, shard: str) -> Owner | None:
        """Return the last known owner of ``shard``, in whatever zone."""
        scope, _, name = shard.partition("/")
        for table in self._list_tables(scope):
            holder = table.things.get(name)
            if holder is not None and holder.instance:
                return Owner(holder.instance, holder.epoch)
        return None

    def list_owned(self, scope: str) -> tuple[str, ...]:
        """List the things of ``scope`` that this daemon may decide about."""
        prefix = scope + "/"
        return tuple(
            shard
            for shard in sorted(self._held)
            if shard.startswith(prefix) and self.get_epoch(shard) is not None
        )

    def set_shards(self, scope: str, names: tuple[str, ...]) -> None:
        """Say which things of ``scope`` exist and need an owner."""
        things = frozenset(names)
        if self._things.get(scope) != things:
            self._things[scope] = things
            self._wake.set()

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` once a shard of ``scope`` was gained."""
        self._gain_handlers.setdefault(scope, []).append(handler)

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when a thing is lost or handed over."""
        self._loss_handlers.setdefault(scope, []).append(handler)

    # Running --------------------------------------------------------------------

    async def run(self) -> None:
        """Claim, take over and hand over until cancelled."""
        while True:
            self._wake.clear()
            async with self._lock:
                is_hasty = await self._settle()
            wait = HASTE_INTERVAL if is_hasty else self._interval
            await wait_for_event(self._wake, wait, self._clock)

    async def drain(self) -> None:
        """Hand everything over; returns when nothing can be handed over any more."""
        self._is_draining = True
        self._members.is_leaving = True
        self._members.send_heartbeats()
        async with self._lock:
            for _ in range(DRAIN_ATTEMPTS):
                for scope in list(self._things):
                    await self._hand_over_all(scope)
                if not self._held:
                    return
                await self._clock.sleep(HASTE_INTERVAL)
                await self._mirror.refresh()

    async def _settle(self) -> bool:
        """Bring what is held in line with the store; tell whether to hurry."""
        await self._drop_invalid()
        if not await self._mirror.refresh() or not await self._members.refresh():
            return False
        is_hasty = False
        for scope in list(self._things):
            is_hasty = await self._settle_scope(scope) or is_hasty
        return is_hasty

    async def _settle_scope(self, scope: str) -> bool:
        table = self._get_table(scope)
        await self._follow(scope, table)
        owner_lease = self._members.owner_lease
        if owner_lease is None or not owner_lease.is_leased(self._clock.monotonic()):
            return True
        if not table.is_readable:
            return False
        if self._is_draining:
            await self._hand_over_all(scope)
            return False
        wanted = assign_things(self._things[scope], self._list_names(scope))
        changes, is_waiting = self._list_claims(scope, table, wanted, owner_lease)
        changes.update(self._list_removals(scope, table))
        if changes:
            await self._commit(scope, table, changes)
            await self._follow(scope, table)
        moves = self._list_moves(scope, table, wanted)
        if moves:
            await self._hand_over(scope, table, moves)
        return is_waiting

    # Claims ---------------------------------------------------------------------

    def _list_claims(
        self,
        scope: str,
        table: Table,
        wanted: Mapping[str, str],
        owner_lease: OwnerLease,
    ) -> tuple[dict[str, Change], bool]:
        own = self._members.self.name
        changes: dict[str, Change] = {}
        is_waiting = False
        for name in self._things[scope]:
            holder = table.things.get(name)
            is_wanted = wanted.get(name) == own
            epoch = None
            if holder is None:
                epoch = table.document.floor + 1 if is_wanted else None
            elif holder.instance == own:
                epoch = self._choose_epoch(f"{scope}/{name}", holder, owner_lease)
            elif not self._is_gone(holder, table):
                self._since.pop((scope, name), None)
                is_waiting = is_waiting or not self._members.is_live(holder.instance)
            elif self._may_take(scope, name, holder, is_wanted):
                epoch = holder.epoch + 1
            else:
                is_waiting = True
            if epoch is not None:
                changes[name] = Change(
                    holder, OwnerEntry(own, owner_lease.session, epoch)
                )
        return changes, is_waiting

    def _list_removals(self, scope: str, table: Table) -> dict[str, Change]:
        """List things of gone owners that exist no more, for one member to remove."""
        names = self._list_names(scope)
        if not names or rank_members(table.key, names)[0] != self._members.self.name:
            return {}
        removals = {}
        for name, holder in table.things.items():
            is_left = name not in self._things[scope] and self._is_gone(holder, table)
            if is_left and self._may_take(scope, name, holder, True):
                removals[name] = Change(holder, None)
        return removals

    def _choose_epoch(
        self, shard: str, holder: OwnerEntry, owner_lease: OwnerLease
    ) -> int | None:
        """Return the epoch to bind an own thing to a new session with, if need be."""
        if holder.session == owner_lease.session:
            return None
        holding = self._held.get(shard)
        if holding is not None and self._is_valid(shard, holding):
            return holder.epoch
        return holder.epoch + 1

    def _is_gone(self, holder: OwnerEntry, table: Table) -> bool:
        is_known = self._members.revision >= table.revision
        return is_known and not self._members.is_registered(holder.instance)

    def _may_take(
        self, scope: str, name: str, holder: OwnerEntry, is_wanted: bool
    ) -> bool:
        if scope not in GLOBAL_SCOPES and not self._members.may_take_from(
            holder.instance
        ):
            return False
        now = self._clock.monotonic()
        since = self._since.setdefault((scope, name), now)
        return is_wanted or now - since >= ORPHAN_DELAY

    async def _commit(
        self, scope: str, table: Table, changes: Mapping[str, Change]
    ) -> None:
        if not await table.commit(changes):
            return
        entry = self._mirror.entries[table.key]
        change: TableChange = {
            "key": table.key,
            "revision": entry.revision,
            "value": entry.value,
        }
        zone = "" if scope in GLOBAL_SCOPES else self._members.self.zone
        for member in self._members.list_live(zone):
            if member.name != self._members.self.name:
                self._peers.send(member.name, change, TableChange)

    async def _take_change(self, instance: str, change: TableChange) -> None:
        if decode_document(change["value"]) is None:
            return
        self._mirror.note(change["key"], change["value"], change["revision"])
        for scope in self._things:
            table = self._get_table(scope)
            if table.key == change["key"]:
                self._adopt(scope, table)

    # Handover -------------------------------------------------------------------

    def _list_moves(
        self, scope: str, table: Table, wanted: Mapping[str, str]
    ) -> dict[str, Change]:
        own = self._members.self.name
        now = self._clock.monotonic()
        moves = {}
        for name, holder in table.things.items():
            if holder.instance != own:
                continue
            change = self._choose_move(scope, name, holder, wanted)
            if change is None:
                self._since.pop((scope, name), None)
                continue
            delay = self._handover_delay if change.after else RELEASE_DELAY
            if now - self._since.setdefault((scope, name), now) >= delay:
                moves[name] = change
        return moves

    def _choose_move(
        self, scope: str, name: str, holder: OwnerEntry, wanted: Mapping[str, str]
    ) -> Change | None:
        """Return what should become of an own thing, if anything."""
        if name not in self._things[scope]:
            return Change(holder, None)
        owner = wanted.get(name, holder.instance)
        successor = self._members.get_registered(owner)
        if owner == holder.instance or successor is None:
            return None
        return _succeed(holder, successor) if self._members.is_live(owner) else None

    async def _hand_over_all(self, scope: str) -> None:
        table = self._get_table(scope)
        held = [
            name
            for name, holder in table.things.items()
            if f"{scope}/{name}" in self._held
        ]
        names = [
            name
            for name in self._list_names(scope)
            if name != self._members.self.name and self._members.is_live(name)
        ]
        moves = {}
        for name, owner in assign_things(held, names).items():
            successor = self._members.get_registered(owner)
            if successor is not None:
                moves[name] = _succeed(table.things[name], successor)
        if moves:
            await self._hand_over(scope, table, moves)

    async def _hand_over(
        self, scope: str, table: Table, moves: Mapping[str, Change]
    ) -> None:
        """Stop deciding about things, then write their successors."""
        things = {f"{scope}/{name}" for name in moves}
        for name in moves:
            self._since.pop((scope, name), None)
        self._moving.update(things)
        await asyncio.gather(*(self._lose(shard) for shard in things))
        await self._commit(scope, table, moves)
        self._moving.difference_update(things)
        await self._follow(scope, table)

    # Holdings -------------------------------------------------------------------

    async def _follow(self, scope: str, table: Table) -> None:
        """Let what is held follow the table."""
        own = self._members.self.name
        prefix = scope + "/"
        for shard, holding in list(self._held.items()):
            if not shard.startswith(prefix):
                continue
            holder = table.things.get(shard.removeprefix(prefix))
            is_own = holder is not None and holder.instance == own
            if not is_own or holder.epoch != holding.epoch:
                await self._lose(shard)
        self._adopt(scope, table)

    def _adopt(self, scope: str, table: Table) -> None:
        owner_lease = self._members.owner_lease
        if owner_lease is None:
            return
        for name, holder in table.things.items():
            is_own = holder.instance == self._members.self.name
            if not is_own or holder.session != owner_lease.session:
                continue
            shard = f"{scope}/{name}"
            if shard in self._moving:
                continue
            holding = self._held.get(shard)
            if holding is None:
                holding = self._held[shard] = Holding(holder.epoch, owner_lease)
                holding.gain = asyncio.ensure_future(self._gain(shard, holding))
            elif holding.epoch == holder.epoch:
                holding.owner_lease = owner_lease

    async def _gain(self, shard: str, holding: Holding) -> None:
        scope = shard.partition("/")[0]
        try:
            for handler in self._gain_handlers.get(scope, ()):
                await handler(shard, holding.epoch)
        except Exception as error:
            code = getattr(error, "code", "internal")
            count_drop("ownership", code)
            _log.error(
                "A gain handler failed.", thing=shard, code=code, error=repr(error)
            )
            if self._held.get(shard) is holding:
                del self._held[shard]
            return
        holding.is_ready = True

    async def _lose(self, shard: str) -> None:
        holding = self._held.pop(shard, None)
        if holding is None:
            return
        if holding.gain is not None and not holding.gain.done():
            holding.gain.cancel()
            await asyncio.wait({holding.gain})
        scope = shard.partition("/")[0]
        for handler in self._loss_handlers.get(scope, ()):
            try:
                await handler(shard, holding.epoch)
            except Exception as error:
                _log.error("A loss handler failed.", thing=shard, error=repr(error))

    async def _drop_invalid(self) -> None:
        for shard, holding in list(self._held.items()):
            if holding.owner_lease.has_lapsed and not self._is_valid(shard, holding):
                await self._lose(shard)

    def _is_valid(self, shard: str, holding: Holding) -> bool:
        now = self._clock.monotonic()
        if shard.partition("/")[0] in GLOBAL_SCOPES:
            return holding.owner_lease.is_leased(now)
        return holding.owner_lease.is_valid(now)

    # Tables ---------------------------------------------------------------------

    def _get_table(self, scope: str) -> Table:
        if scope in GLOBAL_SCOPES:
            key = PREFIX + scope
        else:
            key = f"{PREFIX}{self._members.self.zone}/{scope}"
        return self._open(key)

    def _open(self, key: str) -> Table:
        if key not in self._tables:
            self._tables[key] = Table(key, self._mirror, self._store, self._clock)
        return self._tables[key]

    def _list_tables(self, scope: str) -> Iterable[Table]:
        yield self._get_table(scope)
        if scope not in GLOBAL_SCOPES:
            for key in list(self._mirror.entries):
                if key.endswith("/" + scope):
                    yield self._open(key)

    def _list_names(self, scope: str) -> list[str]:
        zone = "" if scope in GLOBAL_SCOPES else self._members.self.zone
        return [found.member.name for found in self._members.list_candidates(zone)]


def _succeed(holder: OwnerEntry, successor: Registered) -> Change:
    after = OwnerEntry(successor.member.name, successor.session, holder.epoch + 1)
    return Change(holder, after)
