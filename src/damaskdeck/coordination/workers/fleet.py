"""The instances of the deployment, from the platform's lagging list."""

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
LEAVING_MEMORY = timedelta(seconds=60)

logger = get_logger("fleet")


class Change(NamedTuple):
    """What became of one instance; ``None`` where it isn't listed."""

    before: Instance | None
    after: Instance | None


ChangeHandler = Callable[[tuple[Change, ...]], None]


class Fleet:
    """Keeps the last good list and never takes back that an instance leaves.

    Promise: "A target that is leaving receives no new work after a few
    seconds." The list lags and its answers may go back in time: once an
    instance, told by its name and address, was seen leaving, it stays so
    until its absence has lasted ``LEAVING_MEMORY``. An instance is dropped
    only after ``ABSENCE_LIMIT`` answers in a row without it.

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
        self._answer: Instances | None = None
        self._instances: dict[str, Instance] = {}
        self._by_role: dict[tuple[InstanceRole, str], tuple[Instance, ...]] = {}
        self._absences: dict[str, int] = {}
        self._leaving: dict[tuple[str, str], timedelta] = {}
        self._handlers: list[ChangeHandler] = []
        self._last_answer: timedelta | None = None
        self._is_failing = False
        self._drained: frozenset[str] = frozenset()

    @property
    def last_listed_at(self) -> timedelta | None:
        """Monotonic time of the last good answer; ``None`` before the first."""
        return self._last_answer

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
        """Treat instances as leaving for as long as operators say so.

        :param names: all that are to be drained; others stay as listed.
        """
        if names == self._drained:
            return
        self._drained = names
        if self._answer is not None:
            self._take(self._answer)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(self._interval)

    async def poll(self) -> bool:
        """Ask once; returns whether there was a good answer."""
        answer = await self._source.list_instances()
        if not isinstance(answer, Instances):
            count_refusal("fleet", answer.code)
            self._note_failure(answer.code)
            return False
        self._last_answer = self._clock.monotonic()
        self._note_success()
        self._apply(answer)
        return True

    def _apply(self, answer: Instances) -> None:
        if answer == self._answer and not self._absences:
            self._refresh_leaving()
            return
        self._answer = answer
        self._take(answer)

    def _take(self, answer: Instances) -> None:
        listed = {i.name: self._keep_leaving(i) for i in answer.instances}
        listed.update(self._keep_absent(listed))
        changes = self._compare(listed)
        self._forget_leaving()
        if not changes:
            return
        self._instances = listed
        self._sort()
        for handler in self._handlers:
            handler(changes)

    def _keep_leaving(self, instance: Instance) -> Instance:
        if instance.name in self._drained:
            return instance._replace(state=InstanceState.LEAVING)
        place = (instance.name, instance.address)
        if instance.state is InstanceState.LEAVING or place in self._leaving:
            self._leaving[place] = self._clock.monotonic()
            return instance._replace(state=InstanceState.LEAVING)
        return instance

    def _keep_absent(self, listed: dict[str, Instance]) -> dict[str, Instance]:
        absent = [name for name in self._instances if name not in listed]
        self._absences = {name: self._absences.get(name, 0) + 1 for name in absent}
        kept = {}
        for name, count in list(self._absences.items()):
            if count < ABSENCE_LIMIT:
                kept[name] = self._instances[name]
            else:
                del self._absences[name]
        return kept

    def _compare(self, listed: dict[str, Instance]) -> tuple[Change, ...]:
        names = {**self._instances, **listed}
        pairs = (Change(self._instances.get(n), listed.get(n)) for n in sorted(names))
        return tuple(pair for pair in pairs if pair.before != pair.after)

    def _refresh_leaving(self) -> None:
        now = self._clock.monotonic()
        for name, address in self._leaving:
            listed = self._instances.get(name)
            if listed is not None and listed.address == address:
                self._leaving[name, address] = now
        self._forget_leaving()

    def _forget_leaving(self) -> None:
        oldest = self._clock.monotonic() - LEAVING_MEMORY
        for place, seen in list(self._leaving.items()):
            if seen < oldest:
                del self._leaving[place]

    def _sort(self) -> None:
        groups: dict[tuple[InstanceRole, str], list[Instance]] = {}
        for _, instance in sorted(self._instances.items()):
            for zone in {"", instance.zone}:
                groups.setdefault((instance.role, zone), []).append(instance)
        self._by_role = {key: tuple(group) for key, group in groups.items()}

    def _note_failure(self, code: str) -> None:
        if not self._is_failing:
            logger.warn("The instance list can't be read.", code=code)
        self._is_failing = True

    def _note_success(self) -> None:
        if self._is_failing:
            logger.info("The instance list can be read again.")
        self._is_failing = False
