"""The command ``request``, which sends a request to a service."""

import sys
from pathlib import Path
from typing import Annotated
from urllib.parse import quote

import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.session import check_reply, run
from damaskdeck.client import Client


@app.command()
def request(
    context: typer.Context,
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    data: Annotated[str, typer.Option(help="Body of the request.")] = "",
    file: Annotated[Path | None, typer.Option("-f", "--file")] = None,
    key: Annotated[str, typer.Option(help="Idempotency key.")] = "",
    timeout: Annotated[float, typer.Option(help="Seconds to wait.")] = 10,
    urgency: Annotated[str, typer.Option()] = "normal",
    idempotent: Annotated[
        bool, typer.Option(help="The request may be repeated.")
    ] = False,
) -> None:
    """Send a request to a service and print the body of its answer."""
    body = file.read_bytes() if file else data.encode()
    headers = {
        "Request-Timeout": str(timeout),
        "Urgency": urgency,
        "Idempotent": str(idempotent).lower(),
    }
    if key:
        headers["Idempotency-Key"] = key

    async def work(client: Client) -> None:
        path = f"/v1/services/{quote(service, safe='')}/requests"
        reply = await client.call("POST", path, body=body, headers=headers)
        check_reply(reply)
        sys.stdout.buffer.write(reply.body)
        sys.stdout.buffer.flush()

    run(context.obj, work)
