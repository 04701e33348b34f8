"""Commits of an owner that the store turns away, made by another daemon for it.

A store may turn some daemons away and serve the others. The owner's commits expect the
fence, so it makes no difference who sends them: a commit that was passed on takes
effect once or not at all, and not after a takeover. What has ended is durable, and told
to callers, while the owner waits for its successor: 1.6 s of each such outage.
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

# A helper that the store answers needs some 10 ms, and some 250 ms while it is slow.
RELAY_TIMEOUT = timedelta(milliseconds=450)
# A commit that another daemon made tells for so long that the store answers others: an
# owner makes some 25 a second.
HELPED_SECONDS = 0.3

_log = get_logger("journal")

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Transaction)


class DelegatingStore:
    """Commits through the store, and through other daemons while that fails."""

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
        self._helped_at = float("-inf")
        peers.register(DelegateCommit, self._commit_for)

    @property
    def entry_limit(self) -> int:
        """How many keys a transaction may name in all."""
        return self._store.entry_limit

    async def commit(
        self, transaction: Transaction, timeout: timedelta | None = None
    ) -> CommitResult:
        """Make changes that take effect together or not at all."""
        delegates = self._delegates.choose(1) if self._store.is_failing else []
        if not delegates:
            return await self._store.commit(transaction, timeout)
        delegate = delegates[0]
        done = await self.commit_via_delegate(delegate, transaction)
        if isinstance(done, Rejected | Lost):
            self._delegates.suspend(delegate)
            count_retry("relay", done.code)
        else:
            self._helped_at = self._now()
        return done

    @property
    def is_delegating(self) -> bool:
        """Whether the store fails here and answers another daemon."""
        is_recent = self._now() - self._helped_at < HELPED_SECONDS
        return is_recent and self._store.is_failing

    async def commit_via_delegate(
        self, delegate: str, transaction: Transaction
    ) -> CommitResult:
        """Let another daemon make a commit."""
        message: DelegateCommit = {"transaction": _encoder.encode(transaction)}
        reply = await self._peers.call(delegate, message, DelegateCommit, RELAY_TIMEOUT)
        done = _read_reply(reply.message) if isinstance(reply, Answered) else None
        if done is None:
            code = "" if isinstance(reply, Answered) else reply.code
            done = Rejected(code) if isinstance(reply, Unsent) else Lost(code)
        return done

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def _commit_for(
        self, peer: str, message: DelegateCommit
    ) -> DelegateCommitReply:
        if self._store.is_failing:
            return {"outcome": "rejected", "code": "store_failing"}
        try:
            transaction = _decoder.decode(message["transaction"])
        except DECODE_ERRORS as error:
            _log.error("A commit can't be read.", peer=peer, error=str(error))
            return {"outcome": "rejected", "code": "unreadable"}
        done = await self._store.commit(transaction)
        _log.info("Committed for another daemon.", peer=peer, done=type(done).__name__)
        return _build_reply(done)


def _build_reply(done: CommitResult) -> DelegateCommitReply:
    if isinstance(done, Written):
        return {"outcome": "written", "code": "", "revision": done.revision}
    if isinstance(done, Mismatch):
        entries = [tuple(entry) for entry in done.entries]
        return {"outcome": "mismatch", "code": "", "entries": entries}
    if isinstance(done, Lapsed):
        return {"outcome": "lapsed", "code": ""}
    outcome = "rejected" if isinstance(done, Rejected) else "lost"
    return {"outcome": outcome, "code": done.code}


def _read_reply(reply: DelegateCommitReply) -> CommitResult:
    outcome, code = reply["outcome"], reply["code"]
    if outcome == "written":
        return Written(reply.get("revision", 0))
    if outcome == "mismatch":
        return Mismatch(tuple(Entry(*row) for row in reply.get("entries", ())))
    if outcome == "lapsed":
        return Lapsed("")
    return Rejected(code) if outcome == "rejected" else Lost(code)
