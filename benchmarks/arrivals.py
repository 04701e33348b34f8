"""Arrivals for the placement benchmark, generated from a seed.

There are three workload mixes: those of the two existing deployments, and one of
the target size. Declared run times and sizes are wrong by a factor of up to four.
5 % of the workers fail every task that they start.
"""

import math
import random
from collections.abc import Iterator, Mapping
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.ports import Instance, InstanceRole
from damaskdeck.protocol.resources import Urgency, WorkloadType
from damaskdeck.protocol.sizes import Size

# One GiB in MiB, the unit in which sizes state memory.
GIB = 1024
FOREVER = timedelta(days=365)
_MAX_ERROR_FACTOR = 4.0
_FAILING_SHARE = 0.05
_TEAM_SKEW = 4


class Arrival(NamedTuple):
    """A job as submitted, and the actual values that the scheduler doesn't see.

    :param time: time of the submission since the start.
    :param declared: declared size of each task, which is reserved.
    :param used: size that each task actually uses.
    :param declared_time: declared run time of each task.
    :param run_time: actual run time of each task.
    """

    time: timedelta
    job: str
    team: str
    workload: str
    type: WorkloadType
    urgency: Urgency
    tasks: int
    declared: Size
    used: Size
    declared_time: timedelta
    run_time: timedelta
    idempotent: bool = True
    checkpoint: bool = False
    zones: frozenset[str] = frozenset()


class Quota(NamedTuple):
    """A team's quota, and its weight when idle resources are shared."""

    size: Size
    weight: float


class Mix(NamedTuple):
    """Workers and arrivals of one deployment.

    :param failing: names of the workers that fail every task.
    :param duration: time after which arrivals and measurements end.
    """

    name: str
    workers: tuple[Instance, ...]
    failing: frozenset[str]
    quotas: Mapping[str, Quota]
    arrivals: tuple[Arrival, ...]
    duration: timedelta


class Stream(NamedTuple):
    """A Poisson stream of jobs of one workload.

    :param rate: jobs per second while ``start <= time < end``, in seconds.
    :param tasks: minimum and maximum number of tasks of a job.
    :param millicores: minimum and maximum, drawn from a log-uniform distribution.
    :param memory: minimum and maximum in MiB, drawn in the same way.
    :param run_time: minimum and maximum in seconds, drawn in the same way.
    :param zoned_share: share of the jobs that are bound to one availability zone.
    """

    workload: str
    type: WorkloadType
    urgency: Urgency
    rate: float
    millicores: tuple[int, int]
    memory: tuple[int, int]
    run_time: tuple[float, float]
    tasks: tuple[int, int] = (1, 1)
    accelerators: tuple[int, int] = (0, 0)
    idempotent: bool = True
    checkpoint: bool = False
    start: float = 0
    end: float = math.inf
    zoned_share: float = 0.0


def make_maji_tamu(seed: int, duration: timedelta = timedelta(minutes=12)) -> Mix:
    """Make the Nairobi mix: short urgent jobs beside services and batch jobs."""
    rng = random.Random(seed)
    size = Size(16_000, 64 * GIB, 0)
    workers = [
        _make_worker(f"nairobi-{zone}-w{number}", f"zone-{zone}", "r0", size)
        for zone in "abc"
        for number in range(8)
    ]
    batch, urgent = WorkloadType.BATCH, Urgency.URGENT
    load_end = 0.6 * duration.total_seconds()
    streams = [
        Stream("order-check", batch, urgent, 8, (250, 1000), (256, 2 * GIB), (0.2, 3)),
        Stream("routes", batch, Urgency.HIGH, 0.8, (1000, 6000),
               (2 * GIB, 16 * GIB), (10, 90), checkpoint=True, zoned_share=0.2),
        Stream("reports", batch, Urgency.NORMAL, 0.8, (1000, 4000),
               (2 * GIB, 12 * GIB), (30, 180), end=load_end),
        Stream("invoices", batch, Urgency.LOW, 0.25, (1000, 4000),
               (4 * GIB, 24 * GIB), (60, 300), (1, 4), idempotent=False, end=load_end),
    ]  # fmt: skip
    services = _make_services(rng, 10, (2, 6), (500, 2000), (GIB, 6 * GIB))
    return _make_mix("maji_tamu", rng, workers, streams, services, duration, 12)


