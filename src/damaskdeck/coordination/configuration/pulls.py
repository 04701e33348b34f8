"""Pulling of configuration that a peer has in force and this daemon lacks."""

from datetime import timedelta

from damaskdeck.metrics import count_retry
from damaskdeck.protocol.configurationmessages import (
    ConfigurationEntry,
    PullConfiguration,
    PullConfigurationReply,
)
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.ports import Event
from damaskdeck.state.changehistory import ResourceChanges
from damaskdeck.state.configuration import COMPONENT, Configuration
from damaskdeck.state.versions import ResourceVersion, encode_version, read_version

MAX_PART_BYTES = 262_144
PULL_TIMEOUT = timedelta(seconds=2)


def to_relayed(event: Event) -> ConfigurationEntry:
    """Return a change in its wire format."""
    return ConfigurationEntry(key=event.key, revision=event.revision, value=event.value)


def to_event(entry: ConfigurationEntry) -> Event:
    """Return the change that a relayed entry holds."""
    return Event(entry["key"], entry.get("value"), entry["revision"])


def apply_ahead(
    configuration: Configuration, entries: list[ConfigurationEntry]
) -> None:
    """Apply writes with revisions above a peer's base revision."""
    for entry in entries:
        version = read_version(to_event(entry))
        if version is not None:
            configuration.apply_ahead(version)


async def pull(peers: Peers, instance: str, configuration: Configuration) -> bool:
    """Fetch from a peer what it has after this daemon's revision.

    A snapshot may arrive in parts; they are applied only when all have the same
    revision.

    :returns: whether the answer was complete and could be applied.
    """
    known_revision = configuration.revision if configuration.is_loaded else -1
    message = PullConfiguration(revision=known_revision)
    events: list[Event] = []
    first: int | None = None
    while True:
        answer = await peers.call(instance, message, PullConfiguration, PULL_TIMEOUT)
        if not isinstance(answer, Answered):
            count_retry(COMPONENT, answer.code)
            return False
        reply: PullConfigurationReply = answer.message
        apply_ahead(configuration, reply.get("ahead", []))
        events += [to_event(entry) for entry in reply["entries"]]
        revision = reply["revision"]
        if not reply.get("is_snapshot"):
            return configuration.apply_changes(known_revision, events, revision)
        if first not in (None, revision):
            count_retry(COMPONENT, "snapshot_changed")
            return False
        if not reply.get("more"):
            return configuration.apply_snapshot(events, revision)
        if not events or events[-1].key <= message.get("after", ""):
            count_retry(COMPONENT, "snapshot_stuck")
            return False
        first = revision
        message = PullConfiguration(revision=known_revision, after=events[-1].key)


def answer_pull(
    configuration: Configuration, message: PullConfiguration
) -> PullConfigurationReply:
    """Return the requested changes, or a part of a snapshot."""
    if not configuration.is_loaded:
        return PullConfigurationReply(revision=-1, entries=[])
    found = configuration.history.read(message["revision"])
    if isinstance(found, ResourceChanges):
        reply = _pack_changes(found)
    else:
        reply = _pack_snapshot(configuration, message.get("after", ""))
    reply["ahead"] = [to_relayed(event) for event in configuration.dump_ahead()]
    return reply


def _pack_changes(found: ResourceChanges) -> PullConfigurationReply:
    """Return as many changes as fit into one message."""
    events = [encode_version(ResourceVersion(*change[:4])) for change in found.changes]
    cut = _limit_size(events)
    is_whole = len(cut) == len(events)
    revision = found.revision if is_whole else cut[-1].revision
    return PullConfigurationReply(
        revision=revision, entries=[to_relayed(e) for e in cut]
    )


def _pack_snapshot(configuration: Configuration, after: str) -> PullConfigurationReply:
    events = [event for event in configuration.dump() if event.key > after]
    cut = _limit_size(events)
    return PullConfigurationReply(
        revision=configuration.revision,
        entries=[to_relayed(event) for event in cut],
        is_snapshot=True,
        more=len(cut) < len(events),
    )


def _limit_size(events: list[Event]) -> list[Event]:
    """Return the first events that fit into one message, at least one."""
    size = 0
    for index, event in enumerate(events):
        size += len(event.key) + len(event.value or b"")
        if index and size > MAX_PART_BYTES:
            return events[:index]
    return events
