"""The port to a store with transactions over several keys and paged lists.

It answers with the values of :mod:`damaskdeck.protocol.ports`; what it adds are
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
    """Changes that take effect together or not at all.

    :param expected: the revision of each key named, 0 when it must not exist.
    """

    expected: tuple[tuple[str, int], ...] = ()
    writes: tuple[Write, ...] = ()
    removals: tuple[str, ...] = ()


@distinct
class Mismatch(NamedTuple):
    """Nothing was changed; the expected keys that exist, as they are now."""

    entries: tuple[Entry, ...]

    def find(self, key: str) -> Entry | None:
        """Return the current entry of ``key``, ``None`` when it doesn't exist."""
        return next((entry for entry in self.entries if entry.key == key), None)


@distinct
class Unchanged(NamedTuple):
    """The key is as it was, as of the store's ``revision``."""

    revision: int


@distinct
class ReplyTooLarge(NamedTuple):
    """There is an answer of that many bytes, which was not read.

    To a watch it says that there are changes, to a commit that nothing was changed.
    """

    size: int


@distinct
class Page(NamedTuple):
    """A page of the keys below a prefix, in order; pages are no snapshot.

    :param has_more: ask again after the last key.
    :param revision: of the store when the page was read.
    """

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


CommitResult = Written | Mismatch | Lapsed | Rejected | Lost


class TransactionalStore(Protocol):
    """The platform's key-value service as the pools use it.

    Revisions are one rising number for the whole store; a key that is bound to
    a lease may vanish at any time.
    """

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key; the answer is linearizable."""

    async def read_changed(
        self, key: str, revision: int, within: timedelta | None = None
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key unless ``revision`` still is its last; linearizable.

        :param revision: of the key as it is known, 0 when it didn't exist.
        :param within: given up when no answer has begun by then.
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

        :param timeout: how long to wait for the answer, if less than usual.
        :param max_reply_bytes: bytes of an answer beyond which it isn't read.
        """

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait: timedelta,
        max_reply_bytes: int | None = None,
    ) -> Events | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one.

        :param max_reply_bytes: bytes of an answer beyond which it isn't read.
        """

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Open a lease."""

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease for its whole time, counted from the call's arrival."""

    @property
    def entry_limit(self) -> int:
        """How many keys a transaction may name in all."""


async def read_all(
    store: TransactionalStore, prefix: str
) -> tuple[tuple[Entry, ...], int] | Rejected | Lost:
    """Read all keys below ``prefix``.

    :returns: the entries and the revision of the first page, from which a watch
        misses nothing.
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
        if not page.has_more or not page.entries:
            return tuple(entries), revision
        after = page.entries[-1].key
