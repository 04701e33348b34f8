"""Explores every interleaving of a few owners' store calls with the real ledger."""

import asyncio
import itertools
import unittest
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from damaskdeck.protocol.ports import Lost
from damaskdeck.state.ledger import Committed, Deposed, Ledger, Opened
from standins.clock import ManualClock
from standins.store import MemoryStore
from tests.ledger_checks import LedgerChecker

ROUNDS = 8
LONG = timedelta(seconds=2)
WRITES = ("put", "delete")


async def settle_rounds() -> None:
    """Let the owners run until they wait for the store."""
    for _ in range(ROUNDS):
        await asyncio.sleep(0)


class InstantClock:
    """Short waits end at once and long ones never, so any order is possible."""

    def now(self) -> datetime:
        """Return a fixed time of day."""
        return datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> timedelta:
        """Return a fixed time."""
        return timedelta()

    async def sleep(self, duration: timedelta) -> None:
        """Wait for the next round, or forever."""
        if duration >= LONG:
            await asyncio.Event().wait()
        await asyncio.sleep(0)


class Call(NamedTuple):
    """A store call in transit."""

    operation: str
    arguments: tuple
    answer: asyncio.Future


class SteppedStore:
    """A client whose calls wait for a decision of the explorer."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.history: list[object] = []

    def __getattr__(self, operation):
        async def call(*arguments):
            answer = asyncio.get_running_loop().create_future()
            self.calls.append(Call(operation, arguments, answer))
            return await answer

        return call


class Script(NamedTuple):
    """What an owner does: open with an epoch, then commit records one by one.

    :param records: each is a commit of its own.
    :param losses: how many replies to its writes may be lost.
    """

    epoch: int
    records: tuple[bytes, ...] = ()
    losses: int = 0


class ScriptedOwner:
    """A real ledger with a script, its state and the outcomes of its commits."""

    def __init__(self, number: int, script: Script, slots: int) -> None:
        self.store = SteppedStore()
        self.state: list[bytes] = []
        self.opened: Opened | None = None
        self.outcomes: dict[tuple[bytes, ...], object] = {}
        numbers = itertools.count()
        self.script = script
        self.losses = script.losses
        self._ledger = Ledger(
            "00",
            self.store,
            InstantClock(),
            lambda: tuple(self.state),
            self.state.extend,
            slots=slots,
            generate_id=lambda: f"{number}-{next(numbers)}",
        )
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        opened = await self._ledger.open(self.script.epoch)
        if not isinstance(opened, Opened):
            return
        self.state += [*opened.snapshot, *opened.records]
        self.opened = Opened(tuple(self.state), ())
        for record in self.script.records:
            self.outcomes[(record,)] = await self._ledger.commit((record,))


class World:
    """One run: a store, the owners, and calls whose replies were lost."""

    def __init__(self, scripts: tuple[Script, ...], slots: int) -> None:
        self.store = MemoryStore(ManualClock())
        self.owners = [ScriptedOwner(n, s, slots) for n, s in enumerate(scripts)]
        self.delayed_calls: list[Call] = []
        self.checker = LedgerChecker(self.store, "00")

    def list_actions(self) -> list[tuple[str, int, int]]:
        """List all actions that are possible next."""
        actions = [
            ("arrive_late", 0, index) for index in range(len(self.delayed_calls))
        ]
        for number, owner in enumerate(self.owners):
            for index, call in enumerate(owner.store.calls):
                actions.append(("answer", number, index))
                if owner.losses and call.operation in WRITES:
                    actions.append(("lose_answer", number, index))
                    actions.append(("hold_up", number, index))
        return actions

    async def act(self, action: tuple[str, int, int]) -> None:
        """Perform one action and let every owner run until it waits again."""
        kind, number, index = action
        if kind == "arrive_late":
            self._perform(self.delayed_calls.pop(index))
        else:
            owner = self.owners[number]
            call = owner.store.calls.pop(index)
            answer = Lost("timeout")
            if kind == "hold_up":
                self.delayed_calls.append(call)
            elif kind == "lose_answer":
                self._perform(call)
            else:
                answer = self._perform(call)
            owner.losses -= kind != "answer"
            owner.store.history.append((call.operation, call.arguments, answer))
            call.answer.set_result(answer)
        await settle_rounds()

    def _perform(self, call: Call) -> object:
        arguments = call.arguments
        if call.operation == "put" and len(arguments) == 3:
            arguments = (*arguments, "")
        return getattr(self.store, call.operation)(*arguments)

    def describe(self) -> int:
        """Return a digest of the state; runs with equal digests continue alike."""
        return hash(
            (
                self.store.list("").entries,
                tuple(tuple(k.store.history) for k in self.owners),
                tuple((c.operation, c.arguments) for c in self.delayed_calls),
                tuple(k.losses for k in self.owners),
            )
        )

    def check(self) -> None:
        """Check every guarantee, as an owner that replays now would see it."""
        for owner in self.owners:
            self.checker.outcomes.update(owner.outcomes)
        replay = self.checker.check(owner.state for owner in self.owners)
        self._check_order(replay)

    def _check_order(self, replay: list[bytes]) -> None:
        """Once an owner has opened, no lower epoch adds anything."""
        for old, new in itertools.permutations(self.owners, 2):
            if new.opened and old.script.epoch < new.script.epoch:
                added = replay[len(new.opened.snapshot) :]
                stale = set(added).intersection(old.script.records)
                assert not stale, f"{stale} came after {new.opened}"

    async def close(self) -> None:
        """End all tasks of this run."""
        me = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not me]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Visited(NamedTuple):
    """The result of an exploration.

    :param states: number of different states.
    :param outcomes: types of the commit outcomes in these states.
    """

    states: int
    outcomes: set[type]


async def explore(scripts: tuple[Script, ...], slots: int) -> Visited:
    """Visit and check every state that any schedule reaches."""
    seen: set[int] = set()
    outcomes: set[type] = set()
    unexplored: list[tuple[tuple[str, int, int], ...]] = [()]
    while unexplored:
        schedule = unexplored.pop()
        world = World(scripts, slots)
        await settle_rounds()
        try:
            for action in schedule[:-1]:
                await world.act(action)
            world.checker.replay()
            for action in schedule[-1:]:
                await world.act(action)
            while extend(world, schedule, seen, unexplored):
                schedule = (*schedule, world.list_actions()[0])
                await world.act(schedule[-1])
        except AssertionError as error:
            raise AssertionError(f"{error} after {schedule}") from error
        finally:
            outcomes.update(type(o) for o in world.checker.outcomes.values())
            await world.close()
    return Visited(len(seen), outcomes)


def extend(
    world: World,
    schedule: tuple[tuple[str, int, int], ...],
    seen: set[int],
    unexplored: list[tuple[tuple[str, int, int], ...]],
) -> bool:
    """Check a state and add its successors.

    :returns: false if it was visited before or has no successors.
    """
    digest = world.describe()
    if digest in seen:
        return False
    seen.add(digest)
    world.check()
    actions = world.list_actions()
    unexplored.extend((*schedule, action) for action in actions[1:])
    return bool(actions)


class TestModel(unittest.IsolatedAsyncioTestCase):
    """All schedules of small scripts keep the guarantees of the ledger."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def test_one_owner_with_two_lost_replies(self):
        visited = await explore((Script(1, (b"a", b"b"), 2),), 16)
        self.assertEqual(visited.outcomes, {Committed})
        self.assertGreater(visited.states, 400)

    async def test_takeover_while_the_old_owner_loses_a_reply(self):
        visited = await explore((Script(1, (b"a",), 1), Script(2, (b"b",))), 16)
        self.assertEqual(visited.outcomes, {Committed, Deposed})
        self.assertGreater(visited.states, 1900)

    async def test_takeover_while_the_new_owner_loses_a_reply(self):
        visited = await explore((Script(1, (b"a",)), Script(2, (b"b",), 1)), 16)
        self.assertEqual(visited.outcomes, {Committed, Deposed})
        self.assertGreater(visited.states, 1900)

    async def test_takeover_during_a_compaction_of_the_old_owner(self):
        visited = await explore((Script(1, (b"a", b"b")), Script(2)), 4)
        self.assertEqual(visited.outcomes, {Committed, Deposed})
        self.assertGreater(visited.states, 1400)

    async def test_new_owner_compacts_what_the_old_one_wrote(self):
        scripts = (Script(1, (b"a",)), Script(2, (b"b", b"c", b"d")))
        visited = await explore(scripts, 4)
        self.assertEqual(visited.outcomes, {Committed, Deposed})
        self.assertGreater(visited.states, 2800)

    async def test_three_owners_race(self):
        scripts = (Script(1), Script(2, (b"b",)), Script(3))
        visited = await explore(scripts, 16)
        self.assertEqual(visited.outcomes, {Committed, Deposed})
        self.assertGreater(visited.states, 6000)

    async def test_two_ledger_objects_with_one_epoch(self):
        visited = await explore((Script(1, (b"a",)), Script(1, (b"b",))), 16)
        self.assertEqual(visited.outcomes, {Committed, Deposed})
        self.assertGreater(visited.states, 260)


LARGER = {
    "a reply to each owner is lost": (
        (Script(1, (b"a",), 1), Script(2, (b"b",), 1)),
        16,
    ),
    "a reply is lost during compaction": ((Script(1, (b"a", b"b"), 1), Script(2)), 4),
    "a lost call arrives after compaction": (
        (Script(1, (b"a",), 1), Script(2, (b"b", b"c", b"d"))),
        4,
    ),
    "three owners, two of them commit": (
        (Script(1, (b"a",)), Script(2), Script(3, (b"b",))),
        16,
    ),
}


async def explore_larger() -> None:
    """Explore larger scripts: ``python -m tests.test_ledger_model``.

    Takes one or two minutes.
    """
    for name, (scripts, slots) in LARGER.items():
        print(name, await explore(scripts, slots), flush=True)


if __name__ == "__main__":
    asyncio.run(explore_larger())
