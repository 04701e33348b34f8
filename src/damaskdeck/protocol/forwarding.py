"""Messages by which daemons pass requests to the owners of targets."""

from typing import NotRequired, TypedDict

from damaskdeck.protocol.jobs import OutcomeData
from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Count, Seconds, SignedSeconds


class ServiceLoad(TypedDict):
    """How busy a daemon's own targets of one service are.

    ``service_time`` is the mean time in a slot, in seconds; ``targets`` and
    ``ejected`` count targets.
    """

    slots: Count
    free: Count
    queued: Count
    service_time: Seconds
    targets: Count
    ejected: Count


@message("forward_request", reply="forward_outcome")
class ForwardRequest(TypedDict):
    """A request handed to an owner.

    ``timeout`` is what is left and ``patience`` how long it may wait for a slot
    there, in seconds; ``waiting`` counts the requests that wait at the sender.
    """

    identifier: str
    attempt: Count
    service: str
    team: str
    body: bytes
    content_type: str
    urgency: str
    idempotent: bool
    timeout: Seconds
    patience: SignedSeconds
    waiting: Count


@message("forward_outcome")
class ForwardRequestReply(TypedDict):
    """What became of a forwarded request; ``load`` is the owner's at the reply."""

    identifier: str
    attempt: Count
    outcome: OutcomeData
    load: NotRequired[ServiceLoad]


@message("cancel_forward")
class CancelForwardedRequest(TypedDict):
    """The caller of a forwarded request has gone; its queue place is free."""

    identifier: str
    attempt: Count


@message("requests_waiting")
class ReportWaitingRequests(TypedDict):
    """The sender has no free slot for ``count`` requests of a service."""

    service: str
    count: Count


@message("slots_offered")
class OfferSlots(TypedDict):
    """The sender can take ``count`` requests of a service; nothing is reserved."""

    service: str
    count: Count


@message("read_slots", reply="slots_read")
class ReadSlots(TypedDict):
    """The owner of ``target`` from ``epoch`` on asks what is still in progress."""

    target: str
    epoch: Count


@message("slots_read")
class ReadSlotsReply(TypedDict):
    """Slots that an earlier owner's requests may still fill.

    ``epoch`` is the last one at which the sender was the owner, 0 if never;
    ``remaining`` has an upper bound in seconds for each slot that the sender
    filled, ``inherited`` for those of still earlier owners, by their names.
    """

    target: str
    epoch: Count
    remaining: list[Seconds]
    inherited: dict[str, list[Seconds]]
