"""Ownership of shards: claims, takeovers and handovers through the store.

Only one daemon at a time decides about a shard. Two guarantees depend on this: "No
task is ever running in two places at once", and no instance is given more work than
it can hold.
"""

import asyncio
from collections.abc import Iterable, Mapping
from datetime import timedelta

from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.members.membership import Membership, RegisteredMember
from damaskdeck.coordination.members.mirrors import Mirror
from damaskdeck.coordination.members.ownerleases import OwnerLease
from damaskdeck.coordination.members.rendezvous import assign_shards, rank_members
from damaskdeck.coordination.members.tables import (
    OwnerChange,
    OwnerEntry,
    Table,
    decode_document,
)
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.heartbeats import TableChange
from damaskdeck.protocol.members import Owner, OwnershipHandler
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.ports import Store

PREFIX = "ownership/"
GLOBAL_SCOPES = frozenset({"ledger"})
RECONCILE_INTERVAL = timedelta(milliseconds=1500)
FAST_RECONCILE_INTERVAL = timedelta(milliseconds=250)
HANDOVER_DELAY = timedelta(seconds=2)
ORPHAN_DELAY = timedelta(seconds=2)
RELEASE_DELAY = timedelta(seconds=10)
DRAIN_ATTEMPTS = 4

_log = get_logger("ownership")


class OwnedShard:
    """A shard that the table in the store assigns to this daemon.

    :ivar is_ready: whether the gain handlers have returned.
    :ivar gain_task: the task that runs the gain handlers.
    """

    __slots__ = ("epoch", "gain_task", "is_ready", "owner_lease")

    def __init__(self, epoch: int, owner_lease: OwnerLease) -> None:
        self.epoch = epoch
        self.owner_lease = owner_lease
        self.is_ready = False
        self.gain_task: asyncio.Task[None] | None = None


