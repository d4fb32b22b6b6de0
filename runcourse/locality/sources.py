"""Data sources: the time that a task's reads take in a zone, and damping of sources.

A source whose zones change too often (see the `flap-` settings) is damped: ignored for a time.
"""

from __future__ import annotations

from collections import deque

from ..core.ids import Instant, later
from ..core.jobs import JobSpec
from .settings import LocalitySettings, Source


class SourceTable:
    """The configured data sources, replaceable at run time, and recent changes of their zones."""

    def __init__(self, settings: LocalitySettings) -> None:
        self.settings = settings
        self.sources = settings.sources
        self._changes: dict[str, deque[Instant]] = {}  # by source: recent changes of its zones
        # By source: end of the time for which it is ignored (damped): its zones change too often.
        self._damped_until: dict[str, Instant] = {}
        self._sources_by_reader: dict[tuple[str, str], tuple[Source, ...]] = {}

    def replace(self, settings: LocalitySettings, now: Instant) -> list[str]:
        """Replaces the sources; returns the names of those that are now ignored (damped)."""
        former_zones = {source.name: frozenset(source.zones) for source in self.sources}
        self.settings, self.sources = settings, settings.sources
        self._sources_by_reader.clear()
        return [
            source.name
            for source in self.sources
            if former_zones.get(source.name, frozenset(source.zones)) != frozenset(source.zones)
            and self._record_zone_change(source.name, now)
        ]

    def _record_zone_change(self, name: str, now: Instant) -> bool:
        """Records that the source changed its zones; returns whether it is now ignored (damped)."""
        changes = self._changes.setdefault(name, deque())
        changes.append(now)
        while changes[0] <= now - self.settings.flap_window:
            changes.popleft()
        if len(changes) < self.settings.flap_changes:
            return False
        self._damped_until[name] = later(now, self.settings.flap_hold)
        return True

    def is_damped(self, name: str, now: Instant) -> bool:
        """Returns whether the source is ignored because it changed its zones too often."""
        until = self._damped_until.get(name)
        return until is not None and now < until

    def sources_read_by(self, spec: JobSpec) -> tuple[Source, ...]:
        """Returns the sources that tasks of the job read."""
        reader = (spec.team, spec.lane)
        found = self._sources_by_reader.get(reader)
        if found is None:
            found = self._sources_by_reader[reader] = tuple(
                source
                for source in self.sources
                if spec.team in source.teams or spec.lane in source.classes
            )
        return found

    def transfer_s(self, spec: JobSpec, zone: str, now: Instant) -> float:
        """Returns the seconds that the reads of one task take in the zone."""
        return sum(
            source.read_gb / self._rate(source, zone)
            for source in self.sources_read_by(spec)
            if not self.is_damped(source.name, now)
        )

    @staticmethod
    def _rate(source: Source, zone: str) -> float:
        return source.local_rate if zone in source.zones else source.remote_rate
