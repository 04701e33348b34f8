"""Exceptions, each with a stable code.

Expected failures are outcome values (:mod:`damaskdeck.protocol.outcomes`). Exceptions
are raised for broken invariants and for invalid input such as settings or bytes that
can't be decoded.
"""

from typing import ClassVar, NamedTuple

import msgspec

# All errors that decoding arbitrary bytes can raise. msgspec has no limit on nesting,
# so deep nesting ends with a RecursionError.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class Fault(NamedTuple):
    """An error in a document.

    :param path: path of the field, such as ``spec.resources.memory``.
    :param code: stable code, such as ``unknown_field``.
    :param detail: human-readable text that says what is allowed.
    """

    path: str
    code: str
    detail: str


class DamaskdeckError(Exception):
    """Base class of all exceptions of this package."""

    code: ClassVar[str] = "internal"


class InvariantError(DamaskdeckError):
    """An invariant was about to be violated; the process must stop."""

    code = "broken_invariant"


class DocumentError(DamaskdeckError):
    """A settings file or a resource is invalid.

    :param faults: all faults found, not only the first.
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
    """A ledger's values in the store can't be decoded; the ledger stays closed."""

    code = "unreadable_ledger"
