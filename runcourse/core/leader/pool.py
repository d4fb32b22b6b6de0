"""The leader's picture of the pool for the entitlement policy, and who goes first at a place."""

from __future__ import annotations

from collections.abc import Mapping

from ..context import Context
from ..entitlement import EntitlementPolicy, PoolState, ShareState
from ..ids import ShareNo
from ..machines import Fleet
from ..placement import fits_times
from .demand import LOAD_VALID_S, Demand, LoadReport, serves

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
        self._first: list[tuple[ShareNo, Demand]] = []  # waiting work that goes first

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
        types = {group.type for group in self.fleet.groups.counts()}
        largest = max((t.cpus for t in self.fleet.types.values() if t.name in types), default=0.0)
        shares = [self._share(share, held.get(share, 0.0)) for share in self._all()]
        return PoolState(shares, largest)

    def _all(self) -> list[ShareNo]:
        return [ShareNo(n) for n in range(len(self.context.members))]

    def _share(self, share: ShareNo, held: float) -> ShareState:
        load = self.loads.get(share)
        if load is None or self.context.now - load.at >= LOAD_VALID_S:
            return ShareState(share, held, 0.0, 0.0, 0.0, False)
        asked = sum(self._machine_cpus(need) for need in load.demands)
        return ShareState(share, held, load.used, load.replicas, asked, True)

    def _machine_cpus(self, need: Demand) -> float:
        """CPUs of the machines that the tasks would fill; 0 if they fit no type."""
        each = [
            type_.cpus / times
            for type_ in self.fleet.types.values()
            if (need.types is None or type_.name in need.types)
            and (times := fits_times(need.size, type_.size))
        ]
        return need.asked * min(each, default=0.0)

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
