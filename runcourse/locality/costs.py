"""The cost of a machine for a task, in seconds: data transfer, and slowdown by load."""

from __future__ import annotations

from ..core.ids import Instant
from ..core.jobs import JobSpec
from ..core.machine import Machine
from .load import NORMAL_SLOWNESS, LoadTracker, committed_fraction
from .settings import LocalitySettings
from .sources import SourceTable


class Costs:
    """Estimates costs in seconds from the data sources and the load of machines."""

    def __init__(
        self, settings: LocalitySettings, sources: SourceTable, tracker: LoadTracker
    ) -> None:
        self.settings = settings
        self.sources = sources
        self.tracker = tracker

    def run_time_s(self, spec: JobSpec) -> float:
        """Returns the run time in seconds that a slowdown is multiplied by.

        It is the job's estimate, or `replica-horizon` for replicas, which have no end.
        """
        return self.settings.replica_horizon if spec.service else spec.estimate_s

    def transfer_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Returns the seconds that the reads of one task take on the machine."""
        return self.sources.transfer_s(spec, machine.record.zone, now)

    def slowdown(self, spec: JobSpec, machine: Machine, committed: float) -> float:
        """Returns the fraction of its run time that a task loses on the machine.

        `committed` is the fraction of the machine's CPUs that is allocated or reserved. Load
        counts only for tasks that read a data source, so that it is weighed against the time of
        their reads. Other tasks fill machines as they do without the policy: if they were spread,
        no machine would become empty and could be returned.
        """
        excess = self.tracker.slowness(machine.id) - NORMAL_SLOWNESS
        if not self.sources.sources_read_by(spec):
            return excess
        return excess + self.settings.load_slowdown * min(max(committed, 0.0), 1.0)

    def placement_s(self, spec: JobSpec, machine: Machine, now: Instant) -> float:
        """Returns the expected delay of a task on the machine, in seconds; 0 if none is known."""
        slowdown_s = self.run_time_s(spec) * self.slowdown(
            spec, machine, committed_fraction(machine)
        )
        return self.transfer_s(spec, machine, now) + slowdown_s
