"""HTTP client of targets; only this module knows their protocol.

A request is one ``POST`` of its body. The headers carry the request's identifier and
attempt, and the answer must repeat them, so that it can't be mistaken for the answer to
another request.
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

MAX_CONNECTIONS_PER_TARGET = 64

REQUEST_HEADER = "x-request"
ATTEMPT_HEADER = "x-attempt"
CONTENT_TYPE_HEADER = "content-type"


class HttpTargets:
    """Implements the port ``TargetPort``.

    :param client_name: this daemon's name, sent with each call.
    :param connections_per_target: maximum number of connections to one target.
    """

    def __init__(
        self,
        client_name: str = "",
        connections_per_target: int = MAX_CONNECTIONS_PER_TARGET,
    ) -> None:
        self._pool = HttpPool(
            limit_per_host=connections_per_target, client_name=client_name
        )

    async def send(
        self, target: Instance, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Send a request at most once and wait for the complete answer."""
        headers = {
            REQUEST_HEADER: call.request,
            ATTEMPT_HEADER: str(call.attempt),
            CONTENT_TYPE_HEADER: call.content_type,
        }
        url = f"http://{target.address}/request"
        reply = await self._pool.post(url, timeout, call.body, headers)
        if isinstance(reply, Rejected | Lost):
            return reply
        received = reply.headers
        if (received.get(REQUEST_HEADER), received.get(ATTEMPT_HEADER)) != (
            headers[REQUEST_HEADER],
            headers[ATTEMPT_HEADER],
        ):
            count_drop("targets", "wrong_answer")
            return Lost(
                BAD_ANSWER,
                f"answer with status {reply.status} belongs to another request",
            )
        content_type = received.get(CONTENT_TYPE_HEADER, "")
        return TargetAnswer(
            call.request, call.attempt, reply.status, reply.body, content_type
        )

    async def probe(
        self, target: Instance, timeout: timedelta
    ) -> Written | Rejected | Lost:
        """Check whether the target is alive, without taking a slot."""
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
