"""The fleet: all machine records, and the state of the machines whose shares this node owns."""

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
from .machine import KnownState, Machine, Record
from .machine_groups import MachineGroups
from .placements import PlacementObserver, PlacementTable
from .reports import LATE_REPORT_INTERVALS, REPORT_TIMEOUT_S, ReportIntake
from .share_machines import ShareMachines
from .shares import OwnedShare, Shares
from .store import Store
from .stored_values import CATALOG, MACHINE, TYPES, GoneMachine
from .types import MachineType, Report
from .worker_commands import WorkerCommands

LEASE_CHECK_INTERVAL_S = 0.2
# Tasks per machine, ended ones included: a report must stay far below the protocol's 64 KiB.
MAX_LISTED_TASKS = 400
TRANSFERRED_STATE_MAX_AGE_S = 5.0

# A machine may be silent, or report without proving that it is reachable, for the longest of: these
# report intervals; this fraction of its worker's lease; the time that a worker cut off from this
# node needs to report through a peer (a lost report, RELAY_DELAY_S to try another node, a further
# report), up to a larger fraction of the lease.
SILENCE_REPORT_INTERVALS = 2.5
SILENCE_LEASE_FRACTION = 0.45
RELAY_DELAY_S = 1.75
RELAY_REPORT_INTERVALS = 1.25
RELAY_LEASE_FRACTION = 0.7

# Each is added to LATE_REPORT_INTERVALS report intervals; the sum counts from a machine's last
# message.
OVERDUE_MARGIN_S = 1.5  # after the sum, the machine's report counts as overdue
USABLE_MARGIN_S = 1.0  # after the sum, the machine gets no new tasks

# Called with a machine's id and its record before and after a change.
RecordWatcher = Callable[[MachineId, Record | None, Record | None], None]


def _ignore_record(id: MachineId, before: Record | None, record: Record | None) -> None:
    """Ignores a change of a record; the default of `Fleet.watch_record`."""


