"""The placements of tasks on the machines owned here, and their indexes.

A task is *placed* from the moment an order to start it may leave until it is certain that
it is not on that machine and can't start there any more. Certainty comes from one of: the
worker says the attempt ended; a newer session; the machine is gone from the cloud; its
lease has surely run out; or a message that shows a fencing token raised after the last
order and does not list the attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .context import Context
from .ids import Attempt, JobId, MachineId, TaskId
from .jobs import Job
from .machine import RUNNING, Machine, Placement
from .running_counts import RunningPages
from .types import TaskReport


class PlacementObserver(Protocol):
    """Who hears of changes to the placements."""

    def placement_added(self, placement: Placement) -> None:
        """The placement counts from now on."""

    def placement_removed(self, placement: Placement) -> None:
        """The placement counts no longer."""

    def stop_requested(self, placement: Placement) -> None:
        """The task was told to stop."""

    def attempt_ended(self, placement: Placement, why: str) -> None:
        """The attempt is over for the reason given."""

    def running_reported(self, placement: Placement) -> None:
        """The task was reported as running."""

    def capacity_changed(self) -> None:
        """Something changed that may make room for waiting tasks."""


class PlacementTable:
    """All placements, by machine, job and task."""

    def __init__(
        self, context: Context, observer: PlacementObserver, wake: Callable[[MachineId], None]
    ) -> None:
        self.context = context
        self.observer = observer
        self._wake = wake  # the worker has to be told something
        self.by_task: dict[TaskId, list[Placement]] = {}  # active ones
        self._by_job: dict[JobId, dict[Placement, None]] = {}  # active ones
        self._running: dict[JobId, int] = {}
        self._running_changed: dict[JobId, None] = {}
        self.running_pages = RunningPages(self._running, self._running_changed)

    # --- lookups -------------------------------------------------------------------------

    def running_count(self, uid: JobId) -> int:
        """How many tasks of the job run."""
        return self._running.get(uid, 0)

    def of_job(self, uid: JobId) -> list[Placement]:
        """Its active placements."""
        return list(self._by_job.get(uid, ()))

    # --- changes -------------------------------------------------------------------------

    def place(self, job: Job, index: int, machine: Machine, attempt: Attempt) -> Placement:
        """Decide that the task goes to the machine: the worker will be told."""
        task = TaskId(job.uid, index)
        placement = Placement(task, attempt, machine, job, self.context.now)
        self.insert(placement)
        self._wake(machine.id)
        return placement

    def insert(self, placement: Placement) -> None:
        """Add a placement that was decided or found."""
        machine = placement.machine
        machine.placements[(placement.task, placement.attempt)] = placement
        machine.empty_since = None
        self._activate(placement)

    def _activate(self, placement: Placement) -> None:
        placement.machine.use(placement.machine.used.plus(placement.size))
        placement.machine.count_rank(placement, 1)
        placement.machine.fetches = None
        self._by_job.setdefault(placement.task.job, {})[placement] = None
        if placement.stage in RUNNING:
            self._count_running(placement.task.job, 1)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.add_lasting(placement.size.cpus)
        self.by_task.setdefault(placement.task, []).append(placement)
        self.observer.placement_added(placement)

    def _deactivate(self, placement: Placement, stage: str) -> None:
        placement.machine.use(placement.machine.used.minus(placement.size))
        placement.machine.count_rank(placement, -1)
        placement.machine.fetches = None
        held = self._by_job[placement.task.job]
        del held[placement]
        if not held:
            del self._by_job[placement.task.job]
        if stage in RUNNING:
            self._count_running(placement.task.job, -1)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.add_lasting(-placement.size.cpus)
        others = self.by_task[placement.task]
        others.remove(placement)
        if not others:
            del self.by_task[placement.task]
        self.observer.placement_removed(placement)

    def _count_running(self, job: JobId, by: int) -> None:
        self._running_changed[job] = None
        self._running[job] = self._running.get(job, 0) + by
        if not self._running[job]:
            del self._running[job]

    def remove(self, placement: Placement, why: str) -> None:
        """The placement is over, or known to be nowhere, for the reason given."""
        machine = placement.machine
        machine.placements.pop((placement.task, placement.attempt), None)
        active, stage = placement.active, placement.stage
        if active:
            placement.stage, placement.stage_before = "ended", stage
            self._deactivate(placement, stage)
        if not machine.placements:
            machine.emptied()
            machine.empty_since = self.context.now
        if active:
            self.observer.attempt_ended(placement, why)

    def stop(self, placement: Placement, grace_s: float = 0.0) -> None:
        """Have the task stopped, with that much time to save."""
        if not placement.active or (placement.stopping and grace_s >= placement.grace_s):
            return
        placement.forced = placement.stopping  # a second order ends the saving
        if not placement.stopping:
            placement.machine.count_rank(placement, -1)
            placement.stopping = True
            placement.machine.count_rank(placement, 1)
            self.observer.stop_requested(placement)
        placement.grace_s = grace_s
        if not placement.seen and not placement.fence:
            # An order to start it may be under way, and a stop before it has no effect:
            # only a token raised now makes sure that it can't start later.
            placement.fence = placement.machine.raise_fence()
        self._wake(placement.machine.id)

    # --- what workers report -------------------------------------------------------------

    def update(self, machine: Machine, entry: TaskReport, job: Job | None) -> None:
        """Take what a report says of one task; `job` is None if it is not known yet."""
        placement = machine.placements.get((entry.task, entry.attempt))
        if placement is None:
            # Started by an earlier owner of the share.
            placement = Placement(entry.task, entry.attempt, machine, job, self.context.now)
            self.insert(placement)
            if entry.stage == "ended":
                self.observer.capacity_changed()
        if job is not None and placement.job is None:
            self._attach_job(placement, job)
        placement.seen = True
        if entry.stage != placement.stage:
            self._change_stage(placement, entry, job)

    def _attach_job(self, placement: Placement, job: Job) -> None:
        """Count the placement from now on with its size."""
        if placement.active:
            self._deactivate(placement, placement.stage)
        placement.job, placement.size = job, job.size
        if placement.active:
            self._activate(placement)

    def _change_stage(self, placement: Placement, entry: TaskReport, job: Job | None) -> None:
        machine = placement.machine
        before, placement.stage = placement.stage, entry.stage
        machine.fetches = None
        if entry.stage == "ended":
            self._ended(placement, before, entry.cause)
        elif before == "ended":
            self._activate(placement)
        elif (before in RUNNING) != (entry.stage in RUNNING):
            self._count_running(entry.task.job, 1 if entry.stage in RUNNING else -1)
        if job is not None and (entry.stage in ("waiting", "running") or entry.cause == "done"):
            machine.remember_image(job)
            if entry.stage != "waiting":
                if before != "running":
                    placement.ran_since = self.context.now
                self.observer.running_reported(placement)

    def _ended(self, placement: Placement, before: str, cause: str) -> None:
        placement.cause = cause
        if before != "ended":
            placement.stage_before = before
            self._deactivate(placement, before)
            self.observer.attempt_ended(placement, cause)
