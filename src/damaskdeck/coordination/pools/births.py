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
    :ivar connection: the connection over which it has last listed its runs, ``None`` if
        another incarnation may answer the next call. It ends with the incarnation.
    """

    def __init__(self, identifier: str) -> None:
        self.incarnation = WorkerIncarnation.parse(identifier)
        self._born = self.incarnation.born
        # Without a registered birth, the first list says what to expect.
        self._is_known = self._born is not None
        self.connection: object = None

    def match(self, born: int | None, connection: object) -> BirthMatch:
        """Compare the birth in a list of runs with the expected one.

        :param connection: the connection of the list.
        """
        if not self._is_known:
            self._born, self._is_known = born, True
        if born == self._born:
            self.connection = connection if self.is_reported else None
            return BirthMatch.SAME
        return BirthMatch.MISSING if born is None else BirthMatch.OTHER

    def forget_answers(self) -> None:
        """Record that a call has failed, since which the worker may have restarted."""
        self.connection = None

    @property
    def is_confirmed(self) -> bool:
        """Whether the next poll reaches no other incarnation than the listed one.

        It always does where workers report no births.
        """
        return not self.is_reported or self.connection is not None

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

    def record_listed(self, incarnation: WorkerIncarnation, address: str) -> None:
        """Record an incarnation that a list has shown to be the living one.

        It is the latest one even if an entry has named a later birth: that entry was
        wrong, or the worker's clock has gone back across its restart.
        """
        if incarnation.born is not None:
            self._latest[incarnation.name] = _KnownBirth(incarnation.born, address)

    def record_end(self, incarnation: WorkerIncarnation) -> None:
        """Record that an incarnation has ended."""
        name, born = incarnation
        if born is not None:
            self._ended[name] = max(born, self._ended.get(name, 0))

    def is_outdated(self, incarnation: WorkerIncarnation) -> bool:
        """Whether a later incarnation of the same name is known."""
        born = incarnation.born
        return born is not None and born < self._find_latest(incarnation.name)

    def _is_entry_outdated(self, incarnation: WorkerIncarnation) -> bool:
        """Whether an entry is of an incarnation that is not the living one."""
        name, born = incarnation
        latest = self._find_latest(name)
        if born is None or born == latest:
            # The latest one may have ended before a later birth that was taken back.
            return born is not None and born == self._ended.get(name)
        return born < latest or born <= self._ended.get(name, 0)

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
        if self._is_entry_outdated(WorkerIncarnation(name, born)):
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
