"""What an optional subsystem may say about where tasks go. By default: nothing.

A policy decides and never commands. Its words change scores and propose moves; filters, limits,
fencing and "never twice" stay with the modules that own them.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from .ids import Instant, MachineId, ShareNo, TaskId
from .jobs import JobSpec
from .machine import Machine, Placement
from .shares import Holding
from .work import Work


class Candidate(NamedTuple):
    """A running task that may be moved, as far as the rules are concerned."""

    placement: Placement
    targets: Sequence[Machine]  # where it is allowed and fits, images and all


class MoveProposal(NamedTuple):
    """A running task that is better off on another machine."""

    placement: Placement
    target: Machine
    gain_s: float  # expected, after all costs
    reason: str


class PlacementPolicy(Protocol):
    """The interface of the core to the locality package."""

    @property
    def active(self) -> bool:
        """Does the policy say anything at all? If not, nothing else is asked of it."""

    @property
    def rebalances(self) -> bool:
        """May moves be proposed?"""

    @property
    def dry_run(self) -> bool:
        """Are moves only to be logged?"""

    def replace(self, settings: Any, now: Instant) -> list[str]:
        """Put other settings in force; returns what is to be said of it."""

    def cost_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Seconds by which the machine is worse for a task, beside its image fetch."""

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """The machines left to a task of the job; never none of several."""

    def observe(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Look at the machines owned here, and at what waits; called at intervals."""

    def finished(self, placement: Placement, ran_s: float) -> None:
        """A task completed after running for so long."""

    def share_gained(self, holding: Holding, now: Instant) -> None:
        """A share is owned here from now on."""

    def share_lost(self, share: ShareNo) -> None:
        """A share is not owned here any more."""

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """May the task be moved, as far as its earlier moves are concerned?"""

    def sample_size(self) -> int:
        """How many machines a plan looks at."""

    def may_plan(self, share: ShareNo, now: Instant) -> bool:
        """Is it time for a plan of the share, and is there a move left in its budget?"""

    def propose(
        self, share: ShareNo, candidates: Sequence[Candidate], now: Instant
    ) -> MoveProposal | None:
        """The best move among the candidates, if any is worth it."""

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """A move of the task was begun: it counts against the bounds, whatever becomes of it."""

    def heat_of(self, id: MachineId) -> str:
        """The state of the machine's load, for operators."""

    def status(self, now: Instant) -> dict[str, Any]:
        """What operators may see."""


class NoPolicy:
    """The default: the same decisions as without any policy."""

    active = False
    rebalances = False
    dry_run = False

    def replace(self, settings: Any, now: Instant) -> list[str]:
        """There are none."""
        return []

    def cost_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Nothing is known against any machine."""
        return 0.0

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """All of them."""
        return machines

    def observe(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Nothing is learnt."""

    def finished(self, placement: Placement, ran_s: float) -> None:
        """Nothing is learnt."""

    def share_gained(self, holding: Holding, now: Instant) -> None:
        """Nothing depends on it."""

    def share_lost(self, share: ShareNo) -> None:
        """Nothing depends on it."""

    def may_move(self, placement: Placement, now: Instant) -> bool:
        """Nothing is moved."""
        return False

    def sample_size(self) -> int:
        """Nothing is looked at."""
        return 0

    def may_plan(self, share: ShareNo, now: Instant) -> bool:
        """Nothing is planned."""
        return False

    def propose(
        self, share: ShareNo, candidates: Sequence[Candidate], now: Instant
    ) -> MoveProposal | None:
        """Nothing is proposed."""
        return None

    def record_move(self, task: TaskId, share: ShareNo, now: Instant) -> None:
        """Nothing is bounded."""

    def heat_of(self, id: MachineId) -> str:
        """Nothing is known."""
        return ""

    def status(self, now: Instant) -> dict[str, Any]:
        """Nothing to see."""
        return {}
