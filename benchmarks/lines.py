"""Measures the cost of a log line, and how many lines fit in 5 % of a core.

Lines pass through the real logger, handler and writer to a null device. A batch stays
below the limit of lines per second, so that every line is written.
"""

import os
import time

from damaskdeck.lines import MAX_LINES_PER_WINDOW, LineHandler, LineWriter
from damaskdeck.logs import get_logger

LINES_PER_BATCH = MAX_LINES_PER_WINDOW - 500
PROCESSOR_SHARE = 0.05


def run(quick: bool = False) -> dict:
    """Return the processor time of a typical line, and the rate that it allows."""
    rounds = 3 if quick else 20
    seconds = sorted(_time_batch(number) for number in range(rounds))
    cost = seconds[len(seconds) // 2] / LINES_PER_BATCH
    return {
        "lines_measured": rounds * LINES_PER_BATCH,
        "processor_microseconds_a_line": round(cost * 1e6, 1),
        "lines_a_second_in_5_percent_of_a_core": round(PROCESSOR_SHARE / cost),
    }


def _time_batch(number: int) -> float:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    log = get_logger("dispatching")
    handler = LineHandler(LineWriter(descriptor), "d0", "info")
    with handler.applicationbound():
        began = time.process_time()
        for index in range(LINES_PER_BATCH):
            log.info(
                "Ordered.",
                id=f"{number:08x}{index:08x}",
                step=0,
                attempt=101,
                tasks=[0, 1],
                workers=["i-0000000001", "i-0000000002"],
                age=0.042,
                epoch=2,
            )
        handler.flush()
        seconds = time.process_time() - began
    os.close(descriptor)
    return seconds
