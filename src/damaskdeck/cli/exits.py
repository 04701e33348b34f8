"""Exit codes of the command line, which docs/operations/commands.md documents."""

from enum import IntEnum


class Exit(IntEnum):
    """How a command ended."""

    COMPLETED = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4


EXIT_BY_OUTCOME = {
    "completed": Exit.COMPLETED,
    "failed": Exit.FAILED,
    "refused": Exit.REFUSED,
    "unknown": Exit.UNKNOWN,
}
