"""Exit codes of the command line; docs/operations/commands.md lists them."""

from enum import IntEnum


class Exit(IntEnum):
    """What became of a command."""

    COMPLETED = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4


BY_OUTCOME = {
    "completed": Exit.COMPLETED,
    "failed": Exit.FAILED,
    "refused": Exit.REFUSED,
    "unknown": Exit.UNKNOWN,
}
