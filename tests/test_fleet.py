"""The fleet with an instance list that lags, returns older answers and fails."""

import unittest
from datetime import timedelta

from damaskdeck.coordination.workers.fleet import (
    ABSENCE_LIMIT,
    LEAVING_RETENTION,
    Fleet,
)
from damaskdeck.protocol.ports import (
    Instance,
    InstanceRole,
    Instances,
    InstanceState,
    Rejected,
)
from standins.clock import ManualClock

SECOND = timedelta(seconds=1)


def make_target(name: str, address: str = "127.0.0.1:1", zone: str = "zone-a"):
    """Return a live target."""
    return Instance(name, InstanceRole.TARGET, zone, address)


def mark_leaving(instance: Instance) -> Instance:
    """Return the instance as leaving."""
    return instance._replace(state=InstanceState.LEAVING)


class ListedAnswers:
    """An instance list that returns the answer that the test has set."""

    def __init__(self) -> None:
        self.answer = Instances(())

    async def list_instances(self):
        """Return the answer that was set."""
        return self.answer


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """How the fleet handles each answer."""

    def setUp(self):
        self.clock = ManualClock()
        self.source = ListedAnswers()
        self.fleet = Fleet(self.source, self.clock)
        self.changes = []
        self.fleet.on_change(self.changes.extend)

    async def _show(self, *instances: Instance, times: int = 1):
        self.source.answer = Instances(instances)
        for _ in range(times):
            await self.fleet.poll()
            self.clock.move(SECOND)

    def _state(self, name: str) -> InstanceState | None:
        instance = self.fleet.get(name)
        return instance.state if instance else None

    async def test_lists_by_role_and_zone_in_order_of_name(self):
        worker = Instance("w", InstanceRole.WORKER, "zone-a", "127.0.0.1:9")
        other = make_target("a", zone="zone-b")
        await self._show(make_target("c"), other, make_target("b"), worker)
        names = [i.name for i in self.fleet.list(InstanceRole.TARGET)]
        self.assertEqual(names, ["a", "b", "c"])
        self.assertEqual(self.fleet.list(InstanceRole.TARGET, "zone-b"), (other,))

    async def test_last_good_list_outlives_an_outage(self):
        await self._show(make_target("a"))
        self.source.answer = Rejected("unreachable")
        for _ in range(100):
            self.assertFalse(await self.fleet.poll())
            self.clock.move(SECOND)
        self.assertEqual(self._state("a"), InstanceState.LIVE)
        self.assertEqual(self.fleet.last_listed_at, timedelta())

    async def test_older_answer_does_not_make_a_leaving_instance_live(self):
        target = make_target("a")
        await self._show(target)
        await self._show(mark_leaving(target))
        self.assertEqual(self._state("a"), InstanceState.LEAVING)
        self.changes.clear()
        await self._show(target)
        self.assertEqual(self._state("a"), InstanceState.LEAVING)
        self.assertEqual(self.changes, [])

    async def test_older_answer_after_its_absence_does_not_revive_it(self):
        target = make_target("a")
        await self._show(mark_leaving(target))
        await self._show(times=ABSENCE_LIMIT)
        self.assertIsNone(self._state("a"))
        await self._show(target)
        self.assertEqual(self._state("a"), InstanceState.LEAVING)

    async def test_long_leaving_instance_stays_leaving(self):
        await self._show(mark_leaving(make_target("a")), times=200)
        await self._show(make_target("a"))
        self.assertEqual(self._state("a"), InstanceState.LEAVING)

    async def test_replacement_at_another_address_is_live_at_once(self):
        await self._show(mark_leaving(make_target("a")))
        await self._show(make_target("a", "127.0.0.1:2"))
        self.assertEqual(self._state("a"), InstanceState.LIVE)

    async def test_same_place_is_live_again_after_a_long_absence(self):
        await self._show(mark_leaving(make_target("a")))
        await self._show(times=int(LEAVING_RETENTION / SECOND) + 2)
        await self._show(make_target("a"))
        self.assertEqual(self._state("a"), InstanceState.LIVE)

    async def test_instance_missing_from_two_answers_in_a_row_is_kept(self):
        await self._show(make_target("a"))
        self.changes.clear()
        await self._show(times=2)
        await self._show(make_target("a"))
        await self._show(times=2)
        self.assertEqual(self._state("a"), InstanceState.LIVE)
        self.assertEqual(self.changes, [])
        await self._show()
        self.assertIsNone(self._state("a"))

    async def test_unchanged_answer_object_still_counts_absences(self):
        await self._show(make_target("a"))
        gone = Instances(())
        for _ in range(ABSENCE_LIMIT):
            self.source.answer = gone
            await self.fleet.poll()
        self.assertIsNone(self._state("a"))
