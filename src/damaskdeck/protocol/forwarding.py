"""Messages by which daemons forward requests to the owners of targets."""

from typing import NotRequired, TypedDict

from damaskdeck.protocol.jobs import OutcomeData
from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Count, Seconds, SignedSeconds


class ServiceLoad(TypedDict):
    """Load of a daemon's own targets of one service.

    ``service_time`` is the mean time that a request uses a slot, in seconds;
    ``targets`` and ``ejected`` count targets.
    """

    slots: Count
    free: Count
    queued: Count
    service_time: Seconds
    targets: Count
    ejected: Count


@message("forward_request", reply="forward_outcome")
class ForwardRequest(TypedDict):
    """A request forwarded to an owner.

    ``timeout`` is the remaining time and ``patience`` the time that it may wait for
    a slot there, both in seconds; ``waiting`` counts the requests that wait at the
    sender.
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
    """Outcome of a forwarded request; ``load`` is that of the owner at the reply."""

    identifier: str
    attempt: Count
    outcome: OutcomeData
    load: NotRequired[ServiceLoad]


@message("cancel_forward")
class CancelForwardedRequest(TypedDict):
    """The caller of a forwarded request is gone; its place in the queue is free."""

    identifier: str
    attempt: Count


@message("requests_waiting")
class ReportWaitingRequests(TypedDict):
    """The sender has no free slot for ``count`` requests of a service."""

    service: str
    count: Count


@message("slots_offered")
class OfferSlots(TypedDict):
    """The sender can serve ``count`` requests of a service; nothing is reserved."""

    service: str
    count: Count


@message("read_slots", reply="slots_read")
class ReadSlots(TypedDict):
    """The owner of ``target`` from ``epoch`` on asks for requests in progress."""

    target: str
    epoch: Count


@message("slots_read")
class ReadSlotsReply(TypedDict):
    """Slots that requests of earlier owners may still occupy.

    ``epoch`` is the last epoch in which the sender was the owner, 0 if never;
    ``remaining`` has an upper bound in seconds for each slot that the sender
    filled, ``inherited`` for each slot of still earlier owners, by owner name.
    """

    target: str
    epoch: Count
    remaining: list[Seconds]
    inherited: dict[str, list[Seconds]]
