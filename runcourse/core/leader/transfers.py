"""Requests of the leader that an owner carries out on its machines.

The owner transfers machines to other shares, empties machines for them, and has machines returned.
"""

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
from .demand import Demand, accepts

VACATE_TIMEOUT_S = 15.0  # time for a machine to empty whose tasks are stopped for another share
# Bounds the record changes without a result to those that the write budget allows in this time.
MAX_CHANGE_BACKLOG_S = 0.3
# Time for the leader to request a machine that is kept empty for another organisation.
CLAIM_TIMEOUT_S = 4.0
# Time for a yielded machine, which takes no new tasks, to become empty; also the pause before it
# may be reserved for another organisation again if it did not.
YIELD_TIMEOUT_S = 45.0
RETRY_INTERVAL_S = 0.3  # between two retries of all record changes that failed


class PendingTransfer(NamedTuple):
    """A machine to be transferred to another share if it becomes empty in time.

    Between organisations the owner only lets it become empty: entitlements may change meanwhile, so
    the leader requests the empty machine if the other organisation is still entitled to it.
    """

    to: ShareNo
    since: Instant
    until: Instant
    entitled: bool  # whether it is for another organisation, which is entitled to it


class MachineTransfers:
    """Carries out the leader's requests to the owner of a share on the share's machines."""

    def __init__(
        self, context: Context, store: Store, shares: Shares, fleet: Fleet, scheduler: Scheduler
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.fleet = fleet
        self.scheduler = scheduler
        self._retries: list[Callable[[], None]] = []
        self._next_retry_at = Instant(0.0)
        self._open_changes = 0  # record changes without a result
        self._pending: dict[MachineId, PendingTransfer] = {}
        # Machines that did not become empty for another organisation in time, and from when on
        # they may be reserved for one again.
        self._cooldowns: dict[MachineId, Instant] = {}

    def tick(self) -> None:
        """Returns silent and unreachable machines, processes transfers, retries record changes."""
        self._return_silent()
        self._process_pending()
        self._retry()

    def handle(self, request: MachineRequest) -> None:
        """Handles a request of the leader, or a machine's state sent by its former owner."""
        match request:
            case TransferredState():
                self.fleet.accept_transferred_state(request)
            case VacateMachine():
                self._vacate(request)
            case YieldMachines():
                self._yield(request)
            case DrainMachines():
                if self.shares.may_command(request.share):
                    self.scheduler.draining.drain(request.share, request.number)
            case ReturnMachine():
                machine = self._releasable(request.machine)
                if machine is not None:
                    self.change_record(machine, leaving=True)
            case TransferMachine():
                machine = self._releasable(request.machine)
                if machine is not None and self._is_other_share(
                    machine.share.number, request.share
                ):
                    self.change_record(machine, share=request.share)

    def _releasable(self, id: MachineId) -> Machine | None:
        """Returns the machine if it may leave its share or the fleet now, otherwise None.

        It may not while too many record changes are without a result. The leader asks again, and
        until then the machine remains usable.
        """
        machine = self.fleet.machines.get(id)
        if machine is None or not self._may_leave(machine):
            return None
        if self._open_changes >= self.store.max_changes(MAX_CHANGE_BACKLOG_S):
            return None
        return machine

    def _may_leave(self, machine: Machine) -> bool:
        return (
            not machine.busy
            and not machine.moving
            and not machine.record.leaving
            and self.shares.may_command(machine.share.number)
        )

    def _is_other_share(self, share: ShareNo, to: ShareNo) -> bool:
        return to != share and 0 <= to < len(self.context.members)

    def change_record(self, machine: Machine, **changes: Any) -> None:
        """Stores a new share or the leaving mark; no task is placed there until the result."""
        machine.moving = True
        self._open_changes += 1
        record = machine.record
        state = self.fleet.state_of(machine)

        def attempt() -> None:
            if self.fleet.machines.get(machine.id) is not machine:
                self._open_changes -= 1
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
                self._open_changes -= 1
                if "share" in changes:
                    self.send_to_owner(changes["share"], state)
            elif result is CommitResult.CONFLICT:
                # An earlier attempt may have been applied: the record is read again before a task
                # is placed on the machine.
                self.store.sync(checked)
            else:
                # The change may still be applied. Only the answer to a further attempt shows which
                # share has the machine.
                self._retries.append(attempt)

        def checked(ok: bool) -> None:
            if ok:
                machine.moving = False
                self._open_changes -= 1
            else:
                self._retries.append(attempt)

        attempt()

    def _retry(self) -> None:
        if self._retries and self.context.now >= self._next_retry_at:
            self._next_retry_at = Instant(self.context.now + RETRY_INTERVAL_S)
            retries, self._retries = self._retries, []
            for attempt in retries:
                attempt()

    def _process_pending(self) -> None:
        """Transfers pending machines that are empty, and reopens expired ones to new tasks."""
        for id, transfer in list(self._pending.items()):
            machine = self.fleet.machines.get(id)
            if machine is None or self.context.now > transfer.until:
                del self._pending[id]
                if transfer.entitled and machine is not None:
                    # Without a cooldown the machine could be closed to new tasks again and again,
                    # and waiting tasks that need its room would never start.
                    self._cooldowns[id] = Instant(self.context.now + YIELD_TIMEOUT_S)
                    machine.draining_until = self.context.now
            elif not self._may_leave(machine):
                pass
            elif not transfer.entitled:
                del self._pending[id]
                self.change_record(machine, share=transfer.to)
            elif self._claim_expired(machine, transfer):
                del self._pending[id]
                machine.draining_until = self.context.now  # takes new tasks again

    def _claim_expired(self, machine: Machine, transfer: PendingTransfer) -> bool:
        """Returns whether the machine has been empty for so long without a request of the leader
        that the transfer is given up."""
        empty = machine.empty_since
        return empty is not None and self.context.now > max(empty, transfer.since) + CLAIM_TIMEOUT_S

    def _yield(self, request: YieldMachines) -> None:
        """Schedules transfers of machines as they become empty, up to about the requested CPUs.

        Machines with replicas of services are left out. Transfers to the same share that are
        already pending count towards the CPUs.
        """
        share, to, demand = request.share, request.to, Demand(request.need)
        if not self.shares.may_command(share) or not self._is_other_share(share, to):
            return
        half = left = request.cpus
        cooling_down = self._cooling_down() if request.entitled else ()
        for id, transfer in self._pending.items():
            machine = self.fleet.machines.get(id)
            if machine is not None and machine.type is not None and transfer.to == to:
                left -= machine.type.cpus
        for machine in self.scheduler.draining.soonest_empty(
            share,
            lambda m: (
                accepts(demand, m.record.type, m.record.zone, m.record.spot)
                and m.type is not None
                and demand.size.fits(m.type.size)
                and m.id not in cooling_down
            ),
        ):
            assert machine.type is not None
            # The request is for half of the difference between two shares. If nothing is pending,
            # one machine may exceed that half, as long as it is no larger than the difference.
            if machine.type.cpus <= left or half == left >= machine.type.cpus / 2:
                left -= machine.type.cpus
                self._schedule(machine, to, YIELD_TIMEOUT_S, request.entitled)

    def _schedule(self, machine: Machine, to: ShareNo, seconds: float, entitled: bool) -> None:
        """Schedules a transfer; no task is placed on the machine until it is made or expires."""
        now = self.context.now
        machine.draining_until = max(machine.draining_until, Instant(now + seconds))
        self._pending[machine.id] = PendingTransfer(to, now, Instant(now + seconds), entitled)

    def _cooling_down(self) -> Collection[MachineId]:
        """Returns the machines that may not be reserved for another organisation again yet."""
        now = self.context.now
        for id in [id for id, until in self._cooldowns.items() if now >= until]:
            del self._cooldowns[id]
        return self._cooldowns

    def _vacate(self, request: VacateMachine) -> None:
        """Stops all tasks of one machine, if they are less urgent than the waiting ones of `to`."""
        share, to, demand = request.share, request.to, Demand(request.need)
        if not self.shares.may_command(share) or not self._is_other_share(share, to):
            return
        unmet = self.scheduler.unmet.get(share, ())
        # Tasks of this share that wait and are as urgent keep the machine, unless another
        # organisation is entitled to it.
        if not request.entitled and any(job.spec.rank <= demand.rank for job, _, _ in unmet):
            return
        machine = self.scheduler.draining.vacate(
            share,
            demand.rank,
            demand.size,
            lambda m: (
                accepts(demand, m.record.type, m.record.zone, m.record.spot)
                and not (request.entitled and m.service_cpus > 0)
            ),
        )
        if machine is not None:
            self.context.log("info", f"machine {machine.id}: makes way for share {to}")
            self._schedule(machine, to, VACATE_TIMEOUT_S, request.entitled)

    def _return_silent(self) -> None:
        """Marks machines to be returned that are silent, or not reached, for too long.

        The limit is `Fleet.silence_limit_s`. Once the cloud confirms the return, their tasks are
        surely stopped and may start elsewhere before the workers' leases end.
        """
        now = self.context.now
        limit = self.fleet.silence_limit_s()
        for owned_share in self.shares.owned.values():
            if not self.shares.may_command(owned_share.number):
                continue
            machines = self.fleet.of_share(owned_share.number)
            found = {
                m.id: m
                for m in machines.no_message_since(now - limit)
                if m.last_message_at >= 0 or m.record.stamp <= owned_share.epoch
            }
            found |= {m.id: m for m in machines.suspected() if self.fleet.unreached_s(m) > limit}
            # If more than half of the machines are silent, this node is more likely cut off itself.
            # The workers' leases end anyway, because their reports are not answered.
            if len(found) > max(1, machines.count_ever_seen(owned_share.epoch) // 2):
                continue
            for machine in found.values():
                if not machine.record.leaving and not machine.moving:
                    why = (
                        "silent"
                        if now - machine.last_message_at > limit
                        else "heard, but not reached"
                    )
                    self.context.log("warning", f"machine {machine.id}: {why}, returned")
                    self.change_record(machine, leaving=True)

    def send_to_owner(self, share: ShareNo, message: MachineRequest) -> None:
        """Sends a request to the owner of the share, or handles it if that is this node."""
        owner = self.shares.live_owner(share)
        if owner == self.context.me:
            self.handle(message)
        elif owner is not None:
            self.context.emit(SendToPeer(owner, message))
