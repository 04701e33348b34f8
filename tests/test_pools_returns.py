"""Pool workers that crash and return under their name and address.

The next incarnation knows nothing of the earlier one: it has seen no epoch, and its
clock and the numbers of its ends start anew.
"""

import asyncio
import itertools
from datetime import timedelta
from random import Random
from unittest import mock

from damaskdeck.coordination.pools.passedorders import (
    LATE_ORDER_SECONDS,
    MAX_ABANDONED_ORDERS,
    PassedOrders,
)
from damaskdeck.protocol.pools import Done, EndKind, WorkerIncarnation
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import QueueJobState, StepSpec, TaskName
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import (
    ROSTER_KEY,
    RosterRecord,
    decode_record,
    encode_record,
)
from damaskdeck.state.pooljobs import Run, RunPhase
from standins.faults import FaultKind
from standins.pools import Work
from tests.poolcluster import (
    FIRST_BIRTH,
    SECOND,
    SMALL,
    PoolCase,
    make_job,
)
from tests.test_foreign import WireCluster
from tests.virtual import virtual


class TestReturns(PoolCase):
    """Workers that return under their name."""

    async def run_jobs_after_a_return(self, delay: timedelta) -> None:
        """Run six jobs, crash both workers and run six jobs after their return."""
        cluster = await self.begin(workers=2, has_births=True)
        cluster.restart_delay = delay
        for number in range(6):
            await cluster.submit(f"a{number}", make_job())
        for number in range(6):
            await cluster.wait_for_state(f"a{number}", QueueJobState.COMPLETED)
        for worker in list(cluster.workers.values()):
            cluster.crash(worker)
        await asyncio.sleep(delay.total_seconds() + 0.2)
        for number in range(6):
            await cluster.submit(f"b{number}", make_job())
        for number in range(6):
            await cluster.wait_for_state(f"b{number}", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts()), 12)
        self.end()

    # The ends of the new incarnation counted as observed and were lost, so that each
    # job ran twice.
    @virtual
    async def test_jobs_after_a_return_within_the_lease_run_once(self):
        await self.run_jobs_after_a_return(timedelta(milliseconds=300))

    @virtual
    async def test_jobs_after_a_return_at_the_end_of_the_lease_run_once(self):
        await self.run_jobs_after_a_return(timedelta(seconds=6))

    # The poll was sent to the earlier incarnation; one that is repeated with its number
    # would let the next incarnation forget its own ends.
    @virtual
    async def test_a_poll_after_a_failed_one_names_no_observed_ends(self):
        cluster = await self.begin(workers=1, has_births=True)
        await cluster.run_first_job()
        owner = cluster.find_owner()
        poll, sent = owner.workers.poll, []

        async def record(info, epoch, observed, deadline, wait, connection):
            sent.append((observed, deadline is not None))
            return await poll(info, epoch, observed, deadline, wait, connection)

        owner.workers.poll = record
        await asyncio.sleep(1)
        self.assertEqual(set(sent), {(1, True)})
        owner.workers.cut_off.add("w0")
        await asyncio.sleep(1)
        sent.clear()
        owner.workers.cut_off.clear()
        await cluster.wait(lambda: len(sent) > 2)
        self.assertEqual(sent[0], (0, False))
        self.assertEqual(sent[-1], (1, True))
        self.end()

    # Where the answer to one more poll may be lost, the lease may expire meanwhile.
    @virtual
    async def test_a_poll_that_is_cut_short_takes_back_no_confirmation(self):
        cluster = await self.begin(workers=1, has_births=True)
        await cluster.run_first_job()
        owner = cluster.find_owner()
        owner.workers.cut_off.add("w0")
        contact = owner.owner.contacts[cluster.find_worker("w0").info.identifier]
        await cluster.wait(lambda: contact.is_cordoned)
        poll, extends = owner.workers.poll, []

        async def record(info, epoch, observed, deadline, wait, connection):
            extends.append(deadline is not None)
            return await poll(info, epoch, observed, deadline, wait, connection)

        owner.workers.poll = record
        owner.workers.cut_off.clear()
        # The end of the cordon cuts the poll in flight short.
        await cluster.wait(lambda: not contact.is_cordoned)
        await asyncio.sleep(0.1)
        self.assertEqual(extends[:3], [False, False, True])
        self.end()

    # After each failed poll, one that extends no lease has to be answered first.
    @virtual
    async def test_no_lease_expires_while_three_answers_in_ten_are_lost(self):
        cluster = await self.begin(
            workers=4,
            has_births=True,
            behave=lambda t, a: Work(timedelta(seconds=3)),
        )
        random = Random(2)
        workers = cluster.find_owner().workers
        poll = workers.poll

        async def lose_answers(*args):
            answer = await poll(*args)
            if random.random() >= 0.3:
                return answer
            await asyncio.sleep(0.35)
            return Lost("timeout")

        workers.poll = lose_answers
        for number in range(60):
            await cluster.submit(f"j{number}", make_job())
            await asyncio.sleep(1)
            for worker in cluster.workers.values():
                self.assertGreater(worker.lease_expires_at, cluster.clock.monotonic())
        self.end()

    async def check_return_after_an_answer(self, delay: float) -> None:
        """Check what a worker is told that returns after it has sent an answer.

        :param delay: seconds until the owner reads the answer.
        """
        cluster = await self.begin(workers=1, has_births=True)
        await cluster.run_first_job()
        owner, worker = cluster.find_owner(), cluster.find_worker("w0")
        poll, told = owner.workers.poll, []

        # The next incarnation registers only once it has been polled.
        cluster.externally_registered.add("w0")

        def restart() -> None:
            worker.kill()
            with mock.patch.object(cluster, "register"):
                later = cluster.add_worker("w0", worker.info.address)
            answer = later.poll

            def record(epoch, observed, deadline, wait):
                told.append((observed, deadline))
                return answer(epoch, observed, deadline, wait)

            later.poll = record

        async def answer_before_the_return(*args):
            answer = await poll(*args)
            if worker.is_up:
                restart()
                await asyncio.sleep(delay)
            return answer

        owner.workers.poll = answer_before_the_return
        await cluster.wait(lambda: told)
        cluster.externally_registered.clear()
        await cluster.submit("j1", make_job(StepSpec(3, SMALL, SECOND)))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertEqual(told[0], (0, None))
        self.assertEqual(len(cluster.list_starts("j1")), 3)
        self.end()

    # Otherwise the number of the last end is taken for that of the next incarnation.
    @virtual
    async def test_a_return_right_after_an_answer_loses_no_end(self):
        await self.check_return_after_an_answer(0.0)

    # Its answer was sent before the freeze, and the worker has restarted since.
    @virtual
    async def test_an_answer_that_was_read_late_confirms_no_birth(self):
        await self.check_return_after_an_answer(1.0)

    # A worker that is cut off from the owner alone registers its next incarnation.
    @virtual
    async def test_a_restart_behind_a_cut_is_found_by_its_registration(self):
        cluster = await self.begin(
            workers=2,
            has_births=True,
            behave=lambda t, a: Work(timedelta(seconds=2)),
        )
        await cluster.submit("j1", make_job(StepSpec(6, SMALL, SECOND)))
        await asyncio.sleep(1)
        owner = cluster.find_owner()
        owner.workers.cut_off.add("w0")
        worker = cluster.find_worker("w0")
        cluster.record_crash(worker)
        worker.kill()
        cluster.add_worker("w0", worker.info.address)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=7)
        owner.workers.cut_off.clear()
        await cluster.submit("j2", make_job(StepSpec(6, SMALL, SECOND)))
        await cluster.wait_for_state("j2", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts("j2")), 6)
        self.end()

    @virtual
    async def test_a_restart_in_the_middle_of_a_poll_loses_no_end(self):
        cluster = await self.begin(workers=1, has_births=True)
        for number in range(3):
            await cluster.submit(f"a{number}", make_job())
            await cluster.wait_for_state(f"a{number}", QueueJobState.COMPLETED)
        await asyncio.sleep(0.25)
        worker = cluster.find_worker("w0")
        worker.kill()
        cluster.add_worker("w0", worker.info.address)
        for number in range(3):
            await cluster.submit(f"b{number}", make_job())
            await cluster.wait_for_state(f"b{number}", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts()), 6)
        self.end()


