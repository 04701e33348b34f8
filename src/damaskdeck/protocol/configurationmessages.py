"""Messages by which daemons hand changes of the configuration to each other."""

from typing import NotRequired, TypedDict

from damaskdeck.protocol.messages import message


class ConfigurationEntry(TypedDict):
    """A key of the store as of ``revision``; no ``value``: it was deleted."""

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
    """Asks for what came after ``revision``.

    ``after`` is the last key of the part of a snapshot that has come.
    """

    revision: int
    after: NotRequired[str]


@message("configuration/reply")
class PullConfigurationReply(TypedDict):
    """Answers a pull: the changes asked for, or a part of a whole snapshot.

    ``more`` tells that further parts follow; ask with the last key. ``ahead``
    are writes above ``revision`` that the replying daemon knows of.
    """

    revision: int
    entries: list[ConfigurationEntry]
    is_snapshot: NotRequired[bool]
    more: NotRequired[bool]
    ahead: NotRequired[list[ConfigurationEntry]]


@message("configuration/ask", reply="configuration/report")
class ReadConfigurationReport(TypedDict):
    """Asks for the receiver's report."""


@message("configuration/report")
class ConfigurationReport(TypedDict):
    """What each daemon's heartbeats and answers tell of its configuration.

    ``is_loaded``: whether it has any; ``reaches_store``: whether its last call
    to the store was answered; ``ahead``: revisions above ``revision`` that are
    in force already.
    """

    revision: int
    is_loaded: bool
    reaches_store: bool
    ahead: NotRequired[list[int]]
