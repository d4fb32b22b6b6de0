"""The entitlement policy: what the core asks about organisations and their targets.

It combines the organisations of the entitlements file, the division (the stored limits of all
organisations) and the reconciler, which computes targets.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from ..core.entitlement_policy import OrganisationName, PoolState, Reassignment, ShareOfTeam
from ..core.ids import LONG_AGO, Instant, ShareNo
from ..core.stored_values import Division, OrganisationLimits
from .limits import validate_limits
from .reconciler import Reconciler, converged
from .settings import EntitlementSettings
from .team_mapping import Assignment, derive_assignment, order_teams

NOT_REACHED_AFTER_S = 60.0  # for which targets are not reached before the reason is logged
NO_SHARE_TAKEN = "no share was taken yet"


class Entitlements:
    """Computes how many CPUs each organisation may hold; implements `EntitlementPolicy`."""

    active = True

    def __init__(self, settings: EntitlementSettings) -> None:
        self.settings = settings
        self.reconciler = Reconciler(settings.dwell)
        self._initial_division = Division(
            0, sorted((entry.limits for entry in settings.organisations), key=lambda e: e.name)
        )
        self._division = self._initial_division
        self._assignment = Assignment({}, NO_SHARE_TAKEN)
        self.problem = NO_SHARE_TAKEN  # why the limits are not applied; empty if they are
        self._leading = False
        self._pool = PoolState((), 0.0)
        self._unreached_since = LONG_AGO  # since when the targets are not reached without a break
        self._reached = False  # whether the organisations hold their targets
        self._logged_outcomes: set[bool] = set()  # values of `_reached` logged for these limits

    # --- team mapping and division -------------------------------------------------------

    @property
    def in_force(self) -> bool:
        """Whether every share serves at most one organisation, and the stored division names the
        organisations of the file."""
        return not self.problem

    def _name_mismatch(self) -> str:
        """Returns an error text if the division in force and the entitlements file name different
        organisations, otherwise an empty string."""
        stored = {entry.name for entry in self._division.limits}
        configured = {entry.name for entry in self.settings.organisations}
        if stored == configured:
            return ""
        return (
            f"the stored division names {', '.join(sorted(stored))}, the file"
            f" {', '.join(sorted(configured))}"
        )

    def initial_team_order(self, shares: int) -> list[str]:
        """Returns the team names, in order, of the mapping stored when the store is first used."""
        return order_teams(self.settings.organisations, shares)

    def mapping_changed(self, share_of_team: ShareOfTeam, shares: int) -> None:
        """Derives from the stored team mapping which organisation each share serves."""
        self._assignment = derive_assignment(self.settings.organisations, share_of_team, shares)
        self.problem = self._assignment.problem or self._name_mismatch()

    def organisation(self, share: ShareNo) -> OrganisationName | None:
        """Returns the organisation that the share serves, or None if it serves none or several."""
        return self._assignment.organisation_by_share.get(share)

    def division(self) -> Division:
        """Returns the stored division, or the initial one of the file while none is stored."""
        return self._division

    def division_changed(self, division: Division | None) -> None:
        """Puts another division in force; None means the initial one of the entitlements file."""
        self._division = division or self._initial_division
        self.problem = self._assignment.problem or self._name_mismatch()
        self._reset_convergence()

    def _reset_convergence(self) -> None:
        self._unreached_since = LONG_AGO
        self._reached = False
        self._logged_outcomes.clear()

    def validate_division(self, limits: Sequence[OrganisationLimits], capacity: float) -> str:
        """Returns why a division with these limits is invalid, or an empty string. `capacity`, in
        CPUs, bounds the sum of the minima if the file sets no `pool`."""
        pool = self.settings.pool if self.settings.pool is not None else capacity
        names = {entry.name for entry in self.settings.organisations}
        return validate_limits(
            limits, names, set(self._assignment.organisation_by_share.values()), pool
        )

    def preview(self, limits: Sequence[OrganisationLimits]) -> Mapping[OrganisationName, float]:
        """Returns the targets in CPUs that these limits would give for the present machines and
        demand; empty unless this node leads."""
        return self.reconciler.targets(limits) if self._leading else {}

    # --- planning on the leader ----------------------------------------------------------

    def begin(self, now: Instant) -> None:
        """Called when this node becomes leader."""
        self.reconciler.begin(now)
        self._leading = True
        self._reset_convergence()

    def observe(self, pool: PoolState, now: Instant) -> Sequence[str]:
        """Updates the targets. Returns a log line once when the targets of a division are reached,
        and once when they are not reached for `NOT_REACHED_AFTER_S`."""
        self._pool = pool
        self.reconciler.observe(pool, self._assignment.organisation_by_share, self._division.limits)
        self._reached = converged(
            self.reconciler.organisation_states.values(), pool.largest_machine_cpus
        )
        if self._reached:
            self._unreached_since = LONG_AGO
            return self._log_line_once("is reached")
        if self._unreached_since == LONG_AGO:
            self._unreached_since = now
        if now < self._unreached_since + NOT_REACHED_AFTER_S:
            return ()
        return self._log_line_once("is not reached")

    def _log_line_once(self, outcome: str) -> Sequence[str]:
        """Returns the log line of the outcome, or nothing if it was logged for this division."""
        if self._reached in self._logged_outcomes:
            return ()
        self._logged_outcomes.add(self._reached)
        return (f"division {self._division.version} {outcome}: {self._summary()}",)

    def _summary(self) -> str:
        return "; ".join(
            f"{name} {s.held:g} of {s.target:g} CPUs"
            + (f", {s.debt:g} of debt" if s.debt else "")
            + (f", lacks {s.lacking:g}: {self._lacking_reason(name)}" if s.lacking else "")
            for name, s in sorted(self.reconciler.organisation_states.items())
        )

    def _lacking_reason(self, name: OrganisationName) -> str:
        """Returns which other organisations are above their targets, and what keeps them there."""
        reasons = []
        for other, state in sorted(self.reconciler.organisation_states.items()):
            if other == name or not state.surplus:
                continue
            if state.debt:
                reasons.append(f"replicas of {other} hold {state.debt:g}")
            if state.surplus > state.debt:
                in_use = state.surplus - state.debt
                reasons.append(f"tasks of {other} that run hold {in_use:g}")
        return ", ".join(reasons) or "nothing that others hold fits, or it is on its way"

    def end(self) -> None:
        """Called when this node stops leading; its targets are out of date."""
        self._leading = False

    def below_target(self, share: ShareNo, incoming_cpus: float = 0.0) -> bool:
        """Returns whether the share's organisation is to get machines to reach its target, also
        after it receives `incoming_cpus`; False while the policy is not in force."""
        return self.in_force and self.reconciler.below_target(share, incoming_cpus)

    def meets_target(self, share: ShareNo) -> bool:
        """Returns whether the share's organisation holds at least its target; False while the
        policy is not in force."""
        return self.in_force and self.reconciler.meets_target(share)

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """Returns whether the taker may get a machine that the giver's waiting tasks could use."""
        return self.in_force and self.reconciler.may_take(giver, taker, cpus)

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """Returns whether both shares serve the same organisation; True while the policy is not in
        force."""
        return not self.in_force or self.reconciler.same_organisation(one, other)

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """Counts a machine requested in this plan as the taker's, no longer as the giver's."""
        self.reconciler.transfer_requested(giver, taker, cpus)

    def reassignments(self, now: Instant) -> Sequence[Reassignment]:
        """Returns the CPUs that givers are to transfer to takers as machines become empty."""
        return self.reconciler.reassignments(now) if self.in_force else ()

    # --- status for operators ------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """Returns the status of the policy and its organisations for operators."""
        return {
            "problem": self.problem,
            "version": self._division.version,
            "converged": self._leading and self._reached,
            "organisations": [self._organisation_status(entry) for entry in self._division.limits],
        }

    def _organisation_status(self, limits: OrganisationLimits) -> dict[str, Any]:
        """Returns the status of one organisation; without CPU figures unless this node leads."""
        row: dict[str, Any] = {
            "organisation": limits.name,
            "shares": sorted(
                s for s, n in self._assignment.organisation_by_share.items() if n == limits.name
            ),
            "minimum": limits.minimum,
            "weight": limits.weight,
            "maximum": limits.maximum,
        }
        state = self.reconciler.organisation_states.get(limits.name)
        if state is not None and self._leading and self.in_force:
            row |= {
                "target": round(state.target, 3),
                "held": state.held,
                "lent": round(state.lent, 3),
                "debt": round(state.debt, 3),
                "lacking": round(state.lacking, 3),
                "why": self._lacking_reason(limits.name) if state.lacking else "",
            }
        return row
