"""The leader's picture of the pool for the entitlement policy, and who goes first at a place."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ..context import Context
from ..entitlement import EntitlementPolicy, PoolState, ShareState
from ..ids import ShareNo
from ..machines import Fleet
from ..placement import fits_times
from .demand import LOAD_VALID_S, Demand, LoadReport, Place, serves

Unmet = Mapping[ShareNo, list[Demand]]


class Pool:
    """Shows the policy the pool before each plan, and asks it who goes first."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        loads: Mapping[ShareNo, LoadReport],
        policy: EntitlementPolicy,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.loads = loads
        self.policy = policy
        self.machine_size = 0.0  # CPUs of the largest machine on record
        self._first: list[tuple[ShareNo, Demand]] = []  # waiting work that goes first
        self._places: Counter[Place] = Counter()  # machines on record that stay

    def capacity(self) -> float:
        """CPUs on record, without machines that leave."""
        return sum(self.fleet.groups.cpus_by_share(self.fleet.types).values())

    def observe(self, unmet: Unmet) -> None:
        """A plan begins: what is known of the pool now."""
        self._first = []
        if not self.policy.in_force:
            return
        for line in self.policy.observe(self._state(), self.context.now):
            self.context.log("info", line)
        self._first = [
            (share, need)
            for share, needs in unmet.items()
            if self.policy.short(share)
            for need in needs
        ]

    def _state(self) -> PoolState:
        # Records at one revision of the store, never sums of what peers told.
        held = self.fleet.groups.cpus_by_share(self.fleet.types)
        self._places = Counter()
        for group, number in self.fleet.groups.counts().items():
            if not group.leaving:
                self._places[group.type, group.zone, group.spot] += number
        types = {type_ for type_, _, _ in self._places}
        largest = max((t.cpus for t in self.fleet.types.values() if t.name in types), default=0.0)
        self.machine_size = largest
        shares = [self._share(share, held.get(share, 0.0)) for share in self._all()]
        return PoolState(shares, largest)

    def _all(self) -> list[ShareNo]:
        return [ShareNo(n) for n in range(len(self.context.members))]

    def _share(self, share: ShareNo, held: float) -> ShareState:
        load = self.loads.get(share)
        if load is None or self.context.now - load.at >= LOAD_VALID_S:
            return ShareState(share, held, 0.0, 0.0, 0.0, False)
        asked = sum(self.machine_cpus(need) for need in load.demands)
        return ShareState(share, held, load.used, load.replicas, asked, True)

    def machine_cpus(self, need: Demand) -> float:
        """CPUs of the machines on record that the tasks could fill: what fits no machine that
        there is asks nobody for any."""
        least: float | None = None
        there = 0.0
        for (name, zone, spot), machines in self._places.items():
            type_ = self.fleet.types.get(name)
            times = fits_times(need.size, type_.size) if type_ is not None else 0
            if type_ is not None and times and serves(need, name, zone, spot):
                there += machines * type_.cpus
                each = type_.cpus / times
                least = each if least is None else min(least, each)
        return min(need.asked * least, there) if least is not None else 0.0

    def must_wait(self, share: ShareNo, type_: str, zone: str, spot: bool) -> bool:
        """Does an organisation that holds enough want a place that one short of its target asks
        for? Nothing waits for work that the place would be of no use to."""
        return (
            bool(self._first)
            and self.policy.exceeds(share)
            and any(
                need.count > 0
                and not self.policy.same(share, other)
                and serves(need, type_, zone, spot)
                and fits_times(need.size, self.fleet.types[type_].size) > 0
                for other, need in self._first
            )
        )
