"""Which calls go further: the queue that they mean, and whose key they show."""

from typing import NamedTuple

from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.callresults import Caller, CallRejected, CallRejectionCode
from damaskdeck.protocol.clientaccounts import digest_key
from damaskdeck.protocol.queues import Queue, QueueTable

_log = get_logger("desk")


class AuthorizedCall(NamedTuple):
    """A call that goes on.

    :param table: the document that it was judged by.
    """

    queue: Queue
    caller: Caller
    table: QueueTable


class CallAuthorizer:
    """Judges calls by the document in force here.

    While the store answers, a call is judged by no document that may have been
    replaced for longer than the bound. Keys have a bound that holds for daemons that
    are cut off from the store, too: what was sent later than that after a key was
    taken away is served by nobody.
    """

    def __init__(self, declarations: Declarations) -> None:
        self._declarations = declarations

    def authorize(
        self, host: str, path: str, key: bytes | None
    ) -> AuthorizedCall | CallRejected:
        """Return the queue that a call means and who calls.

        :param key: as shown, ``None`` where none is.
        """
        return self._judge(host, path, digest_key(key) if key else b"")

    def reauthorize(
        self, queue: Queue, identifier: str, caller: Caller
    ) -> Queue | CallRejected:
        """Return the queue as declared now, if the caller may still use it."""
        path = queue.prefix + identifier
        judged = self._judge(queue.host, path, caller.digest)
        if isinstance(judged, CallRejected):
            return judged
        is_same = judged.caller.account == caller.account
        if not (judged.queue.is_public or is_same):
            return self._bar(CallRejectionCode.UNKNOWN_KEY, path)
        return judged.queue

    def _judge(
        self, host: str, path: str, digest: bytes
    ) -> AuthorizedCall | CallRejected:
        """Judge a call by the digest of its key, empty where none is shown."""
        table = self._declarations.table
        if table is None:
            return self._bar(CallRejectionCode.NO_DOCUMENT, path)
        queue = table.find(host, path)
        needs_key = queue is not None and not queue.is_public
        declarations = self._declarations
        if not (declarations.can_verify_keys if needs_key else declarations.is_current):
            return self._bar(CallRejectionCode.STALE_DOCUMENT, path)
        if queue is None:
            return CallRejected(CallRejectionCode.NO_QUEUE)
        if queue.is_public:
            return AuthorizedCall(queue, Caller(queue=queue.name), table)
        if not digest:
            return self._bar(CallRejectionCode.MISSING_KEY, path)
        account = table.accounts.find(digest)
        if account is None:
            return self._bar(CallRejectionCode.UNKNOWN_KEY, path)
        return AuthorizedCall(queue, Caller(account.name, queue.name, digest), table)

    def _bar(self, code: CallRejectionCode, what: str) -> CallRejected:
        """Refuse; the line names what was called, never what was shown."""
        table = self._declarations.table
        _log.info(
            "Turned away.",
            id=what.rpartition("/")[2],
            code=code,
            version=table.version if table is not None else 0,
            age=round(min(self._declarations.measure_age(), 1e6), 3),
        )
        count_refusal("admission", code)
        return CallRejected(code)
