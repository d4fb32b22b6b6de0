"""What is returned, and what is kept although nothing runs on it."""

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

SUM_EVERY_S = 30.0  # between two log lines on the whole fleet
LEAST_PAID_S = 60.0  # a machine is paid for so long at the least
IDLE_BOOT_PART = 0.5  # of its boot time that a machine stays empty at the least
MOST_IDLE_S = 45.0
DRAIN_EVERY_S = 4.0
DRAIN_SURPLUS = 1.5  # in machines of the largest type, from which on some are emptied
DRAIN_SLACK = 1.25  # the same, in the share that empties one
DRAIN_PART = 1 / 8  # of the surplus, emptied at once: one by one, a large one would last


class SpareCapacity:
    """Returns machines that stay empty, and has some emptied when all are in use a little."""

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
        self._peaks: deque[tuple[Instant, float]] = deque()
        self._drain_at = context.now
        self._summed_at = context.now

    def begin(self) -> None:
        """Leadership begins: earlier peaks are not known."""
        self._peaks.clear()

    def keep(self, idle: IdleMachines, cpus: dict[ShareNo, float]) -> None:
        """Return what stays empty, beyond what was in use at once lately and a spare part;
        `cpus`: of each share's machines."""
        keep = self._demand_peak()
        capacity = sum(cpus.values())
        if self.context.now >= self._summed_at + SUM_EVERY_S:
            self._summed_at = self.context.now
            self._log_sum(idle, capacity, keep)
        largest = self._largest_tasks() if any(idle.values()) else {}
        for share in self.shares.all():
            asked = 0
            for machine in sorted(idle.get(share, ()), key=lambda i: (i.record.spot, -i.seconds)):
                if asked >= MAX_RELEASE:
                    break  # the cloud takes no more at once; the rest is asked for again
                type_ = self.fleet.types[machine.record.type]
                left = cpus[share] - self._used(share) - type_.cpus
                if (
                    machine.seconds > self._idle_limit(type_)
                    and capacity - type_.cpus >= keep
                    and left >= largest.get(share, 0.0)
                ):
                    capacity -= type_.cpus
                    cpus[share] -= type_.cpus
                    asked += 1
                    self.transfers.ask_owner(share, ReturnMachine(machine.id))
        if self.context.now >= self._drain_at and not any(idle.values()):
            self._drain(capacity, keep, cpus)

    def _demand_peak(self) -> float:
        """The most CPUs that were asked for at once lately, with the headroom set by operators."""
        now = self.context.now
        self._peaks.append((now, self._demand()))
        while self._peaks and self._peaks[0][0] < now - self.context.operators.peak_window:
            self._peaks.popleft()
        return max(d for _, d in self._peaks) * self.context.operators.headroom

    def _demand(self) -> float:
        return sum(
            load.used + sum(n.size.cpus * n.count for n in load.demands)
            for load in self.loads.values()
        )

    def _idle_limit(self, type_: MachineType) -> float:
        """How long a machine may be empty: it costs its boot again, and a minute at the least."""
        if self.context.operators.idle_return is not None:
            return self.context.operators.idle_return
        return min(max(LEAST_PAID_S - type_.boot_s, IDLE_BOOT_PART * type_.boot_s), MOST_IDLE_S)

    def _log_sum(self, idle: IdleMachines, capacity: float, keep: float) -> None:
        cheap = sum(n for group, n in self.fleet.groups.counts().items() if group.spot)
        self.context.log(
            "info",
            f"fleet: {len(self.fleet.records)} machines, {cheap} cheap,"
            f" {sum(map(len, idle.values()))} empty; {capacity:.0f} CPUs,"
            f" {sum(ld.used for ld in self.loads.values()):.0f} used,"
            f" {self._peaks[-1][1]:.0f} asked, {keep:.0f} kept",
        )

    def _used(self, share: ShareNo) -> float:
        load = self.loads.get(share)
        return load.used if load else 0.0

    def _largest_tasks(self) -> dict[ShareNo, float]:
        """Room that a share with open jobs keeps: without it, the next replica within its
        team's guarantee stops another team's."""
        largest: dict[ShareNo, float] = {}
        for team, cpus in self.fleet.jobs.open_tasks():
            share = self.shares.of_team(Team(team))
            largest[share] = max(largest.get(share, 0.0), cpus)
        return largest

    def _drain(self, capacity: float, keep: float, cpus: dict[ShareNo, float]) -> None:
        """Nothing is empty, yet there is more than is needed: have a share empty one more."""
        largest = max((t.cpus for t in self.fleet.types.values()), default=0.0)
        if capacity - DRAIN_SURPLUS * largest < keep:
            return
        slack = {s: cpus[s] - self.loads[s].used for s in self.shares.all() if s in self.loads}
        if slack:
            share = max(slack, key=lambda s: slack[s])
            if slack[share] > DRAIN_SLACK * largest:
                self._drain_at = later(self.context.now, DRAIN_EVERY_S)
                # A large surplus would last for many such steps: an eighth of it at once.
                number = max(1, int((capacity - keep) / largest * DRAIN_PART))
                self.transfers.ask_owner(share, DrainMachines(share, number))
