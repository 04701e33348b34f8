"""Transfer of ownership: the term of an owner and the commits that begin and end it."""

from typing import NamedTuple

from damaskdeck.protocol.transactions import Transaction, Write
from damaskdeck.state.jobrecords import (
    FENCE_KEY,
    FORMER_OWNERS_KEY,
    LEAD_KEY,
    OWNER_KEY,
    FenceRecord,
    FormerOwner,
    FormerOwnersRecord,
    MemberRecord,
    OwnerRecord,
    encode_record,
)


class OwnerTerm(NamedTuple):
    """What an owner decides under: a numbered epoch with its fence.

    :param revision: of the owner's record, which commits of new jobs expect.
    :param fence: revision of the fence key when the term began.
    :param predecessor: the owner whose orders may still be carried out, if any.
    :param predecessor_seen_at: when this daemon first saw that owner named, in
        monotonic seconds. All owners before it had been deposed by then.
    :param earlier: the owners before the predecessor that may still extend leases of
        workers, ``None`` if they are unknown.
    """

    epoch: int
    revision: int
    fence: int
    predecessor: OwnerRecord | None
    predecessor_seen_at: float = 0.0
    earlier: tuple[FormerOwner, ...] | None = ()


def build_takeover(
    record: OwnerRecord,
    former: tuple[FormerOwner, ...] | None,
    revision: int,
    fence: int,
    lease: str,
) -> Transaction:
    """Return the commit by which a daemon becomes the owner.

    :param former: the owners that may still extend leases of workers, ``None`` if they
        are unknown.
    :param revision: of the owner's record as last seen.
    :param fence: revision of the fence key; writing that key ends the old owner's
        commits.
    :param lease: store lease of the new owner, which its lead key is bound to.
    """
    writes = [
        Write(OWNER_KEY, encode_record(record)),
        Write(FENCE_KEY, encode_record(FenceRecord(record.epoch, 0))),
        Write(LEAD_KEY, encode_record(record.epoch), lease),
    ]
    if former is not None:
        value = encode_record(FormerOwnersRecord(record.epoch, former))
        writes.append(Write(FORMER_OWNERS_KEY, value))
    return Transaction(((OWNER_KEY, revision), (FENCE_KEY, fence)), tuple(writes))


def build_release(
    term: OwnerTerm, member: MemberRecord, successor: str, fence: int
) -> Transaction:
    """Return the commit by which an owner hands over.

    :param successor: the member that should take over first.
    :param fence: revision of the fence key as the owner last wrote it.
    """
    record = OwnerRecord(
        term.epoch, member.instance, member.incarnation, True, successor, fence
    )
    return Transaction(
        ((OWNER_KEY, term.revision),),
        (Write(OWNER_KEY, encode_record(record)),),
        (LEAD_KEY,),
    )
