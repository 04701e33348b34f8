"""Client accounts: their API keys, and what each account may use.

Keys are secrets. Only their digests are stored, here and in messages between
daemons; log lines and metrics name the account.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.logs import get_logger
from damaskdeck.protocol.sizes import Size

# A quota that is never reached. It is an integer, so that sums with usage are exact.
UNLIMITED = 2**50
UNLIMITED_SIZE = Size(UNLIMITED, UNLIMITED, UNLIMITED)

_log = get_logger("accounts")


class ClientAccount(NamedTuple):
    """A client account with its limits.

    :param digests: digests of its keys; see :func:`digest_key`.
    :param weight: its share when all capacity is used, and the number of jobs per
        second that it can count on.
    :param rank: rank of its jobs; 0 comes first.
    :param quota: what it may have running in all pools together; a dimension
        without a limit is :data:`UNLIMITED`.
    """

    name: str
    digests: frozenset[bytes] = frozenset()
    weight: float = 1.0
    rank: int = 0
    quota: Size = UNLIMITED_SIZE


class ClientAccounts:
    """The accounts of one document, found by the digest of a key in constant time.

    A key of several accounts is rejected, as it is ambiguous whose work it submits.
    """

    def __init__(self, accounts: Iterable[ClientAccount] = ()) -> None:
        self._accounts_by_name: dict[str, ClientAccount] = {}
        self._accounts_by_digest: dict[bytes, ClientAccount | None] = {}
        for account in accounts:
            self._add(account)

    def _add(self, account: ClientAccount) -> None:
        self._accounts_by_name[account.name] = account
        for digest in account.digests:
            if digest in self._accounts_by_digest:
                _log.error(
                    "A key of several accounts is rejected.",
                    code="ambiguous_key",
                    account=account.name,
                )
                self._accounts_by_digest[digest] = None
            else:
                self._accounts_by_digest[digest] = account

    def __len__(self) -> int:
        return len(self._accounts_by_name)

    def __iter__(self):
        return iter(self._accounts_by_name.values())

    def find(self, digest: bytes) -> ClientAccount | None:
        """Return the account with this key digest, ``None`` when there is none."""
        return self._accounts_by_digest.get(digest)

    def get(self, name: str) -> ClientAccount | None:
        """Return the account of that name."""
        return self._accounts_by_name.get(name)


NO_ACCOUNTS = ClientAccounts()


def digest_key(key: bytes) -> bytes:
    """Return the 32-byte digest of a key, from which the key can't be derived.

    :param key: the key as the caller sends it.
    """
    return hashlib.sha256(key).digest()


def build_quota(declared: Size) -> Size:
    """Return a quota from declared limits, of which 0 means no limit."""
    return Size(*(limit or UNLIMITED for limit in declared))
