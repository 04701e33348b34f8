"""A keeper's view of all workers: summaries less what it has just given away."""

from collections import OrderedDict
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.placement import Impossible, Placed, Placer
from damaskdeck.coordination.workers import WORKERS_TOPIC, list_news
from damaskdeck.protocol.members import Members, Report
from damaskdeck.protocol.ports import Instance
from damaskdeck.protocol.sizes import Size, fits, subtract_sizes
from damaskdeck.state.accounts import Accounts, NoRoom, TaskNeed

PICK_LIFE = timedelta(seconds=1)


class FleetView:
    """Workers with their free room as last heard, for choosing among them.

    It may be wrong; the owner of a worker has the last word.
    """

    def __init__(self, members: Members, clock: Clock) -> None:
        self.accounts = Accounts()
        self._members = members
        self._clock = clock
        self._placer = Placer(self.accounts)
        self._seen: dict[str, Report] = {}
        self._picks: OrderedDict[str, timedelta] = OrderedDict()

    def set_workers(self, workers: tuple[Instance, ...]) -> None:
        """Take over the platform's list of workers."""
        listed = {worker.name for worker in workers}
        for name in [n for n in self.accounts.workers if n not in listed]:
            self.accounts.remove_worker(name)
        for worker in workers:
            is_new = worker.name not in self.accounts.workers
            self.accounts.set_worker(worker)
            if is_new:
                self.accounts.close_worker(worker.name, "unknown")
        self._seen.clear()

    def refresh(self) -> tuple[str, ...]:
        """Take in new summaries; returns the workers that were heard of."""
        self._expire_picks()
        heard = []
        for summary in list_news(self._members.read_reports(WORKERS_TOPIC), self._seen):
            account = self.accounts.workers.get(summary.name)
            if account is None:
                continue
            self._set_used(summary.name, subtract_sizes(account.size, summary.free))
            self.accounts.close_worker(summary.name, summary.closed)
            heard.append(summary.name)
        return tuple(heard)

    def pick(self, need: TaskNeed) -> Placed | NoRoom | Impossible:
        """Choose a worker and count its room as taken for a while."""
        self.drop(need.task)
        found = self._placer.place(need)
        if isinstance(found, Placed):
            self.accounts.reserve(need, found.worker)
            self._picks[need.task] = self._clock.monotonic() + PICK_LIFE
        return found

    def find_impossible(self, need: TaskNeed, tasks: int = 1) -> str | None:
        """Name what all workers together lack, even if they were empty.

        :param tasks: how many must run at once.
        """
        found = self._placer.place(need)
        if isinstance(found, Impossible):
            return found.dimension
        if tasks == 1 or not self.accounts.workers:
            return None
        held = 0
        for account in self.accounts.workers.values():
            if not need.zones or account.instance.zone in need.zones:
                held += count_fitting(need.size, account.size, tasks)
        return "room for all tasks at once" if held < tasks else None

    def has_other(self, need: TaskNeed) -> bool:
        """Tell whether an open worker that isn't to be avoided could hold it."""
        return any(
            not account.closed
            and account.name not in need.avoid
            and fits(need.size, account.size)
            and (not need.zones or account.instance.zone in need.zones)
            for account in self.accounts.workers.values()
        )

    def drop(self, task: str) -> None:
        """Forget a pick that came to nothing."""
        if self._picks.pop(task, None) is not None:
            self.accounts.release(task)

    def close(self, worker: str, code: str) -> None:
        """Don't choose a worker before it is heard of again."""
        self.accounts.close_worker(worker, code)

    def _set_used(self, worker: str, used: Size) -> None:
        mark = f"#{worker}"
        self.accounts.release(mark)
        need = TaskNeed(mark, Size(*(max(0, amount) for amount in used)))
        outcome = self.accounts.adopt(need, worker)
        if isinstance(outcome, NoRoom):
            self._drop_picks(worker)
            self.accounts.adopt(need, worker)

    def _drop_picks(self, worker: str) -> None:
        held = self.accounts.workers[worker].reservations
        for task in [task for task in held if task in self._picks]:
            self.drop(task)

    def _expire_picks(self) -> None:
        now = self._clock.monotonic()
        while self._picks:
            task, deadline = next(iter(self._picks.items()))
            if deadline > now:
                return
            self.drop(task)


def count_fitting(need: Size, room: Size, limit: int) -> int:
    """Count how often ``need`` fits in ``room``, at most ``limit``."""
    counts = (r // n for n, r in zip(need, room, strict=True) if n)
    return min(limit, *counts)
