"""The interface through which entitlements influence how machines are divided among shares.

Organisations are sets of teams with limits: a minimum and a maximum in CPUs, and a weight. A
division is the limits of all of them, and a target is the CPUs that an organisation should hold
now by its limits and everyone's demand.

An entitlement policy answers queries and issues no commands. The leader queries it before it
hires machines for a share or asks an owner for machines; stored records, conditions on writes and
transactions stay with the modules that own them. Without a policy (`NoEntitlements`) the leader
divides machines by demand alone.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from .ids import Instant, ShareNo, Team
from .stored_values import Division, OrganisationLimits

OrganisationName = str
ShareOfTeam = Callable[[Team], ShareNo]


class ShareState(NamedTuple):
    """The state of a share, from the machine records at one revision and its owner's report."""

    share: ShareNo
    held: float  # CPUs of the share's machines on record, without machines that are leaving
    used: float  # CPUs allocated to tasks
    replicas: float  # the part of `used` that replicas of services hold
    waiting: float  # CPUs of the machines that waiting tasks need
    report_valid: bool  # whether the owner's report is recent; if not, only `held` is known


class PoolState(NamedTuple):
    """The states of all shares of the pool at one moment."""

    shares: Sequence[ShareState]
    largest_machine_cpus: float  # of the machines on record


class Reassignment(NamedTuple):
    """Machines that the owner of one share is to transfer to another as they become empty."""

    giver: ShareNo  # has the machines
    taker: ShareNo  # is to get them
    cpus: float  # of the machines


class EntitlementPolicy(Protocol):
    """The interface to the entitlements package, which applies limits to organisations."""

    @property
    def active(self) -> bool:
        """Whether organisations are configured; if not, the policy has no effect."""

    @property
    def in_force(self) -> bool:
        """Whether the policy has effect: by the stored team mapping every share serves at most one
        organisation, and the division names the configured organisations."""

    @property
    def problem(self) -> str:
        """Why the policy is not in force; empty if it is."""

    def initial_team_order(self, shares: int) -> list[str]:
        """Returns team names in an order that maps one organisation's teams to each share."""

    def mapping_changed(self, share_of_team: ShareOfTeam, shares: int) -> None:
        """Derives from the stored team mapping which organisation each share serves."""

    def organisation(self, share: ShareNo) -> OrganisationName | None:
        """Returns the organisation that the share serves, or None if it serves none or several."""

    def division_changed(self, division: Division | None) -> None:
        """Puts another division in force; None means that the store holds none."""

    def division(self) -> Division:
        """Returns the division in force."""

    def validate_division(self, limits: Sequence[OrganisationLimits], capacity: float) -> str:
        """Returns why a division with these limits is invalid, with the field, or an empty string.
        `capacity` is the CPUs of all recorded machines that are not leaving."""

    def begin(self, now: Instant) -> None:
        """Called when this node becomes leader; nothing of an earlier leader's state is known."""

    def end(self) -> None:
        """Called when this node stops leading; its targets are out of date from then on."""

    def observe(self, pool: PoolState, now: Instant) -> Sequence[str]:
        """Updates targets from the state of the pool before each plan; returns log lines."""

    def preview(self, limits: Sequence[OrganisationLimits]) -> Mapping[OrganisationName, float]:
        """Returns the targets in CPUs that these limits would give for the present machines and
        demand; empty unless this node leads."""

    def below_target(self, share: ShareNo, incoming_cpus: float = 0.0) -> bool:
        """Returns whether the share's organisation is to get machines to reach its target, also
        after it receives `incoming_cpus`; False while the policy is not in force."""

    def meets_target(self, share: ShareNo) -> bool:
        """Returns whether the share's organisation holds at least its target; False while the
        policy is not in force."""

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """Returns whether the taker may get a machine that the giver's waiting tasks could use."""

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """Returns whether both shares serve the same organisation; True while the policy is not in
        force."""

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """Counts a requested machine as the taker's and not the giver's until the next plan."""

    def reassignments(self, now: Instant) -> Sequence[Reassignment]:
        """Returns the CPUs that givers are to transfer to takers as machines become empty."""

    def status(self) -> dict[str, Any]:
        """Returns the status for operators; it holds targets only on the leader."""


class NoEntitlements:
    """Used without organisations: any share may take idle machines of any other, without limit."""

    active = False
    in_force = False
    problem = "no entitlements file was named when this controller was started"

    def initial_team_order(self, shares: int) -> list[str]:
        """Returns an empty list: the default order of teams applies."""
        return []

    def mapping_changed(self, share_of_team: ShareOfTeam, shares: int) -> None:
        """Does nothing."""

    def organisation(self, share: ShareNo) -> OrganisationName | None:
        """Returns None: no share serves an organisation."""
        return None

    def division_changed(self, division: Division | None) -> None:
        """Does nothing."""

    def division(self) -> Division:
        """Returns an empty division."""
        return Division(0, [])

    def validate_division(self, limits: Sequence[OrganisationLimits], capacity: float) -> str:
        """Returns why no division is valid without organisations."""
        return self.problem

    def begin(self, now: Instant) -> None:
        """Does nothing."""

    def end(self) -> None:
        """Does nothing."""

    def observe(self, pool: PoolState, now: Instant) -> Sequence[str]:
        """Returns no log lines."""
        return ()

    def preview(self, limits: Sequence[OrganisationLimits]) -> Mapping[OrganisationName, float]:
        """Returns no targets."""
        return {}

    def below_target(self, share: ShareNo, incoming_cpus: float = 0.0) -> bool:
        """Returns False: there are no targets."""
        return False

    def meets_target(self, share: ShareNo) -> bool:
        """Returns False: there are no targets."""
        return False

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """Returns False: only machines that the giver cannot use may be requested."""
        return False

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """Returns True: all shares count as serving one organisation."""
        return True

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """Does nothing."""

    def reassignments(self, now: Instant) -> Sequence[Reassignment]:
        """Returns no reassignments."""
        return ()

    def status(self) -> dict[str, Any]:
        """Returns an empty status."""
        return {}
