"""Works out from measured slopes what daemons spend at a given size."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from damaskdeck import defaults
from damaskdeck.coordination.members.membership import CROSS_ZONE_ROUNDS
from damaskdeck.coordination.members.rendezvous import choose_links

SECONDS_PER_DAY = 86_400
MEASURED_DAEMONS_PER_ZONE = 3
# Failures and replacements of an ordinary day, each of which changes the list.
LIST_CHANGES_PER_DAY = 8 + 51
# Of an instance in the platform's list; see docs/design/ports.md.
BYTES_PER_LISTED = 99


class Scale(NamedTuple):
    """The size of a deployment.

    :param daemons: on all zones together, all alike.
    :param tasks: running at once.
    :param starts: of tasks, a second, at the peak.
    :param changes: of configuration, a day.
    :param ledgers: share the jobs evenly.
    """

    name: str
    zones: int
    daemons: int
    workers: int
    tasks: float
    starts: float
    changes: float
    ledgers: int = 4


TARGET = Scale("target", 9, 27, 790, 13_000, 420, 1100)


def scale_down(name: str, zones: int, daemons: int, workers: int) -> Scale:
    """Return a smaller deployment with the target's load for each worker."""
    share = workers / TARGET.workers
    return Scale(
        name,
        zones,
        daemons,
        workers,
        TARGET.tasks * share,
        TARGET.starts * share,
        TARGET.changes * share,
    )


NAIROBI = scale_down("Nairobi today", 3, 7, 24)
CORDOBA = scale_down("Córdoba today", 4, 6, 24)
SCALES = (NAIROBI, CORDOBA, TARGET)


class Cost(NamedTuple):
    """What a daemon spends, a second where nothing else is said.

    :param processor: milliseconds; ten are 1 % of a core.
    :param memory: resident megabytes.
    :param messages: sent to peers.
    :param peer_bytes: sent to and received from peers, without framing.
    :param platform_bytes: both ways, of the store and the instance list.
    :param worker_bytes: both ways.
    """

    processor: float = 0.0
    memory: float = 0.0
    messages: float = 0.0
    peer_bytes: float = 0.0
    platform_bytes: float = 0.0
    worker_bytes: float = 0.0

    @property
    def all_bytes(self) -> float:
        """Bytes on all connections for control."""
        return self.peer_bytes + self.platform_bytes + self.worker_bytes

    def plus(self, *others: "Cost") -> "Cost":
        """Return the sum of costs."""
        return Cost(*map(sum, zip(self, *others, strict=True)))

    def times(self, factor: float) -> "Cost":
        """Return a multiple of the cost."""
        return Cost(*(factor * value for value in self))


