"""The values kept in the state service, one typed struct for each kind of key.

This module and `jobs` define the stored form. A new field must have a default, so that values
written by a former version stay readable; unknown fields are ignored.
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
FORMAT = ROOT + "format"  # version of the formats that all members can read
TYPES = ROOT + "types/"  # machine types, in several values where one is too small
CATALOG = ROOT + "catalog"
DIVISION = ROOT + "division"  # the organisations' limits, which divide the fleet among them

FIRST_VERSION = 1  # of a member whose live key names no version


class LiveValue(Struct, frozen=True):
    """A member's present process. The key is attached to the process's lease."""

    incarnation: Incarnation = field(name="inc")
    gone: list[Incarnation] = []  # incarnations (ids of processes) whose leases it saw end
    version: int = FIRST_VERSION  # of the formats that it reads and writes


class LeaderValue(Struct, frozen=True):
    """The node that is the leader. The key is attached to that node's lease."""

    member: Member
    incarnation: Incarnation = field(name="inc")


class ShareValue(Struct, frozen=True):
    """The node that owns a share."""

    owner: Member
    incarnation: Incarnation = field(name="inc")


class MappingValue(Struct, frozen=True):
    """The teams assigned to the shares: the team at index n to share n modulo their number."""

    dealt: list[str]


class MachineValue(Struct, frozen=True):
    """A machine that may run tasks."""

    share: ShareNo
    type: str
    zone: str
    spot: bool
    leaving: bool  # it is about to be returned to the cloud and gets no new tasks


class GoneMachine(Struct, frozen=True):
    """A machine that was returned to the cloud. Its id is never used again."""

    gone: bool = True


class FormatValue(Struct, frozen=True):
    """The version of the stored formats that all members can read."""

    version: int


class OrganisationLimits(Struct, frozen=True):
    """The entitlement of one organisation; `minimum` and `maximum` are in CPUs."""

    name: str
    minimum: float = 0.0
    weight: float = 1.0
    maximum: float | None = None  # None: unlimited


class Division(Struct, frozen=True):
    """The limits that divide the fleet among organisations.

    Version 0 is that of the entitlements file.
    """

    version: int
    limits: list[OrganisationLimits]
    author: str = ""
    note: str = ""
    at: str = ""  # time of day, for people only


class DivisionValue(Struct, frozen=True):
    """The organisations' limits in force and their latest predecessors, the newest first."""

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
    """Returns the value of a key as its struct, or unchanged if the key has no struct.

    Raises msgspec.ValidationError for a value that does not fit the struct.
    """
    if value is None or isinstance(value, Struct):
        return value
    for prefix, kind in _KINDS:
        if key.startswith(prefix):
            if kind is MachineValue and value.get("gone"):
                return GoneMachine()
            return msgspec.convert(value, kind)
    return value
