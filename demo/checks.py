"""What the demo expects, counted and printed."""

from typing import Any


class Checks:
    """Prints each check; remembers those that failed."""

    def __init__(self) -> None:
        self.failed: list[str] = []
        self.count = 0

    def check(self, sentence: str, is_true: bool, found: Any = "") -> None:
        """Record a check.

        :param sentence: what is expected, for people.
        :param found: shown when the check failed.
        """
        self.count += 1
        if is_true:
            print(f"  ok      {sentence}", flush=True)
            return
        self.failed.append(sentence)
        print(f"  FAILED  {sentence}: {found}", flush=True)
