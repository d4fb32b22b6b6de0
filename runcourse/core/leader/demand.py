"""Load reports of owners to the leader: waiting tasks, and the load of the share's machines.

An offering is a machine type in one zone, as a spot or as an on-demand machine.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ...wire.peer_messages import DemandEntry, MachineLoad, ShareLoad
from ..context import Context
from ..ids import Instant, ShareNo
from ..machine import Machine
from ..machines import Fleet
from ..placement import Size, count_fitting
from ..scheduler import Scheduler

Offering = tuple[str, str, bool]  # machine type, zone, spot
# Older load reports say nothing about the waiting tasks of a share or whether its owner still
# reports. The choice of a share for new machines and the surplus use reports of any age.
LOAD_VALID_S = 5.0
LOAD_PAGE = 500  # at most so many machines in one load report to the leader
# Machines or tasks; rounding error allowed before a sum of fractions is rounded.
COUNT_ROUNDING = 1e-6


class _DemandKey(NamedTuple):
    """Requirements of waiting tasks; tasks with equal requirements are reported in one entry."""

    size: Size
    rank: int
    spot: bool
    types: tuple[str, ...] | None
    zone: str | None
    closed_zones: tuple[str, ...]
    block: str  # id of the job if it is a gang that must run in one zone; otherwise empty


class Demand:
    """Waiting tasks of one share with the same requirements, or those of one gang."""

    __slots__ = (
        "block",
        "closed_zones",
        "count",
        "entry",
        "hire",
        "missing_by_zone",
        "room",
        "size",
        "waiting",
        "zone",
    )

    def __init__(self, entry: DemandEntry) -> None:
        self.entry = entry
        self.size = Size(*entry.size)
        self.waiting = entry.waiting
        # Of `waiting`: tasks to provide machines for; short ones share a machine.
        self.hire = entry.hire
        self.count = self.hire  # of `hire`: tasks still without a machine; reduced during a plan
        self.zone = entry.zone  # required zone, if any; set during a plan for a gang in one zone
        self.closed_zones = entry.closed_zones
        # Whether this is a gang that must run in one zone: room for only some of its tasks in a
        # zone is useless. Owners of the former version report no such demands.
        self.block = entry.block
        # How many tasks of the gang fit on the share's machines now, by zone.
        self.room = entry.room
        # How many tasks of the gang would lack a machine if it ran in the zone; set during a plan.
        self.missing_by_zone: dict[str, int] = {}

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
        """Whether the tasks may use spot machines."""
        return self.entry.spot

    @property
    def types(self) -> list[str] | None:
        """Allowed machine types; None allows any."""
        return self.entry.types


class LoadReport:
    """The latest load report of a share's owner, and when it was received."""

    __slots__ = ("at", "demands", "replicas", "used")

    def __init__(self, message: ShareLoad, at: Instant) -> None:
        self.at = at
        self.demands = [Demand(entry) for entry in message.needs]
        self.used = message.used
        self.replicas = message.replicas


def accepts(demand: Demand, type_: str, zone: str, spot: bool) -> bool:
    """Returns whether tasks of the demand may run on that offering; sizes are not compared."""
    return (
        (demand.types is None or type_ in demand.types)
        and (demand.zone is None or zone == demand.zone)
        and zone not in demand.closed_zones
        and (demand.spot or not spot)
    )


def seconds_since_message(context: Context, machine: Machine) -> float:
    """Returns the seconds since the machine's last message, or -1 for a new one without any.

    A machine recorded before the takeover is not new: its time counts from the takeover.
    """
    if machine.last_message_at >= 0:
        return context.now - machine.last_message_at
    if machine.record.stamp > machine.share.epoch:
        return -1.0
    return context.now - machine.share.since


def _room_by_zone(share: ShareNo, fleet: Fleet, size: Size, spot: bool) -> dict[str, int]:
    """Returns how many tasks of that size fit on the share's usable machines now, by zone."""
    room: dict[str, int] = {}
    for machine in fleet.of_share(share).with_room(size):
        if (spot or not machine.record.spot) and fleet.usable(machine):
            zone = machine.record.zone
            room[zone] = room.get(zone, 0) + count_fitting(size, machine.room)
    return room


class LoadPages:
    """Splits the machines of a share into pages for successive messages of bounded size."""

    def __init__(self, fleet: Fleet, share: ShareNo) -> None:
        self.fleet = fleet
        self.share = share
        # Machines not yet reported since the last full pass, in reverse order.
        self._remaining: list[Machine] = []

    def all(self) -> list[Machine]:
        """Returns all machines; a leader of a former version needs them in one message."""
        return list(self.fleet.of_share(self.share))

    def next(self) -> list[Machine]:
        """Returns the next page; it holds all machines of the share if they fit one page."""
        if not self._remaining:
            self._remaining = self.all()
            self._remaining.reverse()
        page, self._remaining = self._remaining[-LOAD_PAGE:], self._remaining[:-LOAD_PAGE]
        return [m for m in reversed(page) if self.fleet.machines.get(m.id) is m]


def share_load(
    context: Context,
    share: ShareNo,
    machines: Iterable[Machine],
    fleet: Fleet,
    scheduler: Scheduler,
    replicas: bool = False,
) -> ShareLoad:
    """Builds the load report of a share with some or all of its machines.

    With `replicas` the report also holds the CPUs that replicas of services use; otherwise 0.
    """
    owned = fleet.of_share(share)
    return ShareLoad(
        share,
        owned.used_cpus,
        {str(m.id): _machine_load(context, m) for m in machines},
        _demand_entries(context, share, fleet, scheduler),
        owned.service_cpus if replicas else 0.0,
    )


def _machine_load(context: Context, machine: Machine) -> MachineLoad:
    empty = not machine.busy and machine.empty_since is not None
    idle = context.now - machine.empty_since if empty and machine.empty_since is not None else -1.0
    return MachineLoad(
        round(seconds_since_message(context, machine), 2), round(idle, 2), machine.used.cpus
    )


def _demand_entries(
    context: Context, share: ShareNo, fleet: Fleet, scheduler: Scheduler
) -> list[DemandEntry]:
    """Returns the waiting tasks of a share; jobs with the same requirements form one entry."""
    found: dict[_DemandKey, list[int]] = {}
    ages: dict[_DemandKey, float] = {}
    for job, count, closed_zones in scheduler.unmet.get(share, ()):
        spec = job.spec
        # A gang that must run in one zone has an entry of its own, as it needs machines in a
        # single zone. `closed_zones` names only zones where tasks of the job are or were placed.
        block = job.uid if spec.gang and spec.together else ""
        key = _DemandKey(job.size, spec.rank, spec.spot, spec.types, spec.zone, closed_zones, block)
        counts = found.setdefault(key, [0, 0])
        counts[0] += count
        counts[1] += scheduler.tasks_needing_machines(job, count)
        ages[key] = max(ages.get(key, 0.0), context.now - job.submitted)
    return [
        DemandEntry(
            size=(key.size.cpus, key.size.memory, key.size.gpus),
            rank=key.rank,
            spot=key.spot,
            types=list(key.types) if key.types is not None else None,
            zone=key.zone,
            closed_zones=list(key.closed_zones),
            waiting=waiting,
            hire=hire,
            age=ages[key],
            block=bool(key.block),
            room=_room_by_zone(share, fleet, key.size, key.spot) if key.block else {},
        )
        for key, (waiting, hire) in found.items()
    ]
