"""The placement policy of the locality package: sources, load, fairness and rebalancing as one."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from ..core.ids import LONG_AGO, Instant, MachineId, ShareNo, TaskId
from ..core.jobs import JobSpec
from ..core.machine import Machine, Placement
from ..core.policy import Candidate, MoveProposal
from ..core.shares import Holding
from ..core.work import Work
from .costs import Costs
from .fairness import SourceFairness
from .load import Heat, LoadTracker
from .rebalancer import MoveBounds, Rebalancer
from .settings import LocalitySettings
from .sources import SourceTable


class LocalityPolicy:
    """Weighs data and load in placement, and proposes bounded moves."""

    def __init__(self, settings: LocalitySettings, guarantees: dict[str, float]) -> None:
        self.settings = settings
        self.sources = SourceTable(settings)
        self.tracker = LoadTracker(settings)
        self.costs = Costs(settings, self.sources, self.tracker)
        self.bounds = MoveBounds(settings)
        self.rebalancer = Rebalancer(settings, self.costs, self.tracker)
        self.source_fairness = SourceFairness(self.sources, guarantees)
        self._planned_at: dict[ShareNo, Instant] = {}
        self._machines: set[MachineId] = set()

    def replace(self, settings: LocalitySettings, now: Instant) -> list[str]:
        """Put other settings in force; returns a line for each source that is damped by it."""
        self.settings = settings
        for part in (self.tracker, self.costs, self.rebalancer):
            part.settings = settings
        self.bounds.replace(settings)
        return [
            f"source {name}: its place changes too often, it counts as lying nowhere for"
            f" {settings.flap_hold:.0f} s"
            for name in self.sources.replace(settings, now)
        ]

    @property
    def active(self) -> bool:
        """Is there anything to weigh?"""
        return self.settings.weight > 0

    @property
    def rebalances(self) -> bool:
        """May moves be proposed?"""
        return self.active and self.settings.rebalance

    @property
    def dry_run(self) -> bool:
        """Are moves only to be logged?"""
        return self.settings.dry_run

    # --- placement -----------------------------------------------------------------------

    def cost_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Seconds by which the machine is worse for a task, weighted."""
        return self.settings.weight * self.costs.placement_s(spec, machine, now)

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """The machines left to a task of the job."""
        return self.source_fairness.candidates(work, machines)

    # --- what is learnt ------------------------------------------------------------------

    def observe(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Look at the machines owned here, and at what waits."""
        machines = list(machines)
        for machine in machines:
            self.tracker.observe(machine, now)
        self._machines = {machine.id for machine in machines}
        self.tracker.retain_only(self._machines)
        self.source_fairness.recompute(machines, works, now)
        self.bounds.tidy(now)

    def finished(self, placement: Placement, ran_s: float) -> None:
        """A task completed after running for so long."""
        if placement.job is not None:
            self.tracker.finished(placement.job.spec, placement.machine, ran_s)

    def share_gained(self, holding: Holding, now: Instant) -> None:
        """A share is owned here from now on."""
        self.bounds.share_gained(holding.number, now)

    def share_lost(self, share: ShareNo) -> None:
        """A share is not owned here any more."""
        self.bounds.share_lost(share)
        self._planned_at.pop(share, None)

    # --- moves ---------------------------------------------------------------------------

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """Is the task past its cooldown?"""
        return self.bounds.may_move(placement, now)

    def sample_size(self) -> int:
        """How many machines a plan looks at."""
        return self.settings.sample

    def may_plan(self, share: ShareNo, now: Instant) -> bool:
        """Is it time for a plan of the share, and is there a move left in its budget?"""
        if now < self._planned_at.get(share, LONG_AGO) + self.settings.interval:
            return False
        if self.bounds.left(share, now) < 1.0:
            return False
        self._planned_at[share] = now
        return True

    def propose(
        self, share: ShareNo, candidates: Sequence[Candidate], now: Instant
    ) -> MoveProposal | None:
        """The best move among the candidates, if any is worth it."""
        return self.rebalancer.propose(candidates, now)

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """A move of the task was begun."""
        self.bounds.record_move(task, share, now)

    # --- operators -----------------------------------------------------------------------

    def heat_of(self, id: MachineId) -> str:
        """The state of the machine's load."""
        heat = self.tracker.heat(id).value
        return f"{heat}, slow" if self.tracker.slowness(id) > 1.0 else heat

    def status(self, now: Instant) -> dict[str, Any]:
        """Sources, budgets and machines by heat."""
        heats = [self.tracker.heat(id) for id in self._machines]
        return {
            "weight": self.settings.weight,
            "rebalance": self.settings.rebalance,
            "dry_run": self.settings.dry_run,
            "sources": [
                {
                    "name": source.name,
                    "zones": list(source.zones),
                    "damped": self.sources.damped(source.name, now),
                }
                for source in self.sources.sources
            ],
            "machines": {heat.value: heats.count(heat) for heat in Heat},
            "slow": sorted(id for id in self._machines if self.tracker.slowness(id) > 1.0),
            "moves_left": {
                int(share): round(self.bounds.left(share, now), 2)
                for share in sorted(self.bounds.shares())
            },
        }
