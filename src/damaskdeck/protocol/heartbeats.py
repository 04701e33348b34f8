"""Messages about membership and ownership between daemons."""

from typing import NotRequired, TypedDict

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Count, Milliseconds


class MemberFields(TypedDict):
    """Encoded form of :class:`damaskdeck.protocol.members.Member`."""

    name: str
    zone: str
    region: str
    peer_address: str
    api_address: str
    incarnation: str


class Echo(TypedDict):
    """The last heartbeat that the sender received from the receiver.

    :ivar number: number of that heartbeat.
    :ivar session: the session in it.
    :ivar promise: lease grant, in milliseconds from now on: the sender takes over
        nothing from the receiver for this time.
    :ivar promised: for how many milliseconds the grants of other daemons still let
        the sender decide; the receiver may not be among the granting daemons.
    """

    number: Count
    session: str
    promise: NotRequired[Milliseconds]
    promised: NotRequired[Milliseconds]


class ReportFields(TypedDict):
    """A report of the sender.

    :ivar version: rises with each new value of the topic.
    :ivar value: absent when the receiver should already have this version.
    """

    version: Count
    value: NotRequired[bytes]


class Digest(TypedDict):
    """A member of another zone that the sender knows, with its latest reports.

    :ivar age: milliseconds since the last heartbeat of that member.
    """

    member: MemberFields
    age: Milliseconds
    reports: dict[str, bytes]


@message("heartbeat")
class Heartbeat(TypedDict):
    """A heartbeat, sent periodically to some peers.

    :ivar session: names the lease under which the sender is registered.
    :ivar ages: milliseconds since the last heartbeats of members of another zone.
    :ivar digests: some of these members in turn, limited in bytes.
    """

    member: MemberFields
    number: Count
    session: str
    leaving: NotRequired[bool]
    echo: NotRequired[Echo]
    reports: NotRequired[dict[str, ReportFields]]
    ages: NotRequired[dict[str, Milliseconds]]
    digests: NotRequired[list[Digest]]


@message("goodbye")
class Goodbye(TypedDict):
    """The sender has revoked its lease and takes over nothing any more."""

    session: str


@message("table_change")
class TableChange(TypedDict):
    """The sender wrote an ownership table; saves the receiver a call to the store.

    :ivar revision: the store's revision of the write.
    :ivar value: the whole table as stored.
    """

    key: str
    revision: Count
    value: bytes