class TestOrders(PoolCase):
    """Orders whose place is unknown when their worker restarts."""

    async def begin_with_a_lost_order(self, **options):
        """Let the answer to a start get lost, and restart its worker meanwhile."""
        cluster = await self.begin(workers=2, has_births=True, **options)
        await cluster.run_first_job()
        self.owner = cluster.find_owner()
        self.owner.workers.executes_late = True
        self.owner.workers.faults.plan("start", FaultKind.LOSE_ANSWER)
        return cluster

    async def lose_an_order(self, **options):
        """Let an order get lost on the way, and return its run and its worker."""
        cluster = await self.begin(workers=2, has_births=True, **options)
        await cluster.run_first_job()
        self.owner = cluster.find_owner()
        workers = self.owner.workers
        start = workers.start

        async def lose(*args):
            workers.start = start
            await asyncio.sleep(0.4)
            return Lost("timeout")

        workers.start = lose
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: workers.start is start)
        return self.find_worker_of_order("j1")

    def find_worker_of_order(self, job: str):
        """Return the worker on which a job's only run is ordered."""
        step = self.owner.owner.job_index.jobs[job].occurrences[0][0]
        (run,) = step.list_runs()
        return self.cluster.workers[run.worker], run

    # The order reached the next incarnation, and the task was started elsewhere as if
    # it had been lost with the earlier one.
    @virtual
    async def test_an_order_that_reached_the_next_incarnation_is_stopped_there(self):
        cluster = await self.begin_with_a_lost_order(
            behave=lambda t, a: Work(timedelta(seconds=3))
        )
        cluster.restart_delay = timedelta(milliseconds=300)
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: self.owner.workers._late_orders)
        worker, run = self.find_worker_of_order("j1")
        cluster.crash(worker)
        name = worker.incarnation.name
        await cluster.wait(lambda: cluster.find_worker(name).starts)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        later = cluster.find_worker(name)
        self.assertEqual(run.worker, later.info.identifier)
        self.assertEqual([row[2] for row in later.history][:1], [EndKind.STOPPED])
        starts = cluster.list_starts("j1")
        self.assertEqual(len(starts), 2)
        self.assertGreaterEqual(starts[1][0], later.history[0][4])
        self.end()

    # The task must not start again before the next incarnation has shown that it
    # doesn't run it, and until then it counts towards its account's quota.
    @virtual
    async def test_a_moved_order_keeps_its_task_and_its_quota(self):
        worker, run = await self.lose_an_order()
        cluster = self.cluster
        cluster.restart_delay = timedelta(milliseconds=300)
        limits = self.owner.owner.account_limits
        used = limits.get_usage("")
        self.assertEqual(used, SMALL)
        stop, stops = self.owner.workers.stop, []

        async def lose_stops(info, *args):
            stops.append(info.identifier)
            if len(stops) > 3:
                return await stop(info, *args)
            await asyncio.sleep(0.4)
            return Lost("timeout")

        self.owner.workers.stop = lose_stops
        cluster.crash(worker)
        await cluster.wait(lambda: len(stops) > 2)
        self.assertIs(run.phase, RunPhase.DOUBTFUL)
        self.assertNotEqual(run.worker, worker.info.identifier)
        self.assertEqual(run.task.runs, [run])
        self.assertEqual(limits.get_usage(""), used)
        contact = self.owner.owner.contacts[run.worker]
        self.assertEqual(list(contact.runs.values()), [run])
        # A successor must find the crash of the one and the order on the other.
        roster = decode_record(RosterRecord, cluster.store.entries[ROSTER_KEY].value)
        known = {w.identifier for w in roster.workers}
        self.assertLess({worker.info.identifier, run.worker}, known)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # A start that is confirmed by the next incarnation would count as one of the
    # earlier one, and its task would be started again when that is found to be gone.
    @virtual
    async def test_an_order_sent_before_the_restart_is_noticed_runs_once(self):
        cluster = await self.begin(
            workers=1,
            has_births=True,
            behave=lambda t, a: Work(timedelta(seconds=2)),
        )
        await cluster.run_first_job()
        owner = cluster.find_owner()
        poll = owner.workers.poll
        restarted = []

        async def restart_before_a_poll(info, *args):
            if not restarted:
                worker = cluster.find_worker("w0")
                worker.kill()
                restarted.append(cluster.add_worker("w0", worker.info.address))
                await cluster.submit("j1", make_job())
                await cluster.wait(lambda: bool(restarted[0].starts), 5)
            return await poll(info, *args)

        owner.workers.poll = restart_before_a_poll
        await cluster.wait(lambda: bool(restarted))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # Until the poll in flight is lost, more orders would go to the next incarnation.
    @virtual
    async def test_a_clock_that_goes_back_is_followed_by_a_poll_at_once(self):
        cluster = await self.begin(workers=1, has_births=True)
        await cluster.run_first_job()
        contacts = cluster.find_owner().owner.contacts
        worker = cluster.find_worker("w0")
        await asyncio.sleep(0.1)
        cluster.externally_registered.add("w0")
        worker.kill()
        with mock.patch.object(cluster, "register"):
            later = cluster.add_worker("w0", worker.info.address)
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: bool(later.starts))
        started_at = later.starts[0][0]
        await cluster.wait(lambda: later.info.identifier in contacts)
        found_after = cluster.clock.monotonic() - started_at
        self.assertLess(found_after, timedelta(milliseconds=50))
        cluster.externally_registered.clear()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # The stop of an abandoned order is forgotten with the incarnation that confirmed
    # it, and the order might still be on its way.
    @virtual
    async def test_an_abandoned_order_is_stopped_on_the_next_incarnation(self):
        worker, run = await self.lose_an_order()
        cluster = self.cluster
        await cluster.wait(lambda: run not in run.task.runs)
        stop, stops = self.owner.workers.stop, []

        async def record(info, epoch, task, attempt):
            stops.append((info.identifier, task, attempt))
            return await stop(info, epoch, task, attempt)

        self.owner.workers.stop = record
        worker.kill()
        later = cluster.add_worker(worker.incarnation.name, worker.info.address)
        await asyncio.sleep(0.6)
        expected = (later.info.identifier, run.task.name, run.attempt)
        self.assertIn(expected, stops)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # An order may be carried out 12 s after it was sent. It was forgotten after 1.2 s,
    # and when the contact to the earlier incarnation had ended.
    @virtual
    async def test_an_abandoned_order_is_stopped_on_a_later_return(self):
        worker, run = await self.lose_an_order()
        cluster, name = self.cluster, worker.incarnation.name
        await cluster.wait(lambda: run not in run.task.runs)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        cluster.restart_delay = None
        cluster.crash(worker)
        await asyncio.sleep(9)
        self.assertNotIn(worker.info.identifier, self.owner.owner.contacts)
        await self.assert_stopped_after_returns(name, worker.info.address, run)

    # A lease that had expired was taken for the end of the order as well.
    @virtual
    async def test_an_order_under_an_expired_lease_is_stopped_on_a_return(self):
        worker, run = await self.lose_an_order()
        cluster, name = self.cluster, worker.incarnation.name
        self.owner.workers.cut_off.add(name)
        cluster.restart_delay = None
        cluster.crash(worker)
        await cluster.wait(lambda: run not in run.task.runs, seconds=9)
        self.owner.workers.cut_off.clear()
        await self.assert_stopped_after_returns(name, worker.info.address, run)

    # The stop was forgotten when the lease of the incarnation that was cut off expired.
    @virtual
    async def test_an_abandoned_order_is_stopped_after_a_long_cut(self):
        worker, run = await self.lose_an_order()
        cluster, name = self.cluster, worker.incarnation.name
        await cluster.wait(lambda: run not in run.task.runs)
        self.owner.workers.cut_off.add(name)
        worker.kill()
        later = cluster.add_worker(name, worker.info.address)
        await asyncio.sleep(8)
        self.owner.workers.cut_off.clear()
        await asyncio.sleep(1)
        barred = later._barred_attempts.get(run.task.name, 0)
        self.assertGreaterEqual(barred, run.attempt)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    async def assert_stopped_after_returns(self, name, address, run) -> None:
        """Let a worker return twice, and check that an order is refused each time."""
        for _ in range(2):
            worker = self.cluster.add_worker(name, address)
            await asyncio.sleep(1)
            barred = worker._barred_attempts.get(run.task.name, 0)
            self.assertGreaterEqual(barred, run.attempt)
            worker.kill()
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # Each lost order of a worker that never restarts stayed in memory.
    def test_abandoned_orders_are_bounded(self):
        orders = PassedOrders()
        for number in range(200):
            orders.record_abandoned({(TaskName("j", 0, 0, number), 1): number}, number)
        self.assertLessEqual(len(orders._abandoned), LATE_ORDER_SECONDS)
        keys = {(TaskName("j", 0, 0, number), 1): 200.0 for number in range(200)}
        orders.record_abandoned(keys, 200.0)
        self.assertEqual(len(orders.take_abandoned(200.0)), MAX_ABANDONED_ORDERS)
        self.assertEqual(orders.take_abandoned(200.0), {})

    # Once its contact has ended, an order would start a task on the next incarnation
    # that nobody looks for there.
    @virtual
    async def test_no_order_is_sent_for_an_incarnation_that_has_ended(self):
        cluster = await self.begin(workers=1, has_births=True)
        await cluster.run_first_job()
        owner = cluster.find_owner().owner
        worker = cluster.find_worker("w0")
        contact = owner.contacts[worker.info.identifier]
        worker.kill()
        later = cluster.add_worker("w0", worker.info.address)
        await cluster.wait(lambda: contact.is_gone)
        task = owner.job_index.jobs["j0"].occurrences[0][0].tasks[0]
        run = Run(task, worker.info.identifier, 9, 0.0)
        self.assertFalse(await contact.start(run, "", "", ""))
        self.assertEqual(later.starts, [])
        self.end()

    # The answer would confirm the run on the next incarnation, where a list without it
    # would then settle it although its stop is not confirmed.
    @virtual
    async def test_a_late_answer_to_an_order_that_was_moved_changes_nothing(self):
        cluster = await self.begin(workers=2, has_births=True)
        await cluster.run_first_job()
        self.owner = cluster.find_owner()
        answered = asyncio.Event()

        async def answer_late(*args):
            await asyncio.sleep(1.5)
            answered.set()
            return Done(cluster.clock.monotonic())

        with mock.patch.object(self.owner.workers, "start", answer_late):
            await cluster.submit("j1", make_job())
            await asyncio.sleep(0.1)
        worker, run = self.find_worker_of_order("j1")
        name = worker.incarnation.name
        worker.kill()
        self.owner.workers.cut_off.add(name)
        cluster.add_worker(name, worker.info.address)
        await answered.wait()
        await asyncio.sleep(0.01)
        self.assertNotEqual(run.worker, worker.info.identifier)
        self.assertIs(run.phase, RunPhase.DOUBTFUL)
        self.owner.workers.cut_off.clear()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # The lease of the next incarnation was granted by nobody but the order, so it
    # counted as over at once.
    @virtual
    async def test_an_order_on_an_unreachable_incarnation_waits_for_its_lease(self):
        cluster = await self.begin_with_a_lost_order(
            behave=lambda t, a: Work(timedelta(seconds=3))
        )
        cluster.restart_delay = timedelta(milliseconds=300)
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: self.owner.workers._late_orders)
        worker, _ = self.find_worker_of_order("j1")
        name = worker.incarnation.name
        cluster.crash(worker)
        self.owner.workers.cut_off.add(name)
        await cluster.wait(lambda: cluster.find_worker(name).starts)
        await asyncio.sleep(2.5)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.owner.workers.cut_off.clear()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # A stop that the earlier incarnation confirmed doesn't bar the order on the next
    # one, which the order may reach later.
    @virtual
    async def test_a_stop_that_an_earlier_incarnation_confirmed_is_repeated(self):
        with mock.patch("standins.pools.LATE_ORDER_DELAY", timedelta(seconds=2.1)):
            cluster = await self.begin_with_a_lost_order(
                behave=lambda t, a: Work(timedelta(seconds=3))
            )
            stop, stopped = self.owner.workers.stop, []

            async def crash_after_the_stop(info, *args):
                done = await stop(info, *args)
                if not stopped:
                    stopped.append(info.identifier)
                    worker = cluster.workers[info.identifier]
                    cluster.externally_registered.add(worker.incarnation.name)
                    worker.kill()
                    asyncio.get_running_loop().call_later(
                        0.25, return_unregistered, worker
                    )
                return done

            # Without a registration the task can't start again on the same worker,
            # which would then refuse the earlier attempt.
            def return_unregistered(worker) -> None:
                with mock.patch.object(cluster, "register"):
                    cluster.add_worker(worker.incarnation.name, worker.info.address)

            self.owner.workers.stop = crash_after_the_stop
            await cluster.submit("j1", make_job())
            await cluster.wait(lambda: bool(stopped))
            await asyncio.sleep(3)
            await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.end()

    @virtual
    async def test_a_restart_while_a_stop_is_in_progress_runs_nothing_twice(self):
        cluster = await self.begin(
            workers=2,
            has_births=True,
            behave=lambda t, a: Work(timedelta(seconds=9)),
        )
        await cluster.submit("j1", make_job())
        await asyncio.sleep(1)
        owner = cluster.find_owner()
        stop = owner.workers.stop
        worker = cluster.find_host("j1")

        async def restart_before_a_stop(info, *args):
            if worker.is_up:
                worker.kill()
                cluster.add_worker(worker.incarnation.name, worker.info.address)
            return await stop(info, *args)

        owner.workers.stop = restart_before_a_stop
        (run,) = owner.owner.job_index.jobs["j1"].occurrences[0][0].list_runs()
        owner.owner.stop(run)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertFalse(worker.is_up)
        self.assertEqual(len(cluster.list_starts("j1")), 2)
        self.end()

    # Members whose place is unknown keep the gang from starting again, as two attempts
    # of it must never run beside each other.
    @virtual
    async def test_a_gang_starts_again_once_all_its_members_are_settled(self):
        cluster = await self.begin_with_a_lost_order(
            behave=lambda t, a: Work(timedelta(seconds=2))
        )
        cluster.restart_delay = timedelta(milliseconds=300)
        gang = StepSpec(6, SMALL, SECOND, is_gang=True)
        await cluster.submit("j1", make_job(gang))
        await cluster.wait(lambda: self.owner.workers._late_orders)
        await asyncio.sleep(0.05)
        for worker in list(cluster.workers.values()):
            cluster.crash(worker)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        spans = {}
        for worker in cluster.workers.values():
            for task, attempt, _, begin, end in worker.history:
                if task.job == "j1":
                    spans.setdefault(attempt, []).append((begin, end))
        for earlier, later in itertools.pairwise(sorted(spans)):
            ended_at = max(end for _, end in spans[earlier])
            self.assertLessEqual(ended_at, min(begin for begin, _ in spans[later]))
        self.end()


