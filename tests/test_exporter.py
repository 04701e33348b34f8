"""The metrics exporter, which a daemon imports at the first scrape."""

import re
import subprocess
import sys
import unittest

# Imported by nothing that a daemon needs until it is ready.
DEFERRED_LIBRARIES = (
    "opentelemetry",
    "prometheus_client",
    "psutil",
    "starlette",
    "typer",
    "yaml",
)
LIST_LOADED = """
import sys
import damaskdeck.pooldaemon
print(*(name for name in sys.argv[1:] if name in sys.modules))
"""
RECORD = """
import asyncio, sys
from datetime import timedelta
from damaskdeck import metrics
from damaskdeck.transport.exporter import DeferredExporter

def record():
    metrics.count_refusal("desk", "busy", 2)
    metrics.count_store_call("read")
    metrics.count_peer_batch("in", 3, 50)
    metrics.set_account("acme", 4, 500)
    metrics.set_revision(7)
    metrics.observe_wait("pools", "1", timedelta(seconds=2))
    metrics.observe_latency("desk", "submit", 0.5)
"""
READ_TWICE = (
    RECORD
    + """
async def run():
    exporter = DeferredExporter()
    record()
    assert "opentelemetry" not in sys.modules
    # Scrapes at the same time share the import.
    first, second = await asyncio.gather(exporter.read(), exporter.read())
    assert b"damaskdeck_refusals" in first and b"damaskdeck_refusals" in second
    record()
    print(first.decode())
    print("second")
    print((await exporter.read()).decode())

asyncio.run(run())
"""
)
FAIL_ONCE = (
    RECORD
    + """
import logbook

async def run():
    exporter = DeferredExporter()
    record()
    # ``None`` in this place makes the import fail.
    sys.modules["prometheus_client"] = None
    with logbook.TestHandler() as handler:
        assert await exporter.read() is None
    print(*(record.extra["code"] for record in handler.records))
    del sys.modules["prometheus_client"]
    print((await exporter.read()).decode())

asyncio.run(run())
"""
)
WITHOUT_EXPORTER = (
    RECORD
    + """
async def run():
    sys.modules["prometheus_client"] = None
    exporter = DeferredExporter()
    for number in range(2 * metrics.MAX_KEPT_VALUES):
        metrics.observe_latency("desk", "submit", 0.5)
    print(len(metrics._latencies._pending) == metrics.MAX_KEPT_VALUES)
    print(await exporter.read())

asyncio.run(run())
"""
)
MANY_VALUES = (
    RECORD
    + """
async def run():
    DeferredExporter()
    for number in range(metrics.MAX_PENDING_VALUES + 5):
        metrics.observe_latency("desk", "submit", 0.5)
    exporter = DeferredExporter()
    while "opentelemetry.exporter.prometheus" not in sys.modules:
        await asyncio.sleep(0)
    print((await exporter.read()).decode())

asyncio.run(run())
"""
)
# The labels of the instrumentation's scope, which are the same for all samples.
_SCOPE_LABEL = re.compile(r'otel_scope_\w+="[^"]*",?')
EXPECTED = {
    'damaskdeck_refusals_total{code="busy",part="desk"}': 2,
    'damaskdeck_store_calls_total{kind="read"}': 1,
    'damaskdeck_peer_messages_total{direction="in"}': 3,
    'damaskdeck_peer_bytes_total{direction="in"}': 50,
    'damaskdeck_account_waiting{account="acme"}': 4,
    'damaskdeck_account_running{account="acme"}': 500,
    "damaskdeck_configuration_revision": 7,
    'damaskdeck_waiting_time_seconds_sum{part="pools",urgency="1"}': 2,
    'damaskdeck_latency_seconds_sum{part="desk",step="submit"}': 0.5,
    'damaskdeck_latency_seconds_count{part="desk",step="submit"}': 1,
}


def run_script(script: str, *arguments: str) -> str:
    """Return the output of a script in a process that has imported nothing yet."""
    command = [sys.executable, "-c", script, *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stderr
    return done.stdout


def parse(text: str) -> dict[str, float]:
    """Return the samples of metrics in the Prometheus text format."""
    lines = [line for line in text.splitlines() if line.startswith("damaskdeck_")]
    samples = (line.rsplit(" ", 1) for line in lines)
    return {
        _SCOPE_LABEL.sub("", name).replace(",}", "}").replace("{}", ""): float(value)
        for name, value in samples
    }


class TestExporter(unittest.TestCase):
    """Metrics that are recorded before, while and after the exporter is imported."""

    def test_metrics_from_before_the_first_scrape_appear_in_it(self):
        first, second = run_script(READ_TWICE).split("second\n")
        found = parse(first)
        self.assertEqual({name: found.get(name) for name in EXPECTED}, EXPECTED)
        found = parse(second)
        gauges = ("damaskdeck_account", "damaskdeck_configuration")
        for name, value in EXPECTED.items():
            expected = value if name.startswith(gauges) else 2 * value
            self.assertEqual(found.get(name), expected, name)

    def test_failed_import_is_logged_and_loses_nothing(self):
        # It must neither end the daemon nor make a later scrape incomplete.
        codes, text = run_script(FAIL_ONCE).split("\n", 1)
        self.assertEqual(codes, "exporter_unavailable")
        found = parse(text)
        self.assertEqual({name: found.get(name) for name in EXPECTED}, EXPECTED)

    def test_many_values_load_the_exporter(self):
        # A daemon that is never scraped must not keep values without limit.
        text = run_script(MANY_VALUES)
        name = 'damaskdeck_latency_seconds_count{part="desk",step="submit"}'
        self.assertEqual(parse(text)[name], 2005)

    def test_values_are_limited_while_the_exporter_cannot_be_loaded(self):
        # They would fill the memory of a daemon that serves callers well otherwise.
        found = run_script(WITHOUT_EXPORTER).split()
        self.assertEqual((found[0], found[-1]), ("True", "None"))

    def test_daemon_of_the_pools_does_not_import_deferred_libraries(self):
        # Each of them costs processor time in which the daemon isn't ready.
        self.assertEqual(run_script(LIST_LOADED, *DEFERRED_LIBRARIES).split(), [])
