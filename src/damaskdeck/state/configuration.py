"""The declared resources in force on this daemon; revisions never go back."""

from collections.abc import Iterable

from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, set_revision
from damaskdeck.protocol.handlers import ConfigurationHandler
from damaskdeck.protocol.ports import Event
from damaskdeck.protocol.resources import DECLARED_KINDS, Kind, Resource
from damaskdeck.state.changehistory import ChangeHistory, ResourceChange
from damaskdeck.state.versions import (
    ResourceVersion,
    encode_version,
    make_key,
    read_version,
)

COMPONENT = "configuration"

# In the class the method ``list`` hides the built-in type.
_VersionList = list[ResourceVersion]

_log = get_logger(COMPONENT)


class Configuration:
    """Implements :class:`ConfigurationReader`.

    The base is exactly the state of the store as of ``revision``. Writes that this
    daemon learns of before it has all changes below them are kept ahead of the
    base. They are in force, too.

    Guarantee: "A configuration the system has accepted is in force everywhere
    within seconds and never reverts."

    :param history: records the changes of the base in order.
    """

    def __init__(self, history: ChangeHistory | None = None) -> None:
        self.history = history or ChangeHistory()
        self._is_loaded = False
        self._revision = 0
        self._base: dict[Kind, dict[str, ResourceVersion]] = {
            k: {} for k in DECLARED_KINDS
        }
        self._ahead: dict[tuple[Kind, str], ResourceVersion] = {}
        self._sorted: dict[Kind, tuple[Resource, ...]] = {}
        self._handlers: list[ConfigurationHandler] = []

    @property
    def is_loaded(self) -> bool:
        """Whether a complete state was ever applied."""
        return self._is_loaded

    @property
    def revision(self) -> int:
        """The revision up to which all changes are in force."""
        return self._revision

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Return a declared resource."""
        version = self._ahead.get((kind, name)) or self._base[kind].get(name)
        return version.resource if version else None

    def list(self, kind: Kind) -> tuple[Resource, ...]:
        """List the declared resources of a kind in order of name."""
        found = self._sorted.get(kind)
        if found is None:
            found = self._sorted[kind] = self._sort(kind)
        return found

    def subscribe(self, handler: ConfigurationHandler) -> None:
        """Call ``handler(kind, name, resource)`` on each change.

        ``resource`` is ``None`` for a deletion.
        """
        self._handlers.append(handler)

    @property
    def ahead_revisions(self) -> frozenset[int]:
        """Revisions above :attr:`revision` that are already in force."""
        return frozenset(version.revision for version in self._ahead.values())

    def dump(self) -> tuple[Event, ...]:
        """Return the base as of ``revision``, in order of key, for a peer."""
        versions = [v for names in self._base.values() for v in names.values()]
        return tuple(sorted(encode_version(version) for version in versions))

    def dump_ahead(self) -> tuple[Event, ...]:
        """Return the writes that are ahead of the base, for a peer."""
        return tuple(encode_version(version) for version in self._ahead.values())

    def apply_changes(self, base: int, events: Iterable[Event], revision: int) -> bool:
        """Apply all changes after ``base`` and up to ``revision``, in order.

        :returns: whether they follow on the known state; otherwise there is a gap.
        """
        if not self._is_loaded or base > self._revision:
            return False
        if revision <= self._revision:
            return True
        known, self._revision = self._revision, revision
        versions = [v for e in events if e.revision > known and (v := _decode_event(e))]
        changes, notifications = self._replace_all(versions)
        self.history.record(changes, revision)
        set_revision(revision)
        self._notify(notifications)
        return True

    def apply_snapshot(self, events: Iterable[Event], revision: int) -> bool:
        """Apply the complete state as of ``revision``.

        :returns: whether it was new enough; an older snapshot changes nothing.
        """
        if self._is_loaded and revision <= self._revision:
            if revision < self._revision:
                count_drop(COMPONENT, "older_read")
            return revision == self._revision
        known = self._revision if self._is_loaded else -1
        listed = {event.key: event for event in events}
        versions = [
            v for e in listed.values() if e.revision > known and (v := _decode_event(e))
        ]
        versions += self._list_missing(listed, revision)
        self._is_loaded, self._revision = True, revision
        _, notifications = self._replace_all(versions)
        self.history.reset(revision)
        set_revision(revision)
        self._notify(notifications)
        return True

    def apply_ahead(self, version: ResourceVersion) -> None:
        """Apply one version without knowing all changes below it."""
        key = (version.kind, version.name)
        known = self._ahead.get(key) or self._base[version.kind].get(version.name)
        lowest = max(self._revision, known.revision if known else 0)
        if version.revision <= lowest:
            return
        self._ahead[key] = version
        self._sorted.pop(version.kind, None)
        self._notify([version])

    def _sort(self, kind: Kind) -> tuple[Resource, ...]:
        names = set(self._base[kind])
        names.update(name for ahead, name in self._ahead if ahead is kind)
        found = (self.get(kind, name) for name in sorted(names))
        return tuple(resource for resource in found if resource is not None)

    def _list_missing(self, listed: dict[str, Event], revision: int) -> _VersionList:
        known_keys = {
            (v.kind, v.name) for names in self._base.values() for v in names.values()
        }
        known_keys.update(k for k, v in self._ahead.items() if v.revision <= revision)
        return [
            ResourceVersion(kind, name, revision, None)
            for kind, name in sorted(known_keys)
            if make_key(kind, name) not in listed
        ]

    def _replace_all(
        self, versions: Iterable[ResourceVersion]
    ) -> tuple[tuple[ResourceChange, ...], _VersionList]:
        """Replace versions in the base.

        :returns: the changes of the base, and the versions that subscribers have not
            seen.
        """
        changes, notifications = [], []
        for version in versions:
            change = self._replace(version)
            is_change = bool(change.resource or change.previous)
            if is_change:
                changes.append(change)
            if self._drop_superseded(version, is_change):
                notifications.append(version)
        return tuple(changes), notifications

    def _replace(self, version: ResourceVersion) -> ResourceChange:
        names = self._base[version.kind]
        previous = names.get(version.name)
        if version.resource is None:
            names.pop(version.name, None)
        else:
            names[version.name] = version
        before = previous.resource if previous else None
        return ResourceChange(*version, previous=before)

    def _drop_superseded(self, version: ResourceVersion, is_change: bool) -> bool:
        """Drop the write ahead of the base that ``version`` supersedes.

        :returns: whether subscribers have not seen ``version``.
        """
        self._sorted.pop(version.kind, None)
        key = (version.kind, version.name)
        ahead = self._ahead.get(key)
        if ahead is None:
            return is_change
        if ahead.revision <= version.revision:
            del self._ahead[key]
        return ahead.revision < version.revision

    def _notify(self, versions: Iterable[ResourceVersion]) -> None:
        for version in versions:
            for handler in self._handlers:
                handler(version.kind, version.name, version.resource)


def _decode_event(event: Event) -> ResourceVersion | None:
    version = read_version(event)
    if version is None:
        _log.error("Ignored an unreadable value.", key=event.key)
        count_drop(COMPONENT, "invalid_value")
    return version
