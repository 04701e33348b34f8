"""The owners before the present one that may still extend leases of workers."""

from collections.abc import Callable

from damaskdeck.state.jobrecords import (
    FIRST_EPOCH,
    FormerOwner,
    FormerOwnersRecord,
    OwnerRecord,
    decode_record,
)


class FormerOwners:
    """Tells which former owners a takeover has to reckon with.

    :param is_gone: returns whether a process is known to have ended.
    :param own: this process, which extends no lease of a term that it doesn't hold.
    """

    def __init__(self, is_gone: Callable[[str, str], bool], own: FormerOwner) -> None:
        self._is_gone = is_gone
        self._own = own
        self._record = FormerOwnersRecord(0)

    def apply(self, value: bytes | None) -> None:
        """Apply the record in the store.

        :raises MessageError: if it can't be decoded.
        """
        if value is not None:
            record = decode_record(FormerOwnersRecord, value)
            if record.epoch > self._record.epoch:
                self._record = record

    def list_earlier(
        self, owner: OwnerRecord, has_long_owned: bool
    ) -> tuple[FormerOwner, ...] | None:
        """List those before an owner, ``None`` if they are unknown.

        :param has_long_owned: whether the owner leases of all before it have expired.
        """
        if has_long_owned or owner.epoch == FIRST_EPOCH:
            return ()
        if self._record.epoch != owner.epoch:
            return None
        return self._retain(self._record.owners)

    def list_all(
        self, owner: OwnerRecord | None, earlier: tuple[FormerOwner, ...] | None
    ) -> tuple[FormerOwner, ...] | None:
        """List those that its successor records: an owner and those before it."""
        if earlier is None or owner is None or owner.is_released:
            return earlier
        return (*earlier, *self._retain((make_former(owner),)))

    def _retain(self, owners: tuple[FormerOwner, ...]) -> tuple[FormerOwner, ...]:
        return tuple(o for o in owners if o != self._own and not self._is_gone(*o))


def make_former(owner: OwnerRecord) -> FormerOwner:
    """Return the process of an owner."""
    return FormerOwner(owner.instance, owner.incarnation)
