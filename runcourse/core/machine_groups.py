"""Counts of recorded machines by share, type, zone, spot or not, and leaving or not.

They are updated as the records change. A leaving machine is about to be returned to the cloud.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .ids import ShareNo
from .machine import Record
from .types import MachineType


class MachineGroup(NamedTuple):
    """The properties shared by machines that the leader's planning treats alike."""

    share: ShareNo
    type: str
    zone: str
    spot: bool
    leaving: bool


class MachineGroups:
    """Counts of machines by group; the number of groups stays small in a large fleet."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self._counts: Counter[MachineGroup] = Counter()
        for record in records:
            self.add(record)

    def add(self, record: Record) -> None:
        """Counts a record that was added."""
        self._counts[_group(record)] += 1

    def remove(self, record: Record) -> None:
        """Uncounts a record that was removed."""
        group = _group(record)
        self._counts[group] -= 1
        if not self._counts[group]:
            del self._counts[group]

    def counts(self) -> Mapping[MachineGroup, int]:
        """Returns the number of machines of each non-empty group."""
        return self._counts

    def by_zone(self) -> Counter[tuple[ShareNo, str, bool]]:
        """Returns the number of machines by share, zone and spot or not, also leaving ones."""
        found: Counter[tuple[ShareNo, str, bool]] = Counter()
        for group, number in self._counts.items():
            found[group.share, group.zone, group.spot] += number
        return found

    def cpus_by_share(self, types: Mapping[str, MachineType]) -> dict[ShareNo, float]:
        """Returns the CPUs of the machines that are not leaving, by share; empty shares omitted."""
        found: dict[ShareNo, float] = {}
        for group, number in self._counts.items():
            if not group.leaving and group.type in types:
                cpus = number * types[group.type].cpus
                found[group.share] = found.get(group.share, 0.0) + cpus
        return found

    def by_type(self) -> Counter[tuple[ShareNo, str]]:
        """Returns the number of machines that are not leaving, by share and type."""
        found: Counter[tuple[ShareNo, str]] = Counter()
        for group, number in self._counts.items():
            if not group.leaving:
                found[group.share, group.type] += number
        return found


def _group(record: Record) -> MachineGroup:
    return MachineGroup(record.share, record.type, record.zone, record.spot, record.leaving)