class Slopes:
    """The lines of a run of the benchmark.

    :param figures: the contents of docs/capacity.json.
    """

    def __init__(self, figures: Mapping[str, Any]) -> None:
        self.figures = figures
        self._lines = figures["lines"]

    def get_slope(self, name: str) -> float:
        """Return a slope; 0 where the figure never was other than 0."""
        line = self._lines.get(name)
        return line["slope"] if line else 0.0

    def get_value(self, name: str, driver: float) -> float:
        """Return a line's value."""
        line = self._lines.get(name)
        return line["intercept"] + line["slope"] * driver if line else 0.0

    def measure_growth(self, experiment: str, role: str) -> Cost:
        """Return what one more unit of an experiment's driver costs a daemon."""
        get = self.get_slope
        prefix = f"{experiment}/{role}"
        return Cost(
            processor=get(f"{prefix}/processor ms"),
            memory=get(f"{prefix}/resident MB"),
            messages=get(f"{prefix}/peer_messages out"),
            peer_bytes=get(f"{prefix}/peer_bytes in") + get(f"{prefix}/peer_bytes out"),
        )

    def measure_peer(self, zones: int) -> Cost:
        """Return what a daemon spends on being one, in so many zones."""
        daemons = zones * MEASURED_DAEMONS_PER_ZONE
        prefix = "zones/peer"
        get = self.get_value
        return Cost(
            processor=get(f"{prefix}/processor ms", zones),
            memory=get(f"{prefix}/resident MB", zones),
            messages=get(f"{prefix}/peer_messages out", zones),
            peer_bytes=get(f"{prefix}/peer_bytes in", zones)
            + get(f"{prefix}/peer_bytes out", zones),
            platform_bytes=get("zones/platform/platform bytes", zones) / daemons,
        )

    def measure_owner(self, experiment: str) -> Cost:
        """Return what one more worker, task or start a second costs its owner."""
        growth = self.measure_growth(experiment, "owner")
        worker_bytes = self.get_slope(f"{experiment}/platform/worker bytes")
        return growth._replace(worker_bytes=worker_bytes)

    def measure_keeper(self, experiment: str) -> Cost:
        """Return what one more task or start a second costs its keeper.

        The measured keeper may have owned a share of the workers as well.
        """
        growth = self.measure_growth(experiment, "keeper")
        if self.figures["measured"]["keeper owns workers"]:
            owners = self.figures["measured"]["owners"]
            owned = self.measure_growth(experiment, "owner")
            growth = growth.plus(owned.times(-1 / owners))
        platform_bytes = self.get_slope(f"{experiment}/platform/platform bytes")
        return growth._replace(platform_bytes=platform_bytes)

    def measure_writer(self, daemons: int) -> Cost:
        """Return what a change a second costs the daemon that takes the calls.

        It tells every other daemon; the slope is of six.
        """
        growth = self.measure_growth("changes", "writer")
        measured = 2 * MEASURED_DAEMONS_PER_ZONE
        return growth.times((daemons - 1) / (measured - 1))


class Roles(NamedTuple):
    """What each role costs one daemon, beside what it spends as a peer."""

    peer: Cost
    workers: Cost
    tasks: Cost
    starts: Cost
    kept_tasks: Cost
    kept_starts: Cost
    watcher: Cost
    follower: Cost
    writer: Cost

    @property
    def idle(self) -> Cost:
        """A daemon that owns its workers while no task runs."""
        return self.peer.plus(self.workers)

    @property
    def owner(self) -> Cost:
        """A daemon without a ledger, at the peak."""
        return self.idle.plus(self.tasks, self.starts, self.watcher)

    @property
    def keeper(self) -> Cost:
        """A daemon that keeps a ledger as well, at the peak."""
        return self.owner.plus(self.kept_tasks, self.kept_starts)


def work_out(slopes: Slopes, scale: Scale) -> Roles:
    """Return the roles' costs at a size."""
    changes = scale.changes / SECONDS_PER_DAY
    each, kept = 1 / scale.daemons, 1 / scale.ledgers
    return Roles(
        peer=slopes.measure_peer(scale.zones),
        workers=slopes.measure_owner("workers").times(scale.workers * each),
        tasks=slopes.measure_owner("tasks").times(scale.tasks * each),
        starts=slopes.measure_owner("starts").times(scale.starts * each),
        kept_tasks=slopes.measure_keeper("tasks").times(scale.tasks * kept),
        kept_starts=slopes.measure_keeper("starts").times(scale.starts * kept),
        watcher=slopes.measure_growth("changes", "watcher").times(changes),
        follower=slopes.measure_growth("changes", "follower").times(changes),
        writer=slopes.measure_writer(scale.daemons).times(changes),
    )


class StoreCalls(NamedTuple):
    """Calls to the store in a second, of the whole deployment."""

    renewals: float
    refreshes: float
    waiting: float
    task_writes: float
    change_writes: float

    @property
    def writes(self) -> float:
        """Calls that count against several hundred writes a second."""
        return self.renewals + self.task_writes + self.change_writes

    @property
    def reads(self) -> float:
        """Calls that count against two thousand reads a second."""
        return self.refreshes + self.waiting


