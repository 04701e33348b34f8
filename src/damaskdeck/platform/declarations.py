"""The operators' document in the platform's store.

It declares the queues, the pools and the client accounts.
"""

from datetime import timedelta
from typing import Any, NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.platform.fields import (
    DurationMs,
    Factor,
    Name,
    Quantity,
    ResourceAmounts,
    build_size,
    to_duration,
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

_OPERATOR_PREFIX = "op/"
_DOCUMENT_KEY = "op/config"
_WAVES_PREFIX = "op/wave/"
_DEFAULT_BODY_LIMIT_BYTES = 262_144
# A longer key doesn't fit into a header line.
_MAX_KEY_CHARACTERS = 4096
# A watch returns every version written since its revision. If they are larger than
# this, only the newest version is read instead.
_MAX_WATCH_REPLY_BYTES = 65_536

_log = get_logger("registry")


class _Advice(TypedDict):
    decide_ms: NotRequired[DurationMs]
    period_ms: NotRequired[DurationMs]
    valid_ms: NotRequired[DurationMs]


class _Route(TypedDict):
    name: Name
    host: str
    path_prefix: str
    service: Name
    target_latency_ms: NotRequired[DurationMs]
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
    # Each account is decoded separately, so that a malformed one doesn't affect the
    # others.
    tenants: NotRequired[list[msgspec.Raw] | None]


class _Tenant(TypedDict):
    name: Name
    api_keys: NotRequired[list[str]]
    priority: NotRequired[Quantity]
    weight: NotRequired[Factor]
    cap: NotRequired[ResourceAmounts | None]


_document_decoder = msgspec.json.Decoder(_Document)
_tenant_decoder = msgspec.json.Decoder(_Tenant)


class PlatformQueues:
    """Implements ``QueueSource`` on the platform's store.

    :param needs_keys: whether callers must send API keys of client accounts.
    """

    key = _DOCUMENT_KEY

    def __init__(self, store: TransactionalStore, needs_keys: bool = False) -> None:
        self._store = store
        self._needs_keys = needs_keys

    async def read_queues(
        self, known_revision: int = 0
    ) -> DeclaredQueues | Rejected | Lost:
        """Read the newest document.

        :param known_revision: revision of a known document, which is not read again.
        """
        if known_revision:
            found = await self._store.read_changed(_DOCUMENT_KEY, known_revision)
        else:
            found = await self._store.read(_DOCUMENT_KEY)
        if isinstance(found, Unchanged):
            return DeclaredQueues(None, found.revision, known_revision)
        if isinstance(found, Missing):
            return DeclaredQueues(None, found.revision)
        if not isinstance(found, Found):
            return found
        return self.decode(found.entry)

    def decode(self, entry: Entry) -> DeclaredQueues:
        """Decode the document's entry; the table is ``None`` if it is malformed."""
        table = self._parse_table(entry.value)
        return DeclaredQueues(table, entry.revision, entry.revision, len(entry.value))

    async def follow_queues(
        self, revision: int, wait: timedelta
    ) -> DeclaredQueues | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Wait for changes after ``revision``; return the newest usable document."""
        found = await self._store.watch(
            _OPERATOR_PREFIX, revision, wait, _MAX_WATCH_REPLY_BYTES
        )
        if not isinstance(found, Events):
            return found
        table, document_revision, size = None, 0, 0
        for event in found.events:
            if event.key == _DOCUMENT_KEY and event.value is not None:
                table = self._parse_table(event.value) or table
                document_revision, size = event.revision, len(event.value)
            elif event.key.startswith(_WAVES_PREFIX) and event.value is not None:
                _log.error(
                    "An upkeep wave is not supported.",
                    code="unsupported",
                    key=event.key,
                )
        return DeclaredQueues(table, found.revision, document_revision, size)

    def _parse_table(self, value: bytes) -> QueueTable | None:
        try:
            document = _document_decoder.decode(value)
        except DECODE_ERRORS as error:
            _log.error(
                "The declarations can't be decoded.",
                code=MessageError.code,
                error=str(error),
            )
            return None
        accounts = _parse_accounts(document) if self._needs_keys else ()
        return QueueTable(
            document["version"],
            tuple(_build_queue(row, self._needs_keys) for row in document["routes"]),
            frozenset(service["name"] for service in document.get("services", [])),
            document.get("limits", {}).get("max_body_bytes", _DEFAULT_BODY_LIMIT_BYTES),
            ClientAccounts(accounts),
        )


def _parse_accounts(document: _Document) -> list[ClientAccount]:
    """Return the accounts that can be decoded; log and skip the others."""
    rows = document.get("tenants") or []
    if not rows:
        _log.error(
            "No client account is declared: calls to queues that aren't public "
            "are rejected.",
            code="no_accounts",
            version=document["version"],
        )
    accounts = []
    for number, row in enumerate(rows):
        try:
            accounts.append(_build_account(_tenant_decoder.decode(row)))
        except DECODE_ERRORS as error:
            _log.error(
                "A client account can't be decoded.",
                code=MessageError.code,
                number=number,
                version=document["version"],
                error=str(error),
            )
    return accounts


def _build_account(tenant: _Tenant) -> ClientAccount:
    keys = tenant.get("api_keys", [])
    usable = [key.encode() for key in keys if 0 < len(key) <= _MAX_KEY_CHARACTERS]
    if len(usable) < len(keys):
        _log.error(
            "API keys that are empty or too long are ignored.",
            code="unusable_key",
            account=tenant["name"],
            keys=len(keys) - len(usable),
        )
    return ClientAccount(
        tenant["name"],
        frozenset(map(digest_key, usable)),
        tenant.get("weight", 1.0),
        tenant.get("priority", 0),
        build_quota(build_size(tenant.get("cap"))),
    )


def _build_queue(route: _Route, needs_keys: bool) -> Queue:
    return Queue(
        route["name"],
        route["host"],
        route["path_prefix"],
        route["service"],
        route.get("priority", 0),
        max(1, route.get("max_attempts", 1)),
        route.get("slack_factor", 1.0),
        to_duration(route.get("target_latency_ms", 0)),
        _build_advisor_timing(route.get("advice")),
        not needs_keys or route.get("public", False),
    )


def _build_advisor_timing(advice: Any) -> AdvisorTiming | None:
    if not advice:
        return None
    return AdvisorTiming(
        to_duration(advice.get("decide_ms", 0)),
        to_duration(advice.get("period_ms", 0)),
        to_duration(advice.get("valid_ms", 0)),
    )
