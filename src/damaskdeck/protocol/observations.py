"""Messages by which daemons tell each other what they observe."""

from typing import Any, TypedDict

from damaskdeck.protocol.messages import message


@message("list_observed", reply="observed")
class ListObserved(TypedDict):
    """Asks for the resources of ``kind`` that the receiver decides about."""

    kind: str


@message("observed")
class Observed(TypedDict):
    """The resources asked for, as the API shows them."""

    items: list[dict[str, Any]]
