"""The options that all commands share, and the entry point."""

from typing import Annotated

import typer

from damaskdeck.cli.output import Style
from damaskdeck.cli.session import CallOptions

app = typer.Typer(
    name="damaskdeck",
    help="Declare workloads, submit jobs and watch resources change.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@app.callback()
def set_options(
    context: typer.Context,
    server: Annotated[
        str, typer.Option(envvar="DAMASKDECK_SERVER", help="URL of a daemon.")
    ] = "http://127.0.0.1:8400",
    token: Annotated[
        str, typer.Option(envvar="DAMASKDECK_TOKEN", help="Bearer token.")
    ] = "",
    output: Annotated[
        Style, typer.Option("--output", "-o", help="How results are printed.")
    ] = Style.TABLE,
) -> None:
    """Set the options that all commands share."""
    context.obj = CallOptions(server, token, output)


def main() -> None:
    """Run the command line."""
    # Importing the modules registers their commands.
    from damaskdeck.cli import (  # noqa: F401
        calls,
        declarations,
        jobs,
        logs,
        losses,
        operations,
        pools,
    )

    app()
