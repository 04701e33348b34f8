"""Runs daemons of the pools as processes and reads what they use."""

import asyncio
import compileall
import contextlib
import os
import re
import shutil
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import damaskdeck
from damaskdeck.clock import SystemClock
from damaskdeck.platform import PlatformClient
from damaskdeck.platform.client import Reply
from standins.nodes import NodeProcess
from standins.wire import WirePlatform

READY_LIMIT_SECONDS = 60
READY_CHECK_SECONDS = 0.01
CALL_TIMEOUT = timedelta(seconds=10)
ZONES = 3

_STORE_CALLS = re.compile(r'^damaskdeck_store_calls_total\{.*kind="(\w+)".*\} (\S+)$')
_WAKEUPS = re.compile(r"^voluntary_ctxt_switches:\s+(\d+)$", re.MULTILINE)


class Usage(NamedTuple):
    """What a process has used since its start.

    :param processor: seconds of processor time.
    :param wakeups: how often one of its threads has waited for something.
    """

    processor: float
    wakeups: int


def read_usage(process: int) -> Usage:
    """Return what a process has used, from Linux's files on its threads."""
    nanoseconds = wakeups = 0
    for thread in Path(f"/proc/{process}/task").iterdir():
        nanoseconds += int((thread / "schedstat").read_text().split()[0])
        found = _WAKEUPS.search((thread / "status").read_text())
        wakeups += int(found[1]) if found else 0
    return Usage(nanoseconds / 1e9, wakeups)


def read_resident_megabytes(process: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


class NodeFleet:
    """A platform with a declared document, and daemons on it."""

    def __init__(self, platform: WirePlatform, folder: Path) -> None:
        self.platform = platform
        self.nodes: list[NodeProcess] = []
        self.client = PlatformClient()
        self._folder = folder

    async def start_node(self) -> Usage:
        """Start a daemon; return what it used until its first readiness check."""
        number = len(self.nodes)
        node = NodeProcess(
            f"n{number}", f"z{number % ZONES}", self.platform, self._folder
        )
        self.nodes.append(node)
        await node.start()
        async with asyncio.timeout(READY_LIMIT_SECONDS):
            while not await self.is_ready(node):  # noqa: ASYNC110
                await asyncio.sleep(READY_CHECK_SECONDS)
        return read_usage(node.process.pid)

    async def is_ready(self, node: NodeProcess) -> bool:
        """Return whether a daemon answers a readiness check with success."""
        reply = await self.client.call("GET", node.ready_address, "/", CALL_TIMEOUT)
        return isinstance(reply, Reply) and reply.status == 200

    async def read_store_calls(self, node: NodeProcess) -> Counter[str]:
        """Return how many calls to the store a daemon has made, by kind."""
        reply = await self.client.call("GET", node.metrics_address, "/", CALL_TIMEOUT)
        assert isinstance(reply, Reply), reply
        found = map(_STORE_CALLS.match, reply.body.decode().splitlines())
        return Counter({m[1]: round(float(m[2])) for m in found if m})

    def find_owner(self) -> NodeProcess:
        """Return the daemon that became the owner last."""
        epochs = {
            line["epoch"]: node
            for node in self.nodes
            for line in node.find_lines("Owner of the pools.")
        }
        return epochs[max(epochs)]


@contextlib.contextmanager
def use_compiled_package() -> Iterator[None]:
    """Let processes import a compiled copy of the package, as in a deployment.

    Otherwise they would compile the package at each start wherever the interpreter may
    not write next to the sources, which takes as long as all else.
    """
    before = os.environ.get("PYTHONPATH")
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(Path(damaskdeck.__file__).parent, Path(folder, "damaskdeck"))
        compileall.compile_dir(folder, quiet=1)
        paths = [folder] if before is None else [folder, before]
        os.environ["PYTHONPATH"] = os.pathsep.join(paths)
        try:
            yield
        finally:
            if before is None:
                del os.environ["PYTHONPATH"]
            else:
                os.environ["PYTHONPATH"] = before


@contextlib.asynccontextmanager
async def run_fleet(workers: int) -> AsyncIterator[NodeFleet]:
    """Run a platform, and kill the daemons that were started on it."""
    platform = WirePlatform(SystemClock(), workers)
    await platform.start()
    platform.declare(5)
    with tempfile.TemporaryDirectory() as folder:
        fleet = NodeFleet(platform, Path(folder))
        try:
            yield fleet
        finally:
            await asyncio.gather(*(node.kill() for node in fleet.nodes))
            await fleet.client.close()
            platform.close()


def run(quick: bool = False) -> dict:
    """Return what one daemon used until it was ready, and its memory."""

    async def measure() -> dict:
        async with run_fleet(1) as fleet:
            usage = await fleet.start_node()
            memory = read_resident_megabytes(fleet.nodes[0].process.pid)
            return {"processor_seconds": usage.processor, "resident_mb": memory}

    with use_compiled_package():
        return asyncio.run(measure())
