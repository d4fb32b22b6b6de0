"""The machines of one owned share, indexed by what the owner asks of them.

A turn of the scheduler asks which machines have room, a tick which were not heard or answered for
long. Both must cost what they find, not what the fleet has. Machines tell their share when
their room changes; the other indexes hold *candidates*, which are looked at again when asked for.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator

from .ids import MachineId
from .machine import Machine
from .placement import Size


class ShareMachines:
    """One share's machines in the order in which they came, with indexes and running totals."""

    def __init__(self) -> None:
        self._machines: dict[MachineId, Machine] = {}
        self._by_room: dict[int, dict[MachineId, Machine]] = {}  # by whole CPUs free
        self._by_heard: dict[MachineId, Machine] = {}  # those heard longest ago first
        self._by_answer: dict[MachineId, Machine] = {}  # those answered longest ago first
        self._unheard: dict[MachineId, Machine] = {}
        self._unsettled: dict[MachineId, Machine] = {}
        self._suspected: dict[MachineId, Machine] = {}
        self._under_notice: dict[MachineId, Machine] = {}
        self._added = 0
        self.used_cpus = 0.0  # allocated on all of them
        self.service_cpus = 0.0  # the same, by services

    def __len__(self) -> int:
        return len(self._machines)

    def __iter__(self) -> Iterator[Machine]:
        return iter(self._machines.values())

    # --- changes -------------------------------------------------------------------------

    def add(self, machine: Machine) -> None:
        """The machine belongs to the share from now on."""
        self._added += 1
        machine.position = self._added
        machine.index = self
        id = machine.id
        self._machines[id] = self._by_heard[id] = self._by_answer[id] = machine
        self._unheard[id] = machine
        if not machine.settled:
            self._unsettled[id] = machine
        if machine.suspected:
            self._suspected[id] = machine
        self.used_cpus += machine.used.cpus
        self.service_cpus += machine.service_cpus
        self._by_room.setdefault(machine.room_level, {})[id] = machine

    def remove(self, machine: Machine) -> None:
        """The machine leaves the share."""
        id = machine.id
        machine.index = None
        del self._machines[id]
        del self._by_room[machine.room_level][id]
        for index in (
            self._by_heard,
            self._by_answer,
            self._unheard,
            self._unsettled,
            self._suspected,
            self._under_notice,
        ):
            index.pop(id, None)
        self.used_cpus -= machine.used.cpus
        self.service_cpus -= machine.service_cpus
        if not self._machines:
            self.used_cpus = self.service_cpus = 0.0  # no rounding left over

    def room_changed(self, machine: Machine, before: int) -> None:
        """The machine has another level of room than `before`."""
        del self._by_room[before][machine.id]
        self._by_room.setdefault(machine.room_level, {})[machine.id] = machine

    def allocated(self, cpus: float, lasting: float) -> None:
        """More is allocated on a machine, or less; `service_cpus`: of services."""
        self.used_cpus += cpus
        self.service_cpus += lasting

    def last_message_at(self, machine: Machine) -> None:
        """A message of the machine was believed now."""
        self._unheard.pop(machine.id, None)
        self._by_heard.pop(machine.id, None)
        self._by_heard[machine.id] = machine

    def answered(self, machine: Machine) -> None:
        """The lease of the machine's worker counts from now."""
        self._by_answer.pop(machine.id, None)
        self._by_answer[machine.id] = machine

    def suspect(self, machine: Machine) -> None:
        """The machine counts as not reached from now on."""
        self._suspected[machine.id] = machine

    def unsettle(self, machine: Machine) -> None:
        """The machine may hold tasks of an earlier owner."""
        self._unsettled[machine.id] = machine

    def notice(self, machine: Machine) -> None:
        """The cloud will take the machine away."""
        self._under_notice[machine.id] = machine

    # --- lookups -------------------------------------------------------------------------

    def with_room(self, least: Size) -> list[Machine]:
        """Machines with room for so much, in the order in which they came."""
        level = math.floor(least.cpus)
        found = [
            machine
            for free, machines in self._by_room.items()
            if free >= level
            for machine in machines.values()
            if least.fits(machine.room)
        ]
        found.sort(key=_position)
        return found

    def no_message_since(self, at: float) -> Iterable[Machine]:
        """Machines neither heard nor added after that instant."""
        for machine in self._by_heard.values():
            if max(machine.last_message_at, machine.added) >= at:
                return
            yield machine

    def not_answered_since(self, at: float) -> list[Machine]:
        """Machines whose workers got no answer after that instant."""
        found: list[Machine] = []
        for machine in self._by_answer.values():
            if machine.last_answer >= at:
                break
            found.append(machine)
        return found

    def count_ever_seen(self, epoch: int) -> int:
        """How many machines were ever heard, here or by an earlier owner."""
        return len(self._machines) - sum(m.record.stamp > epoch for m in self._unheard.values())

    def unsettled(self) -> list[Machine]:
        """Machines that may hold tasks of an earlier owner."""
        return self._still(self._unsettled, lambda machine: not machine.settled)

    def suspected(self) -> list[Machine]:
        """Machines that are not shown to be reached."""
        return self._still(self._suspected, lambda machine: machine.suspected)

    def under_notice(self) -> list[Machine]:
        """Machines that the cloud will take away."""
        return self._still(self._under_notice, lambda machine: machine.notice_until is not None)

    @staticmethod
    def _still(index: dict[MachineId, Machine], holds: Callable[[Machine], bool]) -> list[Machine]:
        """The machines of an index for which it still holds; the others leave it."""
        if not index:
            return []
        for id in [id for id, machine in index.items() if not holds(machine)]:
            del index[id]
        return list(index.values())


def _position(machine: Machine) -> int:
    return machine.position
