"""The port to a store with multi-key transactions and paged lists.

It returns the values of :mod:`damaskdeck.protocol.ports` and, in addition,
:class:`Mismatch`, :class:`Page`, :class:`Unchanged` and :class:`ReplyTooLarge`.
"""

from datetime import timedelta
from typing import NamedTuple, Protocol

from damaskdeck.protocol.ports import (
    Entry,
    Events,
    Found,
    Granted,
    Lapsed,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
    Written,
)
from damaskdeck.protocol.values import distinct


class Write(NamedTuple):
    """A key to write.

    :param lease: the lease to bind the key to, or an empty string.
    """

    key: str
    value: bytes
    lease: str = ""


class Transaction(NamedTuple):
    """Changes that take effect atomically.

    :param expected: the revision of each named key, 0 when it must not exist.
    :param removals: keys to delete.
    """

    expected: tuple[tuple[str, int], ...] = ()
    writes: tuple[Write, ...] = ()
    removals: tuple[str, ...] = ()


@distinct
class Mismatch(NamedTuple):
    """An expected revision was wrong and nothing was changed.

    :param entries: the expected keys that exist, as they are now.
    """

    entries: tuple[Entry, ...]

    def find(self, key: str) -> Entry | None:
        """Return the current entry of ``key``, ``None`` when it doesn't exist."""
        return next((entry for entry in self.entries if entry.key == key), None)


@distinct
class Unchanged(NamedTuple):
    """The key is unchanged as of the store's ``revision``."""

    revision: int


@distinct
class ReplyTooLarge(NamedTuple):
    """A reply of ``size`` bytes was not read.

    For a watch it means that there are changes, for a commit that nothing was
    changed.
    """

    size: int


@distinct
class Page(NamedTuple):
    """A page of the keys below a prefix, in order; pages are not a snapshot.

    :param has_more: whether there are more keys after the last one.
    :param revision: revision of the store when the page was read.
    """

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


CommitResult = Written | Mismatch | Lapsed | Rejected | Lost


class TransactionalStore(Protocol):
    """The platform's key-value service as the pools use it.

    The store has one revision number that rises with each write. A key that is
    bound to a lease may be deleted at any time.
    """

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key; the read is linearizable."""

    async def read_changed(
        self, key: str, revision: int, first_byte_timeout: timedelta | None = None
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key unless ``revision`` is still its last; linearizable.

        :param revision: the known revision of the key, 0 when it didn't exist.
        :param first_byte_timeout: abandon the read when no reply has begun by then.
        """

    async def read_page(self, prefix: str, after: str) -> Page | Rejected | Lost:
        """Read keys below ``prefix`` that come after the key ``after``."""

    async def commit(
        self,
        transaction: Transaction,
        timeout: timedelta | None = None,
        max_reply_bytes: int | None = None,
    ) -> CommitResult | ReplyTooLarge:
        """Change up to :attr:`entry_limit` keys; ``Lost`` may still take effect.

        :param timeout: how long to wait for the reply, if shorter than usual.
        :param max_reply_bytes: a larger reply is not read.
        """

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait: timedelta,
        max_reply_bytes: int | None = None,
    ) -> Events | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one.

        :param max_reply_bytes: a larger reply is not read.
        """

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Create a lease."""

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease for its full time, counted from the arrival of the call."""

    @property
    def entry_limit(self) -> int:
        """Maximum number of keys that a transaction may name."""


async def read_all(
    store: TransactionalStore, prefix: str
) -> tuple[tuple[Entry, ...], int] | Rejected | Lost:
    """Read all keys below ``prefix``.

    :returns: the entries and the revision of the first page; a watch from it misses
        no change.
    """
    entries: list[Entry] = []
    revision = 0
    after = ""
    while True:
        page = await store.read_page(prefix, after)
        if not isinstance(page, Page):
            return page
        revision = revision or page.revision
        entries.extend(page.entries)
        if not page.has_more:
            return tuple(entries), revision
        if not page.entries:
            # The next page can't be requested, and a list that lacks keys would be
            # taken for proof that they don't exist.
            return Lost("incomplete_list", f"after {after!r}")
        after = page.entries[-1].key
