"""Fair division of the machines near a data source (in its zones) among the teams that read it.

A team that holds more than its fair part leaves those machines to a team that holds less and waits
for them, or that runs elsewhere meanwhile. No task is stopped for it, and a team may still use the
machines where no other machine has room. So a busy team cannot starve a quiet one,
and a quiet team cannot keep machines idle.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..core.ids import Instant
from ..core.machine import Machine
from ..core.work import Work
from .settings import Source
from .sources import SourceTable


class _HeldCpus(NamedTuple):
    """CPUs that the tasks of a team hold near a source and elsewhere."""

    near: float
    elsewhere: float


MIN_READERS = 2  # the CPUs near a source read by fewer teams need not be shared out
NO_CPUS_HELD = _HeldCpus(0.0, 0.0)


class SourceFairness:
    """Determines which teams are held back near a source, that is, leave its machines to others."""

    def __init__(self, sources: SourceTable, guarantees: Mapping[str, float]) -> None:
        self.sources = sources
        self.guarantees = guarantees  # CPUs, by team
        self._held_back: dict[str, frozenset[str]] = {}  # source -> teams held back

    def recompute(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Determines anew which teams are held back near each source."""
        machines, works = list(machines), list(works)
        self._held_back = {
            source.name: self._teams_to_hold_back(source, machines, works)
            for source in self.sources.sources
            if not self.sources.is_damped(source.name, now)
        }

    def _teams_to_hold_back(
        self, source: Source, machines: list[Machine], works: list[Work]
    ) -> frozenset[str]:
        """Returns the teams that hold their fair part or more while another lacks some of its own.

        A team that runs tasks away from the source counts as waiting.
        """
        readers = [w for w in works if source in self.sources.sources_read_by(w.job.spec)]
        waiting = {w.job.spec.team for w in readers if w.pending}
        teams = {w.job.spec.team for w in readers}
        if len(teams) < MIN_READERS:
            return frozenset()
        held = self._count_held(source, machines)
        capacity = sum(m.type.cpus for m in machines if m.type and m.record.zone in source.zones)
        fair_parts = self._fair_parts(teams, capacity)
        below_fair_part = {
            team
            for team in teams
            if held.get(team, NO_CPUS_HELD).near < fair_parts[team]
            and (team in waiting or held.get(team, NO_CPUS_HELD).elsewhere > 0)
        }
        return frozenset(
            team
            for team in teams
            if held.get(team, NO_CPUS_HELD).near >= fair_parts[team] and below_fair_part - {team}
        )

    def _count_held(self, source: Source, machines: list[Machine]) -> dict[str, _HeldCpus]:
        found: dict[str, _HeldCpus] = {}
        for machine in machines:
            near = machine.record.zone in source.zones
            for placement in machine.placements.values():
                job = placement.job
                if not placement.active or job is None:
                    continue
                if source not in self.sources.sources_read_by(job.spec):
                    continue
                held = found.get(job.spec.team, NO_CPUS_HELD)
                cpus = placement.size.cpus
                found[job.spec.team] = (
                    held._replace(near=held.near + cpus)
                    if near
                    else held._replace(elsewhere=held.elsewhere + cpus)
                )
        return found

    def _fair_parts(self, teams: set[str], capacity: float) -> dict[str, float]:
        """Divides the capacity by the teams' guarantees where all have one, otherwise evenly."""
        weights = {team: self.guarantees.get(team, 0.0) for team in teams}
        if not all(weights.values()):
            weights = dict.fromkeys(teams, 1.0)
        total = sum(weights.values())
        return {team: capacity * weight / total for team, weight in weights.items()}

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """Returns the machines that a task of the job may take.

        The machines near sources where its team is held back are left out, unless no other is
        available.
        """
        spec = work.job.spec
        zones: set[str] = set()
        for source in self.sources.sources_read_by(spec):
            if spec.team in self._held_back.get(source.name, ()):
                zones.update(source.zones)
        if not zones:
            return machines
        return [m for m in machines if m.record.zone not in zones] or machines
