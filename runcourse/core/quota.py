"""Teams' limits and guarantees, what they hold, and whose work may be stopped for whom."""

from __future__ import annotations

import math
from typing import NamedTuple

from .context import Context
from .ids import Team
from .jobs import Job
from .machine import Placement
from .placement import ZERO_SIZE, Size, count_fitting

SLACK = 1e-6


class TeamLimits(NamedTuple):
    """A limit of 0 or absent is read as no limit, a guarantee of 0 as none."""

    cpus: float
    gpus: float
    cpus_max: float
    gpus_max: float


class Quota:
    """Counts what teams hold against their limits and guarantees."""

    def __init__(self, context: Context) -> None:
        self.teams: dict[Team, TeamLimits] = {
            Team(t.name): TeamLimits(t.cpus, t.gpus, t.cpus_max or math.inf, t.gpus_max or math.inf)
            for t in context.platform.settings.teams
        }
        self._held: dict[Team, Size] = {}
        self._ranks: dict[int, int] = {}  # placements by rank
        self.stopping: dict[Team, Size] = {}  # of what is held, what was told to stop

    def held(self, team: Team) -> Size:
        """What the team's placements take."""
        return self._held.get(team, ZERO_SIZE)

    def add(self, placement: Placement) -> None:
        """The placement counts from now on."""
        if placement.job is not None:
            team = Team(placement.job.spec.team)
            self._held[team] = self.held(team).plus(placement.size)
            rank = placement.job.spec.rank
            self._ranks[rank] = self._ranks.get(rank, 0) + 1
            if placement.stopping:
                self.note_stopping(placement)

    def note_stopping(self, placement: Placement) -> None:
        """The placement was told to stop."""
        if placement.job is not None:
            team = Team(placement.job.spec.team)
            self.stopping[team] = self.stopping.get(team, ZERO_SIZE).plus(placement.size)

    def remove(self, placement: Placement) -> None:
        """The placement counts no longer."""
        if placement.job is not None:
            team = Team(placement.job.spec.team)
            self._held[team] = self.held(team).minus(placement.size)
            self._ranks[placement.job.spec.rank] -= 1
            if placement.stopping:
                self.stopping[team] = self.stopping[team].minus(placement.size)

    def rejection_reason(self, job: Job) -> str | None:
        """Why the job can never run within its team's limit, if so."""
        limits = self.teams.get(Team(job.spec.team))
        if limits is None:
            return f"unknown team {job.spec.team}"
        tasks = job.spec.tasks if job.spec.service or job.spec.gang else 1
        if (
            job.spec.cpus * tasks > limits.cpus_max + SLACK
            or job.spec.gpus * tasks > limits.gpus_max + SLACK
        ):
            return f"more than the limit of team {job.spec.team}"
        return None

    def allows(self, job: Job, unlocated: Size = ZERO_SIZE) -> bool:
        """Does one more task stay within the team's limit? `unlocated`: tasks of the team
        that may be running where this owner can't see them yet."""
        team = Team(job.spec.team)
        limits = self.teams.get(team)
        if limits is None:
            return False
        held = self.held(team).plus(unlocated)
        return (
            held.cpus + job.size.cpus <= limits.cpus_max + SLACK
            and held.gpus + job.size.gpus <= limits.gpus_max + SLACK
        )

    def within_guarantee(self, job: Job) -> bool:
        """Would one more task of the job still lie within its team's guarantee?"""
        team = Team(job.spec.team)
        limits = self.teams.get(team)
        if limits is None or (limits.cpus <= 0 and limits.gpus <= 0):
            return False
        held = self.held(team)
        return (
            held.cpus + job.size.cpus <= limits.cpus + SLACK
            and held.gpus + job.size.gpus <= limits.gpus + SLACK
        )

    def guaranteed_count(self, job: Job) -> int:
        """How many more tasks of the job lie within its team's guarantee?"""
        limits = self.teams.get(Team(job.spec.team))
        if limits is None or (limits.cpus <= 0 and limits.gpus <= 0):
            return 0
        held = self.held(Team(job.spec.team))
        return count_fitting(
            Size(job.size.cpus, 0.0, job.size.gpus),
            Size(limits.cpus - held.cpus, 0.0, limits.gpus - held.gpus),
        )

    def beyond(self, team: Team, stopping: Size = ZERO_SIZE) -> bool:
        """Does the team hold more than its guarantee, even without what is being stopped?"""
        limits = self.teams.get(team)
        if limits is None:
            return True
        held = self.held(team).minus(stopping)
        return held.cpus > limits.cpus + SLACK or held.gpus > limits.gpus + SLACK

    def any_preemptible(self, waiting: Job, guaranteed: bool) -> bool:
        """Is there anything at all that `may_preempt` might say yes to?"""
        rank = waiting.spec.rank
        if any(n > 0 and r > rank for r, n in self._ranks.items()):
            return True
        return (
            guaranteed
            and self._ranks.get(rank, 0) > 0
            and any(team != waiting.spec.team and self.beyond(team) for team in self.teams)
        )

    def may_preempt(
        self, waiting: Job, guaranteed: bool, victim: Placement, stopping: Size = ZERO_SIZE
    ) -> bool:
        """PROTOCOL's "Preemption": a higher rank, or a guarantee against borrowed room.

        It would let a guarantee stop work of any rank; higher ranks are spared all the same,
        since a replica stopped for an array costs its users more than the array gains.
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
            and self.beyond(Team(job.spec.team), stopping)
        )
