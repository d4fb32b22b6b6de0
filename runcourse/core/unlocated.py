"""Tasks that an earlier owner of a share may have started and that are not located yet.

A machine is unsettled from a takeover until the tasks that an earlier owner may have started on it
are known to the new owner.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from .context import CLOCK_DRIFT, Context
from .ids import Instant, JobId, Team, later
from .jobs import Job
from .machine import Machine
from .machines import Fleet
from .placement import ZERO_SIZE, Size
from .shares import OwnedShare, Shares
from .work import Work, permits


class UnlocatedTasks:
    """Finds jobs that may have unlocated tasks of an earlier owner, and the room of these tasks."""

    def __init__(
        self, context: Context, shares: Shares, fleet: Fleet, work: Mapping[JobId, Work]
    ) -> None:
        self.context = context
        self.shares = shares
        self.fleet = fleet
        self.work = work
        # Cancelled jobs whose tasks may still run, and until when; oldest first.
        self._cancelled: dict[JobId, tuple[Job, Instant]] = {}

    def note_cancellation(self, job: Job) -> None:
        """Counts the cancelled job's unlocated tasks against its team's limit while they may run.

        They may continue to run on unsettled machines. Jobs of all shares are counted, since this
        node may take over the job's share meanwhile.
        """
        cancel_s = self.context.platform.settings.workers.cancel_s
        self._cancelled[job.uid] = (job, later(self.context.now, cancel_s * (1 + CLOCK_DRIFT)))

    def tick(self) -> None:
        """Drops the cancelled jobs whose tasks have certainly stopped."""
        while self._cancelled:
            uid = next(iter(self._cancelled))
            if self.context.now < self._cancelled[uid][1]:
                break
            del self._cancelled[uid]

    def unsettled_representatives(self, owned_share: OwnedShare) -> list[Machine]:
        """Returns one unsettled machine of each type, zone and spot or on-demand kind.

        Unsettled machines may hold tasks of an earlier owner that are not located yet. None is
        returned if all machines are settled.
        """
        if owned_share.settled:
            return []
        kinds = {
            (m.record.type, m.record.zone, m.record.spot): m
            for m in self.fleet.of_share(owned_share.number).unsettled()
        }
        return list(kinds.values())

    def may_be_unlocated(self, job: Job, owned_share: OwnedShare, unsettled: list[Machine]) -> bool:
        """Returns whether an earlier owner may have started tasks of the job not located yet.

        Only unsettled machines where the job's tasks are allowed and fit can hold them: there is no
        need to wait for the others to be settled.
        """
        return job.accepted <= owned_share.epoch and any(
            permits(job, m) and (m.type is None or job.size.fits(m.type.size)) for m in unsettled
        )

    def by_team(self, owned_share: OwnedShare, unsettled: list[Machine]) -> dict[Team, Size]:
        """Returns the upper bound of the room that each team's unlocated tasks take.

        These are tasks of open jobs, and of recently cancelled jobs, which may not have stopped
        yet. A team's tasks take no more than the unsettled machines hold together.
        """
        if not unsettled:
            return {}
        found: dict[Team, Size] = {}
        for job, count in self._candidates(owned_share):
            if count > 0 and self.may_be_unlocated(job, owned_share, unsettled):
                team = Team(job.spec.team)
                found[team] = found.get(team, ZERO_SIZE).plus(job.size.times(count))
        capacity = self._unsettled_capacity(owned_share)
        return {team: Size(*map(min, size, capacity)) for team, size in found.items()}

    def _candidates(self, owned_share: OwnedShare) -> list[tuple[Job, int]]:
        """Returns jobs of the share and how many tasks of each are not located."""
        found = [
            (work.job, len(work.pending))
            for work in self.work.values()
            if work.share == owned_share.number
        ]
        for job, _ in self._cancelled.values():
            if self.shares.of_team(Team(job.spec.team)) == owned_share.number:
                placed = len(self.fleet.placements.of_job(job.uid))
                found.append((job, job.spec.tasks - job.done_count - placed))
        return found

    def _unsettled_capacity(self, owned_share: OwnedShare) -> Size:
        """Returns the total size of the unsettled machines; unlimited if a type is not known."""
        capacity = ZERO_SIZE
        for machine in self.fleet.of_share(owned_share.number).unsettled():
            if machine.type is None:
                return Size(math.inf, math.inf, math.inf)
            capacity = capacity.plus(machine.type.size)
        return capacity
