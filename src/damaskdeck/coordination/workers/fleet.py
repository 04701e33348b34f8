"""Instances of the deployment, from the platform's eventually consistent list."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.ports import (
    Instance,
    InstanceList,
    InstanceRole,
    Instances,
    InstanceState,
)

POLL_INTERVAL = timedelta(seconds=1)
ABSENCE_LIMIT = 3
LEAVING_RETENTION = timedelta(seconds=60)

logger = get_logger("fleet")


class InstanceChange(NamedTuple):
    """The state of one instance before and after; ``None`` where it isn't listed."""

    before: Instance | None
    after: Instance | None


ChangeHandler = Callable[[tuple[InstanceChange, ...]], None]


class Fleet:
    """Keeps the last valid list; an instance that was listed as leaving stays so.

    Guarantee: "A target that is leaving receives no new work after a few seconds."
    The list lags, and an answer may be older than the one before. Therefore an
    instance, identified by name and address, that was listed as leaving stays so
    until it has been absent for ``LEAVING_RETENTION``. An instance is removed only
    after ``ABSENCE_LIMIT`` consecutive answers without it.

    :param interval: time between two polls.
    """

    def __init__(
        self,
        instance_list: InstanceList,
        clock: Clock,
        interval: timedelta = POLL_INTERVAL,
    ) -> None:
        self._source = instance_list
        self._clock = clock
        self._interval = interval
        self._last_answer: Instances | None = None
        self._instances: dict[str, Instance] = {}
        self._by_role: dict[tuple[InstanceRole, str], tuple[Instance, ...]] = {}
        self._absences: dict[str, int] = {}
        self._leaving: dict[tuple[str, str], timedelta] = {}
        self._handlers: list[ChangeHandler] = []
        self._last_listed_at: timedelta | None = None
        self._is_failing = False
        self._drained: frozenset[str] = frozenset()

    @property
    def last_listed_at(self) -> timedelta | None:
        """Monotonic time of the last valid answer; ``None`` before the first."""
        return self._last_listed_at

    def list(self, role: InstanceRole, zone: str = "") -> tuple[Instance, ...]:
        """List the instances of a role in order of name.

        :param zone: only those of this availability zone; empty for all.
        """
        return self._by_role.get((role, zone), ())

    def get(self, name: str) -> Instance | None:
        """Return an instance by name."""
        return self._instances.get(name)

    def on_change(self, handler: ChangeHandler) -> None:
        """Call ``handler`` with the changes of each answer that has any."""
        self._handlers.append(handler)

    def set_drained(self, names: frozenset[str]) -> None:
        """Treat instances as leaving until operators no longer drain them.

        :param names: all that are drained; the others keep their listed state.
        """
        if names == self._drained:
            return
        self._drained = names
        if self._last_answer is not None:
            self._update(self._last_answer)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(self._interval)

    async def poll(self) -> bool:
        """Request the list once; return whether the answer was valid."""
        answer = await self._source.list_instances()
        if not isinstance(answer, Instances):
            count_refusal("fleet", answer.code)
            self._log_failure(answer.code)
            return False
        self._last_listed_at = self._clock.monotonic()
        self._log_recovery()
        self._apply(answer)
        return True

    def _apply(self, answer: Instances) -> None:
        if answer == self._last_answer and not self._absences:
            self._refresh_leaving()
            return
        self._last_answer = answer
        self._update(answer)

    def _update(self, answer: Instances) -> None:
        listed = {i.name: self._mark_leaving(i) for i in answer.instances}
        listed.update(self._list_tolerated_absences(listed))
        changes = self._compare(listed)
        self._remove_expired_leaving()
        if not changes:
            return
        self._instances = listed
        self._rebuild_index()
        for handler in self._handlers:
            handler(changes)

    def _mark_leaving(self, instance: Instance) -> Instance:
        if instance.name in self._drained:
            return instance._replace(state=InstanceState.LEAVING)
        identity = (instance.name, instance.address)
        if instance.state is InstanceState.LEAVING or identity in self._leaving:
            self._leaving[identity] = self._clock.monotonic()
            return instance._replace(state=InstanceState.LEAVING)
        return instance

    def _list_tolerated_absences(
        self, listed: dict[str, Instance]
    ) -> dict[str, Instance]:
        absent = [name for name in self._instances if name not in listed]
        self._absences = {name: self._absences.get(name, 0) + 1 for name in absent}
        tolerated = {}
        for name, count in list(self._absences.items()):
            if count < ABSENCE_LIMIT:
                tolerated[name] = self._instances[name]
            else:
                del self._absences[name]
        return tolerated

    def _compare(self, listed: dict[str, Instance]) -> tuple[InstanceChange, ...]:
        names = {**self._instances, **listed}
        pairs = (
            InstanceChange(self._instances.get(n), listed.get(n)) for n in sorted(names)
        )
        return tuple(pair for pair in pairs if pair.before != pair.after)

    def _refresh_leaving(self) -> None:
        now = self._clock.monotonic()
        for name, address in self._leaving:
            listed = self._instances.get(name)
            if listed is not None and listed.address == address:
                self._leaving[name, address] = now
        self._remove_expired_leaving()

    def _remove_expired_leaving(self) -> None:
        oldest = self._clock.monotonic() - LEAVING_RETENTION
        for identity, seen in list(self._leaving.items()):
            if seen < oldest:
                del self._leaving[identity]

    def _rebuild_index(self) -> None:
        groups: dict[tuple[InstanceRole, str], list[Instance]] = {}
        for _, instance in sorted(self._instances.items()):
            for zone in {"", instance.zone}:
                groups.setdefault((instance.role, zone), []).append(instance)
        self._by_role = {key: tuple(group) for key, group in groups.items()}

    def _log_failure(self, code: str) -> None:
        if not self._is_failing:
            logger.warn("The instance list is unavailable.", code=code)
        self._is_failing = True

    def _log_recovery(self) -> None:
        if self._is_failing:
            logger.info("The instance list is available again.")
        self._is_failing = False
