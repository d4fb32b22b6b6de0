"""Spare capacity: which empty machines are returned to the cloud, and which are kept."""

from __future__ import annotations

from collections import deque

from ...wire.peer_messages import DrainMachines, ReturnMachine
from ..context import Context
from ..ids import Instant, ShareNo, Team, later
from ..machines import Fleet
from ..shares import Shares
from ..types import MachineType
from .demand import LoadReport
from .fleet_view import IdleMachines
from .inventory import MAX_RELEASE
from .transfers import MachineTransfers

FLEET_LOG_INTERVAL_S = 30.0  # between two log lines on the whole fleet
MIN_PAID_S = 60.0  # a machine is paid for this long even if it is returned earlier
# A machine is kept empty for this fraction of its boot time, or until its minimum paid time is over
# if that is longer, but at most for MAX_IDLE_S.
IDLE_BOOT_FRACTION = 0.5
MAX_IDLE_S = 45.0  # upper bound of the time for which a machine in surplus is kept empty
DRAIN_INTERVAL_S = 4.0  # between two requests to drain machines
DRAIN_SURPLUS = 1.5  # least surplus at which machines are drained, in machines of the largest type
DRAIN_SLACK = 1.25  # a share drains only with more unused capacity (in largest machines)
# Fraction of the surplus drained per request: one by one takes too long if the surplus is large.
DRAIN_FRACTION = 1 / 8


class SpareCapacity:
    """Returns machines that stay empty; has busy ones drained if there is a surplus without empty
    machines. A drained machine takes no new tasks, so that it becomes empty."""

    def __init__(
        self,
        context: Context,
        shares: Shares,
        fleet: Fleet,
        loads: dict[ShareNo, LoadReport],
        transfers: MachineTransfers,
    ) -> None:
        self.context = context
        self.shares = shares
        self.fleet = fleet
        self.loads = loads
        self.transfers = transfers
        self._demand_samples: deque[tuple[Instant, float]] = deque()  # CPUs, within the peak window
        self._next_drain_at = context.now
        self._last_log_at = context.now

    def begin(self) -> None:
        """Starts anew when leadership begins; earlier demand is not known."""
        self._demand_samples.clear()

    def return_surplus(self, idle: IdleMachines, cpus: dict[ShareNo, float]) -> None:
        """Returns empty machines that exceed the recent peak of demand times the headroom.

        `cpus` holds the capacity of each share and is reduced by what is returned. If no machine
        is empty, some may be drained.
        """
        keep = self._peak_demand_cpus()
        capacity = sum(cpus.values())
        if self.context.now >= self._last_log_at + FLEET_LOG_INTERVAL_S:
            self._last_log_at = self.context.now
            self._log_fleet(idle, capacity, keep)
        largest = self._largest_tasks() if any(idle.values()) else {}
        for share in self.shares.all():
            requested = 0
            for machine in sorted(idle.get(share, ()), key=lambda i: (i.record.spot, -i.seconds)):
                if requested >= MAX_RELEASE:
                    break  # the cloud takes no more in one request; the rest follows in later plans
                type_ = self.fleet.types[machine.record.type]
                left = cpus[share] - self._used(share) - type_.cpus
                if (
                    machine.seconds > self._idle_limit_s(type_)
                    and capacity - type_.cpus >= keep
                    and left >= largest.get(share, 0.0)
                ):
                    capacity -= type_.cpus
                    cpus[share] -= type_.cpus
                    requested += 1
                    self.transfers.send_to_owner(share, ReturnMachine(machine.id))
        if self.context.now >= self._next_drain_at and not any(idle.values()):
            self._drain(capacity, keep, cpus)

    def _peak_demand_cpus(self) -> float:
        """Returns the CPUs to keep: the highest demand of the `peak_window`, times `headroom`."""
        now = self.context.now
        self._demand_samples.append((now, self._demand_cpus()))
        while (
            self._demand_samples
            and self._demand_samples[0][0] < now - self.context.operators.peak_window
        ):
            self._demand_samples.popleft()
        return max(d for _, d in self._demand_samples) * self.context.operators.headroom

    def _demand_cpus(self) -> float:
        return sum(
            load.used + sum(d.size.cpus * d.count for d in load.demands)
            for load in self.loads.values()
        )

    def _idle_limit_s(self, type_: MachineType) -> float:
        """Returns the seconds for which a machine may be empty before it is returned.

        Replacing it costs another boot, and a machine is paid for a minimum time anyway.
        """
        if self.context.operators.idle_return is not None:
            return self.context.operators.idle_return
        return min(max(MIN_PAID_S - type_.boot_s, IDLE_BOOT_FRACTION * type_.boot_s), MAX_IDLE_S)

    def _log_fleet(self, idle: IdleMachines, capacity: float, keep: float) -> None:
        spot = sum(n for group, n in self.fleet.groups.counts().items() if group.spot)
        self.context.log(
            "info",
            f"fleet: {len(self.fleet.records)} machines, {spot} cheap,"
            f" {sum(map(len, idle.values()))} empty; {capacity:.0f} CPUs,"
            f" {sum(ld.used for ld in self.loads.values()):.0f} used,"
            f" {self._demand_samples[-1][1]:.0f} asked, {keep:.0f} kept",
        )

    def _used(self, share: ShareNo) -> float:
        load = self.loads.get(share)
        return load.used if load else 0.0

    def _largest_tasks(self) -> dict[ShareNo, float]:
        """Returns for each share the CPUs of the largest task of its unfinished jobs.

        The share keeps as many CPUs unused.

        Without that room, the next replica within its team's guarantee would preempt a task of
        another team.
        """
        largest: dict[ShareNo, float] = {}
        for team, cpus in self.fleet.jobs.open_task_sizes():
            share = self.shares.of_team(Team(team))
            largest[share] = max(largest.get(share, 0.0), cpus)
        return largest

    def _drain(self, capacity: float, keep: float, cpus: dict[ShareNo, float]) -> None:
        """Asks the share with most unused CPUs to drain machines if there is a surplus.

        It is called when no machine is empty.
        """
        largest = max((t.cpus for t in self.fleet.types.values()), default=0.0)
        if capacity - DRAIN_SURPLUS * largest < keep:
            return
        slack = {s: cpus[s] - self.loads[s].used for s in self.shares.all() if s in self.loads}
        if slack:
            share = max(slack, key=lambda s: slack[s])
            if slack[share] > DRAIN_SLACK * largest:
                self._next_drain_at = later(self.context.now, DRAIN_INTERVAL_S)
                number = max(1, int((capacity - keep) / largest * DRAIN_FRACTION))
                self.transfers.send_to_owner(share, DrainMachines(share, number))
