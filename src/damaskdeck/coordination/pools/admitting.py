"""Which calls go further: the queue that they mean, and whose key they show."""

from typing import NamedTuple

from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.accounts import digest_key
from damaskdeck.protocol.callers import BarCode, Barred, Caller
from damaskdeck.protocol.queues import Queue, QueueTable

_log = get_logger("desk")


class Admitted(NamedTuple):
    """A call that goes on.

    :param table: the document that it was judged by.
    """

    queue: Queue
    caller: Caller
    table: QueueTable


class Admission:
    """Judges calls by the document in force here.

    While the store answers, a call is judged by no document that may have been
    replaced for longer than the bound. Keys have a bound that holds for daemons that
    are cut off from the store, too: what was sent later than that after a key was
    taken away is served by nobody.
    """

    def __init__(self, declarations: Declarations) -> None:
        self._declarations = declarations

    def judge(self, host: str, path: str, key: bytes | None) -> Admitted | Barred:
        """Return the queue that a call means and who calls.

        :param key: as shown, ``None`` where none is.
        """
        return self._judge(host, path, digest_key(key) if key else b"")

    def judge_again(
        self, queue: Queue, identifier: str, caller: Caller
    ) -> Queue | Barred:
        """Return the queue as declared now, if the caller may still use it."""
        path = queue.prefix + identifier
        judged = self._judge(queue.host, path, caller.digest)
        if isinstance(judged, Barred):
            return judged
        is_same = judged.caller.account == caller.account
        if not (judged.queue.is_public or is_same):
            return self._bar(BarCode.UNKNOWN_KEY, path)
        return judged.queue

    def _judge(self, host: str, path: str, digest: bytes) -> Admitted | Barred:
        """Judge a call by the digest of its key, empty where none is shown."""
        table = self._declarations.table
        if table is None:
            return self._bar(BarCode.NO_DOCUMENT, path)
        queue = table.find(host, path)
        needs_key = queue is not None and not queue.is_public
        declarations = self._declarations
        if not (declarations.may_serve if needs_key else declarations.is_current):
            return self._bar(BarCode.STALE_DOCUMENT, path)
        if queue is None:
            return Barred(BarCode.NO_QUEUE)
        if queue.is_public:
            return Admitted(queue, Caller(queue=queue.name), table)
        if not digest:
            return self._bar(BarCode.MISSING_KEY, path)
        account = table.accounts.find(digest)
        if account is None:
            return self._bar(BarCode.UNKNOWN_KEY, path)
        return Admitted(queue, Caller(account.name, queue.name, digest), table)

    def _bar(self, code: BarCode, what: str) -> Barred:
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
        return Barred(code)
