"""One command's session with a daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, NamedTuple, NoReturn
from urllib.parse import quote

import aiohttp
import typer

from damaskdeck.cli.exits import BY_OUTCOME, Exit
from damaskdeck.cli.output import Style, print_note, print_problem
from damaskdeck.client import Client, Reply

PLURALS = {
    "team": "teams",
    "workload": "workloads",
    "policy": "policies",
    "job": "jobs",
    "task": "tasks",
    "worker": "workers",
    "target": "targets",
}
Output = Annotated[
    Style | None, typer.Option("--output", "-o", help="How results are printed.")
]
PATCH_HEADERS = {"Content-Type": "application/merge-patch+json"}


class CallOptions(NamedTuple):
    """Which daemon to call and how to print.

    :param server: base URL of the daemon.
    :param token: bearer token; an empty string sends none.
    """

    server: str
    token: str
    style: Style


def run(
    options: CallOptions, work: Callable[[Client], Awaitable[Exit | None]]
) -> NoReturn:
    """Run ``work`` with a client and exit with what became of it.

    No connection is ``REFUSED``, as nothing was sent; one that broke later is
    ``UNKNOWN``.

    :raises typer.Exit: always.
    """
    raise typer.Exit(asyncio.run(_run(options, work)))


async def _run(
    options: CallOptions, work: Callable[[Client], Awaitable[Exit | None]]
) -> Exit:
    try:
        async with Client(options.server, options.token) as client:
            return await work(client) or Exit.COMPLETED
    except aiohttp.ClientConnectorError as error:
        print_note(f"unreachable: nothing was sent: {error}")
        return Exit.REFUSED
    except aiohttp.ClientError as error:
        print_note(f"answer_lost: it may have taken effect: {error}")
        return Exit.UNKNOWN


def choose_style(context: typer.Context, output: Style | None) -> Style:
    """Return the command's own style, else that of all commands."""
    return output or context.obj.style


def get_path(kind: str, name: str = "") -> str:
    """Return the path of a resource or of all of a kind.

    :param kind: in the singular or plural.
    """
    plural = PLURALS.get(kind, kind)
    if plural not in PLURALS.values():
        raise typer.BadParameter(f"one of {', '.join(PLURALS)}", param_hint="kind")
    return f"/v1/{plural}/{quote(name, safe='')}" if name else f"/v1/{plural}"


def check_reply(reply: Reply) -> None:
    """End the command when the call did not do what was asked."""
    if reply.status < 300:
        return
    document = read_document(reply)
    print_problem(document)
    if reply.headers.get("Retry-After"):
        print_note(f"come back in {reply.headers['Retry-After']} s")
    raise typer.Exit(find_exit(reply, document))


def find_exit(reply: Reply, document: Any) -> Exit:
    """Return the exit code of a call that was not done."""
    outcome = reply.outcome
    if not outcome and isinstance(document, dict):
        outcome = document.get("outcome", "")
    if reply.status >= 500 and not outcome:
        return Exit.UNKNOWN
    return BY_OUTCOME.get(outcome, Exit.REFUSED)


def read_document(reply: Reply) -> Any:
    """Decode a JSON body; any other is returned as text."""
    if "json" in reply.headers.get("Content-Type", ""):
        return reply.read_json()
    return reply.body.decode(errors="replace")
