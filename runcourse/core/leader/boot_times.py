"""Boot times by machine type, and the limits after which a boot is overdue or given up."""

from __future__ import annotations

from collections import deque

from ..context import Context
from ..ids import Instant, MachineId
from ..machines import Fleet
from ..types import MachineType

MIN_OVERDUE_FACTOR = 1.5  # times the type's nominal boot time: a boot is not overdue before
MAX_OVERDUE_FACTOR = 4.0  # times the nominal boot time: upper bound if recent boots took longer
RECENT_BOOT_MARGIN = 1.15  # times the longest recent boot: a boot is overdue only after that
OVERDUE_SLACK_S = 2.0  # added to the time after which a boot is overdue
GIVE_UP_BOOT_FRACTION = 0.5  # of the nominal boot time, from being overdue to being given up
GIVE_UP_SLACK_S = 3.0  # added to the time after which a boot is given up
MAX_RECENT_BOOTS = 12  # boots whose times are kept, per machine type
MIN_NOMINAL_BOOT_S = 1.0  # shorter nominal boot times count as this long in ratios to them


class BootTimes:
    """Tracks the boots of machines that this leader hired, and how long recent ones took."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        self.context = context
        self.fleet = fleet
        # Recent boot times by type, as multiples of the type's nominal boot time.
        self.recent_ratios: dict[str, deque[float]] = {}
        self._booting: dict[MachineId, Instant] = {}  # start of the boot, until the first report

    def clear(self) -> None:
        """Drops the boots that were tracked during an earlier leadership."""
        self._booting.clear()

    def track(self, ids: tuple[MachineId, ...], at: Instant) -> None:
        """Tracks machines whose boots began at the given instant."""
        self._booting.update((id, at) for id in ids)

    def forget(self, id: MachineId) -> None:
        """Stops tracking a machine that is returned, so that its boot is not counted."""
        self._booting.pop(id, None)

    def prune(self) -> None:
        """Stops tracking machines that have no record any more."""
        for id in [id for id in self._booting if id not in self.fleet.records]:
            del self._booting[id]

    def overdue_after_s(self, type_: MachineType) -> float:
        """Returns the seconds after which a boot is overdue and no longer counted on.

        The leader then provides another machine for the waiting tasks. If recent boots of the type
        took long, the limit is longer: another machine would be no faster.
        """
        ratios = self.recent_ratios.get(type_.name)
        recent = RECENT_BOOT_MARGIN * max(ratios) if ratios else 0.0
        return (
            min(max(MIN_OVERDUE_FACTOR, recent), MAX_OVERDUE_FACTOR) * type_.boot_s
            + OVERDUE_SLACK_S
        )

    def give_up_after_s(self, type_: MachineType) -> float:
        """Returns the seconds after which a machine that did not come up is returned.

        The machine is paid for until it is returned.
        """
        return self.overdue_after_s(type_) + GIVE_UP_BOOT_FRACTION * type_.boot_s + GIVE_UP_SLACK_S

    def note_boot(self, id: MachineId, type_: MachineType) -> None:
        """Records the boot time of a machine that has reported for the first time."""
        since = self._booting.get(id)
        if since is not None:
            del self._booting[id]
            ratio = (self.context.now - since) / max(type_.boot_s, MIN_NOMINAL_BOOT_S)
            self.recent_ratios.setdefault(type_.name, deque(maxlen=MAX_RECENT_BOOTS)).append(ratio)