def make_cielo_austral(seed: int, duration: timedelta = timedelta(hours=3)) -> Mix:
    """Make the Córdoba mix: data reductions, accelerators and gangs."""
    rng = random.Random(seed)
    plain, accelerated = Size(64_000, 256 * GIB, 0), Size(64_000, 256 * GIB, 4)
    workers = [
        _make_worker(f"cordoba-{zone}-w{number}", f"zone-{zone}", "r0", size)
        for zone in "abcd"
        for number, size in enumerate(
            (accelerated, accelerated, accelerated, plain, plain, plain)
        )
    ]
    batch, gang = WorkloadType.BATCH, WorkloadType.GANG
    normal, low = Urgency.NORMAL, Urgency.LOW
    streams = [
        Stream("alerts", batch, Urgency.URGENT, 0.05, (1000, 4000),
               (2 * GIB, 8 * GIB), (5, 60)),
        Stream("reductions", batch, normal, 0.09, (2000, 32_000),
               (4 * GIB, 96 * GIB), (120, 1200), (1, 4), checkpoint=True),
        Stream("fits", batch, normal, 0.012, (4000, 12_000), (8 * GIB, 48 * GIB),
               (300, 1200), (1, 2), (1, 4), checkpoint=True),
        Stream("submissions", batch, low, 0.08, (1000, 4000), (GIB, 16 * GIB),
               (60, 600), idempotent=False),
        Stream("campaigns", gang, Urgency.HIGH, 0.0022, (4000, 16_000),
               (8 * GIB, 48 * GIB), (300, 1200), (8, 40), checkpoint=True),
        Stream("training", gang, normal, 0.0012, (4000, 8000), (16 * GIB, 40 * GIB),
               (600, 1800), (4, 16), (1, 1), checkpoint=True),
    ]  # fmt: skip
    services = _make_services(rng, 6, (2, 4), (1000, 4000), (2 * GIB, 8 * GIB))
    return _make_mix("cielo_austral", rng, workers, streams, services, duration, 10)


def make_target_size(
    seed: int, duration: timedelta = timedelta(seconds=60), workers: int = 790
) -> Mix:
    """Make the mix of the target size: 790 workers, 420 starts/s, 13,000 tasks.

    :param workers: number of workers; arrivals scale in proportion.
    """
    rng = random.Random(seed)
    scale = workers / 790
    sizes = ((32_000, 128 * GIB, 0), (64_000, 256 * GIB, 0), (32_000, 128 * GIB, 4))
    instances = []
    for number in range(workers):
        zone = number % 9
        region = f"region-{zone // 3}"
        size = Size(*sizes[2 if number % 72 < 25 else number % 2])
        rack = f"r{number // 9 // 8}"
        name = f"z{zone}-w{number // 9}"
        instances.append(_make_worker(name, f"zone-{zone}", rack, size, region))
    batch, gang = WorkloadType.BATCH, WorkloadType.GANG
    normal = Urgency.NORMAL
    streams = [
        Stream("checks", batch, Urgency.URGENT, 120 * scale, (250, 2000),
               (256, 4 * GIB), (1, 10)),
        Stream("plans", batch, Urgency.HIGH, 4 * scale, (500, 5000),
               (GIB, 16 * GIB), (10, 60), (10, 60), checkpoint=True, zoned_share=0.2),
        Stream("reductions", batch, normal, 2 * scale, (500, 5000),
               (GIB, 24 * GIB), (20, 120), (20, 120), checkpoint=True),
        Stream("fits", batch, normal, 2 * scale, (1000, 8000), (2 * GIB, 24 * GIB),
               (20, 120), (1, 8), (1, 2), checkpoint=True),
        Stream("invoices", batch, Urgency.LOW, 4 * scale, (500, 4000),
               (GIB, 16 * GIB), (30, 120), (1, 10), idempotent=False),
        Stream("campaigns", gang, normal, 0.4 * scale, (1000, 8000),
               (2 * GIB, 24 * GIB), (20, 120), (8, 64), checkpoint=True),
    ]  # fmt: skip
    count = round(260 * scale)
    services = _make_services(rng, count, (5, 15), (500, 4000), (GIB, 8 * GIB))
    name = "target_size" if workers == 790 else f"target_size_{workers}"
    return _make_mix(name, rng, instances, streams, services, duration, 120)


