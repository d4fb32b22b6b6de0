"""Which running task gains most by a move, and the bounds that moves keep to."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..core.ids import COUNTER_BITS, Instant, ShareNo, TaskId, later
from ..core.machine import Machine, Placement
from ..core.policy import Candidate, MoveProposal
from ..core.store import Bucket
from ..core.work import fetch_s, grace
from .costs import Costs
from .load import Heat, LoadTracker, committed
from .settings import LocalitySettings

RESTART_S = 2.0  # until a stopped task is known to be gone and runs elsewhere
LEVEL_MARGIN = 0.1  # by which the target stays below the source after a move for load alone
HOUR_S = 3600.0
FORGET_AFTER = 2.0  # times the longest cooldown, after which a task's moves are forgotten


class _Cooldown(NamedTuple):
    """How often a task was moved, and until when it may not be moved again."""

    moves: int
    until: Instant


class MoveBounds:
    """Moves an hour of each share, and a cooldown of each task that doubles with each move.

    Neither rests on one process's memory: a share that is taken over begins with an empty budget,
    and tasks that an earlier owner started with the longest cooldown.
    """

    def __init__(self, settings: LocalitySettings) -> None:
        self.settings = settings
        self._budgets: dict[ShareNo, Bucket] = {}
        self._gained: dict[ShareNo, Instant] = {}
        self._cooldowns: dict[TaskId, _Cooldown] = {}

    def replace(self, settings: LocalitySettings) -> None:
        """Other settings are in force; what was used up stays used up."""
        self.settings = settings
        for budget in self._budgets.values():
            budget.rate = settings.moves_per_hour / HOUR_S
            budget.burst = float(settings.burst)
            budget.level = min(budget.level, budget.burst)

    def share_gained(self, share: ShareNo, now: Instant) -> None:
        """A share is owned here from now on."""
        budget = Bucket(self.settings.moves_per_hour / HOUR_S, float(self.settings.burst))
        budget.level, budget.at = 0.0, now
        self._budgets[share] = budget
        self._gained[share] = now

    def share_lost(self, share: ShareNo) -> None:
        """A share is not owned here any more."""
        self._budgets.pop(share, None)
        self._gained.pop(share, None)

    def shares(self) -> list[ShareNo]:
        """The shares that have a budget here."""
        return list(self._budgets)

    def moves_left(self, share: ShareNo, now: Instant) -> float:
        """Moves that the share may make now."""
        budget = self._budgets.get(share)
        if budget is None:
            return 0.0
        budget.refill(now)
        return budget.level

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """Is the task past its cooldown?"""
        cooldown = self._cooldowns.get(placement.task)
        if cooldown is not None:
            return now >= cooldown.until
        holding = placement.machine.share
        if placement.attempt >> COUNTER_BITS >= holding.epoch:
            return True
        # Started by an earlier owner, who may have moved it as often as was allowed.
        return now >= later(self._gained.get(holding.number, now), self.settings.cooldown_most)

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """A move was begun."""
        budget = self._budgets.get(share)
        if budget is not None:
            budget.refill(now)
            budget.level -= 1.0
        moves = self._cooldowns[task].moves if task in self._cooldowns else 0
        pause = min(self.settings.cooldown * 2**moves, self.settings.cooldown_most)
        self._cooldowns[task] = _Cooldown(moves + 1, later(now, pause))

    def tidy(self, now: Instant) -> None:
        """Forget tasks that were not moved for long."""
        oldest = now - FORGET_AFTER * self.settings.cooldown_most
        for task in [t for t, c in self._cooldowns.items() if c.until < oldest]:
            del self._cooldowns[task]


class Rebalancer:
    """Proposes the move that gains most, if it is worth its cost."""

    def __init__(self, settings: LocalitySettings, costs: Costs, tracker: LoadTracker) -> None:
        self.settings = settings
        self.costs = costs
        self.tracker = tracker

    def propose(self, candidates: Sequence[Candidate], now: Instant) -> MoveProposal | None:
        """The best move of all, or None."""
        best: MoveProposal | None = None
        for candidate in candidates:
            for target in candidate.targets:
                proposal = self._weigh(candidate.placement, target, now)
                if proposal is not None and (best is None or proposal.gain_s > best.gain_s):
                    best = proposal
        return best

    def _weigh(self, placement: Placement, target: Machine, now: Instant) -> MoveProposal | None:
        """The move, if its gain exceeds its cost by the factor set."""
        job, source = placement.job, placement.machine
        assert job is not None and source.type is not None and target.type is not None
        heat = self.tracker.heat(target.id)
        if heat is Heat.HOT or self.tracker.slowness(target.id) > 1.0:
            return None
        spec = job.spec
        run_s = self.costs.run_s(spec)
        left = self._left(placement, now)
        there = committed(target) + placement.size.cpus / max(target.type.cpus, 1e-6)
        transfer = self.costs.transfer_s(spec, source, now) - self.costs.transfer_s(
            spec, target, now
        )
        relief = self.costs.slowdown(spec, source, committed(source)) - self.costs.slowdown(
            spec, target, there
        )
        if transfer <= 0 and not self._levels(source, target, there):
            return None
        gain = left * (transfer + run_s * relief)
        cost = grace(placement) + fetch_s(job, target) + RESTART_S
        net = gain - cost
        if gain < self.settings.gain_factor * cost or net < self.settings.least_gain:
            return None
        return MoveProposal(placement, target, net, self._reason(source, transfer))

    def _left(self, placement: Placement, now: Instant) -> float:
        """The part of the task's work that is still to be done, transfers and all."""
        job = placement.job
        assert job is not None
        if job.spec.service:
            return 1.0
        machine, run_s = placement.machine, self.costs.run_s(job.spec)
        slowdown = self.costs.slowdown(job.spec, machine, committed(machine))
        total_s = run_s * (1.0 + slowdown) + self.costs.transfer_s(job.spec, machine, now)
        return max(0.0, 1.0 - (now - placement.ran_since) / total_s) if total_s > 0 else 0.0

    def _levels(self, source: Machine, target: Machine, there: float) -> bool:
        """Without nearer data a move must level loads, or two machines swap tasks for ever."""
        if self.tracker.slowness(source.id) > 1.0:
            return True
        return (
            self.tracker.heat(source.id) is Heat.HOT
            and self.tracker.heat(target.id) is Heat.COOL
            and there <= committed(source) - LEVEL_MARGIN
            and there < self.settings.hot
        )

    def _reason(self, source: Machine, transfer: float) -> str:
        if transfer > 0:
            return "nearer its data"
        if self.tracker.slowness(source.id) > 1.0:
            return "its machine is slow"
        return "its machine is hot"
