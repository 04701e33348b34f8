"""What a log line costs, and how many a daemon can write in 5 % of its processor.

Lines go through the real logger, handler and writer to a sink that takes all; the
limits of a second are not reached, so each line is written.
"""

import os
import time

from damaskdeck.lines import MAX_LINES_PER_WINDOW, LineHandler, LineWriter
from damaskdeck.logs import get_logger

BATCH = MAX_LINES_PER_WINDOW - 500
SHARE = 0.05


def run(quick: bool = False) -> dict:
    """Return the processor time of a decision's line and what follows from it."""
    rounds = 3 if quick else 20
    spent = sorted(_time_batch(number) for number in range(rounds))
    cost = spent[len(spent) // 2] / BATCH
    return {
        "lines_measured": rounds * BATCH,
        "processor_microseconds_a_line": round(cost * 1e6, 1),
        "lines_a_second_in_5_percent_of_a_core": round(SHARE / cost),
    }


def _time_batch(number: int) -> float:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    log = get_logger("dispatching")
    handler = LineHandler(LineWriter(descriptor), "d0", "info")
    with handler.applicationbound():
        began = time.process_time()
        for index in range(BATCH):
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
        spent = time.process_time() - began
    os.close(descriptor)
    return spent
