"""Authorization of callers: which queue a call names and which account it uses."""

from typing import NamedTuple

from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.callresults import Caller, CallRejected, CallRejectionCode
from damaskdeck.protocol.clientaccounts import digest_key
from damaskdeck.protocol.queues import Queue, QueueTable

_log = get_logger("desk")


class AuthorizedCall(NamedTuple):
    """A call that may proceed.

    :param table: The document that the decision is based on.
    """

    queue: Queue
    caller: Caller
    table: QueueTable


class CallAuthorizer:
    """Authorizes calls by the operators' document in force on this daemon.

    While the store answers, no call is authorized by a document that may have been
    replaced for longer than the bound. The bound for keys also applies to daemons that
    are cut off from the store: once a key has been revoked for that long, no daemon
    serves calls that are then sent with it.
    """

    def __init__(self, declarations: Declarations) -> None:
        self._declarations = declarations

    def authorize(
        self, host: str, path: str, key: bytes | None
    ) -> AuthorizedCall | CallRejected:
        """Return the queue that a call names and its caller.

        :param key: The key sent with the call, ``None`` if there is none.
        """
        return self._authorize_digest(host, path, digest_key(key) if key else b"")

    def reauthorize(
        self, queue: Queue, identifier: str, caller: Caller
    ) -> Queue | CallRejected:
        """Return the queue as it is declared now, if the caller may still use it."""
        path = queue.prefix + identifier
        result = self._authorize_digest(queue.host, path, caller.digest)
        if isinstance(result, CallRejected):
            return result
        is_same = result.caller.account == caller.account
        if not (result.queue.is_public or is_same):
            return self._reject(CallRejectionCode.UNKNOWN_KEY, path)
        return result.queue

    def _authorize_digest(
        self, host: str, path: str, digest: bytes
    ) -> AuthorizedCall | CallRejected:
        """Authorize a call by the digest of its key, which is empty without a key."""
        table = self._declarations.table
        if table is None:
            return self._reject(CallRejectionCode.NO_DOCUMENT, path)
        queue = table.find(host, path)
        needs_key = queue is not None and not queue.is_public
        declarations = self._declarations
        if not (declarations.can_verify_keys if needs_key else declarations.is_current):
            return self._reject(CallRejectionCode.STALE_DOCUMENT, path)
        if queue is None:
            return CallRejected(CallRejectionCode.NO_QUEUE)
        if queue.is_public:
            return AuthorizedCall(queue, Caller(queue=queue.name), table)
        if not digest:
            return self._reject(CallRejectionCode.MISSING_KEY, path)
        account = table.accounts.find(digest)
        if account is None:
            return self._reject(CallRejectionCode.UNKNOWN_KEY, path)
        return AuthorizedCall(queue, Caller(account.name, queue.name, digest), table)

    def _reject(self, code: CallRejectionCode, path: str) -> CallRejected:
        """Reject a call.

        The log line names the job that was called, never the key that was sent.
        """
        table = self._declarations.table
        _log.info(
            "A call was rejected.",
            id=path.rpartition("/")[2],
            code=code,
            version=table.version if table is not None else 0,
            age=round(min(self._declarations.measure_age(), 1e6), 3),
        )
        count_refusal("admission", code)
        return CallRejected(code)
