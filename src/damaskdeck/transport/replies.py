"""Decoding of replies to this daemon's calls, which must match their types."""

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
    """Decode a peer's reply to a message.

    A reply that can't be decoded is ``Unanswered``, because the peer may have acted on
    the message.

    :param name: wire name of the message.
    """
    try:
        message = decode_reply(name, body)
    except MessageError as error:
        _log.warn(
            "A reply that could not be decoded was dropped.",
            kind=name,
            error=str(error),
        )
        count_drop("peers", "invalid_reply")
        return Unanswered("invalid_reply")
    if message is None and has_reply(name):
        return Unanswered("no_reply")
    return Answered(message)
