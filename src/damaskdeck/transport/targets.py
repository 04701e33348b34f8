"""Targets over HTTP; the only module that knows their wire.

A request is one ``POST`` of its body; request and attempt go in headers and
come back in the answer's, so that no answer can be taken for another's.
"""

from datetime import timedelta

from damaskdeck.metrics import count_drop
from damaskdeck.protocol.ports import (
    Instance,
    Lost,
    Rejected,
    TargetAnswer,
    TargetCall,
    Written,
)
from damaskdeck.transport.pool import BAD_ANSWER, HttpPool

CONNECTIONS_PER_TARGET = 64

REQUEST = "x-request"
ATTEMPT = "x-attempt"
CONTENT_TYPE = "content-type"


class HttpTargets:
    """Implements the port ``TargetPort``.

    :param client_name: this daemon's name, sent with each call.
    :param connections_per_target: most connections to one target.
    """

    def __init__(
        self,
        client_name: str = "",
        connections_per_target: int = CONNECTIONS_PER_TARGET,
    ) -> None:
        self._pool = HttpPool(
            limit_per_host=connections_per_target, client_name=client_name
        )

    async def send(
        self, target: Instance, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Send a request once and wait for the whole answer."""
        sent = {
            REQUEST: call.request,
            ATTEMPT: str(call.attempt),
            CONTENT_TYPE: call.content_type,
        }
        url = f"http://{target.address}/request"
        reply = await self._pool.post(url, timeout, call.body, sent)
        if isinstance(reply, Rejected | Lost):
            return reply
        received = reply.headers
        if (received.get(REQUEST), received.get(ATTEMPT)) != (
            sent[REQUEST],
            sent[ATTEMPT],
        ):
            count_drop("targets", "wrong_answer")
            return Lost(BAD_ANSWER, f"status {reply.status} for another request")
        content_type = received.get(CONTENT_TYPE, "")
        return TargetAnswer(
            call.request, call.attempt, reply.status, reply.body, content_type
        )

    async def probe(
        self, target: Instance, timeout: timedelta
    ) -> Written | Rejected | Lost:
        """Ask whether the target is alive, without taking a slot."""
        url = f"http://{target.address}/health"
        reply = await self._pool.get(url, timeout)
        if isinstance(reply, Rejected | Lost):
            return reply
        if reply.status != 200:
            return Lost(BAD_ANSWER, f"unexpected status {reply.status}")
        return Written(0)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()
