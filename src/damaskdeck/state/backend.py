"""What the components of a ledger share to access its keys in the store."""

from collections.abc import Callable
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import Store
from damaskdeck.state.segments import Keys


class LedgerBackend(NamedTuple):
    """The store of a ledger with the ledger's keys and limits.

    :param value_limit: size in bytes of the largest value that the store accepts.
    :param generate_id: returns a new unique identifier for a write.
    """

    store: Store
    clock: Clock
    keys: Keys
    value_limit: int
    generate_id: Callable[[], str]
