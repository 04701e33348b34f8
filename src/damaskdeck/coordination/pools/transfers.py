"""How ownership passes on: what an owner decides under, and the commits that end it."""

from typing import NamedTuple

from damaskdeck.protocol.transactions import Transaction, Write
from damaskdeck.state.jobrecords import (
    FENCE_KEY,
    LEAD_KEY,
    OWNER_KEY,
    FenceRecord,
    MemberRecord,
    OwnerRecord,
    encode_record,
)


class OwnerTerm(NamedTuple):
    """What an owner decides under.

    :param revision: of the owner's record, which new jobs are stored against.
    :param fence: revision of the fence key when the mandate began.
    :param predecessor: whose orders may still be carried out, if any.
    """

    epoch: int
    revision: int
    fence: int
    predecessor: OwnerRecord | None


def build_takeover(
    record: OwnerRecord, revision: int, fence: int, lease: str
) -> Transaction:
    """Return the commit by which a daemon becomes owner.

    :param revision: of the owner's record, as it was seen.
    :param fence: revision of the fence key; writing it ends the old owner's commits.
    :param lease: of the new owner, which its hint is bound to.
    """
    return Transaction(
        ((OWNER_KEY, revision), (FENCE_KEY, fence)),
        (
            Write(OWNER_KEY, encode_record(record)),
            Write(FENCE_KEY, encode_record(FenceRecord(record.epoch, 0))),
            Write(LEAD_KEY, encode_record(record.epoch), lease),
        ),
    )


def build_release(
    term: OwnerTerm, member: MemberRecord, successor: str, fence: int
) -> Transaction:
    """Return the commit by which an owner hands over.

    :param successor: who should take over first.
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
