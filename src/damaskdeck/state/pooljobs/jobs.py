"""The jobs that the pools' owner knows."""

from collections.abc import Iterator
from functools import cached_property
from itertools import chain
from typing import NamedTuple

from damaskdeck.errors import MessageError
from damaskdeck.protocol.queues import QueueJobState, TaskName
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, subtract_sizes
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
from damaskdeck.state.pooljobs.footprint import (
    FIRST_WAITING_STEPS,
    MAX_OPEN_OCCURRENCES,
    MAX_WAITING_STEPS,
    estimate_footprint,
)
from damaskdeck.state.pooljobs.graph import StepGraph
from damaskdeck.state.pooljobs.occurrences import MAX_LISTED_STEPS, Occurrence
from damaskdeck.state.pooljobs.runs import Run
from damaskdeck.state.pooljobs.steps import CheckpointRoom, Step
from damaskdeck.state.pooljobs.tasks import Task
from damaskdeck.state.quotas import scale_size, sum_sizes
from damaskdeck.state.recordedstarts import RecordedStarts


class UnplacedRun(NamedTuple):
    """A recorded run on a worker that the owner doesn't know.

    :param worker: identifier of the worker's incarnation.
    """

    task: TaskName
    attempt: int
    worker: str


class Job:
    """A job with the steps of its occurrences.

    Occurrences of a schedule are opened and steps are created when their turn comes,
    and only their numbers are kept once they have completed.

    :ivar occurrences: the open occurrences by number.
    :ivar completed: the numbers of the completed ones, of a job with a schedule.
    :ivar graph: the order of its steps.
    :ivar runs: the runs of its tasks.
    :ivar waiting: the steps with tasks that wait, among those that exist.
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
    :ivar unplaced_runs: recorded runs on workers that this owner doesn't know, as long
        as the job has unconfirmed ones.
    :ivar has_complete_record: whether its record, as last gathered to be stored, claims
        to have all runs.
    :ivar left_out_checkpoints: the number of checkpoints without room in the store that
        was last reported.
    :ivar left_out_crashes: the same for possible crashes.
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
        self.unplaced_runs: list[UnplacedRun] = []
        self.has_complete_record = True
        self.left_out_checkpoints = 0
        self.left_out_crashes = 0
        self.stored: dict[str, bytes] = {}
        self.has_started = False
        self.final: QueueJobState | None = None
        self.final_at = 0.0
        self.visible_state = QueueJobState.QUEUED
        self.occurrences: dict[int, Occurrence] = {}
        self.completed = IndexRanges()
        self.graph = StepGraph(record.spec.steps)
        self.runs: dict[Run, None] = {}
        self.waiting: dict[Step, None] = {}
        # What has completed, of all occurrences.
        self._completed_tasks = 0
        self._completed_use = ZERO_SIZE
        # The open occurrences with steps that may start and don't exist yet.
        self._ready: dict[int, Occurrence] = {}
        # When the first occurrence is due, and how many are due by now.
        self._first_due_at = arrived_at
        self._due = 0
        self._next_occurrence = 0
        if not record.spec.repeats:
            self.open_occurrence(0)
            self.fill_window(FIRST_WAITING_STEPS)

    @cached_property
    def footprint(self) -> int:
        """The memory that it needs without its runs, in bytes."""
        return estimate_footprint(self.record.spec)

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
            self.record_ready(occurrence)
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

    def _open_next(self) -> Occurrence | None:
        """Open the first occurrence that is due, ``None`` if all of these are open."""
        number = self._next_occurrence
        while number in self.occurrences or number in self.completed:
            number = self.completed.find_gap(number + (number in self.occurrences))
        self._next_occurrence = number
        has_turn = number < self._due and len(self.occurrences) < MAX_OPEN_OCCURRENCES
        return self.open_occurrence(number) if has_turn else None

    @property
    def has_more(self) -> bool:
        """Whether more steps may start than exist."""
        return bool(
            self._ready
            or any(o.has_postponed for o in self.occurrences.values())
            or self.count_unopened()
        )

    def fill_window(self, limit: int = MAX_WAITING_STEPS) -> None:
        """Create steps that may start, until as many of them wait as may do so."""
        while len(self.waiting) < limit:
            occurrence = self._find_ready()
            if occurrence is None:
                return
            occurrence.take_ready()
            if not occurrence.has_ready:
                self._ready.pop(occurrence.number, None)

    def _find_ready(self) -> Occurrence | None:
        found = next(iter(self._ready.values()), None) or self._open_next()
        if found is None:
            for occurrence in self.occurrences.values():
                if occurrence.has_postponed:
                    occurrence.resume_postponed()
                    self.record_ready(occurrence)
            found = next(iter(self._ready.values()), None)
        return found

    def record_ready(self, occurrence: Occurrence) -> None:
        """Record that steps of an occurrence may start and don't exist yet."""
        if occurrence.has_ready:
            self._ready[occurrence.number] = occurrence

    def postpone(self, step: Step) -> None:
        """Let other steps take the turn of one that nothing was started of."""
        self.waiting.pop(step, None)
        step.siblings.postpone(step)

    def update_waiting(self, step: Step) -> None:
        """Update whether a step has tasks that wait."""
        if step.has_waiting and step.is_due:
            self.waiting[step] = None
        else:
            self.waiting.pop(step, None)

    def count_unopened(self) -> int:
        """Count the occurrences of a schedule that are due and not open."""
        return max(0, self._due - len(self.occurrences) - len(self.completed))

    def _reopen(self, number: int) -> Occurrence:
        """Return the steps of an occurrence that has completed.

        They are kept only while there are runs of them.
        """
        occurrence = Occurrence(self, number, self._find_due_at(number))
        occurrence.complete()
        return occurrence

    def count_unstarted(self) -> int:
        """Count the tasks of occurrences that are due which have to be started."""
        due = self._due if self.record.spec.repeats else 1
        unstarted = due * self.graph.tasks - self._completed_tasks - len(self.runs)
        return max(0, unstarted)

    def measure_unknown_use(self) -> Size:
        """Return the size of all runs that there may be besides the known ones."""
        occurrences = max(self.record.spec.repeats, 1)
        unknown = subtract_sizes(
            scale_size(self.graph.max_use, occurrences), self._completed_use
        )
        known = sum_sizes(run.task.step.spec.size for run in self.runs)
        return Size(*(max(0, part) for part in subtract_sizes(unknown, known)))

    def record_completed_tasks(self, step: Step, tasks: int) -> None:
        """Count tasks that have completed."""
        self._completed_tasks += tasks
        use = scale_size(step.spec.size, tasks)
        self._completed_use = add_sizes(self._completed_use, use)

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
        occurrence = run.task.step.siblings
        self.occurrences.setdefault(occurrence.number, occurrence)
        if occurrence.find(run.task.step.number) is None:
            occurrence.keep(run.task.step)
        self.update_waiting(run.task.step)

    def remove_run(self, run: Run) -> None:
        """Remove a run that is over."""
        self.runs.pop(run, None)
        step = run.task.step
        self.update_waiting(step)
        step.siblings.release(step)
        self.record_completion(step.siblings)

    @property
    def can_widen_zones(self) -> bool:
        """Whether it is confined to zones and no wider zones are pending."""
        return bool(self.zones) and self.wider_zones is None

    def may_run_in(self, zone: str) -> bool:
        """Whether workers of an availability zone may run its tasks."""
        return not self.zones or zone in self.zones

    def list_steps(self) -> Iterator[Step]:
        """Yield the steps that exist."""
        for occurrence in list(self.occurrences.values()):
            yield from occurrence.list_steps()

    def find_task(self, name: TaskName) -> Task | None:
        """Return a task, ``None`` when the job has none of that name."""
        repeats = self.record.spec.repeats
        if not 0 <= name.occurrence < max(repeats, 1):
            return None
        if not 0 <= name.step < len(self.record.spec.steps):
            return None
        occurrence = self.occurrences.get(name.occurrence)
        if occurrence is None and name.occurrence in self.completed:
            occurrence = self._reopen(name.occurrence)
        elif occurrence is None:
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

    def summarize(self, room: CheckpointRoom | None = None) -> ProgressRecord:
        """Return the durable progress.

        :param room: for its checkpoints; all are part of it if ``None``.
        """
        room = room if room is not None else CheckpointRoom()
        steps = (
            step
            for number, occurrence in self.occurrences.items()
            if number not in self.completed
            for step in occurrence.summarize(room)
        )
        return ProgressRecord(
            self.final or "",
            self.has_started,
            (*self._summarize_completed(), *steps),
            self._summarize_zones(),
        )

    def _summarize_completed(self) -> Iterator[StepProgress]:
        """Yield the progress of the occurrences that have completed."""
        if len(self.completed) * len(self.record.spec.steps) > MAX_LISTED_STEPS:
            yield StepProgress(WHOLE, WHOLE, self.completed.encode())
            return
        for number in self.completed:
            yield from self._reopen(number).list_completed()

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
                self._restore_completed(step_progress)
            elif step_progress.step == WHOLE:
                self._restore_completed_steps(step_progress)
            else:
                self._restore_step(step_progress)
        if progress.zones is not None:
            self.zones = frozenset(progress.zones)
        if progress.has_started:
            self.record_start()
        if progress.final:
            self.close(QueueJobState(progress.final), now)
            self.visible_state = QueueJobState(progress.final)

    def _restore_completed(self, progress: StepProgress) -> None:
        self.completed = decode_indexes(progress.completed, self.record.spec.repeats)
        self._completed_tasks = len(self.completed) * self.graph.tasks
        self._completed_use = scale_size(self.graph.use, len(self.completed))

    def _restore_completed_steps(self, progress: StepProgress) -> None:
        self._check_occurrence(progress.occurrence)
        steps = self.record.spec.steps
        completed = decode_indexes(progress.completed, len(steps))
        occurrence = self.open_occurrence(progress.occurrence)
        for number in completed:
            occurrence[number].complete_all()

    def _restore_step(self, progress: StepProgress) -> None:
        step = self._find_step(progress)
        step.restore(progress)
        for index in step.crashes:
            name = TaskName(self.identifier, step.occurrence, step.number, index)
            self.recorded_starts.require(name)

    def _check_occurrence(self, number: int) -> None:
        """Check that the job has an occurrence.

        :raises MessageError: when it hasn't.
        """
        if not 0 <= number < max(self.record.spec.repeats, 1):
            raise MessageError(f"no such occurrence: {number}")

    def summarize_runs(self) -> RunsRecord:
        """Return its runs, to be stored."""
        workers: dict[str, int] = {}
        placed = ((run.task.name, run.attempt, run.worker) for run in self.runs)
        runs = tuple(
            RecordedRun(*name[1:], attempt, workers.setdefault(worker, len(workers)))
            for name, attempt, worker in chain(placed, self.unplaced_runs)
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

    def _find_step(self, progress: StepProgress) -> Step:
        self._check_occurrence(progress.occurrence)
        if not 0 <= progress.step < len(self.record.spec.steps):
            raise MessageError(f"no such step: {progress.occurrence}.{progress.step}")
        return self.open_occurrence(progress.occurrence)[progress.step]


class JobIndex:
    """All jobs of an owner, by identifier.

    :ivar open_jobs: the jobs that are not final.
    :ivar footprint: the memory that all jobs need without their runs, in bytes.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.footprint = 0

    def add(self, job: Job) -> None:
        """Add a job."""
        self.footprint += job.footprint
        self.jobs[job.identifier] = job
        if not job.is_final:
            self.open_jobs[job.identifier] = job

    def close(self, job: Job) -> None:
        """Remove a job from the open ones."""
        self.open_jobs.pop(job.identifier, None)

    def remove(self, job: Job) -> None:
        """Remove a job."""
        if self.jobs.pop(job.identifier, None) is not None:
            self.footprint -= job.footprint
        self.open_jobs.pop(job.identifier, None)

    def find_task(self, name: TaskName) -> Task | None:
        """Return a task by its name."""
        job = self.jobs.get(name.job)
        return job.find_task(name) if job is not None else None

    def count_state(self) -> dict[str, int]:
        """Return how much of the open jobs is held, and what they were declared as."""
        steps = [step for job in self.open_jobs.values() for step in job.list_steps()]
        return {
            "occurrences": sum(len(job.occurrences) for job in self.open_jobs.values()),
            "unopened": sum(job.count_unopened() for job in self.open_jobs.values()),
            "steps": len(steps),
            "tasks": sum(len(step.tasks.list_known()) for step in steps),
            "unstarted": sum(job.count_unstarted() for job in self.open_jobs.values()),
            "runs": sum(len(job.runs) for job in self.open_jobs.values()),
            "footprint": self.footprint,
        }

    def count_waiting(self, queue: str) -> int:
        """Count the open jobs of a queue that have started nothing."""
        return sum(
            not job.has_started and job.queue.name == queue
            for job in self.open_jobs.values()
        )
