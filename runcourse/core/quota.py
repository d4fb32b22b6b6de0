"""Limits, guarantees and allocations of teams, and which work may be preempted for which."""

from __future__ import annotations

import math
from typing import NamedTuple

from .context import Context
from .ids import Team
from .jobs import Job
from .machine import Placement
from .placement import ZERO_SIZE, Size, count_fitting

TOLERANCE = 1e-6  # CPUs or GPUs; absorbs rounding in sums of sizes


class TeamLimits(NamedTuple):
    """The guarantee (`cpus`, `gpus`) and the limit (`cpus_max`, `gpus_max`) of a team.

    A limit of 0 in the settings, or none, means no limit; a guarantee of 0 means none.
    """

    cpus: float
    gpus: float
    cpus_max: float
    gpus_max: float


class Quota:
    """Compares what the placements of teams hold with their limits and guarantees."""

    def __init__(self, context: Context) -> None:
        self.teams: dict[Team, TeamLimits] = {
            Team(t.name): TeamLimits(t.cpus, t.gpus, t.cpus_max or math.inf, t.gpus_max or math.inf)
            for t in context.platform.settings.teams
        }
        self._held: dict[Team, Size] = {}
        self._placements_by_rank: dict[int, int] = {}
        self.stopping: dict[Team, Size] = {}  # the part of each team's holding being stopped

    def held(self, team: Team) -> Size:
        """Returns the total size of the team's placements."""
        return self._held.get(team, ZERO_SIZE)

    def add(self, placement: Placement) -> None:
        """Counts the placement from now on."""
        if placement.job is not None:
            team = Team(placement.job.spec.team)
            self._held[team] = self.held(team).plus(placement.size)
            rank = placement.job.spec.rank
            self._placements_by_rank[rank] = self._placements_by_rank.get(rank, 0) + 1
            if placement.stopping:
                self.note_stopping(placement)

    def note_stopping(self, placement: Placement) -> None:
        """Counts the placement as being stopped."""
        if placement.job is not None:
            team = Team(placement.job.spec.team)
            self.stopping[team] = self.stopping.get(team, ZERO_SIZE).plus(placement.size)

    def remove(self, placement: Placement) -> None:
        """Stops counting the placement."""
        if placement.job is not None:
            team = Team(placement.job.spec.team)
            self._held[team] = self.held(team).minus(placement.size)
            self._placements_by_rank[placement.job.spec.rank] -= 1
            if placement.stopping:
                self.stopping[team] = self.stopping[team].minus(placement.size)

    def rejection_reason(self, job: Job) -> str | None:
        """Returns why the job can never run within its team's limit; None if it can."""
        limits = self.teams.get(Team(job.spec.team))
        if limits is None:
            return f"unknown team {job.spec.team}"
        tasks = job.spec.tasks if job.spec.service or job.spec.gang else 1
        if (
            job.spec.cpus * tasks > limits.cpus_max + TOLERANCE
            or job.spec.gpus * tasks > limits.gpus_max + TOLERANCE
        ):
            return f"more than the limit of team {job.spec.team}"
        return None

    def allows(self, job: Job, unlocated: Size = ZERO_SIZE) -> bool:
        """Returns whether one more task of the job stays within its team's limit.

        `unlocated` is the size of the team's tasks that may run without being located here yet.
        """
        team = Team(job.spec.team)
        limits = self.teams.get(team)
        if limits is None:
            return False
        held = self.held(team).plus(unlocated)
        return (
            held.cpus + job.size.cpus <= limits.cpus_max + TOLERANCE
            and held.gpus + job.size.gpus <= limits.gpus_max + TOLERANCE
        )

    def within_guarantee(self, job: Job) -> bool:
        """Returns whether one more task of the job lies within its team's guarantee."""
        team = Team(job.spec.team)
        limits = self.teams.get(team)
        if limits is None or (limits.cpus <= 0 and limits.gpus <= 0):
            return False
        held = self.held(team)
        return (
            held.cpus + job.size.cpus <= limits.cpus + TOLERANCE
            and held.gpus + job.size.gpus <= limits.gpus + TOLERANCE
        )

    def guaranteed_count(self, job: Job) -> int:
        """Returns how many more tasks of the job lie within its team's guarantee."""
        limits = self.teams.get(Team(job.spec.team))
        if limits is None or (limits.cpus <= 0 and limits.gpus <= 0):
            return 0
        held = self.held(Team(job.spec.team))
        return count_fitting(
            Size(job.size.cpus, 0.0, job.size.gpus),
            Size(limits.cpus - held.cpus, 0.0, limits.gpus - held.gpus),
        )

    def exceeds_guarantee(self, team: Team, stopping: Size = ZERO_SIZE) -> bool:
        """Returns whether the team holds more than its guarantee, `stopping` deducted."""
        limits = self.teams.get(team)
        if limits is None:
            return True
        held = self.held(team).minus(stopping)
        return held.cpus > limits.cpus + TOLERANCE or held.gpus > limits.gpus + TOLERANCE

    def any_preemptible(self, waiting: Job, guaranteed: bool) -> bool:
        """Returns False only if `may_preempt` is False for all placements; a cheap first check."""
        rank = waiting.spec.rank
        if any(
            count > 0 and placed_rank > rank
            for placed_rank, count in self._placements_by_rank.items()
        ):
            return True
        return (
            guaranteed
            and self._placements_by_rank.get(rank, 0) > 0
            and any(
                team != waiting.spec.team and self.exceeds_guarantee(team) for team in self.teams
            )
        )

    def may_preempt(
        self, waiting: Job, guaranteed: bool, victim: Placement, stopping: Size = ZERO_SIZE
    ) -> bool:
        """Returns whether the victim may be stopped for the waiting job.

        The workers' protocol, section "Preemption", allows a job to stop work of lower
        priority (a larger rank number), and, within its team's guarantee, work of teams that hold
        more than theirs. The protocol allows the latter for any rank; here only equal rank is
        stopped, and no replica for an array, since that costs the replica's users more than the
        array gains. `guaranteed` tells whether the waiting job is within its team's guarantee.
        """
        job = victim.job
        if job is None:
            return False
        if job.spec.rank > waiting.spec.rank:
            return True
        return (
            guaranteed
            and job.spec.rank == waiting.spec.rank
            and not (job.spec.service and not waiting.spec.service)
            and job.spec.team != waiting.spec.team
            and self.exceeds_guarantee(Team(job.spec.team), stopping)
        )
