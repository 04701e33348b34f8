"""Selection of the owners of workers that a ledger owner asks for capacity."""

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

PREEMPTION_WAIT = timedelta(seconds=5)
PREEMPTIBLE_LIMIT = 3
# Owners whose last summary is older aren't asked.
SUMMARY_MAX_AGE = timedelta(seconds=30)

_decoder = msgspec.msgpack.Decoder(WorkerSummary)


class OwnerSelector:
    """The summaries of all owners, less what was requested since they arrived."""

    def __init__(self, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._random = random.Random(members.self.name)
        self._views: dict[str, OwnerView] = {}
        self._last_reports: dict[str, Report] = {}
        self._preempting_owners: dict[str, tuple[str, timedelta]] = {}

    def refresh(self) -> bool:
        """Read new summaries; return whether there were any."""
        oldest = self._clock.monotonic() - SUMMARY_MAX_AGE
        reports = {
            name: report
            for name, report in self._members.read_reports(TOPIC).items()
            if report.received >= oldest
        }
        for name in [name for name in self._views if name not in reports]:
            del self._views[name]
            self._last_reports.pop(name, None)
        new_reports = [
            r for name, r in reports.items() if self._last_reports.get(name) is not r
        ]
        for report in new_reports:
            self._last_reports[report.instance] = report
            self._add_summary(report)
        return bool(new_reports)

    def choose(self, need: TaskNeed) -> str | None:
        """Return an owner to ask for ``need``, or ``None``.

        An owner that is preempting tasks for ``need`` is asked again. Otherwise, an
        owner with free capacity is chosen, and ``need`` is deducted from its summary;
        if there is none, an owner that could preempt tasks for ``need``.
        """
        now = self._clock.monotonic()
        owner, until = self._preempting_owners.get(need.task, ("", now))
        if owner in self._views and until > now:
            return owner
        self._preempting_owners.pop(need.task, None)
        view = choose_owner(self._views.values(), need, self._random, now)
        if view is None:
            return self._choose_preemptible(need)
        view.deduct(need)
        return view.name

    def list_fitting(self, need: TaskNeed) -> list[str]:
        """List the owners with free or preemptible capacity for ``need``."""
        fitting = {
            view.name
            for view in self._views.values()
            if view.count_fitting(need) and (not need.zones or view.zone in need.zones)
        }
        fitting.update(view.name for view in self._list_preemptible(need))
        return sorted(fitting)

    def list_capable(self, need: TaskNeed) -> list[str]:
        """List the owners of workers that could hold ``need`` when empty."""
        return sorted(
            view.name
            for view in self._views.values()
            if view.could_hold(need) and (not need.zones or view.zone in need.zones)
        )

    def record_refusal(self, owner: str, need: TaskNeed) -> None:
        """Record that an owner refused ``need``, contrary to its summary."""
        view = self._views.get(owner)
        if view is not None:
            view.record_refusal(need)

    def record_preemption(self, owner: str, task: str) -> None:
        """Record that an owner preempts tasks for ``task``, to ask it again."""
        self._preempting_owners[task] = (
            owner,
            self._clock.monotonic() + PREEMPTION_WAIT,
        )

    def discard(self, task: str) -> None:
        """Discard a task that needs no capacity any more."""
        self._preempting_owners.pop(task, None)

    def _choose_preemptible(self, need: TaskNeed) -> str | None:
        views = self._list_preemptible(need)
        return views[0].name if views else None

    def _list_preemptible(self, need: TaskNeed) -> list[OwnerView]:
        views = self._views.values()
        return list_preemptible(views, need, self._random, PREEMPTIBLE_LIMIT)

    def _add_summary(self, report: Report) -> None:
        try:
            summary = _decoder.decode(report.value)
        except DECODE_ERRORS:
            count_drop("keeper", "bad_summary")
            return
        view = OwnerView(report.instance, summary, report.received)
        self._views[report.instance] = view
