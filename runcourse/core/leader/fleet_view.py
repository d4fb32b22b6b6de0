"""The leader's index of the fleet: machines that are expected to come up, and empty machines.

It is updated as records change and as owners report on their machines, a page at a time. A plan
therefore goes through expected and empty machines only, not through the whole fleet.
"""

from __future__ import annotations

from typing import NamedTuple

from ...wire.peer_messages import MachineLoad, ShareLoad
from ..context import Context
from ..ids import Instant, MachineId, ShareNo
from ..machine import Record
from ..machines import Fleet
from .boot_times import BootTimes


class IdleMachine(NamedTuple):
    """A machine without tasks, and for how many seconds it has had none."""

    seconds: float
    id: MachineId
    record: Record


IdleMachines = dict[ShareNo, list[IdleMachine]]


class ExpectedMachine(NamedTuple):
    """A recorded machine whose owner, as far as the leader knows, got no message from it."""

    # Start of the wait: when its present record was seen, or as set by `restart_wait`.
    since: Instant
    confirmed: bool  # whether the owner has reported that the machine sent it no message


# When the leader received an owner's load of a machine, and the load.
ReceivedLoad = tuple[Instant, MachineLoad]


class FleetView:
    """Indexes machines by their records and load reports while this node leads."""

    def __init__(self, context: Context, fleet: Fleet, boot_times: BootTimes) -> None:
        self.context = context
        self.fleet = fleet
        self.boot_times = boot_times
        self.expected: dict[MachineId, ExpectedMachine] = {}
        self._idle_since: dict[ShareNo, dict[MachineId, Instant]] = {}
        self._last_loads: dict[MachineId, ReceivedLoad] = {}
        self._following = False

    def begin(self) -> None:
        """Starts anew when leadership begins; an earlier leadership's state is outdated."""
        self.expected.clear()
        self._idle_since.clear()
        self._last_loads.clear()
        self._following = True
        for id, record in self.fleet.records.items():
            if not record.leaving:
                self._expect(id)

    def end(self) -> None:
        """Stops updating when leadership ends."""
        self._following = False

    # --- updates -------------------------------------------------------------------------

    def record_changed(self, id: MachineId, before: Record | None, record: Record | None) -> None:
        """Updates the index for a new, changed or deleted record."""
        if not self._following:
            return
        if before is not None:
            self._idle_since.get(before.share, {}).pop(id, None)
        self._last_loads.pop(id, None)
        self.expected.pop(id, None)
        if record is not None and not record.leaving:
            # A machine that changed shares is new to its owner, not overdue.
            self._expect(id)

    def _expect(self, id: MachineId) -> None:
        self.expected[id] = ExpectedMachine(self.context.now, confirmed=False)

    def note_load(self, message: ShareLoad) -> None:
        """Applies an owner's report on some or all machines of its share."""
        if not self._following:
            return
        now = self.context.now
        idle = self._idle_since.setdefault(message.share, {})
        for name, load in message.machines.items():
            id = MachineId(name)
            record = self.fleet.records.get(id)
            if record is None or record.share != message.share or record.leaving:
                continue
            self._last_loads[id] = (now, load)
            if load.heard_ago_s < 0:
                self._note_no_message(id)
                continue
            if id in self.expected:
                self._note_first_message(id, record)
            if load.idle_s < 0:
                idle.pop(id, None)
            else:
                idle[id] = Instant(now - load.idle_s)

    def _note_no_message(self, id: MachineId) -> None:
        self._idle_since.get(self.fleet.records[id].share, {}).pop(id, None)
        expected = self.expected.get(id)
        if expected is None:
            self._expect(id)
        elif not expected.confirmed:
            self.expected[id] = expected._replace(confirmed=True)

    def _note_first_message(self, id: MachineId, record: Record) -> None:
        del self.expected[id]
        type_ = self.fleet.types.get(record.type)
        if type_ is not None:
            self.boot_times.note_boot(id, type_)

    def restart_wait(self, id: MachineId, since: Instant) -> None:
        """Sets the instant from which the wait for the machine counts."""
        if id in self.expected:
            self.expected[id] = ExpectedMachine(since, confirmed=True)

    # --- lookups -------------------------------------------------------------------------

    def last_load(self, id: MachineId) -> ReceivedLoad | None:
        """Returns the last load of the machine that its owner reported for its present record."""
        return self._last_loads.get(id)

    def idle_machines(self) -> IdleMachines:
        """Returns the empty machines of each share, those empty for longest first."""
        now = self.context.now
        found: IdleMachines = {}
        for share, machines in self._idle_since.items():
            found[share] = sorted(
                (
                    IdleMachine(now - since, id, self.fleet.records[id])
                    for id, since in machines.items()
                    if self.fleet.records[id].type in self.fleet.types
                ),
                reverse=True,
            )
        return found
