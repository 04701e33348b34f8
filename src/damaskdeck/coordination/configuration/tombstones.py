"""Removal of old tombstones of deleted resources from the store."""

from datetime import timedelta

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import Entry, Listing, Store, Written
from damaskdeck.state.versions import CONFIG_PREFIX, decode_value

MAX_REMOVALS_PER_ROUND = 200
REMOVAL_INTERVAL = timedelta(milliseconds=100)


async def remove_tombstones(
    store: Store, clock: Clock, retention: timedelta = defaults.DELETION_RETENTION
) -> int:
    """Remove tombstones that are older than any call that may still be in flight.

    At most :data:`MAX_REMOVALS_PER_ROUND` are removed, ten per second, so that many
    deletions at once don't use up the store's writes.

    :returns: how many were removed.
    """
    found = await store.list(CONFIG_PREFIX)
    if not isinstance(found, Listing):
        return 0
    limit = (clock.now() - retention).timestamp()
    old = [entry for entry in found.entries if _is_old(entry, limit)]
    removed = 0
    for entry in old[:MAX_REMOVALS_PER_ROUND]:
        answer = await store.delete(entry.key, entry.revision)
        removed += isinstance(answer, Written)
        await clock.sleep(REMOVAL_INTERVAL)
    return removed


def _is_old(entry: Entry, limit: float) -> bool:
    stored = decode_value(entry.value)
    return stored is not None and 0 < stored.deleted < limit
