"""What this daemon knows of each other one, and how that is written."""

from dataclasses import dataclass, field
from datetime import timedelta

from damaskdeck.coordination.tenures import NEVER
from damaskdeck.protocol.heartbeats import MemberFields
from damaskdeck.protocol.members import Member, Report


@dataclass
class Contact:
    """What this daemon knows of another one.

    :param heard: when it was heard last, by itself or through others.
    :param seen_session: the session under which the store showed it last.
    :param first_hand: when it was heard last, but not through this zone.
    :param direct: when it was heard last by its own heartbeat.
    :param echoed: when the heartbeat was sent that it echoed last.
    :param vouched_until: how long it takes over nothing from this daemon.
    :param promised: the last of its heartbeats that a promise answered.
    """

    member: Member
    session: str = ""
    seen_session: str = ""
    heard: timedelta = NEVER
    first_hand: timedelta = NEVER
    direct: timedelta = NEVER
    number: int = 0
    echoed: timedelta = NEVER
    vouched_until: timedelta = NEVER
    promised: int = 0
    is_leaving: bool = False
    sent_versions: dict[str, int] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    reports: dict[str, Report] = field(default_factory=dict)


def to_fields(member: Member) -> MemberFields:
    """Return a member as it is sent."""
    return member._asdict()  # type: ignore[return-value]


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds."""
    return duration // timedelta(milliseconds=1)
