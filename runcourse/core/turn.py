"""The state of one scheduling turn: one pass over the waiting jobs of one share."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .ids import JobId, MachineId, Team
from .jobs import Job
from .machine import Machine
from .placement import ZERO_SIZE, Size
from .shares import OwnedShare

MachineConstraints = tuple[bool, tuple[str, ...] | None, str | None]  # spot allowed, types, zone


class UnmetDemand(NamedTuple):
    """Tasks of a job for which a turn (a pass over the waiting jobs) found no machine."""

    job: Job
    missing: int
    closed_zones: tuple[str, ...]  # excluded by the job's `spread` or `together`


@dataclass(slots=True)
class Turn:
    """The machines of a share and the decisions made about them in a pass over its waiting jobs."""

    owned_share: OwnedShare
    usable: Callable[[], list[Machine]]  # all that accept new tasks; computed on the first call
    machines_with_room: list[Machine]  # usable, with room for the smallest waiting task
    unlocated: Mapping[Team, Size]  # size of tasks that may run but are not located by this owner
    reserved: Mapping[MachineId, JobId]  # machines reserved for a gang
    claimed: set[MachineId] = field(default_factory=set)  # machines where tasks are being preempted
    # Task sizes that found no room in this turn, by the constraints of their jobs: a task of the
    # same constraints that is at least as large won't find any either.
    sizes_without_room: dict[MachineConstraints, list[Size]] = field(default_factory=dict)
    unmet: list[UnmetDemand] = field(default_factory=list)

    def unlocated_of(self, team: str) -> Size:
        """Returns what the team's tasks that this owner can't locate yet may take."""
        return self.unlocated.get(Team(team), ZERO_SIZE)