class StoreOwnership:
    """Owners of all shards, kept in the store; implements ``Ownership``.

    Every daemon claims shards only for itself. Targets and workers may be decided
    on past the lease in the store while all other members of the zone have granted
    the owner lease. Ledgers may not: nothing can be committed without the store
    anyway, and their logs are fenced by compare-and-swap.
    """

    def __init__(
        self,
        members: Membership,
        peers: Peers,
        store: Store,
        clock: Clock,
        interval: timedelta = RECONCILE_INTERVAL,
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
        self._shards: dict[str, frozenset[str]] = {}
        self._owned: dict[str, OwnedShard] = {}
        self._gain_handlers: dict[str, list[OwnershipHandler]] = {}
        self._loss_handlers: dict[str, list[OwnershipHandler]] = {}
        self._handing_over: set[str] = set()
        self._eligible_since: dict[tuple[str, str], timedelta] = {}
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._is_draining = False
        peers.register(TableChange, self._handle_table_change)

    # Ownership protocol ---------------------------------------------------------

    def get_epoch(self, shard: str) -> int | None:
        """Return the epoch when this daemon may decide about ``shard`` now."""
        owned = self._owned.get(shard)
        if owned is None or not owned.is_ready:
            return None
        return owned.epoch if self._is_valid(shard, owned) else None

    def find_owner(self, shard: str) -> Owner | None:
        """Return the last known owner of ``shard``, in any zone."""
        scope, _, name = shard.partition("/")
        for table in self._list_tables(scope):
            entry = table.owners.get(name)
            if entry is not None and entry.instance:
                return Owner(entry.instance, entry.epoch)
        return None

    def list_owned(self, scope: str) -> tuple[str, ...]:
        """List the shards of ``scope`` that this daemon may decide about."""
        prefix = scope + "/"
        return tuple(
            shard
            for shard in sorted(self._owned)
            if shard.startswith(prefix) and self.get_epoch(shard) is not None
        )

    def set_shards(self, scope: str, names: tuple[str, ...]) -> None:
        """Set which shards of ``scope`` exist and need an owner."""
        shards = frozenset(names)
        if self._shards.get(scope) != shards:
            self._shards[scope] = shards
            self._wake.set()

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` once a shard of ``scope`` was gained."""
        self._gain_handlers.setdefault(scope, []).append(handler)

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when a shard is lost or handed over."""
        self._loss_handlers.setdefault(scope, []).append(handler)

    # Background task ------------------------------------------------------------

    async def run(self) -> None:
        """Claim, take over and hand over shards until cancelled."""
        while True:
            self._wake.clear()
            async with self._lock:
                should_reconcile_soon = await self._reconcile()
            wait = FAST_RECONCILE_INTERVAL if should_reconcile_soon else self._interval
            await wait_for_event(self._wake, wait, self._clock)

    async def drain(self) -> None:
        """Hand over all shards; return when no more can be handed over."""
        self._is_draining = True
        self._members.is_leaving = True
        self._members.send_heartbeats()
        async with self._lock:
            for _ in range(DRAIN_ATTEMPTS):
                for scope in list(self._shards):
                    await self._hand_over_all(scope)
                if not self._owned:
                    return
                await self._clock.sleep(FAST_RECONCILE_INTERVAL)
                await self._mirror.refresh()

    async def _reconcile(self) -> bool:
        """Reconcile the owned shards with the store.

        :returns: whether to reconcile again soon.
        """
        await self._release_expired()
        if not await self._mirror.refresh() or not await self._members.refresh():
            return False
        should_reconcile_soon = False
        for scope in list(self._shards):
            should_reconcile_soon = (
                await self._reconcile_scope(scope) or should_reconcile_soon
            )
        return should_reconcile_soon

    async def _reconcile_scope(self, scope: str) -> bool:
        table = self._get_table(scope)
        await self._apply_table(scope, table)
        owner_lease = self._members.owner_lease
        if owner_lease is None or not owner_lease.is_leased(self._clock.monotonic()):
            return True
        if not table.is_readable:
            return False
        if self._is_draining:
            await self._hand_over_all(scope)
            return False
        assignment = assign_shards(
            self._shards[scope], self._list_candidate_names(scope)
        )
        changes, is_waiting = self._list_claims(scope, table, assignment, owner_lease)
        changes.update(self._list_removals(scope, table))
        if changes:
            await self._commit(scope, table, changes)
            await self._apply_table(scope, table)
        moves = self._list_moves(scope, table, assignment)
        if moves:
            await self._hand_over(scope, table, moves)
        return is_waiting

    # Claims ---------------------------------------------------------------------

    def _list_claims(
        self,
        scope: str,
        table: Table,
        assignment: Mapping[str, str],
        owner_lease: OwnerLease,
    ) -> tuple[dict[str, OwnerChange], bool]:
        own = self._members.self.name
        changes: dict[str, OwnerChange] = {}
        is_waiting = False
        for name in self._shards[scope]:
            entry = table.owners.get(name)
            is_assigned = assignment.get(name) == own
            epoch = None
            if entry is None:
                epoch = table.document.floor + 1 if is_assigned else None
            elif entry.instance == own:
                epoch = self._choose_epoch(f"{scope}/{name}", entry, owner_lease)
            elif not self._is_unregistered(entry, table):
                self._eligible_since.pop((scope, name), None)
                is_waiting = is_waiting or not self._members.is_alive(entry.instance)
            elif self._can_take_over(scope, name, entry, is_assigned):
                epoch = entry.epoch + 1
            else:
                is_waiting = True
            if epoch is not None:
                changes[name] = OwnerChange(
                    entry, OwnerEntry(own, owner_lease.session, epoch)
                )
        return changes, is_waiting

    def _list_removals(self, scope: str, table: Table) -> dict[str, OwnerChange]:
        """List entries of shards that no longer exist and whose owner is gone.

        One member, chosen by hash, removes them.
        """
        names = self._list_candidate_names(scope)
        if not names or rank_members(table.key, names)[0] != self._members.self.name:
            return {}
        removals = {}
        for name, entry in table.owners.items():
            is_removable = name not in self._shards[scope] and self._is_unregistered(
                entry, table
            )
            if is_removable and self._can_take_over(scope, name, entry, True):
                removals[name] = OwnerChange(entry, None)
        return removals

    def _choose_epoch(
        self, shard: str, entry: OwnerEntry, owner_lease: OwnerLease
    ) -> int | None:
        """Return the epoch to rebind an own shard to a new session with, if needed."""
        if entry.session == owner_lease.session:
            return None
        owned = self._owned.get(shard)
        if owned is not None and self._is_valid(shard, owned):
            return entry.epoch
        return entry.epoch + 1

    def _is_unregistered(self, entry: OwnerEntry, table: Table) -> bool:
        is_known = self._members.revision >= table.revision
        return is_known and not self._members.is_registered(entry.instance)

    def _can_take_over(
        self, scope: str, name: str, entry: OwnerEntry, is_assigned: bool
    ) -> bool:
        if scope not in GLOBAL_SCOPES and not self._members.can_take_over_from(
            entry.instance
        ):
            return False
        now = self._clock.monotonic()
        since = self._eligible_since.setdefault((scope, name), now)
        return is_assigned or now - since >= ORPHAN_DELAY

    async def _commit(
        self, scope: str, table: Table, changes: Mapping[str, OwnerChange]
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

    async def _handle_table_change(self, instance: str, change: TableChange) -> None:
        if decode_document(change["value"]) is None:
            return
        self._mirror.record_write(change["key"], change["value"], change["revision"])
        for scope in self._shards:
            table = self._get_table(scope)
            if table.key == change["key"]:
                self._adopt_shards(scope, table)

    # Handover -------------------------------------------------------------------

    def _list_moves(
        self, scope: str, table: Table, assignment: Mapping[str, str]
    ) -> dict[str, OwnerChange]:
        own = self._members.self.name
        now = self._clock.monotonic()
        moves = {}
        for name, entry in table.owners.items():
            if entry.instance != own:
                continue
            change = self._choose_move(scope, name, entry, assignment)
            if change is None:
                self._eligible_since.pop((scope, name), None)
                continue
            delay = self._handover_delay if change.after else RELEASE_DELAY
            if now - self._eligible_since.setdefault((scope, name), now) >= delay:
                moves[name] = change
        return moves

    def _choose_move(
        self, scope: str, name: str, entry: OwnerEntry, assignment: Mapping[str, str]
    ) -> OwnerChange | None:
        """Return the change that an own shard needs, if any."""
        if name not in self._shards[scope]:
            return OwnerChange(entry, None)
        owner = assignment.get(name, entry.instance)
        successor = self._members.get_registered(owner)
        if owner == entry.instance or successor is None:
            return None
        return (
            _make_handover(entry, successor) if self._members.is_alive(owner) else None
        )

    async def _hand_over_all(self, scope: str) -> None:
        table = self._get_table(scope)
        owned = [
            name
            for name, entry in table.owners.items()
            if f"{scope}/{name}" in self._owned
        ]
        names = [
            name
            for name in self._list_candidate_names(scope)
            if name != self._members.self.name and self._members.is_alive(name)
        ]
        moves = {}
        for name, owner in assign_shards(owned, names).items():
            successor = self._members.get_registered(owner)
            if successor is not None:
                moves[name] = _make_handover(table.owners[name], successor)
        if moves:
            await self._hand_over(scope, table, moves)

    async def _hand_over(
        self, scope: str, table: Table, moves: Mapping[str, OwnerChange]
    ) -> None:
        """Stop deciding about shards, then write their successors to the table."""
        shards = {f"{scope}/{name}" for name in moves}
        for name in moves:
            self._eligible_since.pop((scope, name), None)
        self._handing_over.update(shards)
        await asyncio.gather(*(self._release(shard) for shard in shards))
        await self._commit(scope, table, moves)
        self._handing_over.difference_update(shards)
        await self._apply_table(scope, table)

    # Owned shards ---------------------------------------------------------------

    async def _apply_table(self, scope: str, table: Table) -> None:
        """Release and adopt shards to match the table."""
        own = self._members.self.name
        prefix = scope + "/"
        for shard, owned in list(self._owned.items()):
            if not shard.startswith(prefix):
                continue
            entry = table.owners.get(shard.removeprefix(prefix))
            is_own = entry is not None and entry.instance == own
            if not is_own or entry.epoch != owned.epoch:
                await self._release(shard)
        self._adopt_shards(scope, table)

    def _adopt_shards(self, scope: str, table: Table) -> None:
        owner_lease = self._members.owner_lease
        if owner_lease is None:
            return
        for name, entry in table.owners.items():
            is_own = entry.instance == self._members.self.name
            if not is_own or entry.session != owner_lease.session:
                continue
            shard = f"{scope}/{name}"
            if shard in self._handing_over:
                continue
            owned = self._owned.get(shard)
            if owned is None:
                owned = self._owned[shard] = OwnedShard(entry.epoch, owner_lease)
                owned.gain_task = asyncio.ensure_future(
                    self._run_gain_handlers(shard, owned)
                )
            elif owned.epoch == entry.epoch:
                owned.owner_lease = owner_lease

    async def _run_gain_handlers(self, shard: str, owned: OwnedShard) -> None:
        scope = shard.partition("/")[0]
        try:
            for handler in self._gain_handlers.get(scope, ()):
                await handler(shard, owned.epoch)
        except Exception as error:
            code = getattr(error, "code", "internal")
            count_drop("ownership", code)
            _log.error(
                "A gain handler failed.", thing=shard, code=code, error=repr(error)
            )
            if self._owned.get(shard) is owned:
                del self._owned[shard]
            return
        owned.is_ready = True

    async def _release(self, shard: str) -> None:
        owned = self._owned.pop(shard, None)
        if owned is None:
            return
        if owned.gain_task is not None and not owned.gain_task.done():
            owned.gain_task.cancel()
            await asyncio.wait({owned.gain_task})
        scope = shard.partition("/")[0]
        for handler in self._loss_handlers.get(scope, ()):
            try:
                await handler(shard, owned.epoch)
            except Exception as error:
                _log.error("A loss handler failed.", thing=shard, error=repr(error))

    async def _release_expired(self) -> None:
        for shard, owned in list(self._owned.items()):
            if owned.owner_lease.has_expired and not self._is_valid(shard, owned):
                await self._release(shard)

    def _is_valid(self, shard: str, owned: OwnedShard) -> bool:
        now = self._clock.monotonic()
        if shard.partition("/")[0] in GLOBAL_SCOPES:
            return owned.owner_lease.is_leased(now)
        return owned.owner_lease.is_valid(now)

    # Tables ---------------------------------------------------------------------

    def _get_table(self, scope: str) -> Table:
        if scope in GLOBAL_SCOPES:
            key = PREFIX + scope
        else:
            key = f"{PREFIX}{self._members.self.zone}/{scope}"
        return self._get_table_by_key(key)

    def _get_table_by_key(self, key: str) -> Table:
        if key not in self._tables:
            self._tables[key] = Table(key, self._mirror, self._store, self._clock)
        return self._tables[key]

    def _list_tables(self, scope: str) -> Iterable[Table]:
        yield self._get_table(scope)
        if scope not in GLOBAL_SCOPES:
            for key in list(self._mirror.entries):
                if key.endswith("/" + scope):
                    yield self._get_table_by_key(key)

    def _list_candidate_names(self, scope: str) -> list[str]:
        zone = "" if scope in GLOBAL_SCOPES else self._members.self.zone
        return [found.member.name for found in self._members.list_candidates(zone)]


def _make_handover(entry: OwnerEntry, successor: RegisteredMember) -> OwnerChange:
    after = OwnerEntry(successor.member.name, successor.session, entry.epoch + 1)
    return OwnerChange(entry, after)
