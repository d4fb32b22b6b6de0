"""What an owner does with its machines beside running tasks on them: gives them to another
share, empties them for one, has them returned."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from ...wire.peer_messages import (
    DrainMachines,
    MachineRequest,
    ReturnMachine,
    TransferMachine,
    TransferredState,
    VacateMachine,
    YieldMachines,
)
from ..context import Context
from ..ids import Instant, MachineId, ShareNo, Stamp
from ..machine import Machine
from ..machines import Fleet
from ..scheduler import Scheduler
from ..shares import Shares
from ..store import CommitResult, Store
from ..stored_values import MACHINE
from ..types import Condition, SendToPeer, Write
from .demand import Demand, serves

VACATE_TIMEOUT_S = 15.0  # within which a machine promised to another share must be empty
MAX_CHANGE_BACKLOG_S = 0.3  # records changed at once: what the write budget pays for in that time
CLAIM_TIMEOUT_S = 4.0  # the leader asks for an empty machine that another organisation is owed
YIELD_TIMEOUT_S = 45.0  # within which a machine that another share asked for must fall empty


class Promise(NamedTuple):
    """A machine that goes to another share if it falls empty in time.

    Between organisations the owner only lets it fall empty: what is owed changes meanwhile, so
    the leader asks for the empty machine, or doesn't.
    """

    to: ShareNo
    since: Instant
    until: Instant
    entitled: bool  # to another organisation


class MachineTransfers:
    """Carries out what the leader asks of an owner."""

    def __init__(
        self, context: Context, store: Store, shares: Shares, fleet: Fleet, scheduler: Scheduler
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.fleet = fleet
        self.scheduler = scheduler
        self._again: list[Callable[[], None]] = []
        self._again_at = Instant(0.0)
        self._changing = 0  # records whose change is under way
        self._promised: dict[MachineId, Promise] = {}
        self._resting: dict[MachineId, Instant] = {}  # until when they aren't promised again

    def tick(self) -> None:
        """Return silent machines, transfer promised ones, repeat changes."""
        self._return_silent()
        self._give_promised()
        self._retry()

    def handle(self, request: MachineRequest) -> None:
        """Carry out what the leader asks, or what a former owner passes on."""
        match request:
            case TransferredState():
                self.fleet.given(request)
            case VacateMachine():
                self._vacate(request)
            case YieldMachines():
                self._yield(request)
            case DrainMachines():
                if self.shares.may_command(request.share):
                    self.scheduler.draining.drain(request.share, request.number)
            case ReturnMachine():
                machine = self._free(request.machine)
                if machine is not None:
                    self.change_record(machine, leaving=True)
            case TransferMachine():
                machine = self._free(request.machine)
                if machine is not None and self._other(machine.share.number, request.share):
                    self.change_record(machine, share=request.share)

    def _free(self, id: MachineId) -> Machine | None:
        """The machine, if it may leave its share or the fleet now. What the write budget has no
        room for is left: the leader asks again, and until then the machine may be of use."""
        machine = self.fleet.machines.get(id)
        if machine is None or not self._may_leave(machine):
            return None
        if self._changing >= self.store.affordable(MAX_CHANGE_BACKLOG_S):
            return None
        return machine

    def _may_leave(self, machine: Machine) -> bool:
        return (
            not machine.busy
            and not machine.moving
            and not machine.record.leaving
            and self.shares.may_command(machine.share.number)
        )

    def _other(self, share: ShareNo, to: ShareNo) -> bool:
        return to != share and 0 <= to < len(self.context.members)

    def change_record(self, machine: Machine, **changes: Any) -> None:
        """Give a machine away or mark it leaving; nothing new goes there from now on."""
        machine.moving = True
        self._changing += 1
        record = machine.record
        state = self.fleet.state_of(machine)

        def attempt() -> None:
            if self.fleet.machines.get(machine.id) is not machine:
                self._changing -= 1
                return
            self.store.commit(
                [
                    self.shares.guard(machine.share.number),
                    Condition(MACHINE + machine.id, record.stamp),
                ],
                [Write(MACHINE + machine.id, record.value(**changes))],
                done,
            )

        def done(result: CommitResult, stamp: Stamp) -> None:
            if result is CommitResult.OK:
                machine.moving = False
                self._changing -= 1
                if "share" in changes:
                    self.ask_owner(changes["share"], state)
            elif result is CommitResult.CONFLICT:
                # Perhaps an earlier try was applied: look before anything new goes there.
                self.store.sync(checked)
            else:
                # It may be applied yet. Only an answer tells whose the machine is.
                self._again.append(attempt)

        def checked(ok: bool) -> None:
            if ok:
                machine.moving = False
                self._changing -= 1
            else:
                self._again.append(attempt)

        attempt()

    def _retry(self) -> None:
        if self._again and self.context.now >= self._again_at:
            self._again_at = Instant(self.context.now + 0.3)
            again, self._again = self._again, []
            for attempt in again:
                attempt()

    def _give_promised(self) -> None:
        for id, promise in list(self._promised.items()):
            machine = self.fleet.machines.get(id)
            if machine is None or self.context.now > promise.until:
                del self._promised[id]
                if promise.entitled and machine is not None:
                    # Closed to new work again and again, it would keep waiting work from its room.
                    self._resting[id] = Instant(self.context.now + YIELD_TIMEOUT_S)
                    machine.draining_until = self.context.now
            elif not self._may_leave(machine):
                pass
            elif not promise.entitled:
                del self._promised[id]
                self.change_record(machine, share=promise.to)
            elif self._not_fetched(machine, promise):
                del self._promised[id]
                machine.draining_until = self.context.now  # nobody is owed it any more

    def _not_fetched(self, machine: Machine, promise: Promise) -> bool:
        """Has it been empty for so long that the leader seems to want it no more?"""
        empty = machine.empty_since
        return empty is not None and self.context.now > max(empty, promise.since) + CLAIM_TIMEOUT_S

    def _yield(self, request: YieldMachines) -> None:
        """Machines of that many CPUs, those promised before included, go as they fall empty."""
        share, to, need = request.share, request.to, Demand(request.need)
        if not self.shares.may_command(share) or not self._other(share, to):
            return
        half = left = request.cpus
        resting = self._still_resting() if request.entitled else ()
        for id, promise in self._promised.items():
            machine = self.fleet.machines.get(id)
            if machine is not None and machine.type is not None and promise.to == to:
                left -= machine.type.cpus
        for machine in self.scheduler.draining.soon_empty(
            share,
            lambda m: (
                serves(need, m.record.type, m.record.zone, m.record.spot)
                and m.type is not None
                and need.size.fits(m.type.size)
                and m.id not in resting
            ),
        ):
            assert machine.type is not None
            # A machine may be more than half of the difference, if it is no more than all of it.
            if machine.type.cpus <= left or half == left >= machine.type.cpus / 2:
                left -= machine.type.cpus
                self._promise(machine, to, YIELD_TIMEOUT_S, request.entitled)

    def _promise(self, machine: Machine, to: ShareNo, seconds: float, entitled: bool) -> None:
        """Nothing new goes to the machine until it is empty, or the time is over."""
        now = self.context.now
        machine.draining_until = max(machine.draining_until, Instant(now + seconds))
        self._promised[machine.id] = Promise(to, now, Instant(now + seconds), entitled)

    def _still_resting(self) -> Collection[MachineId]:
        now = self.context.now
        for id in [id for id, until in self._resting.items() if now >= until]:
            del self._resting[id]
        return self._resting

    def _vacate(self, request: VacateMachine) -> None:
        share, to, need = request.share, request.to, Demand(request.need)
        if not self.shares.may_command(share) or not self._other(share, to):
            return
        unmet = self.scheduler.unmet.get(share, ())
        # What waits here has no claim on a machine that is owed to another organisation.
        if not request.entitled and any(job.spec.rank <= need.rank for job, _, _ in unmet):
            return
        machine = self.scheduler.draining.vacate(
            share,
            need.rank,
            need.size,
            lambda m: (
                serves(need, m.record.type, m.record.zone, m.record.spot)
                and not (request.entitled and m.lasting > 0)
            ),
        )
        if machine is not None:
            self.context.log("info", f"machine {machine.id}: makes way for share {to}")
            self._promise(machine, to, VACATE_TIMEOUT_S, request.entitled)

    def _return_silent(self) -> None:
        """A machine that is silent well beyond its reports is returned: once the cloud has
        answered, its tasks are nowhere and may start elsewhere before the lease is over."""
        now = self.context.now
        limit = self.fleet.silence_limit_s()
        for holding in self.shares.owned.values():
            if not self.shares.may_command(holding.number):
                continue
            machines = self.fleet.of_share(holding.number)
            found = {
                m.id: m
                for m in machines.not_heard_since(now - limit)
                if m.heard >= 0 or m.record.stamp <= holding.epoch
            }
            found |= {m.id: m for m in machines.suspected() if self.fleet.unreached_s(m) > limit}
            # If most are, it is rather this node that hears nothing or reaches none. Their
            # leases end all the same, since they are not answered.
            if len(found) > max(1, machines.known(holding.epoch) // 2):
                continue
            for m in found.values():
                if not m.record.leaving and not m.moving:
                    why = "silent" if now - m.heard > limit else "heard, but not reached"
                    self.context.log("warning", f"machine {m.id}: {why}, returned")
                    self.change_record(m, leaving=True)

    def ask_owner(self, share: ShareNo, message: MachineRequest) -> None:
        """Hand a request to the owner of the share, or carry it out here."""
        owner = self.shares.living_owner(share)
        if owner == self.context.me:
            self.handle(message)
        elif owner is not None:
            self.context.emit(SendToPeer(owner, message))
