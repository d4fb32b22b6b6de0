"""How long boots take: when work stops counting on one, and when it is given up."""

from __future__ import annotations

from collections import deque

from ..context import Context
from ..ids import Instant, MachineId
from ..machines import Fleet
from ..types import MachineType

LATE_LEAST = 1.5  # times a type's boot time that a boot usually takes at the most
LATE_MOST = 4.0  # and when boots lately took longer, the longest that is waited for one
LATE_FACTOR = 1.15  # on the longest boot seen lately
LATE_SLACK_S = 2.0
GIVEN_UP_PART = 0.5  # of a boot time, after which an overdue machine is returned
GIVEN_UP_SLACK_S = 3.0
BOOTS_SEEN = 12  # of each type, the newest


class BootTimes:
    """Boots under way that this leader asked for, and how long the newest took."""

    def __init__(self, context: Context, fleet: Fleet) -> None:
        self.context = context
        self.fleet = fleet
        self.recent_ratios: dict[str, deque[float]] = {}  # boots lately, in times of their type's
        self._booting: dict[MachineId, Instant] = {}  # hired by this leader and not heard yet

    def clear(self) -> None:
        """What an earlier leadership waited for is not known now."""
        self._booting.clear()

    def hired(self, ids: tuple[MachineId, ...], at: Instant) -> None:
        """Machines whose boots began then."""
        self._booting.update((id, at) for id in ids)

    def forget(self, id: MachineId) -> None:
        """The machine is returned: its boot tells nothing."""
        self._booting.pop(id, None)

    def tidy(self) -> None:
        """Forget machines that have no record any more."""
        for id in [id for id in self._booting if id not in self.fleet.records]:
            del self._booting[id]

    def overdue_after_s(self, type_: MachineType) -> float:
        """When a boot is overdue: work then waits for another machine instead. If machines that
        did come up lately took long as well, the next one would take no less."""
        seen = self.recent_ratios.get(type_.name)
        usual = LATE_FACTOR * max(seen) if seen else 0.0
        return min(max(LATE_LEAST, usual), LATE_MOST) * type_.boot_s + LATE_SLACK_S

    def give_up_after_s(self, type_: MachineType) -> float:
        """When a machine that did not come up is returned: it is paid for."""
        return self.overdue_after_s(type_) + GIVEN_UP_PART * type_.boot_s + GIVEN_UP_SLACK_S

    def note(self, id: MachineId, type_: MachineType) -> None:
        """Note how long a boot took: its machine is heard."""
        since = self._booting.get(id)
        if since is not None:
            del self._booting[id]
            took = (self.context.now - since) / max(type_.boot_s, 1.0)
            self.recent_ratios.setdefault(type_.name, deque(maxlen=BOOTS_SEEN)).append(took)
