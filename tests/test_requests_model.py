"""The guarantees to callers hold under random sequences of requests and faults."""

import asyncio
import unittest
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from damaskdeck.protocol.outcomes import Completed, Outcome, Refused
from standins.faults import FaultKind
from standins.requests import Layout, RequestDeployment
from standins.targets import TargetsClient, make_exponential_time
from tests.naive_router import NaiveRouter
from tests.test_routing import play

ENTRIES = ("entry-0-0", "entry-0-1", "entry-0-2")
TARGETS = ("target-0-0", "target-0-1", "target-0-2")
LAYOUT = Layout(entries=3, targets=3, slots=2)
MEAN = timedelta(milliseconds=50)
KINDS = (
    "hand_over",
    "take_over",
    "kill",
    "cut",
    "heal",
    "lose_answer",
    "refuse",
    "die",
    "leave",
    "pause",
    "resume",
)
LATE = timedelta(milliseconds=20)


class PlannedRequest(NamedTuple):
    """A caller's request; it is cancelled after ``cancel_after`` milliseconds."""

    entry: int
    idempotent: bool
    timeout: int
    cancel_after: int | None


class Event(NamedTuple):
    """A fault or another change of the deployment."""

    kind: str
    first: int
    second: int


planned_requests = st.builds(
    PlannedRequest,
    st.integers(0, 2),
    st.booleans(),
    st.sampled_from([30, 100, 400, 2000]),
    st.sampled_from([None, None, None, 5, 60]),
)
events = st.builds(
    Event,
    st.sampled_from(KINDS),
    st.integers(0, 2),
    st.integers(0, 2),
)
plans = st.lists(
    st.tuples(
        st.sampled_from([0, 0, 1, 7, 40]),
        st.one_of(planned_requests, planned_requests, planned_requests, events),
    ),
    min_size=5,
    max_size=60,
)


class CallerResult(NamedTuple):
    """What a caller got, and how long after its deadline."""

    request: PlannedRequest
    outcome: Outcome | None
    delay: timedelta


class Game:
    """Runs a plan on a deployment, with the real routers or with naive ones."""

    def __init__(self, deployment: RequestDeployment, handlers: dict[str, Any]) -> None:
        self.deployment = deployment
        self.handlers = handlers
        self.results: dict[str, CallerResult] = {}
        self.alive = list(ENTRIES)
        self._callers: dict[str, set[asyncio.Task[Outcome]]] = {
            n: set() for n in ENTRIES
        }

    async def play(self, plan: list[tuple[int, PlannedRequest | Event]]) -> None:
        """Run the plan, then wait until everything has ended."""
        callers = []
        for number, (gap, step) in enumerate(plan):
            await asyncio.sleep(gap / 1000)
            if isinstance(step, PlannedRequest):
                request = self._send_request(f"r{number}", step)
                callers.append(asyncio.ensure_future(request))
            else:
                await getattr(self, f"_{step.kind}")(step.first, step.second)
        await asyncio.gather(*callers)
        for target in self.deployment.targets.values():
            target.resume()
        await asyncio.sleep(15)

    async def _send_request(self, name: str, request: PlannedRequest) -> None:
        entry = self.alive[request.entry % len(self.alive)]
        clock = self.deployment.clock
        deadline = clock.monotonic() + timedelta(milliseconds=request.timeout)
        caller = asyncio.ensure_future(
            self.deployment.submit(
                entry,
                name,
                handler=self.handlers.get(entry),
                timeout=timedelta(milliseconds=request.timeout),
                idempotent=request.idempotent,
            )
        )
        self._callers[entry].add(caller)
        cancel_after = (
            None if request.cancel_after is None else request.cancel_after / 1000
        )
        await asyncio.wait({caller}, timeout=cancel_after)
        caller.cancel()
        await asyncio.wait({caller})
        outcome = None if caller.cancelled() else caller.result()
        if outcome is not None or entry in self.alive:
            self.results[name] = CallerResult(
                request, outcome, clock.monotonic() - deadline
            )

    def _get_target(self, number: int) -> Any:
        return self.deployment.targets[TARGETS[number]]

    async def _hand_over(self, target: int, entry: int) -> None:
        shard = f"target/{TARGETS[target]}"
        name = self.alive[entry % len(self.alive)]
        if self.deployment.table.owners[shard].instance in self.alive:
            await self.deployment.table.hand_over(shard, name)

    async def _take_over(self, target: int, entry: int) -> None:
        shard = f"target/{TARGETS[target]}"
        await self.deployment.table.assign(shard, self.alive[entry % len(self.alive)])

    async def _kill(self, entry: int, successor: int) -> None:
        if len(self.alive) < 2:
            return
        name = self.alive.pop(entry % len(self.alive))
        self.deployment.kill_entry(name)
        for caller in self._callers[name]:
            caller.cancel()
        for shard, owner in list(self.deployment.table.owners.items()):
            if owner.instance == name:
                successor_name = self.alive[successor % len(self.alive)]
                await self.deployment.table.assign(shard, successor_name)

    async def _cut(self, sender: int, receiver: int) -> None:
        self.deployment.switch.cut(ENTRIES[sender], ENTRIES[receiver])

    async def _heal(self, first: int, second: int) -> None:
        if ENTRIES[first] in self.alive and ENTRIES[second] in self.alive:
            self.deployment.switch.heal(ENTRIES[first], ENTRIES[second])

    async def _lose_answer(self, target: int, _: int) -> None:
        self._get_target(target).faults.plan("send", FaultKind.LOSE_ANSWER)

    async def _refuse(self, target: int, _: int) -> None:
        self._get_target(target).faults.plan("send", FaultKind.REFUSE)

    async def _die(self, target: int, _: int) -> None:
        self._get_target(target).die()

    async def _leave(self, target: int, _: int) -> None:
        self._get_target(target).is_leaving = True

    async def _pause(self, target: int, _: int) -> None:
        self._get_target(target).pause()

    async def _resume(self, target: int, _: int) -> None:
        self._get_target(target).resume()

    def list_faults(self) -> set[str]:
        """Return the names of the guarantees that were broken."""
        counts = self.deployment.log.counts
        faults = set()
        if self.deployment.count_overfills():
            faults.add("overfilled")
        for name, (request, outcome, delay) in self.results.items():
            if not request.idempotent and counts[name] > 1:
                faults.add("ran twice")
            if isinstance(outcome, Refused) and counts[name]:
                faults.add("ran though refused")
            if isinstance(outcome, Completed) and outcome.body != name.encode():
                faults.add("another's answer")
            if request.cancel_after is None and outcome is None:
                faults.add("no outcome")
            if delay > LATE:
                faults.add("late")
        return faults

    def count_leaks(self) -> int:
        """Count slots and queue entries that are never released."""
        leaks = 0
        for name in self.alive:
            for lane in self.deployment.routers[name]._owned.lanes.values():
                leaks += len(lane.queue)
                leaks += sum(pool.busy for pool in lane.pools.values())
        return leaks


