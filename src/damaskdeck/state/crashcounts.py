"""Crashes of workers, counted against the tasks of one step that ran there."""

from damaskdeck.state.jobrecords import StepProgress, UnconfirmedCrash

# A job fails when one of its tasks was suspect this often, because the task would
# crash more workers.
MAX_SUSPECTED_CRASHES = 2
# A job also fails after this many crashes under one task, even if other tasks were
# suspect. Users accept five starts, and one crash may go unseen. A start that was never
# confirmed counts too, so with fewer a task would fail that hardly ran.
MAX_CRASHES = 4


class CrashCounts:
    """The crashes under the tasks of one step, by task index.

    :ivar crashes: attempts whose workers crashed.
    :ivar suspected: those of the crashes that the task is suspected to have caused.
    :ivar unconfirmed: attempts that were abandoned on silent workers, by attempt.
    """

    __slots__ = ("crashes", "suspected", "unconfirmed")

    def __init__(self) -> None:
        self.crashes: dict[int, set[int]] = {}
        self.suspected: dict[int, set[int]] = {}
        self.unconfirmed: dict[int, dict[int, UnconfirmedCrash]] = {}

    def __bool__(self) -> bool:
        return bool(self.crashes or self.unconfirmed)

    def record(self, index: int, attempt: int, is_suspected: bool) -> None:
        """Record an attempt whose worker crashed."""
        self.discard_unconfirmed(index, attempt)
        self.crashes.setdefault(index, set()).add(attempt)
        if is_suspected:
            self.suspected.setdefault(index, set()).add(attempt)

    def record_unconfirmed(self, crash: UnconfirmedCrash) -> bool:
        """Record an attempt whose worker may have crashed.

        :returns: Whether that is new.
        """
        index = crash.task.index
        known = self.unconfirmed.get(index, {})
        if crash.attempt in known or crash.attempt in self.crashes.get(index, ()):
            return False
        self.unconfirmed.setdefault(index, {})[crash.attempt] = crash
        return True

    def discard_unconfirmed(self, index: int, attempt: int) -> bool:
        """Forget an unconfirmed crash; return whether there was one."""
        known = self.unconfirmed.get(index, {})
        is_known = known.pop(attempt, None) is not None
        if is_known and not known:
            del self.unconfirmed[index]
        return is_known

    def clear(self, index: int) -> None:
        """Remove all crashes of a task."""
        self.crashes.pop(index, None)
        self.suspected.pop(index, None)
        self.unconfirmed.pop(index, None)

    def count(self, index: int) -> int:
        """Return the number of crashes under a task."""
        return len(self.crashes.get(index, ()))

    def count_suspected(self, index: int) -> int:
        """Return the number of crashes that a task is suspected to have caused."""
        return len(self.suspected.get(index, ()))

    def is_at_limit(self, index: int) -> bool:
        """Whether a task has reached a limit, so that its job fails."""
        return (
            self.count_suspected(index) >= MAX_SUSPECTED_CRASHES
            or self.count(index) >= MAX_CRASHES
        )

    def is_held(self, index: int) -> bool:
        """Whether a task must not start until an unconfirmed crash is resolved.

        It would have reached the limit if all of them were crashes.
        """
        unconfirmed = self.unconfirmed.get(index)
        return bool(unconfirmed) and self.count(index) + len(unconfirmed) >= MAX_CRASHES

    def restore(self, progress: StepProgress) -> None:
        """Restore the confirmed crashes."""
        self.crashes = to_sets(progress.crashes)
        self.suspected = to_sets(progress.suspected)

    def list_unconfirmed(self) -> list[UnconfirmedCrash]:
        """List the unconfirmed crashes of all tasks."""
        return [c for known in self.unconfirmed.values() for c in known.values()]


def to_tuples(attempts: dict[int, set[int]]) -> dict[int, tuple[int, ...]]:
    """Return sets of attempts as they are stored."""
    return {key: tuple(sorted(numbers)) for key, numbers in attempts.items()}


def to_sets(attempts: dict[int, tuple[int, ...]]) -> dict[int, set[int]]:
    """Return stored attempts as sets."""
    return {key: set(numbers) for key, numbers in attempts.items()}
