"""What this daemon knows of each other one, and how that is written."""

from datetime import timedelta

from damaskdeck.coordination.members.tenures import NEVER
from damaskdeck.protocol.heartbeats import MemberFields
from damaskdeck.protocol.members import Member, Report


class Contact:
    """What this daemon knows of another one.

    :ivar heard: when it was heard last, by itself or through others.
    :ivar seen_session: the session under which the store showed it last.
    :ivar first_hand: when it was heard last, but not through this zone.
    :ivar direct: when it was heard last by its own heartbeat.
    :ivar echoed: when the heartbeat was sent that it echoed last.
    :ivar vouched_until: how long it takes over nothing from this daemon.
    :ivar promised: the last of its heartbeats that a promise answered.
    """

    def __init__(self, member: Member, heard: timedelta = NEVER) -> None:
        self.member = member
        self.session = ""
        self.seen_session = ""
        self.heard = heard
        self.first_hand = NEVER
        self.direct = NEVER
        self.number = 0
        self.echoed = NEVER
        self.vouched_until = NEVER
        self.promised = 0
        self.is_leaving = False
        self.sent_versions: dict[str, int] = {}
        self.versions: dict[str, int] = {}
        self.reports: dict[str, Report] = {}


def to_fields(member: Member) -> MemberFields:
    """Return a member as it is sent."""
    return member._asdict()  # type: ignore[return-value]


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds."""
    return duration // timedelta(milliseconds=1)
