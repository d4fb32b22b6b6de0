"""Gangs: jobs of which all tasks run at the same time or none does.

A gang is *idle* (none of its tasks is on a machine), *placed* (all tasks are ordered to start with
one attempt number and wait for each other), *running*, or *ending* (the attempt is over; its tasks
keep their placements until they are certainly gone). Only an idle gang begins a new attempt.

- Before the gang has started, a lost task is replaced under the same attempt number while the
  others keep waiting. Once it may have started, a lost task ends the attempt.
- A gang is stopped as a whole: all its tasks are ordered to stop at once, with time to save if
  every order can be delivered.
- A gang is done as a whole: as soon as one task is done, all are.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from .context import Context
from .ids import Instant, JobId
from .machine import Placement
from .machines import Fleet
from .placement import Size
from .work import Work, lost_work_s, stop_grace_s

# Wait after an attempt in which not all tasks got ready; doubles with each such attempt in a row.
INCOMPLETE_BACKOFF_S = 1.0
MAX_INCOMPLETE_BACKOFF_S = 30.0
MAX_BACKOFF_DOUBLINGS = 8
# Wait reason: some tasks were not ready to start within the time for which the others wait.
INCOMPLETE = "it was not complete in time"
# A worker whose last report is older than this many report intervals may miss a stop order.
MAX_SILENT_INTERVALS = 2.5


class Gangs:
    """Tracks the phase of each gang (idle, placed, running, ending) and stops gangs as a whole."""

    def __init__(self, context: Context, fleet: Fleet, work: Mapping[JobId, Work]) -> None:
        self.context = context
        self.fleet = fleet
        self.work = work

    # --- changes of placements -----------------------------------------------------------

    def placement_added(self, work: Work, placement: Placement) -> None:
        """Records a task placed here, or found on a machine after a takeover."""
        if work.attempt is None:
            work.attempt = placement.attempt
        elif placement.attempt != work.attempt:
            # Two attempts at once: the gang ends, as tasks of the older one have to be gone first.
            work.attempt = max(work.attempt, placement.attempt)
            work.ending = True
        if placement.stage in ("running", "saving"):
            work.started = True
        if placement.stopping:
            work.ending = True

    def running_reported(self, work: Work) -> None:
        """Records that the gang has started: a task runs only once all its tasks are ready."""
        work.started = True
        work.incomplete_attempts = 0

    def stop_requested(self, work: Work) -> None:
        """Records that a task was ordered to stop, which ends the attempt."""
        work.ending = True

    def attempt_ended(self, work: Work, placement: Placement, reason: str) -> None:
        """Handles the end of an attempt of a task that is not done."""
        now = self.context.now
        if placement.attempt == work.attempt:
            if reason in ("mates", "error") or placement.stage_before in ("running", "saving"):
                work.started = True
            if reason == "incomplete" and self._fetches_images(work):
                # Ending the attempt would waste the others' fetches: this task is placed again.
                work.not_before = Instant(now + INCOMPLETE_BACKOFF_S)
            elif reason == "incomplete" and not work.ending:
                backoff_s = min(
                    MAX_INCOMPLETE_BACKOFF_S,
                    INCOMPLETE_BACKOFF_S
                    * 2 ** min(work.incomplete_attempts, MAX_BACKOFF_DOUBLINGS),
                )
                work.incomplete_attempts += 1
                work.not_before = Instant(now + backoff_s)
                self.context.log(
                    "warning",
                    f"gang {work.job.uid}: {self._missing_tasks(work)} within"
                    f" {now - placement.since:.1f} s, tried again in"
                    f" {backoff_s:.0f} s",
                )
                work.ending = True
            elif work.started:
                work.ending = True
        if work.ending:
            self._stop_remaining(work)
        if not self.fleet.placements.of_job(work.job.uid):
            self._reset_attempt(work)

    def _fetches_images(self, work: Work) -> bool:
        """Returns whether the gang still waits to start and tasks of it fetch images."""
        return (
            not work.started
            and not work.ending
            and any(
                p.stage in ("sent", "fetching") for p in self.fleet.placements.of_job(work.job.uid)
            )
        )

    def _missing_tasks(self, work: Work) -> str:
        return f"{len(work.pending)} of {work.job.spec.tasks} tasks were not there"

    def _reset_attempt(self, work: Work) -> None:
        work.attempt = None
        work.started = work.ending = False

    def _stop_remaining(self, work: Work) -> None:
        """Stops the tasks that can't go on alone; those already stopping may finish saving."""
        for placement in self.fleet.placements.of_job(work.job.uid):
            if not placement.stopping:
                self.fleet.placements.stop(placement)

    def check_startable(self, work: Work) -> str:
        """Returns why no task of the gang may be started now, or "" if all pending tasks may be.

        Ends the attempt of a gang that has lost a task. Call it only when every task of the gang
        that may be on a machine is located.
        """
        if (
            not work.ending
            and work.pending
            and (
                work.started
                or any(p.stage == "saving" for p in self.fleet.placements.of_job(work.job.uid))
            )
        ):
            # A running gang has lost a task, perhaps before a takeover.
            work.ending = True
            self._stop_remaining(work)
        if not work.ending:
            return ""
        if self.fleet.placements.of_job(work.job.uid):
            return "tasks of an earlier attempt are still there"
        self._reset_attempt(work)
        return ""

    def phase(self, work: Work) -> str:
        """Returns the name of the gang's phase."""
        if not self.fleet.placements.of_job(work.job.uid):
            return "idle"
        return "ending" if work.ending else "running" if work.started else "placed"

    # --- stopping ------------------------------------------------------------------------

    def stop(self, placement: Placement, grace_s: float | None = None) -> None:
        """Stops a task, or the whole gang that it belongs to.

        `grace_s` is the time to save of a single task, by default what it needs. A gang gets time
        to save only if all its tasks can be ordered to stop at once: otherwise the save fails and
        its time is lost as well.
        """
        work = self.work.get(placement.task.job)
        if work is None or not work.job.spec.gang:
            self.fleet.placements.stop(
                placement, stop_grace_s(placement) if grace_s is None else grace_s
            )
            return
        placements = self.fleet.placements.of_job(work.job.uid)
        all_reachable = len(placements) == work.job.spec.tasks and all(
            not p.machine.suspected
            and p.machine.addr
            and not p.machine.command_in_flight
            and self.fleet.silent_s(p.machine)
            < MAX_SILENT_INTERVALS * self.context.platform.settings.workers.report_s
            for p in placements
        )
        work.ending = True
        for each in placements:
            if not each.stopping:
                self.fleet.placements.stop(each, stop_grace_s(each) if all_reachable else 0.0)

    def stop_cost_s(self, placement: Placement) -> float:
        """Returns the seconds of work lost by stopping the task, or all tasks of its gang."""
        now = self.context.now
        if placement.job is None or not placement.job.spec.gang:
            return lost_work_s(placement, now)
        return sum(
            lost_work_s(each, now) for each in self.fleet.placements.of_job(placement.task.job)
        )

    def size_after_first(self, work: Work) -> Size:
        """Returns the size of all pending tasks but one; quota checks add that one."""
        return work.job.size.times(len(work.pending) - 1)

    def max_tasks_in_zone(self, work: Work, zone: str) -> float:
        """Returns how many of the pending tasks may go to the zone.

        `spread` allows half of the gang's tasks in one zone, rounded up.
        """
        spec = work.job.spec
        if spec.spread:
            return (spec.tasks + 1) // 2 - work.zones.get(zone, 0)
        if spec.together and any(n for z, n in work.zones.items() if z != zone):
            return 0
        return math.inf
