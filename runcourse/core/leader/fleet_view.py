"""The leader's view of the fleet: which machines are on their way, which are empty.

Owners tell of their machines a page at a time, and the records change one by one; the view follows
both, so that a plan goes through what boots and what is empty instead of the whole fleet.
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
    """A machine on which nothing is placed, and for how long."""

    seconds: float
    id: MachineId
    record: Record


IdleMachines = dict[ShareNo, list[IdleMachine]]


class ExpectedMachine(NamedTuple):
    """A recorded machine that its owner has not heard, as far as the leader knows."""

    since: Instant  # its record is known so
    told: bool  # its owner says so; otherwise the owner has not said anything of it


Sighting = tuple[Instant, MachineLoad]  # when an owner told of a machine, and what


class FleetView:
    """Follows records and load reports while this node leads."""

    def __init__(self, context: Context, fleet: Fleet, boot_times: BootTimes) -> None:
        self.context = context
        self.fleet = fleet
        self.boot_times = boot_times
        self.expected: dict[MachineId, ExpectedMachine] = {}
        self._idle_since: dict[ShareNo, dict[MachineId, Instant]] = {}  # since when
        self._last_loads: dict[MachineId, Sighting] = {}
        self._following = False

    def begin(self) -> None:
        """Leadership begins: what an earlier one saw is old."""
        self.expected.clear()
        self._idle_since.clear()
        self._last_loads.clear()
        self._following = True
        for id, record in self.fleet.records.items():
            if not record.leaving:
                self._expect(id)

    def end(self) -> None:
        """Leadership is over."""
        self._following = False

    # --- what changes --------------------------------------------------------------------

    def record_changed(self, id: MachineId, before: Record | None, record: Record | None) -> None:
        """A record is new, changed or gone."""
        if not self._following:
            return
        if before is not None:
            self._idle_since.get(before.share, {}).pop(id, None)
        self._last_loads.pop(id, None)
        self.expected.pop(id, None)
        if record is not None and not record.leaving:
            # A machine that changed shares is new to its owner, not late in coming up.
            self._expect(id)

    def _expect(self, id: MachineId) -> None:
        self.expected[id] = ExpectedMachine(self.context.now, told=False)

    def note_load(self, message: ShareLoad) -> None:
        """The owner of a share tells of some or all of its machines."""
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
                self._note_unheard(id)
                continue
            if id in self.expected:
                self._note_heard(id, record)
            if load.idle_s < 0:
                idle.pop(id, None)
            else:
                idle[id] = Instant(now - load.idle_s)

    def _note_unheard(self, id: MachineId) -> None:
        self._idle_since.get(self.fleet.records[id].share, {}).pop(id, None)
        known = self.expected.get(id)
        if known is None:
            self._expect(id)
        elif not known.told:
            self.expected[id] = known._replace(told=True)

    def _note_heard(self, id: MachineId, record: Record) -> None:
        del self.expected[id]
        type_ = self.fleet.types.get(record.type)
        if type_ is not None:
            self.boot_times.note(id, type_)

    def expect_again(self, id: MachineId, since: Instant) -> None:
        """Wait for the machine as if it had been recorded then."""
        if id in self.expected:
            self.expected[id] = ExpectedMachine(since, told=True)

    # --- lookups -------------------------------------------------------------------------

    def sighting(self, id: MachineId) -> Sighting | None:
        """What its present owner last told of the machine."""
        return self._last_loads.get(id)

    def idle(self) -> IdleMachines:
        """The empty machines of each share, those empty for longest first."""
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
