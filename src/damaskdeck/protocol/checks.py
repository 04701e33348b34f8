"""Validation of documents against their types; reports all faults."""

import typing
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from damaskdeck.errors import Fault


def find_faults(value: object, expected: Any, path: str = "") -> tuple[Fault, ...]:
    """Check plain data against a ``TypedDict`` and its nested types.

    :param value: data as decoded from YAML or JSON.
    :param expected: the type that it must have.
    :param path: path of ``value`` in the document.
    :returns: all faults; empty when the data is valid.
    """
    return tuple(_find_value_faults(value, _unwrap_requirement(expected), path))


def _find_value_faults(value: object, expected: Any, path: str) -> Iterator[Fault]:
    if typing.is_typeddict(expected):
        yield from _find_field_faults(value, expected, path)
    elif typing.get_origin(expected) is list and isinstance(value, list):
        item_type = _unwrap_requirement(typing.get_args(expected)[0])
        for index, item in enumerate(value):
            yield from _find_value_faults(item, item_type, f"{path}[{index}]")
    elif typing.get_origin(expected) is dict and isinstance(value, dict):
        for key, item in value.items():
            yield from _find_value_faults(
                item,
                _unwrap_requirement(typing.get_args(expected)[1]),
                _join_path(path, key),
            )
    else:
        yield from _find_conversion_faults(value, expected, path)


def _find_field_faults(value: object, expected: Any, path: str) -> Iterator[Fault]:
    if not isinstance(value, Mapping):
        yield Fault(path or "$", "wrong_type", "must be a mapping")
        return
    hints = typing.get_type_hints(expected, include_extras=True)
    for name in value:
        if name not in hints:
            allowed = ", ".join(sorted(hints))
            yield Fault(_join_path(path, name), "unknown_field", f"allowed: {allowed}")
    for name, hint in hints.items():
        if name in value:
            yield from _find_value_faults(
                value[name], _unwrap_requirement(hint), _join_path(path, name)
            )
        elif name in expected.__required_keys__:
            yield Fault(_join_path(path, name), "missing_field", "must be given")


def _find_conversion_faults(value: object, expected: Any, path: str) -> Iterator[Fault]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        text = str(error)
        is_type = " got " in text
        yield Fault(path or "$", "wrong_type" if is_type else "bad_value", text)


def _unwrap_requirement(expected: Any) -> Any:
    origin = typing.get_origin(expected)
    if origin in (typing.Required, typing.NotRequired):
        return _unwrap_requirement(typing.get_args(expected)[0])
    return expected


def _join_path(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)