class Fleet:
    """The machine records, and the machines of owned shares with their placements and commands."""

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
        self.groups = MachineGroups()  # counts of all records by group
        self.leaving: dict[MachineId, None] = {}  # recorded as about to be returned to the cloud
        self.watch_record: RecordWatcher = _ignore_record  # set by the leader's fleet planning
        self.machines: dict[MachineId, Machine] = {}
        self.types: dict[str, MachineType] = {}
        self.removed_ids: set[MachineId] = set()  # returned or vanished; ids are never reused
        self.addrs: dict[MachineId, str] = {}
        self._machines_by_share: dict[ShareNo, ShareMachines] = {}
        self._type_pages: dict[str, list[Any]] = {}
        self._leases_checked_at = LONG_AGO
        self._transferred_states: dict[MachineId, tuple[Instant, TransferredState]] = {}
        self.commands = WorkerCommands(context, shares, jobs, self.machines, self._apply_report)
        self.placements = PlacementTable(context, observer, self.commands.enqueue)
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
            # A delayed copy of a report must not bring a returned machine back.
            if value is None:
                self.removed_ids.discard(id)
            else:
                self.removed_ids.add(id)
            self._update_record(id, before, None)
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
        self._update_record(id, before, record)
        machine = self.machines.get(id)
        owned_share = self.shares.owned.get(record.share)
        if machine is not None and owned_share is machine.share:
            machine.record = record
        elif machine is not None:
            self._drop(id, "moved")
            machine = None
        if machine is None and owned_share is not None:
            self._add(id, record, owned_share)

    def _update_record(self, id: MachineId, before: Record | None, record: Record | None) -> None:
        """Replaces the machine's record and updates the counts of records."""
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

    def _add(self, id: MachineId, record: Record, owned_share: OwnedShare) -> None:
        machine = Machine(id, record, owned_share, self.context.now)
        machine.set_type(self.types.get(record.type))
        machine.addr = self.addrs.get(id, "")
        self.machines[id] = machine
        self.of_share(record.share).add(machine)
        self._take_over_state(machine)

    def _apply_report(self, report: Report, known: KnownState) -> bool:
        return self.reports.apply(report, known)

    # --- transfers between owners --------------------------------------------------------

    def state_of(self, machine: Machine) -> TransferredState:
        """Returns the state that the next owner needs to command the machine at once."""
        return TransferredState(
            machine.id,
            machine.addr,
            machine.session,
            machine.seq,
            machine.token_seen,
            list(machine.images.items()),
        )

    def accept_transferred_state(self, state: TransferredState) -> None:
        """Takes a machine's state from its former owner, perhaps before its record arrives."""
        self._transferred_states[state.machine] = (self.context.now, state)
        machine = self.machines.get(state.machine)
        if machine is not None:
            self._take_over_state(machine)

    def _take_over_state(self, machine: Machine) -> None:
        received_at, state = self._transferred_states.get(machine.id, (LONG_AGO, None))
        if state is None or self.context.now - received_at > TRANSFERRED_STATE_MAX_AGE_S:
            return
        del self._transferred_states[machine.id]
        machine.fetches = None
        for image, size in state.images:
            machine.images[image] = size
        # The rest applies only to a machine that its owner transferred empty, and only as long
        # as no newer message of its worker was received here.
        if machine.settled and not machine.session:
            machine.addr = state.addr
            machine.session = state.session
            machine.seq = state.seq
            machine.token_seen = state.token
            machine.up_since = self.context.now
            machine.note_message(self.context.now)
            self.commands.enqueue(machine.id)  # an empty command proves that it is reachable
            self.observer.capacity_changed()

    def _drop(self, id: MachineId, reason: str) -> None:
        machine = self.machines.pop(id, None)
        if machine is not None:
            self.of_share(machine.share.number).remove(machine)
            for placement in list(machine.placements.values()):
                self.placements.remove(placement, reason)
            self.observer.capacity_changed()

    def add_share(self, owned_share: OwnedShare) -> None:
        """Adds the machines of a share that this node now owns."""
        for id, record in self.records.items():
            if record.share == owned_share.number:
                self._add(id, record, owned_share)

    def remove_share(self, share: ShareNo) -> None:
        """Removes the machines of a share that this node no longer owns."""
        for machine in list(self.of_share(share)):
            self._drop(machine.id, "share lost")

    def of_share(self, share: ShareNo) -> ShareMachines:
        """Returns the machines of a share; none if this node doesn't own it."""
        machines = self._machines_by_share.get(share)
        if machines is None:
            machines = self._machines_by_share[share] = ShareMachines()
        return machines

    # --- periodic checks -----------------------------------------------------------------

    def tick(self) -> None:
        """Handles expired leases, and marks a share as settled once no machine of it may hold
        unreported tasks of an earlier owner."""
        now = self.context.now
        self.commands.enqueue_due()
        if now >= self._leases_checked_at + LEASE_CHECK_INTERVAL_S:
            self._leases_checked_at = now
            lease_start = now - self.context.lease_s
            for number in list(self.shares.owned):
                # Without authority an expiry is not certain: another owner may have answered the
                # worker meanwhile, for example while this process was paused.
                if self.shares.may_command(number):
                    for machine in self.of_share(number).not_answered_since(lease_start):
                        if machine.placements or not machine.settled:
                            self._expire(machine)
        for owned_share in self.shares.owned.values():
            if not owned_share.settled and not self.of_share(owned_share.number).unsettled():
                owned_share.settled = True
                self.context.log(
                    "info",
                    f"share {owned_share.number} settled after {now - owned_share.since:.2f} s",
                )
                self.observer.capacity_changed()

    def _expire(self, machine: Machine) -> None:
        """Removes the placements of a machine whose lease expired: its worker killed all tasks."""
        self.context.log("info", f"machine {machine.id}: silent, lease over")
        machine.expired_session = machine.session
        for placement in list(machine.placements.values()):
            self.placements.remove(placement, "lease")
        machine.settled = True
        # With no tasks left there, its reports may be answered again for a while.
        machine.suspected_at = self.context.now
        self.observer.capacity_changed()

    # --- liveness ------------------------------------------------------------------------

    def note_answer(self, machine: Machine) -> None:
        """Restarts the lease of a machine whose report is being answered."""
        machine.note_answer(self.context.now)

    def silence_limit_s(self) -> float:
        """Returns the seconds that a machine may be silent, or report without being reachable.

        If its lease allows, they suffice for a worker cut off from this node to report by way of
        a peer.
        """
        workers = self.context.platform.settings.workers
        return max(
            SILENCE_REPORT_INTERVALS * workers.report_s,
            SILENCE_LEASE_FRACTION * workers.lease_s,
            min(
                REPORT_TIMEOUT_S + RELAY_DELAY_S + RELAY_REPORT_INTERVALS * workers.report_s,
                RELAY_LEASE_FRACTION * workers.lease_s,
            ),
        )

    def unreached_s(self, machine: Machine) -> float:
        """Returns for how many seconds the worker has reported without proving reachable."""
        if not machine.suspected or machine.last_message_at < 0:
            return 0.0
        return self.context.now - max(machine.suspected_at, machine.share.since)

    def silent_s(self, machine: Machine) -> float:
        """Returns the seconds since the machine's last message."""
        return self.context.now - machine.last_message_at

    def _overdue_since(self) -> float:
        """Returns the instant since which a machine without a message counts as overdue."""
        return (
            self.context.now
            - LATE_REPORT_INTERVALS * self.context.platform.settings.workers.report_s
            - OVERDUE_MARGIN_S
        )

    def silent_machines(self) -> list[str]:
        """Returns the machines of owned shares whose reports are overdue."""
        return [
            machine.id
            for number in self.shares.owned
            for machine in self.of_share(number).no_message_since(self._overdue_since())
        ]

    def all_machines_reachable(self, share: ShareNo) -> bool:
        """Returns whether all machines of the share that ever came up report and are reachable."""
        machines = self.of_share(share)
        return not any(
            machine.last_message_at >= 0
            for found in (machines.suspected(), machines.no_message_since(self._overdue_since()))
            for machine in found
        )

    def usable(self, machine: Machine) -> bool:
        """Returns whether new tasks may be placed on the machine."""
        report_s = self.context.platform.settings.workers.report_s
        return (
            machine.type is not None
            and machine.session > machine.expired_session
            and machine.settled
            and not machine.suspected
            and not machine.record.leaving
            and not machine.moving
            and machine.notice_until is None
            # While finishes can't be stored, ended tasks accumulate in the machine's reports.
            and len(machine.placements) < MAX_LISTED_TASKS
            and self.silent_s(machine) < LATE_REPORT_INTERVALS * report_s + USABLE_MARGIN_S
            and self.context.now >= machine.quarantined_until
            and self.context.now >= machine.draining_until
            and self.context.now >= machine.full_until
        )

    def learn_addr(self, id: MachineId, addr: str) -> None:
        """Records the address at which the machine's worker listens."""
        if addr and self.addrs.get(id) != addr:
            self.addrs[id] = addr
            machine = self.machines.get(id)
            if machine is not None and not machine.addr:
                machine.addr = addr