def _make_mix(
    name: str,
    rng: random.Random,
    workers: list[Instance],
    streams: list[Stream],
    services: list[Arrival],
    duration: timedelta,
    teams: int,
) -> Mix:
    arrivals = list(services)
    for stream in streams:
        arrivals += _draw_stream(rng, stream, workers, duration, teams)
    arrivals.sort(key=lambda arrival: arrival.time)
    failing = rng.sample(workers, max(1, round(_FAILING_SHARE * len(workers))))
    total = [sum(column) for column in zip(*(w.size for w in workers), strict=True)]
    quotas = {
        f"team-{number}": Quota(
            Size(
                *(int(amount * _compute_team_share(number, teams)) for amount in total)
            ),
            rng.choice((1, 2)),
        )
        for number in range(teams)
    }
    names = frozenset(worker.name for worker in failing)
    return Mix(name, tuple(workers), names, quotas, tuple(arrivals), duration)


def _draw_stream(
    rng: random.Random,
    stream: Stream,
    workers: list[Instance],
    duration: timedelta,
    teams: int,
) -> Iterator[Arrival]:
    zones = sorted({worker.zone for worker in workers})
    end = min(stream.end, duration.total_seconds())
    time, number = stream.start, 0
    while (time := time + rng.expovariate(stream.rate)) < end:
        number += 1
        used = Size(
            _draw_log_uniform(rng, stream.millicores),
            _draw_log_uniform(rng, stream.memory),
            _draw_accelerators(rng, stream.accelerators),
        )
        run_time = math.exp(rng.uniform(*map(math.log, stream.run_time)))
        yield Arrival(
            timedelta(seconds=time),
            f"{stream.workload}-{number}",
            f"team-{_draw_team(rng, teams)}",
            stream.workload,
            stream.type,
            stream.urgency,
            rng.randint(*stream.tasks),
            _draw_declared_size(rng, used, workers),
            used,
            timedelta(seconds=run_time * _draw_error_factor(rng)),
            timedelta(seconds=run_time),
            stream.idempotent,
            stream.checkpoint,
            frozenset({rng.choice(zones)} if rng.random() < stream.zoned_share else ()),
        )


def _make_services(
    rng: random.Random,
    count: int,
    replicas: tuple[int, int],
    millicores: tuple[int, int],
    memory: tuple[int, int],
) -> list[Arrival]:
    services = []
    for number in range(count):
        size = Size(
            _draw_log_uniform(rng, millicores), _draw_log_uniform(rng, memory), 0
        )
        services.append(
            Arrival(
                timedelta(),
                f"service-{number}",
                "team-0",
                f"service-{number}",
                WorkloadType.SERVICE,
                Urgency.HIGH,
                rng.randint(*replicas),
                size,
                size,
                FOREVER,
                FOREVER,
            )
        )
    return services


def _draw_declared_size(
    rng: random.Random, used: Size, workers: list[Instance]
) -> Size:
    """Draw a size that is wrong by a factor of up to four, but fits some worker."""
    declared = Size(
        round(used[0] * _draw_error_factor(rng)),
        round(used[1] * _draw_error_factor(rng)),
        used[2],
    )
    largest = max(worker.size for worker in workers if worker.size[2] >= used[2])
    return Size(min(declared[0], largest[0]), min(declared[1], largest[1]), used[2])


def _draw_team(rng: random.Random, teams: int) -> int:
    """Draw a team; the first teams have most of the work."""
    return min(int(rng.expovariate(_TEAM_SKEW / teams)), teams - 1)


def _compute_team_share(number: int, teams: int) -> float:
    """Return a team's share of the work and of the quotas."""
    start = math.exp(-_TEAM_SKEW * number / teams)
    is_last = number == teams - 1
    return start - (0 if is_last else math.exp(-_TEAM_SKEW * (number + 1) / teams))


def _draw_error_factor(rng: random.Random) -> float:
    return _MAX_ERROR_FACTOR ** rng.uniform(-1, 1)


def _draw_log_uniform(rng: random.Random, bounds: tuple[int, int]) -> int:
    return round(math.exp(rng.uniform(*map(math.log, bounds))))


def _draw_accelerators(rng: random.Random, bounds: tuple[int, int]) -> int:
    """Draw zero or a power of two, as accelerators are requested in practice."""
    steps = [step for step in (0, 1, 2, 4, 8) if bounds[0] <= step <= bounds[1]]
    return rng.choice(steps)


def _make_worker(
    name: str, zone: str, rack: str, size: Size, region: str = ""
) -> Instance:
    return Instance(
        name,
        InstanceRole.WORKER,
        zone,
        "127.0.0.1:1",
        rack=rack,
        region=region,
        size=size,
    )
