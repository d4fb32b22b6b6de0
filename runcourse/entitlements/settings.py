"""The entitlements file: organisations, their teams and their initial limits."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..config import Platform
from ..core.stored_values import OrganisationLimits
from ..errors import SettingsError
from ..sexp_settings import Entry, read_entries, to_struct

MAX_NAME_LENGTH = 200  # characters of a team's or organisation's name
MAX_CPUS = 1e9  # upper bound of minimum, maximum, weight and pool
MAX_DWELL_S = 30  # upper bound of the setting `dwell`

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Positive = Annotated[float, Meta(gt=0, le=MAX_CPUS)]
NonNegative = Annotated[float, Meta(ge=0, le=MAX_CPUS)]

HEAD = "entitlements"
ORGANISATION = "organisation"


class Organisation(Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """A named set of teams; its limits apply until a division (limits of all) is stored."""

    name: Name
    teams: Annotated[tuple[Name, ...], Meta(min_length=1)]
    minimum: NonNegative = 0.0  # CPUs
    weight: Positive = 1.0
    maximum: Positive | None = None  # CPUs; None: unlimited

    @property
    def limits(self) -> OrganisationLimits:
        """The limits of the organisation while no division is stored."""
        return OrganisationLimits(self.name, self.minimum, self.weight, self.maximum)


class EntitlementSettings(Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """All settings of the file; durations are in seconds."""

    organisations: tuple[Organisation, ...] = ()
    pool: Positive | None = None  # CPUs that the minima may add up to; None: the CPUs on record
    # Wait before machines in use are requested in the opposite direction between two organisations
    # (doubled with each reversal, up to eightfold), and after another node becomes leader.
    dwell: Annotated[float, Meta(gt=0, le=MAX_DWELL_S)] = 5.0


def load_entitlements(path: Path, platform: Platform) -> EntitlementSettings:
    """Reads and validates the file; raises `SettingsError` naming file, field and reason."""
    entries = read_entries(path, HEAD)
    organisations = [
        _organisation(path, entry, number)
        for number, entry in enumerate(e for e in entries if str(e[0]) == ORGANISATION)
    ]
    others = [entry for entry in entries if str(entry[0]) != ORGANISATION]
    if any(str(entry[0]) == "organisations" for entry in others):
        raise SettingsError(f"{path}: organisations: unknown setting")
    settings = to_struct(path, others, EntitlementSettings)
    _validate_teams(path, organisations, platform)
    minima = sum(entry.minimum for entry in organisations)
    if settings.pool is not None and minima > settings.pool:
        raise SettingsError(f"{path}: pool: less than the minima of {minima:g} CPUs")
    return msgspec.structs.replace(settings, organisations=tuple(organisations))


def _organisation(path: Path, entry: Entry, number: int) -> Organisation:
    place = f"{ORGANISATION}[{number}]"
    for field in entry[1:]:
        if not isinstance(field, list) or len(field) < 2:
            raise SettingsError(f"{path}: {place}: expected (name value ...)")
    organisation = to_struct(path, entry[1:], Organisation, place, ("teams",))
    if not all(map(math.isfinite, (organisation.minimum, organisation.weight))):
        raise SettingsError(f"{path}: {place}: not a number")
    if organisation.maximum is not None and organisation.maximum < organisation.minimum:
        raise SettingsError(f"{path}: {place}.maximum: less than minimum ({organisation.minimum})")
    return organisation


def _validate_teams(path: Path, organisations: list[Organisation], platform: Platform) -> None:
    """Checks that every team of the platform is in one organisation, and that there is a share for
    each organisation."""
    if not organisations:
        raise SettingsError(f"{path}: {ORGANISATION}: none is given")
    if len(organisations) > platform.settings.nodes:
        raise SettingsError(
            f"{path}: {ORGANISATION}: {len(organisations)} of them, but only"
            f" {platform.settings.nodes} shares"
        )
    _require_unique(path, f"{ORGANISATION}: the name", (entry.name for entry in organisations))
    listed = [team for entry in organisations for team in entry.teams]
    _require_unique(path, "teams: the team", listed)
    known = {team.name for team in platform.settings.teams}
    for team in listed:
        if team not in known:
            raise SettingsError(f"{path}: teams: unknown team {team!r}")
    missing = sorted(known - set(listed))
    if missing:
        raise SettingsError(f"{path}: teams: in no organisation: {', '.join(missing)}")


def _require_unique(path: Path, what: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise SettingsError(f"{path}: {what} {name!r} is given twice")
