"""HTTP client of the platform's instance list; only this module knows its protocol.

The list is read every second and rarely changes. Each call therefore sends the last
``ETag``, and the answer for an unchanged list has no body.

An entry that can't be used is left out, so that it doesn't hide the others. Its
instance then counts as absent, whatever was listed for it before.
"""

from datetime import timedelta

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.addresses import is_callable_address
from damaskdeck.protocol.jsonparts import split_array
from damaskdeck.protocol.ports import Instance, Instances, Lost, Rejected
from damaskdeck.transport.pool import BAD_ANSWER, HttpPool

CALL_TIMEOUT = timedelta(seconds=3)
MAX_CONNECTIONS = 2
# More than any target has; each slot is kept in memory.
MAX_SLOTS = 100_000
MAX_QUANTITY = 1 << 40
# Entries are cut to this length in log lines.
MAX_LOGGED_BYTES = 96

_decoder = msgspec.json.Decoder(Instances)
_row_decoder = msgspec.json.Decoder(Instance)
_log = get_logger("instances")


class HttpInstanceList:
    """Implements the port ``InstanceList``.

    :param address: IP and port of the platform's service.
    :param client_name: this daemon's name, sent with each call.
    :param timeout: time limit of a call.
    """

    def __init__(
        self,
        address: str,
        client_name: str = "",
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self._url = f"http://{address}/instances"
        self._timeout = timeout
        self._pool = HttpPool(MAX_CONNECTIONS, client_name=client_name)
        self._etag = ""
        self._last_instances = Instances(())
        # The unusable entries of the last list.
        self._unusable: frozenset[bytes] = frozenset()

    async def list_instances(self) -> Instances | Rejected | Lost:
        """Return the whole list; an unchanged list is the same object as before.

        :return: ``Rejected`` or ``Lost`` when the list could not be read.
        """
        headers = {"if-none-match": self._etag} if self._etag else None
        reply = await self._pool.get(self._url, self._timeout, headers)
        if isinstance(reply, Rejected | Lost):
            return reply
        if reply.status == 200:
            try:
                self._last_instances = self._decode(reply.body)
            except (MessageError, *DECODE_ERRORS) as error:
                return Lost(BAD_ANSWER, str(error))
            self._etag = reply.headers.get("etag", "")
        elif reply.status != 304 or not self._etag:
            return Lost(BAD_ANSWER, f"unexpected status {reply.status}")
        return self._last_instances

    def _decode(self, body: bytes) -> Instances:
        """Return the usable entries of a list.

        :raises MessageError: if it is no list of entries.
        """
        try:
            listed = _decoder.decode(body)
        except DECODE_ERRORS:
            listed = None
        if listed is not None and not any(map(find_fault, listed.instances)):
            self._unusable = frozenset()
            return listed
        fields = split_array(body)
        if not fields:
            raise MessageError("a list without its entries")
        usable, unusable = [], set()
        for row in split_array(fields[0]):
            instance, fault = _decode_row(row)
            if instance is not None:
                usable.append(instance)
                continue
            unusable.add(row)
            if row not in self._unusable:
                _report(row, fault)
        self._unusable = frozenset(unusable)
        return Instances(tuple(usable))

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()


def find_fault(instance: Instance) -> str:
    """Return why an entry can't be used, an empty string if it can."""
    quantities = (instance.connections, *instance.size)
    if not instance.name:
        return "no name"
    if not is_callable_address(instance.address, allows_ipv6=True):
        return "invalid address"
    if not 0 <= instance.slots <= MAX_SLOTS:
        return "invalid number of slots"
    if not all(0 <= quantity <= MAX_QUANTITY for quantity in quantities):
        return "invalid size or number of connections"
    return ""


def _decode_row(row: bytes) -> tuple[Instance | None, str]:
    """Return the instance of an entry, or why it can't be used."""
    try:
        instance = _row_decoder.decode(row)
    except DECODE_ERRORS as error:
        return None, str(error)
    fault = find_fault(instance)
    return (None, fault) if fault else (instance, "")


def _report(row: bytes, fault: str) -> None:
    """Log an entry that can't be used, and count it."""
    count_drop("instances", "invalid_entry")
    _log.error(
        "An entry of the instance list can't be used.",
        code="invalid_entry",
        entry=row[:MAX_LOGGED_BYTES].decode("latin-1"),
        error=fault,
    )
