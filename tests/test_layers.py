"""Tests that each layer only imports from the layers below it."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "src" / "damaskdeck"
LAYERS = ("transport", "coordination", "state", "protocol")
# The adapter to the users' platform is on the same level as transport.
ADAPTERS = ("transport", "platform")
EDGES = ("__main__", "daemon", "pooldaemon", "cli")
# The groups of coordination, and the groups below from which each may import.
GROUPS = {
    "members": frozenset(),
    "configuration": frozenset(),
    "requests": frozenset(),
    "queues": frozenset(),
    "places": frozenset({"queues"}),
    "workers": frozenset({"queues", "places"}),
    "jobs": frozenset({"queues", "places", "workers"}),
    "pools": frozenset({"places", "queues"}),
}
# Names that only the platform's interface uses.
WIRE_NAMES = (
    "fencing_token",
    "run-start",
    "run-stop",
    "kv-txn",
    "kv-watch",
    "clock_ms",
    "deadline_ms",
    "task_count",
    "estimated_ms",
    "target_latency_ms",
    "max_attempts",
    "minion",
)


def list_modules(path: Path) -> Iterator[str]:
    """Yield the full names that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        yield from names


def list_imports(path: Path) -> Iterator[str]:
    """Yield the layer or root module of each import in a module, or ``standins``."""
    for name in list_modules(path):
        if name.startswith("damaskdeck."):
            yield name.split(".")[1]
        elif name.split(".")[0] == "standins":
            yield "standins"


def list_groups(path: Path) -> Iterator[str]:
    """Yield the groups of coordination from which a module imports."""
    for name in list_modules(path):
        if name.startswith("damaskdeck.coordination."):
            yield name.split(".")[2]


class TestLayers(unittest.TestCase):
    """The layers from highest to lowest are those of ``LAYERS``."""

    def test_no_layer_imports_a_higher_one(self):
        for depth, layer in enumerate(LAYERS):
            modules = sorted((PACKAGE / layer).rglob("*.py"))
            self.assertTrue(modules, layer)
            for path in modules:
                forbidden = {*LAYERS[:depth], *EDGES, "standins"}
                if layer not in ADAPTERS:
                    forbidden.update(ADAPTERS)
                found = forbidden.intersection(list_imports(path))
                self.assertEqual(found, set(), path.name)

    def test_groups_of_coordination_only_import_from_groups_below(self):
        folder = PACKAGE / "coordination"
        self.assertEqual([p.name for p in folder.glob("*.py")], ["__init__.py"])
        found = {p.name for p in folder.iterdir() if p.name in GROUPS}
        self.assertEqual(found, set(GROUPS))
        for group, allowed in GROUPS.items():
            for path in sorted((folder / group).rglob("*.py")):
                others = set(list_groups(path)) - {group} - allowed
                self.assertEqual(others, set(), path.name)

    def test_root_modules_import_no_adapter(self):
        for path in PACKAGE.glob("*.py"):
            if path.stem not in EDGES:
                found = set(list_imports(path)).intersection(ADAPTERS)
                self.assertEqual(found, set(), path.name)

    def test_the_platform_adapter_imports_no_other_adapter(self):
        for path in (PACKAGE / "platform").glob("*.py"):
            found = set(list_imports(path)).intersection({"transport", *EDGES})
            self.assertEqual(found, set(), path.name)

    def test_names_of_the_platform_interface_are_only_in_its_adapter(self):
        for path in PACKAGE.rglob("*.py"):
            if (PACKAGE / "platform") in path.parents:
                continue
            text = path.read_text()
            found = [name for name in WIRE_NAMES if name in text]
            self.assertEqual(found, [], path.name)

    def test_store_calls_are_only_counted_in_the_adapters(self):
        callers = [
            path.relative_to(PACKAGE).as_posix()
            for path in sorted(PACKAGE.rglob("*.py"))
            if "count_store_call(" in path.read_text()
        ]
        adapters = ["platform/store.py", "transport/store.py"]
        self.assertEqual(callers, ["metrics.py", *adapters])
