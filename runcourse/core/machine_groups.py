"""How many recorded machines there are of each kind, kept as the records change."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .ids import ShareNo
from .machine import Record
from .types import MachineType


class MachineGroup(NamedTuple):
    """What machines have in common that the leader's plan takes together."""

    share: ShareNo
    type: str
    zone: str
    spot: bool
    leaving: bool


class MachineGroups:
    """Counts of machines by group. There are few groups, however many machines."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self._counts: Counter[MachineGroup] = Counter()
        for record in records:
            self.add(record)

    def add(self, record: Record) -> None:
        """A machine is recorded so from now on."""
        self._counts[_group(record)] += 1

    def remove(self, record: Record) -> None:
        """A machine is recorded so no longer."""
        group = _group(record)
        self._counts[group] -= 1
        if not self._counts[group]:
            del self._counts[group]

    def counts(self) -> Mapping[MachineGroup, int]:
        """The number of machines in each group that has any."""
        return self._counts

    def by_zone(self) -> Counter[tuple[ShareNo, str, bool]]:
        """Machines of each share by zone and kind, those that leave included."""
        found: Counter[tuple[ShareNo, str, bool]] = Counter()
        for group, number in self._counts.items():
            found[group.share, group.zone, group.spot] += number
        return found

    def cpus_by_share(self, types: Mapping[str, MachineType]) -> dict[ShareNo, float]:
        """CPUs of the machines that stay, for the shares that have any."""
        found: dict[ShareNo, float] = {}
        for group, number in self._counts.items():
            if not group.leaving and group.type in types:
                cpus = number * types[group.type].cpus
                found[group.share] = found.get(group.share, 0.0) + cpus
        return found

    def by_type(self) -> Counter[tuple[ShareNo, str]]:
        """Machines that stay, by share and type."""
        found: Counter[tuple[ShareNo, str]] = Counter()
        for group, number in self._counts.items():
            if not group.leaving:
                found[group.share, group.type] += number
        return found


def _group(record: Record) -> MachineGroup:
    return MachineGroup(record.share, record.type, record.zone, record.spot, record.leaving)
