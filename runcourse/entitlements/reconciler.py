"""Targets of organisations, and which machines owners are asked for to reach them.

Level-triggered: each round starts from the records and reports of that moment, so a new leader goes
on and another division replaces the first. Kept between rounds is only what makes the rounds
gentler: who is catching up (two thresholds), and when machines last went which way (a dwell time
that doubles when they go back and forth). A new leader knows neither and starts from the strict
end: it waits one dwell time before it asks for machines in use.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ..core.entitlement import Organisation, PoolState, Reassignment, ShareState
from ..core.ids import Instant, ShareNo
from ..core.stored_values import OrganisationLimits
from .fairshare import Claim, allocate

STOP_PART = 0.5  # of a machine that an organisation lacks when it has caught up
MAX_DWELL_FACTOR = 8  # times the first dwell time, however often machines go back and forth
FORGET_AFTER = 4  # longest dwell times without a change of direction, after which all is forgotten
LEAST_CPUS = 1e-6  # less than any machine has


class Standing(NamedTuple):
    """How an organisation fares; all in CPUs."""

    target: float  # of the capacity, given what all ask for
    entitled: float  # of the capacity, if all asked for everything
    held: float
    demand: float
    replicas: float  # held by replicas of services, which are never stopped for a cut
    missed: float = 0.0  # what the others lack, all together

    @property
    def lacking(self) -> float:
        """How much less than its target it holds."""
        return max(0.0, self.target - self.held)

    @property
    def surplus(self) -> float:
        """How much more than its target it holds."""
        return max(0.0, self.held - self.target)

    @property
    def debt(self) -> float:
        """The part of the surplus that others lack and that replicas hold."""
        return min(self.surplus, self.replicas, self.missed)

    @property
    def lent(self) -> float:
        """How much of what it is entitled to it has no use for and doesn't hold."""
        return max(0.0, self.entitled - max(self.held, self.target))


class _Direction:
    """Which way machines in use last went between two organisations."""

    __slots__ = ("at", "dwell_s", "giver")

    def __init__(self, giver: Organisation, at: Instant, dwell_s: float) -> None:
        self.giver = giver
        self.at = at
        self.dwell_s = dwell_s  # from the last request on, before the other way


