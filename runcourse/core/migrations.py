"""Moves of running tasks: reservation, orderly stop, proof of absence, start.

A move goes through what exists. The room on the target is reserved, so that nothing else takes it;
the task is stopped as for a drain; once its attempt is over, by the same proof as ever, it waits
like any other and is started first, on the target if it may still go there. So it is never in two
places, and whatever fails on the way leaves it running or waiting: the reservation is let go, and
the scheduler places the task wherever it can. Nothing of a move is stored; a new owner finds the
task running, or nowhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from .authority import Authority
from .context import Context
from .ids import LONG_AGO, Instant, JobId, ShareNo, TaskId, later
from .machine import Machine, Placement
from .machines import Fleet
from .policy import Candidate, MoveProposal, PlacementPolicy
from .quota import Quota
from .shares import Holding, Shares
from .store import Store
from .turn import Turn, Unmet
from .versions import Versions
from .work import Work, grace, may_move_to, permits, zone_open

MIN_RUNTIME_S = 30.0  # what runs for less is not moved
STOP_SLACK_S = 15.0  # beyond its time to save, until a stopped task must be gone
START_SLACK_S = 5.0  # in which a task that is gone must find its target usable
OBSERVE_EVERY_S = 1.0  # between two looks at all machines owned here
OBSERVED_PER_S = 500  # machines; more of them are looked at less often


class Migration:
    """One move on its way."""

    __slots__ = ("placement", "proposal", "ready", "target", "until")

    def __init__(self, proposal: MoveProposal, until: Instant) -> None:
        self.proposal = proposal
        self.placement = proposal.placement
        self.target = proposal.target
        self.until = until
        self.ready = False  # the attempt is over: the task is nowhere


class Migrations:
    """Begins the moves that the policy proposes, and carries each to an end."""

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
        unmet: Mapping[ShareNo, list[Unmet]],
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
        """What operators may see."""
        if not self.policy.active:
            return {}
        under_way = [
            {
                "task": str(task),
                "from": move.placement.machine.id,
                "to": move.target.id,
                "reason": move.proposal.reason,
                "stopped": move.ready,
            }
            for task, move in self._moves.items()
        ]
        return {
            **self.policy.status(self.context.now),
            "moves": dict(self.counts),
            "under_way": under_way,
        }

    # --- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        """Look at the machines, give up moves that go wrong, and plan new ones."""
        if not self.policy.active and not self._moves:
            return
        now = self.context.now
        if now >= self._observed_at + self._observe_every_s():
            self._observed_at = now
            self.policy.observe(self.fleet.machines.values(), self.work.values(), now)
        for task, move in list(self._moves.items()):
            why = self._obstacle(task, move)
            if why:
                self._give_up(task, move, why)
        if self.policy.rebalances and self._may_move():
            for holding in self.shares.owned.values():
                self._plan(holding)

    def _observe_every_s(self) -> float:
        return max(OBSERVE_EVERY_S, len(self.fleet.machines) / OBSERVED_PER_S)

    def _may_move(self) -> bool:
        """Not in an outage, not on a grant of the others, not beside a former version."""
        return (
            self.context.now < self.authority.until
            and not self.store.failing
            and self.versions.all_read
        )

    def _obstacle(self, task: TaskId, move: Migration) -> str:
        """Why the move can't go on; empty if it can."""
        work = self.work.get(task.job)
        if work is None:
            return "its job is over, or owned elsewhere"
        if self.context.now >= move.until:
            return "it took too long"
        target = move.target
        if self.fleet.machines.get(target.id) is not target or target.moving:
            return "its target is gone"
        if target.record.leaving or target.notice_until is not None:
            return "its target leaves"
        return ""

    # --- planning ------------------------------------------------------------------------

    def _plan(self, holding: Holding) -> None:
        """At most one move of a share at a time, over a random sample of its machines."""
        share, now = holding.number, self.context.now
        if (
            not holding.settled
            or not self.shares.may_command(share)
            or self.unmet.get(share)
            or any(move.placement.machine.share is holding for move in self._moves.values())
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
            if self._movable(placement) and (targets := self._targets(placement, machines))
        ]
        proposal = self.policy.propose(share, candidates, now)
        if proposal is not None:
            self._begin(proposal)

    def _movable(self, placement: Placement) -> bool:
        """Work that saves its progress, and replicas of services that are wholly up."""
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
        """Are all replicas up, more than one, and none of them being moved?"""
        uid = work.job.uid
        return (
            work.job.spec.tasks >= 2
            and not work.pending
            and self.fleet.placements.running_count(uid) >= work.job.spec.tasks
            and not any(task.job == uid for task in self._moves)
        )

    def _overdue(self, work: Work) -> bool:
        spec, now = work.job.spec, self.context.now
        late = spec.deadline_s is not None and now > work.job.submitted + spec.deadline_s
        return late or now < work.aged_until

    def _targets(self, placement: Placement, machines: Iterable[Machine]) -> list[Machine]:
        """Where the rules let the task go, with this attempt gone."""
        job = placement.job
        work = self.work[placement.task.job]
        assert job is not None
        here = placement.machine
        return [
            m
            for m in machines
            if m is not here
            and placement.size.fits(m.room)
            and permits(job, m)
            and may_move_to(work, here.record.zone, m.record.zone)
            and (not job.spec.service or job.spec.image in m.images)
            and not m.holds(placement.task)
        ]

    # --- a move --------------------------------------------------------------------------

    def _begin(self, proposal: MoveProposal) -> None:
        placement, target = proposal.placement, proposal.target
        text = (
            f"{placement.task} from {placement.machine.id} to {target.id}: {proposal.reason},"
            f" {proposal.gain_s:.0f} s to gain"
        )
        # A dry run keeps to the same bounds, or its log would tell of moves that never could be.
        self.policy.record_move(placement.task, placement.machine.share.number, self.context.now)
        if self.policy.dry_run:
            self.counts["dry run"] += 1
            self.context.log("info", f"would move {text}")
            return
        self.counts["begun"] += 1
        self.context.log("info", f"moving {text}")
        grace_s = grace(placement)
        until = later(self.context.now, grace_s + STOP_SLACK_S)
        self._moves[placement.task] = Migration(proposal, until)
        target.reserve(placement.task, placement.size)
        self.fleet.placements.stop(placement, grace_s)

    def attempt_ended(self, placement: Placement, why: str) -> None:
        """An attempt is over, for sure. Is its task being moved?"""
        move = self._moves.get(placement.task)
        if move is None or move.placement is not placement:
            return
        if placement.task in self.fleet.placements.by_task:
            self._give_up(placement.task, move, why)
            return
        move.ready = True
        move.until = later(self.context.now, START_SLACK_S)

    def serve(self, turn: Turn) -> None:
        """Start the tasks of this share whose attempts are over, before all others."""
        for task, move in list(self._moves.items()):
            if not move.ready or move.target.share is not turn.holding:
                continue
            work = self.work.get(task.job)
            if work is None or task.number not in work.pending:
                self._give_up(task, move, "it is not waiting any more")
                continue
            # Until here nothing else could take the room; now the ledger decides as for any task.
            move.target.unreserve(task)
            if self._may_start(turn, work, task, move.target):
                del self._moves[task]
                self.counts["completed"] += 1
                attempt = turn.holding.next_attempt()
                self.fleet.placements.place(work.job, task.number, move.target, attempt)
            else:
                self._give_up(task, move, "its target can't take it")

    def _may_start(self, turn: Turn, work: Work, task: TaskId, target: Machine) -> bool:
        job = work.job
        return (
            not job.final
            and not work.fails_everywhere
            and target.id not in turn.claimed
            and turn.reserved.get(target.id, job.uid) == job.uid
            and self.fleet.usable(target)
            and job.size.fits(target.room)
            and permits(job, target)
            and zone_open(work, target.record.zone)
            and not target.holds(task)
            and self.quota.allows(job, turn.unlocated_of(job.spec.team))
        )

    def _give_up(self, task: TaskId, move: Migration, why: str) -> None:
        del self._moves[task]
        move.target.unreserve(task)
        self.counts["given up"] += 1
        self.context.log("info", f"move of {task} to {move.target.id} given up: {why}")
