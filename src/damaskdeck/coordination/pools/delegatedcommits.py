"""Commits that another daemon makes for an owner that the store refuses to serve.

The store may refuse some daemons and serve the others. The owner's commits expect the
fence, so it makes no difference which daemon sends them: a delegated commit takes
effect once or not at all, and never after a takeover. So ends become durable, and
callers see them, while the owner waits for its successor: 1.6 s of each such outage.
"""

from datetime import timedelta

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.delegates import Delegates
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.poolmessages import DelegateCommit, DelegateCommitReply
from damaskdeck.protocol.ports import Entry, Lapsed, Lost, Rejected, Written
from damaskdeck.protocol.transactions import CommitResult, Mismatch, Transaction

# A delegate that the store serves needs about 10 ms, and about 250 ms if the store is
# slow.
COMMIT_TIMEOUT = timedelta(milliseconds=450)
# For this long, a delegated commit shows that the store serves other daemons; an owner
# makes about 25 commits per second.
DELEGATING_SECONDS = 0.3

_log = get_logger("journal")

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Transaction)


class DelegatingStore:
    """Commits to the store, and through other daemons while the store fails here."""

    def __init__(
        self,
        store: MonitoredStore,
        peers: Peers,
        clock: Clock,
        delegates: Delegates,
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._delegates = delegates
        self._delegated_at = float("-inf")
        peers.register(DelegateCommit, self._handle_commit)

    @property
    def entry_limit(self) -> int:
        """The maximum number of keys in a transaction."""
        return self._store.entry_limit

    async def commit(
        self, transaction: Transaction, timeout: timedelta | None = None
    ) -> CommitResult:
        """Make changes that take effect together or not at all."""
        delegates = self._delegates.choose(1) if self._store.is_failing else []
        if not delegates:
            return await self._store.commit(transaction, timeout)
        delegate = delegates[0]
        result = await self.commit_via_delegate(delegate, transaction)
        if isinstance(result, Rejected | Lost):
            self._delegates.suspend(delegate)
            count_retry("relay", result.code)
        else:
            self._delegated_at = self._now()
        return result

    @property
    def is_delegating(self) -> bool:
        """Whether the store fails for this daemon but serves another one."""
        is_recent = self._now() - self._delegated_at < DELEGATING_SECONDS
        return is_recent and self._store.is_failing

    async def commit_via_delegate(
        self, delegate: str, transaction: Transaction
    ) -> CommitResult:
        """Let another daemon make a commit."""
        message: DelegateCommit = {"transaction": _encoder.encode(transaction)}
        reply = await self._peers.call(
            delegate, message, DelegateCommit, COMMIT_TIMEOUT
        )
        result = _read_reply(reply.message) if isinstance(reply, Answered) else None
        if result is None:
            code = "" if isinstance(reply, Answered) else reply.code
            result = Rejected(code) if isinstance(reply, Unsent) else Lost(code)
        return result

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def _handle_commit(
        self, peer: str, message: DelegateCommit
    ) -> DelegateCommitReply:
        if self._store.is_failing:
            return {"outcome": "rejected", "code": "store_failing"}
        try:
            transaction = _decoder.decode(message["transaction"])
        except DECODE_ERRORS as error:
            _log.error(
                "A delegated commit can't be decoded.", peer=peer, error=str(error)
            )
            return {"outcome": "rejected", "code": "unreadable"}
        result = await self._store.commit(transaction)
        _log.info(
            "Made a commit for another daemon.", peer=peer, done=type(result).__name__
        )
        return _build_reply(result)


def _build_reply(result: CommitResult) -> DelegateCommitReply:
    if isinstance(result, Written):
        return {"outcome": "written", "code": "", "revision": result.revision}
    if isinstance(result, Mismatch):
        entries = [tuple(entry) for entry in result.entries]
        return {"outcome": "mismatch", "code": "", "entries": entries}
    if isinstance(result, Lapsed):
        return {"outcome": "lapsed", "code": ""}
    outcome = "rejected" if isinstance(result, Rejected) else "lost"
    return {"outcome": outcome, "code": result.code}


def _read_reply(reply: DelegateCommitReply) -> CommitResult:
    outcome, code = reply["outcome"], reply["code"]
    if outcome == "written":
        return Written(reply.get("revision", 0))
    if outcome == "mismatch":
        return Mismatch(tuple(Entry(*row) for row in reply.get("entries", ())))
    if outcome == "lapsed":
        return Lapsed("")
    return Rejected(code) if outcome == "rejected" else Lost(code)
