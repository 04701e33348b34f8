"""Messages of membership and ownership between daemons."""

from typing import NotRequired, TypedDict

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Count, Milliseconds


class MemberFields(TypedDict):
    """A :class:`damaskdeck.protocol.members.Member` on the wire."""

    name: str
    zone: str
    region: str
    peer_address: str
    api_address: str
    incarnation: str


class Echo(TypedDict):
    """The last heartbeat heard from the receiver.

    :ivar number: its number.
    :ivar session: the session that it named.
    :ivar promise: for how many milliseconds from now on the sender takes over
        nothing from the receiver.
    :ivar promised: for how many milliseconds more the promises of others let
        the sender decide; the receiver may not be among those who gave them.
    """

    number: Count
    session: str
    promise: NotRequired[Milliseconds]
    promised: NotRequired[Milliseconds]


class ReportFields(TypedDict):
    """A report of the sender.

    :ivar version: rises with each new value of the topic.
    :ivar value: absent when the receiver should have this version.
    """

    version: Count
    value: NotRequired[bytes]


class Digest(TypedDict):
    """A member of another zone that the sender heard, and its latest reports.

    :ivar age: milliseconds since that member was heard.
    """

    member: MemberFields
    age: Milliseconds
    reports: dict[str, bytes]


@message("heartbeat")
class Heartbeat(TypedDict):
    """A sign of life, sent in an interval to some peers.

    :ivar session: names the lease under which the sender is registered.
    :ivar ages: milliseconds since members of another zone were heard.
    :ivar digests: some of them in turn, within a limit of bytes.
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
    """The sender has given up its lease and will take over nothing any more."""

    session: str


@message("table_change")
class TableChange(TypedDict):
    """The sender wrote a table of owners; saves the receiver a call to the store.

    :ivar revision: the store's revision of the write.
    :ivar value: the whole table as it stands in the store.
    """

    key: str
    revision: Count
    value: bytes
