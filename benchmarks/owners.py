"""The part of a pool owner that the simulations have in common: nothing is stored."""

from damaskdeck.state.pooljobs import Job, Run, Task


class UnstoredRecording:
    """Lets starts go without a record."""

    def must_wait(self) -> bool:
        """Return that no start waits."""
        return False

    def record_order(self, is_recorded: bool) -> None:
        """Do nothing."""


class UnlimitedAttempts:
    """Attempt numbers without successors, which have to know of none."""

    def is_durable(self, attempt: int) -> bool:
        """Return that an attempt needs no reservation."""
        return True


class UnstoredOwner:
    """An owner that may always order tasks, and whose changes need no store."""

    recording = UnstoredRecording()
    attempts = UnlimitedAttempts()

    def may_order(self) -> bool:
        """Return that tasks may be ordered."""
        return True

    def next_attempt(self, tasks: list[Task]) -> int:
        """Return an attempt number above all earlier ones of the tasks."""
        return max(task.attempt for task in tasks) + 1

    def charge(self, run: Run) -> None:
        """Charge a run to its client account's limits."""
        self.account_limits.charge(run)

    def release(self, run: Run) -> None:
        """Release a run from its client account's limits."""
        self.account_limits.release(run)

    def mark_dirty(self, job: Job) -> None:
        """Do nothing."""

    async def flush(self) -> None:
        """Do nothing."""


class UnlimitedLeadership:
    """Lets leases of any length be granted."""

    def find_lease_limit(self) -> float:
        """Return that there is no limit."""
        return float("inf")
