"""Commands on resources: apply, get, describe, watch and delete."""

import sys
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import typer

from damaskdeck.cli.app import app
from damaskdeck.cli.descriptions import print_description
from damaskdeck.cli.exits import Exit
from damaskdeck.cli.output import Style, print_document, print_note
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

Kind = Annotated[str, typer.Argument(help="As in workload or workloads.")]
Name = Annotated[str, typer.Argument(help="Name of the resource.")]
Revision = Annotated[int, typer.Option(help="Only when it is still this revision.")]


@app.command()
def apply(
    context: typer.Context,
    file: Annotated[Path, typer.Option("--file", "-f", help="YAML; - is stdin.")],
) -> None:
    """Declare the resources of a file, one or more documents."""
    resources = load_resources(file)

    async def work(client: Client) -> None:
        for resource in resources:
            await apply_resource(client, resource)

    run(context.obj, work)


async def apply_resource(client: Client, resource: dict[str, Any]) -> None:
    """Create or replace one resource; a race with another operator is told."""
    name = resource["metadata"]["name"]
    path = get_path(resource["kind"], name)
    found = await client.call("GET", path)
    current = found.read_json() if found.status == 200 else None
    if current and current.get("spec") == resource.get("spec"):
        print(f"{resource['kind']} {name} unchanged")
        return
    reply = await client.call("PUT", path, resource, headers=_compare(current))
    check_reply(reply)
    done = "created" if reply.status == 201 else "configured"
    print(f"{resource['kind']} {name} {done}, revision {_read_revision(reply)}")


def load_resources(file: Path) -> list[dict[str, Any]]:
    """Read YAML documents; all must name a kind and a name."""
    try:
        is_input = str(file) == "-"
        content = sys.stdin.buffer.read() if is_input else file.read_bytes()
        loaded = load_documents(content, str(file))
    except (OSError, DocumentError) as error:
        print_note(f"unreadable: {error}")
        raise typer.Exit(Exit.USAGE) from error
    documents = [each for each in loaded if each is not None]
    faults = [n for n, each in enumerate(documents, 1) if not _is_named(each)]
    for number in faults:
        print_note(f"document {number}: missing_field: kind and metadata.name")
    for number, each in enumerate(documents, 1):
        if number not in faults and each["kind"] not in PLURALS:
            print_note(f"document {number}: bad_value: kind: {', '.join(PLURALS)}")
            faults.append(number)
        if not _is_json(each):
            print_note(f"document {number}: bad_value: refers to itself or isn't JSON")
            faults.append(number)
    if faults or not documents:
        raise typer.Exit(Exit.USAGE)
    return documents


@app.command("get")
def get_resource(
    context: typer.Context,
    kind: Kind,
    name: Annotated[str, typer.Argument(help="Only this one.")] = "",
    selector: Annotated[str, typer.Option("-l", "--selector")] = "",
    output: Output = None,
) -> None:
    """List resources of a kind, or read one."""
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
    """Read all pages of a list."""
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
    """Explain one resource in plain words."""

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
    revision: Annotated[int, typer.Option(help="Start after this revision.")] = -1,
) -> None:
    """Print changes as they come, a line each, until interrupted."""
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


def _is_named(document: Any) -> bool:
    if not isinstance(document, dict) or not isinstance(document.get("kind"), str):
        return False
    metadata = document.get("metadata")
    return isinstance(metadata, dict) and isinstance(metadata.get("name"), str)


def _is_json(document: Any) -> bool:
    """Tell whether a document can be sent; YAML's aliases may form a circle."""
    try:
        msgspec.json.encode(document)
    except (TypeError, ValueError, OverflowError, RecursionError):
        return False
    return True


def _compare(current: dict[str, Any] | None) -> dict[str, str]:
    if current is None:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{current["metadata"]["revision"]}"'}


def _read_revision(reply: Reply) -> int:
    return reply.read_json()["metadata"]["revision"]
