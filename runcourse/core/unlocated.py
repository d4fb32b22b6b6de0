"""Tasks that an earlier owner of a share may have started on machines not heard of yet."""

from __future__ import annotations

import math
from collections.abc import Mapping

from .context import CLOCK_DRIFT, Context
from .ids import Instant, JobId, Team, later
from .jobs import Job
from .machine import Machine
from .machines import Fleet
from .placement import ZERO_SIZE, Size
from .shares import Holding, Shares
from .work import Work, permits


class UnlocatedTasks:
    """Where tasks may be hidden, and how much of a team's limit they may take."""

    def __init__(
        self, context: Context, shares: Shares, fleet: Fleet, work: Mapping[JobId, Work]
    ) -> None:
        self.context = context
        self.shares = shares
        self.fleet = fleet
        self.work = work
        self._ending: dict[JobId, tuple[Job, Instant]] = {}  # cancelled; until when they may run

    def cancelled(self, job: Job) -> None:
        """Its tasks may go on for a while where no owner has found them yet, and count against
        the team's limit: whoever owns the share by then."""
        cancel_s = self.context.platform.settings.workers.cancel_s
        self._ending[job.uid] = (job, later(self.context.now, cancel_s * (1 + CLOCK_DRIFT)))

    def tick(self) -> None:
        """Forget the cancelled jobs whose tasks are surely gone by now."""
        while self._ending:  # oldest first
            uid = next(iter(self._ending))
            if self.context.now < self._ending[uid][1]:
                break
            del self._ending[uid]

    def unsettled_representatives(self, holding: Holding) -> list[Machine]:
        """One machine of each kind and place among those that may hold unknown tasks."""
        if holding.settled:
            return []
        kinds = {
            (m.record.type, m.record.zone, m.record.spot): m
            for m in self.fleet.of_share(holding.number).unsettled()
        }
        return list(kinds.values())

    def may_hide(self, job: Job, holding: Holding, unsettled: list[Machine]) -> bool:
        """May an earlier owner have started tasks of the job that aren't located yet? Only on
        machines where they are allowed and fit: the others need not be waited for."""
        return job.accepted <= holding.epoch and any(
            permits(job, m) and (m.type is None or job.size.fits(m.type.size)) for m in unsettled
        )

    def by_team(self, holding: Holding, unsettled: list[Machine]) -> dict[Team, Size]:
        """Tasks that an earlier owner may have started on machines not heard of yet: those of
        open jobs, and of jobs cancelled lately, which need not have stopped by now. No more
        than such machines hold."""
        if not unsettled:
            return {}
        found: dict[Team, Size] = {}
        for job, count in self._candidates(holding):
            if count > 0 and self.may_hide(job, holding, unsettled):
                team = Team(job.spec.team)
                found[team] = found.get(team, ZERO_SIZE).plus(job.size.times(count))
        most = self._most(holding)
        return {team: Size(*map(min, size, most)) for team, size in found.items()}

    def _candidates(self, holding: Holding) -> list[tuple[Job, int]]:
        """Jobs of the share, and how many of their tasks are not located."""
        found = [
            (work.job, len(work.pending))
            for work in self.work.values()
            if work.share == holding.number
        ]
        for job, _ in self._ending.values():
            if self.shares.of_team(Team(job.spec.team)) == holding.number:
                placed = len(self.fleet.placements.of_job(job.uid))
                found.append((job, job.spec.tasks - job.done_count - placed))
        return found

    def _most(self, holding: Holding) -> Size:
        """What the machines that are not settled hold together."""
        most = ZERO_SIZE
        for machine in self.fleet.of_share(holding.number).unsettled():
            if machine.type is None:
                return Size(math.inf, math.inf, math.inf)
            most = most.plus(machine.type.size)
        return most
