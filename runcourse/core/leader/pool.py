"""The machine pool as the entitlement policy observes it, and precedence among organisations."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ..context import Context
from ..entitlement_policy import EntitlementPolicy, PoolState, ShareState
from ..ids import ShareNo
from ..machines import Fleet
from ..placement import count_fitting
from .demand import LOAD_VALID_S, Demand, LoadReport, Offering, accepts

Unmet = Mapping[ShareNo, list[Demand]]


class Pool:
    """Passes the machines' state to the entitlement policy before each plan; applies precedence.

    A plan is one round of the leader's decisions on hires, returns and transfers. Precedence means
    that organisations below their target are served before those that have reached theirs.
    """

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
        self.largest_machine_cpus = 0.0  # CPUs of the largest recorded machine
        # Waiting tasks of organisations that are below their targets: they take precedence.
        self._priority_demands: list[tuple[ShareNo, Demand]] = []
        # Number of recorded machines, by type, zone and spot, without those that are leaving.
        self._offerings: Counter[Offering] = Counter()

    def capacity(self) -> float:
        """Returns the CPUs of all recorded machines that are not leaving."""
        return sum(self.fleet.groups.cpus_by_share(self.fleet.types).values())

    def observe(self, unmet: Unmet) -> None:
        """Passes the present state of the pool to the policy, before a plan is made."""
        self._priority_demands = []
        if not self.policy.in_force:
            return
        for line in self.policy.observe(self._state(), self.context.now):
            self.context.log("info", line)
        self._priority_demands = [
            (share, demand)
            for share, demands in unmet.items()
            if self.policy.below_target(share)
            for demand in demands
        ]

    def _state(self) -> PoolState:
        # Computed from the records at one revision of the store, never by summing values that
        # peers reported.
        held = self.fleet.groups.cpus_by_share(self.fleet.types)
        self._offerings = Counter()
        for group, number in self.fleet.groups.counts().items():
            if not group.leaving:
                self._offerings[group.type, group.zone, group.spot] += number
        types = {type_ for type_, _, _ in self._offerings}
        largest = max((t.cpus for t in self.fleet.types.values() if t.name in types), default=0.0)
        self.largest_machine_cpus = largest
        shares = [self._share_state(share, held.get(share, 0.0)) for share in self._all_shares()]
        return PoolState(shares, largest)

    def _all_shares(self) -> list[ShareNo]:
        return [ShareNo(n) for n in range(len(self.context.members))]

    def _share_state(self, share: ShareNo, held: float) -> ShareState:
        load = self.loads.get(share)
        if load is None or self.context.now - load.at >= LOAD_VALID_S:
            return ShareState(share, held, 0.0, 0.0, 0.0, False)
        waiting_cpus = sum(self.machine_cpus(demand) for demand in load.demands)
        return ShareState(share, held, load.used, load.replicas, waiting_cpus, True)

    def machine_cpus(self, demand: Demand) -> float:
        """Returns the CPUs of recorded machines that the waiting tasks could fill.

        It is 0 for tasks that fit no recorded machine: no owner can yield a machine for them.
        """
        cpus_per_task: float | None = None
        suitable_cpus = 0.0
        for (name, zone, spot), machines in self._offerings.items():
            type_ = self.fleet.types.get(name)
            tasks = count_fitting(demand.size, type_.size) if type_ is not None else 0
            if type_ is not None and tasks and accepts(demand, name, zone, spot):
                suitable_cpus += machines * type_.cpus
                each = type_.cpus / tasks
                cpus_per_task = each if cpus_per_task is None else min(cpus_per_task, each)
        return (
            min(demand.waiting * cpus_per_task, suitable_cpus) if cpus_per_task is not None else 0.0
        )

    def must_wait(self, share: ShareNo, type_: str, zone: str, spot: bool) -> bool:
        """Returns whether the share must leave such a machine to another organisation.

        That is so if its own organisation holds at least its target, and another one that is below
        its target has waiting tasks that could use the machine.
        """
        return (
            bool(self._priority_demands)
            and self.policy.meets_target(share)
            and any(
                demand.count > 0
                and not self.policy.same_organisation(share, other)
                and accepts(demand, type_, zone, spot)
                and count_fitting(demand.size, self.fleet.types[type_].size) > 0
                for other, demand in self._priority_demands
            )
        )
