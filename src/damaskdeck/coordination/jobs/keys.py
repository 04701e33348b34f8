"""Idempotency keys of requests, on the owner of the team's ledger."""

from datetime import timedelta

from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.protocol.conversions import build_outcome_data, parse_outcome
from damaskdeck.protocol.handlers import ClaimedKey, KnownKey
from damaskdeck.protocol.outcomes import Outcome, Refused, Unknown
from damaskdeck.state import records
from damaskdeck.state.jobmodel import IdempotencyKey, KeyIndex
from damaskdeck.state.ledger import Committed

IN_PROGRESS_RETRY = timedelta(seconds=1)


class KeyRegistry:
    """Claims and settles the keys of one owned ledger."""

    def __init__(self, ledger: OwnedLedger) -> None:
        self._ledger = ledger
        self._claiming: set[KeyIndex] = set()

    async def claim(
        self, index: KeyIndex, digest: bytes, timeout: timedelta
    ) -> ClaimedKey | KnownKey | Refused | Unknown:
        """Claim a key; ``ClaimedKey`` is returned to only one caller ever."""
        key = self._ledger.table.keys.get(index)
        if key is not None:
            return self._report(key, digest)
        if index in self._claiming:
            return Refused("in_progress", retry_after=IN_PROGRESS_RETRY)
        self._claiming.add(index)
        try:
            return await self._claim(index, digest, timeout)
        finally:
            self._claiming.discard(index)

    async def _claim(
        self, index: KeyIndex, digest: bytes, timeout: timedelta
    ) -> ClaimedKey | Refused | Unknown:
        team, service, name = index
        record = records.KeyClaimed(
            team=team,
            service=service,
            key=name,
            digest=digest,
            deadline=self._ledger.get_time() + timeout.total_seconds(),
        )
        outcome = await self._ledger.commit((record, records.KeyClaimed))
        return ClaimedKey() if isinstance(outcome, Committed) else outcome

    async def settle(self, index: KeyIndex, outcome: Outcome) -> bool:
        """Store the outcome of a key; return whether it is durable."""
        key = self._ledger.table.keys.get(index)
        if key is None:
            return False
        if key.outcome is not None:
            return True
        team, service, name = index
        record = records.KeySettled(
            team=team,
            service=service,
            key=name,
            outcome=build_outcome_data(outcome),
            at=self._ledger.get_time(),
        )
        settled = await self._ledger.commit((record, records.KeySettled))
        return isinstance(settled, Committed)

    def _report(self, key: IdempotencyKey, digest: bytes) -> KnownKey | Refused:
        if key.digest != digest:
            return Refused("key_reused", "the key was used with another request")
        if key.outcome is not None:
            return KnownKey(parse_outcome(key.outcome))
        if self._ledger.get_time() >= key.deadline:
            return KnownKey(
                Unknown("answer_lost", "the first request's outcome is unknown")
            )
        return Refused("in_progress", retry_after=IN_PROGRESS_RETRY)