class Reconciler:
    """The targets of one moment, and what follows from them."""

    def __init__(self, dwell_s: float) -> None:
        self.dwell_s = dwell_s
        self.organisation_states: dict[Organisation, Standing] = {}
        self._serves: Mapping[ShareNo, Organisation] = {}
        self._pool = PoolState((), 0.0)
        self._moved: dict[Organisation | None, float] = {}  # CPUs asked for in this plan
        self._catching_up: set[Organisation] = set()
        self._directions: dict[frozenset[Organisation], _Direction] = {}
        self._begun = Instant(0.0)

    def begin(self, now: Instant) -> None:
        """Leadership begins."""
        self._begun = now
        self._catching_up.clear()
        self._directions.clear()
        self.organisation_states = {}

    # --- targets -------------------------------------------------------------------------

    def observe(
        self,
        pool: PoolState,
        serves: Mapping[ShareNo, Organisation],
        limits: Sequence[OrganisationLimits],
    ) -> None:
        """Reckon the targets of this moment."""
        self._pool, self._serves = pool, serves
        self._moved.clear()
        self.organisation_states = self._standings(limits)
        for name, standing in self.organisation_states.items():
            if standing.lacking > pool.machine_cpus + LEAST_CPUS:
                self._catching_up.add(name)
            elif standing.lacking < STOP_PART * pool.machine_cpus:
                self._catching_up.discard(name)

    def targets(self, limits: Sequence[OrganisationLimits]) -> dict[Organisation, float]:
        """What the organisations would get of the present pool under such limits."""
        return self._allocate(limits, self._demands())

    def _standings(self, limits: Sequence[OrganisationLimits]) -> dict[Organisation, Standing]:
        demands = self._demands()
        targets = self._allocate(limits, demands)
        entitled = self._allocate(limits, dict.fromkeys(targets, self._capacity()))
        found = {}
        for name in targets:
            shares = [s for s in self._pool.shares if self._serves.get(s.share) == name]
            found[name] = Standing(
                targets[name],
                entitled[name],
                sum(s.held for s in shares),
                demands.get(name, 0.0),
                sum(s.replicas for s in shares),
            )
        lacking = sum(standing.lacking for standing in found.values())
        return {
            name: standing._replace(missed=lacking - standing.lacking)
            for name, standing in found.items()
        }

    def _capacity(self) -> float:
        return sum(share.held for share in self._pool.shares)

    def _demands(self) -> dict[Organisation, float]:
        demands: dict[Organisation, float] = {}
        for share in self._pool.shares:
            name = self._serves.get(share.share)
            if name is not None:
                demands[name] = demands.get(name, 0.0) + _demand(share)
        return demands

    def _allocate(
        self, limits: Sequence[OrganisationLimits], demands: Mapping[Organisation, float]
    ) -> dict[Organisation, float]:
        capacity = self._capacity()
        claims = [
            Claim(e.name, demands.get(e.name, 0.0), e.minimum, e.weight, e.maximum) for e in limits
        ]
        first = allocate(capacity, claims)
        # What is left is asked for only beyond a maximum, which binds while others ask.
        beyond = [c._replace(minimum=float(first[c.name]), maximum=None) for c in claims]
        return {name: float(cpus) for name, cpus in allocate(capacity, beyond).items()}

    # --- what may be asked of owners -----------------------------------------------------

    def _lacking(self, name: Organisation | None) -> float:
        """What the organisation lacks, with what was asked for it in this plan."""
        standing = self.organisation_states.get(name) if name is not None else None
        if standing is None:
            return 0.0
        return standing.target - standing.held - self._moved.get(name, 0.0)

    def _surplus(self, name: Organisation | None) -> float:
        if name is None:  # a share that serves nobody has a use for nothing
            held = sum(s.held for s in self._pool.shares if s.share not in self._serves)
            return held + self._moved.get(None, 0.0)
        return -self._lacking(name) if name in self.organisation_states else 0.0

    def below_target(self, share: ShareNo, coming: float = 0.0) -> bool:
        """Does its organisation ask for more, and lack more than part of a machine?"""
        name = self._serves.get(share)
        least = STOP_PART * self._pool.machine_cpus
        return name in self._catching_up and self._lacking(name) - coming >= least

    def meets_target(self, share: ShareNo) -> bool:
        """Does its organisation hold its target or more?"""
        return self._surplus(self._serves.get(share)) >= -LEAST_CPUS

    def may_take(self, giver: ShareNo, taker: ShareNo, cpus: float) -> bool:
        """The giver's organisation keeps its target, within half of the machine."""
        return (
            not self.same_organisation(giver, taker)
            and self.below_target(taker)
            and self._surplus(self._serves.get(giver)) >= cpus / 2 - LEAST_CPUS
        )

    def same_organisation(self, one: ShareNo, other: ShareNo) -> bool:
        """Do both serve the same organisation?"""
        return self._serves.get(one) == self._serves.get(other)

    def transfer_requested(self, giver: ShareNo, taker: ShareNo, cpus: float) -> None:
        """A machine was asked for in this plan."""
        for share, change in ((giver, -cpus), (taker, cpus)):
            name = self._serves.get(share)
            self._moved[name] = self._moved.get(name, 0.0) + change

    def reassignments(self, now: Instant) -> list[Reassignment]:
        """Machines in use that are to go, as they fall empty, to who is short of its target."""
        if now < self._begun + self.dwell_s:
            return []
        takers = self._takers()
        givers = self._givers()
        found: list[Reassignment] = []
        for taker, lacking in takers:
            for n, (giver, surplus) in enumerate(givers):
                cpus = min(lacking, surplus)
                if cpus <= LEAST_CPUS or not self._may_turn(giver, taker, now):
                    continue
                found.append(Reassignment(giver, taker, cpus))
                givers[n] = (giver, surplus - cpus)
                lacking -= cpus
        return found

    def _takers(self) -> list[tuple[ShareNo, float]]:
        """Shares that are short, and by how much: what an organisation lacks is parted by what
        its shares ask for."""
        found = []
        for share in self._pool.shares:
            if share.asked > 0 and self.below_target(share.share):
                name = self._serves[share.share]
                asked = sum(s.asked for s in self._pool.shares if self._serves.get(s.share) == name)
                found.append((share.share, self._lacking(name) * share.asked / asked))
        return found

    def _givers(self) -> list[tuple[ShareNo, float]]:
        """Shares that hold more than the target, and by how much."""
        found = []
        for share in self._pool.shares:
            name = self._serves.get(share.share)
            surplus = self._surplus(name)
            if share.held > 0 and surplus > 0:
                held = sum(s.held for s in self._pool.shares if self._serves.get(s.share) == name)
                found.append((share.share, surplus * share.held / held))
        return found

    # --- back and forth ------------------------------------------------------------------

    def _may_turn(self, giver: ShareNo, taker: ShareNo, now: Instant) -> bool:
        """Not back within the dwell time; notes that machines go this way now."""
        to = self._serves[taker]
        name = self._serves.get(giver)
        if name is None:
            return True
        pair = frozenset((name, to))
        last = self._directions.get(pair)
        longest = MAX_DWELL_FACTOR * self.dwell_s
        if last is None or now > last.at + FORGET_AFTER * longest:
            self._directions[pair] = _Direction(name, now, self.dwell_s)
            return True
        if last.giver == name:
            last.at = now
            return True
        if now < last.at + last.dwell_s:
            return False
        self._directions[pair] = _Direction(name, now, min(2 * last.dwell_s, longest))
        return True


def _demand(share: ShareState) -> float:
    """An owner that was not heard lately may need all that its share holds."""
    return share.used + share.asked if share.current else share.held


def converged(organisation_states: Iterable[Standing], machine_cpus: float) -> bool:
    """Does everybody hold its target, within a machine, or lack no more than debt?"""
    listed = list(organisation_states)
    debt = sum(standing.debt for standing in listed)
    lacking = sum(s.lacking for s in listed if s.lacking > machine_cpus + LEAST_CPUS)
    return lacking <= debt + LEAST_CPUS
