"""The adapter to the users' platform.

It translates between the platform's wire format and the types of
:mod:`damaskdeck.protocol` and makes no decisions. Names of the platform's wire format
are used in this package only; each message is decoded once.
"""

from damaskdeck.platform.advisor import PlatformAdvisor
from damaskdeck.platform.callers import build_callers_app
from damaskdeck.platform.client import PlatformClient
from damaskdeck.platform.declarations import PlatformQueues
from damaskdeck.platform.nodes import NodeSettings, load_node_settings
from damaskdeck.platform.registry import PlatformRegistry
from damaskdeck.platform.store import PlatformStore
from damaskdeck.platform.workers import PlatformWorkers

__all__ = [
    "NodeSettings",
    "PlatformAdvisor",
    "PlatformClient",
    "PlatformQueues",
    "PlatformRegistry",
    "PlatformStore",
    "PlatformWorkers",
    "build_callers_app",
    "load_node_settings",
]
