"""Exported metrics."""

import unittest

from prometheus_client import REGISTRY

from damaskdeck.metrics import count_peer_batch
from damaskdeck.transport.exporter import install_exporter


class TestPeerBatches(unittest.TestCase):
    """Messages and bytes between daemons, which are counted in plain integers."""

    def read(self, name: str, direction: str) -> float:
        """Return the sum of a counter's samples for a direction."""
        metric_name = f"damaskdeck_{name}_total"
        samples = (sample for family in REGISTRY.collect() for sample in family.samples)
        values = [
            sample.value
            for sample in samples
            if sample.name == metric_name and sample.labels["direction"] == direction
        ]
        return sum(values)

    def test_messages_and_bytes_are_counted_per_direction(self):
        install_exporter()
        cases = (("out", 3, 500), ("in", 1, 80), ("in", 0, 1))
        directions = [
            (n, d) for n in ("peer_messages", "peer_bytes") for d in ("in", "out")
        ]
        before = {key: self.read(*key) for key in directions}
        for case in cases:
            count_peer_batch(*case)
        increases = {key: self.read(*key) - before[key] for key in directions}
        self.assertEqual(
            increases,
            {
                ("peer_messages", "in"): 1,
                ("peer_messages", "out"): 3,
                ("peer_bytes", "in"): 81,
                ("peer_bytes", "out"): 500,
            },
        )
