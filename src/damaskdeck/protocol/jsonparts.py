"""The parts of a JSON text as texts, so that one odd part doesn't spoil the others.

A decoder gives up a whole text for one part that is nested too deeply for it. The texts
are searched without recursion, and nothing in a part is checked.
"""

import re

from damaskdeck.errors import MessageError

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


def split_array(text: bytes) -> list[bytes]:
    """Return the elements of an array.

    :raises MessageError: if the text is no array.
    """
    return _split(text, b"[")


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Return the members of an object, by name as it is written between its quotes.

    :raises MessageError: if the text is no object.
    """
    members = {}
    for member in _split(text, b"{"):
        name = _TOKEN.match(member)
        if name is None or not name[0].startswith(b'"'):
            raise MessageError("a member without a name")
        _, separator, value = member[name.end() :].partition(b":")
        if not separator:
            raise MessageError("a member without a value")
        members[name[0][1:-1]] = value.strip()
    return members


def _split(text: bytes, opening: bytes) -> list[bytes]:
    """Return what stands between the outermost brackets, split at the commas there."""
    parts, depth, begin = [], 0, 0
    for token in _TOKEN.finditer(text):
        kind = token[0]
        if kind in _OPENING:
            depth += 1
            if depth == 1:
                begin = token.end()
        elif depth == 0:
            break
        elif kind in _CLOSING:
            depth -= 1
        if depth == 0 or (depth == 1 and kind == b","):
            parts.append(text[begin : token.start()].strip())
            begin = token.end()
        if depth == 0:
            break
    if depth or not parts or not text.lstrip().startswith(opening):
        raise MessageError("the text is cut short or of another kind")
    return [] if parts == [b""] else parts
