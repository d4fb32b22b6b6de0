"""Fair parts of the machines near a source, among the teams that read it.

A team that holds more than its part leaves those machines to a team that holds less and waits for
them, or runs elsewhere meanwhile. Nothing is stopped for it, and where no other machine has room
nobody is held back: so neither can a hot team starve a quiet one, nor a quiet one idle machines.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..core.ids import Instant
from ..core.machine import Machine
from ..core.work import Work
from .settings import Source
from .sources import SourceTable


class _Held(NamedTuple):
    """CPUs that a team's tasks hold near a source and elsewhere."""

    near: float
    elsewhere: float


NOTHING_HELD = _Held(0.0, 0.0)


class SourceFairness:
    """Who leaves the machines near a source to whom; reckoned anew now and then."""

    def __init__(self, sources: SourceTable, guarantees: Mapping[str, float]) -> None:
        self.sources = sources
        self.guarantees = guarantees  # CPUs, by team
        self._held_back: dict[str, frozenset[str]] = {}  # source -> teams

    def recompute(self, machines: Iterable[Machine], works: Iterable[Work], now: Instant) -> None:
        """Count what teams hold near each source and what they wait for."""
        machines, works = list(machines), list(works)
        self._held_back = {
            source.name: self._exceeding(source, machines, works)
            for source in self.sources.sources
            if not self.sources.damped(source.name, now)
        }

    def _exceeding(
        self, source: Source, machines: list[Machine], works: list[Work]
    ) -> frozenset[str]:
        """Teams beyond their part, if any other waits for its own."""
        readers = [w for w in works if source in self.sources.read_by(w.job.spec)]
        waiting = {w.job.spec.team for w in readers if w.pending}
        teams = {w.job.spec.team for w in readers}
        if len(teams) < 2:
            return frozenset()
        held = self._count(source, machines)
        capacity = sum(m.type.cpus for m in machines if m.type and m.record.zone in source.zones)
        parts = self._fair_parts(teams, capacity)
        below = {
            team
            for team in teams
            if held.get(team, NOTHING_HELD).near < parts[team]
            and (team in waiting or held.get(team, NOTHING_HELD).elsewhere > 0)
        }
        return frozenset(
            team
            for team in teams
            if held.get(team, NOTHING_HELD).near >= parts[team] and below - {team}
        )

    def _count(self, source: Source, machines: list[Machine]) -> dict[str, _Held]:
        found: dict[str, _Held] = {}
        for machine in machines:
            near = machine.record.zone in source.zones
            for placement in machine.placements.values():
                job = placement.job
                if not placement.active or job is None:
                    continue
                if source not in self.sources.read_by(job.spec):
                    continue
                held = found.get(job.spec.team, NOTHING_HELD)
                cpus = placement.size.cpus
                found[job.spec.team] = (
                    held._replace(near=held.near + cpus)
                    if near
                    else held._replace(elsewhere=held.elsewhere + cpus)
                )
        return found

    def _fair_parts(self, teams: set[str], capacity: float) -> dict[str, float]:
        """The capacity, divided by guarantees where all have one, else evenly."""
        weights = {team: self.guarantees.get(team, 0.0) for team in teams}
        if not all(weights.values()):
            weights = dict.fromkeys(teams, 1.0)
        total = sum(weights.values())
        return {team: capacity * weight / total for team, weight in weights.items()}

    def candidates(self, work: Work, machines: list[Machine]) -> list[Machine]:
        """The machines that a task of the job may take, if others than those held back are left."""
        spec = work.job.spec
        zones: set[str] = set()
        for source in self.sources.read_by(spec):
            if spec.team in self._held_back.get(source.name, ()):
                zones.update(source.zones)
        if not zones:
            return machines
        return [m for m in machines if m.record.zone not in zones] or machines
