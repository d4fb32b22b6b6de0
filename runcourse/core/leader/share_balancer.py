"""The leader's requests to owners to transfer machines to shares that need them more.

The giver is the share that has a machine, the taker the share that is to get it. An empty machine
is transferred at once. A vacated one has its tasks stopped first, and a yielded one takes no new
tasks and is transferred when those on it have ended.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ...wire.peer_messages import TransferMachine, VacateMachine, YieldMachines
from ..context import Context
from ..entitlement_policy import Reassignment
from ..ids import Instant, ShareNo
from ..machine import Record
from ..machines import Fleet
from ..placement import count_fitting
from ..shares import Shares
from ..versions import DIVISIONS_VERSION, Versions
from .demand import LOAD_VALID_S, Demand, LoadReport, accepts
from .fleet_view import IdleMachines
from .pool import Pool
from .transfers import VACATE_TIMEOUT_S, MachineTransfers

MIN_IDLE_S = 1.0  # a machine is transferred only after being empty this long
# Tasks that may not use spot machines wait this long for an empty machine before tasks of other
# shares are stopped for them.
VACATE_AFTER_S = 2.0
VACATE_INTERVAL_S = 1.0  # between two rounds of vacate requests (stop tasks, then transfer)
MACHINES_PER_VACATE = 1_000  # a round has one request, and one more per so many recorded machines
YIELD_INTERVAL_S = 2.0  # between two rounds of yield requests (transfer once tasks have ended)
# A share is asked to yield machines (give them once their tasks have ended) if the taker's demand
# per CPU is at least this many times its own.
YIELD_IMBALANCE_FACTOR = 1.5


class ShareBalancer:
    """Asks owners to give machines to shares that need them more.

    A machine is given at once if empty (transfer), after its tasks were stopped (vacate) or after
    they have ended (yield).
    """

    def __init__(
        self,
        context: Context,
        shares: Shares,
        fleet: Fleet,
        loads: dict[ShareNo, LoadReport],
        transfers: MachineTransfers,
        pool: Pool,
        versions: Versions,
    ) -> None:
        self.context = context
        self.shares = shares
        self.fleet = fleet
        self.loads = loads
        self.transfers = transfers
        self.pool = pool
        self.policy = pool.policy
        self.versions = versions
        self._next_vacate_at = context.now
        self._next_yield_at = context.now
        # Vacate requests for other organisations: when each was sent, and for which share.
        self._vacate_requests: deque[tuple[Instant, ShareNo]] = deque()
        self._demand_index = 0  # round number; selects in turn which demand of a taker is sent

    def request_transfers(
        self,
        unmet: dict[ShareNo, list[Demand]],
        idle: IdleMachines,
    ) -> None:
        """Asks owners to transfer empty machines to shares with waiting tasks."""
        for share, demands in unmet.items():
            for demand in demands:
                others = [
                    s
                    for s in self.shares.all()
                    if s != share and (self.policy.in_force or self._has_no_demand(s, unmet))
                ]
                if (
                    demand.block
                    and demand.count > 0
                    and not self._restrict_to_zone(demand, others, idle)
                ):
                    continue
                for other in others:
                    for entry in list(idle.get(other, ())):
                        seconds, id, record = entry
                        type_ = self.fleet.types[record.type]
                        tasks = count_fitting(demand.size, type_.size)
                        if demand.count <= 0 or seconds < MIN_IDLE_S:
                            break
                        offering = (record.type, record.zone, record.spot)
                        if (
                            tasks
                            and accepts(demand, *offering)
                            and self._may_transfer(other, share, record, unmet)
                        ):
                            demand.count -= tasks
                            idle[other].remove(entry)
                            self.policy.transfer_requested(other, share, type_.cpus)
                            self.transfers.send_to_owner(other, TransferMachine(id, share))

    def _has_no_demand(self, share: ShareNo, unmet: dict[ShareNo, list[Demand]]) -> bool:
        return not any(d.count > 0 for d in unmet.get(share, ()))

    def _is_entitled(self, giver: ShareNo, taker: ShareNo, incoming_cpus: float = 0.0) -> bool:
        """Returns whether the taker's organisation is below its target, also with `incoming_cpus`,
        while the giver serves another organisation, which holds at least its own target."""
        return (
            self.policy.in_force
            and not self.policy.same_organisation(giver, taker)
            and self.policy.below_target(taker, incoming_cpus)
            and self.policy.meets_target(giver)
        )

    def _may_transfer(
        self, giver: ShareNo, taker: ShareNo, record: Record, unmet: dict[ShareNo, list[Demand]]
    ) -> bool:
        """Returns whether the machine may be transferred from the giver to the taker.

        A machine that the giver's waiting tasks can't use may go to any share, unless it must be
        left to an organisation below its target. Any other machine is transferred only if the
        policy lets the taker's organisation take it.
        """
        if not self._has_demand_for(giver, record, unmet):
            return not self.pool.must_wait(taker, record.type, record.zone, record.spot)
        return self.policy.may_take(giver, taker, self.fleet.types[record.type].cpus)

    def _has_demand_for(
        self, share: ShareNo, record: Record, unmet: dict[ShareNo, list[Demand]]
    ) -> bool:
        """Returns whether any waiting task of the share could run on the machine."""
        size = self.fleet.types[record.type].size
        return any(
            demand.count > 0
            and accepts(demand, record.type, record.zone, record.spot)
            and count_fitting(demand.size, size) > 0
            for demand in unmet.get(share, ())
        )

    def _restrict_to_zone(
        self,
        demand: Demand,
        others: list[ShareNo],
        idle: IdleMachines,
    ) -> bool:
        """Restricts the demand of a gang to a zone where empty machines have room for all of it.

        Returns whether there is such a zone; without one no machine is transferred to the gang.
        """
        room_by_zone: dict[str, int] = {}
        for other in others:
            for seconds, _, record in idle.get(other, ()):
                if seconds >= MIN_IDLE_S and accepts(demand, record.type, record.zone, record.spot):
                    tasks = count_fitting(demand.size, self.fleet.types[record.type].size)
                    room_by_zone[record.zone] = room_by_zone.get(record.zone, 0) + tasks
        sufficient = [
            zone
            for zone in room_by_zone
            if room_by_zone[zone] >= demand.missing_by_zone.get(zone, demand.hire)
        ]
        if not sufficient:
            return False
        demand.zone = min(sufficient, key=lambda z: (demand.missing_by_zone.get(z, demand.hire), z))
        demand.count = demand.missing_by_zone.get(demand.zone, demand.hire)
        return True

    def request_vacates(self, unmet: dict[ShareNo, list[Demand]]) -> None:
        """Asks owners to stop less urgent tasks for waiting ones that may not use spot machines.

        Within a share the scheduler preempts less urgent tasks. A busy machine of another share
        never becomes empty by itself while array tasks wait there.
        """
        now = self.context.now
        if now < self._next_vacate_at:
            return
        waiting = sorted(
            (
                (demand.rank, -demand.age, share, demand)
                for share, demands in unmet.items()
                for demand in demands
                if demand.waiting > 0
                and not demand.spot
                and demand.age >= VACATE_AFTER_S
                and self._one_machine_helps(demand)
            ),
            key=lambda w: w[:3],
        )
        requests_left = 1 + len(self.fleet.records) // MACHINES_PER_VACATE
        for _, _, share, demand in waiting:
            others = sorted(
                {
                    group.share
                    for group in self.fleet.groups.counts()
                    if group.share != share
                    and not group.leaving
                    and accepts(demand, group.type, group.zone, group.spot)
                    and self._may_vacate(group.share, share)
                }
            )
            if others:
                self._next_vacate_at = Instant(now + VACATE_INTERVAL_S)
                other = self.context.rng.choice(others)
                entitled = not self.policy.same_organisation(other, share)
                if entitled:
                    self._vacate_requests.append((now, share))
                self.transfers.send_to_owner(
                    other, VacateMachine(other, share, demand.entry, entitled)
                )
                requests_left -= 1
                if not requests_left:
                    return

    def _may_vacate(self, giver: ShareNo, taker: ShareNo) -> bool:
        """Returns whether the giver may be asked to stop work for the taker.

        Between organisations it may only if the taker's is below its target and the giver's is
        not, and if the giver's owner runs a version that knows divisions: an older one would stop
        replicas of services too.
        """
        if self.policy.same_organisation(giver, taker):
            return True
        owner = self.shares.live_owner(giver)
        return (
            owner is not None
            and self.versions.reads(owner, DIVISIONS_VERSION)
            and self._is_entitled(giver, taker, self._incoming_cpus(taker))
        )

    def _incoming_cpus(self, taker: ShareNo) -> float:
        """Returns the CPUs that other organisations were recently asked to vacate for the taker's.

        Each request counts as a machine of the largest recorded type, until its timeout.

        The CPUs count as held, so that no more tasks are stopped for the same demand meanwhile.
        """
        while (
            self._vacate_requests
            and self.context.now > self._vacate_requests[0][0] + VACATE_TIMEOUT_S
        ):
            self._vacate_requests.popleft()
        return self.pool.largest_machine_cpus * sum(
            self.policy.same_organisation(to, taker) for _, to in self._vacate_requests
        )

    def _one_machine_helps(self, demand: Demand) -> bool:
        """Returns whether one vacated machine would let waiting tasks start.

        A gang bound to one zone needs a machine that holds all of its tasks.
        """
        return not demand.block or any(
            count_fitting(demand.size, t.size) >= demand.waiting for t in self.fleet.types.values()
        )

    def request_yields(self, cpus: dict[ShareNo, float]) -> None:
        """Asks owners to transfer machines in use as they become empty; `cpus`: of each share.

        Machines for other organisations that are below their target are requested first. Then the
        shares of each organisation are balanced: they go to the share that needs them most.
        """
        now = self.context.now
        if now < self._next_yield_at:
            return
        requested = self._request_reassignments(self.policy.reassignments(now))
        for group in self._shares_by_organisation():
            requested |= self._balance_within({s: cpus[s] for s in group})
        if requested:
            self._next_yield_at = Instant(now + YIELD_INTERVAL_S)

    def _shares_by_organisation(self) -> list[list[ShareNo]]:
        """Returns the shares by organisation; all in one group while the policy is not in force."""
        groups: list[list[ShareNo]] = []
        for share in self.shares.all():
            for group in groups:
                if self.policy.same_organisation(group[0], share):
                    group.append(share)
                    break
            else:
                groups.append([share])
        return groups

    def _balance_within(self, cpus: dict[ShareNo, float]) -> bool:
        """Asks the share with most CPUs for its demand to yield some to the one with fewest.

        Demand is the CPUs of waiting tasks and those in use. While all shares have waiting tasks
        no machine becomes empty by itself. Returns whether demand exceeded capacity, so that there
        was something to balance.
        """
        now = self.context.now
        cpus_in_demand = {
            s: load.used + sum(d.size.cpus * d.waiting for d in load.demands)
            for s, load in self.loads.items()
            if s in cpus and now - load.at < LOAD_VALID_S
        }
        total, capacity = sum(cpus_in_demand.values()), sum(cpus[s] for s in cpus_in_demand)
        if len(cpus_in_demand) < 2 or total <= capacity or capacity <= 0:
            return False
        deficits = {s: capacity * cpus_in_demand[s] / total - cpus[s] for s in cpus_in_demand}
        taker = max(deficits, key=lambda s: deficits[s])
        giver = min(deficits, key=lambda s: deficits[s])
        demand = max(
            (d for d in self.loads[taker].demands if d.waiting > 0),
            key=lambda d: d.size.cpus * d.waiting,
            default=None,
        )
        if (
            demand is not None
            and cpus_in_demand[taker] * cpus[giver]
            >= YIELD_IMBALANCE_FACTOR * cpus_in_demand[giver] * cpus[taker]
        ):
            # Only half of the difference is requested: demand changes until machines are empty.
            half = min(deficits[taker], -deficits[giver]) / 2
            self.transfers.send_to_owner(giver, YieldMachines(giver, taker, half, demand.entry))
        return True

    def _request_reassignments(self, reassignments: Sequence[Reassignment]) -> bool:
        """Asks givers to yield machines for one demand of each taker, a different one each round.

        The demands take turns because the machines of the givers may fit a small one only. All
        givers together are asked for no more CPUs than the demand needs.
        """
        self._demand_index += 1
        cpus_left: dict[ShareNo, float] = {}
        for giver, taker, cpus in reassignments:
            demands = [d for d in self.loads[taker].demands if self.pool.machine_cpus(d) > 0]
            if not demands:
                continue
            demand = demands[self._demand_index % len(demands)]
            requested = min(cpus, cpus_left.setdefault(taker, self.pool.machine_cpus(demand)))
            if requested > 0:
                cpus_left[taker] -= requested
                self.transfers.send_to_owner(
                    giver, YieldMachines(giver, taker, requested, demand.entry, True)
                )
        return bool(cpus_left)
