"""Computes the targets of organisations, and which transfers of machines are needed to reach them.

The reconciler is level-triggered: each plan of the leader starts from the present machine records
and load reports, so a new leader simply continues, and a new division (the limits of all
organisations) simply replaces the former one. The state kept between plans only damps oscillation:
which organisations are catching up (hysteresis with two thresholds), and the direction and time of
the last transfers (a dwell time that doubles with each reversal). A new leader has no such
state, so it waits one dwell time before it requests machines in use.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ..core.entitlement_policy import OrganisationName, PoolState, Reassignment, ShareState
from ..core.ids import Instant, ShareNo
from ..core.stored_values import OrganisationLimits
from .fairshare import Claim, allocate

# Fraction of the largest machine's CPUs: an organisation that lacks less has caught up.
CAUGHT_UP_FRACTION = 0.5
MAX_DWELL_FACTOR = 8  # upper bound of a dwell time, as a multiple of the configured one
DWELL_GROWTH_FACTOR = 2  # by which a dwell time grows with each reversal of direction
# The direction of transfers between two organisations is forgotten after so many maximum dwell
# times without one.
DIRECTION_MEMORY_DWELLS = 4
CPU_TOLERANCE = 1e-6  # CPUs; less than any machine has


class OrganisationState(NamedTuple):
    """Target, holdings and demand of one organisation, in CPUs."""

    target: float  # CPUs it should hold now: its part of the capacity, given the demands of all
    entitled: float  # its part if every organisation could use the whole capacity
    held: float  # CPUs of the machines of its shares
    demand: float  # CPUs that its running and waiting tasks need
    replicas: float  # held by replicas of services, which are not stopped for a lower target
    lacking_elsewhere: float = 0.0  # total that the other organisations lack

    @property
    def lacking(self) -> float:
        """CPUs by which it is below its target."""
        return max(0.0, self.target - self.held)

    @property
    def surplus(self) -> float:
        """CPUs by which it is above its target."""
        return max(0.0, self.held - self.target)

    @property
    def debt(self) -> float:
        """The part of the surplus that replicas hold and that other organisations lack."""
        return min(self.surplus, self.replicas, self.lacking_elsewhere)

    @property
    def lent(self) -> float:
        """CPUs of `entitled` beyond both what it holds and its target; others may use them."""
        return max(0.0, self.entitled - max(self.held, self.target))


class _TransferDirection:
    """The direction of the last transfer of machines in use between two organisations."""

    __slots__ = ("dwell_s", "giver", "requested_at")

    def __init__(self, giver: OrganisationName, requested_at: Instant, dwell_s: float) -> None:
        self.giver = giver
        self.requested_at = requested_at
        self.dwell_s = dwell_s  # after `requested_at`, before the opposite direction is allowed


class Reconciler:
    """Computes the present targets, and the transfers that are needed to reach them."""

    def __init__(self, dwell_s: float) -> None:
        self.dwell_s = dwell_s
        self.organisation_states: dict[OrganisationName, OrganisationState] = {}
        self._organisation_by_share: Mapping[ShareNo, OrganisationName] = {}
        self._pool = PoolState((), 0.0)
        # CPUs requested for each organisation in this plan, less those requested from it.
        self._requested_cpus: dict[OrganisationName | None, float] = {}
        # Organisations that lacked more than the largest machine and have not caught up since.
        self._catching_up: set[OrganisationName] = set()
        self._transfer_directions: dict[frozenset[OrganisationName], _TransferDirection] = {}
        self._leading_since = Instant(0.0)

    def begin(self, now: Instant) -> None:
        """Resets the state of an earlier leadership."""
        self._leading_since = now
        self._catching_up.clear()
        self._transfer_directions.clear()
        self.organisation_states = {}

    # --- targets -------------------------------------------------------------------------

    def observe(
        self,
        pool: PoolState,
        organisation_by_share: Mapping[ShareNo, OrganisationName],
        limits: Sequence[OrganisationLimits],
    ) -> None:
        """Computes the present targets, and which organisations are catching up."""
        self._pool, self._organisation_by_share = pool, organisation_by_share
        self._requested_cpus.clear()
        self.organisation_states = self._compute_states(limits)
        for name, state in self.organisation_states.items():
            if state.lacking > pool.largest_machine_cpus + CPU_TOLERANCE:
                self._catching_up.add(name)
            elif state.lacking < CAUGHT_UP_FRACTION * pool.largest_machine_cpus:
                self._catching_up.discard(name)

    def targets(self, limits: Sequence[OrganisationLimits]) -> dict[OrganisationName, float]:
        """Returns the targets that the organisations would have in the present pool under such
        limits."""
        return self._allocate(limits, self._demands())

    def _compute_states(
        self, limits: Sequence[OrganisationLimits]
    ) -> dict[OrganisationName, OrganisationState]:
        demands = self._demands()
        targets = self._allocate(limits, demands)
        entitled = self._allocate(limits, dict.fromkeys(targets, self._capacity()))
        states = {}
        for name in targets:
            shares = [
                s for s in self._pool.shares if self._organisation_by_share.get(s.share) == name
            ]
            states[name] = OrganisationState(
                targets[name],
                entitled[name],
                sum(s.held for s in shares),
                demands.get(name, 0.0),
                sum(s.replicas for s in shares),
            )
        lacking = sum(state.lacking for state in states.values())
        return {
            name: state._replace(lacking_elsewhere=lacking - state.lacking)
            for name, state in states.items()
        }

    def _capacity(self) -> float:
        return sum(share.held for share in self._pool.shares)

    def _demands(self) -> dict[OrganisationName, float]:
        demands: dict[OrganisationName, float] = {}
        for share in self._pool.shares:
            name = self._organisation_by_share.get(share.share)
            if name is not None:
                demands[name] = demands.get(name, 0.0) + _share_demand(share)
        return demands

    def _allocate(
        self, limits: Sequence[OrganisationLimits], demands: Mapping[OrganisationName, float]
    ) -> dict[OrganisationName, float]:
        capacity = self._capacity()
        claims = [
            Claim(e.name, demands.get(e.name, 0.0), e.minimum, e.weight, e.maximum) for e in limits
        ]
        bounded = allocate(capacity, claims)
        # A maximum binds only while other organisations need the capacity: what the first
        # allocation leaves over is divided without maxima.
        unbounded_claims = [
            c._replace(minimum=float(bounded[c.name]), maximum=None) for c in claims
        ]
        return {name: float(cpus) for name, cpus in allocate(capacity, unbounded_claims).items()}

    # --- requests to owners --------------------------------------------------------------

    def _lacking(self, name: OrganisationName | None) -> float:
        """Returns the CPUs that the organisation lacks after the requests of this plan; negative if
        it is above its target."""
        state = self.organisation_states.get(name) if name is not None else None
        if state is None:
            return 0.0
        return state.target - state.held - self._requested_cpus.get(name, 0.0)

    def _surplus(self, name: OrganisationName | None) -> float:
        if name is None:  # shares without an organisation need none of their machines
            held = sum(
                s.held for s in self._pool.shares if s.share not in self._organisation_by_share
            )
            return held + self._requested_cpus.get(None, 0.0)
        return -self._lacking(name) if name in self.organisation_states else 0.0

    def below_target(self, share: ShareNo, incoming_cpus: float = 0.0) -> bool:
        """Returns whether the share's organisation is catching up and, after it receives
        `incoming_cpus`, still lacks at least `CAUGHT_UP_FRACTION` of the largest machine."""
        name = self._organisation_by_share.get(share)
        min_lacking = CAUGHT_UP_FRACTION * self._pool.largest_machine_cpus
        return name in self._catching_up and self._lacking(name) - incoming_cpus >= min_lacking

    def meets_target(self, share: ShareNo) -> bool:
        """Returns whether the share's organisation holds at least its target."""
        return self._surplus(self._organisation_by_share.get(share)) >= -CPU_TOLERANCE

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """Returns whether the taker's organisation is another one and below its target, and the
        giver's would end at most half of the machine's CPUs below its own."""
        return (
            not self.same_organisation(giver, taker)
            and self.below_target(taker)
            and self._surplus(self._organisation_by_share.get(giver)) >= cpus / 2 - CPU_TOLERANCE
        )

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """Returns whether both shares serve the same organisation."""
        return self._organisation_by_share.get(one) == self._organisation_by_share.get(other)

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """Counts a machine requested in this plan for the taker, and against the giver."""
        for share, change in ((giver, -cpus), (taker, cpus)):
            name = self._organisation_by_share.get(share)
            self._requested_cpus[name] = self._requested_cpus.get(name, 0.0) + change

    def reassignments(self, now: Instant) -> list[Reassignment]:
        """Returns how many CPUs of machines in use are to be transferred, as these become empty, to
        shares whose organisation is below its target; none within a dwell time of a takeover."""
        if now < self._leading_since + self.dwell_s:
            return []
        takers = self._takers()
        givers = self._givers()
        reassignments: list[Reassignment] = []
        for taker, lacking in takers:
            for index, (giver, surplus) in enumerate(givers):
                cpus = min(lacking, surplus)
                if cpus <= CPU_TOLERANCE or not self._allow_direction(giver, taker, now):
                    continue
                reassignments.append(Reassignment(giver, taker, cpus))
                givers[index] = (giver, surplus - cpus)
                lacking -= cpus
        return reassignments

    def _takers(self) -> list[tuple[ShareNo, float]]:
        """Returns the shares with waiting tasks whose organisation is below its target, with the
        CPUs that each lacks: what an organisation lacks is divided in proportion to what waits in
        its shares."""
        takers = []
        for share in self._pool.shares:
            if share.waiting > 0 and self.below_target(share.share):
                name = self._organisation_by_share[share.share]
                total_waiting = sum(
                    s.waiting
                    for s in self._pool.shares
                    if self._organisation_by_share.get(s.share) == name
                )
                takers.append((share.share, self._lacking(name) * share.waiting / total_waiting))
        return takers

    def _givers(self) -> list[tuple[ShareNo, float]]:
        """Returns the shares whose organisation is above its target, or that serve none, with the
        surplus CPUs of each: the surplus of an organisation is divided in proportion to what its
        shares hold."""
        givers = []
        for share in self._pool.shares:
            name = self._organisation_by_share.get(share.share)
            surplus = self._surplus(name)
            if share.held > 0 and surplus > 0:
                held = sum(
                    s.held
                    for s in self._pool.shares
                    if self._organisation_by_share.get(s.share) == name
                )
                givers.append((share.share, surplus * share.held / held))
        return givers

    # --- dwell times ---------------------------------------------------------------------

    def _allow_direction(self, giver: ShareNo, taker: ShareNo, now: Instant) -> bool:
        """Returns whether machines in use may be transferred in this direction, and records it if
        so. The opposite direction is allowed only after the dwell time."""
        receiver = self._organisation_by_share[taker]
        name = self._organisation_by_share.get(giver)
        if name is None:
            return True
        pair = frozenset((name, receiver))
        last = self._transfer_directions.get(pair)
        max_dwell_s = MAX_DWELL_FACTOR * self.dwell_s
        if last is None or now > last.requested_at + DIRECTION_MEMORY_DWELLS * max_dwell_s:
            self._transfer_directions[pair] = _TransferDirection(name, now, self.dwell_s)
            return True
        if last.giver == name:
            last.requested_at = now
            return True
        if now < last.requested_at + last.dwell_s:
            return False
        self._transfer_directions[pair] = _TransferDirection(
            name, now, min(DWELL_GROWTH_FACTOR * last.dwell_s, max_dwell_s)
        )
        return True


def _share_demand(share: ShareState) -> float:
    """Returns the CPUs that the share needs; without a valid report of its owner, all that it
    holds may be needed."""
    return share.used + share.waiting if share.report_valid else share.held


def converged(states: Iterable[OrganisationState], largest_machine_cpus: float) -> bool:
    """Returns whether the targets are reached, as far as replicas of services allow.

    Organisations that lack no more than one largest machine count as having reached theirs. What
    the others lack together must be no more than the total debt, the surplus in replicas.
    """
    listed = list(states)
    debt = sum(state.debt for state in listed)
    lacking = sum(s.lacking for s in listed if s.lacking > largest_machine_cpus + CPU_TOLERANCE)
    return lacking <= debt + CPU_TOLERANCE
