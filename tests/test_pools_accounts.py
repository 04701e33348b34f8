"""Tests client accounts on clusters: access to jobs, revoked keys and quotas."""

import asyncio
from datetime import timedelta
from unittest import mock

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.owner import PoolOwner
from damaskdeck.protocol.callresults import (
    Caller,
    CallRejected,
    CallRejectionCode,
    JobAccepted,
    JobNotAccepted,
    JobNotFound,
    JobStateFound,
)
from damaskdeck.protocol.clientaccounts import digest_key
from damaskdeck.protocol.ports import Written
from damaskdeck.protocol.queues import QueueJobState, StepSpec, TaskName
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes
from standins.pools import Work
from tests.poolcluster import (
    ADVISOR_TIMING,
    BOUNDS,
    SECOND,
    SMALL,
    PoolCase,
    make_account,
    make_job,
    make_queue,
)
from tests.usage import find_overuse, read_jobs
from tests.virtual import virtual

QUEUE = make_queue(is_public=False)
KIOSK = Caller("kiosk", "plans", digest_key(b"key-1"))
OTHER = Caller("other", "plans", digest_key(b"key-2"))
# Two tasks of a core and a GiB at a time.
QUOTA = Size(2000, 2000, 0)


def make_accounts(quota: Size = QUOTA, keys: tuple[str, ...] = ("key-1",)):
    """Return the accounts of these tests."""
    kiosk = make_account("kiosk", *keys, quota=quota)
    return kiosk, make_account("other", "key-2", quota=Size(9000, 9000, 9))


class AccountsCase(PoolCase):
    """A cluster with two accounts."""

    async def begin_accounts(self, quota: Size = QUOTA, **options):
        """Start the cluster."""
        cluster = await self.begin(
            queues=(QUEUE,), accounts=make_accounts(quota), **options
        )
        await asyncio.sleep(0.1)
        return cluster

    async def submit(self, job: str, spec=None, daemon: str = "d0", caller=KIOSK):
        """Submit a job."""
        frontend = self.cluster.daemons[daemon].frontend
        return await frontend.submit(QUEUE, job, spec or make_job(), caller)

    def find_overuse(self) -> list[str]:
        """Return the starts on workers that exceeded a quota."""
        jobs = read_jobs(self.cluster)

        def find_size(task: TaskName) -> tuple[str, Size]:
            record = jobs[task.job]
            return record.account, record.spec.steps[task.step].size

        return find_overuse(self.cluster, find_size)

    def assert_within_quota(self) -> None:
        """Check all starts on workers against the quotas."""
        self.assertEqual(self.find_overuse(), [])


class TestWhoCalls(AccountsCase):
    """A job belongs to its account."""

    @virtual
    async def test_another_account_does_not_find_a_job(self):
        cluster = await self.begin_accounts()
        self.assertEqual(await self.submit("j1"), JobAccepted())
        for daemon in cluster.daemons.values():
            self.assertEqual(
                await daemon.frontend.read_state("j1", OTHER), JobNotFound()
            )
            self.assertEqual(await daemon.frontend.cancel("j1", OTHER), JobNotFound())
        await asyncio.sleep(3)
        done = JobStateFound(QueueJobState.COMPLETED)
        for daemon in cluster.daemons.values():
            self.assertEqual(await daemon.frontend.read_state("j1", KIOSK), done)
            self.assertEqual(
                await daemon.frontend.read_state("j1", OTHER), JobNotFound()
            )
        self.end()

    @virtual
    async def test_another_account_cannot_submit_the_same_job(self):
        cluster = await self.begin_accounts()
        self.assertEqual(await self.submit("j1"), JobAccepted())
        self.assertEqual(await self.submit("j1", daemon="d1"), JobAccepted())
        again = await self.submit("j1", daemon="d1", caller=OTHER)
        self.assertEqual(again, CallRejected(CallRejectionCode.IDENTIFIER_IN_USE))
        await asyncio.sleep(2)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.end()

    @virtual
    async def test_jobs_of_a_queue_that_becomes_private_stay_visible(self):
        cluster = await self.begin_accounts()
        cluster.declare((QUEUE._replace(is_public=True),), make_accounts())
        await asyncio.sleep(0.1)
        anyone = Caller(queue="plans")
        self.assertEqual(await self.submit("j1", caller=anyone), JobAccepted())
        self.assertIsInstance(
            await cluster.daemons["d1"].frontend.read_state("j1", KIOSK), JobStateFound
        )
        self.end()

    @virtual
    async def test_without_the_owner_the_store_identifies_the_account(self):
        cluster = await self.begin_accounts()
        self.assertEqual(await self.submit("j1"), JobAccepted())
        daemon = cluster.find_other_daemon()
        for other in cluster.daemons:
            if other != daemon.name:
                cluster.switch.cut_both(daemon.name, other)
        self.assertIsInstance(
            await daemon.frontend.read_state("j1", KIOSK), JobStateFound
        )
        self.assertEqual(await daemon.frontend.read_state("j1", OTHER), JobNotFound())
        self.assertEqual(await daemon.frontend.cancel("j1", OTHER), JobNotFound())
        self.end()


