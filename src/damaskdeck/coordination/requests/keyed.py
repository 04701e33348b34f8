"""Requests with an idempotency key: claimed before the first byte, settled after."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from damaskdeck.background import start_task
from damaskdeck.coordination.requests.attempts import AnswerLost, RequestContext
from damaskdeck.protocol.handlers import ClaimedKey, IdempotencyKeys, KnownKey
from damaskdeck.protocol.outcomes import (
    Completed,
    Failed,
    Outcome,
    Refused,
    Unknown,
)


class KeyedRequests:
    """Serves a request at most once per key.

    Guarantee: "A request marked as non-idempotent [...] runs at most once."

    :param serve: runs a request whose key was claimed.
    """

    def __init__(
        self,
        keys: IdempotencyKeys,
        serve: Callable[[RequestContext], Awaitable[Outcome]],
    ) -> None:
        self._keys = keys
        self._serve = serve
        self._key_calls: set[asyncio.Task[Any]] = set()

    @property
    def settling_count(self) -> int:
        """Number of keys that are being claimed or settled."""
        return len(self._key_calls)

    async def serve(self, context: RequestContext) -> Outcome:
        """Run a request once per key, or return the outcome of the first run."""
        request = context.request
        digest = hashlib.sha256(request.body).digest()
        name = (request.team, request.service, request.key)
        claiming = self._start(self._keys.claim_key(*name, digest, request.timeout))
        try:
            claim = await asyncio.shield(claiming)
        except asyncio.CancelledError:
            self._start(self._settle_unserved(name, claiming))
            raise
        if isinstance(claim, KnownKey):
            return claim.outcome
        if not isinstance(claim, ClaimedKey):
            return claim
        try:
            outcome = await self._serve(context)
        except asyncio.CancelledError:
            self._start(self._settle_cancelled(name, context))
            raise
        settling = self._start(self._keys.settle_key(*name, outcome))
        await asyncio.shield(settling)
        return outcome

    def _start(self, call: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Start a call to the ledger owner that outlives its caller."""
        return start_task(call, self._key_calls)

    async def _settle_unserved(
        self, name: tuple[str, str, str], claiming: "asyncio.Task[Any]"
    ) -> None:
        """Settle a key as not run: its request was cancelled before it was served."""
        if isinstance(await claiming, ClaimedKey):
            await self._keys.settle_key(*name, Refused("cancelled"))

    async def _settle_cancelled(
        self, name: tuple[str, str, str], context: RequestContext
    ) -> None:
        """Settle the key of a request that was cancelled while it was served.

        The outcome is that of its open call, if there is one. Otherwise it is unknown
        if the request may have run, and not run if not.
        """
        outcome: Outcome = Refused("cancelled")
        if context.lost_code:
            outcome = Unknown(context.lost_code)
        if context.call is not None:
            result = await context.call
            if isinstance(result, Completed | Failed):
                outcome = result
            elif isinstance(result, AnswerLost):
                outcome = Unknown(result.code)
        elif context.is_sent:
            outcome = Unknown("cancelled")
        await self._keys.settle_key(*name, outcome)
