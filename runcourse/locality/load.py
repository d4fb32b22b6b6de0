"""Load and slowness of machines, estimated from placements and the durations of tasks.

The workers' protocol reports no usage. The load of a machine is the committed fraction of its
CPUs, plus a constant for each image being fetched. Whether a machine is *slow* is decided
separately, whatever its load: from the durations of tasks finished on it, compared with those of
the same team and job class on all machines owned here (their siblings).
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from ddsketch import DDSketch  # type: ignore[import-untyped]

from ..core.ids import Instant, MachineId
from ..core.jobs import JobSpec
from ..core.machine import Machine
from ..core.work import images_being_fetched
from .settings import LocalitySettings

FETCH_LOAD = 0.05  # fraction of a machine, for each image being fetched
MAX_FETCH_LOAD = 0.2  # fraction of a machine, for all images being fetched
QUANTILE_ACCURACY = 0.02  # relative error of quantiles
MAX_CLASSES = 200  # job classes whose durations are kept, the most recently used ones
MIN_FINISHES = 5  # finished tasks on a machine, before it can count as slow
MIN_SIBLINGS = 20  # finished tasks of a team's job class, before others are compared with them
SLOW_RATIO = 1.3  # minimum median ratio of durations to those of the class, for a slow machine
MAX_SLOW_RATIO = 4.0  # higher ratios count as this one
NORMAL_SLOWNESS = 1.0  # of a machine that is not known to be slow
MEDIAN = 0.5


class Heat(Enum):
    """The state of a machine's load."""

    COOL = "cool"
    WARM = "warm"
    HOT = "hot"


class _HeatState:
    """The heat of a machine, and the one it changes to if it persists for the dwell time."""

    __slots__ = ("candidate", "candidate_since", "heat")

    def __init__(self, now: Instant) -> None:
        self.heat = Heat.WARM
        self.candidate = Heat.WARM
        self.candidate_since = now


def committed_fraction(machine: Machine) -> float:
    """Returns the fraction of the machine's CPUs that is allocated or reserved."""
    if machine.type is None or machine.type.cpus <= 0:
        return 1.0
    return 1.0 - machine.room.cpus / machine.type.cpus


def machine_load(machine: Machine) -> float:
    """Returns the load by committed CPUs and image fetches, as a fraction of the machine."""
    return committed_fraction(machine) + min(
        FETCH_LOAD * len(images_being_fetched(machine)), MAX_FETCH_LOAD
    )


class LoadTracker:
    """Classifies machines as hot, warm or cool, and finds slow ones.

    Heat has two thresholds with hysteresis, and changes only after a dwell time.
    """

    def __init__(self, settings: LocalitySettings) -> None:
        self.settings = settings
        self._heat_states: dict[MachineId, _HeatState] = {}
        self._class_durations: OrderedDict[tuple[str, str], DDSketch] = OrderedDict()
        # Ratios of durations to the median of the same team and job class.
        self._ratios: dict[MachineId, DDSketch] = {}
        self._slowness: dict[MachineId, float] = {}  # of machines known to be slow

    # Heat

    def observe(self, machine: Machine, now: Instant) -> None:
        """Updates the heat (load state) of the machine from its present load."""
        state = self._heat_states.get(machine.id)
        if state is None:
            state = self._heat_states[machine.id] = _HeatState(now)
        observed = self._classify(machine_load(machine), state.heat)
        if observed is not state.candidate:
            state.candidate, state.candidate_since = observed, now
        if state.candidate is not state.heat and now >= state.candidate_since + self.settings.dwell:
            state.heat = state.candidate

    def _classify(self, load: float, current: Heat) -> Heat:
        """Returns the heat for a load, with hysteresis.

        A hot machine stays hot, and a cool one cool, until its load crosses the middle between
        the two thresholds.
        """
        if load >= self.settings.hot:
            return Heat.HOT
        if load <= self.settings.cool:
            return Heat.COOL
        middle = (self.settings.hot + self.settings.cool) / 2
        if current is Heat.HOT and load > middle:
            return Heat.HOT
        if current is Heat.COOL and load < middle:
            return Heat.COOL
        return Heat.WARM

    def heat(self, id: MachineId) -> Heat:
        """Returns the heat of the machine; warm if it was never observed."""
        state = self._heat_states.get(id)
        return state.heat if state is not None else Heat.WARM

    def retain_only(self, ids: set[MachineId]) -> None:
        """Forgets all machines but those given, which are owned here."""
        for by_machine in (self._heat_states, self._ratios, self._slowness):
            for id in [id for id in by_machine if id not in ids]:
                del by_machine[id]

    # Slow machines

    def record_completion(self, spec: JobSpec, machine: Machine, ran_s: float) -> None:
        """Records that a task completed on the machine after `ran_s` seconds.

        Durations are kept as multiples of the estimate; tasks without one are not counted.
        """
        if spec.estimate_s <= 0 or ran_s <= 0:
            return
        duration = ran_s / spec.estimate_s
        siblings = self._siblings((spec.team, spec.lane))
        if siblings.count >= MIN_SIBLINGS:
            median = siblings.get_quantile_value(MEDIAN)
            if median:
                ratios = self._ratios.get(machine.id)
                if ratios is None:
                    ratios = self._ratios[machine.id] = DDSketch(QUANTILE_ACCURACY)
                ratios.add(duration / median)
                self._update_slowness(machine.id, ratios)
        siblings.add(duration)

    def _siblings(self, key: tuple[str, str]) -> DDSketch:
        sketch = self._class_durations.get(key)
        if sketch is None:
            sketch = self._class_durations[key] = DDSketch(QUANTILE_ACCURACY)
            while len(self._class_durations) > MAX_CLASSES:
                self._class_durations.popitem(last=False)
        self._class_durations.move_to_end(key)
        return sketch

    def slowness(self, id: MachineId) -> float:
        """Returns the ratio of durations there to those of siblings; 1 unless known to be slow."""
        return self._slowness.get(id, NORMAL_SLOWNESS)

    def _update_slowness(self, id: MachineId, ratios: DDSketch) -> None:
        median = ratios.get_quantile_value(MEDIAN) or NORMAL_SLOWNESS
        if ratios.count >= MIN_FINISHES and median >= SLOW_RATIO:
            self._slowness[id] = min(median, MAX_SLOW_RATIO)
        else:
            self._slowness.pop(id, None)