class TestKeysTakenAway(AccountsCase):
    """A revoked key has no effect any more."""

    @virtual
    async def test_a_commit_is_refused_after_a_revocation_unknown_to_the_daemon(self):
        cluster = await self.begin_accounts()
        frontend = cluster.daemons["d0"].frontend
        # The key is revoked while the call is in flight, before a watch reports it.
        cluster.declare((QUEUE,), make_accounts(keys=()))
        done = await frontend.submit(QUEUE, "j1", make_job(), KIOSK)
        self.assertEqual(done, CallRejected(CallRejectionCode.UNKNOWN_KEY))
        self.assertNotIn("damaskdeck/inbox/jobs/j1", cluster.store.entries)
        self.end()

    @virtual
    async def test_a_job_stored_without_an_answer_is_not_refused(self):
        cluster = await self.begin_accounts()
        daemon = cluster.daemons["d0"]

        async def lose_answer(transaction, timeout=None, max_reply_bytes=None):
            daemon.store.commit = commit
            # The key is revoked before the retry, and no watch has reported that yet.
            # The job is stored and will run.
            self.assertIsInstance(await commit(transaction), Written)
            cluster.declare((QUEUE,), make_accounts(keys=()))
            return await commit(transaction)

        commit, daemon.store.commit = daemon.store.commit, lose_answer
        self.assertEqual(await self.submit("j1"), JobAccepted())
        self.end()

    @virtual
    async def test_a_call_that_is_still_authorized_survives_a_new_document(self):
        cluster = await self.begin_accounts()
        cluster.declare((QUEUE,), make_accounts(keys=("key-1", "key-9")))
        self.assertEqual(await self.submit("j1"), JobAccepted())
        self.end()

    @virtual
    async def test_a_daemon_that_the_store_rejects_submits_nothing(self):
        cluster = await self.begin_accounts()
        daemon = cluster.find_other_daemon()
        daemon.store.faults.outage = True
        await asyncio.sleep(1)
        # Its delegates reach the store and verify the key by their own document.
        self.assertEqual(await self.submit("j1", daemon=daemon.name), JobAccepted())
        cluster.declare((QUEUE,), make_accounts(keys=()))
        await asyncio.sleep(0.1)
        done = await self.submit("j2", daemon=daemon.name)
        self.assertIsInstance(done, JobNotAccepted)
        self.assertNotIn("damaskdeck/inbox/jobs/j2", cluster.store.entries)
        self.end()

    @virtual
    async def test_a_restarted_daemon_without_the_store_authorizes_no_calls(self):
        cluster = await self.begin_accounts()
        daemon = cluster.find_other_daemon()
        daemon.kill()
        restarted = cluster.add_daemon(daemon.name)
        restarted.store.faults.outage = True
        restarted.start()
        await asyncio.sleep(2)
        result = restarted.authorizer.authorize("a.example", "/plans/0a", b"key-1")
        self.assertEqual(result, CallRejected(CallRejectionCode.NO_DOCUMENT))
        self.end()

    @virtual
    async def test_a_document_is_stale_after_a_suspend(self):
        cluster = await self.begin_accounts()
        daemon = cluster.find_other_daemon()
        daemon.freeze()
        daemon.store.faults.outage = True
        await asyncio.sleep(6)
        result = daemon.authorizer.authorize("a.example", "/plans/0a", b"key-1")
        self.assertEqual(result, CallRejected(CallRejectionCode.STALE_DOCUMENT))
        daemon.thaw()
        self.end()


