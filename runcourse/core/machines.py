"""The machines of the shares owned here: their records, and which of them may be used."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..wire.peer_messages import TransferredState
from .context import Context
from .ids import (
    LONG_AGO,
    Instant,
    MachineId,
    ShareNo,
    Stamp,
)
from .jobs import Jobs
from .machine import Known, Machine, Record
from .machine_groups import MachineGroups
from .placements import PlacementObserver, PlacementTable
from .reports import REPORT_TIMEOUT_S, ReportIntake
from .share_machines import ShareMachines
from .shares import Holding, Shares
from .store import Store
from .stored_values import CATALOG, MACHINE, TYPES, GoneMachine
from .types import MachineType, Report
from .worker_commands import WorkerCommands

LOOK_EVERY_S = 0.2
MAX_LISTED_TASKS = 400  # tasks, ended ones too: a report must stay far below the protocol's 64 KiB


RecordWatcher = Callable[[MachineId, Record | None, Record | None], None]  # before and after


def _watch_nothing(id: MachineId, before: Record | None, record: Record | None) -> None:
    """For who does not plan for the fleet."""


class Fleet:
    """The machines owned here, with what is placed on them and what their workers are told."""

    def __init__(
        self,
        context: Context,
        store: Store,
        shares: Shares,
        jobs: Jobs,
        observer: PlacementObserver,
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.jobs = jobs
        self.observer = observer
        self.records: dict[MachineId, Record] = {}
        self.groups = MachineGroups()  # of all that is recorded
        self.leaving: dict[MachineId, None] = {}  # recorded as about to be returned
        self.watch_record: RecordWatcher = _watch_nothing  # set by who plans for the fleet
        self.machines: dict[MachineId, Machine] = {}
        self.types: dict[str, MachineType] = {}
        self.removed_ids: set[MachineId] = set()  # returned or vanished: their ids never come again
        self.addrs: dict[MachineId, str] = {}
        self._of_share: dict[ShareNo, ShareMachines] = {}
        self._type_pages: dict[str, list[Any]] = {}
        self._leases_checked_at = LONG_AGO
        self._given: dict[MachineId, tuple[Instant, TransferredState]] = {}
        self.commands = WorkerCommands(context, shares, jobs, self.machines, self._apply)
        self.placements = PlacementTable(context, observer, self.commands.wake)
        self.commands.connect(self.placements)
        self.reports = ReportIntake(
            context, jobs, self.machines, self.commands, self.placements, observer, self.usable
        )
        store.listen(MACHINE, self._record_changed)
        store.listen(CATALOG, self._catalog_changed)
        store.listen(TYPES, self._catalog_changed)

    def _catalog_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        if value is None:
            self._type_pages.pop(key, None)
        else:
            self._type_pages[key] = value
        rows = [row for page in sorted(self._type_pages) for row in self._type_pages[page]]
        self.types = {t[0]: msgspec.convert(t, MachineType) for t in rows}
        for machine in self.machines.values():
            machine.set_type(self.types.get(machine.record.type))
        self.observer.capacity_changed()

    def _record_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        id = MachineId(key[len(MACHINE) :])
        before = self.records.get(id)
        if value is None or isinstance(value, GoneMachine):
            # A late copy of a report must not bring back what was returned.
            if value is None:
                self.removed_ids.discard(id)
            else:
                self.removed_ids.add(id)
            self._record(id, before, None)
            self.addrs.pop(id, None)
            self._drop(id, "released")
            return
        record = Record(
            value.share,
            value.type,
            value.zone,
            value.spot,
            value.leaving,
            stamp,
        )
        self._record(id, before, record)
        machine = self.machines.get(id)
        holding = self.shares.owned.get(record.share)
        if machine is not None and holding is machine.share:
            machine.record = record
        elif machine is not None:
            self._drop(id, "moved")
            machine = None
        if machine is None and holding is not None:
            self._add(id, record, holding)

    def _record(self, id: MachineId, before: Record | None, record: Record | None) -> None:
        """Keep the record, and all that is counted over records."""
        if before is not None:
            self.groups.remove(before)
            self.leaving.pop(id, None)
            del self.records[id]
        if record is not None:
            self.groups.add(record)
            self.records[id] = record
            if record.leaving:
                self.leaving[id] = None
        self.watch_record(id, before, record)

    def _add(self, id: MachineId, record: Record, holding: Holding) -> None:
        machine = Machine(id, record, holding, self.context.now)
        machine.set_type(self.types.get(record.type))
        machine.addr = self.addrs.get(id, "")
        self.machines[id] = machine
        self.of_share(record.share).add(machine)
        self._take_over_state(machine)

    def _apply(self, report: Report, since: Known) -> bool:
        return self.reports.apply(report, since)

    # --- machines that change owners -----------------------------------------------------

    def state_of(self, machine: Machine) -> TransferredState:
        """What the next owner needs to command the machine before its next report."""
        return TransferredState(
            machine.id,
            machine.addr,
            machine.session,
            machine.seq,
            machine.token_seen,
            list(machine.images.items()),
        )

    def accept_transferred_state(self, state: TransferredState) -> None:
        """A former owner passes a machine's state on, perhaps before its record is seen."""
        self._given[state.machine] = (self.context.now, state)
        machine = self.machines.get(state.machine)
        if machine is not None:
            self._take_over_state(machine)

    def _take_over_state(self, machine: Machine) -> None:
        at, state = self._given.get(machine.id, (LONG_AGO, None))
        if state is None or self.context.now - at > 5.0:
            return
        del self._given[machine.id]
        machine.fetches = None
        for image, size in state.images:
            machine.images[image] = size
        # Only a machine that came empty from its owner, and nothing newer heard of it.
        if machine.settled and not machine.session:
            machine.addr = state.addr
            machine.session = state.session
            machine.seq = state.seq
            machine.token_seen = state.token
            machine.up_since = self.context.now
            machine.note_heard(self.context.now)
            self.commands.wake(machine.id)  # an empty command shows that it can be reached
            self.observer.capacity_changed()

    def _drop(self, id: MachineId, why: str) -> None:
        machine = self.machines.pop(id, None)
        if machine is not None:
            self.of_share(machine.share.number).remove(machine)
            for placement in list(machine.placements.values()):
                self.placements.remove(placement, why)
            self.observer.capacity_changed()

    def gain(self, holding: Holding) -> None:
        """The share is owned here from now on."""
        for id, record in self.records.items():
            if record.share == holding.number:
                self._add(id, record, holding)

    def lose(self, share: ShareNo) -> None:
        """The share is not owned here any more."""
        for machine in list(self.of_share(share)):
            self._drop(machine.id, "share lost")

    def of_share(self, share: ShareNo) -> ShareMachines:
        """The machines of a share owned here."""
        machines = self._of_share.get(share)
        if machines is None:
            machines = self._of_share[share] = ShareMachines()
        return machines

    # --- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        """Note leases that have run out, and shares whose tasks are all located."""
        now = self.context.now
        self.commands.wake_rested()
        if now >= self._leases_checked_at + LOOK_EVERY_S:
            self._leases_checked_at = now
            oldest = now - self.context.lease_s
            for number in list(self.shares.owned):
                # Without authority nothing is sure: another may have answered it meanwhile, as
                # when this process stood still.
                if self.shares.may_command(number):
                    for machine in self.of_share(number).not_answered_since(oldest):
                        if machine.placements or not machine.settled:
                            self._expire(machine)
        for holding in self.shares.owned.values():
            if not holding.settled and not self.of_share(holding.number).unsettled():
                holding.settled = True
                self.context.log(
                    "info", f"share {holding.number} settled after {now - holding.since:.2f} s"
                )
                self.observer.capacity_changed()

    def _expire(self, machine: Machine) -> None:
        """Nobody answered the worker for longer than its lease: it has killed everything."""
        self.context.log("info", f"machine {machine.id}: silent, lease over")
        machine.expired_session = machine.session
        for placement in list(machine.placements.values()):
            self.placements.remove(placement, "lease")
        machine.settled = True
        machine.suspected_at = (
            self.context.now
        )  # answered again for a while, as nothing is at stake
        self.observer.capacity_changed()

    # --- liveness ------------------------------------------------------------------------

    def answered(self, machine: Machine) -> None:
        """A report of the machine is being answered: its lease counts from now."""
        machine.note_answer(self.context.now)

    def silence_limit_s(self) -> float:
        """How long a machine may be silent, or heard without being reached: a worker cut off
        from here needs a lost report and a try elsewhere to be heard by way of a peer."""
        workers = self.context.platform.settings.workers
        return max(
            2.5 * workers.report_s,
            0.45 * workers.lease_s,
            min(REPORT_TIMEOUT_S + 1.75 + 1.25 * workers.report_s, 0.7 * workers.lease_s),
        )

    def unreached_s(self, machine: Machine) -> float:
        """For how long has it been heard without showing that it is reached?"""
        if not machine.suspected or machine.last_message_at < 0:
            return 0.0
        return self.context.now - max(machine.suspected_at, machine.share.since)

    def silent_s(self, machine: Machine) -> float:
        """Seconds since the machine was heard."""
        return self.context.now - machine.last_message_at

    def _overdue_since(self) -> float:
        """Machines that were not heard since then have missed a report."""
        return self.context.now - 1.25 * self.context.platform.settings.workers.report_s - 1.5

    def silent(self) -> list[str]:
        """Machines of the shares owned here whose reports are overdue."""
        return [
            machine.id
            for number in self.shares.owned
            for machine in self.of_share(number).no_message_since(self._overdue_since())
        ]

    def all_machines_reachable(self, share: ShareNo) -> bool:
        """Are all machines of the share that ever came up heard, and reached?"""
        machines = self.of_share(share)
        return not any(
            m.last_message_at >= 0
            for found in (machines.suspected(), machines.no_message_since(self._overdue_since()))
            for m in found
        )

    def usable(self, machine: Machine) -> bool:
        """May new tasks go there?"""
        report_s = self.context.platform.settings.workers.report_s
        return (
            machine.type is not None
            and machine.session > machine.expired_session
            and machine.settled
            and not machine.suspected
            and not machine.record.leaving
            and not machine.moving
            and machine.notice_until is None
            # Where finishes can't be stored for long, what ended gathers in the reports.
            and len(machine.placements) < MAX_LISTED_TASKS
            and self.silent_s(machine) < 1.25 * report_s + 1.0
            and self.context.now >= machine.quarantined_until
            and self.context.now >= machine.draining_until
            and self.context.now >= machine.full_until
        )

    def learn_addr(self, id: MachineId, addr: str) -> None:
        """Where the machine's worker listens."""
        if addr and self.addrs.get(id) != addr:
            self.addrs[id] = addr
            machine = self.machines.get(id)
            if machine is not None and not machine.addr:
                machine.addr = addr