class TestRegistrations(PoolCase):
    """What the owner does by registrations that contradict what is known."""

    kind = WireCluster

    async def begin_alone(self) -> None:
        """Start a cluster whose only worker has run a job."""
        await self.begin(workers=1, has_births=True)
        await self.cluster.run_first_job()
        self.worker = self.cluster.find_worker("w0")

    def find_contact(self, worker):
        """Return the owner's contact to an incarnation, ``None`` if it has none."""
        owner = self.cluster.find_owner().owner
        return owner.contacts.get(worker.info.identifier)

    def register(self, **changes) -> None:
        """Write the worker's registration with other values."""
        self.cluster.externally_registered.add("w0")
        self.cluster.register(self.worker, **changes)

    async def assert_unusable(self, **changes) -> None:
        """Check that the worker gets no orders until its entry is usable again."""
        await self.begin_alone()
        self.register(**changes)
        await asyncio.sleep(1.5)
        contact = self.find_contact(self.worker)
        self.assertTrue(contact is None or not contact.is_listed)
        await self.cluster.submit("j1", make_job())
        await asyncio.sleep(1)
        self.assertEqual(self.cluster.list_starts("j1"), [])
        self.cluster.externally_registered.clear()
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # Orders would go to an incarnation that nobody can name.
    @virtual
    async def test_a_worker_whose_entry_lost_its_birth_gets_no_orders(self):
        await self.assert_unusable(born="left out")

    @virtual
    async def test_a_worker_whose_birth_is_no_whole_number_gets_no_orders(self):
        await self.assert_unusable(born=True)

    @virtual
    async def test_the_same_birth_at_another_address_gets_no_orders(self):
        await self.assert_unusable(address="10.0.0.99:1")

    # Its list names an incarnation, and its registration none.
    @virtual
    async def test_a_worker_that_lists_an_unregistered_birth_gets_no_orders(self):
        kind = type("Cluster", (WireCluster,), {"registers_births": False})
        self.cluster = cluster = kind(workers=1, has_births=True)
        await cluster.start()
        await cluster.submit("j1", make_job())
        await asyncio.sleep(2)
        self.assertEqual(cluster.list_starts("j1"), [])
        cluster.registers_births = True
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        contacts = cluster.find_owner().owner.contacts
        self.assertEqual(set(contacts), set(cluster.workers))
        self.end()

    # A lagging entry would replace the living incarnation.
    @virtual
    async def test_a_birth_that_goes_back_changes_nothing(self):
        await self.begin_alone()
        self.register(born=FIRST_BIRTH - 5)
        await asyncio.sleep(1)
        self.assertTrue(self.find_contact(self.worker).is_listed)
        self.cluster.externally_registered.clear()
        await self.cluster.submit("j1", make_job())
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        self.assertEqual(len(self.cluster.list_starts()), 2)
        self.end()

    # Entries with the birth that the worker lists counted as outdated from then on, so
    # that a single entry with a later one took it out of use until the owner changed.
    @virtual
    async def test_a_later_birth_that_no_list_confirms_ends_no_use(self):
        await self.begin_alone()
        self.register(born=FIRST_BIRTH + 3_600_000)
        await asyncio.sleep(1)
        self.cluster.externally_registered.clear()
        await self.cluster.submit("j1", make_job())
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=9)
        self.assertTrue(self.find_contact(self.worker).is_listed)
        self.register(born=FIRST_BIRTH + 3_600_000)
        await asyncio.sleep(1)
        self.assertTrue(self.find_contact(self.worker).is_listed)
        self.cluster.externally_registered.clear()
        self.end()

    # The order was passed to the later birth and back to a contact that waited for it
    # to be settled, so that its task and its quota were never released.
    @virtual
    async def test_an_order_that_is_passed_back_is_settled(self):
        await self.begin_alone()
        owner = self.cluster.find_owner()

        async def lose(*args):
            await asyncio.sleep(0.4)
            return Lost("timeout")

        with (
            mock.patch.object(owner.workers, "start", lose),
            mock.patch.object(owner.workers, "stop", lose),
        ):
            await self.cluster.submit("j1", make_job())
            await asyncio.sleep(0.1)
            self.register(born=FIRST_BIRTH + 3_600_000)
            await asyncio.sleep(1)
        self.cluster.externally_registered.clear()
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=9)
        self.assertEqual(owner.owner.account_limits.get_usage(""), Size())
        self.assertEqual(set(owner.owner.contacts), {self.worker.info.identifier})
        self.end()

    # The next incarnation may be of another kind and size than the one registered.
    @virtual
    async def test_an_incarnation_that_is_only_listed_gets_no_orders(self):
        await self.begin_alone()
        cluster = self.cluster
        self.worker.kill()
        cluster.externally_registered.add("w0")
        with mock.patch.object(cluster, "register"):
            later = cluster.add_worker("w0", self.worker.info.address)
        await cluster.wait(lambda: self.find_contact(self.worker) is None)
        await cluster.submit("j1", make_job())
        await asyncio.sleep(2)
        self.assertEqual(later.starts, [])
        cluster.externally_registered.clear()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()


