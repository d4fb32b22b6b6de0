"""The placements of tasks on the machines owned here, and their indexes.

A task is *placed* from the moment an order to start it may be sent until it is certain that
the attempt is not on that machine and cannot start there any more. Any of these proves it: the
worker reports that the attempt ended; the worker begins a newer session; the cloud no longer
lists the machine; the lease of the worker has certainly expired; or a message shows a fencing
token raised after the last order and does not list the attempt.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol

from .context import Context
from .ids import Attempt, JobId, MachineId, TaskId
from .jobs import Job
from .machine import RUNNING_STAGES, Machine, Placement
from .running_counts import RunningPages
from .types import TaskReport


class PlacementObserver(Protocol):
    """Receives notifications of changes to the placements."""

    def placement_added(self, placement: Placement) -> None:
        """Called when a placement begins to take room on its machine."""

    def placement_removed(self, placement: Placement) -> None:
        """Called when a placement no longer takes room on its machine."""

    def stop_requested(self, placement: Placement) -> None:
        """Called when a stop of the task was requested."""

    def attempt_ended(self, placement: Placement, reason: str) -> None:
        """Called when the attempt has ended, with the reason."""

    def running_reported(self, placement: Placement) -> None:
        """Called when the worker reported the task as running or as done."""

    def capacity_changed(self) -> None:
        """Called when a change may have made room for waiting tasks."""


class PlacementTable:
    """All placements, indexed by machine, job and task."""

    def __init__(
        self,
        context: Context,
        observer: PlacementObserver,
        request_command: Callable[[MachineId], None],
    ) -> None:
        self.context = context
        self.observer = observer
        self._request_command = request_command  # sends a command to the worker soon
        self.by_task: dict[TaskId, list[Placement]] = {}  # active placements
        self._by_job: dict[JobId, dict[Placement, None]] = {}  # active placements
        self._running: dict[JobId, int] = {}
        self._running_changed: dict[JobId, None] = {}
        self.running_pages = RunningPages(self._running, self._running_changed)

    # Lookups

    def running_count(self, uid: JobId) -> int:
        """Returns how many tasks of the job run."""
        return self._running.get(uid, 0)

    def of_job(self, uid: JobId) -> list[Placement]:
        """Returns the active placements of the job."""
        return list(self._by_job.get(uid, ()))

    # Changes

    def place(self, job: Job, index: int, machine: Machine, attempt: Attempt) -> Placement:
        """Places the task on the machine and has its worker ordered to start it."""
        task = TaskId(job.uid, index)
        placement = Placement(task, attempt, machine, job, self.context.now)
        self.insert(placement)
        self._request_command(machine.id)
        return placement

    def insert(self, placement: Placement) -> None:
        """Adds a placement that was decided here or found in a report."""
        machine = placement.machine
        machine.placements[(placement.task, placement.attempt)] = placement
        machine.empty_since = None
        self._activate(placement)

    def _activate(self, placement: Placement) -> None:
        placement.machine.set_used(placement.machine.used.plus(placement.size))
        placement.machine.count_rank(placement, 1)
        placement.machine.fetches = None
        self._by_job.setdefault(placement.task.job, {})[placement] = None
        if placement.stage in RUNNING_STAGES:
            self._count_running(placement.task.job, 1)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.add_service_cpus(placement.size.cpus)
        self.by_task.setdefault(placement.task, []).append(placement)
        self.observer.placement_added(placement)

    def _deactivate(self, placement: Placement, stage: str) -> None:
        placement.machine.set_used(placement.machine.used.minus(placement.size))
        placement.machine.count_rank(placement, -1)
        placement.machine.fetches = None
        job_placements = self._by_job[placement.task.job]
        del job_placements[placement]
        if not job_placements:
            del self._by_job[placement.task.job]
        if stage in RUNNING_STAGES:
            self._count_running(placement.task.job, -1)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.add_service_cpus(-placement.size.cpus)
        task_placements = self.by_task[placement.task]
        task_placements.remove(placement)
        if not task_placements:
            del self.by_task[placement.task]
        self.observer.placement_removed(placement)

    def _count_running(self, job: JobId, delta: int) -> None:
        self._running_changed[job] = None
        self._running[job] = self._running.get(job, 0) + delta
        if not self._running[job]:
            del self._running[job]

    def remove(self, placement: Placement, reason: str) -> None:
        """Removes a placement whose attempt ended or is certainly on no machine.

        `reason` is passed on to the observer.
        """
        machine = placement.machine
        machine.placements.pop((placement.task, placement.attempt), None)
        active, stage = placement.active, placement.stage
        if active:
            placement.stage, placement.stage_before = "ended", stage
            self._deactivate(placement, stage)
        if not machine.placements:
            machine.clear_usage()
            machine.empty_since = self.context.now
        if active:
            self.observer.attempt_ended(placement, reason)

    def stop(self, placement: Placement, grace_s: float = 0.0) -> None:
        """Has the task stopped, with `grace_s` seconds to save its progress.

        A second call with less time cuts the saving short.
        """
        if not placement.active or (placement.stopping and grace_s >= placement.grace_s):
            return
        if not placement.stopping:
            self._mark_stopping(placement)
        placement.grace_s = grace_s
        if not placement.seen and not placement.fence:
            # An order to start the task may be in flight, and a stop that arrives before it has no
            # effect: only a token raised now ensures that the task cannot start later.
            placement.fence = placement.machine.raise_fence()
        self._request_command(placement.machine.id)

    def _mark_stopping(self, placement: Placement) -> None:
        placement.machine.count_rank(placement, -1)
        placement.stopping = True
        placement.machine.count_rank(placement, 1)
        self.observer.stop_requested(placement)

    def mark_lost(self, machine: Machine, placements: Collection[Placement]) -> None:
        """Handles active attempts that the worker lost without an order, by a restart.

        Their start commands may arrive there once more, and the worker has forgotten which token
        fences them off. So they keep their room, and their tasks are not started elsewhere, until
        the worker shows a token raised from now on; one that it lists again is stopped.
        """
        if not placements:
            return
        fence = machine.raise_fence()
        for placement in placements:
            if not placement.stopping:
                self._mark_stopping(placement)
            placement.grace_s = 0.0
            placement.seen = False
            placement.fence = fence
        self._request_command(machine.id)

    # Reports of workers

    def update(self, machine: Machine, entry: TaskReport, job: Job | None) -> None:
        """Applies a report's entry on one task; `job` is None if it is not known yet."""
        placement = machine.placements.get((entry.task, entry.attempt))
        found = placement is None
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
        if entry.stage == "saving" and placement.job is not None and not placement.stopping:
            self._adopt_stop(placement, placement.job)
        if found:
            self._stop_older_attempts(entry.task)

    def _stop_older_attempts(self, task: TaskId) -> None:
        """Stops all active attempts of the task but the newest.

        An attempt begins only when the earlier ones have certainly ended. If one is there after
        all, a late copy of its start command reached a worker that had lost its state.
        """
        placements = self.by_task.get(task, [])
        newest = max((placement.attempt for placement in placements), default=None)
        for placement in list(placements):
            if placement.attempt != newest:
                self.context.log("warning", f"{task}: an earlier attempt is back, stopped")
                self.stop(placement)

    def _adopt_stop(self, placement: Placement, job: Job) -> None:
        """Records the stop of a task that saves its progress on the order of an earlier owner.

        From now on it counts as being stopped, with the time that its job needs to save.
        """
        self.context.log("info", f"{placement.task} saves, stopped by an earlier owner")
        self._mark_stopping(placement)
        placement.grace_s = job.spec.save_s

    def _attach_job(self, placement: Placement, job: Job) -> None:
        """Attaches the job, so that the placement counts with its size from now on."""
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
            self._end_attempt(placement, before, entry.cause)
        elif before == "ended":
            self._activate(placement)
        elif (before in RUNNING_STAGES) != (entry.stage in RUNNING_STAGES):
            self._count_running(entry.task.job, 1 if entry.stage in RUNNING_STAGES else -1)
        if job is not None and (entry.stage in ("waiting", "running") or entry.cause == "done"):
            machine.remember_image(job)
            if entry.stage != "waiting":
                if before != "running":
                    placement.ran_since = self.context.now
                self.observer.running_reported(placement)

    def _end_attempt(self, placement: Placement, before: str, cause: str) -> None:
        placement.cause = cause
        if before != "ended":
            placement.stage_before = before
            self._deactivate(placement, before)
            self.observer.attempt_ended(placement, cause)
