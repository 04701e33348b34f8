"""What is told of members of other zones, bounded in size."""

from collections.abc import Sequence
from datetime import timedelta

from damaskdeck.coordination.members.contacts import Contact, to_fields, to_milliseconds
from damaskdeck.protocol.heartbeats import Digest

DIGEST_LIMIT = 2048
AGE_LIMIT = 256
_FIXED_BYTES = 80
_REPORT_BYTES = 4


def write_ages(relayed: Sequence[Contact], now: timedelta) -> dict[str, int]:
    """Return how long ago members were heard, by name, in milliseconds."""
    return {
        peer_state.member.name: to_milliseconds(now - peer_state.first_hand)
        for peer_state in relayed[:AGE_LIMIT]
    }


class Relay:
    """Writes digests of members in turn, so that all come up within some rounds."""

    def __init__(self) -> None:
        self._start = 0

    def write_digests(self, relayed: Sequence[Contact], now: timedelta) -> list[Digest]:
        """Return the next digests, within ``DIGEST_LIMIT`` bytes together."""
        start = self._start % (len(relayed) or 1)
        room = DIGEST_LIMIT
        digests: list[Digest] = []
        for peer_state in (*relayed[start:], *relayed[:start]):
            digest, size = _write_digest(peer_state, now, room)
            room -= size
            if room < 0:
                break
            digests.append(digest)
        self._start = start + len(digests)
        return digests


def _write_digest(peer_state: Contact, now: timedelta, room: int) -> tuple[Digest, int]:
    fields = to_fields(peer_state.member)
    size = _FIXED_BYTES + sum(len(value) for value in peer_state.member)
    reports = {}
    for topic, report in peer_state.reports.items():
        cost = len(topic) + len(report.value) + _REPORT_BYTES
        if size + cost <= room:
            reports[topic] = report.value
            size += cost
    age = to_milliseconds(now - peer_state.first_hand)
    return {"member": fields, "age": age, "reports": reports}, size
