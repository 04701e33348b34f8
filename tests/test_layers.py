"""Imports point downwards between the layers."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "src" / "damaskdeck"
LAYERS = ("transport", "coordination", "state", "protocol")
EDGES = ("daemon", "cli")


def list_imports(path: Path) -> Iterator[str]:
    """Yield the first part below the package of each import in a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            if name.startswith("damaskdeck."):
                yield name.split(".")[1]
            elif name.split(".")[0] == "standins":
                yield "standins"


class TestLayers(unittest.TestCase):
    """The order of the layers, highest first, is transport to protocol."""

    def test_no_layer_imports_a_higher_one(self):
        for depth, layer in enumerate(LAYERS):
            modules = sorted((PACKAGE / layer).rglob("*.py"))
            self.assertTrue(modules, layer)
            for path in modules:
                forbidden = {*LAYERS[:depth], *EDGES, "standins"}
                found = forbidden.intersection(list_imports(path))
                self.assertEqual(found, set(), path.name)

    def test_layers_below_coordination_know_no_adapter(self):
        for path in PACKAGE.glob("*.py"):
            if path.stem not in EDGES:
                self.assertNotIn("transport", set(list_imports(path)), path.name)

    def test_a_store_call_is_counted_in_the_adapter_alone(self):
        callers = [
            path.relative_to(PACKAGE).as_posix()
            for path in sorted(PACKAGE.rglob("*.py"))
            if "count_store_call(" in path.read_text()
        ]
        self.assertEqual(callers, ["metrics.py", "transport/store.py"])
