"""What owners tell the leader: what waits for machines, and how theirs fare."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ...wire.peer_messages import DemandEntry, MachineLoad, ShareLoad
from ..context import Context
from ..ids import Instant, ShareNo
from ..machine import Machine
from ..machines import Fleet
from ..placement import Size, fits_times
from ..scheduler import Scheduler

Place = tuple[str, str, bool]  # type, zone, spot
LOAD_VALID_S = 5.0  # for which an owner's word on its share counts
LOAD_PAGE = 500  # machines in one message to the leader


class _Shape(NamedTuple):
    """What tasks have in common that may use the same machines."""

    size: Size
    rank: int
    spot: bool
    types: tuple[str, ...] | None
    zone: str | None
    closed_zones: tuple[str, ...]
    block: str  # the job, if it is a gang bound to one zone


class Demand:
    """Waiting tasks of one shape in one share, or those of one gang."""

    __slots__ = (
        "asked",
        "block",
        "count",
        "entry",
        "hire",
        "missing_by_zone",
        "room",
        "shut",
        "size",
        "zone",
    )

    def __init__(self, entry: DemandEntry) -> None:
        self.entry = entry
        self.size = Size(*entry.size)
        self.asked = entry.waiting
        self.hire = entry.hire
        self.count = self.hire  # what is left of that while a plan is made
        self.zone = entry.zone  # narrowed while a plan is made
        self.shut = entry.closed_zones
        # All in one zone or none: fewer machines than that are of no use. The former version's
        # owners have no such needs.
        self.block = entry.block
        self.room = entry.room
        self.missing_by_zone: dict[
            str, int
        ] = {}  # for how many there is none, by zone, while planning

    @property
    def age(self) -> float:
        """Seconds since the oldest of the tasks was submitted."""
        return self.entry.age

    @property
    def rank(self) -> int:
        """Priority of the tasks; lower is more urgent."""
        return self.entry.rank

    @property
    def spot(self) -> bool:
        """May the tasks use spot machines?"""
        return self.entry.spot

    @property
    def types(self) -> list[str] | None:
        """Allowed machine types; None: any."""
        return self.entry.types


class LoadReport:
    """What an owner tells of a share."""

    __slots__ = ("at", "demands", "replicas", "used")

    def __init__(self, message: ShareLoad, at: Instant) -> None:
        self.at = at
        self.demands = [Demand(entry) for entry in message.needs]
        self.used = message.used
        self.replicas = message.replicas


def serves(need: Demand, type_: str, zone: str, spot: bool) -> bool:
    """May tasks of the demand go to machines of that type, zone and kind?"""
    return (
        (need.types is None or type_ in need.types)
        and (need.zone is None or zone == need.zone)
        and zone not in need.shut
        and (need.spot or not spot)
    )


def heard_ago(context: Context, machine: Machine) -> float:
    """Seconds since it was heard; -1 for a new machine that was never heard. One that an
    earlier owner knew is not new: it counts from the takeover."""
    if machine.heard >= 0:
        return context.now - machine.heard
    if machine.record.stamp > machine.share.epoch:
        return -1.0
    return context.now - machine.share.since


def _room(share: ShareNo, fleet: Fleet, size: Size, spot: bool) -> dict[str, int]:
    """How many tasks of that size would start at once, by zone."""
    room: dict[str, int] = {}
    for machine in fleet.of_share(share).with_room(size):
        if (spot or not machine.record.spot) and fleet.usable(machine):
            zone = machine.record.zone
            room[zone] = room.get(zone, 0) + fits_times(size, machine.room)
    return room


class LoadPages:
    """Parts the machines of a share into pages, told in turn: a message must not grow with it."""

    def __init__(self, fleet: Fleet, share: ShareNo) -> None:
        self.fleet = fleet
        self.share = share
        self._left: list[Machine] = []  # of the present round, the next one last

    def all(self) -> list[Machine]:
        """Every machine at once, for a leader of a former version."""
        return list(self.fleet.of_share(self.share))

    def next(self) -> list[Machine]:
        """The next page; all machines if they are no more than one holds."""
        if not self._left:
            self._left = self.all()
            self._left.reverse()
        page, self._left = self._left[-LOAD_PAGE:], self._left[:-LOAD_PAGE]
        return [m for m in reversed(page) if self.fleet.machines.get(m.id) is m]


def share_load(
    context: Context,
    share: ShareNo,
    machines: Iterable[Machine],
    fleet: Fleet,
    scheduler: Scheduler,
    replicas: bool = False,
) -> ShareLoad:
    """What the owner of a share tells of it, and of some or all of its machines; `replicas`:
    what services use as well."""
    owned = fleet.of_share(share)
    return ShareLoad(
        share,
        owned.used_cpus,
        {str(m.id): _machine_load(context, m) for m in machines},
        _entries(context, share, fleet, scheduler),
        owned.lasting_cpus if replicas else 0.0,
    )


def _machine_load(context: Context, machine: Machine) -> MachineLoad:
    empty = not machine.busy and machine.empty_since is not None
    idle = context.now - machine.empty_since if empty and machine.empty_since is not None else -1.0
    return MachineLoad(round(heard_ago(context, machine), 2), round(idle, 2), machine.used.cpus)


def _entries(
    context: Context, share: ShareNo, fleet: Fleet, scheduler: Scheduler
) -> list[DemandEntry]:
    """What waits, with the jobs of one shape taken together."""
    found: dict[_Shape, list[int]] = {}
    ages: dict[_Shape, float] = {}
    for job, count, shut in scheduler.unmet.get(share, ()):
        spec = job.spec
        # A gang in one zone is a need of its own; its first task decides the zone, if placed.
        block = job.uid if spec.gang and spec.together else ""
        shape = _Shape(job.size, spec.rank, spec.spot, spec.types, spec.zone, shut, block)
        counts = found.setdefault(shape, [0, 0])
        counts[0] += count
        counts[1] += scheduler.needed(job, count)
        ages[shape] = max(ages.get(shape, 0.0), context.now - job.submitted)
    return [
        DemandEntry(
            size=(shape.size.cpus, shape.size.memory, shape.size.gpus),
            rank=shape.rank,
            spot=shape.spot,
            types=list(shape.types) if shape.types is not None else None,
            zone=shape.zone,
            closed_zones=list(shape.closed_zones),
            waiting=waiting,
            hire=hire,
            age=ages[shape],
            block=bool(shape.block),
            room=_room(share, fleet, shape.size, shape.spot) if shape.block else {},
        )
        for shape, (waiting, hire) in found.items()
    ]
