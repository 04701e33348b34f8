"""Members of the control plane in order: who owns next, who is asked first."""

import itertools
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.state.jobrecords import MemberRecord, OwnerRecord

# Daemons whose starts differ by less are of one age: clocks differ, and all start
# within a second when the whole system does.
AGE_GRAIN = timedelta(seconds=1)
# An owner hands over to a member that has so much more power; a handover costs a
# tenth of a second without starts, a slow owner all day.
STRONGER = 1.5


def rank_successors(members: Mapping[str, MemberRecord], epoch: int) -> list[str]:
    """List who should own next: the strongest, of these the youngest.

    In a rolling restart the one that was restarted last is stopped last again. Those
    of one age come by turns.

    :param epoch: of the owner before, 0 for none.
    """
    names = sorted(members)
    turn = epoch % len(names) if names else 0

    def rank(name: str) -> tuple[float, float]:
        age = round(members[name].started_at / AGE_GRAIN.total_seconds())
        return -members[name].power, -age

    return sorted(names[turn:] + names[:turn], key=rank)


def find_stronger_member(members: Iterable[MemberRecord], power: float) -> str:
    """Return a member that should own in place of one of that power, or nothing."""
    strong = [member for member in members if member.power >= STRONGER * power]
    best = max(strong, key=lambda member: member.power, default=None)
    return best.instance if best is not None else ""


def interleave_zones(members: Mapping[str, MemberRecord]) -> list[str]:
    """List the members by turns of their availability zones."""
    zones: dict[str, list[str]] = {}
    for name in sorted(members):
        zones.setdefault(members[name].zone, []).append(name)
    rows = itertools.zip_longest(*zones.values())
    return [name for row in rows for name in row if name is not None]


class _Deposed(NamedTuple):
    at: timedelta
    owner: OwnerRecord


class DeposedOwners:
    """The owners that were succeeded without having handed over."""

    def __init__(self) -> None:
        self._deposed: list[_Deposed] = []

    def record_owner_change(
        self, before: OwnerRecord | None, owner: OwnerRecord, now: timedelta
    ) -> None:
        """Take note of an owner as the store shows it.

        :param before: as the store showed it last.
        """
        if before is not None and before.epoch < owner.epoch and not before.is_released:
            self._deposed.append(_Deposed(now, before))

    def count_alive_deposed(
        self, members: Mapping[str, MemberRecord], since: timedelta
    ) -> int:
        """Count the owners that were deposed since then though they are alive.

        One that is gone still counts until its lease in the store has ended.
        """
        self._deposed = [deposed for deposed in self._deposed if deposed.at > since]
        owners = (deposed.owner for deposed in self._deposed)
        return sum(
            owner.instance in members
            and members[owner.instance].incarnation == owner.incarnation
            for owner in owners
        )
