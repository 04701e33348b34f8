"""Computes the cost of daemons in a deployment of a given size from fitted slopes."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from damaskdeck import defaults
from damaskdeck.coordination.members.membership import CROSS_ZONE_ROUNDS
from damaskdeck.coordination.members.rendezvous import choose_links

SECONDS_PER_DAY = 86_400
MEASURED_DAEMONS_PER_ZONE = 3
# Failures and replacements on an ordinary day; each changes the platform's list.
LIST_CHANGES_PER_DAY = 8 + 51
# Size of an instance in the platform's list; see docs/design/ports.md.
BYTES_PER_LISTED_INSTANCE = 99


class Scale(NamedTuple):
    """The size of a deployment.

    :param daemons: number of daemons in all zones; each has the same load.
    :param tasks: number of tasks that run at the same time.
    :param starts: task starts per second at the peak.
    :param changes: changes of the configuration per day.
    :param ledgers: number of ledgers, over which the jobs are spread evenly.
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
    """Return a smaller deployment with the load per worker of the target size."""
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
    """The resources that a daemon uses, per second except for memory.

    :param processor: processor time in milliseconds; 10 ms are 1 % of a core.
    :param memory: resident memory in megabytes.
    :param messages: messages sent to peers.
    :param peer_bytes: bytes sent to and received from peers, without framing.
    :param platform_bytes: bytes exchanged with the store and the instance list.
    :param worker_bytes: bytes exchanged with workers.
    """

    processor: float = 0.0
    memory: float = 0.0
    messages: float = 0.0
    peer_bytes: float = 0.0
    platform_bytes: float = 0.0
    worker_bytes: float = 0.0

    @property
    def all_bytes(self) -> float:
        """Bytes on all connections of the control plane."""
        return self.peer_bytes + self.platform_bytes + self.worker_bytes

    def plus(self, *others: "Cost") -> "Cost":
        """Return the sum of this cost and the others."""
        return Cost(*map(sum, zip(self, *others, strict=True)))

    def times(self, factor: float) -> "Cost":
        """Return a multiple of the cost."""
        return Cost(*(factor * value for value in self))


class Slopes:
    """The fitted lines of one run of the capacity benchmark.

    :param figures: the contents of docs/capacity.json.
    """

    def __init__(self, figures: Mapping[str, Any]) -> None:
        self.figures = figures
        self._lines = figures["lines"]

    def get_slope(self, name: str) -> float:
        """Return a slope; 0 for a figure that was 0 at all points."""
        line = self._lines.get(name)
        return line["slope"] if line else 0.0

    def get_value(self, name: str, driver: float) -> float:
        """Return a line's value at ``driver``; 0 if there is no such line."""
        line = self._lines.get(name)
        return line["intercept"] + line["slope"] * driver if line else 0.0

    def compute_unit_cost(self, experiment: str, role: str) -> Cost:
        """Return a daemon's cost of one more unit of an experiment's driver."""
        get = self.get_slope
        prefix = f"{experiment}/{role}"
        return Cost(
            processor=get(f"{prefix}/processor ms"),
            memory=get(f"{prefix}/resident MB"),
            messages=get(f"{prefix}/peer_messages out"),
            peer_bytes=get(f"{prefix}/peer_bytes in") + get(f"{prefix}/peer_bytes out"),
        )

    def compute_peer_cost(self, zones: int) -> Cost:
        """Return the cost of an idle daemon in a deployment of ``zones`` zones."""
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

    def compute_owner_cost(self, experiment: str) -> Cost:
        """Return a worker owner's cost of one more worker, task or start per second."""
        growth = self.compute_unit_cost(experiment, "owner")
        worker_bytes = self.get_slope(f"{experiment}/platform/worker bytes")
        return growth._replace(worker_bytes=worker_bytes)

    def compute_ledger_owner_cost(self, experiment: str) -> Cost:
        """Return a ledger owner's cost of one more task or start per second.

        If the measured ledger owner owned a share of the workers as well, the cost of
        that share is subtracted.
        """
        growth = self.compute_unit_cost(experiment, "keeper")
        if self.figures["measured"]["keeper owns workers"]:
            owners = self.figures["measured"]["owners"]
            worker_cost = self.compute_unit_cost(experiment, "owner")
            growth = growth.plus(worker_cost.times(-1 / owners))
        platform_bytes = self.get_slope(f"{experiment}/platform/platform bytes")
        return growth._replace(platform_bytes=platform_bytes)

    def compute_writer_cost(self, daemons: int) -> Cost:
        """Return the cost of one change per second for the daemon that accepts it.

        That daemon notifies every other one, so that the cost grows with their number;
        the slope was measured with six daemons.
        """
        growth = self.compute_unit_cost("changes", "writer")
        measured = 2 * MEASURED_DAEMONS_PER_ZONE
        return growth.times((daemons - 1) / (measured - 1))


