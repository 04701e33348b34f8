"""Measures the processor time that a daemon of the pools needs until it is ready.

The imports are timed by the interpreter itself, which counts waiting for a processor as
well. So the smallest time of each module is taken, and on a busy machine only the time
until the daemon is ready is reliable. Most daemons join others, so the first daemon,
which becomes the owner, is not counted.
"""

import asyncio
import json
import re
import statistics
import subprocess
import sys
import time
from collections import Counter

from benchmarks.nodes import read_resident_megabytes, run_fleet, use_compiled_package
from damaskdeck.platform import PlatformQueues
from damaskdeck.protocol.ports import Entry

IMPORT = "import gc; gc.disable(); import damaskdeck.pooldaemon"
PACKAGES_SHOWN = 12
DOCUMENT_QUEUES = 20
DOCUMENT_ACCOUNTS = 40
DECODINGS = 50

_IMPORT_LINE = re.compile(r"import time:\s+(\d+) \|\s+\d+ \| \s*(\S+)")


def run(quick: bool = False) -> dict:
    """Return the time of imports by package, of a document and until ready."""
    rounds = 3 if quick else 9
    with use_compiled_package():
        return {
            "until_ready": asyncio.run(_measure_starts(rounds)),
            "imports_ms_by_package": _time_imports(rounds),
            "first_document_ms": _time_document(),
        }


async def _measure_starts(rounds: int) -> dict:
    async with run_fleet(workers=1) as fleet:
        await fleet.start_node()
        seconds, memory = [], []
        for _ in range(rounds):
            usage = await fleet.start_node()
            node = fleet.nodes.pop()
            memory.append(read_resident_megabytes(node.process.pid))
            seconds.append(usage.processor)
            await node.kill()
    return {
        "processor_seconds": round(statistics.median(seconds), 3),
        "least": round(min(seconds), 3),
        "most": round(max(seconds), 3),
        "resident_mb": round(statistics.median(memory), 1),
        "starts": rounds,
    }


def _time_imports(rounds: int) -> dict[str, float]:
    least: dict[str, int] = {}
    for _ in range(rounds):
        command = [sys.executable, "-X", "importtime", "-c", IMPORT]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        for line in done.stderr.splitlines():
            matched = _IMPORT_LINE.match(line)
            if matched:
                name, microseconds = matched[2], int(matched[1])
                least[name] = min(least.get(name, microseconds), microseconds)
    packages: Counter[str] = Counter()
    for name, microseconds in least.items():
        packages[name.partition(".")[0]] += microseconds
    shown = dict(packages.most_common(PACKAGES_SHOWN))
    figures = {name: round(amount / 1000, 1) for name, amount in shown.items()}
    return {**figures, "all": round(sum(packages.values()) / 1000, 1)}


def _time_document() -> float:
    """Return the least time that decoding a document with accounts takes."""
    route = {
        "name": "q",
        "host": "a.example",
        "path_prefix": "/q/",
        "service": "hub",
        "target_latency_ms": 1000,
    }
    document = {
        "version": 1,
        "routes": [
            {**route, "name": f"q{number}", "path_prefix": f"/q{number}/"}
            for number in range(DOCUMENT_QUEUES)
        ],
        "services": [{"name": "hub"}],
        "tenants": [
            {"name": f"t{number}", "api_keys": [f"key-{number}"], "weight": 1}
            for number in range(DOCUMENT_ACCOUNTS)
        ],
    }
    entry = Entry("op/config", json.dumps(document).encode(), 1)
    queues = PlatformQueues(None, needs_keys=True)
    seconds = []
    for _ in range(DECODINGS):
        began = time.process_time()
        assert queues.decode(entry).table is not None
        seconds.append(time.process_time() - began)
    return round(min(seconds) * 1000, 2)