class TestQuotas(AccountsCase):
    """The usage of an account never exceeds its quota."""

    @virtual
    async def test_a_wide_step_runs_in_waves(self):
        cluster = await self.begin_accounts()
        spec = make_job(StepSpec(7, SMALL, SECOND))
        self.assertEqual(await self.submit("j1", spec), JobAccepted())
        await asyncio.sleep(6)
        self.assertEqual(
            await cluster.daemons["d0"].frontend.read_state("j1", KIOSK),
            JobStateFound(QueueJobState.COMPLETED),
        )
        self.assert_within_quota()
        # There are four waves of a second each, and little time between them.
        starts = [at for at, *_ in cluster.list_starts("j1")]
        self.assertLess(starts[-1] - starts[0], timedelta(seconds=3.6))
        self.end()

    @virtual
    async def test_one_account_at_its_quota_does_not_delay_another(self):
        cluster = await self.begin_accounts()
        await self.submit("j1", make_job(StepSpec(8, SMALL, 5 * SECOND)))
        await self.submit("j2", make_job(StepSpec(4, SMALL, SECOND)), caller=OTHER)
        await asyncio.sleep(0.5)
        self.assertEqual(len(cluster.list_starts("j2")), 4)
        self.assert_within_quota()
        self.end()

    @virtual
    async def test_a_gang_above_the_quota_starts_when_the_quota_is_raised(self):
        cluster = await self.begin_accounts()
        await self.submit("g", make_job(StepSpec(4, SMALL, SECOND, is_gang=True)))
        await self.submit("j1")
        await asyncio.sleep(5)
        # The gang waits, and the job behind it does not.
        self.assertEqual(cluster.list_starts("g"), [])
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        cluster.declare((QUEUE,), make_accounts(Size(4000, 4000, 0)))
        await asyncio.sleep(1)
        self.assertEqual(len(cluster.list_starts("g")), 4)
        self.end()

    @virtual
    async def test_the_advisor_is_queried_about_the_first_step_held_back(self):
        queue = QUEUE._replace(advice=ADVISOR_TIMING)
        cluster = await self.begin(queues=(queue,), accounts=make_accounts())
        await asyncio.sleep(0.1)
        frontend = cluster.daemons["d0"].frontend
        gang = StepSpec(2, SMALL, SECOND, is_gang=True)
        for name in ("g1", "g2", "g3"):
            await frontend.submit(queue, name, make_job(gang), KIOSK)
            await asyncio.sleep(0.2)
        asked = {
            step.partition(".")[0]
            for daemon in cluster.daemons.values()
            for step, _ in daemon.advisor.calls
        }
        # Of the steps that the quota holds back only the first has tickets.
        self.assertEqual(len(asked), 2)
        await asyncio.sleep(4)
        self.assertEqual(len(cluster.list_starts()), 6)
        self.assert_within_quota()
        self.end()

    @virtual
    async def test_a_lower_quota_applies_to_later_starts(self):
        cluster = await self.begin_accounts(Size(6000, 6000, 0))
        await self.submit("j1", make_job(StepSpec(12, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        cluster.declare((QUEUE,), make_accounts(Size(1000, 1000, 0)))
        await asyncio.sleep(12)
        self.assertEqual(len(cluster.list_starts("j1")), 12)
        self.assert_within_quota()
        self.end()

    async def lower_during_an_outage(self):
        """Lower a quota in use during an outage of the store for all daemons, for 8 s.

        The capacity of workers counts as fresh, so that the quota alone limits the
        owner.

        :returns: The cluster and the starts by the outdated quota.
        """
        fresh_capacity = mock.patch.object(
            WorkerContact, "is_capacity_fresh", lambda self, now: True
        )
        self.enterContext(fresh_capacity)
        cluster = await self.begin_accounts(Size(6000, 6000, 0))
        owner = cluster.find_owner()
        await self.submit("j1", make_job(StepSpec(60, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        for daemon in cluster.daemons.values():
            daemon.store.faults.outage = True
        cluster.declare((QUEUE,), make_accounts(Size(1000, 1000, 0)))
        lowered_at = cluster.clock.monotonic()
        await asyncio.sleep(8)
        self.assertIs(cluster.find_owner(), owner)
        applied_at = lowered_at + BOUNDS.in_force
        return cluster, [
            row for row in cluster.list_starts("j1") if row[0] > applied_at
        ]

    @virtual
    async def test_an_owner_without_the_store_starts_nothing_by_an_outdated_quota(self):
        cluster, late_starts = await self.lower_during_an_outage()
        self.assertEqual(late_starts, [])
        self.assert_within_quota()
        for daemon in cluster.daemons.values():
            daemon.store.faults.outage = False
        await asyncio.sleep(2)
        self.assert_within_quota()
        last_start, *_ = cluster.list_starts("j1")[-1]
        self.assertGreater(last_start, cluster.clock.monotonic() - 2 * SECOND)
        self.end()

    @virtual
    async def test_the_checker_detects_an_owner_that_uses_an_outdated_quota(self):
        without_check = mock.patch.object(
            PoolOwner, "are_quotas_fresh", lambda self: True
        )
        with without_check:
            _, late_starts = await self.lower_during_an_outage()
        self.assertNotEqual(late_starts, [])
        self.assertNotEqual(self.find_overuse(), [])
        self.end()

    @virtual
    async def test_a_successor_counts_what_silent_workers_may_run(self):
        cluster = await self.begin_accounts(
            workers=4, behave=lambda task, attempt: Work(20 * SECOND)
        )
        await self.submit("j1", make_job(StepSpec(4, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        (used,) = {row[3] for row in cluster.list_starts("j1")}
        owner = cluster.find_owner()
        for daemon in cluster.daemons.values():
            if daemon is not owner:
                daemon.workers.cut_off.add(used)
        owner.kill()
        await cluster.wait(lambda: cluster.find_owner() not in (None, owner))
        daemon = cluster.find_owner()
        await self.submit("j2", make_job(StepSpec(2, SMALL, SECOND)), daemon.name)
        await asyncio.sleep(cluster.times.lease_expiry.total_seconds() - 0.1)
        self.assertEqual(cluster.list_starts("j2"), [])
        # The tasks of the first job go before, two at a time, and run for 20 s.
        await cluster.wait(lambda: len(cluster.list_starts("j2")) == 2, 60)
        first = {row[1]: row[0] for row in cluster.list_starts("j1")}
        self.assertEqual(len(first), 4)
        self.assertLess(max(first.values()), cluster.list_starts("j2")[0][0])
        self.assert_within_quota()
        self.end()

    @virtual
    async def test_the_counted_usage_matches_the_contacts(self):
        cluster = await self.begin_accounts(Size(6000, 6000, 0))
        await self.submit("j1", make_job(StepSpec(9, SMALL, SECOND)))
        await self.submit("j2", make_job(StepSpec(3, SMALL, SECOND)), caller=OTHER)
        owner = cluster.find_owner().owner
        account_limits: AccountLimits = owner.account_limits
        for _ in range(60):
            await asyncio.sleep(0.07)
            counted = {"kiosk": ZERO_SIZE, "other": ZERO_SIZE}
            for contact in owner.contacts.values():
                for run in contact.runs.values():
                    name = run.task.step.job.record.account
                    size = run.task.step.spec.size
                    counted[name] = add_sizes(counted[name], size)
            for name, size in counted.items():
                self.assertEqual(account_limits.get_usage(name), size)
        self.assertEqual(account_limits.get_usage("kiosk"), ZERO_SIZE)
        self.end()
