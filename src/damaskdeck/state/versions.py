"""Versions of declared resources and their values in the store."""

from typing import Any, NamedTuple

import msgspec

from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.protocol.ports import Event
from damaskdeck.protocol.resources import (
    DECLARED_KINDS,
    Kind,
    PolicySpec,
    Resource,
    TeamSpec,
    WorkloadSpec,
)

CONFIG_PREFIX = "config/"
SPEC_TYPES: dict[Kind, Any] = {
    Kind.TEAM: TeamSpec,
    Kind.WORKLOAD: WorkloadSpec,
    Kind.POLICY: PolicySpec,
}

_encoder = msgspec.json.Encoder(order="sorted")


class StoredValue(msgspec.Struct, omit_defaults=True):
    """The value of a key: a resource or a tombstone.

    :param write: identifier of the write, to recognise it after a lost reply.
    :param deleted: time of the deletion in seconds since 1970, 0 for a resource.
    """

    kind: str
    metadata: dict[str, object]
    spec: dict[str, object] = {}
    write: str = ""
    deleted: float = 0.0


_decoder = msgspec.json.Decoder(StoredValue)


class ResourceVersion(NamedTuple):
    """A declared resource as of one revision of the store.

    :param resource: ``None`` when the revision deleted it.
    """

    kind: Kind
    name: str
    revision: int
    resource: Resource | None


def make_key(kind: Kind, name: str) -> str:
    """Return the store key of a declared resource."""
    return f"{CONFIG_PREFIX}{kind.value}/{name}"


def split_key(key: str) -> tuple[Kind, str] | None:
    """Return the kind and name in a store key.

    :returns: ``None`` when it is not the key of a declared resource.
    """
    kind, _, name = key.removeprefix(CONFIG_PREFIX).partition("/")
    if kind not in DECLARED_KINDS or not name:
        return None
    return Kind(kind), name


def encode_resource(resource: Resource, write: str = "") -> bytes:
    """Encode a resource as a value of the store.

    :param write: identifier of this write.
    """
    metadata = {k: v for k, v in resource["metadata"].items() if k != "revision"}
    spec = resource.get("spec", {})
    return _encoder.encode(StoredValue(resource["kind"], metadata, spec, write))


def encode_deletion(kind: Kind, name: str, write: str, now: float) -> bytes:
    """Encode the tombstone of a deleted resource.

    The key is kept with a tombstone because a delayed creation, which expects that
    the key does not exist, would otherwise bring the resource back.

    :param write: identifier of this write.
    :param now: time of the deletion in seconds since 1970.
    """
    tombstone = StoredValue(kind.value, {"name": name}, write=write, deleted=now)
    return _encoder.encode(tombstone)


def encode_version(version: ResourceVersion) -> Event:
    """Encode a version for a peer; a deletion has no value."""
    key = make_key(version.kind, version.name)
    resource = version.resource
    value = encode_resource(resource) if resource else None
    return Event(key, value, version.revision)


def decode_value(value: bytes) -> StoredValue | None:
    """Decode a value of the store; ``None`` when it is unreadable."""
    try:
        return _decoder.decode(value)
    except DECODE_ERRORS:
        return None


def read_version(event: Event) -> ResourceVersion | None:
    """Decode a change of a key; ``None`` when it holds no valid resource.

    Unknown fields are accepted, as a newer daemon may have written them.
    """
    split = split_key(event.key)
    if split is None:
        return None
    kind, name = split
    if event.value is None:
        return ResourceVersion(kind, name, event.revision, None)
    stored = decode_value(event.value)
    if stored is None:
        return None
    if stored.deleted:
        return ResourceVersion(kind, name, event.revision, None)
    metadata = {**stored.metadata, "name": name, "revision": event.revision}
    resource = Resource(kind=kind.value, metadata=metadata, spec=stored.spec)
    try:
        msgspec.convert(resource, Resource)
        msgspec.convert(stored.spec, SPEC_TYPES[kind])
    except msgspec.ValidationError:
        return None
    return ResourceVersion(kind, name, event.revision, resource)
