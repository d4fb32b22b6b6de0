"""The locality file: data sources, weights and bounds, checked against the platform's settings."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import sexpdata
from msgspec import Meta, Struct

from ..config import Platform
from ..errors import SettingsError
from ..sexp_settings import Entry, read_entries, to_struct

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
NonNegative = Annotated[float, Meta(ge=0, le=1e9)]
Part = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]

HEAD = "locality"
SOURCE = "source"
SOURCE_LISTS = ("zones", "teams", "classes")


class Source(Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """A place of data, and who reads it: tasks of the teams or of the classes named."""

    name: Name
    zones: Annotated[tuple[Name, ...], Meta(min_length=1)]
    read_gb: NonNegative  # by one task
    local_rate: Positive  # gigabytes a second within its zones
    remote_rate: Positive  # and from any other zone
    teams: tuple[Name, ...] = ()
    classes: tuple[Name, ...] = ()


class LocalitySettings(Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """All that operators may set; a duration is in seconds."""

    sources: tuple[Source, ...] = ()
    weight: NonNegative = 1.0  # of a second of transfer or slowdown, beside one of image fetch
    load_slowdown: NonNegative = 0.1  # part of its run time that a task loses on a full machine
    rebalance: bool = True  # move running work at all
    dry_run: bool = False  # plan and log moves, but carry out none
    hot: Part = 0.9  # committed part of a machine from which on it counts as hot
    cool: Part = 0.6  # and up to which it counts as cool
    dwell: NonNegative = 30.0  # for which it must be beyond a threshold
    interval: Positive = 5.0  # between two plans of a share
    sample: Count = 20  # machines that a plan looks at
    moves_per_hour: NonNegative = 60.0  # of each share
    burst: Count = 4  # moves that may be saved up
    cooldown: Positive = 300.0  # of a task after a move; twice as long after each
    cooldown_most: Positive = 4800.0
    gain_factor: Annotated[float, Meta(ge=1)] = 2.0  # by which the gain must exceed the cost
    least_gain: NonNegative = 10.0
    replica_horizon: Positive = 600.0  # run time that a replica's gain is reckoned over
    flap_changes: Count = 3  # changes of a source's place within `flap-window`
    flap_window: Positive = 900.0
    flap_hold: Positive = 900.0  # for which such a source counts as lying nowhere


def load_locality(path: Path, platform: Platform) -> LocalitySettings:
    """Read and check the file."""
    entries = read_entries(path, HEAD)
    sources = [
        _source(path, entry, number)
        for number, entry in enumerate(e for e in entries if str(e[0]) == SOURCE)
    ]
    others = [_plain(entry) for entry in entries if str(entry[0]) != SOURCE]
    if any(str(entry[0]) == "sources" for entry in others):
        raise SettingsError(f"{path}: sources: unknown setting")
    settings = to_struct(path, others, LocalitySettings)
    if settings.cool >= settings.hot:
        raise SettingsError(f"{path}: cool: must be less than hot ({settings.hot})")
    if settings.cooldown > settings.cooldown_most:
        raise SettingsError(f"{path}: cooldown: must not exceed cooldown-most")
    _check_sources(path, sources, platform)
    return msgspec.structs.replace(settings, sources=tuple(sources))


def _plain(entry: Entry) -> Entry:
    """Booleans are the symbols true and false, which sexpdata leaves as symbols."""
    values = {"true": True, "false": False}
    return [
        values.get(str(part), part) if isinstance(part, sexpdata.Symbol) and n else part
        for n, part in enumerate(entry)
    ]


def _source(path: Path, entry: Entry, number: int) -> Source:
    place = f"{SOURCE}[{number}]"
    for field in entry[1:]:
        if not isinstance(field, list) or len(field) < 2:
            raise SettingsError(f"{path}: {place}: expected (name value ...)")
    return to_struct(path, entry[1:], Source, place, SOURCE_LISTS)


def _check_sources(path: Path, sources: list[Source], platform: Platform) -> None:
    teams = {team.name for team in platform.settings.teams}
    zones = set(platform.settings.zones)
    for number, source in enumerate(sources):
        place = f"{path}: {SOURCE}[{number}]"
        _check_names(f"{place}.zones", source.zones, zones, "zone")
        _check_names(f"{place}.teams", source.teams, teams, "team")
        _check_names(f"{place}.classes", source.classes, None, "class")
        if not source.teams and not source.classes:
            raise SettingsError(f"{place}.teams: nobody reads it: name teams or classes")
    for name, count in Counter(source.name for source in sources).items():
        if count > 1:
            raise SettingsError(f"{path}: {SOURCE}: the name {name!r} is given twice")


def _check_names(place: str, names: Iterable[str], known: set[str] | None, what: str) -> None:
    seen: set[Any] = set()
    for name in names:
        if known is not None and name not in known:
            raise SettingsError(f"{place}: unknown {what} {name!r}")
        if name in seen:
            raise SettingsError(f"{place}: {what} {name!r} is listed twice")
        seen.add(name)
