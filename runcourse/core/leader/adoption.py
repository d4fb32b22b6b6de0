"""Adoption of unrecorded machines: assigns each to a share and records it in the store.

A machine's record is its entry in the store. It is written before the first command is sent to the
machine.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from ..context import Context
from ..ids import ABSENT, MachineId, ShareNo, Stamp, Team
from ..machine import Record
from ..machine_groups import MachineGroups
from ..machines import Fleet
from ..shares import Shares
from ..store import CommitResult, Store
from ..stored_values import MACHINE
from ..types import Condition, Write
from .demand import LoadReport

MAX_OPEN_TRANSACTIONS = 2  # concurrent transactions that record machines
MIN_TEAMS_PER_SHARE = 0.5  # teams; a share with fewer counts as this many, so its demand is never 0


class FoundMachine(NamedTuple):
    """A machine without a record in the store; `share` is the share it was hired for, if any."""

    id: MachineId
    type: str
    zone: str
    spot: bool
    share: ShareNo | None = None


def split_batch(ids: list[MachineId]) -> list[list[MachineId]]:
    """Returns the two halves of a batch of changes that the state service rejected as too large.

    The result is empty for a single machine, whose change is given up.
    """
    middle = len(ids) // 2
    return [ids[:middle], ids[middle:]] if middle else []


class FleetAllocation:
    """CPUs and number of machines by type that each share has."""

    def __init__(
        self, cpus: dict[ShareNo, float], machine_counts: Counter[tuple[ShareNo, str]]
    ) -> None:
        self.cpus = cpus
        self.machine_counts = machine_counts  # by share and type

    def neediest_share(self, type_: str, demand_cpus: dict[ShareNo, float]) -> ShareNo:
        """Returns the share with the fewest CPUs per CPU of demand; it gets the next machine."""
        return min(
            self.cpus,
            key=lambda s: (self.cpus[s] / demand_cpus[s], self.machine_counts[s, type_], s),
        )

    def add(self, share: ShareNo, type_: str, cpus: float) -> None:
        """Counts one more machine for the share."""
        self.cpus[share] += cpus
        self.machine_counts[share, type_] += 1


class Adoption:
    """Records new machines on the leader, in large batches and few concurrent transactions.

    Recording a whole fleet takes the state service about a minute. Few records are queued before
    users' changes (urgency OWNER); many are queued among them (urgency USER), so that users don't
    wait until all are stored.
    """

    def __init__(
        self,
        context: Context,
        store: Store,
        shares: Shares,
        fleet: Fleet,
        loads: dict[ShareNo, LoadReport],
        leading: Callable[[], bool],
        guard: Callable[[], Condition],
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.fleet = fleet
        self.loads = loads
        self.leading = leading
        self.guard = guard
        # Machines returned to the cloud, which are not recorded again.
        self.returned: set[MachineId] = set()
        self._pending_records: dict[MachineId, Record] = {}  # queued or being committed
        # Counts of the pending records by share, type, zone and spot.
        self._groups = MachineGroups()
        self._queue: deque[MachineId] = deque()
        self._open_transactions = 0

    def pending_groups(self) -> MachineGroups:
        """Returns counts of the machines that are being recorded, by share, type, zone and spot."""
        return self._groups

    def allocation(self) -> FleetAllocation:
        """Returns the CPUs of each share, and the number of its machines by type.

        Machines that are being recorded count too; otherwise all machines of a list of new ones
        would go to the same share.
        """
        cpus = dict.fromkeys(self.shares.all(), 0.0)
        machine_counts: Counter[tuple[ShareNo, str]] = Counter()
        for groups in (self.fleet.groups, self._groups):
            for share, added_cpus in groups.cpus_by_share(self.fleet.types).items():
                cpus[share] += added_cpus
            machine_counts.update(groups.by_type())
        return FleetAllocation(cpus, machine_counts)

    def adopt(self, found: list[FoundMachine]) -> None:
        """Records new machines for the share they were hired for, or else the neediest share."""
        allocation: FleetAllocation | None = None
        demand_cpus: dict[ShareNo, float] = {}
        for machine in found:
            if not self._is_new(machine):
                continue
            share = machine.share
            if share is None:
                if allocation is None:
                    allocation, demand_cpus = self.allocation(), self._demand_cpus()
                share = allocation.neediest_share(machine.type, demand_cpus)
                allocation.add(share, machine.type, self.fleet.types[machine.type].cpus)
            record = Record(share, machine.type, machine.zone, machine.spot, False, ABSENT)
            self._pending_records[machine.id] = record
            self._groups.add(record)
            self._queue.append(machine.id)
        self._commit_queued()

    def _is_new(self, machine: FoundMachine) -> bool:
        return (
            machine.id not in self._pending_records
            and machine.id not in self.fleet.records
            and machine.id not in self.returned
            and machine.id not in self.fleet.removed_ids
            and machine.type in self.fleet.types
        )

    def _demand_cpus(self) -> dict[ShareNo, float]:
        """Returns for each share the CPUs used and the CPUs of waiting tasks without a machine.

        Load reports of any age count. The number of the share's teams is added as CPUs, so that
        it decides while there are no tasks.
        """
        teams = Counter(
            self.shares.of_team(Team(team.name)) for team in self.context.platform.settings.teams
        )
        demand_cpus: dict[ShareNo, float] = {}
        for share in self.shares.all():
            load = self.loads.get(share)
            waiting = sum(d.size.cpus * d.count for d in load.demands) if load else 0.0
            used = load.used if load else 0.0
            demand_cpus[share] = max(teams[share], MIN_TEAMS_PER_SHARE) + used + waiting
        return demand_cpus

    # --- records -------------------------------------------------------------------------

    def _commit_queued(self) -> None:
        if not self.leading():
            for id in self._queue:
                self._remove_pending(id)
            self._queue.clear()
        size = max(1, self.context.limits.txn_ops)
        while self._queue and self._open_transactions < MAX_OPEN_TRANSACTIONS:
            urgency = (
                Store.OWNER if len(self._queue) <= MAX_OPEN_TRANSACTIONS * size else Store.USER
            )
            batch = [self._queue.popleft() for _ in range(min(size, len(self._queue)))]
            self._record(batch, urgency)

    def _record(self, ids: list[MachineId], urgency: int) -> None:
        self._open_transactions += 1

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._open_transactions -= 1
            if result is CommitResult.REJECTED and len(ids) > 1:
                for half in split_batch(ids):
                    self._record(half, urgency)
            elif result is CommitResult.CONFLICT and len(ids) > 1:
                self._record_singly(ids)
            else:
                for id in ids:
                    self._remove_pending(id)
            self._commit_queued()

        self.store.commit(
            [self.guard(), *(Condition(MACHINE + id, ABSENT) for id in ids)],
            [Write(MACHINE + id, self._pending_records[id].value()) for id in ids],
            done,
            urgency,
        )

    def _record_singly(self, ids: list[MachineId]) -> None:
        """Records each machine of a conflicting batch in a transaction of its own.

        The conflict means that one of the machines has a record already, or that this node no
        longer leads.
        """
        for id in ids:
            if id in self.fleet.records or id in self.fleet.removed_ids:
                self._remove_pending(id)
            else:
                self._record([id], Store.OWNER)

    def _remove_pending(self, id: MachineId) -> None:
        """Removes a machine from the pending ones: it has a record now, or will be found again."""
        self._groups.remove(self._pending_records.pop(id))
