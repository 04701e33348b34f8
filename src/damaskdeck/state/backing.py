"""What every part of a ledger needs to reach its keys in the store."""

from collections.abc import Callable
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import Store
from damaskdeck.state.segments import Keys


class Backing(NamedTuple):
    """A ledger's place in the store.

    :param value_limit: bytes of the largest value that the store takes.
    :param identify: returns a new unique identifier for a write.
    """

    store: Store
    clock: Clock
    keys: Keys
    value_limit: int
    identify: Callable[[], str]
