"""Tests quotas and keys that change during random faults, by seed."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.authorization import AuthorizedCall, CallAuthorizer
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.protocol.callresults import Caller, JobAccepted, JobStateFound
from damaskdeck.protocol.clientaccounts import UNLIMITED
from damaskdeck.protocol.queues import Queue, TaskName
from damaskdeck.protocol.sizes import Size
from standins.loops import run_virtual
from tests.poolcluster import REVOCATION, PoolCluster, make_account, make_queue
from tests.seeds import map_seeds
from tests.test_pools_chaos import SEEDS, Chaos, ZonedChaos
from tests.usage import find_overuse

# The widest gang has six tasks of two cores, and workers have four cores.
QUOTAS = (Size(12_000, 12_000, 0), Size(14_000, 20_000, 0), Size(18_000, UNLIMITED, 9))
NAMES = ("kiosk", "depot")
# The keys of an account, some of which are valid at a time.
KEYS = 3


def make_key(account: str, number: int) -> bytes:
    """Return a key of an account."""
    return f"{account}-key-{number}".encode()


def name_account(job: str) -> str:
    """Return the account of a job.

    Most jobs belong to the first account, so that they exceed its quota.
    """
    return NAMES[int(job[1:]) % 5 == 0]


class AccountsChaos(ZonedChaos):
    """A chaos run with client accounts.

    :ivar revoked_at: When each key that is revoked at present was revoked.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.faults += [change_quota, change_keys] * 3 + [lower_during_a_cut]
        self.quotas = {name: QUOTAS[0] for name in NAMES}
        self.keys = {name: set(range(KEYS)) for name in NAMES}
        self.revoked_at: dict[bytes, timedelta] = {}
        self.cluster = AccountsCluster(self)
        self.declare()

    def declare(self) -> None:
        """Declare the current quotas and keys."""
        now = self.cluster.clock.monotonic()
        for name in NAMES:
            for number in range(KEYS):
                key = make_key(name, number)
                if number in self.keys[name]:
                    self.revoked_at.pop(key, None)
                else:
                    self.revoked_at.setdefault(key, now)
        queues = tuple(q._replace(is_public=False) for q in self.cluster.table.queues)
        accounts = tuple(
            make_account(
                name,
                *(make_key(name, n).decode() for n in sorted(self.keys[name])),
                quota=self.quotas[name],
            )
            for name in NAMES
        )
        self.cluster.declare(queues, accounts)

    def check_key(self, key: bytes, sent: timedelta) -> None:
        """Check that the key of a call that succeeded was valid."""
        revoked_at = self.revoked_at.get(key)
        if revoked_at is not None and sent > revoked_at + REVOCATION:
            self.problems.append(
                f"{key.decode()} served {sent - revoked_at} after revocation"
            )

    async def run(self) -> list[str]:
        """Run the scenario and return the violations."""
        probing = asyncio.ensure_future(self.probe())
        problems = await super().run()
        probing.cancel()
        return problems + find_overuse(self.cluster, self.find_size)

    def find_size(self, task: TaskName) -> tuple[str, Size]:
        """Return the account and the size of a task."""
        return name_account(task.job), self.specs[task.job].steps[task.step].size

    async def probe(self) -> None:
        """Call every daemon with keys that may have been revoked."""
        while True:
            await asyncio.sleep(0.15)
            for daemon in list(self.cluster.daemons.values()):
                key = make_key(self.random.choice(NAMES), self.random.randrange(KEYS))
                sent = self.cluster.clock.monotonic()
                if daemon.is_killed or not daemon.clock.runs.is_set():
                    continue
                result = daemon.authorizer.authorize("a.example", "/plans/1", key)
                if isinstance(result, AuthorizedCall):
                    self.check_key(key, sent)

    def heal(self) -> None:
        """End all faults and make all keys valid."""
        super().heal()
        self.keys = {name: set(range(KEYS)) for name in NAMES}
        self.declare()


