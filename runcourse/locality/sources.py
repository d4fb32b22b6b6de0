"""Data sources: how long a task's reads take in a zone, and damping of sources that flap."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..core.ids import Instant, later
from ..core.jobs import JobSpec
from .settings import LocalitySettings, Source


class SourceTable:
    """The sources in force. Replaceable while serving; changes of place are remembered."""

    def __init__(self, settings: LocalitySettings) -> None:
        self.settings = settings
        self.sources = settings.sources
        self._changes: dict[str, deque[Instant]] = {}  # of place, by source
        self._held_until: dict[str, Instant] = {}  # damped sources
        self._by_reader: dict[tuple[str, str], tuple[Source, ...]] = {}

    def replace(self, settings: LocalitySettings, now: Instant) -> list[str]:
        """Put other sources in force; returns those that are damped from now on."""
        former = {source.name: frozenset(source.zones) for source in self.sources}
        self.settings, self.sources = settings, settings.sources
        self._by_reader.clear()
        return [
            source.name
            for source in self.sources
            if former.get(source.name, frozenset(source.zones)) != frozenset(source.zones)
            and self._moved(source.name, now)
        ]

    def _moved(self, name: str, now: Instant) -> bool:
        """The source changed its place. Does it do so too often?"""
        changes = self._changes.setdefault(name, deque())
        changes.append(now)
        while changes[0] <= now - self.settings.flap_window:
            changes.popleft()
        if len(changes) < self.settings.flap_changes:
            return False
        self._held_until[name] = later(now, self.settings.flap_hold)
        return True

    def damped(self, name: str, now: Instant) -> bool:
        """Does the source count as lying nowhere, as it changed its place too often?"""
        until = self._held_until.get(name)
        return until is not None and now < until

    def read_by(self, spec: JobSpec) -> tuple[Source, ...]:
        """The sources that tasks of the job read."""
        reader = (spec.team, spec.lane)
        found = self._by_reader.get(reader)
        if found is None:
            found = self._by_reader[reader] = tuple(
                s for s in self.sources if spec.team in s.teams or spec.lane in s.classes
            )
        return found

    def transfer_s(self, spec: JobSpec, zone: str, now: Instant) -> float:
        """Seconds that the reads of one task take from the zone."""
        return sum(
            source.read_gb / self._rate(source, zone)
            for source in self.read_by(spec)
            if not self.damped(source.name, now)
        )

    @staticmethod
    def _rate(source: Source, zone: str) -> float:
        return source.local_rate if zone in source.zones else source.remote_rate

    def local_zones(self, sources: Iterable[Source], now: Instant) -> frozenset[str]:
        """Zones in which any of the sources lies."""
        return frozenset(
            zone for source in sources if not self.damped(source.name, now) for zone in source.zones
        )
