"""The parting of machines among the shares, which the leader asks their owners for."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ...wire.peer_messages import TransferMachine, VacateMachine, YieldMachines
from ..context import Context
from ..entitlement import Reassignment
from ..ids import Instant, ShareNo
from ..machine import Record
from ..machines import Fleet
from ..placement import fits_times
from ..shares import Shares
from ..versions import DIVISIONS, Versions
from .demand import LOAD_VALID_S, Demand, LoadReport, serves
from .fleet_view import IdleMachines
from .pool import Pool
from .transfers import VACATE_TIMEOUT_S, MachineTransfers

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
        self._vacate_at = context.now
        self._balance_at = context.now
        self._vacating: deque[tuple[Instant, ShareNo]] = deque()  # asked, and for which share
        self._turn = 0  # of the needs that owners are told

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
                    if s != share and (self.policy.in_force or self._unused(s, unmet))
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
                        place = (record.type, record.zone, record.spot)
                        if (
                            n
                            and serves(need, *place)
                            and self._may_move(other, share, record, unmet)
                        ):
                            need.count -= n
                            idle[other].remove(entry)
                            self.policy.transferred(other, share, type_.cpus)
                            self.transfers.ask_owner(other, TransferMachine(id, share))

    def _unused(self, share: ShareNo, unmet: dict[ShareNo, list[Demand]]) -> bool:
        return not any(n.count > 0 for n in unmet.get(share, ()))

    def _owing(self, giver: ShareNo, taker: ShareNo, coming: float = 0.0) -> bool:
        """Is one short of its target, while the other holds more than its own?"""
        return (
            self.policy.in_force
            and not self.policy.same(giver, taker)
            and self.policy.short(taker, coming)
            and self.policy.exceeds(giver)
        )

    def _may_move(
        self, giver: ShareNo, taker: ShareNo, record: Record, unmet: dict[ShareNo, list[Demand]]
    ) -> bool:
        """What its holder has no use for is lent to whoever asks, to those short of their target
        first; the rest goes only as far as it is owed."""
        if not self._of_use(giver, record, unmet):
            return not self.pool.must_wait(taker, record.type, record.zone, record.spot)
        return self.policy.may_take(giver, taker, self.fleet.types[record.type].cpus)

    def _of_use(self, share: ShareNo, record: Record, unmet: dict[ShareNo, list[Demand]]) -> bool:
        """Could anything that waits in the share run on the machine?"""
        size = self.fleet.types[record.type].size
        return any(
            need.count > 0
            and serves(need, record.type, record.zone, record.spot)
            and fits_times(need.size, size) > 0
            for need in unmet.get(share, ())
        )

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
        enough = [zone for zone in room if room[zone] >= need.missing_by_zone.get(zone, need.hire)]
        if not enough:
            return False
        need.zone = min(enough, key=lambda z: (need.missing_by_zone.get(z, need.hire), z))
        need.count = need.missing_by_zone.get(need.zone, need.hire)
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
                    and self._may_vacate(group.share, share)
                }
            )
            if others:
                self._vacate_at = Instant(now + VACATE_EVERY_S)
                other = self.context.rng.choice(others)
                entitled = not self.policy.same(other, share)
                if entitled:
                    self._vacating.append((now, share))
                self.transfers.ask_owner(other, VacateMachine(other, share, need.entry, entitled))
                left -= 1
                if not left:
                    return

    def _may_vacate(self, giver: ShareNo, taker: ShareNo) -> bool:
        """Between organisations only what is owed, and never by an owner of a former version: it
        would stop replicas too."""
        if self.policy.same(giver, taker):
            return True
        owner = self.shares.living_owner(giver)
        return (
            owner is not None
            and self.versions.reads(owner, DIVISIONS)
            and self._owing(giver, taker, self._coming(taker))
        )

    def _coming(self, taker: ShareNo) -> float:
        """CPUs that owners were asked lately to empty for the taker's organisation: until they are
        there no more work is stopped for the same need."""
        while self._vacating and self.context.now > self._vacating[0][0] + VACATE_TIMEOUT_S:
            self._vacating.popleft()
        return self.pool.machine_size * sum(self.policy.same(to, taker) for _, to in self._vacating)

    def _one_machine(self, need: Demand) -> bool:
        """Would one machine, emptied, be of use?"""
        return not need.block or any(
            fits_times(need.size, t.size) >= need.asked for t in self.fleet.types.values()
        )

    def balance(self, cpus: dict[ShareNo, float]) -> None:
        """Machines in use go, as they fall empty, to shares that are owed more; then to those
        that need them most among the shares of one organisation."""
        now = self.context.now
        if now < self._balance_at:
            return
        asked = self._ask_for_owed(self.policy.reassignments(now))
        for group in self._organisations():
            asked |= self._balance_among({s: cpus[s] for s in group})
        if asked:
            self._balance_at = Instant(now + BALANCE_EVERY_S)

    def _organisations(self) -> list[list[ShareNo]]:
        """Shares that serve the same organisation; all of them while none are in force."""
        groups: list[list[ShareNo]] = []
        for share in self.shares.all():
            for group in groups:
                if self.policy.same(group[0], share):
                    group.append(share)
                    break
            else:
                groups.append([share])
        return groups

    def _balance_among(self, cpus: dict[ShareNo, float]) -> bool:
        """Shares are sized by what waits and runs. While all of them are short no machine falls
        empty by itself, so the share that has most for what it asks yields some to the one that
        has least. Says whether there was anything to balance."""
        now = self.context.now
        asked = {
            s: load.used + sum(n.size.cpus * n.asked for n in load.demands)
            for s, load in self.loads.items()
            if s in cpus and now - load.at < LOAD_VALID_S
        }
        total, capacity = sum(asked.values()), sum(cpus[s] for s in asked)
        if len(asked) < 2 or total <= capacity or capacity <= 0:
            return False
        lacks = {s: capacity * asked[s] / total - cpus[s] for s in asked}
        to = max(lacks, key=lambda s: lacks[s])
        share = min(lacks, key=lambda s: lacks[s])
        need = max(
            (n for n in self.loads[to].demands if n.asked > 0),
            key=lambda n: n.size.cpus * n.asked,
            default=None,
        )
        if need is not None and asked[to] * cpus[share] >= UNEVEN * asked[share] * cpus[to]:
            # Half of it: what is asked for changes while machines fall empty.
            half = min(lacks[to], -lacks[share]) / 2
            self.transfers.ask_owner(share, YieldMachines(share, to, half, need.entry))
        return True

    def _ask_for_owed(self, owed: Sequence[Reassignment]) -> bool:
        """Ask for machines of use to one of the needs of each taker, in turn: what givers have
        may fit a small one only. No more than the need is asked for of all of them."""
        self._turn += 1
        left: dict[ShareNo, float] = {}
        for giver, taker, cpus in owed:
            needs = [n for n in self.loads[taker].demands if self.pool.machine_cpus(n) > 0]
            if not needs:
                continue
            need = needs[self._turn % len(needs)]
            most = min(cpus, left.setdefault(taker, self.pool.machine_cpus(need)))
            if most > 0:
                left[taker] -= most
                self.transfers.ask_owner(giver, YieldMachines(giver, taker, most, need.entry, True))
        return bool(left)