def play_ours(plan: list[tuple[int, PlannedRequest | Event]]) -> Game:
    async def scenario(deployment: RequestDeployment) -> Game:
        game = Game(deployment, {})
        await game.play(plan)
        return game

    return play(scenario, LAYOUT, service_time=make_exponential_time(MEAN))


def play_naive(plan: list[tuple[int, PlannedRequest | Event]]) -> Game:
    async def scenario(deployment: RequestDeployment) -> Game:
        instances = tuple(t.instance for t in deployment.targets.values())
        handlers = {
            name: NaiveRouter(
                instances,
                TargetsClient(deployment.targets, name),
                deployment.clock,
                Random(number),
            )
            for number, name in enumerate(ENTRIES)
        }
        game = Game(deployment, handlers)
        await game.play(plan)
        return game

    return play(scenario, LAYOUT, service_time=make_exponential_time(MEAN))


class TestPromises(unittest.TestCase):
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=100,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate, Phase.shrink],
    )
    @given(plans)
    def test_they_hold_in_every_order(self, plan):
        game = play_ours(plan)
        self.assertEqual(game.list_faults(), set())
        self.assertEqual(game.count_leaks(), 0)

    def test_the_naive_router_breaks_them_under_the_same_plan(self):
        plan = [(0, Event("lose_answer", number % 3, 0)) for number in range(6)]
        plan += [(1, PlannedRequest(number, False, 100, None)) for number in range(30)]
        faults = play_naive(plan).list_faults()
        self.assertLessEqual({"overfilled", "ran twice"}, faults)
        self.assertIn("ran though refused", faults)
        self.assertEqual(play_ours(plan).list_faults(), set())

    def test_ours_completes_as_much_when_nothing_fails(self):
        plan = [(7, PlannedRequest(number, False, 2000, None)) for number in range(60)]
        done = [
            sum(isinstance(r.outcome, Completed) for r in game.results.values())
            for game in (play_ours(plan), play_naive(plan))
        ]
        self.assertEqual(done, [60, 60])
