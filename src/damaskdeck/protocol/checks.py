"""Checks of documents against their types; every fault is found, not only one."""

import typing
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from damaskdeck.errors import Fault


def find_faults(value: object, kind: Any, path: str = "") -> tuple[Fault, ...]:
    """Check plain data against a ``TypedDict`` and whatever it nests.

    :param value: data as YAML or JSON gives it.
    :param kind: the type it must have.
    :param path: where ``value`` stands in the document.
    :returns: all faults; empty when the data may be used.
    """
    return tuple(_walk(value, _strip(kind), path))


def _walk(value: object, kind: Any, path: str) -> Iterator[Fault]:
    if typing.is_typeddict(kind):
        yield from _walk_fields(value, kind, path)
    elif typing.get_origin(kind) is list and isinstance(value, list):
        item_kind = _strip(typing.get_args(kind)[0])
        for index, item in enumerate(value):
            yield from _walk(item, item_kind, f"{path}[{index}]")
    elif typing.get_origin(kind) is dict and isinstance(value, dict):
        for key, item in value.items():
            yield from _walk(item, _strip(typing.get_args(kind)[1]), _join(path, key))
    else:
        yield from _convert(value, kind, path)


def _walk_fields(value: object, kind: Any, path: str) -> Iterator[Fault]:
    if not isinstance(value, Mapping):
        yield Fault(path or "$", "wrong_type", "must be a mapping")
        return
    hints = typing.get_type_hints(kind, include_extras=True)
    for name in value:
        if name not in hints:
            allowed = ", ".join(sorted(hints))
            yield Fault(_join(path, name), "unknown_field", f"allowed: {allowed}")
    for name, hint in hints.items():
        if name in value:
            yield from _walk(value[name], _strip(hint), _join(path, name))
        elif name in kind.__required_keys__:
            yield Fault(_join(path, name), "missing_field", "must be given")


def _convert(value: object, kind: Any, path: str) -> Iterator[Fault]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text = str(error)
        is_type = " got " in text
        yield Fault(path or "$", "wrong_type" if is_type else "bad_value", text)


def _strip(kind: Any) -> Any:
    origin = typing.get_origin(kind)
    if origin in (typing.Required, typing.NotRequired):
        return _strip(typing.get_args(kind)[0])
    return kind


def _join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)
