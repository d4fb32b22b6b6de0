"""The values kept in the state service, one typed struct for each kind of key.

This module and the keys in `store` own the stored form. A new field must have a default, so that
what a former version wrote stays readable, and unknown fields are ignored.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from .ids import Incarnation, Member, ShareNo
from .jobs import DONE, JOB, PART, JobValue, PageValue

ROOT = "rc/"
LIVE = ROOT + "live/"
LEADER = ROOT + "leader"
SHARE = ROOT + "share/"
MAPPING = ROOT + "mapping"
MACHINE = ROOT + "machine/"
FORMAT = ROOT + "format"  # what every member has been seen to read
TYPES = ROOT + "types/"  # the catalogue, where one value doesn't hold it
CATALOG = ROOT + "catalog"
DIVISION = ROOT + "division"  # of the fleet among organisations

FORMER = 1  # the version of a member whose live key names none


class LiveValue(Struct, frozen=True):
    """A member's present process; attached to its lease."""

    incarnation: Incarnation = field(name="inc")
    gone: list[Incarnation] = []  # processes whose leases it saw end
    version: int = FORMER  # of the formats that it reads and writes


class LeaderValue(Struct, frozen=True):
    """Who leads; attached to its lease."""

    member: Member
    incarnation: Incarnation = field(name="inc")


class ShareValue(Struct, frozen=True):
    """Who owns a share."""

    owner: Member
    incarnation: Incarnation = field(name="inc")


class MappingValue(Struct, frozen=True):
    """The teams that were dealt to the shares, in their order."""

    dealt: list[str]


class MachineValue(Struct, frozen=True):
    """A machine that may hold tasks."""

    share: ShareNo
    type: str
    zone: str
    spot: bool
    leaving: bool


class GoneMachine(Struct, frozen=True):
    """A machine that was returned: its id never comes again."""

    gone: bool = True


class FormatValue(Struct, frozen=True):
    """The version that every member has been seen to read."""

    version: int


class OrganisationLimits(Struct, frozen=True):
    """What one organisation is entitled to, in CPUs."""

    name: str
    minimum: float = 0.0
    weight: float = 1.0
    maximum: float | None = None  # None: no bound


class Division(Struct, frozen=True):
    """The limits of all organisations; version 0 is what the entitlements file says."""

    version: int
    limits: list[OrganisationLimits]
    author: str = ""
    note: str = ""
    at: str = ""  # time of day, for people only


class DivisionValue(Struct, frozen=True):
    """The division in force and the last ones before it, the newest first."""

    current: Division
    past: list[Division] = []


_KINDS: tuple[tuple[str, type[Struct]], ...] = (
    (JOB, JobValue),
    (DONE, PageValue),
    (PART, PageValue),
    (MACHINE, MachineValue),
    (LIVE, LiveValue),
    (SHARE, ShareValue),
    (LEADER, LeaderValue),
    (MAPPING, MappingValue),
    (FORMAT, FormatValue),
    (DIVISION, DivisionValue),
)


def parse(key: str, value: Any) -> Any:
    """The value of a key as its struct; values of other keys stay as they are."""
    if value is None or isinstance(value, Struct):
        return value
    for prefix, kind in _KINDS:
        if key.startswith(prefix):
            if kind is MachineValue and value.get("gone"):
                return GoneMachine()
            return msgspec.convert(value, kind)
    return value
