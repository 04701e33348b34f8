"""Pulling from a peer what it has in force and this daemon lacks."""

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

PART_LIMIT = 262_144
PULL_TIMEOUT = timedelta(seconds=2)


def pack(event: Event) -> ConfigurationEntry:
    """Return a change as it is relayed."""
    return ConfigurationEntry(key=event.key, revision=event.revision, value=event.value)


def unpack(entry: ConfigurationEntry) -> Event:
    """Return a relayed change."""
    return Event(entry["key"], entry.get("value"), entry["revision"])


def apply_ahead(
    configuration: Configuration, entries: list[ConfigurationEntry]
) -> None:
    """Apply writes that lie ahead of a peer's base."""
    for entry in entries:
        version = read_version(unpack(entry))
        if version is not None:
            configuration.apply_ahead(version)


async def pull(peers: Peers, instance: str, configuration: Configuration) -> bool:
    """Take from a peer what it has after this daemon's revision.

    A snapshot may come in parts; they count only when all are of one revision.
    """
    asked = configuration.revision if configuration.is_loaded else -1
    message = PullConfiguration(revision=asked)
    events: list[Event] = []
    first: int | None = None
    while True:
        answer = await peers.call(instance, message, PullConfiguration, PULL_TIMEOUT)
        if not isinstance(answer, Answered):
            count_retry(COMPONENT, answer.code)
            return False
        reply: PullConfigurationReply = answer.message
        apply_ahead(configuration, reply.get("ahead", []))
        events += [unpack(entry) for entry in reply["entries"]]
        revision = reply["revision"]
        if not reply.get("is_snapshot"):
            return configuration.apply_changes(asked, events, revision)
        if first not in (None, revision):
            count_retry(COMPONENT, "snapshot_changed")
            return False
        if not reply.get("more"):
            return configuration.apply_snapshot(events, revision)
        if not events or events[-1].key <= message.get("after", ""):
            count_retry(COMPONENT, "snapshot_stuck")
            return False
        first = revision
        message = PullConfiguration(revision=asked, after=events[-1].key)


def answer_pull(
    configuration: Configuration, message: PullConfiguration
) -> PullConfigurationReply:
    """Reply with the changes asked for, or a part of a snapshot."""
    if not configuration.is_loaded:
        return PullConfigurationReply(revision=-1, entries=[])
    found = configuration.history.read(message["revision"])
    if isinstance(found, ResourceChanges):
        reply = _pack_changes(found)
    else:
        reply = _pack_snapshot(configuration, message.get("after", ""))
    reply["ahead"] = [pack(event) for event in configuration.dump_ahead()]
    return reply


def _pack_changes(found: ResourceChanges) -> PullConfigurationReply:
    """Reply with as many changes as one message may hold."""
    events = [encode_version(ResourceVersion(*change[:4])) for change in found.changes]
    cut = _cut(events)
    is_whole = len(cut) == len(events)
    revision = found.revision if is_whole else cut[-1].revision
    return PullConfigurationReply(revision=revision, entries=[pack(e) for e in cut])


def _pack_snapshot(configuration: Configuration, after: str) -> PullConfigurationReply:
    events = [event for event in configuration.dump() if event.key > after]
    cut = _cut(events)
    return PullConfigurationReply(
        revision=configuration.revision,
        entries=[pack(event) for event in cut],
        is_snapshot=True,
        more=len(cut) < len(events),
    )


def _cut(events: list[Event]) -> list[Event]:
    """Return the first events that fit into one message, at least one."""
    size = 0
    for index, event in enumerate(events):
        size += len(event.key) + len(event.value or b"")
        if index and size > PART_LIMIT:
            return events[:index]
    return events
