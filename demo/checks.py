"""The checks of the demo, which are counted and printed."""

from typing import Any


class Checks:
    """Prints each check.

    :ivar failed: descriptions of the failed checks.
    :ivar count: number of all checks.
    """

    def __init__(self) -> None:
        self.failed: list[str] = []
        self.count = 0

    def check(self, description: str, passed: bool, details: Any = "") -> None:
        """Record and print a check.

        :param description: the expectation, in words.
        :param passed: whether it was met.
        :param details: printed if the check failed.
        """
        self.count += 1
        if passed:
            print(f"  ok      {description}", flush=True)
            return
        self.failed.append(description)
        print(f"  FAILED  {description}: {details}", flush=True)
