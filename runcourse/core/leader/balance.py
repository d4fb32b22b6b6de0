"""The parting of machines among the shares, which the leader asks their owners for."""

from __future__ import annotations

from ...wire.peer_messages import TransferMachine, VacateMachine, YieldMachines
from ..context import Context
from ..ids import Instant, ShareNo
from ..machines import Fleet
from ..placement import fits_times
from ..shares import Shares
from .demand import Demand, LoadReport, serves
from .fleet_view import IdleMachines
from .transfers import MachineTransfers

VACATE_AFTER_S = 2.0  # work that cheap machines can't take waits so long for an empty one
VACATE_EVERY_S = 1.0  # between two rounds of such requests
MACHINES_PER_VACATE = 1_000  # of the fleet, for each request in a round beyond the first
BALANCE_EVERY_S = 2.0
UNEVEN = 1.5  # by how much more a share must ask for its CPUs before another yields some


class Balance:
    """The leader's requests to owners for machines that other shares need more."""

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
        self._vacate_at = context.now
        self._balance_at = context.now

    def move_idle(
        self,
        unmet: dict[ShareNo, list[Demand]],
        idle: IdleMachines,
    ) -> None:
        """Empty machines go towards shares with waiting tasks."""
        for share, needs in unmet.items():
            for need in needs:
                others = [
                    s
                    for s in self.shares.all()
                    if s != share and not any(n.count > 0 for n in unmet.get(s, ()))
                ]
                if need.block and need.count > 0 and not self._one_zone(need, others, idle):
                    continue
                for other in others:
                    for entry in list(idle.get(other, ())):
                        seconds, id, record = entry
                        type_ = self.fleet.types[record.type]
                        n = fits_times(need.size, type_.size)
                        if need.count <= 0 or seconds < 1.0:
                            break
                        if n and serves(need, record.type, record.zone, record.spot):
                            need.count -= n
                            idle[other].remove(entry)
                            self.transfers.ask_owner(other, TransferMachine(id, share))

    def _one_zone(
        self,
        need: Demand,
        others: list[ShareNo],
        idle: IdleMachines,
    ) -> bool:
        """Is there a zone with empty machines for all that it lacks? Then only those are moved."""
        room: dict[str, int] = {}
        for other in others:
            for seconds, _, record in idle.get(other, ()):
                if seconds >= 1.0 and serves(need, record.type, record.zone, record.spot):
                    n = fits_times(need.size, self.fleet.types[record.type].size)
                    room[record.zone] = room.get(record.zone, 0) + n
        enough = [zone for zone in room if room[zone] >= need.lacks.get(zone, need.hire)]
        if not enough:
            return False
        need.zone = min(enough, key=lambda z: (need.lacks.get(z, need.hire), z))
        need.count = need.lacks.get(need.zone, need.hire)
        return True

    def vacate_for(self, unmet: dict[ShareNo, list[Demand]]) -> None:
        """Lesser work elsewhere makes way for what cheap machines can't take: within a share
        the scheduler stops it, but what is busy in another share never falls empty by itself
        while arrays wait there."""
        now = self.context.now
        if now < self._vacate_at:
            return
        waiting = sorted(
            (
                (need.rank, -need.age, share, need)
                for share, needs in unmet.items()
                for need in needs
                if need.asked > 0
                and not need.spot
                and need.age >= VACATE_AFTER_S
                and self._one_machine(need)
            ),
            key=lambda w: w[:3],
        )
        left = 1 + len(self.fleet.records) // MACHINES_PER_VACATE
        for _, _, share, need in waiting:
            others = sorted(
                {
                    group.share
                    for group in self.fleet.groups.counts()
                    if group.share != share
                    and not group.leaving
                    and serves(need, group.type, group.zone, group.spot)
                }
            )
            if others:
                self._vacate_at = Instant(now + VACATE_EVERY_S)
                other = self.context.rng.choice(others)
                self.transfers.ask_owner(other, VacateMachine(other, share, need.entry))
                left -= 1
                if not left:
                    return

    def _one_machine(self, need: Demand) -> bool:
        """Would one machine, emptied, be of use?"""
        return not need.block or any(
            fits_times(need.size, t.size) >= need.asked for t in self.fleet.types.values()
        )

    def balance(self, cpus: dict[ShareNo, float]) -> None:
        """Shares are sized by what waits and runs. While all of them are short no machine falls
        empty by itself, so the share that has most for what it asks yields some to the one that
        has least."""
        now = self.context.now
        if now < self._balance_at:
            return
        asked = {
            s: load.used + sum(n.size.cpus * n.asked for n in load.demands)
            for s, load in self.loads.items()
            if now - load.at < 5.0
        }
        total, capacity = sum(asked.values()), sum(cpus[s] for s in asked)
        if len(asked) < 2 or total <= capacity or capacity <= 0:
            return
        self._balance_at = Instant(now + BALANCE_EVERY_S)
        lacks = {s: capacity * asked[s] / total - cpus[s] for s in asked}
        to = max(lacks, key=lambda s: lacks[s])
        share = min(lacks, key=lambda s: lacks[s])
        if asked[to] * cpus[share] < UNEVEN * asked[share] * cpus[to]:
            return
        need = max(
            (n for n in self.loads[to].demands if n.asked > 0),
            key=lambda n: n.size.cpus * n.asked,
            default=None,
        )
        # Half of it: what is asked for changes while machines fall empty.
        half = min(lacks[to], -lacks[share]) / 2
        if need is not None:
            self.transfers.ask_owner(share, YieldMachines(share, to, half, need.entry))
