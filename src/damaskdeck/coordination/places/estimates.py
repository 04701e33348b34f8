"""Estimates of task sizes and run times, learned per workload from usage."""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.places.histograms import Histogram
from damaskdeck.protocol.sizes import Size

# Tasks observed before a size is reduced or an observed run time is used.
MIN_SAMPLES = 8
# A size is corrected once per this many observed tasks, by at most the factors below.
SAMPLES_PER_STEP = 2
MAX_STEP_UP = 1.25
MAX_STEP_DOWN = 0.85
# Share added to the observed usage, and the share of tasks that must fit into the
# estimate.
MARGIN = 0.15
SIZE_QUANTILE = 0.98
# The peak of a running task counts as an observed task once per this many reports,
# so that services, which never end, are learned too.
LONG_RUNNING_REPORTS = 64
# A corrected size is at least this share of the declared size.
MIN_DECLARED_SHARE = 0.1
MAX_WORKLOADS = 4096


class Estimate(NamedTuple):
    """The estimate of a workload, for display.

    :param declared: size of one task as the operator declared it.
    :param size: corrected size of one task. A new task reserves at least this, and
        the peak of running tasks if that is larger.
    :param peak: highest usage known of any running task, by dimension.
    :param samples: number of observed tasks.
    """

    declared: Size
    size: Size
    peak: Size
    samples: int


class _PeakUsage(NamedTuple):
    """The highest usage of one running task, and the number of its reports."""

    millicores: int
    memory: int
    reports: int


_NO_USAGE = _PeakUsage(0, 0, 0)


class _Workload:
    """The usage observed for one workload.

    ``running_peak`` caches the highest usage of the tasks in ``peaks``; it is
    ``None`` when it must be computed again.
    """

    __slots__ = (
        "declared", "running_peak", "memory", "millicores", "peaks", "run_time", "size",
    )  # fmt: skip

    def __init__(self) -> None:
        self.declared = Size()
        self.size = Size()
        self.millicores = Histogram()
        self.memory = Histogram()
        self.run_time = Histogram()
        self.peaks: dict[str, _PeakUsage] = {}
        self.running_peak: _PeakUsage | None = _NO_USAGE

    def find_running_peak(self) -> _PeakUsage:
        """Return the highest usage known of any running task, by dimension."""
        if self.running_peak is None:
            peaks = self.peaks.values()
            millicores = max((peak.millicores for peak in peaks), default=0)
            memory = max((peak.memory for peak in peaks), default=0)
            self.running_peak = _PeakUsage(millicores, memory, 0)
        return self.running_peak

    def record_report(self, task: str, usage: Size) -> _PeakUsage:
        """Record a report of a running task and return the peak of the task."""
        old = self.peaks.get(task, _NO_USAGE)
        peak = self.peaks[task] = _raise_peak(old, usage)
        if self.running_peak is not None:
            self.running_peak = _raise_peak(self.running_peak, usage)
        return peak

    def remove_peak(self, task: str) -> _PeakUsage | None:
        """Remove a task that no longer runs and return its peak."""
        peak = self.peaks.pop(task, None)
        running_peak = self.running_peak
        if (
            peak
            and running_peak
            and (peak[0] == running_peak[0] or peak[1] == running_peak[1])
        ):
            self.running_peak = None
        return peak


