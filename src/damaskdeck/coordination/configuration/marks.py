"""Removal of old marks of deletions from the store."""

from datetime import timedelta

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import Entry, Listing, Store, Written
from damaskdeck.state.versions import CONFIG_PREFIX, decode_value

ROUND_LIMIT = 200
PAUSE = timedelta(milliseconds=100)


async def remove_marks(
    store: Store, clock: Clock, retention: timedelta = defaults.DELETION_RETENTION
) -> int:
    """Remove marks that are older than any call may be on its way; return how many.

    At most :data:`ROUND_LIMIT` are removed, ten a second, so that a wave of
    deletions doesn't use up the store's writes.
    """
    found = await store.list(CONFIG_PREFIX)
    if not isinstance(found, Listing):
        return 0
    limit = (clock.now() - retention).timestamp()
    old = [entry for entry in found.entries if _is_old(entry, limit)]
    removed = 0
    for entry in old[:ROUND_LIMIT]:
        answer = await store.delete(entry.key, entry.revision)
        removed += isinstance(answer, Written)
        await clock.sleep(PAUSE)
    return removed


def _is_old(entry: Entry, limit: float) -> bool:
    stored = decode_value(entry.value)
    return stored is not None and 0 < stored.deleted < limit
