"""Messages by which daemons exchange observed resources."""

from typing import Any, NotRequired, TypedDict

from damaskdeck.protocol.messages import message


@message("list_observed", reply="observed")
class ListObservedResources(TypedDict):
    """List the resources of ``kind`` that the receiver owns."""

    kind: str


class ObservedMetadata(TypedDict):
    """Metadata of an observed resource."""

    name: str
    revision: NotRequired[int]
    labels: NotRequired[dict[str, str]]


class ObservedItem(TypedDict):
    """A resource as in the API."""

    kind: str
    metadata: ObservedMetadata
    spec: NotRequired[dict[str, Any]]
    status: NotRequired[dict[str, Any]]


@message("observed")
class ListObservedReply(TypedDict):
    """The requested resources."""

    items: list[ObservedItem]
