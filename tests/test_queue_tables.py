"""The declared queues: lookup by host and path, and by name."""

import random
import unittest

from damaskdeck.protocol.queues import Queue, QueueTable
from tests.poolcluster import make_queue


def build_table(*queues: Queue) -> QueueTable:
    """Return a table of these queues."""
    return QueueTable(1, queues, frozenset({"hub"}), 1000)


def find_by_scan(queues: tuple[Queue, ...], host: str, path: str) -> Queue | None:
    """Return the queue found by a scan of all queues."""
    fitting = [q for q in queues if q.host == host and path.startswith(q.prefix)]
    return max(fitting, key=lambda queue: len(queue.prefix), default=None)


class CountingQueue:
    """A queue that counts how often its fields are read."""

    reads = 0

    def __init__(self, queue: Queue) -> None:
        self._queue = queue

    def __getattr__(self, name: str):
        type(self).reads += 1
        return getattr(self._queue, name)


class TestLookUp(unittest.TestCase):
    """Queues found by host and path, and by name."""

    def test_longest_prefix_is_used(self):
        short = make_queue("a", prefix="/a/")
        long = make_queue("b", prefix="/a/b/")
        other = make_queue("c", prefix="/a/b/c/", host="c.example")
        table = build_table(short, long, other)
        self.assertIs(table.find("a.example", "/a/b/c/1"), long)
        self.assertIs(table.find("a.example", "/a/c/1"), short)
        self.assertIs(table.find("a.example", "/a/"), short)
        self.assertIsNone(table.find("a.example", "/a"))
        self.assertIsNone(table.find("b.example", "/a/1"))

    def test_first_of_duplicate_queues_is_used(self):
        first, second = make_queue("a", rank=1), make_queue("a", rank=2)
        table = build_table(first, second)
        self.assertIs(table.get("a"), first)
        self.assertIs(table.find(first.host, first.prefix), first)

    def test_lookup_in_random_tables_equals_a_scan(self):
        drawn = random.Random(7)

        def draw_path() -> str:
            parts = drawn.choices("ab", k=drawn.randint(0, 4))
            return "/" + "".join(f"{part}/" for part in parts)

        hosts = ("a.example", "b.example")
        for _ in range(300):
            queues = tuple(
                make_queue(f"q{number}", prefix=draw_path(), host=drawn.choice(hosts))
                for number in range(drawn.randint(0, 12))
            )
            host, path = drawn.choice(hosts), draw_path() + drawn.choice(("", "x"))
            found = build_table(*queues).find(host, path)
            self.assertIs(found, find_by_scan(queues, host, path))

    # Guards against a scan of all queues of a large document for each call and each
    # waiting step.
    def test_lookup_does_not_scan_all_queues(self):
        queues = [make_queue(f"q{n}", prefix=f"/q{n}/") for n in range(3000)]
        table = build_table(*map(CountingQueue, queues))
        CountingQueue.reads = 0
        self.assertIsNotNone(table.find("a.example", "/q2999/1"))
        self.assertIsNotNone(table.get("q1500"))
        self.assertEqual(CountingQueue.reads, 0)
