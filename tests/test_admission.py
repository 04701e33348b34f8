"""Queues are bounded, fair and ordered, and refuse requests that would be late."""

import asyncio
import random
import unittest
from datetime import timedelta

from damaskdeck.coordination.requests.admission import AdmissionQueue, Waiter
from damaskdeck.coordination.requests.durations import Durations
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.outcomes import Completed, Refused
from damaskdeck.protocol.resources import Urgency
from standins.loops import run_virtual
from standins.requests import Layout
from standins.targets import make_exponential_time
from tests.test_routing import SECOND, play

ZERO = timedelta()


class TestAdmissionQueue(unittest.TestCase):
    def run_queue(self, scenario, mean: float = 0.1, **limits):
        async def run():
            durations = Durations()
            durations.mean = mean
            queue = AdmissionQueue(durations, random.Random(1), **limits)
            return scenario(queue)

        return run_virtual(run())

    def add(
        self, queue, team="a", urgency=Urgency.NORMAL, seconds=9.0, body=b"", slots=8
    ):
        request = ServiceRequest("r", "s", team, body, ZERO, urgency=urgency)
        waiter = Waiter(request, timedelta(seconds=seconds), 0.0)
        return queue.admit(waiter, ZERO, slots) or waiter

    def pop_teams(self, queue):
        return [queue.pop().team for _ in range(len(queue))]

    def test_order_is_by_urgency_then_by_deadline(self):
        def scenario(queue):
            late = self.add(queue, seconds=9)
            soon = self.add(queue, seconds=5)
            urgent = self.add(queue, urgency=Urgency.URGENT, seconds=20)
            low = self.add(queue, urgency=Urgency.LOW, seconds=1)
            return [queue.pop() for _ in range(4)] == [urgent, soon, late, low]

        self.assertTrue(self.run_queue(scenario))

    def test_teams_take_turns_however_much_one_sends(self):
        def scenario(queue):
            queue.set_quantum(4)
            for _ in range(12):
                self.add(queue, "loud", seconds=1)
            for team in ("calm", "mild"):
                self.add(queue, team, seconds=9)
            return self.pop_teams(queue)

        order = self.run_queue(scenario)
        self.assertEqual(order[4:6], ["calm", "mild"])

    def test_a_team_that_returns_does_not_catch_up_on_turns(self):
        def scenario(queue):
            self.add(queue, "a")
            self.add(queue, "b")
            self.pop_teams(queue)
            for _ in range(10):
                self.add(queue, "a")
                queue.pop()
            self.add(queue, "a")
            for _ in range(3):
                self.add(queue, "b")
            return self.pop_teams(queue)[:2]

        self.assertEqual(set(self.run_queue(scenario)), {"a", "b"})

    def test_one_team_is_limited_within_an_urgency_class(self):
        def scenario(queue):
            outcomes = [self.add(queue, "loud") for _ in range(3)]
            return outcomes[2], self.add(queue, "calm"), len(queue)

        refused, admitted, length = self.run_queue(scenario, limit=2)
        self.assertEqual(refused.code, "queue_full")
        self.assertGreater(refused.retry_after, ZERO)
        self.assertIsInstance(admitted, Waiter)
        self.assertEqual(length, 3)

    def test_bytes_are_bounded_per_urgency_class(self):
        def scenario(queue):
            self.add(queue, "a", Urgency.LOW, body=b"x" * 90)
            refused = self.add(queue, "b", Urgency.LOW, body=b"x" * 90)
            urgent = self.add(queue, "b", Urgency.URGENT, body=b"x" * 90)
            return refused, urgent

        refused, urgent = self.run_queue(scenario, size_limit=100)
        self.assertEqual(refused.code, "queue_full")
        self.assertIsInstance(urgent, Waiter)

    def test_request_that_would_miss_its_deadline_is_refused_with_a_hint(self):
        def scenario(queue):
            for _ in range(10):
                self.add(queue, slots=1)
            return self.add(queue, "b", slots=1, seconds=0.15), self.add(
                queue, "a", slots=1, seconds=1.05
            )

        first, second = self.run_queue(scenario)
        self.assertIsInstance(first, Refused)
        self.assertEqual(first.code, "deadline_unmeetable")
        self.assertGreater(first.retry_after, ZERO)
        self.assertIsInstance(second, Waiter)

    def test_removed_waiters_are_not_counted(self):
        def scenario(queue):
            waiters = [self.add(queue, f"t{i % 3}") for i in range(30)]
            removed = [queue.remove(waiter) for waiter in waiters]
            again = [queue.remove(waiter) for waiter in waiters]
            return set(removed), set(again), len(queue), queue.pop()

        result = self.run_queue(scenario)
        self.assertEqual(result, ({True}, {False}, 0, None))


class TestOverload(unittest.TestCase):
    """Two entries with 8 slots of 50 ms each: at most 320 requests per second."""

    @classmethod
    def setUpClass(cls):
        cls.times, cls.starts = cls.load(rate=960)

    @staticmethod
    def load(rate, duration=6.0, timeout=SECOND):
        times = {}

        async def scenario(deployment):
            source = random.Random(7)
            names = list(deployment.routers)
            clock = deployment.clock

            async def submit_request(number):
                urgent = number % 20 == 0
                name = f"{'u' if urgent else 'n'}{number}"
                start = clock.monotonic()
                outcome = await deployment.submit(
                    source.choice(names),
                    name,
                    team=f"team-{number % 3}",
                    timeout=timeout,
                    urgency=Urgency.URGENT if urgent else Urgency.NORMAL,
                )
                times[name] = (outcome, start, clock.monotonic())

            tasks = []
            end = clock.monotonic() + timedelta(seconds=duration)
            while clock.monotonic() < end:
                await asyncio.sleep(source.expovariate(rate))
                tasks.append(asyncio.ensure_future(submit_request(len(tasks))))
            await asyncio.gather(*tasks)
            return {e.request: e.start for e in deployment.log.executions}

        mean = timedelta(milliseconds=50)
        starts = play(scenario, Layout(), service_time=make_exponential_time(mean))
        return times, starts

    def test_goodput_at_three_times_the_load_stays_near_the_maximum(self):
        times, starts = self.times, self.starts
        done = [o for o, _, _ in times.values() if isinstance(o, Completed)]
        self.assertGreater(len(done), 0.9 * 320 * 6)
        refused = {n for n, t in times.items() if isinstance(t[0], Refused)}
        self.assertFalse(refused & set(starts))

    def test_urgent_requests_wait_no_longer_at_three_times_the_load(self):
        times, starts = self.times, self.starts
        waits = sorted(
            starts[name] - start if name in starts else SECOND
            for name, (_, start, _) in times.items()
            if name.startswith("u")
        )
        self.assertLess(waits[int(0.99 * len(waits))], timedelta(milliseconds=50))

    def test_late_requests_are_refused_before_their_deadline(self):
        late = [
            (name, end - start)
            for name, (outcome, start, end) in self.times.items()
            if isinstance(outcome, Refused) and end - start > 0.95 * SECOND
        ]
        self.assertEqual(late, [])
