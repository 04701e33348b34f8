"""The operators' document in the platform's store: queues, pools, client accounts."""

from datetime import timedelta
from typing import Any, NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.platform.fields import (
    Amounts,
    Factor,
    Milliseconds,
    Name,
    Quantity,
    read_duration,
    read_size,
)
from damaskdeck.protocol.clientaccounts import (
    ClientAccount,
    ClientAccounts,
    build_quota,
    digest_key,
)
from damaskdeck.protocol.pools import DeclaredQueues
from damaskdeck.protocol.ports import (
    Entry,
    Events,
    Found,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
)
from damaskdeck.protocol.queues import AdvisorTiming, Queue, QueueTable
from damaskdeck.protocol.transactions import (
    ReplyTooLarge,
    TransactionalStore,
    Unchanged,
)

_OPERATOR = "op/"
_QUEUES = "op/config"
_WAVES = "op/wave/"
_BODY_LIMIT = 262_144
# More characters than a header's line has room for.
_KEY_LIMIT = 4096
# A watch tells all documents of the meantime: wide ones are read, the newest alone.
_WATCHED_BYTES = 65_536

_log = get_logger("registry")


class _Advice(TypedDict):
    decide_ms: NotRequired[Milliseconds]
    period_ms: NotRequired[Milliseconds]
    valid_ms: NotRequired[Milliseconds]


class _Route(TypedDict):
    name: Name
    host: str
    path_prefix: str
    service: Name
    target_latency_ms: NotRequired[Milliseconds]
    priority: NotRequired[Quantity]
    max_attempts: NotRequired[Quantity]
    slack_factor: NotRequired[Factor]
    advice: NotRequired[_Advice | None]
    public: NotRequired[bool]


class _Service(TypedDict):
    name: Name


class _Limits(TypedDict):
    max_body_bytes: NotRequired[Quantity]


class _Document(TypedDict):
    version: Quantity
    routes: list[_Route]
    services: NotRequired[list[_Service]]
    limits: NotRequired[_Limits]
    # Each is decoded by itself: one that makes no sense leaves the others.
    tenants: NotRequired[list[msgspec.Raw] | None]


class _Tenant(TypedDict):
    name: Name
    api_keys: NotRequired[list[str]]
    priority: NotRequired[Quantity]
    weight: NotRequired[Factor]
    cap: NotRequired[Amounts | None]


_document = msgspec.json.Decoder(_Document)
_tenant = msgspec.json.Decoder(_Tenant)


class PlatformQueues:
    """Implements ``QueueSource``.

    :param needs_keys: whether callers show keys of client accounts.
    """

    key = _QUEUES

    def __init__(self, store: TransactionalStore, needs_keys: bool = False) -> None:
        self._store = store
        self._needs_keys = needs_keys

    async def read_queues(self, known: int = 0) -> DeclaredQueues | Rejected | Lost:
        """Read the newest document."""
        if known:
            found = await self._store.read_changed(_QUEUES, known)
        else:
            found = await self._store.read(_QUEUES)
        if isinstance(found, Unchanged):
            return DeclaredQueues(None, found.revision, known)
        if isinstance(found, Missing):
            return DeclaredQueues(None, found.revision)
        if not isinstance(found, Found):
            return found
        return self.decode(found.entry)

    def decode(self, entry: Entry) -> DeclaredQueues:
        """Return what the document's entry says."""
        table = self._read_table(entry.value)
        return DeclaredQueues(table, entry.revision, entry.revision, len(entry.value))

    async def follow_queues(
        self, revision: int, wait: timedelta
    ) -> DeclaredQueues | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the newest document after ``revision``."""
        found = await self._store.watch(_OPERATOR, revision, wait, _WATCHED_BYTES)
        if not isinstance(found, Events):
            return found
        table, document, size = None, 0, 0
        for event in found.events:
            if event.key == _QUEUES and event.value is not None:
                table = self._read_table(event.value) or table
                document, size = event.revision, len(event.value)
            elif event.key.startswith(_WAVES) and event.value is not None:
                _log.error(
                    "An upkeep wave is not served.", code="unsupported", key=event.key
                )
        return DeclaredQueues(table, found.revision, document, size)

    def _read_table(self, value: bytes) -> QueueTable | None:
        try:
            document = _document.decode(value)
        except DECODE_ERRORS as error:
            _log.error(
                "The declarations can't be read.",
                code=MessageError.code,
                error=str(error),
            )
            return None
        accounts = _read_accounts(document) if self._needs_keys else ()
        return QueueTable(
            document["version"],
            tuple(_read_queue(row, self._needs_keys) for row in document["routes"]),
            frozenset(service["name"] for service in document.get("services", [])),
            document.get("limits", {}).get("max_body_bytes", _BODY_LIMIT),
            ClientAccounts(accounts),
        )


def _read_accounts(document: _Document) -> list[ClientAccount]:
    """Return the accounts that can be read; the others are told of and left out."""
    rows = document.get("tenants") or []
    if not rows:
        _log.error(
            "No client account is declared: callers of queues that aren't public "
            "are turned away.",
            code="no_accounts",
            version=document["version"],
        )
    accounts = []
    for number, row in enumerate(rows):
        try:
            accounts.append(_read_account(_tenant.decode(row)))
        except DECODE_ERRORS as error:
            _log.error(
                "A client account can't be read.",
                code=MessageError.code,
                number=number,
                version=document["version"],
                error=str(error),
            )
    return accounts


def _read_account(tenant: _Tenant) -> ClientAccount:
    keys = tenant.get("api_keys", [])
    usable = [key.encode() for key in keys if 0 < len(key) <= _KEY_LIMIT]
    if len(usable) < len(keys):
        _log.error(
            "Keys that nobody can show are left out.",
            code="unusable_key",
            account=tenant["name"],
            keys=len(keys) - len(usable),
        )
    return ClientAccount(
        tenant["name"],
        frozenset(map(digest_key, usable)),
        tenant.get("weight", 1.0),
        tenant.get("priority", 0),
        build_quota(read_size(tenant.get("cap"))),
    )


def _read_queue(route: _Route, needs_keys: bool) -> Queue:
    return Queue(
        route["name"],
        route["host"],
        route["path_prefix"],
        route["service"],
        route.get("priority", 0),
        max(1, route.get("max_attempts", 1)),
        route.get("slack_factor", 1.0),
        read_duration(route.get("target_latency_ms", 0)),
        _read_terms(route.get("advice")),
        not needs_keys or route.get("public", False),
    )


def _read_terms(advice: Any) -> AdvisorTiming | None:
    if not advice:
        return None
    return AdvisorTiming(
        read_duration(advice.get("decide_ms", 0)),
        read_duration(advice.get("period_ms", 0)),
        read_duration(advice.get("valid_ms", 0)),
    )
