"""What one turn of the scheduler over one share works on."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .ids import JobId, MachineId, Team
from .jobs import Job
from .machine import Machine
from .placement import ZERO_SIZE, Size
from .shares import Holding

MachineKind = tuple[bool, tuple[str, ...] | None, str | None]  # spot, types, zone


class UnmetDemand(NamedTuple):
    """Tasks of a job that found no machine in a turn."""

    job: Job
    missing: int
    closed_zones: tuple[str, ...]  # by the job's `spread` or `together`


@dataclass(slots=True)
class Turn:
    """The machines of a share and what is decided about them in one turn."""

    holding: Holding
    usable: Callable[[], list[Machine]]  # all that new tasks may go to, found when first asked
    machines_with_room: list[Machine]  # those with room for the smallest waiting task
    unlocated: Mapping[Team, Size]  # tasks that may run where this owner can't see them yet
    reserved: Mapping[MachineId, JobId]  # machines, each for a gang
    claimed: set[MachineId] = field(default_factory=set)  # room is being made there
    # Sizes that found no room in this turn: what is no smaller won't find any either.
    full: dict[MachineKind, list[Size]] = field(default_factory=dict)
    unmet: list[UnmetDemand] = field(default_factory=list)

    def unlocated_of(self, team: str) -> Size:
        """What the team may be running where this owner can't see it yet."""
        return self.unlocated.get(Team(team), ZERO_SIZE)
