"""The record of what was sent, answered and run."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each event, and keeps them for the check."""

    def __init__(self, path: Path) -> None:
        self.events: list[dict[str, Any]] = []
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, event: str, **fields: Any) -> None:
        """Record an event."""
        at = round(time.monotonic() - self._began, 3)
        self.events.append({"at": at, "event": event, **fields})
        self._file.write(f"{at:8.3f} {event} {json.dumps(fields)}\n")

    def close(self) -> None:
        """Write the file out."""
        self._file.close()
