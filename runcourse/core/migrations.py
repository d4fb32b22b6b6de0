"""Moves of running tasks to other machines: reservation, orderly stop, proof that it ended, start.

A move reserves room on the target, so that nothing else takes it, and stops the task as a drain
does. Once the attempt has ended, by the same proof as for any attempt, the task waits like any
other and is started first, on the target if it may still go there. A task is therefore never in
two places, and a failure at any step leaves it running or waiting: the reservation is released,
and the scheduler places the task wherever it can. No part of a move is stored; a new owner finds
the task either running or on no machine.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from .authority import Authority
from .context import Context
from .ids import LONG_AGO, Instant, JobId, ShareNo, TaskId, later
from .machine import Machine, Placement
from .machines import Fleet
from .placement_policy import Candidate, MoveProposal, PlacementPolicy
from .quota import Quota
from .shares import OwnedShare, Shares
from .store import Store
from .turn import Turn, UnmetDemand
from .versions import Versions
from .work import Work, may_move_to, permits, stop_grace_s, zone_allows_task

MIN_REPLICAS = 2  # a service with fewer cannot spare one while it moves
MIN_RUNTIME_S = 30.0  # a task that has run for less is not moved
STOP_MARGIN_S = 15.0  # a stopped task must have ended within its time to save plus this
START_TIMEOUT_S = 5.0  # from the end of the old attempt; after that, the move is given up
OBSERVE_INTERVAL_S = 1.0  # between two observations of all machines owned here
# The interval lengthens where more machines are owned, so that no more are observed per second.
OBSERVED_MACHINES_PER_S = 500


class Migration:
    """One move of a task to another machine, under way."""

    __slots__ = ("deadline", "placement", "proposal", "stopped", "target")

    def __init__(self, proposal: MoveProposal, deadline: Instant) -> None:
        self.proposal = proposal
        self.placement = proposal.placement
        self.target = proposal.target
        self.deadline = deadline
        self.stopped = False  # the attempt has ended, and the task is on no machine


class Migrations:
    """Begins the moves of tasks that the policy proposes; completes each or gives it up."""

    def __init__(
        self,
        context: Context,
        store: Store,
        authority: Authority,
        versions: Versions,
        shares: Shares,
        fleet: Fleet,
        quota: Quota,
        work: Mapping[JobId, Work],
        unmet: Mapping[ShareNo, list[UnmetDemand]],
        policy: PlacementPolicy,
    ) -> None:
        self.context = context
        self.store = store
        self.authority = authority
        self.versions = versions
        self.shares = shares
        self.fleet = fleet
        self.quota = quota
        self.work = work
        self.unmet = unmet
        self.policy = policy
        self.counts = {"begun": 0, "completed": 0, "given up": 0, "dry run": 0}
        self._moves: dict[TaskId, Migration] = {}
        self._observed_at = LONG_AGO

    def status(self) -> dict[str, Any]:
        """Returns the state of the policy and the moves for operators; empty without a policy."""
        if not self.policy.active:
            return {}
        under_way = [
            {
                "task": str(task),
                "from": move.placement.machine.id,
                "to": move.target.id,
                "reason": move.proposal.reason,
                "stopped": move.stopped,
            }
            for task, move in self._moves.items()
        ]
        return {
            **self.policy.status(self.context.now),
            "moves": dict(self.counts),
            "under_way": under_way,
        }

    def tick(self) -> None:
        """Observes the machines, gives up moves that cannot go on, and plans new ones."""
        if not self.policy.active and not self._moves:
            return
        now = self.context.now
        if now >= self._observed_at + self._observe_interval_s():
            self._observed_at = now
            self.policy.observe(self.fleet.machines.values(), self.work.values(), now)
        for task, move in list(self._moves.items()):
            reason = self._abort_reason(task, move)
            if reason:
                self._give_up(task, move, reason)
        if self.policy.rebalances and self._moves_allowed():
            for owned_share in self.shares.owned.values():
                self._plan(owned_share)

    def _observe_interval_s(self) -> float:
        return max(OBSERVE_INTERVAL_S, len(self.fleet.machines) / OBSERVED_MACHINES_PER_S)

    def _moves_allowed(self) -> bool:
        """Returns whether moves may begin.

        None begin in an outage of the state service, while this controller's authority rests on
        grants of a majority of its peers alone, or before it is recorded that all controllers run
        a version that reads finished tasks stored in several values.
        """
        return (
            self.context.now < self.authority.until
            and not self.store.failing
            and self.versions.all_read_parts
        )

    def _abort_reason(self, task: TaskId, move: Migration) -> str:
        """Returns why the move cannot go on; empty if it can."""
        work = self.work.get(task.job)
        if work is None:
            return "its job has ended or is owned elsewhere"
        if self.context.now >= move.deadline:
            return "it took too long"
        target = move.target
        if self.fleet.machines.get(target.id) is not target or target.moving:
            return "its target was removed or is changing its share"
        if target.record.leaving or target.notice_until is not None:
            return "its target is being returned or is under notice"
        return ""

    # Planning

    def _plan(self, owned_share: OwnedShare) -> None:
        """Begins a move among a random sample of the share's machines, if none is under way."""
        share, now = owned_share.number, self.context.now
        if (
            not owned_share.settled
            or not self.shares.may_command(share)
            or self.unmet.get(share)
            or any(move.placement.machine.share is owned_share for move in self._moves.values())
            or not self.policy.may_plan(share, now)
        ):
            return
        machines = [m for m in self.fleet.of_share(share) if self.fleet.usable(m)]
        size = self.policy.sample_size()
        if len(machines) > size:
            machines = self.context.rng.sample(machines, size)
        candidates = [
            Candidate(placement, targets)
            for machine in machines
            for placement in machine.placements.values()
            if self._is_movable(placement) and (targets := self._find_targets(placement, machines))
        ]
        proposal = self.policy.propose(share, candidates, now)
        if proposal is not None:
            self._begin(proposal)

    def _is_movable(self, placement: Placement) -> bool:
        """Returns whether the task may be moved.

        Only work that saves its progress, and replicas of services of which all replicas run,
        may be moved.
        """
        job, now = placement.job, self.context.now
        work = self.work.get(placement.task.job)
        if job is None or work is None or job.final or job.spec.gang:
            return False
        if placement.stage != "running" or placement.stopping or not placement.seen:
            return False
        if now - placement.ran_since < MIN_RUNTIME_S or placement.task in self._moves:
            return False
        if job.spec.service:
            if not self._can_spare_one(work):
                return False
        elif job.spec.checkpoint_s <= 0 or self._overdue(work):
            return False
        return self.policy.may_move(placement, now)

    def _can_spare_one(self, work: Work) -> bool:
        """Returns whether all replicas run, there are several, and none of them is being moved."""
        uid = work.job.uid
        return (
            work.job.spec.tasks >= MIN_REPLICAS
            and not work.pending
            and self.fleet.placements.running_count(uid) >= work.job.spec.tasks
            and not any(task.job == uid for task in self._moves)
        )

    def _overdue(self, work: Work) -> bool:
        spec, now = work.job.spec, self.context.now
        past_deadline = spec.deadline_s is not None and now > work.job.submitted + spec.deadline_s
        return past_deadline or now < work.prioritised_until

    def _find_targets(self, placement: Placement, machines: Iterable[Machine]) -> list[Machine]:
        """Returns the machines where the task may go once this attempt has ended."""
        job = placement.job
        work = self.work[placement.task.job]
        assert job is not None
        current = placement.machine
        return [
            m
            for m in machines
            if m is not current
            and placement.size.fits(m.room)
            and permits(job, m)
            and may_move_to(work, current.record.zone, m.record.zone)
            and (not job.spec.service or job.spec.image in m.images)
            and not m.holds(placement.task)
        ]

    # Execution

    def _begin(self, proposal: MoveProposal) -> None:
        placement, target = proposal.placement, proposal.target
        text = (
            f"{placement.task} from {placement.machine.id} to {target.id}: {proposal.reason},"
            f" {proposal.gain_s:.0f} s to gain"
        )
        # A dry run keeps to the same bounds; otherwise it would log moves that cannot occur.
        self.policy.record_move(placement.task, placement.machine.share.number, self.context.now)
        if self.policy.dry_run:
            self.counts["dry run"] += 1
            self.context.log("info", f"would move {text}")
            return
        self.counts["begun"] += 1
        self.context.log("info", f"moving {text}")
        grace_s = stop_grace_s(placement)
        deadline = later(self.context.now, grace_s + STOP_MARGIN_S)
        self._moves[placement.task] = Migration(proposal, deadline)
        target.reserve(placement.task, placement.size)
        self.fleet.placements.stop(placement, grace_s)

    def attempt_ended(self, placement: Placement, reason: str) -> None:
        """Lets a moved task start on its target, if the attempt that ended was being moved."""
        move = self._moves.get(placement.task)
        if move is None or move.placement is not placement:
            return
        if placement.task in self.fleet.placements.by_task:
            self._give_up(placement.task, move, reason)
            return
        move.stopped = True
        move.deadline = later(self.context.now, START_TIMEOUT_S)

    def serve(self, turn: Turn) -> None:
        """Starts the moved tasks of this share whose attempts have ended, before all others."""
        for task, move in list(self._moves.items()):
            if not move.stopped or move.target.share is not turn.owned_share:
                continue
            work = self.work.get(task.job)
            if work is None or task.number not in work.pending:
                self._give_up(task, move, "the task is not waiting any more")
                continue
            # The reservation kept the room until now. From here the task is checked like any other.
            move.target.unreserve(task)
            if self._can_start(turn, work, task, move.target):
                del self._moves[task]
                self.counts["completed"] += 1
                attempt = turn.owned_share.next_attempt()
                self.fleet.placements.place(work.job, task.number, move.target, attempt)
            else:
                self._give_up(task, move, "its target can't take it")

    def _can_start(self, turn: Turn, work: Work, task: TaskId, target: Machine) -> bool:
        job = work.job
        return (
            not job.final
            and not work.fails_everywhere
            and target.id not in turn.claimed
            and turn.reserved.get(target.id, job.uid) == job.uid
            and self.fleet.usable(target)
            and job.size.fits(target.room)
            and permits(job, target)
            and zone_allows_task(work, target.record.zone)
            and not target.holds(task)
            and self.quota.allows(job, turn.unlocated_of(job.spec.team))
        )

    def _give_up(self, task: TaskId, move: Migration, reason: str) -> None:
        del self._moves[task]
        move.target.unreserve(task)
        self.counts["given up"] += 1
        self.context.log("info", f"move of {task} to {move.target.id} given up: {reason}")
