"""Replies to this daemon's calls: used as their type says, or not at all."""

from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.messages import (
    Answered,
    Unanswered,
    decode_reply,
    has_reply,
)

_log = get_logger("peers")


def read_reply(name: str, body: bytes) -> Answered | Unanswered:
    """Read what a peer replied to a message of ``name``.

    The peer has acted, in whatever way; what it says can't be used then.
    """
    try:
        message = decode_reply(name, body)
    except MessageError as error:
        _log.warn("A reply was dropped.", kind=name, error=str(error))
        count_drop("peers", "invalid_reply")
        return Unanswered("invalid_reply")
    if message is None and has_reply(name):
        return Unanswered("no_reply")
    return Answered(message)
