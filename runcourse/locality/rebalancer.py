"""Choice of the running task that gains most by a move, and the bounds of moves."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..core.ids import COUNTER_BITS, Instant, ShareNo, TaskId, later
from ..core.machine import Machine, Placement
from ..core.placement import MIN_CPUS
from ..core.placement_policy import Candidate, MoveProposal
from ..core.store import Bucket
from ..core.work import fetch_s, stop_grace_s
from .costs import Costs
from .load import NORMAL_SLOWNESS, Heat, LoadTracker, committed_fraction
from .settings import LocalitySettings

RESTART_S = 2.0  # assumed time from the end of a stopped task until it runs on its target
# For a move for load alone: the target's committed fraction of CPUs, the task included, must be
# lower than that of the present machine by at least this.
BALANCE_MARGIN = 0.1
SECONDS_PER_HOUR = 3600.0
# Times `cooldown-most` from the end of a task's cooldown until its moves are forgotten.
FORGET_AFTER_COOLDOWNS = 2.0
COOLDOWN_FACTOR = 2  # each cooldown of a task is this many times the one before


class _Cooldown(NamedTuple):
    """How often a task was moved, and until when it may not be moved again."""

    moves: int
    until: Instant


class MoveBounds:
    """Limits the moves per hour of each share, and moves of one task by a doubling cooldown.

    A restart or takeover does not loosen the limits: a share that is taken over begins with an
    empty budget, and tasks that an earlier owner started begin with the longest cooldown.
    """

    def __init__(self, settings: LocalitySettings) -> None:
        self.settings = settings
        self._budgets: dict[ShareNo, Bucket] = {}
        self._owned_since: dict[ShareNo, Instant] = {}
        self._cooldowns: dict[TaskId, _Cooldown] = {}

    def replace(self, settings: LocalitySettings) -> None:
        """Applies other settings; moves that were used up stay used up."""
        self.settings = settings
        for budget in self._budgets.values():
            budget.rate = settings.moves_per_hour / SECONDS_PER_HOUR
            budget.burst = float(settings.burst)
            budget.level = min(budget.level, budget.burst)

    def share_gained(self, share: ShareNo, now: Instant) -> None:
        """Begins the share with an empty budget, as it is owned here from now on."""
        budget = Bucket(self.settings.moves_per_hour / SECONDS_PER_HOUR, float(self.settings.burst))
        budget.level, budget.at = 0.0, now
        self._budgets[share] = budget
        self._owned_since[share] = now

    def share_lost(self, share: ShareNo) -> None:
        """Forgets the share, as it is not owned here any more."""
        self._budgets.pop(share, None)
        self._owned_since.pop(share, None)

    def shares(self) -> list[ShareNo]:
        """Returns the shares that have a budget here."""
        return list(self._budgets)

    def moves_left(self, share: ShareNo, now: Instant) -> float:
        """Returns the number of moves that the share may make now."""
        budget = self._budgets.get(share)
        if budget is None:
            return 0.0
        budget.refill(now)
        return budget.level

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """Returns whether the cooldown of the task is over."""
        cooldown = self._cooldowns.get(placement.task)
        if cooldown is not None:
            return now >= cooldown.until
        owned_share = placement.machine.share
        if placement.attempt >> COUNTER_BITS >= owned_share.epoch:
            return True
        # An earlier owner of the share started the task, and may have moved it as often as allowed.
        return now >= later(
            self._owned_since.get(owned_share.number, now), self.settings.cooldown_most
        )

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """Counts a move that was begun, and starts the next cooldown of the task."""
        budget = self._budgets.get(share)
        if budget is not None:
            budget.refill(now)
            budget.level -= 1.0
        moves = self._cooldowns[task].moves if task in self._cooldowns else 0
        cooldown_s = min(
            self.settings.cooldown * COOLDOWN_FACTOR**moves, self.settings.cooldown_most
        )
        self._cooldowns[task] = _Cooldown(moves + 1, later(now, cooldown_s))

    def forget_old_moves(self, now: Instant) -> None:
        """Forgets tasks that have not been moved for long."""
        oldest = now - FORGET_AFTER_COOLDOWNS * self.settings.cooldown_most
        for task in [t for t, cooldown in self._cooldowns.items() if cooldown.until < oldest]:
            del self._cooldowns[task]


class Rebalancer:
    """Proposes the move that gains most, if it is worth its cost."""

    def __init__(self, settings: LocalitySettings, costs: Costs, tracker: LoadTracker) -> None:
        self.settings = settings
        self.costs = costs
        self.tracker = tracker

    def propose(self, candidates: Sequence[Candidate], now: Instant) -> MoveProposal | None:
        """Returns the best of all moves; None if no move is worth its cost."""
        best: MoveProposal | None = None
        for candidate in candidates:
            for target in candidate.targets:
                proposal = self._evaluate(candidate.placement, target, now)
                if proposal is not None and (best is None or proposal.gain_s > best.gain_s):
                    best = proposal
        return best

    def _evaluate(self, placement: Placement, target: Machine, now: Instant) -> MoveProposal | None:
        """Returns the move if its gain exceeds its cost by the configured factor and margin."""
        job, source = placement.job, placement.machine
        assert job is not None and source.type is not None and target.type is not None
        heat = self.tracker.heat(target.id)
        if heat is Heat.HOT or self.tracker.slowness(target.id) > NORMAL_SLOWNESS:
            return None
        spec = job.spec
        run_time_s = self.costs.run_time_s(spec)
        remaining = self._remaining_fraction(placement, now)
        target_committed = committed_fraction(target) + placement.size.cpus / max(
            target.type.cpus, MIN_CPUS
        )
        saved_transfer_s = self.costs.transfer_s(spec, source, now) - self.costs.transfer_s(
            spec, target, now
        )
        saved_slowdown = self.costs.slowdown(
            spec, source, committed_fraction(source)
        ) - self.costs.slowdown(spec, target, target_committed)
        if saved_transfer_s <= 0 and not self._balances_load(source, target, target_committed):
            return None
        gain_s = remaining * (saved_transfer_s + run_time_s * saved_slowdown)
        cost_s = stop_grace_s(placement) + fetch_s(job, target) + RESTART_S
        net_s = gain_s - cost_s
        if gain_s < self.settings.gain_factor * cost_s or net_s < self.settings.least_gain:
            return None
        return MoveProposal(placement, target, net_s, self._reason(source, saved_transfer_s))

    def _remaining_fraction(self, placement: Placement, now: Instant) -> float:
        """Returns the fraction of the task's work, transfers included, that is still to be done."""
        job = placement.job
        assert job is not None
        if job.spec.service:
            return 1.0
        machine, run_time_s = placement.machine, self.costs.run_time_s(job.spec)
        slowdown = self.costs.slowdown(job.spec, machine, committed_fraction(machine))
        total_s = run_time_s * (1.0 + slowdown) + self.costs.transfer_s(job.spec, machine, now)
        return max(0.0, 1.0 - (now - placement.ran_since) / total_s) if total_s > 0 else 0.0

    def _balances_load(self, source: Machine, target: Machine, target_committed: float) -> bool:
        """Returns whether a move that saves no transfer leaves a slow machine or evens out loads.

        Without this condition two machines would exchange tasks forever.
        """
        if self.tracker.slowness(source.id) > NORMAL_SLOWNESS:
            return True
        return (
            self.tracker.heat(source.id) is Heat.HOT
            and self.tracker.heat(target.id) is Heat.COOL
            and target_committed <= committed_fraction(source) - BALANCE_MARGIN
            and target_committed < self.settings.hot
        )

    def _reason(self, source: Machine, saved_transfer_s: float) -> str:
        if saved_transfer_s > 0:
            return "nearer its data"
        if self.tracker.slowness(source.id) > NORMAL_SLOWNESS:
            return "its machine is slow"
        return "its machine is hot"
