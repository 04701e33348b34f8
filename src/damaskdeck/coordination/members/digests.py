"""Digests of members of other zones, relayed in heartbeats of bounded size."""

from collections.abc import Sequence
from datetime import timedelta

from damaskdeck.coordination.members.peerstates import (
    PeerState,
    to_fields,
    to_milliseconds,
)
from damaskdeck.protocol.heartbeats import Digest

MAX_DIGEST_BYTES = 2048
MAX_AGES = 256
# Estimated overhead of the encoding, per digest and per report.
_FIXED_BYTES = 80
_REPORT_BYTES = 4


def write_ages(relayed: Sequence[PeerState], now: timedelta) -> dict[str, int]:
    """Return how long ago members were last seen, by name, in milliseconds.

    Only the first :data:`MAX_AGES` are included.
    """
    return {
        peer.member.name: to_milliseconds(now - peer.last_seen_outside_zone)
        for peer in relayed[:MAX_AGES]
    }


class DigestWriter:
    """Writes digests of members in rotation.

    Each round continues where the last one stopped, so that every member is
    included within a few rounds.
    """

    def __init__(self) -> None:
        self._start = 0

    def write_digests(
        self, relayed: Sequence[PeerState], now: timedelta
    ) -> list[Digest]:
        """Return the next digests, at most ``MAX_DIGEST_BYTES`` in total."""
        start = self._start % (len(relayed) or 1)
        bytes_left = MAX_DIGEST_BYTES
        digests: list[Digest] = []
        for peer in (*relayed[start:], *relayed[:start]):
            digest, size = _write_digest(peer, now, bytes_left)
            bytes_left -= size
            if bytes_left < 0:
                break
            digests.append(digest)
        self._start = start + len(digests)
        return digests


def _write_digest(
    peer: PeerState, now: timedelta, bytes_left: int
) -> tuple[Digest, int]:
    fields = to_fields(peer.member)
    size = _FIXED_BYTES + sum(len(value) for value in peer.member)
    reports = {}
    for topic, report in peer.reports.items():
        cost = len(topic) + len(report.value) + _REPORT_BYTES
        if size + cost <= bytes_left:
            reports[topic] = report.value
            size += cost
    age = to_milliseconds(now - peer.last_seen_outside_zone)
    return {"member": fields, "age": age, "reports": reports}, size
