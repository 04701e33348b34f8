"""Messages by which daemons exchange changes of the configuration."""

from typing import NotRequired, TypedDict

from damaskdeck.protocol.messages import message


class ConfigurationEntry(TypedDict):
    """A key of the store as of ``revision``; without ``value`` it was deleted."""

    key: str
    revision: int
    value: NotRequired[bytes | None]


@message("configuration/changes")
class ConfigurationChanges(TypedDict):
    """All changes after ``base`` and up to ``revision``, in order."""

    base: int
    revision: int
    entries: list[ConfigurationEntry]


@message("configuration/accepted")
class ConfigurationAccepted(TypedDict):
    """A write that the store has just accepted from the sender."""

    entry: ConfigurationEntry


@message("configuration/pull", reply="configuration/reply")
class PullConfiguration(TypedDict):
    """Request the changes after ``revision``.

    ``after`` is the last received key of a snapshot that comes in parts.
    """

    revision: int
    after: NotRequired[str]


@message("configuration/reply")
class PullConfigurationReply(TypedDict):
    """The requested changes, or a part of a complete snapshot.

    ``more`` says that more parts follow; request them with the last key. ``ahead``
    are writes above ``revision`` that the replying daemon knows.
    """

    revision: int
    entries: list[ConfigurationEntry]
    is_snapshot: NotRequired[bool]
    more: NotRequired[bool]
    ahead: NotRequired[list[ConfigurationEntry]]


@message("configuration/ask", reply="configuration/report")
class ReadConfigurationReport(TypedDict):
    """Request the receiver's report."""


@message("configuration/report")
class ConfigurationReport(TypedDict):
    """State of a daemon's configuration, in its heartbeats and replies.

    ``is_loaded``: whether it has any; ``reaches_store``: whether its last call to
    the store was answered; ``ahead``: revisions above ``revision`` that are already
    in force.
    """

    revision: int
    is_loaded: bool
    reaches_store: bool
    ahead: NotRequired[list[int]]