class TestTakeovers(PoolCase):
    """Workers that return under their name while the owner changes."""

    async def take_over(self, restart):
        """Kill the owner, let workers restart and return their successor."""
        cluster = self.cluster
        cluster.find_owner().kill()
        restart()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        return cluster.find_owner()

    async def begin_with_a_job(self):
        """Start a cluster that runs a wide job."""
        cluster = await self.begin(
            workers=2,
            has_births=True,
            behave=lambda t, a: Work(timedelta(seconds=2)),
        )
        await cluster.submit("j1", make_job(StepSpec(6, SMALL, SECOND)))
        await asyncio.sleep(1.2)
        return cluster

    @virtual
    async def test_a_restart_before_a_takeover_is_found_by_the_successor(self):
        cluster = await self.begin_with_a_job()

        def restart() -> None:
            worker = cluster.find_worker("w0")
            worker.kill()
            cluster.add_worker("w0", worker.info.address)

        owner = await self.take_over(restart)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, owner.name, 9)
        self.end()

    # The successor finds the end by a list, while it reconciles workers, and the
    # registration of the earlier incarnation is still there.
    @virtual
    async def test_a_restart_during_a_takeover_is_found_by_a_list(self):
        cluster = await self.begin_with_a_job()
        worker = cluster.find_worker("w0")

        def restart() -> None:
            cluster.externally_registered.add("w0")
            cluster.record_crash(worker)
            worker.kill()
            asyncio.get_running_loop().call_later(0.3, return_unregistered)

        def return_unregistered() -> None:
            with mock.patch.object(cluster, "register"):
                cluster.add_worker("w0", worker.info.address)

        owner = await self.take_over(restart)
        contacts, fleet = owner.owner.contacts, owner.owner._fleet
        self.assertIn(worker.info.identifier, fleet._unreconciled)
        await cluster.wait(lambda: worker.info.identifier not in contacts, seconds=2)
        await cluster.wait(lambda: fleet.unreconciled_count == 0, seconds=1)
        self.assertNotIn("w0", [w.incarnation.name for w in self.list_usable(owner)])
        cluster.externally_registered.clear()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, owner.name, 9)
        self.end()

    def list_usable(self, owner):
        """List the contacts of an owner that may get orders."""
        contacts = owner.owner.contacts.values()
        return [c for c in contacts if c.is_usable(self.cluster._now())]

    # An order of the previous owner may be on its way to the next incarnation, which
    # has seen no epoch.
    async def check_wait_for_the_next_incarnation(self, is_recorded: bool) -> None:
        cluster = await self.begin_with_a_job()
        daemons = cluster.daemons.values()
        worker = cluster.find_worker("w0")

        def crash_behind_a_cut() -> None:
            if not is_recorded:
                cluster.forget_recording()
            cluster.record_crash(worker)
            worker.kill()
            for daemon in daemons:
                daemon.workers.cut_off.add("w0")

        owner = await self.take_over(crash_behind_a_cut)
        fleet = owner.owner._fleet
        await asyncio.sleep(0.5)
        self.assertEqual(set(fleet._unreconciled), {worker.info.identifier})
        later = cluster.add_worker("w0", worker.info.address)
        await asyncio.sleep(1)
        self.assertEqual(set(fleet._unreconciled), {later.info.identifier})
        job = owner.owner.job_index.jobs["j1"]
        self.assertEqual(job.has_unconfirmed_runs, not is_recorded)
        if is_recorded:
            runs = [run for step in job.list_steps() for run in step.list_runs()]
            self.assertEqual({run.worker for run in runs}, {later.info.identifier})
        for daemon in daemons:
            daemon.workers.cut_off.clear()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, owner.name)
        self.assertEqual(fleet.unreconciled_count, 0)
        self.end()

    @virtual
    async def test_a_job_waits_until_the_next_incarnation_is_read(self):
        await self.check_wait_for_the_next_incarnation(is_recorded=False)

    @virtual
    async def test_a_recorded_run_waits_until_the_next_incarnation_is_read(self):
        await self.check_wait_for_the_next_incarnation(is_recorded=True)

    # A roster of an earlier version names the worker without its birth. Its runs must
    # be adopted and not be taken for those of an incarnation that has ended.
    @virtual
    async def test_a_roster_entry_without_a_birth_is_the_same_worker(self):
        cluster = await self.begin_with_a_job()
        entry = cluster.store.entries[ROSTER_KEY]
        roster = decode_record(RosterRecord, entry.value)
        names = tuple(
            worker._replace(identifier=WorkerIncarnation.parse(worker.identifier).name)
            for worker in roster.workers
        )

        def rewrite() -> None:
            cluster.store.set(ROSTER_KEY, encode_record(RosterRecord(names)))

        owner = await self.take_over(rewrite)
        contacts = owner.owner.contacts
        self.assertEqual(set(contacts), {"w0", "w1"})
        await cluster.submit("j2", make_job(), owner.name)
        await cluster.wait(lambda: len(contacts) == 2 and "w0" not in contacts, 9)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, owner.name)
        await cluster.wait_for_state("j2", QueueJobState.COMPLETED, owner.name)
        self.assertEqual(len(cluster.list_starts("j1")), 6)
        self.assertEqual(set(contacts), set(cluster.workers))
        self.end()