def count_store_calls(
    slopes: Slopes, scale: Scale, watchers_per_zone: int = 2
) -> StoreCalls:
    """Return the store's calls at a size and the peak of starts.

    Renewals and refreshes follow the daemons; writes of tasks follow the
    ledgers' commits, of which the slope counts fewer the larger they are.
    """
    measured = scale.zones * MEASURED_DAEMONS_PER_ZONE
    share = scale.daemons / measured
    get = slopes.get_value
    changes = scale.changes / SECONDS_PER_DAY
    return StoreCalls(
        renewals=share * get("zones/platform/store renew_lease", scale.zones),
        refreshes=share * get("zones/platform/store watch", scale.zones),
        waiting=watchers_per_zone * scale.zones,
        task_writes=slopes.get_slope("starts/platform/store put") * scale.starts,
        change_writes=slopes.get_slope("changes/platform/store put") * changes,
    )


class Growth(NamedTuple):
    """How much there is of something, by how it grows.

    :param law: what it grows with, in words.
    :param amounts: at each size.
    :param is_product: whether all daemons together have it as workers times
        daemons.
    """

    law: str
    amounts: tuple[float, ...]
    is_product: bool = False


def double(scale: Scale) -> tuple[Scale, Scale]:
    """Return a fleet of twice the size: by zones, and within its zones."""
    twice = scale._replace(
        daemons=2 * scale.daemons,
        workers=2 * scale.workers,
        tasks=2 * scale.tasks,
        starts=2 * scale.starts,
        changes=2 * scale.changes,
    )
    return twice._replace(zones=2 * scale.zones), twice


def count_links(scale: Scale) -> tuple[float, float]:
    """Return how many peers a daemon beats to, in its zone and in others."""
    each = scale.daemons // scale.zones
    zones = {
        f"zone-{zone}": [f"entry-{zone}-{number}" for number in range(each)]
        for zone in range(scale.zones)
    }
    links = [
        len(choose_links(name, zone, zones, defaults.ZONE_LINKS))
        for zone, names in zones.items()
        for name in names
    ]
    return each - 1, sum(links) / len(links)


def list_growth(scale: Scale) -> dict[str, Growth]:
    """Return what grows how, at a size and twice that."""
    scales = (scale, *double(scale))
    links = [count_links(each) for each in scales]
    beat = defaults.HEARTBEAT_INTERVAL.total_seconds()
    renewal = defaults.TASK_RENEWAL.total_seconds()

    def compute(law: str, get: Any, is_product: bool = False) -> Growth:
        return Growth(law, tuple(float(get(each)) for each in scales), is_product)

    return {
        "heartbeats a daemon sends to its zone, a second": Growth(
            "daemons of the zone", tuple(near / beat for near, _ in links)
        ),
        "heartbeats a daemon sends to other zones, a second": Growth(
            "zones / daemons of a zone",
            tuple(far / beat / CROSS_ZONE_ROUNDS for _, far in links),
        ),
        "renewals of members' leases, a second, all": compute(
            "daemons",
            lambda s: 3 * s.daemons / defaults.MEMBER_LEASE.total_seconds(),
        ),
        "waiting watches, all": compute(
            "zones", lambda s: defaults.WATCHERS_PER_ZONE * s.zones
        ),
        "messages for a change of configuration, all": compute(
            "daemons",
            lambda s: (
                s.daemons - 1 + defaults.WATCHERS_PER_ZONE * (s.daemons - s.zones)
            ),
        ),
        "long polls to workers, for each daemon": compute(
            "workers / daemons", lambda s: s.workers / s.daemons
        ),
        "renewals of tasks' leases, a second, for each daemon": compute(
            "workers / daemons", lambda s: s.workers / s.daemons / renewal
        ),
        "tasks of a ledger": compute("tasks", lambda s: s.tasks / s.ledgers),
        "starts a second of a ledger": compute(
            "starts", lambda s: s.starts / s.ledgers
        ),
        "summaries of owners, for each daemon": compute("daemons", lambda s: s.daemons),
        "listed workers that a daemon knows": compute(
            "workers", lambda s: s.workers, is_product=True
        ),
        "owners of workers that a daemon knows": compute(
            "workers", lambda s: s.workers, is_product=True
        ),
        "bytes of lists that a daemon reads, a day": compute(
            "workers x changes of the list",
            lambda s: (
                BYTES_PER_LISTED
                * s.workers
                * 2
                * LIST_CHANGES_PER_DAY
                * s.workers
                / scale.workers
            ),
            is_product=True,
        ),
    }
