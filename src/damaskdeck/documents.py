"""YAML that people write: settings and resources."""

from typing import Any

import yaml

from damaskdeck.errors import DocumentError, Fault

# Besides its own errors, PyYAML raises what the conversion of a scalar raises.
_ERRORS = (
    yaml.YAMLError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def load_documents(content: bytes, path: str) -> list[Any]:
    """Read all documents of a YAML file.

    :param path: of the file, for the fault.
    :raises DocumentError: when it isn't YAML in UTF-8.
    """
    try:
        return list(yaml.safe_load_all(content.decode("utf-8")))
    except _ERRORS as error:
        raise DocumentError((Fault(path, "not_yaml", str(error)),)) from error
