"""Births of workers: which incarnation a list of runs is of, and which entries count.

A worker may restart under its name. Its calls name it without its birth, so only a list
of runs or an entry of the registry shows that an incarnation has ended. Workers of some
deployments report no births, and each incarnation of theirs has a name of its own.
"""

from enum import Enum, auto
from typing import NamedTuple

from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.pools import PoolWorker, WorkerIncarnation

# A worker needs longer than this to restart, so a call that is sent this soon after an
# answer reaches the incarnation that has answered.
CONFIRMATION_SECONDS = 0.25
# Answers to concurrent calls arrive out of order by less than this, so a clock that
# goes back further is that of another incarnation.
MAX_REORDERING_SECONDS = 0.1

_log = get_logger("workforce")


class BirthMatch(Enum):
    """Whose list of runs a contact has received.

    ``MISSING`` stands for a list without a birth where one is expected.
    """

    SAME = auto()
    OTHER = auto()
    MISSING = auto()


class ListedBirth:
    """The birth that a contact expects in the lists of its worker.

    :ivar incarnation: the incarnation that the contact is for.
    """

    def __init__(self, identifier: str) -> None:
        self.incarnation = WorkerIncarnation.parse(identifier)
        self._born = self.incarnation.born
        # Without a registered birth, the first list says what to expect.
        self._is_known = self._born is not None
        self._confirmed_at = float("-inf")

    def match(self, born: int | None, answered_at: float) -> BirthMatch:
        """Compare the birth in a list of runs with the expected one.

        :param answered_at: when the worker has answered, which may be long ago if this
            process was frozen.
        """
        if not self._is_known:
            self._born, self._is_known = born, True
        if born == self._born:
            self._confirmed_at = answered_at
            return BirthMatch.SAME
        return BirthMatch.MISSING if born is None else BirthMatch.OTHER

    def forget_answers(self) -> None:
        """Record that a call has failed, since which the worker may have restarted."""
        self._confirmed_at = float("-inf")

    def is_confirmed(self, now: float) -> bool:
        """Whether a call sent now reaches the incarnation that has listed its runs.

        It always does where workers report no births.
        """
        return not self.is_reported or now - self._confirmed_at <= CONFIRMATION_SECONDS

    @property
    def is_reported(self) -> bool:
        """Whether the worker reports its birth."""
        return self._born is not None

    @property
    def is_registered(self) -> bool:
        """Whether the worker lists the birth with which it is registered."""
        return self._born == self.incarnation.born


class EntryVerdict(Enum):
    """What an entry of the registry is good for.

    An ``OUTDATED`` entry is of an incarnation that has ended. An ``UNUSABLE`` one names
    no worker to use.
    """

    USABLE = auto()
    OUTDATED = auto()
    UNUSABLE = auto()


class _KnownBirth(NamedTuple):
    born: int
    address: str


class KnownBirths:
    """The latest birth of each name that one owner knows."""

    def __init__(self) -> None:
        self._latest: dict[str, _KnownBirth] = {}
        # The latest birth of each name whose incarnation has ended.
        self._ended: dict[str, int] = {}
        # The revision of the last unusable or outdated entry of each name.
        self._reported: dict[str, int] = {}

    def record(self, incarnation: WorkerIncarnation, address: str) -> None:
        """Record an incarnation that an entry, a list or a previous owner has named."""
        name, born = incarnation
        if born is not None and born > self._find_latest(name):
            self._latest[name] = _KnownBirth(born, address)

    def record_end(self, incarnation: WorkerIncarnation) -> None:
        """Record that an incarnation has ended."""
        name, born = incarnation
        if born is not None:
            self._ended[name] = max(born, self._ended.get(name, 0))

    def is_outdated(self, incarnation: WorkerIncarnation) -> bool:
        """Whether a later incarnation of the same name is known."""
        born = incarnation.born
        return born is not None and born < self._find_latest(incarnation.name)

    def _find_latest(self, name: str) -> int:
        known = self._latest.get(name)
        return known.born if known is not None else 0

    def judge(self, worker: PoolWorker, revision: int) -> EntryVerdict:
        """Judge an entry of the registry, and record its birth if it can be used."""
        name, born = WorkerIncarnation.parse(worker.identifier)
        known = self._latest.get(name)
        if born is None:
            if known is None:
                return EntryVerdict.USABLE
            self._report(name, revision, "it has no birth, but earlier ones had")
            return EntryVerdict.UNUSABLE
        if self.is_outdated(WorkerIncarnation(name, born)) or born <= self._ended.get(
            name, 0
        ):
            if self._is_new(name, revision):
                _log.info(
                    "A registration of an earlier incarnation is ignored.",
                    worker=worker.identifier,
                    revision=revision,
                )
            return EntryVerdict.OUTDATED
        if known is not None and known.born == born and known.address != worker.address:
            reason = f"its birth is that of a worker at {known.address}"
            self._report(name, revision, reason)
            return EntryVerdict.UNUSABLE
        self._reported.pop(name, None)
        self.record(WorkerIncarnation(name, born), worker.address)
        return EntryVerdict.USABLE

    def _report(self, name: str, revision: int, reason: str) -> None:
        """Log why an entry is unusable, once for each revision."""
        if self._is_new(name, revision):
            _log.error(
                "A registration can't be used.",
                code=MessageError.code,
                worker=name,
                revision=revision,
                error=reason,
            )

    def _is_new(self, name: str, revision: int) -> bool:
        """Whether an entry that is not used has not been logged yet."""
        is_new = self._reported.get(name) != revision
        self._reported[name] = revision
        return is_new
