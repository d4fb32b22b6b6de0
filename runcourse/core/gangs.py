"""Gangs: jobs of which all tasks run at the same time or none does.

A gang is *idle* (nothing of it is on a machine), *placed* (all its tasks were ordered to start,
with one attempt number, and wait for each other), *running*, or *ending* (the attempt is over;
its tasks stay where they are until they are surely gone). Only an idle gang begins a new attempt.

- Before the gang started, a task that is lost is replaced under the same attempt number: the
  others keep waiting. Once it may have started, a lost task ends the attempt.
- It is stopped whole: all its tasks are told at once, with time to save if all can be told.
- It is done as a whole: the first task that is done says so of all.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from .context import Context
from .ids import Instant, JobId
from .machine import Placement
from .machines import Fleet
from .placement import Size
from .work import Work, loss, stop_grace_s

INCOMPLETE_FIRST_S = 1.0  # before a gang that was not complete in time is tried again
INCOMPLETE_MOST_S = 30.0
INCOMPLETE = "it was not complete in time"


class Gangs:
    """Keeps the phase of each gang and stops gangs as a whole."""

    def __init__(self, context: Context, fleet: Fleet, work: Mapping[JobId, Work]) -> None:
        self.context = context
        self.fleet = fleet
        self.work = work

    # --- what the ledger tells -----------------------------------------------------------

    def placement_added(self, work: Work, placement: Placement) -> None:
        """Placed here, or found on a machine after a takeover."""
        if work.attempt is None:
            work.attempt = placement.attempt
        elif placement.attempt != work.attempt:
            # Two attempts at once: what is left of an older one has to be gone first.
            work.attempt = max(work.attempt, placement.attempt)
            work.ending = True
        if placement.stage in ("running", "saving"):
            work.started = True
        if placement.stopping:
            work.ending = True

    def running_reported(self, work: Work) -> None:
        """All its tasks run."""
        work.started = True
        work.incomplete_attempts = 0

    def stop_requested(self, work: Work) -> None:
        """One of its tasks was told to stop: then all are."""
        work.ending = True

    def attempt_ended(self, work: Work, placement: Placement, why: str) -> None:
        """A task of the attempt is over, and the job is not done."""
        now = self.context.now
        if placement.attempt == work.attempt:
            if why in ("mates", "error") or placement.stage_before in ("running", "saving"):
                work.started = True
            if why == "incomplete" and self._comes(work):
                # The others still fetch, and would give that up: this one is placed again.
                work.not_before = Instant(now + INCOMPLETE_FIRST_S)
            elif why == "incomplete" and not work.ending:
                pause = min(
                    INCOMPLETE_MOST_S, INCOMPLETE_FIRST_S * 2 ** min(work.incomplete_attempts, 8)
                )
                work.incomplete_attempts += 1
                work.not_before = Instant(now + pause)
                self.context.log(
                    "warning",
                    f"gang {work.job.uid}: {self._missing(work)} within"
                    f" {now - placement.since:.1f} s, tried again in"
                    f" {pause:.0f} s",
                )
                work.ending = True
            elif work.started:
                work.ending = True
        if work.ending:
            self._end(work)
        if not self.fleet.placements.of_job(work.job.uid):
            self._idle(work)

    def _comes(self, work: Work) -> bool:
        """Are images of other tasks of the gang still on their way?"""
        return (
            not work.started
            and not work.ending
            and any(
                p.stage in ("sent", "fetching") for p in self.fleet.placements.of_job(work.job.uid)
            )
        )

    def _missing(self, work: Work) -> str:
        return f"{len(work.pending)} of {work.job.spec.tasks} tasks were not there"

    def _idle(self, work: Work) -> None:
        work.attempt = None
        work.started = work.ending = False

    def _end(self, work: Work) -> None:
        """The others can't go on. What saves in an orderly stop is left to it."""
        for mate in self.fleet.placements.of_job(work.job.uid):
            if not mate.stopping:
                self.fleet.placements.stop(mate)

    def check_startable(self, work: Work) -> str:
        """Why nothing of the gang may be started now; empty: all that is pending may. Asked only
        when every task that may be somewhere is located."""
        if (
            not work.ending
            and work.pending
            and (
                work.started
                or any(p.stage == "saving" for p in self.fleet.placements.of_job(work.job.uid))
            )
        ):
            # A task of a running gang is nowhere, perhaps since before a takeover.
            work.ending = True
            self._end(work)
        if not work.ending:
            return ""
        if self.fleet.placements.of_job(work.job.uid):
            return "tasks of an earlier attempt are still there"
        self._idle(work)
        return ""

    def phase(self, work: Work) -> str:
        """The gang's phase by name."""
        if not self.fleet.placements.of_job(work.job.uid):
            return "idle"
        return "ending" if work.ending else "running" if work.started else "placed"

    # --- stopping ------------------------------------------------------------------------

    def stop(self, placement: Placement, grace_s: float | None = None) -> None:
        """Stop a task, and with it its whole gang if it is of one. With time to save only if all
        can be told at once: else the save fails, and the time is lost too."""
        work = self.work.get(placement.task.job)
        if work is None or not work.job.spec.gang:
            self.fleet.placements.stop(
                placement, stop_grace_s(placement) if grace_s is None else grace_s
            )
            return
        members = self.fleet.placements.of_job(work.job.uid)
        all_told = len(members) == work.job.spec.tasks and all(
            not m.machine.suspected
            and m.machine.addr
            and not m.machine.do_open
            and self.fleet.silent_s(m.machine)
            < 2.5 * self.context.platform.settings.workers.report_s
            for m in members
        )
        work.ending = True
        for member in members:
            if not member.stopping:
                self.fleet.placements.stop(member, stop_grace_s(member) if all_told else 0.0)

    def stop_cost_s(self, placement: Placement) -> float:
        """What stopping it costs, in seconds of work; of a gang all its tasks' part."""
        now = self.context.now
        if placement.job is None or not placement.job.spec.gang:
            return loss(placement, now)
        return sum(loss(mate, now) for mate in self.fleet.placements.of_job(placement.task.job))

    def size(self, work: Work) -> Size:
        """Of all that is pending of it, less one task."""
        return work.job.size.times(len(work.pending) - 1)

    def most_in_zone(self, work: Work, zone: str) -> float:
        """How many of the tasks that are pending may go to a zone."""
        spec = work.job.spec
        if spec.spread:
            return (spec.tasks + 1) // 2 - work.zones.get(zone, 0)
        if spec.together and any(n for z, n in work.zones.items() if z != zone):
            return 0
        return math.inf