class AuthorizingFrontend:
    """A frontend that authorizes calls first, as it does for callers.

    :param daemon: The daemon of the frontend.
    """

    def __init__(self, chaos: AccountsChaos, daemon) -> None:
        self._chaos = chaos
        self._daemon = daemon
        self._frontend = daemon.frontend

    def __getattr__(self, name: str):
        return getattr(self._frontend, name)

    def _admit(self, queue: Queue, job: str) -> tuple[Caller | None, bytes, timedelta]:
        account = name_account(job)
        numbers = self._chaos.random.sample(range(KEYS), KEYS)
        key = make_key(account, numbers[0])
        sent = self._chaos.cluster.clock.monotonic()
        result = self._daemon.authorizer.authorize(queue.host, queue.prefix + job, key)
        return (
            (result.caller if isinstance(result, AuthorizedCall) else None),
            key,
            sent,
        )

    async def submit(self, queue: Queue, job: str, spec):
        """Submit a job with a key of its account."""
        caller, key, sent = self._admit(queue, job)
        if caller is None:
            return None
        done = await self._frontend.submit(queue, job, spec, caller)
        if done == JobAccepted():
            self._chaos.check_key(key, sent)
        return done

    async def read_state(self, job: str):
        """Read the state of a job with a key of its account."""
        return await self._call(self._frontend.read_state, job)

    async def cancel(self, job: str):
        """Cancel a job with a key of its account."""
        return await self._call(self._frontend.cancel, job)

    async def _call(self, operation, job: str):
        # The visibility of a job on a private queue depends on the account only.
        caller, key, sent = self._admit(self._chaos.cluster.table.queues[0], job)
        if caller is None:
            return None
        result = await operation(job, caller)
        if isinstance(result, JobStateFound):
            self._chaos.check_key(key, sent)
        return result


class AccountsCluster(PoolCluster):
    """A cluster whose callers send keys."""

    def __init__(self, chaos: AccountsChaos) -> None:
        self._chaos = chaos
        queues = tuple(
            make_queue(name, attempts=4, is_public=False, **more)
            for name, more in (("plans", {}), ("batches", {"rank": 2}))
        )
        super().__init__(
            daemons=4,
            workers=5,
            behave=chaos.behave,
            queues=queues,
            zones=chaos.zones,
            accounts=tuple(make_account(name) for name in NAMES),
        )

    def add_daemon(self, name: str, *args, **options):
        """Add a daemon whose frontend verifies keys."""
        daemon = super().add_daemon(name, *args, **options)
        daemon.frontend = AuthorizingFrontend(self._chaos, daemon)
        return daemon


def change_quota(chaos: AccountsChaos) -> None:
    """Lower or raise an account's quota."""
    chaos.quotas[chaos.random.choice(NAMES)] = chaos.random.choice(QUOTAS)
    chaos.declare()


def lower_during_a_cut(chaos: AccountsChaos) -> None:
    """Lower a quota during an outage of the store for the owner only."""
    owner = chaos.cluster.find_owner()
    if owner is None:
        return
    owner.store.faults.outage = True
    chaos.quotas = {name: QUOTAS[0] for name in NAMES}
    chaos.declare()

    def end() -> None:
        owner.store.faults.outage = False

    chaos.later(chaos.random.uniform(3, 9), end)


def change_keys(chaos: AccountsChaos) -> None:
    """Revoke a key or all keys of an account, or restore a key."""
    name = chaos.random.choice(NAMES)
    if chaos.random.random() < 0.2:
        chaos.keys[name].clear()
    else:
        chaos.keys[name] ^= {chaos.random.randrange(KEYS)}
    chaos.declare()


def play(seed: int) -> tuple[list[str], list[str]]:
    """Run a seed and return the violations and the faults."""
    chaos: Chaos | None = None

    async def run() -> list[str]:
        nonlocal chaos
        chaos = AccountsChaos(seed)
        return await chaos.run()

    return run_virtual(run()), chaos.log if chaos else []


class TestAccountsChaos(unittest.TestCase):
    """During faults no quota is exceeded and no revoked key is served."""

    def test_the_invariants_hold_under_faults(self):
        results = map_seeds(play, SEEDS)
        for seed, (problems, log) in zip(SEEDS, results, strict=True):
            with self.subTest(seed=seed):
                self.assertEqual(problems, [], log)


class TestCheckers(unittest.TestCase):
    """Each check that is disabled is detected within a few seeds."""

    def assert_caught(self, text: str) -> None:
        """Run seeds until a violation contains the text."""
        for seed in range(10):
            if any(text in problem for problem in play(seed)[0]):
                return
        self.fail(f"nothing was detected: {text}")

    def test_missing_quotas_are_detected(self):
        without_quotas = mock.patch.object(
            AccountLimits, "count_startable", lambda self, step, wanted: wanted
        )
        with without_quotas:
            self.assert_caught(" brings ")

    def test_a_document_without_expiry_is_detected(self):
        always_fresh = mock.patch.object(Declarations, "can_verify_keys", True)
        with always_fresh:
            self.assert_caught(" served ")

    def test_missing_key_checks_are_detected(self):
        def authorize(self, host, path, key):
            table = self._declarations.table
            queue = table.find(host, path) if table else None
            account = key.decode().partition("-")[0]
            caller = Caller(account, queue.name if queue else "")
            return AuthorizedCall(queue, caller, table)

        with mock.patch.object(CallAuthorizer, "authorize", authorize):
            self.assert_caught(" served ")
