"""Estimates of sizes and run times, learnt per workload from observed use."""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.places.histograms import Histogram
from damaskdeck.protocol.sizes import Size

# Tasks observed before a size is corrected downward, or a run time believed.
SETTLED_SAMPLES = 8
# A size is corrected once in so many observed tasks, by at most these factors.
STEP_SAMPLES = 2
STEP_UP = 1.25
STEP_DOWN = 0.85
# What is kept above the highest use, and the share of tasks that must fit.
MARGIN = 0.15
QUANTILE = 0.98
# Reports of a running task after which its peak counts as an observed task.
LONG_RUNNING = 64
# A corrected size is at least this share of the declared one.
LEAST_SHARE = 0.1
WORKLOAD_LIMIT = 4096


class Estimate(NamedTuple):
    """What is known of a workload, for ``describe``.

    :param peak: highest use known of a task that still runs.
    :param samples: tasks observed.
    """

    declared: Size
    size: Size
    peak: Size
    samples: int


class _Peak(NamedTuple):
    """The highest use of one running task, and how often it was reported."""

    millicores: int
    memory: int
    reports: int


_NO_PEAK = _Peak(0, 0, 0)


class _Workload:
    """What was learnt of one workload."""

    __slots__ = (
        "declared", "floor", "memory", "millicores", "peaks", "run_time", "size",
    )  # fmt: skip

    def __init__(self) -> None:
        self.declared = Size()
        self.size = Size()
        self.millicores = Histogram()
        self.memory = Histogram()
        self.run_time = Histogram()
        self.peaks: dict[str, _Peak] = {}
        self.floor: _Peak | None = _NO_PEAK

    def find_floor(self) -> _Peak:
        """Return the highest use known of any running task, by dimension."""
        if self.floor is None:
            peaks = self.peaks.values()
            millicores = max((peak.millicores for peak in peaks), default=0)
            memory = max((peak.memory for peak in peaks), default=0)
            self.floor = _Peak(millicores, memory, 0)
        return self.floor

    def raise_peak(self, task: str, use: Size) -> _Peak:
        """Count a report of a running task; returns its peak."""
        old = self.peaks.get(task, _NO_PEAK)
        peak = self.peaks[task] = _raise(old, use)
        if self.floor is not None:
            self.floor = _raise(self.floor, use)
        return peak

    def drop_peak(self, task: str) -> _Peak | None:
        """Forget a task that no longer runs; returns its peak."""
        peak = self.peaks.pop(task, None)
        floor = self.floor
        if peak and floor and (peak[0] == floor[0] or peak[1] == floor[1]):
            self.floor = None
        return peak


class Estimates:
    """Corrects declared sizes and run times by what was observed.

    Sizes move slowly, a step for each few tasks that were observed, towards a
    high quantile of their peaks with a margin above it. They are never below
    what is known of a task that still runs, as reports lag. Accelerators are
    taken as declared.

    :param limit: workloads remembered; the least recently used idle one goes.
    """

    def __init__(self, limit: int = WORKLOAD_LIMIT) -> None:
        self._limit = limit
        self._workloads: OrderedDict[str, _Workload] = OrderedDict()

    def __len__(self) -> int:
        return len(self._workloads)

    def observe_use(self, workload: str, task: str, use: Size) -> None:
        """Take over a report of a running task."""
        record = self._get(workload)
        peak = record.raise_peak(task, use)
        if peak.reports % LONG_RUNNING == 0:
            self._learn(record, peak)

    def observe_end(self, workload: str, task: str, run_time: timedelta | None) -> None:
        """Note that a task no longer runs.

        :param run_time: ``None`` when it didn't run to its end, or failed.
        """
        record = self._get(workload)
        peak = record.drop_peak(task)
        if run_time is not None:
            record.run_time.add(run_time / timedelta(milliseconds=1))
            if peak is not None:
                self._learn(record, peak)

    def estimate_size(self, workload: str, declared: Size) -> Size:
        """Return the size to reserve for a new task.

        :param declared: what its operator says; the size starts there.
        """
        record = self._get(workload)
        if record.declared != declared:
            record.declared = record.size = declared
        floor = record.find_floor()
        return Size(
            max(record.size.millicores, floor.millicores),
            max(record.size.memory, floor.memory),
            declared.accelerators,
        )

    def estimate_running(self, workload: str, task: str, reserved: Size) -> Size:
        """Return the size that a running task should have reserved.

        It grows at once to its own highest use with the margin, and shrinks
        only after many reports.
        """
        record = self._workloads.get(workload)
        peak = record.peaks.get(task) if record else None
        if peak is None:
            return reserved
        wanted = Size(
            _add_margin(peak.millicores),
            _add_margin(peak.memory),
            reserved.accelerators,
        )
        if peak.reports >= LONG_RUNNING:
            return wanted
        return Size(*map(max, wanted, reserved))

    def estimate_run_time(
        self, workload: str, declared: timedelta, share: float = 0.9
    ) -> timedelta:
        """Return the time within which ``share`` of the tasks end.

        :param declared: returned until enough tasks were observed.
        """
        record = self._workloads.get(workload)
        if record is None or record.run_time.total < SETTLED_SAMPLES:
            return declared
        return timedelta(milliseconds=record.run_time.find_quantile(share))

    def read(self, workload: str) -> Estimate | None:
        """Return what is known of a workload."""
        record = self._workloads.get(workload)
        if record is None:
            return None
        peak = Size(*record.find_floor()[:2], 0)
        return Estimate(record.declared, record.size, peak, record.memory.total)

    def forget(self, workload: str) -> None:
        """Forget a workload, as one that was deleted."""
        self._workloads.pop(workload, None)

    def _get(self, workload: str) -> _Workload:
        record = self._workloads.get(workload)
        if record is not None:
            self._workloads.move_to_end(workload)
            return record
        record = self._workloads[workload] = _Workload()
        if len(self._workloads) > self._limit:
            self._drop_idle()
        return record

    def _drop_idle(self) -> None:
        """Drop the least recently used workload of which nothing runs."""
        names = iter(self._workloads)
        idle = (name for name in names if not self._workloads[name].peaks)
        victim = next(idle)
        if next(reversed(self._workloads)) != victim:
            del self._workloads[victim]

    def _learn(self, record: _Workload, peak: _Peak) -> None:
        record.millicores.add(peak.millicores)
        record.memory.add(peak.memory)
        if record.memory.total % STEP_SAMPLES == 0:
            record.size = Size(
                _step(record.size[0], record.millicores, record.declared[0]),
                _step(record.size[1], record.memory, record.declared[1]),
                record.size.accelerators,
            )


def _raise(peak: _Peak, use: Size) -> _Peak:
    return _Peak(max(peak[0], use[0]), max(peak[1], use[1]), peak.reports + 1)


def _step(size: int, observed: Histogram, declared: int) -> int:
    """Move a size towards what was observed."""
    target = _add_margin(observed.find_quantile(QUANTILE))
    target = max(target, round(declared * LEAST_SHARE))
    if target >= size:
        return min(target, round(size * STEP_UP) + 1)
    if observed.total < SETTLED_SAMPLES:
        return size
    return max(target, round(size * STEP_DOWN))


def _add_margin(use: float) -> int:
    return round(use * (1 + MARGIN))
