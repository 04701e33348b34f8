"""Measures the processor time of rounds of preemption in which nothing can be done.

All workers are full of patient tasks, and gangs with advice wait for them, but the
budget allows no stop. This is the most that preemption costs an owner.
"""

import asyncio
import random
import time
from datetime import timedelta

from benchmarks.hardload import LOADS, Load
from benchmarks.preemption import PATIENT_TASKS_PER_WORKER, Simulation
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.protocol.queues import JobSpec, StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, Run, RunPhase, Task
from standins.loops import run_virtual

WORKERS = 300
WAITING_GANGS = 200
ROUNDS = 100


def run(quick: bool = False) -> dict:
    """Return the mean and the 99th percentile of a round."""
    return run_virtual(_measure(ROUNDS // 10 if quick else ROUNDS))


async def _measure(rounds: int) -> dict:
    return await _FullPool(WORKERS, 0.0, True).measure_rounds(WAITING_GANGS, rounds)


class _FullPool(Simulation):
    """A pool in which all workers run patient tasks."""

    async def measure_rounds(self, steps: int, rounds: int) -> dict:
        """Return the processor time of rounds with a number of waiting gangs."""
        gangs, patient = LOADS[1], LOADS[2]
        waiting: list[Task] = []
        for contact in self.contacts.values():
            for _ in range(PATIENT_TASKS_PER_WORKER):
                waiting = waiting or self._make_tasks(patient)
                self._add_run(contact, waiting.pop())
        for _ in range(steps):
            self.submit(gangs)
        for load, job in self.jobs:
            if load is gangs:
                step = job.occurrences[0][0]
                step.constrained_since = -60.0
                tickets = self.advice_scheduler.get(step).tickets
                for worker in self.contacts:
                    if random.Random(step.name + worker).random() < load.consents:
                        tickets[worker] = ("ticket", float("inf"))
        dispatcher = self.dispatcher
        dispatcher._preemptor._budget.is_available = lambda amount: amount == 1
        costs = []
        for _ in range(rounds):
            await asyncio.sleep(0.06)
            ranked = dispatcher._pending.rank(self.now())
            began = time.process_time()
            dispatcher._preemptor.sweep(ranked, self.now())
            costs.append(1000 * (time.process_time() - began))
        costs.sort()
        return {
            "mean_milliseconds": round(sum(costs) / len(costs), 2),
            "p99_milliseconds": round(costs[int(0.99 * len(costs))], 2),
        }

    def _make_tasks(self, load: Load) -> list[Task]:
        size = Size(load.millicores, load.memory, 0)
        seconds = timedelta(seconds=load.seconds)
        spec = StepSpec(load.tasks[0], size, seconds, is_checkpointing=True)
        name = f"{load.queue.name}-{next(self.numbers)}"
        record = JobRecord(name, load.queue, JobSpec("", (spec,)), 1, 0.0)
        return list(Job(record, 0.0).occurrences[0][0].tasks)

    def _add_run(self, contact: WorkerContact, task: Task) -> None:
        run = Run(task, contact.info.identifier, 1, 0.0)
        run.phase = RunPhase.RUNNING
        task.add_run(run)
        contact.add_run(run)
