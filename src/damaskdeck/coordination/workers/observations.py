"""Observed resources: each daemon lists those that it decides about."""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

from damaskdeck.coordination.workers.fleet import Fleet
from damaskdeck.coordination.workers.hosting import WorkerHost
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.observations import ListObservedReply, ListObservedResources
from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.ports import Instance, InstanceRole
from damaskdeck.protocol.resources import Kind, Resource, format_size
from damaskdeck.state.workeraccounts import Reservation, WorkerAccount

CALL_TIMEOUT = timedelta(seconds=2)

Lister = Callable[["Observer"], Iterator[Resource]]

_listers: dict[str, Lister] = {}


def lister(kind: Kind) -> Callable[[Lister], Lister]:
    """Register the function that lists this daemon's resources of ``kind``."""

    def register(function: Lister) -> Lister:
        _listers[kind.value] = function
        return function

    return register


class Observer:
    """Lists observed resources of all daemons; implements ``ResourceReader``.

    A call of an operator costs one message to each live daemon; otherwise nothing
    is sent.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        fleet: Fleet,
        host: WorkerHost,
    ) -> None:
        self.ownership = ownership
        self.fleet = fleet
        self.host = host
        self._members = members
        self._peers = peers
        peers.register(ListObservedResources, self._handle_list)

    async def list_resources(self, kind: str) -> tuple[Resource, ...] | Refused:
        """Return the resources of ``kind`` that are known to any live daemon."""
        if kind not in _listers:
            return Refused("no_such_kind", f"{kind!r} is not observed")
        own = self._members.self.name
        others = [m.name for m in self._members.list_live() if m.name != own]
        answers = await asyncio.gather(
            *(self._query_peer(name, kind) for name in others)
        )
        found = {
            item["metadata"]["name"]: item for item in self._list_known_instances(kind)
        }
        for items in answers:
            found.update((item["metadata"]["name"], item) for item in items)
        found.update((item["metadata"]["name"], item) for item in self._list_own(kind))
        return tuple(found[name] for name in sorted(found))

    async def _query_peer(self, name: str, kind: str) -> list[Any]:
        request = ListObservedResources(kind=kind)
        reply = await self._peers.call(
            name, request, ListObservedResources, CALL_TIMEOUT
        )
        return reply.message["items"] if isinstance(reply, Answered) else []

    async def _handle_list(self, instance: str, request: Any) -> ListObservedReply:
        kind = request["kind"]
        items = list(self._list_own(kind)) if kind in _listers else []
        return ListObservedReply(items=items)

    def _list_own(self, kind: str) -> Iterator[Resource]:
        return _listers[kind](self)

    def _list_known_instances(self, kind: str) -> Iterator[Resource]:
        roles = {"worker": InstanceRole.WORKER, "target": InstanceRole.TARGET}
        if kind in roles:
            for instance in self.fleet.list(roles[kind]):
                yield build_instance_resource(self.ownership, instance)


@lister(Kind.WORKER)
def list_workers(observer: Observer) -> Iterator[Resource]:
    """List the workers that this daemon owns, with their reservations."""
    for account in observer.host.accounts.workers.values():
        if observer.ownership.get_epoch(f"worker/{account.name}") is not None:
            yield build_worker_resource(observer, account)


@lister(Kind.TARGET)
def list_targets(observer: Observer) -> Iterator[Resource]:
    """List the targets that this daemon owns."""
    for shard in observer.ownership.list_owned("target"):
        instance = observer.fleet.get(shard.partition("/")[2])
        if instance is not None:
            yield build_instance_resource(observer.ownership, instance)


@lister(Kind.TASK)
def list_tasks(observer: Observer) -> Iterator[Resource]:
    """List the tasks on the workers that this daemon owns."""
    for account in observer.host.accounts.workers.values():
        for reservation in account.reservations.values():
            yield build_task_resource(observer, reservation)


def build_instance_resource(ownership: Ownership, instance: Instance) -> Resource:
    """Return an instance as listed by the platform, with its owner."""
    kind = "worker" if instance.role is InstanceRole.WORKER else "target"
    spec: dict[str, Any] = {"zone": instance.zone, "rack": instance.rack}
    if kind == "worker":
        spec["size"] = format_size(instance.size)
    else:
        spec.update(
            service=instance.service,
            slots=instance.slots,
            connections=instance.connections,
        )
    status: dict[str, Any] = {"state": instance.state.value}
    owner = ownership.find_owner(f"{kind}/{instance.name}")
    if owner is not None:
        status.update(owner=owner.instance, epoch=owner.epoch)
    return Resource(
        kind=kind, metadata={"name": instance.name}, spec=spec, status=status
    )


def build_worker_resource(observer: Observer, account: WorkerAccount) -> Resource:
    """Return an owned worker with its reserved usage."""
    resource = build_instance_resource(observer.ownership, account.instance)
    resource["status"].update(
        free=format_size(account.free),
        tasks=len(account.reservations),
        closed=account.closed,
    )
    return resource


def build_task_resource(observer: Observer, reservation: Reservation) -> Resource:
    """Return a task that has a reservation on a worker."""
    need = reservation.need
    session = observer.host.sessions.get(reservation.worker)
    hosted = session.tasks.get(need.task) if session else None
    status = {
        "worker": reservation.worker,
        "state": hosted.state if hosted else "reserved",
        "attempt": hosted.attempt if hosted else 0,
    }
    spec = {"size": format_size(need.size), "urgency": need.urgency.value}
    return Resource(kind="task", metadata={"name": need.task}, spec=spec, status=status)
