"""Client accounts: whose keys callers show, and what each account may use.

Keys are secrets: only their digests are kept, here and in messages between daemons,
and lines and metrics name the account.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.logs import get_logger
from damaskdeck.protocol.sizes import Size

# A quota that nothing reaches; sums of it with what is used stay whole numbers.
UNLIMITED = 2**50
UNLIMITED_SIZE = Size(UNLIMITED, UNLIMITED, UNLIMITED)

_log = get_logger("accounts")


class ClientAccount(NamedTuple):
    """Who calls, and what the operators let it use.

    :param digests: of its keys; see :func:`digest_key`.
    :param weight: its share when all is full, and the jobs a second that it may
        count on.
    :param rank: 0 comes first.
    :param quota: what it may have running in all pools together; a dimension
        without a limit is :data:`UNLIMITED`.
    """

    name: str
    digests: frozenset[bytes] = frozenset()
    weight: float = 1.0
    rank: int = 0
    quota: Size = UNLIMITED_SIZE


class ClientAccounts:
    """The accounts of one document, found by a key's digest in constant time.

    A key of several accounts is nobody's: it can't be told whose work it hands in.
    """

    def __init__(self, accounts: Iterable[ClientAccount] = ()) -> None:
        self._names: dict[str, ClientAccount] = {}
        self._digests: dict[bytes, ClientAccount | None] = {}
        for account in accounts:
            self._add(account)

    def _add(self, account: ClientAccount) -> None:
        self._names[account.name] = account
        for digest in account.digests:
            if digest in self._digests:
                _log.error(
                    "A key is declared twice: nobody may use it.",
                    code="ambiguous_key",
                    account=account.name,
                )
                self._digests[digest] = None
            else:
                self._digests[digest] = account

    def __len__(self) -> int:
        return len(self._names)

    def __iter__(self):
        return iter(self._names.values())

    def find(self, digest: bytes) -> ClientAccount | None:
        """Return whose key has this digest, ``None`` when it is nobody's."""
        return self._digests.get(digest)

    def get(self, name: str) -> ClientAccount | None:
        """Return the account of that name."""
        return self._names.get(name)


NO_ACCOUNTS = ClientAccounts()


def digest_key(key: bytes) -> bytes:
    """Return what of a key is kept: 32 bytes that don't tell the key.

    :param key: as a caller shows it.
    """
    return hashlib.sha256(key).digest()


def build_quota(declared: Size) -> Size:
    """Return a quota from declared limits, of which 0 sets none."""
    return Size(*(limit or UNLIMITED for limit in declared))
