"""The interface through which a placement policy influences where tasks run.

A policy adjusts scores and proposes moves; it issues no commands to workers. Placement
constraints, limits, fencing and the rule that no task runs twice stay with the modules that own
them. Without a policy (`NoPolicy`) placement is unchanged.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from .ids import Instant, MachineId, ShareNo, TaskId
from .jobs import JobSpec
from .machine import Machine, Placement
from .shares import OwnedShare
from .work import Work


class Candidate(NamedTuple):
    """A running task that the placement rules allow to be moved."""

    placement: Placement
    targets: Sequence[Machine]  # where it is allowed and fits; a service's image is on them


class MoveProposal(NamedTuple):
    """A move of a running task that is expected to gain time."""

    placement: Placement
    target: Machine
    gain_s: float  # expected gain in seconds, after all costs
    reason: str


class PlacementPolicy(Protocol):
    """The interface to the locality package, which scores machines and proposes moves of tasks."""

    @property
    def active(self) -> bool:
        """Whether the policy has any effect; if not, callers skip it."""

    @property
    def rebalances(self) -> bool:
        """Whether moves may be proposed."""

    @property
    def dry_run(self) -> bool:
        """Whether moves are logged instead of carried out."""

    def replace(self, settings: Any, now: Instant) -> list[str]:
        """Replaces the settings in force; returns log lines about the change."""

    def cost_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Returns the cost in seconds of running a task on the machine, without the image fetch."""

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """Returns the machines that a task of the job may use; at least one unless `machines` is
        empty."""

    def observe(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Samples the machines owned by this node and the waiting work; called at intervals."""

    def record_completion(self, placement: Placement, ran_s: float) -> None:
        """Records that a task completed after running for `ran_s` seconds."""

    def share_gained(self, owned_share: OwnedShare, now: Instant) -> None:
        """Called when this node becomes the owner of a share."""

    def share_lost(self, share: ShareNo) -> None:
        """Called when this node is no longer the owner of a share."""

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """Returns whether earlier moves of the task allow another one now."""

    def sample_size(self) -> int:
        """Returns how many machines a plan considers."""

    def may_plan(self, share: ShareNo, now: Instant) -> bool:
        """Returns whether a plan of the share is due and its budget allows a move."""

    def propose(
        self, share: ShareNo, candidates: Sequence[Candidate], now: Instant
    ) -> MoveProposal | None:
        """Returns the best move among the candidates, or None if no move is worth its cost."""

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """Records that a move of the task began; it counts against the bounds even if it fails."""

    def heat_of(self, id: MachineId) -> str:
        """Returns the load state of the machine, for operators."""

    def status(self, now: Instant) -> dict[str, Any]:
        """Returns what operators may see."""


class NoPolicy:
    """The default placement policy: it changes no score and proposes no move."""

    active = False
    rebalances = False
    dry_run = False

    def replace(self, settings: Any, now: Instant) -> list[str]:
        """Returns no log lines: there are no settings."""
        return []

    def cost_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Returns no cost."""
        return 0.0

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """Returns all of the machines."""
        return machines

    def observe(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Does nothing."""

    def record_completion(self, placement: Placement, ran_s: float) -> None:
        """Does nothing."""

    def share_gained(self, owned_share: OwnedShare, now: Instant) -> None:
        """Does nothing."""

    def share_lost(self, share: ShareNo) -> None:
        """Does nothing."""

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """Returns False: no task is moved."""
        return False

    def sample_size(self) -> int:
        """Returns 0: no machine is considered."""
        return 0

    def may_plan(self, share: ShareNo, now: Instant) -> bool:
        """Returns False: no plan is made."""
        return False

    def propose(
        self, share: ShareNo, candidates: Sequence[Candidate], now: Instant
    ) -> MoveProposal | None:
        """Returns None: no move is proposed."""
        return None

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """Does nothing."""

    def heat_of(self, id: MachineId) -> str:
        """Returns an empty string: the load is not tracked."""
        return ""

    def status(self, now: Instant) -> dict[str, Any]:
        """Returns an empty status."""
        return {}
