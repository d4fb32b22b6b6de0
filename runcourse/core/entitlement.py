"""What an optional subsystem may say about which share has how much of the fleet.

An entitlement policy decides and never commands. The leader asks it before it hires for a share or
asks an owner for machines; records, guards and transactions stay with the modules that own them.
By default it says nothing, and the leader decides as without it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from .ids import Instant, ShareNo, Team
from .stored_values import Division, OrganisationLimits

Organisation = str
TeamShares = Callable[[Team], ShareNo]


class ShareState(NamedTuple):
    """What the leader knows of a share: records at one revision, and its owner's report."""

    share: ShareNo
    held: float  # CPUs of its machines on record, without those that leave
    used: float  # CPUs allocated to tasks
    replicas: float  # of those, to replicas of services
    asked: float  # CPUs of machines that waiting tasks need
    current: bool  # the owner's report is valid; otherwise only `held` is known


class PoolState(NamedTuple):
    """The whole pool as the leader sees it at one moment."""

    shares: Sequence[ShareState]
    machine_cpus: float  # of the largest machine on record


class Reassignment(NamedTuple):
    """Machines that the owner of one share is to transfer to another as they fall empty."""

    giver: ShareNo
    taker: ShareNo
    cpus: float


class EntitlementPolicy(Protocol):
    """The interface of the core to the entitlements package."""

    @property
    def active(self) -> bool:
        """Did operators state organisations at all? If not, nothing else is asked."""

    @property
    def in_force(self) -> bool:
        """Does every share serve one organisation at the most, as the store has it?"""

    @property
    def problem(self) -> str:
        """Why the policy is not in force; empty if it is."""

    def initial_team_order(self, shares: int) -> list[str]:
        """Team names in an order that deals one organisation's teams to each share."""

    def assign(self, of_team: TeamShares, shares: int) -> None:
        """Learn which share serves which team, as the store has it."""

    def organisation(self, share: ShareNo) -> Organisation | None:
        """Whom the share serves; None: nobody."""

    def division_changed(self, division: Division | None) -> None:
        """Another division is in force; None: none was ever stored."""

    def division(self) -> Division:
        """The division in force."""

    def fault(self, limits: Sequence[OrganisationLimits], capacity: float) -> str:
        """Why such a division can't be, with the field; empty if it can. `capacity`: CPUs on
        record."""

    def begin(self, now: Instant) -> None:
        """Leadership begins: nothing that an earlier leader did is known."""

    def end(self) -> None:
        """Leadership is over: what was observed is old."""

    def observe(self, pool: PoolState, now: Instant) -> Sequence[str]:
        """Look at the pool before a plan is made; returns lines for the log."""

    def preview(self, limits: Sequence[OrganisationLimits]) -> Mapping[Organisation, float]:
        """Targets in CPUs that the present pool would give under such a division."""

    def below_target(self, share: ShareNo, coming: float = 0.0) -> bool:
        """Does the share's organisation ask for more, and hold too little? `coming`: CPUs that
        are on their way to it."""

    def meets_target(self, share: ShareNo) -> bool:
        """Does the share's organisation hold all that it is entitled to, or more?"""

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """May a machine be asked of an owner that may have use for it itself?"""

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """Do both shares serve the same organisation?"""

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """A machine was asked for in this plan: it counts for the taker until the next."""

    def reassignments(self, now: Instant) -> Sequence[Reassignment]:
        """What owners are to transfer as it falls empty."""

    def status(self) -> dict[str, Any]:
        """What operators may see; targets only where this node leads."""


class NoEntitlements:
    """The default: every share may take from every other, without limit."""

    active = False
    in_force = False
    problem = "no entitlements file was named when this controller was started"

    def initial_team_order(self, shares: int) -> list[str]:
        """Nothing is known of organisations."""
        return []

    def assign(self, of_team: TeamShares, shares: int) -> None:
        """Nothing depends on it."""

    def organisation(self, share: ShareNo) -> Organisation | None:
        """There are none."""
        return None

    def division_changed(self, division: Division | None) -> None:
        """Nothing depends on it."""

    def division(self) -> Division:
        """There is none."""
        return Division(0, [])

    def fault(self, limits: Sequence[OrganisationLimits], capacity: float) -> str:
        """None can be."""
        return self.problem

    def begin(self, now: Instant) -> None:
        """Nothing depends on it."""

    def end(self) -> None:
        """Nothing depends on it."""

    def observe(self, pool: PoolState, now: Instant) -> Sequence[str]:
        """Nothing is learnt."""
        return ()

    def preview(self, limits: Sequence[OrganisationLimits]) -> Mapping[Organisation, float]:
        """Nothing is known."""
        return {}

    def below_target(self, share: ShareNo, coming: float = 0.0) -> bool:
        """Nobody is."""
        return False

    def meets_target(self, share: ShareNo) -> bool:
        """Nobody does."""
        return False

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """Only what its holder has no use for."""
        return False

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """As if all served one."""
        return True

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """Nothing depends on it."""

    def reassignments(self, now: Instant) -> Sequence[Reassignment]:
        """None."""
        return ()

    def status(self) -> dict[str, Any]:
        """Nothing to see."""
        return {}
