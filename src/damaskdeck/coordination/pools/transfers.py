"""Transfer of ownership: the term of an owner and the commits that begin and end it."""

from typing import NamedTuple

from damaskdeck.protocol.transactions import Transaction, Write
from damaskdeck.state.jobrecords import (
    FENCE_KEY,
    FORMER_OWNERS_KEY,
    LEAD_KEY,
    OWNER_KEY,
    TERM_KEY,
    FenceRecord,
    FormerOwner,
    FormerOwnersRecord,
    MemberRecord,
    OwnerRecord,
    TermRecord,
    encode_record,
)


class GrantBounds(NamedTuple):
    """Until when leases may last because members let earlier owners go on.

    :param predecessor: for those of the last owner, in monotonic seconds.
    :param earlier: for those of the owners before it.
    """

    predecessor: float
    earlier: float


NO_GRANTS = GrantBounds(float("-inf"), float("-inf"))


class OwnerTerm(NamedTuple):
    """What an owner decides under: a numbered epoch with its fence.

    :param revision: of the owner's record, which commits of new jobs expect.
    :param fence: revision of the fence key when the term began.
    :param predecessor: the owner whose orders may still be carried out, if any.
    :param predecessor_seen_at: when this daemon first saw that owner named, in
        monotonic seconds. All owners before it had been deposed by then.
    :param earlier: the owners before the predecessor that may still extend leases of
        workers, ``None`` if they are unknown.
    :param begun_at: monotonic seconds when the takeover was known to have taken effect.
    :param grant_bounds: until when earlier owners' leases may last by what this daemon
        has granted.
    """

    epoch: int
    revision: int
    fence: int
    predecessor: OwnerRecord | None
    predecessor_seen_at: float = 0.0
    earlier: tuple[FormerOwner, ...] | None = ()
    begun_at: float = 0.0
    grant_bounds: GrantBounds = NO_GRANTS


def build_takeover(
    record: OwnerRecord,
    guarantees: tuple[str, ...],
    former: tuple[FormerOwner, ...] | None,
    revision: int,
    fence: int,
    member_key: tuple[str, int],
    lease: str,
) -> Transaction:
    """Return the commit by which a daemon becomes the owner.

    :param guarantees: what a successor may rely on.
    :param former: the owners that may still extend leases of workers, ``None`` if they
        are unknown.
    :param revision: of the owner's record as last seen.
    :param fence: revision of the fence key; writing that key ends the old owner's
        commits.
    :param member_key: the new owner's member key and its revision. An owner that could
        not know that member grants no lease beyond ``newcomer_wait`` after that.
    :param lease: store lease of the new owner, which its lead key is bound to.
    """
    writes = [
        Write(OWNER_KEY, encode_record(record)),
        Write(FENCE_KEY, encode_record(FenceRecord(record.epoch, 0))),
        Write(LEAD_KEY, encode_record(record.epoch), lease),
        Write(TERM_KEY, encode_record(TermRecord(record.epoch, guarantees))),
    ]
    if former is not None:
        value = encode_record(FormerOwnersRecord(record.epoch, former))
        writes.append(Write(FORMER_OWNERS_KEY, value))
    expected = (OWNER_KEY, revision), (FENCE_KEY, fence), member_key
    return Transaction(expected, tuple(writes))


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
