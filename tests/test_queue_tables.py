"""The declared queues: which of them a call or a step means."""

import random
import unittest

from damaskdeck.protocol.queues import Queue, QueueTable
from tests.poolcluster import make_queue


def build_table(*queues: Queue) -> QueueTable:
    """Return a table of these queues."""
    return QueueTable(1, queues, frozenset({"hub"}), 1000)


def find_naively(queues: tuple[Queue, ...], host: str, path: str) -> Queue | None:
    """Return what a look through all queues finds."""
    fitting = [q for q in queues if q.host == host and path.startswith(q.prefix)]
    return max(fitting, key=lambda queue: len(queue.prefix), default=None)


class _Watched:
    """A queue that counts how often it is looked at."""

    looks = 0

    def __init__(self, queue: Queue) -> None:
        self._queue = queue

    def __getattr__(self, name: str):
        type(self).looks += 1
        return getattr(self._queue, name)


class TestLookUp(unittest.TestCase):
    """Queues found by host and path, and by name."""

    def test_the_longest_prefix_counts(self):
        short = make_queue("a", prefix="/a/")
        long = make_queue("b", prefix="/a/b/")
        other = make_queue("c", prefix="/a/b/c/", host="c.example")
        table = build_table(short, long, other)
        self.assertIs(table.find("a.example", "/a/b/c/1"), long)
        self.assertIs(table.find("a.example", "/a/c/1"), short)
        self.assertIs(table.find("a.example", "/a/"), short)
        self.assertIsNone(table.find("a.example", "/a"))
        self.assertIsNone(table.find("b.example", "/a/1"))

    def test_of_queues_declared_twice_the_first_counts(self):
        first, second = make_queue("a", rank=1), make_queue("a", rank=2)
        table = build_table(first, second)
        self.assertIs(table.get("a"), first)
        self.assertIs(table.find(first.host, first.prefix), first)

    def test_random_tables_are_searched_as_by_a_look_through_all(self):
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
            self.assertIs(found, find_naively(queues, host, path))

    # Each call and each waiting step went through all queues of a wide document.
    def test_a_look_up_does_not_go_through_all_queues(self):
        queues = [make_queue(f"q{n}", prefix=f"/q{n}/") for n in range(3000)]
        table = build_table(*map(_Watched, queues))
        _Watched.looks = 0
        self.assertIsNotNone(table.find("a.example", "/q2999/1"))
        self.assertIsNotNone(table.get("q1500"))
        self.assertEqual(_Watched.looks, 0)
