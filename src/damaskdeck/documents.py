"""Loading of YAML files: settings and resources."""

from typing import Any

import yaml

from damaskdeck.errors import DocumentError, Fault

# Besides its own errors, PyYAML raises those of the functions that convert scalars.
_LOAD_ERRORS = (
    yaml.YAMLError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def load_documents(content: bytes, path: str) -> list[Any]:
    """Return all documents of a YAML file.

    :param path: path of the file, used in the fault.
    :raises DocumentError: if ``content`` isn't valid YAML in UTF-8.
    """
    try:
        return list(yaml.safe_load_all(content.decode("utf-8")))
    except _LOAD_ERRORS as error:
        raise DocumentError((Fault(path, "not_yaml", str(error)),)) from error
