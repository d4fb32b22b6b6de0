"""What runs where: the owner's turns over its shares, and the finishes it stores."""

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
from .machines import MOST_LISTED, Fleet
from .migrations import Migrations
from .order import QueueOrder
from .placement import Size
from .policy import PlacementPolicy
from .preemption import Preemption
from .quota import Quota
from .scoring import Scoring
from .shares import Holding, Shares
from .store import Store
from .task_placement import TaskPlacement
from .turn import Turn, UnmetDemand
from .unlocated import UnlocatedTasks
from .versions import Versions
from .work import (
    Work,
    fetches_or_holds,
)

RETRY_S = 0.25  # between turns while tasks wait for room
MACHINE_S = 60.0  # a machine is paid for so long at the least
QUEUED_PER_S = 5_000.0  # and so do jobs gone through
LONGEST_GAP_S = 0.25
TURN_GAP_S = 0.02
PROBE_AGAIN_S = 1.0


class Scheduler:
    """Watches the ledger, and fills machines with the tasks that wait."""

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
        # Work that may have tasks to start, in the order in which it was opened.
        self._pending: dict[ShareNo, dict[JobId, Work]] = {}
        self.unmet: dict[ShareNo, list[UnmetDemand]] = {}
        self.order = QueueOrder(context, quota)
        self._dirty = True
        self._next_turn = Instant(0.0)
        self._due_at = FAR_FUTURE  # when what backs off is to be looked at again
        self.finishes = Finishes(context, store, shares)
        self.budget = TurnBudget(context)
        self.policy = policy
        self.scoring = Scoring(context, policy)
        self.image_supply = ImageSupply(context)
        self._queued = 0  # jobs that waited in the newest turn

    def connect(self, fleet: Fleet, authority: Authority, versions: Versions) -> None:
        """The ledger tells the scheduler of changes, and the scheduler changes the ledger: the
        node builds the two for each other."""
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
        """A job is new, or changed its stage."""
        share = self.shares.of_team(Team(job.spec.team))
        if job.stage == "cancelled":
            self.unlocated.cancelled(job)
        if share not in self.shares.owned:
            return
        if job.final:
            self._close(job)
        elif job.uid not in self.work:
            self._open(job, share)

    def gain(self, holding: Holding) -> None:
        """The share is owned here from now on."""
        self.policy.share_gained(holding, self.context.now)
        for job in self.jobs.open_jobs():
            if self.shares.of_team(Team(job.spec.team)) == holding.number:
                self._open(job, holding.number)

    def lose(self, share: ShareNo) -> None:
        """The share is not owned here any more."""
        self.policy.share_lost(share)
        for uid in [u for u, w in self.work.items() if w.share == share]:
            del self.work[uid]
            self.finishes.drop(uid)
        self._pending.pop(share, None)
        self.unmet.pop(share, None)

    def _open(self, job: Job, share: ShareNo) -> None:
        work = Work(job, share)
        placed = {p.task.number for p in self.fleet.placements.of_job(job.uid)}
        # As digits once: shifting a large bitmap for each of 100,000 tasks takes seconds.
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
        """The job is open in an owned share, and its pending tasks wait to be started."""
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

    # --- what the ledger tells -----------------------------------------------------------

    def placement_added(self, placement: Placement) -> None:
        """A task was placed, or found on a machine."""
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
        """A placement counts no longer."""
        self.quota.remove(placement)
        work = self.work.get(placement.task.job)
        if work is not None:
            zone = placement.machine.record.zone
            work.zones[zone] = work.zones.get(zone, 0) - 1

    def stop_requested(self, placement: Placement) -> None:
        """A task was told to stop."""
        self.quota.note_stopping(placement)
        work = self.work.get(placement.task.job)
        if work is not None and work.job.spec.gang:
            self.gangs.stop_requested(work)

    def attempt_ended(self, placement: Placement, why: str) -> None:
        """The attempt is over, whatever the reason."""
        self._dirty = True
        self.migrations.attempt_ended(placement, why)
        work = self.work.get(placement.task.job)
        if work is None:
            return
        index = placement.task.number
        machine = placement.machine
        now = self.context.now
        if why == "done" and not work.job.spec.service:
            # If one task of a gang is done, all are.
            for number in range(work.job.spec.tasks) if work.job.spec.gang else (index,):
                self.finishes.add(work, number)
            machine.errors.clear()
            machine.did_well = now
            self.policy.finished(placement, now - placement.ran_since)
            self.failures.note_success(work)
        elif why == "error":
            self.failures.failed(work, placement)
        elif why in ("full", "busy"):
            machine.full_until = Instant(now + 1.0)
        elif why == "unknown":
            work.not_before = Instant(now + 1.0)
        if (
            not work.finished >> index & 1
            and not work.job.is_done(index)
            and placement.task not in self.fleet.placements.by_task
        ):
            work.pending[index] = None
            self._pending[work.share][work.job.uid] = work
            work.tried.add(index)
            if work.job.spec.gang:
                self.gangs.attempt_ended(work, placement, why)

    def running_reported(self, placement: Placement) -> None:
        """A task was reported as running."""
        work = self.work.get(placement.task.job)
        if work is not None and work.job.spec.gang:
            self.gangs.running_reported(work)

    def capacity_changed(self) -> None:
        """Something changed that may make room: take a turn soon."""
        self._dirty = True

    # --- turns ---------------------------------------------------------------------------

    def turn(self) -> None:
        """Start what can be started, if anything changed since the last turn."""
        now = self.context.now
        # Room may open by time alone, as pauses and backoffs end.
        due = self._dirty or (any(self.unmet.values()) and now >= self._next_turn + RETRY_S)
        if not (due or now >= self._due_at) or now < self._next_turn:
            return
        self._dirty = False
        self._due_at = FAR_FUTURE
        self._queued = 0
        self.budget.begin()
        self.preemption.begin()
        for holding in list(self.shares.owned.values()):
            if self.shares.may_command(holding.number):
                self._run_turn(holding)
            else:
                self._dirty = True
        # A long queue is gone through less often: what a turn costs puts the next one off.
        cost = self.budget.cost_s() + self._queued / QUEUED_PER_S
        self._next_turn = Instant(now + min(TURN_GAP_S + cost, LONGEST_GAP_S))

    def _run_turn(self, holding: Holding) -> None:
        waiting, failing, unsettled = self._waiting(holding)
        if not waiting and not failing:
            self.unmet[holding.number] = []
            return
        self._queued += len(waiting)
        if not self._has_attempts(holding, waiting):
            self._dirty = True
            return
        urgency = {work.job.uid: self.order.urgency(work) for work in waiting}
        waiting.sort(key=lambda work: urgency[work.job.uid])
        turn = self._prepare_turn(holding, waiting, failing, unsettled)
        plenty = self.image_supply.plentiful(holding, waiting, turn.usable, turn.machines_with_room)
        self.migrations.serve(turn)
        self.placement.serve_overdue(turn, waiting)
        # Class by class: what leaves a machine to others must not stop them for it at once.
        for _, together in groupby(waiting, key=lambda work: urgency[work.job.uid][:2]):
            self._serve_class(turn, together, plenty)
        self.unmet[holding.number] = turn.unmet
        # Last, never hired for, and nothing stops for them.
        for work in failing:
            self._probe(turn, work)

    def _waiting(self, holding: Holding) -> tuple[list[Work], list[Work], list[Machine]]:
        """What may be started now, what fails wherever it starts, and the machines that may hide
        tasks of the rest."""
        now = self.context.now
        waiting: list[Work] = []
        failing: list[Work] = []
        unsettled = self.unlocated.unsettled_representatives(holding)
        for work in self._work_with_pending_tasks(holding.number):
            if self.unlocated.may_hide(work.job, holding, unsettled):
                work.wait_reason = "share not settled"
            elif work.fails_everywhere:
                failing.append(work)
            elif now < work.not_before:
                work.wait_reason = (
                    INCOMPLETE if work.incomplete_attempts else "its start was refused"
                )
                self._due_at = min(self._due_at, work.not_before)
            else:
                waiting.append(work)
        return waiting, failing, unsettled

    def _work_with_pending_tasks(self, share: ShareNo) -> list[Work]:
        """Work of the share that has tasks to start; what has none is not looked at again."""
        pending = self._pending.get(share, {})
        for uid in [uid for uid, work in pending.items() if not work.pending]:
            del pending[uid]
        return list(pending.values())

    def _has_attempts(self, holding: Holding, waiting: list[Work]) -> bool:
        """False only where millions of tasks would start before anything is stored."""
        pending = sum(len(work.pending) for work in waiting)
        most = MOST_LISTED * len(self.fleet.of_share(holding.number))
        return holding.has_attempt_numbers(min(pending, most), self.store.applied)

    def _prepare_turn(
        self,
        holding: Holding,
        waiting: list[Work],
        failing: list[Work],
        unsettled: list[Machine],
    ) -> Turn:
        machines = self.fleet.of_share(holding.number)
        self.scoring.begin(machines.lasting_cpus)

        @cache
        def usable() -> list[Machine]:
            return [m for m in machines if self.fleet.usable(m)]

        sizes = (work.job.size for work in (*waiting, *failing))
        least = Size(*map(min, zip(*sizes, strict=True)))
        # Most machines of a busy fleet are full: whether they are usable is asked only when
        # something might be stopped there.
        machines_with_room = [m for m in machines.with_room(least) if self.fleet.usable(m)]
        return Turn(
            holding,
            usable,
            machines_with_room,
            self.unlocated.by_team(holding, unsettled),
            self.gang_placement.reserve(waiting, usable),
        )

    def _serve_class(self, turn: Turn, works: Iterable[Work], plenty: frozenset[str]) -> None:
        """Serve work of one class; of tasks whose image is plentiful, those that find it first."""
        put_off: list[Work] = []
        for work in works:
            spec = work.job.spec
            if spec.image in plenty and not spec.service and not spec.gang:
                put_off.append(work)
                held = [m for m in turn.machines_with_room if fetches_or_holds(spec.image, m)]
                self.placement.serve(turn, work, held, last=False)
            else:
                self.placement.serve_last(turn, work)
        for work in put_off:
            self.placement.serve_last(turn, work)

    def _probe(self, turn: Turn, work: Work) -> None:
        now = self.context.now
        self.placement.probe(turn, work)
        # Looked at again when the next try is due, or soon while one goes on or found no room.
        again = now + PROBE_AGAIN_S if now >= work.not_before or work.zones else work.not_before
        self._due_at = min(self._due_at, Instant(again))

    def tasks_needing_machines(self, job: Job, count: int) -> int:
        """For how many of the waiting tasks to have machines: those without a deadline that end
        long before a machine has paid for itself follow each other on the same ones."""
        spec = job.spec
        if spec.service or spec.gang or spec.deadline_s or not spec.estimate_s:
            return count
        return min(count, math.ceil(count * spec.estimate_s / MACHINE_S))

    def tick(self) -> None:
        """Go on with what time alone brings about."""
        self.unlocated.tick()
        self.draining.tick()
        self.migrations.tick()
