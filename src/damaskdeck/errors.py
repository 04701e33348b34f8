"""Exceptions, each with a stable code.

Expected failures are outcome values (:mod:`damaskdeck.protocol.outcomes`);
an exception is raised for a broken invariant and at the edges only, as for
settings and for bytes that can't be decoded.
"""

from typing import ClassVar, NamedTuple

import msgspec

# What decoding ends with, whatever the bytes; nesting has no limit of its own.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class Fault(NamedTuple):
    """One thing wrong with a document.

    :param path: where, as in ``spec.resources.memory``.
    :param code: stable code, as in ``unknown_field``.
    :param detail: what is allowed, for people.
    """

    path: str
    code: str
    detail: str


class DamaskdeckError(Exception):
    """Root of all exceptions of this package."""

    code: ClassVar[str] = "internal"


class InvariantError(DamaskdeckError):
    """A promise was about to be broken; the process must stop."""

    code = "broken_invariant"


class DocumentError(DamaskdeckError):
    """A settings file or a resource has faults.

    :param faults: every fault found, not only the first.
    """

    code = "invalid_document"

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        self.faults = faults
        super().__init__("; ".join(f"{f.path}: {f.detail}" for f in faults))


class SettingsError(DocumentError):
    """A settings file can't be used."""

    code = "invalid_settings"


class MessageError(DamaskdeckError):
    """A peer or the platform sent bytes that can't be decoded."""

    code = "invalid_message"


class LedgerError(DamaskdeckError):
    """A ledger's values in the store can't be read; it stays closed."""

    code = "unreadable_ledger"
