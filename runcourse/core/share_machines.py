"""The machines of one owned share, with indexes for the owner's queries.

A scheduling turn queries the machines with room; a tick queries those without a recent message or
answer. The cost of both must depend on the number of results, not on the size of the fleet. The
room index is updated when a machine's room changes; the other indexes hold *candidates*, whose
condition is checked again by each query.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator

from .ids import MachineId
from .machine import Machine
from .placement import Size


class ShareMachines:
    """One share's machines in the order of their addition, with indexes and running totals."""

    def __init__(self) -> None:
        self._machines: dict[MachineId, Machine] = {}
        self._by_room: dict[int, dict[MachineId, Machine]] = {}  # by whole CPUs free
        self._by_last_message: dict[MachineId, Machine] = {}  # oldest message or addition first
        self._by_last_answer: dict[MachineId, Machine] = {}  # oldest answer first
        self._never_seen: dict[MachineId, Machine] = {}  # no message since they were added
        self._unsettled: dict[MachineId, Machine] = {}
        self._suspected: dict[MachineId, Machine] = {}
        self._under_notice: dict[MachineId, Machine] = {}
        self._added = 0
        self.used_cpus = 0.0  # allocated on all machines
        self.service_cpus = 0.0  # allocated to services on all machines

    def __len__(self) -> int:
        return len(self._machines)

    def __iter__(self) -> Iterator[Machine]:
        return iter(self._machines.values())

    # --- changes -------------------------------------------------------------------------

    def add(self, machine: Machine) -> None:
        """Adds a machine to the share."""
        self._added += 1
        machine.position = self._added
        machine.index = self
        id = machine.id
        self._machines[id] = self._by_last_message[id] = self._by_last_answer[id] = machine
        self._never_seen[id] = machine
        if not machine.settled:
            self._unsettled[id] = machine
        if machine.suspected:
            self._suspected[id] = machine
        self.used_cpus += machine.used.cpus
        self.service_cpus += machine.service_cpus
        self._by_room.setdefault(machine.room_level, {})[id] = machine

    def remove(self, machine: Machine) -> None:
        """Removes a machine from the share."""
        id = machine.id
        machine.index = None
        del self._machines[id]
        del self._by_room[machine.room_level][id]
        for index in (
            self._by_last_message,
            self._by_last_answer,
            self._never_seen,
            self._unsettled,
            self._suspected,
            self._under_notice,
        ):
            index.pop(id, None)
        self.used_cpus -= machine.used.cpus
        self.service_cpus -= machine.service_cpus
        if not self._machines:
            self.used_cpus = self.service_cpus = 0.0  # discards rounding errors

    def room_changed(self, machine: Machine, previous_level: int) -> None:
        """Moves the machine from its previous room level to its present one."""
        del self._by_room[previous_level][machine.id]
        self._by_room.setdefault(machine.room_level, {})[machine.id] = machine

    def allocation_changed(self, cpus: float, service_cpus: float) -> None:
        """Adds to the CPUs allocated to all tasks and to services; both may be negative."""
        self.used_cpus += cpus
        self.service_cpus += service_cpus

    def message_received(self, machine: Machine) -> None:
        """Records that a message of the machine was accepted now."""
        self._never_seen.pop(machine.id, None)
        self._by_last_message.pop(machine.id, None)
        self._by_last_message[machine.id] = machine

    def lease_renewed(self, machine: Machine) -> None:
        """Records that the lease of the machine's worker counts from now."""
        self._by_last_answer.pop(machine.id, None)
        self._by_last_answer[machine.id] = machine

    def became_suspected(self, machine: Machine) -> None:
        """Records that the machine counts as unreachable from now on."""
        self._suspected[machine.id] = machine

    def became_unsettled(self, machine: Machine) -> None:
        """Records that the machine may hold tasks of an earlier owner."""
        self._unsettled[machine.id] = machine

    def notice_received(self, machine: Machine) -> None:
        """Records that the cloud will take the machine away."""
        self._under_notice[machine.id] = machine

    # --- queries -------------------------------------------------------------------------

    def with_room(self, min_size: Size) -> list[Machine]:
        """Returns the machines with room for `min_size`, in the order of their addition."""
        level = math.floor(min_size.cpus)
        found = [
            machine
            for room_level, machines in self._by_room.items()
            if room_level >= level
            for machine in machines.values()
            if min_size.fits(machine.room)
        ]
        found.sort(key=_position)
        return found

    def no_message_since(self, at: float) -> Iterable[Machine]:
        """Yields the machines that were added and sent their last message before `at`."""
        for machine in self._by_last_message.values():
            if max(machine.last_message_at, machine.added_at) >= at:
                return
            yield machine

    def not_answered_since(self, at: float) -> list[Machine]:
        """Returns the machines whose workers got their last answer before `at`."""
        found: list[Machine] = []
        for machine in self._by_last_answer.values():
            if machine.last_answer_at >= at:
                break
            found.append(machine)
        return found

    def count_ever_seen(self, epoch: int) -> int:
        """Returns how many machines sent a message to this node or may have to an earlier owner.

        Machines recorded after `epoch`, the stamp of the takeover, were new to this owner.
        """
        return len(self._machines) - sum(m.record.stamp > epoch for m in self._never_seen.values())

    def unsettled(self) -> list[Machine]:
        """Returns the machines that may hold tasks of an earlier owner."""
        return self._prune(self._unsettled, lambda machine: not machine.settled)

    def suspected(self) -> list[Machine]:
        """Returns the machines that have not proved to be reachable."""
        return self._prune(self._suspected, lambda machine: machine.suspected)

    def under_notice(self) -> list[Machine]:
        """Returns the machines that the cloud will take away."""
        return self._prune(self._under_notice, lambda machine: machine.notice_until is not None)

    @staticmethod
    def _prune(
        index: dict[MachineId, Machine], matches: Callable[[Machine], bool]
    ) -> list[Machine]:
        """Removes machines that no longer match from an index and returns the others."""
        if not index:
            return []
        for id in [id for id, machine in index.items() if not matches(machine)]:
            del index[id]
        return list(index.values())


def _position(machine: Machine) -> int:
    return machine.position
