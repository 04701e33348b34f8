"""Adapter to the platform's advisor."""

from datetime import timedelta
from typing import TypedDict

import msgspec

from damaskdeck.platform.client import PlatformClient, Reply, decode_body
from damaskdeck.protocol.pools import Advice, Consent, WorkerIncarnation
from damaskdeck.protocol.ports import Lost, Rejected


class _AdviceResponse(TypedDict):
    good: list[tuple[str, str]]


_advice_decoder = msgspec.json.Decoder(_AdviceResponse)


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
        response = decode_body(reply, _advice_decoder)
        if isinstance(response, Lost):
            return response
        return Advice(
            tuple(
                Consent(identifiers.get(name, name), ticket)
                for name, ticket in response["good"]
            )
        )
