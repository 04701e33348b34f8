"""The commands on resources: apply, get, describe, watch and delete."""

import sys
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.descriptions import print_description
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.output import Style, print_document, print_message
from damaskdeck.cli.session import (
    PLURALS,
    Output,
    check_reply,
    choose_style,
    get_path,
    run,
)
from damaskdeck.client import Client, Reply
from damaskdeck.documents import load_documents
from damaskdeck.errors import DocumentError

Kind = Annotated[
    str, typer.Argument(help="Kind of resource, for example workload or workloads.")
]
Name = Annotated[str, typer.Argument(help="Name of the resource.")]
Revision = Annotated[int, typer.Option(help="Only if this is still its revision.")]


@app.command()
def apply(
    context: typer.Context,
    file: Annotated[
        Path, typer.Option("--file", "-f", help="YAML file; - reads standard input.")
    ],
) -> None:
    """Create or replace the resources in a file of one or more documents."""
    resources = load_resources(file)

    async def work(client: Client) -> None:
        for resource in resources:
            await apply_resource(client, resource)

    run(context.obj, work)


async def apply_resource(client: Client, resource: dict[str, Any]) -> None:
    """Create or replace one resource, unless its spec is unchanged.

    The write is conditional on the revision that was read, so that a concurrent write
    of another operator is reported and not overwritten.

    :raises typer.Exit: when the write was not done.
    """
    name = resource["metadata"]["name"]
    path = get_path(resource["kind"], name)
    found = await client.call("GET", path)
    current = found.read_json() if found.status == 200 else None
    if current and current.get("spec") == resource.get("spec"):
        print(f"{resource['kind']} {name} unchanged")
        return
    reply = await client.call("PUT", path, resource, headers=_make_condition(current))
    check_reply(reply)
    action = "created" if reply.status == 201 else "configured"
    print(f"{resource['kind']} {name} {action}, revision {_read_revision(reply)}")


def load_resources(file: Path) -> list[dict[str, Any]]:
    """Read YAML documents, each of which must have a kind and a name.

    :param file: path of the file; ``-`` reads standard input.
    :raises typer.Exit: with ``Exit.USAGE`` when a document can't be used.
    """
    try:
        is_stdin = str(file) == "-"
        content = sys.stdin.buffer.read() if is_stdin else file.read_bytes()
        loaded = load_documents(content, str(file))
    except (OSError, DocumentError) as error:
        print_message(f"unreadable: {error}")
        raise typer.Exit(Exit.USAGE) from error
    documents = [doc for doc in loaded if doc is not None]
    faults = [n for n, doc in enumerate(documents, 1) if not _has_kind_and_name(doc)]
    for number in faults:
        print_message(f"document {number}: missing_field: kind and metadata.name")
    for number, document in enumerate(documents, 1):
        if number not in faults and document["kind"] not in PLURALS:
            print_message(f"document {number}: bad_value: kind: {', '.join(PLURALS)}")
            faults.append(number)
        if not _is_encodable(document):
            print_message(
                f"document {number}: bad_value: can't be written as JSON, for example "
                "because it refers to itself"
            )
            faults.append(number)
    if faults or not documents:
        raise typer.Exit(Exit.USAGE)
    return documents


@app.command("get")
def get_resource(
    context: typer.Context,
    kind: Kind,
    name: Annotated[
        str, typer.Argument(help="Read only the resource of this name.")
    ] = "",
    selector: Annotated[str, typer.Option("-l", "--selector")] = "",
    output: Output = None,
) -> None:
    """List the resources of a kind, or read one of them."""
    path, style = get_path(kind, name), choose_style(context, output)

    async def work(client: Client) -> None:
        if name:
            reply = await client.call("GET", path)
            check_reply(reply)
            print_document(reply.read_json(), style)
        else:
            items = await list_all(client, path, selector)
            document = {"kind": "list", "items": items}
            print_document(document, style)

    run(context.obj, work)


async def list_all(client: Client, path: str, selector: str = "") -> list[Any]:
    """Read all pages of a list and return their items."""
    query, items = f"?selector={quote(selector)}" if selector else "?", []
    after = ""
    while True:
        reply = await client.call("GET", path + query + after)
        check_reply(reply)
        page = reply.read_json()
        items += page["items"]
        token = page["metadata"].get("continue")
        if not token:
            return items
        after = f"&continue={token}"


@app.command()
def describe(context: typer.Context, kind: Kind, name: Name) -> None:
    """Describe one resource in sentences."""

    async def work(client: Client) -> None:
        reply = await client.call("GET", get_path(kind, name))
        check_reply(reply)
        print_description(reply.read_json())

    run(context.obj, work)


@app.command()
def watch(
    context: typer.Context,
    kind: Kind,
    name: Annotated[str, typer.Argument()] = "",
    revision: Annotated[
        int, typer.Option(help="Print changes after this revision.")
    ] = -1,
) -> None:
    """Print each change as a line, until interrupted."""
    start = f"&revision={revision}" if revision >= 0 else ""
    path = f"{get_path(kind, name)}?watch=true{start}"

    async def work(client: Client) -> Exit | None:
        async for line in client.watch(path):
            if "type" not in line or line.get("code"):
                print_document(line, Style.JSON)
                return Exit.REFUSED
            if line["type"] != "BOOKMARK":
                print(_summarize(line), flush=True)
        return None

    run(context.obj, work)


@app.command()
def delete(
    context: typer.Context, kind: Kind, name: Name, revision: Revision = 0
) -> None:
    """Delete a declared resource."""

    async def work(client: Client) -> None:
        headers = {"If-Match": f'"{revision}"'} if revision else {}
        reply = await client.call("DELETE", get_path(kind, name), headers=headers)
        check_reply(reply)
        print(f"{kind} {name} deleted")

    run(context.obj, work)


def _summarize(line: dict[str, Any]) -> str:
    resource = line["resource"]
    state = resource.get("status", {}).get("state", "")
    name = resource["metadata"]["name"]
    revision = resource["metadata"].get("revision", "")
    return f"{line['type']:9} {resource['kind']} {name} {revision} {state}".rstrip()


def _has_kind_and_name(document: Any) -> bool:
    if not isinstance(document, dict) or not isinstance(document.get("kind"), str):
        return False
    metadata = document.get("metadata")
    return isinstance(metadata, dict) and isinstance(metadata.get("name"), str)


def _is_encodable(document: Any) -> bool:
    """Return whether a document can be sent as JSON.

    YAML has values without a JSON form, and its aliases allow circular references.
    """
    try:
        msgspec.json.encode(document)
    except (TypeError, ValueError, OverflowError, RecursionError):
        return False
    return True


def _make_condition(current: dict[str, Any] | None) -> dict[str, str]:
    if current is None:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{current["metadata"]["revision"]}"'}


def _read_revision(reply: Reply) -> int:
    return reply.read_json()["metadata"]["revision"]
