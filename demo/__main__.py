"""Runs the demo: three daemons in two zones with a service, batch jobs and a gang."""

import asyncio
import sys
import tempfile
from pathlib import Path

from damaskdeck.client import Client
from damaskdeck.clock import SystemClock
from damaskdeck.protocol.sizes import Size
from demo.checks import Checks
from demo.steps import STEPS, Context
from standins.deployment import OPERATOR_TOKEN, Deployment
from standins.platform import Platform
from standins.waiting import wait_until

TEAM_TOKENS = {"riders": "riders-token", "invoices": "invoices-token"}
DAEMONS = (("entry-1", "zone-a"), ("entry-2", "zone-a"), ("entry-3", "zone-b"))


async def build_platform() -> Platform:
    """Start a simulated store, instance list, workers and targets on loopback."""
    platform = Platform(SystemClock())
    for zone in ("zone-a", "zone-b"):
        for number in range(3):
            name = f"worker-{zone[-1]}{number}"
            size = Size(16_000, 65_536, 2 if number == 0 else 0)
            platform.add_worker(name, zone, size, rack=f"rack-{zone[-1]}")
        for number in range(2):
            platform.add_target(f"target-{zone[-1]}{number}", zone, "orders")
    await platform.serve()
    return platform


async def run_demo(folder: Path) -> Checks:
    """Start the deployment, run each step and stop the deployment."""
    checks = Checks()
    platform = await build_platform()
    deployment = Deployment(platform, folder, TEAM_TOKENS)
    try:
        for name, zone in DAEMONS:
            daemon = await deployment.start(name, zone)
            print(f"{name} in {zone} listens on {daemon.address}", flush=True)
        await run_steps(deployment, checks)
    finally:
        await deployment.close()
        await platform.close()
    return checks


async def run_steps(deployment: Deployment, checks: Checks) -> None:
    """Run the steps in order, with one client for each daemon."""
    servers = [f"http://{d.address}" for d in deployment.daemons.values()]
    async with (
        Client(servers[0], OPERATOR_TOKEN) as operator,
        Client(servers[1], TEAM_TOKENS["riders"]) as riders,
        Client(servers[2], TEAM_TOKENS["invoices"]) as invoices,
    ):
        context = Context(deployment, checks, operator, riders, invoices)
        for client in (operator, riders, invoices):
            ready = await wait_until(
                lambda c=client: c.call("GET", "/readyz"), lambda r: r.status == 200
            )
            checks.check("a daemon is ready", ready.status == 200, ready.body)
        for step in STEPS:
            print(f"\n{step.__doc__.splitlines()[0]}", flush=True)
            await step(context)


def main() -> None:
    """Run the demo; the exit code is 0 only if all checks passed."""
    with tempfile.TemporaryDirectory() as folder:
        checks = asyncio.run(run_demo(Path(folder)))
    print(f"\n{checks.count - len(checks.failed)} of {checks.count} checks held")
    sys.exit(1 if checks.failed else 0)


if __name__ == "__main__":
    main()
