"""Messages between daemons and the registry of their types.

Every message is a ``TypedDict``. A peer ignores unknown fields and refuses a
message without a required field, so that two versions can run side by side and
no message is applied in part.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple, Protocol, TypeVar

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.protocol.values import distinct

T = TypeVar("T")

_types: dict[str, type] = {}
_names: dict[type, str] = {}
_replies: dict[str, str] = {}
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_encoder = msgspec.msgpack.Encoder()

# The reply of a handler that returns nothing.
NO_REPLY = msgspec.msgpack.encode(None)


class Envelope(msgspec.Struct, array_like=True):
    """A message in transit, one of a batch.

    :param kind: registered name of its type.
    :param number: rises with each call of a sender; 0 when no reply is expected.
    :param reply_to: the ``number`` of the message that this one answers, or 0.
    :param body: the encoded message.
    """

    kind: str
    number: int
    reply_to: int
    body: bytes


@distinct
class Answered(NamedTuple):
    """The peer replied with ``message``."""

    message: Any


@distinct
class Unsent(NamedTuple):
    """The message did not leave this daemon; the peer did nothing."""

    code: str


@distinct
class Unanswered(NamedTuple):
    """The message was sent without a reply; the peer may have acted on it."""

    code: str


Handler = Callable[[str, Any], Awaitable[Any]]


class Peers(Protocol):
    """Connections to the other daemons."""

    def register(self, kind: type, handler: Handler) -> None:
        """Pass all messages of ``kind`` to ``handler(instance, message)``.

        Its result is the reply; ``None`` when there is none.
        """

    def send(self, instance: str, message: Any, kind: type) -> Unsent | None:
        """Queue a message to ``instance`` without waiting."""

    async def call(
        self, instance: str, message: Any, kind: type, timeout: timedelta
    ) -> Answered | Unsent | Unanswered:
        """Send a message and wait for its reply."""

    def is_connection_refused(self, instance: str) -> bool:
        """Whether the last connection to a daemon's address was refused.

        Its process has ended then, or something on the way refuses for it.
        """


def message(name: str, reply: str = "") -> Callable[[type[T]], type[T]]:
    """Register a ``TypedDict`` as a message.

    :param name: its name on the wire; must never be reused for another meaning.
    :param reply: name of the message type that answers it, if one does.
    :raises ValueError: when the name is taken.
    """

    def register(kind: type[T]) -> type[T]:
        if name in _types:
            raise ValueError(f"message {name!r} is already registered")
        if reply:
            _replies[name] = reply
        _types[name] = kind
        _names[kind] = name
        return kind

    return register


def get_message_name(kind: type) -> str:
    """Return the wire name of a registered type."""
    return _names[kind]


def get_message_type(name: str) -> type | None:
    """Return the type registered as ``name``; newer peers may send unknown names."""
    return _types.get(name)


def encode_message(value: Any) -> bytes:
    """Encode the body of a message."""
    return _encoder.encode(value)


def decode_message(name: str, body: bytes) -> Any:
    """Decode the body of a message.

    :raises MessageError: when it does not have the registered type.
    """
    decoder = _decoders.get(name)
    if decoder is None:
        decoder = _decoders[name] = msgspec.msgpack.Decoder(_types[name])
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MessageError(f"{name}: {error}") from error


def has_reply(name: str) -> bool:
    """Whether a message type is declared for the replies to type ``name``."""
    return name in _replies


def decode_reply(name: str, body: bytes) -> Any:
    """Decode the reply to a message of type ``name``; plain data if it has no type.

    :raises MessageError: when it does not have the type that answers ``name``.
    """
    reply = _replies.get(name)
    if reply is not None:
        return None if body == NO_REPLY else decode_message(reply, body)
    try:
        return msgspec.msgpack.decode(body)
    except DECODE_ERRORS as error:
        raise MessageError(f"reply to {name}: {error}") from error