class Roles(NamedTuple):
    """The cost of each role for one daemon, in addition to that of an idle peer.

    ``kept_tasks`` and ``kept_starts`` are the tasks and starts of an owned ledger.
    """

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
        """Cost of a daemon that owns its share of the workers while no task runs."""
        return self.peer.plus(self.workers)

    @property
    def owner(self) -> Cost:
        """Cost at the peak of a daemon that owns workers, but no ledger."""
        return self.idle.plus(self.tasks, self.starts, self.watcher)

    @property
    def ledger_owner(self) -> Cost:
        """Cost at the peak of a daemon that owns workers and a ledger."""
        return self.owner.plus(self.kept_tasks, self.kept_starts)


def compute_roles(slopes: Slopes, scale: Scale) -> Roles:
    """Return the cost of each role in a deployment of the given size."""
    changes = scale.changes / SECONDS_PER_DAY
    daemon_share, ledger_share = 1 / scale.daemons, 1 / scale.ledgers
    return Roles(
        peer=slopes.compute_peer_cost(scale.zones),
        workers=slopes.compute_owner_cost("workers").times(
            scale.workers * daemon_share
        ),
        tasks=slopes.compute_owner_cost("tasks").times(scale.tasks * daemon_share),
        starts=slopes.compute_owner_cost("starts").times(scale.starts * daemon_share),
        kept_tasks=slopes.compute_ledger_owner_cost("tasks").times(
            scale.tasks * ledger_share
        ),
        kept_starts=slopes.compute_ledger_owner_cost("starts").times(
            scale.starts * ledger_share
        ),
        watcher=slopes.compute_unit_cost("changes", "watcher").times(changes),
        follower=slopes.compute_unit_cost("changes", "follower").times(changes),
        writer=slopes.compute_writer_cost(scale.daemons).times(changes),
    )


class StoreCalls(NamedTuple):
    """Calls to the store per second by the whole deployment.

    :param refreshes: calls to watch, each time a watch has returned.
    :param waiting: watches that are waiting at the store.
    """

    renewals: float
    refreshes: float
    waiting: float
    task_writes: float
    change_writes: float

    @property
    def writes(self) -> float:
        """Calls that count against the limit of several hundred writes per second."""
        return self.renewals + self.task_writes + self.change_writes

    @property
    def reads(self) -> float:
        """Calls that count against the limit of two thousand reads per second."""
        return self.refreshes + self.waiting


def count_store_calls(
    slopes: Slopes, scale: Scale, watchers_per_zone: int = 2
) -> StoreCalls:
    """Return the calls to the store at a given size and the peak rate of starts.

    Renewals and refreshes grow with the number of daemons. Writes of tasks grow with
    the ledgers' commits; the slope is lower where commits are larger.
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
    """The amount of something at several sizes of a deployment.

    :param law: what the amount grows with, in words.
    :param amounts: the amount at each size.
    :param is_product: whether the amount of all daemons together grows with the
        product of workers and daemons.
    """

    law: str
    amounts: tuple[float, ...]
    is_product: bool = False


def double(scale: Scale) -> tuple[Scale, Scale]:
    """Return two deployments of twice the size: with twice the zones, and without."""
    doubled = scale._replace(
        daemons=2 * scale.daemons,
        workers=2 * scale.workers,
        tasks=2 * scale.tasks,
        starts=2 * scale.starts,
        changes=2 * scale.changes,
    )
    return doubled._replace(zones=2 * scale.zones), doubled


def count_links(scale: Scale) -> tuple[float, float]:
    """Return how many peers a daemon sends heartbeats to.

    :returns: peers in its own zone, and the average number in other zones.
    """
    daemons_per_zone = scale.daemons // scale.zones
    zones = {
        f"zone-{zone}": [f"entry-{zone}-{number}" for number in range(daemons_per_zone)]
        for zone in range(scale.zones)
    }
    links = [
        len(choose_links(name, zone, zones, defaults.ZONE_LINKS))
        for zone, names in zones.items()
        for name in names
    ]
    return daemons_per_zone - 1, sum(links) / len(links)


def list_growth(scale: Scale) -> dict[str, Growth]:
    """Return how amounts grow from a size to twice that size, by label."""
    scales = (scale, *double(scale))
    links = [count_links(each) for each in scales]
    heartbeat_seconds = defaults.HEARTBEAT_INTERVAL.total_seconds()
    renewal_seconds = defaults.TASK_RENEWAL.total_seconds()

    def compute(law: str, get: Any, is_product: bool = False) -> Growth:
        return Growth(law, tuple(float(get(each)) for each in scales), is_product)

    return {
        "heartbeats a daemon sends to its zone, a second": Growth(
            "daemons of the zone",
            tuple(same_zone / heartbeat_seconds for same_zone, _ in links),
        ),
        "heartbeats a daemon sends to other zones, a second": Growth(
            "zones / daemons of a zone",
            tuple(
                other_zones / heartbeat_seconds / CROSS_ZONE_ROUNDS
                for _, other_zones in links
            ),
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
            "workers / daemons", lambda s: s.workers / s.daemons / renewal_seconds
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
                BYTES_PER_LISTED_INSTANCE
                * s.workers
                * 2
                * LIST_CHANGES_PER_DAY
                * s.workers
                / scale.workers
            ),
            is_product=True,
        ),
    }
