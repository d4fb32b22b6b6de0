"""The placement policy of the locality package: sources, load, fairness and rebalancing."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from ..core.ids import LONG_AGO, Instant, MachineId, ShareNo, TaskId
from ..core.jobs import JobSpec
from ..core.machine import Machine, Placement
from ..core.placement_policy import Candidate, MoveProposal
from ..core.shares import OwnedShare
from ..core.work import Work
from .costs import Costs
from .fairness import SourceFairness
from .load import NORMAL_SLOWNESS, Heat, LoadTracker
from .rebalancer import MoveBounds, Rebalancer
from .settings import LocalitySettings
from .sources import SourceTable


class LocalityPolicy:
    """Scores machines by load and the time to read the data; proposes moves within limits."""

    def __init__(self, settings: LocalitySettings, guarantees: dict[str, float]) -> None:
        self.settings = settings
        self.sources = SourceTable(settings)
        self.tracker = LoadTracker(settings)
        self.costs = Costs(settings, self.sources, self.tracker)
        self.bounds = MoveBounds(settings)
        self.rebalancer = Rebalancer(settings, self.costs, self.tracker)
        self.source_fairness = SourceFairness(self.sources, guarantees)
        self._planned_at: dict[ShareNo, Instant] = {}
        self._observed: set[MachineId] = set()

    def replace(self, settings: LocalitySettings, now: Instant) -> list[str]:
        """Applies other settings; returns a log line for each source that is now ignored."""
        self.settings = settings
        for component in (self.tracker, self.costs, self.rebalancer):
            component.settings = settings
        self.bounds.replace(settings)
        return [
            f"source {name}: its place changes too often, it is ignored for"
            f" {settings.flap_hold:.0f} s"
            for name in self.sources.replace(settings, now)
        ]

    @property
    def active(self) -> bool:
        """Returns whether the policy influences placement."""
        return self.settings.weight > 0

    @property
    def rebalances(self) -> bool:
        """Returns whether moves may be proposed."""
        return self.active and self.settings.rebalance

    @property
    def dry_run(self) -> bool:
        """Returns whether moves are only logged."""
        return self.settings.dry_run

    # Placement

    def cost_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Returns the weighted expected delay of a task on the machine, in seconds."""
        return self.settings.weight * self.costs.placement_s(spec, machine, now)

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """Returns the machines that a task of the job may take."""
        return self.source_fairness.candidates(work, machines)

    # Observations

    def observe(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Updates load and fairness from the machines owned here and the open work."""
        machines = list(machines)
        for machine in machines:
            self.tracker.observe(machine, now)
        self._observed = {machine.id for machine in machines}
        self.tracker.retain_only(self._observed)
        self.source_fairness.recompute(machines, works, now)
        self.bounds.forget_old_moves(now)

    def record_completion(self, placement: Placement, ran_s: float) -> None:
        """Records that a task completed after running for `ran_s` seconds."""
        if placement.job is not None:
            self.tracker.record_completion(placement.job.spec, placement.machine, ran_s)

    def share_gained(self, owned_share: OwnedShare, now: Instant) -> None:
        """Begins the move budget of a share that is owned here from now on."""
        self.bounds.share_gained(owned_share.number, now)

    def share_lost(self, share: ShareNo) -> None:
        """Forgets a share that is not owned here any more."""
        self.bounds.share_lost(share)
        self._planned_at.pop(share, None)

    # Moves

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """Returns whether the cooldown of the task is over."""
        return self.bounds.may_move(placement, now)

    def sample_size(self) -> int:
        """Returns how many machines a plan considers."""
        return self.settings.sample

    def may_plan(self, share: ShareNo, now: Instant) -> bool:
        """Returns whether a plan of the share is due and its budget allows a move.

        If so, the time of the plan is recorded.
        """
        if now < self._planned_at.get(share, LONG_AGO) + self.settings.interval:
            return False
        if self.bounds.moves_left(share, now) < 1.0:
            return False
        self._planned_at[share] = now
        return True

    def propose(
        self, share: ShareNo, candidates: Sequence[Candidate], now: Instant
    ) -> MoveProposal | None:
        """Returns the best move among the candidates; None if no move is worth its cost."""
        return self.rebalancer.propose(candidates, now)

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """Counts a move of the task that was begun."""
        self.bounds.record_move(task, share, now)

    # Status for operators

    def heat_of(self, id: MachineId) -> str:
        """Returns the heat of the machine, and whether it is slow."""
        heat = self.tracker.heat(id).value
        return f"{heat}, slow" if self.tracker.slowness(id) > NORMAL_SLOWNESS else heat

    def status(self, now: Instant) -> dict[str, Any]:
        """Returns the settings in force, sources, move budgets and machines by heat."""
        heats = [self.tracker.heat(id) for id in self._observed]
        return {
            "weight": self.settings.weight,
            "rebalance": self.settings.rebalance,
            "dry_run": self.settings.dry_run,
            "sources": [
                {
                    "name": source.name,
                    "zones": list(source.zones),
                    "damped": self.sources.is_damped(source.name, now),
                }
                for source in self.sources.sources
            ],
            "machines": {heat.value: heats.count(heat) for heat in Heat},
            "slow": sorted(
                id for id in self._observed if self.tracker.slowness(id) > NORMAL_SLOWNESS
            ),
            "moves_left": {
                int(share): round(self.bounds.moves_left(share, now), 2)
                for share in sorted(self.bounds.shares())
            },
        }
