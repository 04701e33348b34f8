"""The jobs that the pools' owner knows."""

from collections.abc import Iterator

from damaskdeck.errors import MessageError
from damaskdeck.protocol.queues import QueueJobState, TaskName
from damaskdeck.state.indexranges import IndexRanges, decode_indexes
from damaskdeck.state.jobrecords import (
    WHOLE,
    JobRecord,
    ProgressRecord,
    RecordedRun,
    RunsRecord,
    StartsRecord,
    StepProgress,
)
from damaskdeck.state.pooljobs.occurrences import Occurrence
from damaskdeck.state.pooljobs.runs import Run
from damaskdeck.state.pooljobs.steps import Step, Task
from damaskdeck.state.recordedstarts import RecordedStarts

# Up to this many steps of completed occurrences are stored one by one, as earlier
# versions read them.
MAX_LISTED_STEPS = 16


class Job:
    """A job with the steps of its occurrences.

    Occurrences of a schedule are opened when their turn comes, and only their number is
    kept once they have completed.

    :ivar occurrences: the open occurrences by number.
    :ivar completed: the numbers of the completed ones, of a job with a schedule.
    :ivar runs: the runs of its tasks.
    :ivar visible_state: the state that callers get; final only once it is durable.
    :ivar final: the final state, durable or not.
    :ivar arrived_at: monotonic seconds when it was accepted, as far as known.
    :ivar has_unconfirmed_runs: whether an earlier owner may have started some of its
        tasks on a worker that has not answered yet.
    :ivar confirmed_at: monotonic seconds since which that isn't the case any more.
    :ivar zones: zones whose workers may run it, durable; all when empty.
    :ivar wider_zones: the zones that replace them, ``None`` when no change is pending.
    :ivar recorded_starts: the starts of tasks that may have crashed workers.
    :ivar are_runs_recorded: whether its record had all runs when this owner read it.
    :ivar stored: the records as they were last gathered to be stored, by key.
    """

    def __init__(self, record: JobRecord, arrived_at: float) -> None:
        self.identifier = record.identifier
        self.record = record
        self.queue = record.queue
        self.arrived_at = arrived_at
        self.has_unconfirmed_runs = False
        self.confirmed_at = float("-inf")
        self.zones = frozenset(record.zones)
        self.wider_zones: frozenset[str] | None = None
        self.recorded_starts = RecordedStarts()
        self.are_runs_recorded = True
        self.stored: dict[str, bytes] = {}
        self.has_started = False
        self.final: QueueJobState | None = None
        self.final_at = 0.0
        self.visible_state = QueueJobState.QUEUED
        self.occurrences: dict[int, Occurrence] = {}
        self.completed = IndexRanges()
        self.runs: dict[Run, None] = {}
        # When the first occurrence is due, and how many are due by now.
        self._first_due_at = arrived_at
        self._due = 0
        self._next_occurrence = 0
        if not record.spec.repeats:
            self.open_occurrence(0)

    @property
    def is_final(self) -> bool:
        """Whether none of its tasks will be started any more."""
        return self.final is not None

    # Occurrences -------------------------------------------------------------

    def open_occurrence(self, number: int, due_at: float | None = None) -> Occurrence:
        """Return an occurrence; it is opened on first use.

        :param due_at: monotonic seconds when it was due, if that is known.
        """
        occurrence = self.occurrences.get(number)
        if occurrence is None:
            found = self._find_due_at(number)
            occurrence = self.occurrences[number] = Occurrence(self, number, found)
        if due_at is not None:
            occurrence.due_at = due_at
        return occurrence

    def _find_due_at(self, number: int) -> float:
        return self._first_due_at + number * self.record.spec.interval.total_seconds()

    def update_schedule(self, first_due_at: float, now: float) -> bool:
        """Update which occurrences of a schedule are due.

        :param first_due_at: monotonic seconds when the first one is due.
        :returns: whether more are due than before.
        """
        if first_due_at > now:
            return False
        spec = self.record.spec
        interval = spec.interval.total_seconds()
        due = int((now - first_due_at) / interval) + 1 if interval else spec.repeats
        due = min(due, spec.repeats)
        if due <= self._due:
            return False
        is_first = not self._due
        self._due, self._first_due_at = due, first_due_at
        if is_first:
            # Those that were opened by stored progress.
            for number, occurrence in self.occurrences.items():
                occurrence.due_at = self._find_due_at(number)
        return True

    @property
    def is_schedule_due(self) -> bool:
        """Whether all occurrences of a schedule are due."""
        return self._due >= self.record.spec.repeats

    def open_next(self) -> Occurrence | None:
        """Open the first occurrence that is due, ``None`` if all of these are open."""
        number = self._next_occurrence
        while number in self.occurrences or number in self.completed:
            number = self.completed.find_gap(number + (number in self.occurrences))
        self._next_occurrence = number
        return self.open_occurrence(number) if number < self._due else None

    def count_unopened(self) -> int:
        """Count the occurrences of a schedule that are due and have no steps yet."""
        return max(0, self._due - len(self.occurrences) - len(self.completed))

    def _reopen(self, number: int) -> Occurrence:
        """Return the steps of an occurrence that has completed.

        They are kept only while there are runs of them.
        """
        occurrence = Occurrence(self, number, self._find_due_at(number))
        occurrence.complete()
        return occurrence

    def record_completion(self, occurrence: Occurrence) -> None:
        """Keep only the number of an occurrence that has completed, if it has."""
        if self.record.spec.repeats and occurrence.is_completed:
            self.completed.add(occurrence.number)
            if not occurrence.has_runs:
                self.occurrences.pop(occurrence.number, None)

    # Runs --------------------------------------------------------------------

    def add_run(self, run: Run) -> None:
        """Add a run of one of its tasks."""
        self.runs[run] = None
        occurrence = run.task.step.steps
        self.occurrences.setdefault(occurrence.number, occurrence)

    def remove_run(self, run: Run) -> None:
        """Remove a run that is over."""
        self.runs.pop(run, None)
        self.record_completion(run.task.step.steps)

    @property
    def can_widen_zones(self) -> bool:
        """Whether it is confined to zones and no wider zones are pending."""
        return bool(self.zones) and self.wider_zones is None

    def may_run_in(self, zone: str) -> bool:
        """Whether workers of an availability zone may run its tasks."""
        return not self.zones or zone in self.zones

    def list_steps(self) -> Iterator[Step]:
        """Yield the steps of the open occurrences."""
        for occurrence in list(self.occurrences.values()):
            yield from occurrence

    def find_task(self, name: TaskName) -> Task | None:
        """Return a task, ``None`` when the job has none of that name."""
        repeats = self.record.spec.repeats
        if not 0 <= name.occurrence < max(repeats, 1):
            return None
        if not 0 <= name.step < len(self.record.spec.steps):
            return None
        if name.occurrence in self.completed:
            occurrence = self._reopen(name.occurrence)
            occurrence = self.occurrences.get(name.occurrence, occurrence)
        else:
            occurrence = self.open_occurrence(name.occurrence)
        step = occurrence[name.step]
        return step.tasks[name.index] if 0 <= name.index < len(step.tasks) else None

    def close(self, state: QueueJobState, now: float) -> None:
        """Record the final state; it becomes visible once it is durable."""
        if self.final is None:
            self.final = state
            self.final_at = now

    def close_if_completed(self, now: float) -> bool:
        """Close the job when every task of every occurrence has completed."""
        repeats = self.record.spec.repeats
        if repeats:
            has_completed = len(self.completed) >= repeats
        else:
            has_completed = self.occurrences[0].is_completed
        if has_completed:
            self.close(QueueJobState.COMPLETED, now)
        return has_completed

    def record_start(self) -> None:
        """Record that a task has started."""
        self.has_started = True
        if self.visible_state is QueueJobState.QUEUED:
            self.visible_state = QueueJobState.RUNNING

    def summarize(self) -> ProgressRecord:
        """Return the durable progress."""
        steps = (
            step.summarize()
            for number, occurrence in self.occurrences.items()
            if number not in self.completed
            for step in occurrence
        )
        return ProgressRecord(
            self.final or "",
            self.has_started,
            (
                *self._summarize_completed(),
                *(step for step in steps if step is not None),
            ),
            self._summarize_zones(),
        )

    def _summarize_completed(self) -> Iterator[StepProgress]:
        """Yield the progress of the occurrences that have completed."""
        steps = self.record.spec.steps
        if len(self.completed) * len(steps) > MAX_LISTED_STEPS:
            yield StepProgress(WHOLE, WHOLE, self.completed.encode())
            return
        for occurrence in self.completed:
            for number, step in enumerate(steps):
                completed = IndexRanges([range(step.tasks)]).encode()
                yield StepProgress(occurrence, number, completed)

    def _summarize_zones(self) -> tuple[str, ...] | None:
        zones = self.zones if self.wider_zones is None else self.wider_zones
        is_unchanged = zones == frozenset(self.record.zones)
        return None if is_unchanged else tuple(sorted(zones))

    def restore(self, progress: ProgressRecord, now: float) -> None:
        """Restore durable progress.

        :raises MessageError: when the progress names a step or task that the job lacks.
        """
        for step_progress in progress.steps:
            if step_progress.occurrence == WHOLE:
                repeats = self.record.spec.repeats
                self.completed = decode_indexes(step_progress.completed, repeats)
                continue
            step = self._find_step(step_progress)
            step.restore(step_progress)
            for index in step.crashes:
                name = TaskName(self.identifier, step.occurrence, step.number, index)
                self.recorded_starts.require(name)
        for occurrence in list(self.occurrences.values()):
            self.record_completion(occurrence)
        if progress.zones is not None:
            self.zones = frozenset(progress.zones)
        if progress.has_started:
            self.record_start()
        if progress.final:
            self.close(QueueJobState(progress.final), now)
            self.visible_state = QueueJobState(progress.final)

    def summarize_runs(self) -> RunsRecord:
        """Return its runs, to be stored."""
        workers: dict[str, int] = {}
        runs = tuple(
            RecordedRun(
                *run.task.name[1:],
                run.attempt,
                workers.setdefault(run.worker, len(workers)),
            )
            for run in self.runs
        )
        return RunsRecord(tuple(workers), runs)

    def summarize_starts(self) -> StartsRecord:
        """Return its recorded starts and unconfirmed crashes, to be stored."""
        unconfirmed = (
            crash
            for step in self.list_steps()
            for crash in step.crash_counts.list_unconfirmed()
        )
        return self.recorded_starts.summarize(tuple(unconfirmed))

    def restore_starts(self, record: StartsRecord) -> None:
        """Restore recorded starts and unconfirmed crashes."""
        self.recorded_starts.restore(record)
        for crash in record.unconfirmed:
            task = self.find_task(crash.task)
            if task is not None:
                task.step.crash_counts.record_unconfirmed(crash)

    def _find_step(self, step_progress: StepProgress) -> Step:
        indexes = (*step_progress.completed, *step_progress.checkpoints) or (0,)
        lowest = self.find_task(
            TaskName(
                self.identifier,
                step_progress.occurrence,
                step_progress.step,
                min(indexes),
            )
        )
        highest = self.find_task(
            TaskName(
                self.identifier,
                step_progress.occurrence,
                step_progress.step,
                max(indexes),
            )
        )
        if lowest is None or highest is None:
            raise MessageError(
                f"no such step: {step_progress.occurrence}.{step_progress.step}"
            )
        return highest.step


class JobIndex:
    """All jobs of an owner, by identifier.

    :ivar open_jobs: the jobs that are not final.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}

    def add(self, job: Job) -> None:
        """Add a job."""
        self.jobs[job.identifier] = job
        if not job.is_final:
            self.open_jobs[job.identifier] = job

    def close(self, job: Job) -> None:
        """Remove a job from the open ones."""
        self.open_jobs.pop(job.identifier, None)

    def remove(self, job: Job) -> None:
        """Remove a job."""
        self.jobs.pop(job.identifier, None)
        self.open_jobs.pop(job.identifier, None)

    def find_task(self, name: TaskName) -> Task | None:
        """Return a task by its name."""
        job = self.jobs.get(name.job)
        return job.find_task(name) if job is not None else None

    def count_waiting(self, queue: str) -> int:
        """Count the open jobs of a queue that have started nothing."""
        return sum(
            not job.has_started and job.queue.name == queue
            for job in self.open_jobs.values()
        )
