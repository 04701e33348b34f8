"""The command ``pools``, which shows what the owner of the pools knows."""

from typing import Annotated, Any

import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.output import Style, print_document, print_message, print_rows
from damaskdeck.cli.session import (
    CallOptions,
    Output,
    check_reply,
    choose_style,
    run,
)
from damaskdeck.client import Client

STATUS_PATH = "/pools"


@app.command()
def pools(
    context: typer.Context,
    address: Annotated[
        str, typer.Argument(help="IP:port at which any daemon serves its metrics.")
    ],
    output: Output = None,
) -> None:
    """Show what waits and runs in the pools, by queue and account."""

    async def work(client: Client) -> Exit | None:
        status = await _read(client)
        style = choose_style(context, output)
        owner_address = status.get("owner_address", "")
        if "sections" not in status and owner_address:
            async with Client(f"http://{owner_address}", "") as owner:
                status = await _read(owner)
        if "sections" not in status:
            print_message("no_owner: no daemon owns the pools at present")
            return Exit.REFUSED
        if style is not Style.TABLE:
            print_document(status, style)
            return None
        print(f"owner {status['owner']}, epoch {status['epoch']}")
        for name, rows in status["sections"].items():
            print(f"\n{name}")
            print_rows(rows)
        return None

    run(CallOptions(f"http://{address}", "", Style.TABLE), work)


async def _read(client: Client) -> dict[str, Any]:
    reply = await client.call("GET", STATUS_PATH)
    check_reply(reply)
    return reply.read_json()
