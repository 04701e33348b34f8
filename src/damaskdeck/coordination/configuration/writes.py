"""Operators' writes of declared resources, by compare-and-swap in the store."""

import secrets
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.configuration.rules import check_delete, check_write
from damaskdeck.errors import Fault
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal, count_retry
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.ports import (
    Conflict,
    Entry,
    Event,
    Events,
    Found,
    Lost,
    Rejected,
    Store,
    Written,
)
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.state.configuration import COMPONENT, Configuration
from damaskdeck.state.versions import (
    ResourceVersion,
    decode_value,
    encode_deletion,
    encode_resource,
    make_key,
    read_version,
)

RACE_ATTEMPTS = 5
RETRY_PAUSE = timedelta(milliseconds=200)
RETRY_AFTER = timedelta(seconds=2)

_log = get_logger(COMPONENT)


class Declared(NamedTuple):
    """The resource was written and is in force on this daemon."""

    resource: Resource
    is_new: bool


class Deleted(NamedTuple):
    """The resource was deleted at ``revision``."""

    kind: Kind
    name: str
    revision: int


class Outdated(NamedTuple):
    """Another write took effect first; ``current`` is the resource now, if any."""

    current: Resource | None


class Absent(NamedTuple):
    """The resource doesn't exist."""

    kind: Kind
    name: str


class Invalid(NamedTuple):
    """The resource has faults; nothing was written."""

    faults: tuple[Fault, ...]


