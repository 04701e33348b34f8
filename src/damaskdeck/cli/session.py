"""The calls of one command to a daemon, and the exit code that follows."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, NamedTuple, NoReturn
from urllib.parse import quote

import aiohttp
import typer

from damaskdeck.cli.exits import EXIT_BY_OUTCOME, Exit
from damaskdeck.cli.output import Style, print_message, print_problem
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
    """Options that all commands share.

    :param server: base URL of the daemon.
    :param token: bearer token; an empty string sends none.
    """

    server: str
    token: str
    style: Style


def run(
    options: CallOptions, work: Callable[[Client], Awaitable[Exit | None]]
) -> NoReturn:
    """Run ``work`` with a client and exit with the code of its outcome.

    A connection that can't be opened is ``REFUSED``, because nothing was sent; one that
    breaks later is ``UNKNOWN``, because the call may have taken effect.

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
        print_message(f"unreachable: the call was not sent: {error}")
        return Exit.REFUSED
    except aiohttp.ClientError as error:
        print_message(f"answer_lost: the call may have taken effect: {error}")
        return Exit.UNKNOWN


def choose_style(context: typer.Context, output: Style | None) -> Style:
    """Return the output style of the command, or else the one of all commands."""
    return output or context.obj.style


def get_path(kind: str, name: str = "") -> str:
    """Return the HTTP path of a resource, or of all resources of a kind.

    :param kind: in the singular or plural.
    :raises typer.BadParameter: when the kind is unknown.
    """
    plural = PLURALS.get(kind, kind)
    if plural not in PLURALS.values():
        raise typer.BadParameter(f"one of {', '.join(PLURALS)}", param_hint="kind")
    return f"/v1/{plural}/{quote(name, safe='')}" if name else f"/v1/{plural}"


def check_reply(reply: Reply) -> None:
    """Print the problem and end the command when a call failed.

    :raises typer.Exit: when the status is 300 or above.
    """
    if reply.status < 300:
        return
    document = read_document(reply)
    print_problem(document)
    if reply.headers.get("Retry-After"):
        print_message(f"retry after {reply.headers['Retry-After']} s")
    raise typer.Exit(find_exit(reply, document))


def find_exit(reply: Reply, document: Any) -> Exit:
    """Return the exit code of a call that failed."""
    outcome = reply.outcome
    if not outcome and isinstance(document, dict):
        outcome = document.get("outcome", "")
    if reply.status >= 500 and not outcome:
        return Exit.UNKNOWN
    return EXIT_BY_OUTCOME.get(outcome, Exit.REFUSED)


def read_document(reply: Reply) -> Any:
    """Return a JSON body decoded, and any other body as text."""
    if "json" in reply.headers.get("Content-Type", ""):
        return reply.read_json()
    return reply.body.decode(errors="replace")
