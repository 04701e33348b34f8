"""Adapter to the platform's advisor."""

from datetime import timedelta

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.platform.client import PlatformClient, Reply
from damaskdeck.protocol.jsonparts import split_array, split_object
from damaskdeck.protocol.pools import Advice, Consent, WorkerIncarnation
from damaskdeck.protocol.ports import Lost, Rejected

_row_decoder = msgspec.json.Decoder(tuple[str, str])
_log = get_logger("advisor")


class PlatformAdvisor:
    """Implements ``Advisor`` over HTTP.

    :param address: ``IP:port``; an empty string if the platform has no advisor.
    """

    def __init__(self, client: PlatformClient, address: str) -> None:
        self._client = client
        self._address = address

    def set_address(self, address: str) -> None:
        """Use ``address`` from the next call on."""
        self._address = address

    async def request_advice(
        self, step: str, workers: tuple[str, ...], timeout: timedelta
    ) -> Advice | Rejected | Lost:
        """Return which of ``workers`` may run a step, according to the advisor."""
        if not self._address:
            return Rejected("no_advisor")
        # The advisor knows workers by their names, without births.
        identifiers = {WorkerIncarnation.parse(w).name: w for w in workers}
        body = {"step": step, "workers": tuple(identifiers)}
        reply = await self._client.call("POST", self._address, "/advise", timeout, body)
        if not isinstance(reply, Reply):
            return reply
        if reply.status != 200:
            return Lost("unexpected_status", str(reply.status))
        try:
            rows = split_array(split_object(reply.body)[b"good"])
        except (KeyError, MessageError) as error:
            return Lost("unreadable_answer", repr(error))
        consents = [consent for row in rows if (consent := _decode_row(step, row))]
        return Advice(
            tuple(
                Consent(identifiers.get(name, name), ticket)
                for name, ticket in consents
            )
        )


def _decode_row(step: str, row: bytes) -> tuple[str, str] | None:
    """Return a worker and its ticket, ``None`` if the row can't be read.

    Without a ticket nothing is started, so a row may be left out.
    """
    try:
        return _row_decoder.decode(row)
    except DECODE_ERRORS as error:
        _log.error(
            "A row of advice can't be used.",
            code=MessageError.code,
            step=step,
            error=str(error),
        )
        return None
