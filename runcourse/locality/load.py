"""How loaded machines are, from what the service knows.

PROTOCOL reports no usage. A machine's load is the committed part of its CPUs, and something for
each image under way. Whether a machine is *slow* is another question: it is told from the
durations of finished tasks against those of the same class elsewhere, whatever its load.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from ddsketch import DDSketch  # type: ignore[import-untyped]

from ..core.ids import Instant, MachineId
from ..core.jobs import JobSpec
from ..core.machine import Machine
from ..core.work import fetching
from .settings import LocalitySettings

FETCH_LOAD = 0.05  # for each image under way
MOST_FETCH_LOAD = 0.2
ACCURACY = 0.02  # relative, of a quantile
CLASSES_KEPT = 200  # whose durations are remembered, those used last
MIN_FINISHES = 5  # beyond which a machine's durations tell something
MIN_SIBLINGS = 20  # the same, of a class
SLOW_RATIO = 1.3  # of a machine's median against its siblings'
MOST_SLOW_RATIO = 4.0  # that is reckoned with
MEDIAN = 0.5


class Heat(Enum):
    """The state of a machine's load."""

    COOL = "cool"
    WARM = "warm"
    HOT = "hot"


class _Trend:
    """A machine's state, and the one it is about to change to."""

    __slots__ = ("heat", "next", "since")

    def __init__(self, now: Instant) -> None:
        self.heat = Heat.WARM
        self.next = Heat.WARM
        self.since = now


def committed(machine: Machine) -> float:
    """The part of the machine's CPUs that is allocated or reserved."""
    if machine.type is None or machine.type.cpus <= 0:
        return 1.0
    return 1.0 - machine.room.cpus / machine.type.cpus


def load(machine: Machine) -> float:
    """Committed CPUs and fetches under way, as a part of the machine."""
    return committed(machine) + min(FETCH_LOAD * len(fetching(machine)), MOST_FETCH_LOAD)


class LoadTracker:
    """Tells hot, cool and slow machines, with two thresholds and a least dwell time."""

    def __init__(self, settings: LocalitySettings) -> None:
        self.settings = settings
        self._trends: dict[MachineId, _Trend] = {}
        self._class_durations: OrderedDict[tuple[str, str], DDSketch] = OrderedDict()
        self._ratios: dict[MachineId, DDSketch] = {}  # against siblings of the same class
        self._slowness: dict[MachineId, float] = {}  # of machines known to be slow

    # --- hot and cool --------------------------------------------------------------------

    def observe(self, machine: Machine, now: Instant) -> None:
        """Look at the machine's load now."""
        trend = self._trends.get(machine.id)
        if trend is None:
            trend = self._trends[machine.id] = _Trend(now)
        seen = self._classify(load(machine), trend.heat)
        if seen is not trend.next:
            trend.next, trend.since = seen, now
        if trend.next is not trend.heat and now >= trend.since + self.settings.dwell:
            trend.heat = trend.next

    def _classify(self, value: float, present: Heat) -> Heat:
        """A hot machine stays hot until it is well below, and a cool one cool until well above."""
        if value >= self.settings.hot:
            return Heat.HOT
        if value <= self.settings.cool:
            return Heat.COOL
        middle = (self.settings.hot + self.settings.cool) / 2
        if present is Heat.HOT and value > middle:
            return Heat.HOT
        if present is Heat.COOL and value < middle:
            return Heat.COOL
        return Heat.WARM

    def heat(self, id: MachineId) -> Heat:
        """The machine's state; warm if it was not observed."""
        trend = self._trends.get(id)
        return trend.heat if trend is not None else Heat.WARM

    def retain_only(self, ids: set[MachineId]) -> None:
        """Machines that are not owned here any more are not remembered."""
        for known in (self._trends, self._ratios, self._slowness):
            for id in [id for id in known if id not in ids]:
                del known[id]

    # --- slow machines -------------------------------------------------------------------

    def record_completion(self, spec: JobSpec, machine: Machine, ran_s: float) -> None:
        """A task completed after running for so long."""
        if spec.estimate_s <= 0 or ran_s <= 0:
            return
        duration = ran_s / spec.estimate_s
        siblings = self._siblings((spec.team, spec.lane))
        if siblings.count >= MIN_SIBLINGS:
            median = siblings.get_quantile_value(MEDIAN)
            if median:
                ratios = self._ratios.get(machine.id)
                if ratios is None:
                    ratios = self._ratios[machine.id] = DDSketch(ACCURACY)
                ratios.add(duration / median)
                self._judge(machine.id, ratios)
        siblings.add(duration)

    def _siblings(self, key: tuple[str, str]) -> DDSketch:
        sketch = self._class_durations.get(key)
        if sketch is None:
            sketch = self._class_durations[key] = DDSketch(ACCURACY)
            while len(self._class_durations) > CLASSES_KEPT:
                self._class_durations.popitem(last=False)
        self._class_durations.move_to_end(key)
        return sketch

    def slowness(self, id: MachineId) -> float:
        """How many times as long tasks take there as elsewhere; 1 unless it is known to be slow."""
        return self._slowness.get(id, 1.0)

    def _judge(self, id: MachineId, ratios: DDSketch) -> None:
        median = ratios.get_quantile_value(MEDIAN) or 1.0
        if ratios.count >= MIN_FINISHES and median >= SLOW_RATIO:
            self._slowness[id] = min(median, MOST_SLOW_RATIO)
        else:
            self._slowness.pop(id, None)
