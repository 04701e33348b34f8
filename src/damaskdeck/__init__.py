"""damaskdeck, a cluster scheduler for services, batch jobs and gangs.

This module exports the public API of the package; all other modules may change.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from damaskdeck.clock import Clock, SystemClock
from damaskdeck.errors import (
    DamaskdeckError,
    DocumentError,
    Fault,
    InvariantError,
    SettingsError,
)
from damaskdeck.protocol.outcomes import Completed, Failed, Outcome, Refused, Unknown

if TYPE_CHECKING:
    from damaskdeck.client import Client, Reply
    from damaskdeck.daemon import Daemon
    from damaskdeck.settings import Settings, load_settings

__version__ = "0.1.0"

__all__ = [
    "Client",
    "Clock",
    "Completed",
    "Daemon",
    "DamaskdeckError",
    "DocumentError",
    "Failed",
    "Fault",
    "InvariantError",
    "Outcome",
    "Refused",
    "Reply",
    "Settings",
    "SettingsError",
    "SystemClock",
    "Unknown",
    "load_settings",
]

# Imported on first use, so that the command line doesn't load the daemon's libraries,
# the daemon doesn't load the client's, and the daemon of the pools, whose settings
# aren't in YAML, doesn't load its parser.
_LAZY = {
    "Client": "client",
    "Daemon": "daemon",
    "Reply": "client",
    "Settings": "settings",
    "load_settings": "settings",
}


def __getattr__(name: str) -> Any:
    if name not in _LAZY:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f"{__name__}.{_LAZY[name]}"), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    return sorted({*globals(), *__all__})
