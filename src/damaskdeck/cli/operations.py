"""The commands for operators: drain, status and check-settings."""

from pathlib import Path
from typing import Annotated, Any

import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.output import Style, print_document, print_message
from damaskdeck.cli.session import (
    PATCH_HEADERS,
    Output,
    check_reply,
    choose_style,
    get_path,
    run,
)
from damaskdeck.client import Client
from damaskdeck.errors import SettingsError
from damaskdeck.protocol.resources import POLICY_NAME
from damaskdeck.settings import load_settings


@app.command()
def drain(
    context: typer.Context,
    name: Annotated[str, typer.Argument(help="Name of a worker or target.")],
    undo: Annotated[
        bool, typer.Option("--undo", help="Let the instance receive work again.")
    ] = False,
) -> None:
    """Give an instance no new work; its running work continues to its end."""

    async def work(client: Client) -> None:
        policy = await _read_policy(client)
        drained = set(policy["spec"].get("drained", ())) if policy else set()
        drained = drained - {name} if undo else drained | {name}
        await _write_drained(client, policy, sorted(drained))
        print(f"{name} {'is used again' if undo else 'gets no new work'}")

    run(context.obj, work)


async def _read_policy(client: Client) -> dict[str, Any] | None:
    reply = await client.call("GET", get_path("policy", POLICY_NAME))
    if reply.status == 404:
        return None
    check_reply(reply)
    return reply.read_json()


async def _write_drained(
    client: Client, policy: dict[str, Any] | None, drained: list[str]
) -> None:
    path = get_path("policy", POLICY_NAME)
    if policy is None:
        resource = {
            "kind": "policy",
            "metadata": {"name": POLICY_NAME},
            "spec": {"drained": drained},
        }
        headers = {"If-None-Match": "*"}
        check_reply(await client.call("PUT", path, resource, headers=headers))
        return
    patch = {"spec": {"drained": drained}}
    revision = policy["metadata"]["revision"]
    headers = {**PATCH_HEADERS, "If-Match": f'"{revision}"'}
    check_reply(await client.call("PATCH", path, patch, headers=headers))


@app.command()
def status(
    context: typer.Context,
    revision: Annotated[
        int,
        typer.Option(
            help="Also check whether this revision is in force on all daemons."
        ),
    ] = 0,
    output: Output = None,
) -> None:
    """Print which revision each daemon has in force, owners and outages."""

    async def work(client: Client) -> None:
        query = f"?revision={revision}" if revision else ""
        reply = await client.call("GET", f"/v1/status{query}")
        check_reply(reply)
        style = choose_style(context, output)
        is_table = style is Style.TABLE
        print_document(reply.read_json(), Style.YAML if is_table else style)

    run(context.obj, work)


@app.command("check-settings")
def check_settings(
    file: Annotated[Path, typer.Argument(help="A daemon's settings file.")],
) -> None:
    """Check a settings file and print all of its faults."""
    try:
        settings = load_settings(str(file))
    except SettingsError as error:
        for fault in error.faults:
            print_message(f"{fault.path}: {fault.code}: {fault.detail}")
        raise typer.Exit(Exit.USAGE) from error
    print(f"good settings of {settings.name} in {settings.zone}")
