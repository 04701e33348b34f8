"""The adapter to the users' platform: it translates and decides nothing.

Every name of the platform's wire stands in this package alone and is decoded once,
into the types of :mod:`damaskdeck.protocol`.
"""

from damaskdeck.platform.advisor import PlatformAdvisor
from damaskdeck.platform.callers import build_callers_app
from damaskdeck.platform.client import PlatformClient
from damaskdeck.platform.declarations import PlatformQueues
from damaskdeck.platform.nodes import NodeSettings, load_node
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
    "load_node",
]