class TestCrashCounts(PoolCase):
    """What counts against tasks whose workers return under their name."""

    # A run that no list has shown is settled on the next incarnation; if it counted for
    # nothing, its task would crash one worker after another.
    @virtual
    async def test_a_task_that_crashes_workers_at_once_is_given_up(self):
        crash = Work(timedelta(seconds=2), crash_after=timedelta(milliseconds=10))
        cluster = await self.begin(
            workers=3, has_births=True, behave=lambda t, a: crash
        )
        cluster.restart_delay = timedelta(milliseconds=300)
        await asyncio.sleep(4)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.FAILED)
        self.assertLessEqual(len(cluster.list_starts("j1")), 3)
        self.end()

    # Its lease is over before it returns, so its runs were abandoned as unconfirmed.
    @virtual
    async def test_a_return_at_another_address_proves_a_crash(self):
        cluster = await self.begin(
            workers=2,
            has_births=True,
            behave=lambda t, a: Work(timedelta(seconds=60)),
        )
        await cluster.submit("j1", make_job())
        await asyncio.sleep(1)
        worker = cluster.find_host("j1")
        cluster.restart_delay = None
        cluster.crash(worker)
        step = cluster.find_owner().owner.job_index.jobs["j1"].occurrences[0][0]
        await cluster.wait(lambda: bool(step.crash_counts.unconfirmed))
        contacts = cluster.find_owner().owner.contacts
        await cluster.wait(lambda: worker.info.identifier not in contacts)
        cluster.add_worker(worker.incarnation.name, "10.0.0.77:1")
        await cluster.wait(lambda: not step.crash_counts.unconfirmed)
        self.assertEqual(step.crash_counts.count(0), 1)
        self.cluster.close()

    @virtual
    async def test_runs_of_a_worker_that_returns_within_its_lease_count_at_once(self):
        cluster = await self.begin(
            workers=2,
            has_births=True,
            behave=lambda t, a: Work(timedelta(seconds=60)),
        )
        await cluster.submit("j1", make_job())
        await asyncio.sleep(1)
        worker = cluster.find_host("j1")
        cluster.restart_delay = timedelta(milliseconds=300)
        cluster.crash(worker)
        step = cluster.find_owner().owner.job_index.jobs["j1"].occurrences[0][0]
        await cluster.wait(lambda: step.crash_counts.count(0) == 1, seconds=1.5)
        self.cluster.close()
