"""What the demo expects, counted and printed."""

from typing import Any


class Checks:
    """Prints each thing that became true; remembers what did not."""

    def __init__(self) -> None:
        self.failed: list[str] = []
        self.count = 0

    def check(self, sentence: str, is_true: bool, found: Any = "") -> None:
        """Note whether ``sentence`` is true; ``found`` is shown when it isn't."""
        self.count += 1
        if is_true:
            print(f"  ok      {sentence}", flush=True)
            return
        self.failed.append(sentence)
        print(f"  FAILED  {sentence}: {found}", flush=True)
