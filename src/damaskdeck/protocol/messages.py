"""Messages between daemons and the registry of their types.

Every message is a ``TypedDict``: a peer ignores fields that it doesn't know
and refuses a message that lacks one that must be there, so that two versions
can run side by side and nothing is half applied.
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

# What a handler that returns nothing replies.
NO_REPLY = msgspec.msgpack.encode(None)


class Envelope(msgspec.Struct, array_like=True):
    """A message on its way, one of a batch.

    :param kind: name under which its type is registered.
    :param number: rises with each call of a sender; 0 asks for no reply.
    :param reply_to: the ``number`` that this message replies to, or 0.
    :param body: the encoded message.
    """

    kind: str
    number: int
    reply_to: int
    body: bytes


@distinct
class Answered(NamedTuple):
    """A peer replied with ``message``."""

    message: Any


@distinct
class Unsent(NamedTuple):
    """The message did not leave this daemon; the peer did nothing."""

    code: str


@distinct
class Unanswered(NamedTuple):
    """The message left and no reply came; the peer may have acted on it."""

    code: str


Handler = Callable[[str, Any], Awaitable[Any]]


class Peers(Protocol):
    """Streams to the other daemons."""

    def register(self, kind: type, handler: Handler) -> None:
        """Let ``handler(instance, message)`` take all messages of ``kind``.

        What it returns is the reply; ``None`` when there is none.
        """

    def send(self, instance: str, message: Any, kind: type) -> Unsent | None:
        """Put a message on the stream to ``instance`` without waiting."""

    async def call(
        self, instance: str, message: Any, kind: type, timeout: timedelta
    ) -> Answered | Unsent | Unanswered:
        """Send a message and wait for its reply."""

    def is_refused(self, instance: str) -> bool:
        """Whether nobody listened at a daemon's address when it was last called.

        Its process is gone then, or the way to it refuses on its behalf.
        """


def message(name: str, reply: str = "") -> Callable[[type[T]], type[T]]:
    """Register a ``TypedDict`` as a message.

    :param name: its name on the wire; never reused for another meaning.
    :param reply: the name of the message that answers it, if one does.
    """

    def register(kind: type[T]) -> type[T]:
        if name in _types:
            raise ValueError(f"message {name!r} is registered twice")
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
    """Return the type registered under ``name``; newer peers may send others."""
    return _types.get(name)


def encode_message(value: Any) -> bytes:
    """Encode a message's body."""
    return _encoder.encode(value)


def decode_message(name: str, body: bytes) -> Any:
    """Decode a message's body.

    :raises MessageError: when it doesn't have the registered type.
    """
    decoder = _decoders.get(name)
    if decoder is None:
        decoder = _decoders[name] = msgspec.msgpack.Decoder(_types[name])
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MessageError(f"{name}: {error}") from error


def has_reply(name: str) -> bool:
    """Tell whether a message of another type answers messages of ``name``."""
    return name in _replies


def decode_reply(name: str, body: bytes) -> Any:
    """Decode the reply to a message of ``name``; plain data if it has no type.

    :raises MessageError: when it doesn't have the type that answers ``name``.
    """
    reply = _replies.get(name)
    if reply is not None:
        return None if body == NO_REPLY else decode_message(reply, body)
    try:
        return msgspec.msgpack.decode(body)
    except DECODE_ERRORS as error:
        raise MessageError(f"reply to {name}: {error}") from error
