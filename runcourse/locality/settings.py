"""The locality file: data sources, weights and bounds, checked against the platform settings."""

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

MAX_NAME_LENGTH = 200  # characters
MAX_NUMBER = 1e9

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Positive = Annotated[float, Meta(gt=0, le=MAX_NUMBER)]
NonNegative = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]

HEAD = "locality"
SOURCE = "source"
SOURCE_LISTS = ("zones", "teams", "classes")  # fields of a source that hold lists
MIN_FIELD_ELEMENTS = 2  # a name and at least one value


class Source(Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """A data source: its zones, and the teams and job classes whose tasks read it."""

    name: Name
    zones: Annotated[tuple[Name, ...], Meta(min_length=1)]
    read_gb: NonNegative  # gigabytes that one task reads from it
    local_rate: Positive  # gigabytes per second within its zones
    remote_rate: Positive  # gigabytes per second from any other zone
    teams: tuple[Name, ...] = ()
    classes: tuple[Name, ...] = ()


class LocalitySettings(Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """The settings of operators; durations are in seconds."""

    sources: tuple[Source, ...] = ()
    weight: NonNegative = 1.0  # of a second of transfer or slowdown, relative to one of image fetch
    load_slowdown: NonNegative = 0.1  # fraction of its run time that a task loses on a full machine
    rebalance: bool = True  # move running tasks
    dry_run: bool = False  # plan and log moves, but carry out none
    hot: Fraction = 0.9  # committed fraction of a machine from which it is hot
    cool: Fraction = 0.6  # committed fraction of a machine up to which it is cool
    dwell: NonNegative = 30.0  # time beyond a threshold before a machine turns cool, warm or hot
    interval: Positive = 5.0  # between two plans of a share's moves
    sample: Count = 20  # machines that a plan of moves considers
    moves_per_hour: NonNegative = 60.0  # limit of each share's begun moves
    burst: Count = 4  # moves that an unused budget accumulates at most
    cooldown: Positive = 300.0  # after a task's first move, until its next; doubles with each
    cooldown_most: Positive = 4800.0  # longest cooldown
    gain_factor: Annotated[float, Meta(ge=1)] = 2.0  # minimum gain of a move, times its cost
    least_gain: NonNegative = 10.0  # seconds that a move must gain, its cost deducted
    replica_horizon: Positive = 600.0  # run time that is assumed for a replica
    flap_changes: Count = 3  # changes of a source's zones within `flap-window`
    flap_window: Positive = 900.0  # in which changes of zones are counted
    flap_hold: Positive = 900.0  # for which a source whose zones changed too often is ignored


def load_locality(path: Path, platform: Platform) -> LocalitySettings:
    """Reads and checks the file; raises SettingsError if it is faulty."""
    entries = read_entries(path, HEAD)
    sources = [
        _parse_source(path, entry, number)
        for number, entry in enumerate(e for e in entries if str(e[0]) == SOURCE)
    ]
    others = [_convert_booleans(entry) for entry in entries if str(entry[0]) != SOURCE]
    if any(str(entry[0]) == "sources" for entry in others):
        raise SettingsError(f"{path}: sources: unknown setting")
    settings = to_struct(path, others, LocalitySettings)
    if settings.cool >= settings.hot:
        raise SettingsError(f"{path}: cool: must be less than hot ({settings.hot})")
    if settings.cooldown > settings.cooldown_most:
        raise SettingsError(f"{path}: cooldown: must not exceed cooldown-most")
    _check_sources(path, sources, platform)
    return msgspec.structs.replace(settings, sources=tuple(sources))


def _convert_booleans(entry: Entry) -> Entry:
    """Converts the symbols true and false to booleans, which sexpdata does not."""
    values = {"true": True, "false": False}
    return [
        values.get(str(element), element)
        if isinstance(element, sexpdata.Symbol) and position
        else element
        for position, element in enumerate(entry)
    ]


def _parse_source(path: Path, entry: Entry, number: int) -> Source:
    place = f"{SOURCE}[{number}]"
    for field in entry[1:]:
        if not isinstance(field, list) or len(field) < MIN_FIELD_ELEMENTS:
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
