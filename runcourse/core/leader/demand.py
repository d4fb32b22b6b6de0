"""Load reports of owners to the leader: waiting demand, and the load of the share's machines."""

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
LOAD_VALID_S = 5.0  # a load report is ignored when it is older
LOAD_PAGE = 500  # machines in one message to the leader
COUNT_ROUNDING = 1e-6  # tolerance when a sum of fractions of machines becomes a whole number


class _DemandKey(NamedTuple):
    """Properties shared by tasks that may use the same machines."""

    size: Size
    rank: int
    spot: bool
    types: tuple[str, ...] | None
    zone: str | None
    closed_zones: tuple[str, ...]
    block: str  # the job, if it is a gang bound to one zone; otherwise empty


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
        self.hire = entry.hire  # tasks that machines are needed for
        self.count = self.hire  # those still without a machine; reduced while planning
        self.zone = entry.zone  # narrowed to one zone while planning
        self.closed_zones = entry.closed_zones
        # A gang bound to one zone: room for only some of its tasks in a zone is useless. Owners
        # of the former version report no such demands.
        self.block = entry.block
        self.room = entry.room  # tasks of the gang that fit already, by zone
        # Tasks of the gang without a machine, by zone; set while planning.
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
    """Returns whether tasks of the demand may run on machines of that type, zone and kind."""
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
    """Returns how many tasks of that size fit on the share's machines now, by zone."""
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
        self._remaining: list[Machine] = []  # of the current round, in reverse order

    def all(self) -> list[Machine]:
        """Returns all machines; a leader of a former version needs them in one message."""
        return list(self.fleet.of_share(self.share))

    def next(self) -> list[Machine]:
        """Returns the next page, which holds all machines if they fit."""
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

    With `replicas` the report names the CPUs that services use as well.
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
        # A gang bound to one zone has an entry of its own; a task already placed fixes the zone.
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
