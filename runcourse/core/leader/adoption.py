"""Recording machines: each gets its share, and a record before the first command to it."""

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

MAX_OPEN_TRANSACTIONS = 2  # transactions of records under way at once


class FoundMachine(NamedTuple):
    """A machine without a record; `share`: the one it was hired for, if any."""

    id: MachineId
    type: str
    zone: str
    spot: bool
    share: ShareNo | None = None


def halves(ids: list[MachineId]) -> list[list[MachineId]]:
    """Of a batch that the state service doesn't take; one alone is given up."""
    middle = len(ids) // 2
    return [ids[:middle], ids[middle:]] if middle else []


class FleetParts:
    """What each share holds of the fleet, and what it should."""

    def __init__(self, cpus: dict[ShareNo, float], same: Counter[tuple[ShareNo, str]]) -> None:
        self.cpus = cpus
        self.same = same  # machines by share and type

    def poorest(self, type_: str, wanted: dict[ShareNo, float]) -> ShareNo:
        """The share that a machine without one goes to: least for what it wants."""
        return min(self.cpus, key=lambda s: (self.cpus[s] / wanted[s], self.same[s, type_], s))

    def add(self, share: ShareNo, type_: str, cpus: float) -> None:
        """A machine more for the share."""
        self.cpus[share] += cpus
        self.same[share, type_] += 1


class Adoption:
    """The leader's records of new machines, many in a transaction and few transactions at once.

    A whole fleet takes the state service a minute to record. So that users' changes are not behind
    all of it, a large number goes in turn with them.
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
        self.returned: set[MachineId] = set()  # not to be recorded again
        self._pending_records: dict[MachineId, Record] = {}  # being recorded, or about to be
        self._groups = MachineGroups()  # of those
        self._queue: deque[MachineId] = deque()
        self._open = 0  # transactions

    def pending_groups(self) -> MachineGroups:
        """The machines that are being recorded."""
        return self._groups

    def parts(self) -> FleetParts:
        """CPUs of each share, and machines by share and type. Those on their way into the
        records count too, or a whole list goes to one share."""
        cpus = dict.fromkeys(self.shares.all(), 0.0)
        same: Counter[tuple[ShareNo, str]] = Counter()
        for groups in (self.fleet.groups, self._groups):
            for share, more in groups.cpus_by_share(self.fleet.types).items():
                cpus[share] += more
            same.update(groups.by_type())
        return FleetParts(cpus, same)

    def adopt(self, found: list[FoundMachine]) -> None:
        """Record machines, for the share named or the one that has least."""
        parts: FleetParts | None = None
        wanted: dict[ShareNo, float] = {}
        for machine in found:
            if not self._is_new(machine):
                continue
            share = machine.share
            if share is None:
                if parts is None:
                    parts, wanted = self.parts(), self._wanted()
                share = parts.poorest(machine.type, wanted)
                parts.add(share, machine.type, self.fleet.types[machine.type].cpus)
            record = Record(share, machine.type, machine.zone, machine.spot, False, ABSENT)
            self._pending_records[machine.id] = record
            self._groups.add(record)
            self._queue.append(machine.id)
        self._send()

    def _is_new(self, machine: FoundMachine) -> bool:
        return (
            machine.id not in self._pending_records
            and machine.id not in self.fleet.records
            and machine.id not in self.returned
            and machine.id not in self.fleet.gone
            and machine.type in self.fleet.types
        )

    def _wanted(self) -> dict[ShareNo, float]:
        """What shares should hold of the fleet, in CPUs: their waiting and running requests,
        and before there are any, as their teams are many."""
        teams = Counter(
            self.shares.of_team(Team(team.name)) for team in self.context.platform.settings.teams
        )
        wanted: dict[ShareNo, float] = {}
        for share in self.shares.all():
            load = self.loads.get(share)
            waiting = sum(n.size.cpus * n.count for n in load.demands) if load else 0.0
            used = load.used if load else 0.0
            wanted[share] = max(teams[share], 0.5) + used + waiting
        return wanted

    # --- records -------------------------------------------------------------------------

    def _send(self) -> None:
        if not self.leading():
            for id in self._queue:
                self._forget(id)
            self._queue.clear()
        size = max(1, self.context.limits.txn_ops)
        while self._queue and self._open < MAX_OPEN_TRANSACTIONS:
            urgency = (
                Store.OWNER if len(self._queue) <= MAX_OPEN_TRANSACTIONS * size else Store.USER
            )
            batch = [self._queue.popleft() for _ in range(min(size, len(self._queue)))]
            self._record(batch, urgency)

    def _record(self, ids: list[MachineId], urgency: int) -> None:
        self._open += 1

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._open -= 1
            if result is CommitResult.REJECTED and len(ids) > 1:
                for part in halves(ids):
                    self._record(part, urgency)
            elif result is CommitResult.CONFLICT and len(ids) > 1:
                self._record_singly(ids)
            else:
                for id in ids:
                    self._forget(id)
            self._send()

        self.store.commit(
            [self.guard(), *(Condition(MACHINE + id, ABSENT) for id in ids)],
            [Write(MACHINE + id, self._pending_records[id].value()) for id in ids],
            done,
            urgency,
        )

    def _record_singly(self, ids: list[MachineId]) -> None:
        """One of them has a record already, or the lead is lost."""
        for id in ids:
            if id in self.fleet.records or id in self.fleet.gone:
                self._forget(id)
            else:
                self._record([id], Store.OWNER)

    def _forget(self, id: MachineId) -> None:
        """It is recorded by now, or will be found again."""
        self._groups.remove(self._pending_records.pop(id))
