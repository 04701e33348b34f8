"""The order of members in which they take over, and the owners that were deposed."""

import itertools
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.state.jobrecords import MemberRecord, OwnerRecord

# Daemons whose start times round to the same multiple of this count as equally old.
# Clocks differ, and when the whole system starts all daemons do so within a second.
AGE_RESOLUTION = timedelta(seconds=1)
# An owner hands over to a member with at least this multiple of its own power. A
# handover costs a tenth of a second without starts, while a slow owner delays
# everything as long as it stays.
HANDOVER_POWER_RATIO = 1.5


def rank_successors(members: Mapping[str, MemberRecord], epoch: int) -> list[str]:
    """List the members in the order in which they should take over.

    The most powerful members come first, and of these the youngest. In a rolling
    restart the member that was restarted last is the last one to be stopped again.
    Equally old members take turns from epoch to epoch.

    :param epoch: The epoch of the previous owner, 0 if there was none.
    """
    names = sorted(members)
    offset = epoch % len(names) if names else 0

    def rank(name: str) -> tuple[float, float]:
        age = round(members[name].started_at / AGE_RESOLUTION.total_seconds())
        return -members[name].power, -age

    return sorted(names[offset:] + names[:offset], key=rank)


def find_stronger_member(members: Iterable[MemberRecord], power: float) -> str:
    """Return a member that should own instead of one with the given power.

    The result is empty if there is none.
    """
    stronger = [
        member for member in members if member.power >= HANDOVER_POWER_RATIO * power
    ]
    best = max(stronger, key=lambda member: member.power, default=None)
    return best.instance if best is not None else ""


def interleave_zones(members: Mapping[str, MemberRecord]) -> list[str]:
    """List the members so that their availability zones alternate."""
    zones: dict[str, list[str]] = {}
    for name in sorted(members):
        zones.setdefault(members[name].zone, []).append(name)
    rows = itertools.zip_longest(*zones.values())
    return [name for row in rows for name in row if name is not None]


class _Deposed(NamedTuple):
    at: timedelta
    owner: OwnerRecord


class DeposedOwners:
    """The owners that were succeeded without a handover."""

    def __init__(self) -> None:
        self._deposed: list[_Deposed] = []

    def record_owner_change(
        self, before: OwnerRecord | None, owner: OwnerRecord, now: timedelta
    ) -> None:
        """Record the owner that the store shows.

        :param before: The owner that the store showed last.
        """
        if before is not None and before.epoch < owner.epoch and not before.is_released:
            self._deposed.append(_Deposed(now, before))

    def count_alive_deposed(
        self, members: Mapping[str, MemberRecord], since: timedelta
    ) -> int:
        """Count the owners deposed after ``since`` that are still members.

        An owner that is gone counts until its lease in the store has expired.
        """
        self._deposed = [deposed for deposed in self._deposed if deposed.at > since]
        owners = (deposed.owner for deposed in self._deposed)
        return sum(
            owner.instance in members
            and members[owner.instance].incarnation == owner.incarnation
            for owner in owners
        )