class ConfigurationWriter:
    """Writes resources and resolves lost answers before it returns the outcome.

    :param announce: called with each accepted write.
    :param resolve_limit: how long to try to resolve a lost answer.
    """

    def __init__(
        self,
        configuration: Configuration,
        store: Store,
        clock: Clock,
        announce: Callable[[ResourceVersion], None],
        resolve_limit: timedelta = defaults.RESOLVE_TIMEOUT,
    ) -> None:
        self._configuration = configuration
        self._store = store
        self._clock = clock
        self._announce = announce
        self._resolve_limit = resolve_limit

    async def put(
        self, kind: Kind, resource: Any, expected: int | None
    ) -> Declared | Outdated | Invalid | Refused | Unknown:
        """Write a resource.

        :param resource: as submitted by the operator, unchecked.
        :param expected: its current revision, 0 when it must not exist, or ``None``
            to replace whatever exists.
        """
        faults = check_write(kind, resource, self._configuration)
        if any(fault.code == "no_such_team" for fault in faults):
            await self._refresh(Kind.TEAM, resource["spec"]["team"])
            faults = check_write(kind, resource, self._configuration)
        if faults:
            return Invalid(faults)
        write = secrets.token_hex(8)
        name = resource["metadata"]["name"]
        is_new = self._configuration.get(kind, name) is None
        value = encode_resource(resource, write)
        answer = await self._write(kind, name, value, write, expected)
        if not isinstance(answer, Written):
            return answer
        version = self._apply_write(kind, name, value, answer.revision)
        assert version.resource is not None
        return Declared(version.resource, is_new)

    async def delete(
        self, kind: Kind, name: str, expected: int | None
    ) -> Deleted | Outdated | Absent | Invalid | Refused | Unknown:
        """Delete a resource; ``expected`` is as for :meth:`put`."""
        resource = self._configuration.get(kind, name)
        if resource is None:
            await self._refresh(kind, name)
            resource = self._configuration.get(kind, name)
        if resource is None:
            return Absent(kind, name)
        faults = check_delete(resource, self._configuration)
        if faults:
            return Invalid(faults)
        write = secrets.token_hex(8)
        value = encode_deletion(kind, name, write, self._clock.now().timestamp())
        answer = await self._write(kind, name, value, write, expected)
        if not isinstance(answer, Written):
            return answer
        self._apply_write(kind, name, value, answer.revision)
        return Deleted(kind, name, answer.revision)

    async def _refresh(self, kind: Kind, name: str) -> None:
        """Read a resource that another daemon may just have written."""
        found = await self._store.get(make_key(kind, name))
        if isinstance(found, Found):
            entry = found.entry
            version = read_version(Event(entry.key, entry.value, entry.revision))
            if version is not None:
                self._configuration.apply_ahead(version)

    def _apply_write(
        self, kind: Kind, name: str, value: bytes, revision: int
    ) -> ResourceVersion:
        version = read_version(Event(make_key(kind, name), value, revision))
        assert version is not None
        self._configuration.apply_ahead(version)
        self._announce(version)
        return version

    async def _write(
        self, kind: Kind, name: str, value: bytes, write: str, expected: int | None
    ) -> Written | Outdated | Refused | Unknown:
        compared = expected
        if compared is None:
            current = self._configuration.get(kind, name)
            compared = current["metadata"]["revision"] if current else 0
        for _ in range(RACE_ATTEMPTS):
            call = _Call(make_key(kind, name), value, compared, write)
            answer = await self._write_once(call)
            if not isinstance(answer, Conflict):
                return answer
            resource = _read_resource(answer.current)
            may_retry = resource is None if expected == 0 else expected is None
            if not may_retry:
                count_refusal(COMPONENT, "outdated")
                return Outdated(resource)
            count_retry(COMPONENT, "race")
            compared = answer.current.revision if answer.current else 0
        count_refusal(COMPONENT, "outdated")
        return Outdated(resource)

    async def _write_once(
        self, call: "_Call"
    ) -> Written | Conflict | Refused | Unknown:
        """Write once; after a lost answer, repeat the call until its outcome is known.

        After ``resolve_limit`` it returns :class:`Unknown`. The expected revision lets
        only one of the repeated calls take effect.
        """
        revision_before = self._configuration.revision
        deadline = self._clock.monotonic() + self._resolve_limit
        answer = await self._put(call)
        if isinstance(answer, Rejected):
            return make_refusal(answer)
        while isinstance(answer, Lost | Rejected):
            if self._clock.monotonic() >= deadline:
                return Unknown("answer_lost", "the write may have taken effect")
            count_retry(COMPONENT, answer.code)
            await self._clock.sleep(RETRY_PAUSE)
            answer = await self._put(call)
            if isinstance(answer, Conflict):
                answer = await self._find_written_revision(call, answer)
        if isinstance(answer, Written) and answer.revision <= revision_before:
            _log.error("The store's revision went back.", revision=answer.revision)
            return Unknown("store_set_back", "the store's revision went back")
        return answer

    async def _put(self, call: "_Call") -> Written | Conflict | Rejected | Lost:
        return await self._store.put(call.key, call.value, call.compared)

    async def _find_written_revision(
        self, call: "_Call", conflict: Conflict
    ) -> Written | Conflict | Lost | Rejected:
        """Find out whether the write with the lost answer was ever the key's value.

        :returns: ``Written`` with its revision, ``conflict`` when it never took effect,
            or the failure of the call that would have shown it.
        """
        current = conflict.current
        if current is None or is_written_by(current.value, call.write):
            return Written(current.revision) if current else conflict
        found = await self._store.watch(call.key, call.compared, timedelta())
        if not isinstance(found, Events):
            return found if isinstance(found, Lost | Rejected) else Lost("too_old")
        for event in found.events:
            is_own = event.key == call.key and event.value is not None
            if is_own and is_written_by(event.value, call.write):
                return Written(event.revision)
        return conflict


class _Call(NamedTuple):
    key: str
    value: bytes
    compared: int
    write: str


def is_written_by(value: bytes | None, write: str) -> bool:
    """Return whether a value in the store was written by the write ``write``."""
    stored = decode_value(value) if value is not None else None
    return stored is not None and stored.write == write


def make_refusal(rejected: Rejected) -> Refused:
    """Return the refusal for a call that the store didn't execute."""
    is_down = rejected.code == "unreachable"
    code = "store_unavailable" if is_down else rejected.code
    count_refusal(COMPONENT, code)
    return Refused(code, rejected.detail or "nothing was written", RETRY_AFTER)


def _read_resource(entry: Entry | None) -> Resource | None:
    if entry is None:
        return None
    version = read_version(Event(entry.key, entry.value, entry.revision))
    return version.resource if version else None
