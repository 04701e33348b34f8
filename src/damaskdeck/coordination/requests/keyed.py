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
    """Serves a request at most once for each key.

    Promise: "A request marked as non-idempotent [...] runs at most once."

    :param serve: runs a request whose key was claimed.
    """

    def __init__(
        self,
        keys: IdempotencyKeys,
        serve: Callable[[RequestContext], Awaitable[Outcome]],
    ) -> None:
        self._keys = keys
        self._serve = serve
        self._settlings: set[asyncio.Task[Any]] = set()

    @property
    def count_settling(self) -> int:
        """Return how many keys are being claimed or settled."""
        return len(self._settlings)

    async def serve(self, course: RequestContext) -> Outcome:
        """Run a request once for its key, or return what became of it."""
        request = course.request
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
            outcome = await self._serve(course)
        except asyncio.CancelledError:
            self._start(self._settle_cancelled(name, course))
            raise
        settling = self._start(self._keys.settle_key(*name, outcome))
        await asyncio.shield(settling)
        return outcome

    def _start(self, call: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Let a call to the keeper end also when the caller goes meanwhile."""
        return start_task(call, self._settlings)

    async def _settle_unserved(
        self, name: tuple[str, str, str], claiming: "asyncio.Task[Any]"
    ) -> None:
        """Remember that a request whose caller went too early has not run."""
        if isinstance(await claiming, ClaimedKey):
            await self._keys.settle_key(*name, Refused("cancelled"))

    async def _settle_cancelled(
        self, name: tuple[str, str, str], course: RequestContext
    ) -> None:
        """Remember what became of a keyed request whose caller has gone."""
        outcome: Outcome = Refused("cancelled")
        if course.lost:
            outcome = Unknown(course.lost)
        if course.call is not None:
            result = await course.call
            if isinstance(result, Completed | Failed):
                outcome = result
            elif isinstance(result, AnswerLost):
                outcome = Unknown(result.code)
        elif course.is_sent:
            outcome = Unknown("cancelled")
        await self._keys.settle_key(*name, outcome)
