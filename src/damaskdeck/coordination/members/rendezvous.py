"""Rendezvous hashing: all daemons make the same choice, and changes move little."""

import math
from collections.abc import Iterable, Mapping, Sequence

import xxhash

MAX_LOAD_FACTOR = 1.1


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order in which ``key`` prefers them."""
    return sorted(members, key=lambda member: (_score(key, member), member))


def assign_shards(shards: Iterable[str], members: Sequence[str]) -> dict[str, str]:
    """Assign each shard to the member that it prefers among those below the limit.

    :returns: member by shard; no member gets more than ``MAX_LOAD_FACTOR`` times
        the even share, rounded up.
    """
    names = sorted(shards)
    if not members:
        return {}
    limit = math.ceil(MAX_LOAD_FACTOR * len(names) / len(members))
    loads = dict.fromkeys(members, 0)
    owners: dict[str, str] = {}
    for name in names:
        free = (member for member in members if loads[member] < limit)
        owner = min(free, key=lambda member: (_score(name, member), member))
        loads[owner] += 1
        owners[name] = owner
    return owners


def choose_links(
    member: str, zone: str, zones: Mapping[str, Sequence[str]], count: int
) -> set[str]:
    """Return the members of other zones that ``member`` exchanges heartbeats with.

    Each pair of zones has ``count`` links, so the number of links of a zone
    depends only on the number of zones.

    :param zones: the members of each zone, including ``member``.
    """
    links = set()
    for other, members in zones.items():
        if other == zone or not members:
            continue
        pair = "|".join(sorted((zone, other)))
        for index in range(count):
            key = f"{pair}|{index}"
            if rank_members(key, zones[zone])[0] == member:
                links.add(rank_members(key, members)[0])
    return links


def _score(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())
