"""What a machine costs a task, in seconds: transfer of its data, and slowdown by load."""

from __future__ import annotations

from ..core.ids import Instant
from ..core.jobs import JobSpec
from ..core.machine import Machine
from .load import LoadTracker, committed
from .settings import LocalitySettings
from .sources import SourceTable


class Costs:
    """Expected seconds, by what is known of sources and machines."""

    def __init__(
        self, settings: LocalitySettings, sources: SourceTable, tracker: LoadTracker
    ) -> None:
        self.settings = settings
        self.sources = sources
        self.tracker = tracker

    def run_s(self, spec: JobSpec) -> float:
        """The run time that slowdown is reckoned over."""
        return self.settings.replica_horizon if spec.service else spec.estimate_s

    def transfer_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Seconds that the task's reads take on the machine."""
        return self.sources.transfer_s(spec, machine.record.zone, now)

    def slowdown(self, spec: JobSpec, machine: Machine, part: float) -> float:
        """The part of its run time that a task loses there, while `part` is committed.

        Load is weighed for tasks that read a source, against the time that their reads take. Others
        fill machines as ever: to spread them would leave none empty to be returned.
        """
        slower = self.tracker.slowness(machine.id) - 1.0
        if not self.sources.read_by(spec):
            return slower
        return slower + self.settings.load_slowdown * min(max(part, 0.0), 1.0)

    def placement_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Seconds by which a task is held up there; 0 where nothing is known against it."""
        slowdown_s = self.run_s(spec) * self.slowdown(spec, machine, committed(machine))
        return self.transfer_s(spec, machine, now) + slowdown_s
