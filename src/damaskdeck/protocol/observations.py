"""Messages by which daemons tell each other what they observe."""

from typing import Any, NotRequired, TypedDict

from damaskdeck.protocol.messages import message


@message("list_observed", reply="observed")
class ListObservedResources(TypedDict):
    """Asks for the resources of ``kind`` that the receiver decides about."""

    kind: str


class ObservedMetadata(TypedDict):
    """Who an observed resource is."""

    name: str
    revision: NotRequired[int]
    labels: NotRequired[dict[str, str]]


class ObservedItem(TypedDict):
    """A resource as the API shows it."""

    kind: str
    metadata: ObservedMetadata
    spec: NotRequired[dict[str, Any]]
    status: NotRequired[dict[str, Any]]


@message("observed")
class ListObservedReply(TypedDict):
    """The resources asked for, as the API shows them."""

    items: list[ObservedItem]
