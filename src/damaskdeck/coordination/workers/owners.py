"""A keeper's choice of the owners of workers to ask for room."""

import random
from datetime import timedelta

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.coordination.workers.summaries import (
    TOPIC,
    OwnerView,
    choose_owner,
    list_preemptible,
)
from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.members import Members, Report
from damaskdeck.protocol.summaries import WorkerSummary
from damaskdeck.state.workeraccounts import TaskNeed

ROOM_LIFE = timedelta(seconds=5)
PREEMPTIBLE_LIMIT = 3
# An owner that isn't heard of for so long isn't asked.
SUMMARY_LIFE = timedelta(seconds=30)

_decoder = msgspec.msgpack.Decoder(WorkerSummary)


class OwnerSelector:
    """The summaries of all owners, and what they are asked for meanwhile."""

    def __init__(self, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._random = random.Random(members.self.name)
        self._views: dict[str, OwnerView] = {}
        self._seen: dict[str, Report] = {}
        self._rooms: dict[str, tuple[str, timedelta]] = {}

    def refresh(self) -> bool:
        """Take in new summaries; returns whether there were any."""
        oldest = self._clock.monotonic() - SUMMARY_LIFE
        reports = {
            name: report
            for name, report in self._members.read_reports(TOPIC).items()
            if report.received >= oldest
        }
        for name in [name for name in self._views if name not in reports]:
            del self._views[name]
            self._seen.pop(name, None)
        news = [r for name, r in reports.items() if self._seen.get(name) is not r]
        for report in news:
            self._seen[report.instance] = report
            self._take(report)
        return bool(news)

    def choose(self, need: TaskNeed) -> str | None:
        """Choose an owner to ask for ``need``, and count its room as taken."""
        now = self._clock.monotonic()
        owner, until = self._rooms.get(need.task, ("", now))
        if owner in self._views and until > now:
            return owner
        self._rooms.pop(need.task, None)
        view = choose_owner(self._views.values(), need, self._random, now)
        if view is None:
            return self._choose_preemptible(need)
        view.deduct(need)
        return view.name

    def list_fitting(self, need: TaskNeed) -> list[str]:
        """List the owners that have room for ``need`` or could make it."""
        fitting = {
            view.name
            for view in self._views.values()
            if view.count_fitting(need) and (not need.zones or view.zone in need.zones)
        }
        fitting.update(view.name for view in self._list_preemptible(need))
        return sorted(fitting)

    def list_capable(self, need: TaskNeed) -> list[str]:
        """List the owners of workers that could hold ``need`` if empty."""
        return sorted(
            view.name
            for view in self._views.values()
            if view.is_able(need) and (not need.zones or view.zone in need.zones)
        )

    def record_refusal(self, owner: str, need: TaskNeed) -> None:
        """Note that an owner has no room for ``need`` after all."""
        view = self._views.get(owner)
        if view is not None:
            view.record_refusal(need)

    def record_preemption(self, owner: str, task: str) -> None:
        """Note that an owner makes room for a task; it is asked again."""
        self._rooms[task] = (owner, self._clock.monotonic() + ROOM_LIFE)

    def discard(self, task: str) -> None:
        """Forget a task that needs no room any more."""
        self._rooms.pop(task, None)

    def _choose_preemptible(self, need: TaskNeed) -> str | None:
        views = self._list_preemptible(need)
        return views[0].name if views else None

    def _list_preemptible(self, need: TaskNeed) -> list[OwnerView]:
        views = self._views.values()
        return list_preemptible(views, need, self._random, PREEMPTIBLE_LIMIT)

    def _take(self, report: Report) -> None:
        try:
            summary = _decoder.decode(report.value)
        except DECODE_ERRORS:
            count_drop("keeper", "bad_summary")
            return
        view = OwnerView(report.instance, summary, report.received)
        self._views[report.instance] = view
