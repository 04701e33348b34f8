"""State that this daemon keeps for each peer, and conversions for the wire."""

from datetime import timedelta

from damaskdeck.coordination.members.ownerleases import NEVER
from damaskdeck.protocol.heartbeats import MemberFields
from damaskdeck.protocol.members import Member, Report


class PeerState:
    """What this daemon knows of one peer.

    Times are of the local monotonic clock.

    :ivar session: the session that its last heartbeat named.
    :ivar registered_session: the session under which the store listed it last.
    :ivar last_seen: when a heartbeat of it last reached this daemon or a relay.
    :ivar last_seen_outside_zone: the same, without relays in this zone.
    :ivar last_heartbeat_at: when its last own heartbeat arrived.
    :ivar number: number of that heartbeat.
    :ivar echo_sent_at: when the latest own heartbeat that it echoed was sent.
    :ivar granted_until: until when it has agreed to take over nothing from here.
    :ivar granted_number: its last heartbeat that was answered with a lease grant.
    :ivar sent_versions: versions of the own reports that were sent to it.
    :ivar report_versions: versions of its latest reports, by topic.
    """

    def __init__(self, member: Member, last_seen: timedelta = NEVER) -> None:
        self.member = member
        self.session = ""
        self.registered_session = ""
        self.last_seen = last_seen
        self.last_seen_outside_zone = NEVER
        self.last_heartbeat_at = NEVER
        self.number = 0
        self.echo_sent_at = NEVER
        self.granted_until = NEVER
        self.granted_number = 0
        self.is_leaving = False
        self.sent_versions: dict[str, int] = {}
        self.report_versions: dict[str, int] = {}
        self.reports: dict[str, Report] = {}


def to_fields(member: Member) -> MemberFields:
    """Return the member in its wire format."""
    return member._asdict()  # type: ignore[return-value]


def to_milliseconds(duration: timedelta) -> int:
    """Return the duration in whole milliseconds, rounded down."""
    return duration // timedelta(milliseconds=1)
