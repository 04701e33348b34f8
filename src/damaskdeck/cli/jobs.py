"""The commands on jobs: submit and cancel."""

import asyncio
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.exits import EXIT_BY_OUTCOME, Exit
from damaskdeck.cli.output import print_document, print_message
from damaskdeck.cli.session import Output, check_reply, choose_style, get_path, run
from damaskdeck.client import Client

WATCH_RETRY_SECONDS = 0.5


@app.command()
def submit(
    context: typer.Context,
    workload: Annotated[str, typer.Argument(help="Name of a batch or gang workload.")],
    payload: Annotated[
        Path | None, typer.Option(help="File that each task receives.")
    ] = None,
    key: Annotated[str, typer.Option(help="Idempotency key.")] = "",
    wait: Annotated[bool, typer.Option(help="Wait until the job has ended.")] = False,
    output: Output = None,
) -> None:
    """Submit a job; it is durable once its name is printed."""
    style = choose_style(context, output)
    body = payload.read_bytes() if payload else b"{}"
    headers = {"Idempotency-Key": key} if key else {}

    async def work(client: Client) -> Exit | None:
        path = get_path("workload", workload) + "/jobs"
        reply = await client.call("POST", path, body=body, headers=headers)
        check_reply(reply)
        job = reply.read_json()
        if not wait:
            print_document(job, style)
            return None
        job = await follow_job(client, job["metadata"]["name"])
        print_document(job, style)
        return EXIT_BY_OUTCOME[job["status"]["state"]]

    run(context.obj, work)


async def follow_job(client: Client, name: str) -> dict[str, Any]:
    """Watch a job until it has ended and print its progress.

    :return: the job in its final state.
    :raises typer.Exit: when the job can't be read.
    """
    started_at = time.monotonic()
    path = get_path("job", name)
    while True:
        async for line in client.watch(f"{path}?watch=true"):
            if "resource" not in line:
                continue
            job = line["resource"]
            _print_progress(job, time.monotonic() - started_at)
            if job["status"]["state"] in EXIT_BY_OUTCOME:
                return job
        # The watch was refused or ended early, as when its daemon shuts down.
        check_reply(await client.call("GET", path))
        await asyncio.sleep(WATCH_RETRY_SECONDS)


def _print_progress(job: dict[str, Any], elapsed: float) -> None:
    reasons = job["status"].get("reasons", ())
    reason = f", {reasons[-1]}" if reasons else ""
    print_message(f"{elapsed:6.1f} s  {job['status']['state']}{reason}")


@app.command()
def cancel(
    context: typer.Context,
    name: Annotated[str, typer.Argument(help="Name of the job.")],
    output: Output = None,
) -> None:
    """Cancel a job; a job that has ended keeps its final state."""
    style = choose_style(context, output)

    async def work(client: Client) -> None:
        reply = await client.call("DELETE", get_path("job", name))
        check_reply(reply)
        print_document(reply.read_json(), style)

    run(context.obj, work)
