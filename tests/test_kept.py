"""Ledgers that a daemon owns."""

import asyncio
import unittest

from damaskdeck import defaults
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.state.records import KeyClaimed
from standins.loops import LoopClock
from standins.store import MemoryStore
from tests.virtual import virtual

SECONDS = 5
# The part of the store's several hundred writes a second that ledgers may use.
MAX_WRITES_PER_SECOND = 150


class TestPace(unittest.TestCase):
    """The total write rate of all ledgers is limited, independent of their number."""

    async def count_writes(self, ledger_count: int) -> float:
        """Return the writes a second of ledgers that constantly commit records."""
        clock = LoopClock()
        store = MemoryStore(clock)
        ledgers = [
            OwnedLedger(
                f"{number:02d}",
                1,
                store.connect("entry-1"),
                clock,
                lambda: True,
                ledger_count,
            )
            for number in range(ledger_count)
        ]
        for ledger in ledgers:
            self.assertTrue(await ledger.open())
        before = store.calls["put"]
        tasks = [asyncio.ensure_future(self.commit_all(each)) for each in ledgers]
        await asyncio.sleep(SECONDS)
        for task in tasks:
            task.cancel()
        return (store.calls["put"] - before) / SECONDS

    async def commit_all(self, ledger: OwnedLedger) -> None:
        """Commit one record after another."""
        number = 0
        while True:
            number += 1
            record = KeyClaimed(
                team="ash",
                service="maps",
                key=str(number),
                digest=b"",
                deadline=0.0,
            )
            await ledger.commit((record, KeyClaimed))

    @virtual
    async def test_more_ledgers_write_no_more(self):
        for ledger_count in (defaults.LEDGER_COUNT, 16):
            writes = await self.count_writes(ledger_count)
            self.assertGreater(writes, 0)
            self.assertLessEqual(writes, MAX_WRITES_PER_SECOND, ledger_count)
