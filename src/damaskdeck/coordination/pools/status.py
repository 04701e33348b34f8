"""What the owner tells operators about its pools, in sections of rows.

A part adds its section by a decorated function. Sections are built on request only and
are bounded by the declared queues and accounts and by the workers.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NotRequired, Protocol, TypedDict

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.dispatcher import Dispatcher
from damaskdeck.protocol.queues import QueueTable
from damaskdeck.state.pooljobs import JobIndex

Row = dict[str, Any]


class PoolStatus(TypedDict):
    """The status of the pools.

    :ivar instance: the daemon that answers.
    :ivar owner: the owner's instance, an empty string if it is not known.
    :ivar owner_address: where the owner serves its status, as ``IP:port``.
    :ivar epoch: epoch of the owner, if it is the daemon that answers.
    :ivar sections: the rows of each section, if the owner answers.
    """

    instance: str
    owner: str
    owner_address: str
    epoch: NotRequired[int]
    sections: NotRequired[dict[str, list[Row]]]


class StatusOwner(Protocol):
    """What sections read of the owner."""

    job_index: JobIndex
    dispatcher: Dispatcher

    @property
    def contacts(self) -> dict[str, WorkerContact]:
        """The contacts to workers."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def get_table(self) -> QueueTable | None:
        """Return the declared queues and accounts in force."""


_sections: dict[str, Callable[[StatusOwner], Iterable[Row]]] = {}


def section(name: str) -> Callable[[Callable], Callable]:
    """Register a function that yields the rows of a section.

    :param name: heading of the section, in lower case.
    """

    def register(function: Callable[[StatusOwner], Iterable[Row]]) -> Callable:
        _sections[name] = function
        return function

    return register


def build_sections(owner: StatusOwner) -> dict[str, list[Row]]:
    """Return the rows of all sections."""
    return {name: list(build(owner)) for name, build in _sections.items()}


@section("queues")
def list_queues(owner: StatusOwner) -> Iterable[Row]:
    """Yield the queues with open jobs, the most urgent first."""
    waiting: Counter[str] = Counter()
    running: Counter[str] = Counter()
    tasks: Counter[str] = Counter()
    late: Counter[str] = Counter()
    ranks: dict[str, int] = {}
    for job in owner.job_index.open_jobs.values():
        name = job.queue.name
        ranks[name] = job.queue.rank
        waiting[name] += not job.has_started
        running[name] += job.has_started
        tasks[name] += len(job.runs)
    for entry in owner.dispatcher.rank_pending(owner.now()):
        late[entry.pending.step.job.queue.name] += bool(entry.urgency.deadline_status)
    for name in sorted(ranks, key=lambda name: (ranks[name], name)):
        yield {
            "queue": name,
            "rank": ranks[name],
            "waiting jobs": waiting[name],
            "started jobs": running[name],
            "running tasks": tasks[name],
            "late steps": late[name],
        }


@section("accounts")
def list_accounts(owner: StatusOwner) -> Iterable[Row]:
    """Yield the declared accounts that have open jobs or running tasks."""
    table = owner.get_table()
    waiting: Counter[str] = Counter()
    beyond: Counter[str] = Counter()
    for job in owner.job_index.open_jobs.values():
        waiting[job.record.account] += not job.has_started
        beyond[job.record.account] += owner.dispatcher.shares.is_beyond_rate(job)
    for account in table.accounts if table is not None else ():
        standing = owner.dispatcher.shares.find_standing(account.name)
        if not waiting[account.name] and not any(standing.use):
            continue
        yield {
            "account": account.name,
            "weight": account.weight,
            "waiting jobs": waiting[account.name],
            "beyond rate": beyond[account.name],
            "running cores": round(standing.use.millicores / 1000, 1),
            "share": round(standing.share, 3),
            "fair share": round(standing.fair_share, 3),
            "borrowed": round(standing.borrowed, 3),
        }


@section("pools")
def list_pools(owner: StatusOwner) -> Iterable[Row]:
    """Yield the pools with the state of their workers."""
    now = owner.now()
    pools: dict[str, Row] = {}
    for contact in owner.contacts.values():
        row = pools.setdefault(
            contact.info.pool,
            {
                "pool": contact.info.pool,
                "workers": 0,
                "usable": 0,
                "silent": 0,
                "leaving": 0,
                "cores": 0.0,
                "used cores": 0.0,
                "used MiB": 0,
            },
        )
        row["workers"] += 1
        row["usable"] += contact.is_usable(now)
        row["silent"] += contact.is_silent(now)
        row["leaving"] += contact.is_leaving
        row["cores"] += contact.info.size.millicores / 1000
        row["used cores"] += contact.used.millicores / 1000
        row["used MiB"] += contact.used.memory
    yield from (pools[name] for name in sorted(pools))
