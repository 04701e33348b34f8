"""Reports in heartbeats about the configuration in force on each daemon."""

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
REPORT_TIMEOUT = timedelta(seconds=1)

_decoder = msgspec.msgpack.Decoder(ConfigurationReport)


class InForceStatus(NamedTuple):
    """The revisions in force on the daemons.

    :param revisions: by name of each live daemon; -1 if it has none.
    :param is_everywhere: whether all have the requested revision.
    """

    revisions: dict[str, int]
    is_everywhere: bool


class ConfigurationReports:
    """Publishes this daemon's report and reads those of the others.

    :ivar reaches_store: whether this daemon's last call to the store was
        answered.
    """

    def __init__(self, members: Members, configuration: Configuration) -> None:
        self._members = members
        self._configuration = configuration
        self.reaches_store = True

    def publish(self) -> None:
        """Attach this daemon's report to its next heartbeats."""
        self._members.publish(TOPIC, msgspec.msgpack.encode(self.make_report()))

    def make_report(self) -> ConfigurationReport:
        """Return this daemon's current report."""
        configuration = self._configuration
        return ConfigurationReport(
            revision=configuration.revision,
            is_loaded=configuration.is_loaded,
            reaches_store=self.reaches_store,
            ahead=sorted(configuration.ahead_revisions)[:AHEAD_LIMIT],
        )

    def read(self) -> dict[str, ConfigurationReport]:
        """Return the latest report of each live daemon, including this one."""
        reports = {}
        for name, report in self._members.read_reports(TOPIC).items():
            try:
                reports[name] = _decoder.decode(report.value)
            except DECODE_ERRORS:
                count_drop(COMPONENT, "invalid_report")
        reports[self._members.self.name] = self.make_report()
        return reports

    def has_peer_reports(self) -> bool:
        """Return whether a report of any other daemon has arrived."""
        return len(self.read()) > 1

    async def collect(self, peers: Peers) -> dict[str, ConfigurationReport]:
        """Request and return the current report of each live daemon.

        Heartbeats would bring it only later. For a daemon that doesn't answer, the
        report of its last heartbeat counts, as a daemon never goes back to an earlier
        revision.
        """
        names = [member.name for member in self._members.list_live()]
        names.remove(self._members.self.name)
        calls = [
            peers.call(
                name, ReadConfigurationReport(), ReadConfigurationReport, REPORT_TIMEOUT
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

    async def read_in_force(self, peers: Peers, revision: int) -> InForceStatus:
        """Return what is in force on all live daemons."""
        reports = await self.collect(peers)
        live = [member.name for member in self._members.list_live()]
        return InForceStatus(
            {name: get_revision(reports.get(name)) for name in live},
            all(_has_revision(reports.get(name), revision) for name in live),
        )

    def find_pull_source(self) -> str | None:
        """Return the peer that has most of what this daemon lacks, if any.

        Among equals, a peer of this zone is preferred.
        """
        member, own, reports = self._members.self, self.make_report(), self.read()
        found = [
            (get_revision(report), peer.zone == member.zone, peer.name)
            for peer in self._members.list_live()
            if (report := reports.get(peer.name)) and _lacks(own, report)
        ]
        return max(found)[2] if found else None


def get_revision(report: ConfigurationReport | None) -> int:
    """Return the revision of a report; -1 if there is none."""
    return report["revision"] if report and report["is_loaded"] else -1


def _has_revision(report: ConfigurationReport | None, revision: int) -> bool:
    if report is None:
        return False
    return get_revision(report) >= revision or revision in report.get("ahead", [])


def _lacks(own: ConfigurationReport, other: ConfigurationReport) -> bool:
    """Return whether ``other`` has something in force that ``own`` lacks."""
    known = get_revision(own)
    if get_revision(other) > known:
        return True
    above = [revision for revision in other.get("ahead", []) if revision > known]
    return not set(above) <= set(own.get("ahead", []))
