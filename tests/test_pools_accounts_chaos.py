"""Random faults beside quotas that change and keys that are taken away, by seed."""

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
from tests.test_pools_chaos import SEEDS, Chaos, ZonedChaos
from tests.usage import find_overuse

# Of a gang's widest, six tasks of two cores, on workers of four cores.
QUOTAS = (Size(12_000, 12_000, 0), Size(14_000, 20_000, 0), Size(18_000, UNLIMITED, 9))
NAMES = ("kiosk", "depot")
# Keys of an account, of which some hold at a time.
KEYS = 3


def make_key(account: str, number: int) -> bytes:
    """Return a key of an account."""
    return f"{account}-key-{number}".encode()


def name_account(job: str) -> str:
    """Return the account of a job: of most the first, so that its quota binds."""
    return NAMES[int(job[1:]) % 5 == 0]


class AccountsChaos(ZonedChaos):
    """A run with accounts.

    :ivar gone: when each key was last taken away, as long as it is.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.faults += [change_quota, change_keys] * 3 + [lower_behind_a_cut]
        self.quotas = {name: QUOTAS[0] for name in NAMES}
        self.keys = {name: set(range(KEYS)) for name in NAMES}
        self.gone: dict[bytes, timedelta] = {}
        self.cluster = AccountsCluster(self)
        self.declare()

    def declare(self) -> None:
        """Put quotas and keys in force, as they are now."""
        now = self.cluster.clock.monotonic()
        for name in NAMES:
            for number in range(KEYS):
                key = make_key(name, number)
                if number in self.keys[name]:
                    self.gone.pop(key, None)
                else:
                    self.gone.setdefault(key, now)
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
        """Check that a call that was answered with success showed a sound key."""
        gone = self.gone.get(key)
        if gone is not None and sent > gone + REVOCATION:
            self.problems.append(f"{key.decode()} served {sent - gone} after it went")

    async def run(self) -> list[str]:
        """Play the run; returns what did not hold."""
        probing = asyncio.ensure_future(self.probe())
        problems = await super().run()
        probing.cancel()
        return problems + find_overuse(self.cluster, self.find_size)

    def find_size(self, task: TaskName) -> tuple[str, Size]:
        """Return the account and the size of a task."""
        return name_account(task.job), self.specs[task.job].steps[task.step].size

    async def probe(self) -> None:
        """Ask every daemon with keys that may have been taken away."""
        while True:
            await asyncio.sleep(0.15)
            for daemon in list(self.cluster.daemons.values()):
                key = make_key(self.random.choice(NAMES), self.random.randrange(KEYS))
                sent = self.cluster.clock.monotonic()
                if daemon.is_killed or not daemon.clock.runs.is_set():
                    continue
                judged = daemon.authorizer.authorize("a.example", "/plans/1", key)
                if isinstance(judged, AuthorizedCall):
                    self.check_key(key, sent)

    def heal(self) -> None:
        """End all faults; all keys hold again."""
        super().heal()
        self.keys = {name: set(range(KEYS)) for name in NAMES}
        self.declare()


class CallingDesk:
    """A desk behind its admission, as callers meet it.

    :param daemon: whose desk it is.
    """

    def __init__(self, chaos: AccountsChaos, daemon) -> None:
        self._chaos = chaos
        self._daemon = daemon
        self._desk = daemon.frontend

    def __getattr__(self, name: str):
        return getattr(self._desk, name)

    def _admit(self, queue: Queue, job: str) -> tuple[Caller | None, bytes, timedelta]:
        account = name_account(job)
        numbers = self._chaos.random.sample(range(KEYS), KEYS)
        key = make_key(account, numbers[0])
        sent = self._chaos.cluster.clock.monotonic()
        judged = self._daemon.authorizer.authorize(queue.host, queue.prefix + job, key)
        return (
            (judged.caller if isinstance(judged, AuthorizedCall) else None),
            key,
            sent,
        )

    async def submit(self, queue: Queue, job: str, spec):
        """Hand a job in with a key of its account."""
        caller, key, sent = self._admit(queue, job)
        if caller is None:
            return None
        done = await self._desk.submit(queue, job, spec, caller)
        if done == JobAccepted():
            self._chaos.check_key(key, sent)
        return done

    async def read_state(self, job: str):
        """Ask for a job's state with a key of its account."""
        return await self._ask(self._desk.read_state, job)

    async def cancel(self, job: str):
        """Cancel a job with a key of its account."""
        return await self._ask(self._desk.cancel, job)

    async def _ask(self, ask, job: str):
        # Who may see a job on a private queue is told by the account alone.
        caller, key, sent = self._admit(self._chaos.cluster.table.queues[0], job)
        if caller is None:
            return None
        told = await ask(job, caller)
        if isinstance(told, JobStateFound):
            self._chaos.check_key(key, sent)
        return told


class AccountsCluster(PoolCluster):
    """A cluster whose callers show keys."""

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
        """Make a daemon whose desk asks for keys."""
        daemon = super().add_daemon(name, *args, **options)
        daemon.frontend = CallingDesk(self._chaos, daemon)
        return daemon


def change_quota(chaos: AccountsChaos) -> None:
    """Lower or raise an account's quota."""
    chaos.quotas[chaos.random.choice(NAMES)] = chaos.random.choice(QUOTAS)
    chaos.declare()


def lower_behind_a_cut(chaos: AccountsChaos) -> None:
    """Lower a quota while the store turns the owner away, and others not."""
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
    """Take a key away, or all of an account, or give one back."""
    name = chaos.random.choice(NAMES)
    if chaos.random.random() < 0.2:
        chaos.keys[name].clear()
    else:
        chaos.keys[name] ^= {chaos.random.randrange(KEYS)}
    chaos.declare()


def play(seed: int) -> tuple[list[str], list[str]]:
    """Play a seed; return what did not hold, and the faults."""
    chaos: Chaos | None = None

    async def run() -> list[str]:
        nonlocal chaos
        chaos = AccountsChaos(seed)
        return await chaos.run()

    return run_virtual(run()), chaos.log if chaos else []


class TestAccountsChaos(unittest.TestCase):
    """Whatever fails, no quota is passed and no key that went is served."""

    def test_the_invariants_hold_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                problems, log = play(seed)
                self.assertEqual(problems, [], log)


class TestCheckers(unittest.TestCase):
    """Each fence that is taken away is seen within a few seeds."""

    def assert_caught(self, words: str) -> None:
        """Play until a problem says the words."""
        for seed in range(10):
            if any(words in problem for problem in play(seed)[0]):
                return
        self.fail(f"nothing was caught: {words}")

    def test_quotas_that_nobody_keeps_are_seen(self):
        free = mock.patch.object(
            AccountLimits, "count_startable", lambda self, step, wanted: wanted
        )
        with free:
            self.assert_caught(" brings ")

    def test_a_document_that_is_believed_for_ever_is_seen(self):
        believing = mock.patch.object(Declarations, "can_verify_keys", True)
        with believing:
            self.assert_caught(" served ")

    def test_keys_that_nobody_looks_at_are_seen(self):
        def authorize(self, host, path, key):
            table = self._declarations.table
            queue = table.find(host, path) if table else None
            account = key.decode().partition("-")[0]
            caller = Caller(account, queue.name if queue else "")
            return AuthorizedCall(queue, caller, table)

        with mock.patch.object(CallAuthorizer, "authorize", authorize):
            self.assert_caught(" served ")