class Estimates:
    """Corrects declared sizes and run times by observed usage.

    Sizes move slowly, one step for every few observed tasks, towards a high
    quantile of the peaks plus a margin. They are never below the known usage of
    a task that still runs, because reports lag behind. Accelerators are always
    reserved as declared.

    :param limit: maximum number of workloads; above it, the least recently used
        workload without running tasks is evicted.
    """

    def __init__(self, limit: int = MAX_WORKLOADS) -> None:
        self._limit = limit
        self._workloads: OrderedDict[str, _Workload] = OrderedDict()

    def __len__(self) -> int:
        return len(self._workloads)

    def observe_use(self, workload: str, task: str, usage: Size) -> None:
        """Record the reported usage of a running task."""
        record = self._get_or_create(workload)
        peak = record.record_report(task, usage)
        if peak.reports % LONG_RUNNING_REPORTS == 0:
            self._update_size(record, peak)

    def observe_end(self, workload: str, task: str, run_time: timedelta | None) -> None:
        """Record that a task no longer runs.

        :param run_time: ``None`` when the task was stopped early or failed.
        """
        record = self._get_or_create(workload)
        peak = record.remove_peak(task)
        if run_time is not None:
            record.run_time.add(run_time / timedelta(milliseconds=1))
            if peak is not None:
                self._update_size(record, peak)

    def estimate_size(self, workload: str, declared: Size) -> Size:
        """Return the size to reserve for a new task.

        :param declared: the size declared by the operator. The estimate starts
            from it, and starts again whenever it changes.
        """
        record = self._get_or_create(workload)
        if record.declared != declared:
            record.declared = record.size = declared
        running_peak = record.find_running_peak()
        return Size(
            max(record.size.millicores, running_peak.millicores),
            max(record.size.memory, running_peak.memory),
            declared.accelerators,
        )

    def estimate_running(self, workload: str, task: str, reserved: Size) -> Size:
        """Return the size that should be reserved for a running task.

        The size grows at once to the task's own peak plus the margin, and
        shrinks only after many reports.
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
        if peak.reports >= LONG_RUNNING_REPORTS:
            return wanted
        return Size(*map(max, wanted, reserved))

    def estimate_run_time(
        self, workload: str, declared: timedelta, share: float = 0.9
    ) -> timedelta:
        """Return the time within which ``share`` of the tasks end.

        :param declared: returned until enough tasks have been observed.
        """
        record = self._workloads.get(workload)
        if record is None or record.run_time.total < MIN_SAMPLES:
            return declared
        return timedelta(milliseconds=record.run_time.find_quantile(share))

    def read(self, workload: str) -> Estimate | None:
        """Return the estimate of a workload, or ``None`` if it is unknown."""
        record = self._workloads.get(workload)
        if record is None:
            return None
        peak = Size(*record.find_running_peak()[:2], 0)
        return Estimate(record.declared, record.size, peak, record.memory.total)

    def remove(self, workload: str) -> None:
        """Remove a workload, for example one that was deleted."""
        self._workloads.pop(workload, None)

    def _get_or_create(self, workload: str) -> _Workload:
        record = self._workloads.get(workload)
        if record is not None:
            self._workloads.move_to_end(workload)
            return record
        record = self._workloads[workload] = _Workload()
        if len(self._workloads) > self._limit:
            self._evict_idle()
        return record

    def _evict_idle(self) -> None:
        """Evict the least recently used workload that has no running tasks."""
        names = iter(self._workloads)
        idle = (name for name in names if not self._workloads[name].peaks)
        evicted = next(idle)
        if next(reversed(self._workloads)) != evicted:
            del self._workloads[evicted]

    def _update_size(self, record: _Workload, peak: _PeakUsage) -> None:
        record.millicores.add(peak.millicores)
        record.memory.add(peak.memory)
        if record.memory.total % SAMPLES_PER_STEP == 0:
            record.size = Size(
                _step_towards(record.size[0], record.millicores, record.declared[0]),
                _step_towards(record.size[1], record.memory, record.declared[1]),
                record.size.accelerators,
            )


def _raise_peak(peak: _PeakUsage, usage: Size) -> _PeakUsage:
    return _PeakUsage(max(peak[0], usage[0]), max(peak[1], usage[1]), peak.reports + 1)


def _step_towards(size: int, observed: Histogram, declared: int) -> int:
    """Return ``size`` moved one bounded step towards the observed usage."""
    target = _add_margin(observed.find_quantile(SIZE_QUANTILE))
    target = max(target, round(declared * MIN_DECLARED_SHARE))
    if target >= size:
        return min(target, round(size * MAX_STEP_UP) + 1)
    if observed.total < MIN_SAMPLES:
        return size
    return max(target, round(size * MAX_STEP_DOWN))


def _add_margin(usage: float) -> int:
    return round(usage * (1 + MARGIN))
