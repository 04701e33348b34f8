"""What the daemons' heartbeats tell of the configuration in force on each."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

import msgspec

from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.metrics import count_drop, count_retry
from damaskdeck.protocol.configurationmessages import (
    ConfigurationReport,
    ReadConfigurationReport,
)
from damaskdeck.protocol.members import Members
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.state.configuration import COMPONENT, Configuration

TOPIC = "configuration"
AHEAD_LIMIT = 64
ASK_TIMEOUT = timedelta(seconds=1)

_decoder = msgspec.msgpack.Decoder(ConfigurationReport)


class InForce(NamedTuple):
    """What is in force where.

    :param revisions: by name of each live daemon, -1 if it has none.
    :param is_everywhere: whether all have the revision that was asked about.
    """

    revisions: dict[str, int]
    is_everywhere: bool


class Reports:
    """Publishes this daemon's report and reads those of the others.

    :param reaches_store: whether this daemon's last call to the store was
        answered.
    """

    def __init__(self, members: Members, configuration: Configuration) -> None:
        self._members = members
        self._configuration = configuration
        self.reaches_store = True

    def publish(self) -> None:
        """Attach this daemon's report to its next heartbeats."""
        self._members.publish(TOPIC, msgspec.msgpack.encode(self.make_own()))

    def make_own(self) -> ConfigurationReport:
        """Return this daemon's report."""
        configuration = self._configuration
        return ConfigurationReport(
            revision=configuration.revision,
            is_loaded=configuration.is_loaded,
            reaches_store=self.reaches_store,
            ahead=sorted(configuration.ahead_revisions)[:AHEAD_LIMIT],
        )

    def read(self) -> dict[str, ConfigurationReport]:
        """Return the latest report of each live daemon that sent one."""
        reports = {}
        for name, report in self._members.read_reports(TOPIC).items():
            try:
                reports[name] = _decoder.decode(report.value)
            except DECODE_ERRORS:
                count_drop(COMPONENT, "invalid_report")
        reports[self._members.self.name] = self.make_own()
        return reports

    def has_heard(self) -> bool:
        """Tell whether any other daemon's report has come."""
        return len(self.read()) > 1

    async def ask(self, peers: Peers) -> dict[str, ConfigurationReport]:
        """Ask each live daemon for its report, which heartbeats tell later.

        For one that doesn't answer, its last heartbeat counts; a daemon never
        goes back.
        """
        names = [member.name for member in self._members.list_live()]
        names.remove(self._members.self.name)
        calls = [
            peers.call(
                name, ReadConfigurationReport(), ReadConfigurationReport, ASK_TIMEOUT
            )
            for name in names
        ]
        answers = await asyncio.gather(*calls)
        reports = self.read()
        for name, answer in zip(names, answers, strict=True):
            if isinstance(answer, Answered):
                reports[name] = answer.message
            else:
                count_retry(COMPONENT, answer.code)
        return reports

    async def read_in_force(self, peers: Peers, revision: int) -> InForce:
        """Ask what is in force on all live daemons."""
        reports = await self.ask(peers)
        live = [member.name for member in self._members.list_live()]
        return InForce(
            {name: get_revision(reports.get(name)) for name in live},
            all(_has(reports.get(name), revision) for name in live),
        )

    def find_best(self) -> str | None:
        """Return the peer that has most of what this daemon lacks, if any.

        Of equal ones, one of this zone is taken.
        """
        me, own, reports = self._members.self, self.make_own(), self.read()
        found = [
            (get_revision(report), member.zone == me.zone, member.name)
            for member in self._members.list_live()
            if (report := reports.get(member.name)) and _lacks(own, report)
        ]
        return max(found)[2] if found else None


def get_revision(report: ConfigurationReport | None) -> int:
    """Return the revision that a report tells, -1 if there is none."""
    return report["revision"] if report and report["is_loaded"] else -1


def _has(report: ConfigurationReport | None, revision: int) -> bool:
    if report is None:
        return False
    return get_revision(report) >= revision or revision in report.get("ahead", [])


def _lacks(own: ConfigurationReport, other: ConfigurationReport) -> bool:
    """Tell whether ``other`` has something in force that ``own`` has not."""
    known = get_revision(own)
    if get_revision(other) > known:
        return True
    above = [revision for revision in other.get("ahead", []) if revision > known]
    return not set(above) <= set(own.get("ahead", []))
