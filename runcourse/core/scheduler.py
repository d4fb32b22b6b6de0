"""The scheduler of a controller that owns shares.

A share is a group of teams with the machines assigned to it. One pass over the waiting jobs of one
share is called a turn.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import cache
from itertools import groupby

from .authority import Authority
from .budget import TurnBudget
from .context import Context
from .draining import Draining
from .failures import Failures
from .finishes import Finishes
from .gang_placement import GangPlacement
from .gangs import INCOMPLETE, Gangs
from .ids import FAR_FUTURE, Instant, JobId, ShareNo, Team
from .image_supply import ImageSupply
from .jobs import Job, Jobs
from .machine import Machine, Placement
from .machines import MAX_LISTED_TASKS, Fleet
from .migrations import Migrations
from .placement import Size
from .placement_policy import PlacementPolicy
from .preemption import Preemption
from .queue_order import QueueOrder
from .quota import Quota
from .scoring import Scoring
from .shares import OwnedShare, Shares
from .store import Store
from .task_placement import TaskPlacement
from .turn import Turn, UnmetDemand
from .unlocated import UnlocatedTasks
from .versions import Versions
from .work import Work, holds_or_fetches_image

TURN_RETRY_S = 0.25  # from the end of the minimum gap to the next turn, if tasks still lack room
MIN_MACHINE_PAID_S = 60.0  # the shortest time for which a machine is paid
QUEUED_JOBS_PER_S = 5_000.0  # each waiting job delays the next turn by 1 / this, in seconds
MAX_TURN_GAP_S = 0.25  # bounds on the gap between turns, which grows with the last turn's cost
MIN_TURN_GAP_S = 0.02
PROBE_RETRY_S = 1.0  # between checks of a failing job whose trial (`_probe`) runs or lacks room
MACHINE_FULL_BACKOFF_S = 1.0  # after a worker refused a start as full or busy
UNKNOWN_TASK_BACKOFF_S = 1.0  # after a worker refused a start as unknown


class Scheduler:
    """Follows changes of jobs and placements, and places waiting tasks on machines."""

    def __init__(
        self,
        context: Context,
        store: Store,
        shares: Shares,
        jobs: Jobs,
        quota: Quota,
        policy: PlacementPolicy,
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.jobs = jobs
        self.quota = quota
        self.work: dict[JobId, Work] = {}
        # By share: the work of open jobs that may have tasks to start, in the order of opening.
        self._pending: dict[ShareNo, dict[JobId, Work]] = {}
        self.unmet: dict[ShareNo, list[UnmetDemand]] = {}
        self.order = QueueOrder(context, quota)
        self._dirty = True  # a job, placement or machine changed since the last turn
        self._next_turn = Instant(0.0)
        self._backoff_ends_at = FAR_FUTURE  # when the next backoff ends; FAR_FUTURE: none
        self.finishes = Finishes(context, store, shares)
        self.budget = TurnBudget(context)
        self.policy = policy
        self.scoring = Scoring(context, policy)
        self.image_supply = ImageSupply(context)
        self._queued_jobs = 0  # jobs that waited in the newest turn

    def connect(self, fleet: Fleet, authority: Authority, versions: Versions) -> None:
        """Completes the scheduler with modules that need it, or each other, for their construction.

        The fleet reports changes of placements to the scheduler, which in turn changes placements.
        """
        self.fleet = fleet
        self.failures = Failures(self.context, fleet, self.capacity_changed)
        self.gangs = Gangs(self.context, fleet, self.work)
        self.preemption = Preemption(
            self.context, fleet, self.quota, self.order, self.budget, self.work, self.gangs
        )
        self.gang_placement = GangPlacement(
            self.context,
            self.shares,
            fleet,
            self.quota,
            self.gangs,
            self.preemption,
            self.budget,
            self.scoring.score,
            self.order.wait_limits_s,
        )
        self.unlocated = UnlocatedTasks(self.context, self.shares, fleet, self.work)
        self.placement = TaskPlacement(
            self.context,
            fleet,
            self.quota,
            self.order,
            self.budget,
            self.scoring,
            self.preemption,
            self.gang_placement,
            self.failures,
        )
        self.draining = Draining(self.context, self.shares, fleet, self.work, self.gangs)
        self.migrations = Migrations(
            self.context,
            self.store,
            authority,
            versions,
            self.shares,
            fleet,
            self.quota,
            self.work,
            self.unmet,
            self.policy,
        )

    # --- jobs ----------------------------------------------------------------------------

    def job_changed(self, job: Job) -> None:
        """Handles a new job or a change of a job's stage."""
        share = self.shares.of_team(Team(job.spec.team))
        if job.stage == "cancelled":
            self.unlocated.note_cancellation(job)
        if share not in self.shares.owned:
            return
        if job.final:
            self._close(job)
        elif job.uid not in self.work:
            self._open(job, share)

    def add_share(self, owned_share: OwnedShare) -> None:
        """Adds the open jobs of a share that is owned here from now on."""
        self.policy.share_gained(owned_share, self.context.now)
        for job in self.jobs.open_jobs():
            if self.shares.of_team(Team(job.spec.team)) == owned_share.number:
                self._open(job, owned_share.number)

    def remove_share(self, share: ShareNo) -> None:
        """Drops the work of a share that is not owned here any more."""
        self.policy.share_lost(share)
        for uid in [u for u, w in self.work.items() if w.share == share]:
            del self.work[uid]
            self.finishes.drop(uid)
        self._pending.pop(share, None)
        self.unmet.pop(share, None)

    def _open(self, job: Job, share: ShareNo) -> None:
        work = Work(job, share)
        placed = {p.task.number for p in self.fleet.placements.of_job(job.uid)}
        # Converted to digits once: shifting a large bit set for each of 100,000 tasks takes
        # seconds.
        done = f"{job.done_bits:b}".rjust(job.spec.tasks, "0")
        work.pending = {
            job.spec.tasks - 1 - n: None
            for n, bit in enumerate(done)
            if bit == "0" and job.spec.tasks - 1 - n not in placed
        }
        self.enqueue(work)
        if job.spec.gang:
            for placement in self.fleet.placements.of_job(job.uid):
                self.gangs.placement_added(work, placement)
        self._dirty = True

    def enqueue(self, work: Work) -> None:
        """Adds the work of an open job in an owned share, to have its pending tasks started."""
        self.work[work.job.uid] = work
        self._pending.setdefault(work.share, {})[work.job.uid] = work

    def _close(self, job: Job) -> None:
        work = self.work.pop(job.uid, None)
        if work is not None:
            self._pending[work.share].pop(job.uid, None)
        self.finishes.drop(job.uid)
        for placement in self.fleet.placements.of_job(job.uid):
            self.fleet.placements.stop(placement)
        self._dirty = True

    # --- changes of placements -----------------------------------------------------------

    def placement_added(self, placement: Placement) -> None:
        """Handles a task that was placed or found on a machine."""
        self.quota.add(placement)
        if placement.job is not None and not placement.job.spec.service:
            self.placement.array_task_placed(placement.machine.share.number)
        work = self.work.get(placement.task.job)
        if work is not None:
            zone = placement.machine.record.zone
            work.zones[zone] = work.zones.get(zone, 0) + 1
            work.pending.pop(placement.task.number, None)
            if work.job.spec.gang:
                self.gangs.placement_added(work, placement)
        elif placement.job is not None and placement.job.final:
            self.fleet.placements.stop(placement)

    def placement_removed(self, placement: Placement) -> None:
        """Handles a placement that no longer takes room."""
        self.quota.remove(placement)
        work = self.work.get(placement.task.job)
        if work is not None:
            zone = placement.machine.record.zone
            work.zones[zone] = work.zones.get(zone, 0) - 1

    def stop_requested(self, placement: Placement) -> None:
        """Handles an order to stop a task."""
        self.quota.note_stopping(placement)
        work = self.work.get(placement.task.job)
        if work is not None and work.job.spec.gang:
            self.gangs.stop_requested(work)

    def attempt_ended(self, placement: Placement, reason: str) -> None:
        """Applies an attempt's end reason, and queues its task again unless it is done."""
        self._dirty = True
        self.migrations.attempt_ended(placement, reason)
        work = self.work.get(placement.task.job)
        if work is None:
            return
        index = placement.task.number
        machine = placement.machine
        now = self.context.now
        if reason == "done" and not work.job.spec.service:
            # If one task of a gang is done, all of them are.
            for number in range(work.job.spec.tasks) if work.job.spec.gang else (index,):
                self.finishes.add(work, number)
            machine.last_failures.clear()
            machine.last_success_at = now
            self.policy.record_completion(placement, now - placement.ran_since)
            self.failures.note_success(work)
        elif reason == "error":
            self.failures.record_failure(work, placement)
        elif reason in ("full", "busy"):
            machine.full_until = Instant(now + MACHINE_FULL_BACKOFF_S)
        elif reason == "unknown":
            work.not_before = Instant(now + UNKNOWN_TASK_BACKOFF_S)
        if (
            not work.unstored_done_bits >> index & 1
            and not work.job.is_done(index)
            and placement.task not in self.fleet.placements.by_task
        ):
            work.pending[index] = None
            self._pending[work.share][work.job.uid] = work
            work.attempted.add(index)
            if work.job.spec.gang:
                self.gangs.attempt_ended(work, placement, reason)

    def running_reported(self, placement: Placement) -> None:
        """Handles a task that is reported as running."""
        work = self.work.get(placement.task.job)
        if work is not None and work.job.spec.gang:
            self.gangs.running_reported(work)

    def capacity_changed(self) -> None:
        """Requests a turn soon, since something changed that may make room."""
        self._dirty = True

    # --- turns ---------------------------------------------------------------------------

    def run_turns(self) -> None:
        """Takes a turn over each owned share, if anything changed since the last or a retry is due.

        The minimum gap between turns grows with the cost of the last pass over all owned shares.
        """
        now = self.context.now
        # Time alone may make room: machines become usable again as quarantines and backoffs end.
        due = self._dirty or (any(self.unmet.values()) and now >= self._next_turn + TURN_RETRY_S)
        if not (due or now >= self._backoff_ends_at) or now < self._next_turn:
            return
        self._dirty = False
        self._backoff_ends_at = FAR_FUTURE
        self._queued_jobs = 0
        self.budget.begin_turn()
        self.preemption.begin_turn()
        for owned_share in list(self.shares.owned.values()):
            if self.shares.may_command(owned_share.number):
                self._run_turn(owned_share)
            else:
                self._dirty = True
        # The cost of a turn delays the next one, so that a long queue is processed less often.
        cost_s = self.budget.cost_s() + self._queued_jobs / QUEUED_JOBS_PER_S
        self._next_turn = Instant(now + min(MIN_TURN_GAP_S + cost_s, MAX_TURN_GAP_S))

    def _run_turn(self, owned_share: OwnedShare) -> None:
        waiting, failing, unsettled = self._classify_pending(owned_share)
        if not waiting and not failing:
            self.unmet[owned_share.number] = []
            return
        self._queued_jobs += len(waiting)
        if not self._has_attempt_numbers(owned_share, waiting):
            self._dirty = True
            return
        urgency = {work.job.uid: self.order.urgency(work) for work in waiting}
        waiting.sort(key=lambda work: urgency[work.job.uid])
        turn = self._prepare_turn(owned_share, waiting, failing, unsettled)
        plentiful = self.image_supply.plentiful(
            owned_share, waiting, turn.usable, turn.machines_with_room
        )
        self.migrations.serve(turn)
        self.placement.serve_overdue(turn, waiting)
        # One priority at a time: jobs with a plentiful image leave machines without it to jobs of
        # the same priority, and must not preempt those there in the same turn.
        for _, works in groupby(waiting, key=lambda work: urgency[work.job.uid][:2]):
            self._serve_priority(turn, works, plentiful)
        self.unmet[owned_share.number] = turn.unmet
        # Failing work comes last; no machine is hired for it, and nothing is preempted.
        for work in failing:
            self._probe(turn, work)

    def _classify_pending(
        self, owned_share: OwnedShare
    ) -> tuple[list[Work], list[Work], list[Machine]]:
        """Returns the jobs that may start tasks, those that fail on every machine, and one machine
        of each type, zone and spot or on-demand kind that may still run tasks of the share's
        earlier owner which this owner doesn't know of.

        Sets the wait reason of the jobs left out.
        """
        now = self.context.now
        waiting: list[Work] = []
        failing: list[Work] = []
        unsettled = self.unlocated.unsettled_representatives(owned_share)
        for work in self._work_with_pending_tasks(owned_share.number):
            if self.unlocated.may_be_unlocated(work.job, owned_share, unsettled):
                work.wait_reason = "share not settled"
            elif work.fails_everywhere:
                failing.append(work)
            elif now < work.not_before:
                work.wait_reason = (
                    INCOMPLETE if work.incomplete_attempts else "its start was refused"
                )
                self._backoff_ends_at = min(self._backoff_ends_at, work.not_before)
            else:
                waiting.append(work)
        return waiting, failing, unsettled

    def _work_with_pending_tasks(self, share: ShareNo) -> list[Work]:
        """Returns the share's work that has pending tasks, and drops the rest from the index."""
        pending = self._pending.get(share, {})
        for uid in [uid for uid, work in pending.items() if not work.pending]:
            del pending[uid]
        return list(pending.values())

    def _has_attempt_numbers(self, owned_share: OwnedShare, waiting: list[Work]) -> bool:
        """Returns whether the share has attempt numbers for all tasks that this turn may start.

        It is False only if so many tasks start before the store's revision advances that the
        attempt counter would overflow into the epoch: the epochs reached must not exceed the
        newest stored revision. That takes millions of starts.
        """
        pending = sum(len(work.pending) for work in waiting)
        max_starts = MAX_LISTED_TASKS * len(self.fleet.of_share(owned_share.number))
        return owned_share.has_attempt_numbers(min(pending, max_starts), self.store.applied)

    def _prepare_turn(
        self,
        owned_share: OwnedShare,
        waiting: list[Work],
        failing: list[Work],
        unsettled: list[Machine],
    ) -> Turn:
        machines = self.fleet.of_share(owned_share.number)
        self.scoring.begin_turn(machines.service_cpus)

        @cache
        def usable() -> list[Machine]:
            return [m for m in machines if self.fleet.usable(m)]

        sizes = (work.job.size for work in (*waiting, *failing))
        smallest = Size(*map(min, zip(*sizes, strict=True)))
        # Most machines of a busy fleet are full: whether those are usable is computed only when
        # tasks might be preempted there.
        machines_with_room = [m for m in machines.with_room(smallest) if self.fleet.usable(m)]
        return Turn(
            owned_share,
            usable,
            machines_with_room,
            self.unlocated.by_team(owned_share, unsettled),
            self.gang_placement.reserve(waiting, usable),
        )

    def _serve_priority(self, turn: Turn, works: Iterable[Work], plentiful: frozenset[str]) -> None:
        """Serves work of one priority.

        Array tasks whose image is plentiful (see `ImageSupply.plentiful`) are first placed, without
        preemption, only on machines that hold or fetch it. Those left are placed after all other
        work of the priority, on any machine.
        """
        deferred: list[Work] = []
        for work in works:
            spec = work.job.spec
            if spec.image in plentiful and not spec.service and not spec.gang:
                deferred.append(work)
                holders = [
                    m for m in turn.machines_with_room if holds_or_fetches_image(spec.image, m)
                ]
                self.placement.serve(turn, work, holders, may_preempt=False)
            else:
                self.placement.serve_with_preemption(turn, work)
        for work in deferred:
            self.placement.serve_with_preemption(turn, work)

    def _probe(self, turn: Turn, work: Work) -> None:
        """Starts a trial of a job that fails on every machine, and schedules its next check."""
        now = self.context.now
        self.placement.probe(turn, work)
        # The next check is when the next trial is due, or soon while one runs or found no room.
        next_at = now + PROBE_RETRY_S if now >= work.not_before or work.zones else work.not_before
        self._backoff_ends_at = min(self._backoff_ends_at, Instant(next_at))

    def tasks_needing_machines(self, job: Job, count: int) -> int:
        """Returns for how many of `count` waiting tasks machines are needed.

        Short array tasks without a deadline can run one after the other on the same machine, for
        at least the time for which it is paid.
        """
        spec = job.spec
        if spec.service or spec.gang or spec.deadline_s or not spec.estimate_s:
            return count
        return min(count, math.ceil(count * spec.estimate_s / MIN_MACHINE_PAID_S))

    def tick(self) -> None:
        """Runs the periodic work of the modules for unlocated tasks, draining and migrations."""
        self.unlocated.tick()
        self.draining.tick()
        self.migrations.tick()
