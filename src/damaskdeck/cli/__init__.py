"""The command line ``damaskdeck``; each command calls one daemon's API."""

from damaskdeck.cli.app import app, main

__all__ = ["app", "main"]
