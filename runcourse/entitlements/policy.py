"""The entitlement policy: the organisations of one file, the stored division, the reconciler."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from ..core.entitlement import Organisation, PoolState, Reassignment, TeamShares
from ..core.ids import LONG_AGO, Instant, ShareNo
from ..core.stored_values import Division, OrganisationLimits
from .limits import validate_limits
from .reconciler import Reconciler, converged
from .settings import EntitlementSettings
from .team_mapping import Assignment, deal, derive_assignment

NOT_REACHED_AFTER_S = 60.0  # without convergence, after which the log says why
NOT_FOUNDED = "no share was taken yet"


class Entitlements:
    """Implements `core.entitlement.EntitlementPolicy`."""

    active = True

    def __init__(self, settings: EntitlementSettings) -> None:
        self.settings = settings
        self.reconciler = Reconciler(settings.dwell)
        self._first = Division(
            0, sorted((entry.limits for entry in settings.organisations), key=lambda e: e.name)
        )
        self._division = self._first
        self._assignment = Assignment({}, NOT_FOUNDED)
        self.problem = NOT_FOUNDED  # why the policy is not in force; empty if it is
        self._leading = False
        self._pool = PoolState((), 0.0)
        self._since = LONG_AGO  # the targets are not reached
        self._reached = False
        self._logged: set[bool] = set()  # whether reached and whether not, of this division

    # --- founding and division -----------------------------------------------------------

    @property
    def in_force(self) -> bool:
        """Does every share serve one organisation at the most, of those that are divided?"""
        return not self.problem

    def _other_names(self) -> str:
        """A division that was stored with another file than this."""
        stored = {entry.name for entry in self._division.limits}
        stated = {entry.name for entry in self.settings.organisations}
        if stored == stated:
            return ""
        return (
            f"the stored division names {', '.join(sorted(stored))}, the file"
            f" {', '.join(sorted(stated))}"
        )

    def team_mapping(self, shares: int) -> list[str]:
        """The dealing of teams with which a new store is founded."""
        return deal(self.settings.organisations, shares)

    def derive_assignment(self, of_team: TeamShares, shares: int) -> None:
        """Learn the dealing of the store."""
        self._assignment = derive_assignment(self.settings.organisations, of_team, shares)
        self.problem = self._assignment.problem or self._other_names()

    def organisation(self, share: ShareNo) -> Organisation | None:
        """Whom the share serves."""
        return self._assignment.serves.get(share)

    def division(self) -> Division:
        """The stored division, or what the file says while none is stored."""
        return self._division

    def division_changed(self, division: Division | None) -> None:
        """Another division is in force."""
        self._division = division or self._first
        self.problem = self._assignment.problem or self._other_names()
        self._look_anew()

    def _look_anew(self) -> None:
        self._since = LONG_AGO
        self._reached = False
        self._logged.clear()

    def fault(self, limits: Sequence[OrganisationLimits], capacity: float) -> str:
        """Why such a division can't be."""
        pool = self.settings.pool if self.settings.pool is not None else capacity
        names = {entry.name for entry in self.settings.organisations}
        return validate_limits(limits, names, set(self._assignment.serves.values()), pool)

    def preview(self, limits: Sequence[OrganisationLimits]) -> Mapping[Organisation, float]:
        """Targets of the present pool under such a division; of use on the leader only."""
        return self.reconciler.targets(limits) if self._leading else {}

    # --- the leader's plan ---------------------------------------------------------------

    def begin(self, now: Instant) -> None:
        """Leadership begins."""
        self.reconciler.begin(now)
        self._leading = True
        self._look_anew()

    def observe(self, pool: PoolState, now: Instant) -> Sequence[str]:
        """Reckon targets; says once when they are reached, and once when they can't be."""
        self._pool = pool
        self.reconciler.observe(pool, self._assignment.serves, self._division.limits)
        self._reached = converged(self.reconciler.organisation_states.values(), pool.machine_cpus)
        if self._reached:
            self._since = LONG_AGO
            return self._once("is reached")
        if self._since == LONG_AGO:
            self._since = now
        if now < self._since + NOT_REACHED_AFTER_S:
            return ()
        return self._once("is not reached")

    def _once(self, what: str) -> Sequence[str]:
        """A line for the log, the first time that this division comes to that."""
        if self._reached in self._logged:
            return ()
        self._logged.add(self._reached)
        return (f"division {self._division.version} {what}: {self._sums()}",)

    def _sums(self) -> str:
        return "; ".join(
            f"{name} {s.held:g} of {s.target:g} CPUs"
            + (f", {s.debt:g} of debt" if s.debt else "")
            + (f", lacks {s.lacking:g}: {self._why(name)}" if s.lacking else "")
            for name, s in sorted(self.reconciler.organisation_states.items())
        )

    def _why(self, name: Organisation) -> str:
        """Where what an organisation lacks is."""
        reasons = []
        for other, standing in sorted(self.reconciler.organisation_states.items()):
            if other == name or not standing.surplus:
                continue
            if standing.debt:
                reasons.append(f"replicas of {other} hold {standing.debt:g}")
            if standing.surplus > standing.debt:
                rest = standing.surplus - standing.debt
                reasons.append(f"tasks of {other} that run hold {rest:g}")
        return ", ".join(reasons) or "nothing that others hold fits, or it is on its way"

    def end(self) -> None:
        """Leadership is over: what was reckoned is old."""
        self._leading = False

    def below_target(self, share: ShareNo, coming: float = 0.0) -> bool:
        """Does its organisation ask for more, and hold too little?"""
        return self.in_force and self.reconciler.below_target(share, coming)

    def meets_target(self, share: ShareNo) -> bool:
        """Does its organisation hold all that it is entitled to?"""
        return self.in_force and self.reconciler.meets_target(share)

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """May a machine be asked of an owner that may have use for it itself?"""
        return self.in_force and self.reconciler.may_take(giver, taker, cpus)

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """Do both shares serve the same organisation?"""
        return not self.in_force or self.reconciler.same_organisation(one, other)

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """A machine was asked for in this plan."""
        self.reconciler.transfer_requested(giver, taker, cpus)

    def reassignments(self, now: Instant) -> Sequence[Reassignment]:
        """What owners are to transfer as it falls empty."""
        return self.reconciler.reassignments(now) if self.in_force else ()

    # --- operators -----------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What operators may see."""
        return {
            "problem": self.problem,
            "version": self._division.version,
            "converged": self._leading and self._reached,
            "organisations": [self._row(entry) for entry in self._division.limits],
        }

    def _row(self, limits: OrganisationLimits) -> dict[str, Any]:
        """One organisation; without its standing where this node doesn't lead."""
        row: dict[str, Any] = {
            "organisation": limits.name,
            "shares": sorted(s for s, n in self._assignment.serves.items() if n == limits.name),
            "minimum": limits.minimum,
            "weight": limits.weight,
            "maximum": limits.maximum,
        }
        standing = self.reconciler.organisation_states.get(limits.name)
        if standing is not None and self._leading and self.in_force:
            row |= {
                "target": round(standing.target, 3),
                "held": standing.held,
                "lent": round(standing.lent, 3),
                "debt": round(standing.debt, 3),
                "lacking": round(standing.lacking, 3),
                "why": self._why(limits.name) if standing.lacking else "",
            }
        return row
