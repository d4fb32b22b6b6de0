"""What owners tell the leader: what waits for machines, and how theirs fare."""

from __future__ import annotations

from typing import Any

from .context import Context
from .ids import Instant, ShareNo
from .machine import Machine
from .machines import Fleet
from .placement import Size, fits_times
from .scheduler import Scheduler

Place = tuple[str, str, bool]  # type, zone, spot


class Need:
    """Waiting tasks of one shape in one share, or those of one gang."""

    __slots__ = (
        "age",
        "asked",
        "block",
        "count",
        "hire",
        "lacks",
        "rank",
        "raw",
        "room",
        "shut",
        "size",
        "spot",
        "types",
        "zone",
    )

    def __init__(self, raw: dict[str, Any]) -> None:
        self.raw = raw
        self.size = Size(*raw["size"])
        self.asked = int(raw["n"])
        self.hire = int(raw["hire"])  # for how many of them to have machines
        self.count = self.hire  # what is left of that while a plan is made
        self.age = float(raw["age"])  # how long the oldest has waited
        self.rank = int(raw["rank"])
        self.spot = bool(raw["spot"])
        self.types: list[str] | None = raw["types"]
        self.zone: str | None = raw["zone"]
        # All in one zone or none: fewer machines than that are of no use. The former version's
        # owners have no such needs.
        self.block = bool(raw.get("block", False))
        self.room: dict[str, int] = raw.get("room", {})  # its tasks that fit already, by zone
        self.lacks: dict[str, int] = {}  # for how many there is none, by zone, while planning
        self.shut: list[str] = raw["shut"]  # zones that `spread` closes


class Load:
    """What an owner tells of a share."""

    __slots__ = ("at", "machines", "needs", "used")

    def __init__(self, raw: dict[str, Any], at: Instant) -> None:
        self.at = at
        self.needs = [Need(n) for n in raw["needs"]]
        self.used = float(raw["used"])
        # machine -> (seconds since heard or -1 for never, seconds empty or -1, used CPUs)
        self.machines: dict[str, list[float]] = raw["machines"]


def serves(need: Need, type_: str, zone: str, spot: bool) -> bool:
    return (
        (need.types is None or type_ in need.types)
        and (need.zone is None or zone == need.zone)
        and zone not in need.shut
        and (need.spot or not spot)
    )


def heard_ago(cx: Context, machine: Machine) -> float:
    """Seconds since it was heard; -1 for a new machine that was never heard. One that an
    earlier owner knew is not new: it counts from the takeover."""
    if machine.heard >= 0:
        return cx.now - machine.heard
    if machine.record.stamp > machine.share.epoch:
        return -1.0
    return cx.now - machine.share.since


def _room(share: ShareNo, fleet: Fleet, size: Size, spot: bool) -> dict[str, int]:
    """How many tasks of that size would start at once, by zone."""
    room: dict[str, int] = {}
    for machine in fleet.of_share(share):
        if size.fits(machine.room) and (spot or not machine.record.spot) and fleet.usable(machine):
            zone = machine.record.zone
            room[zone] = room.get(zone, 0) + fits_times(size, machine.room)
    return room


def load_of(cx: Context, share: ShareNo, fleet: Fleet, scheduler: Scheduler) -> dict[str, Any]:
    """What the owner of a share tells of it."""
    now = cx.now
    needs: dict[tuple[Any, ...], int] = {}
    hires: dict[tuple[Any, ...], int] = {}
    ages: dict[tuple[Any, ...], float] = {}
    for job, count, shut in scheduler.unmet.get(share, ()):
        spec = job.spec
        # A gang in one zone is a need of its own; its first task decides the zone, if placed.
        block = job.uid if spec.gang and spec.together else ""
        key = (tuple(job.size), spec.rank, spec.spot, spec.types, spec.zone, shut, block)
        needs[key] = needs.get(key, 0) + count
        hires[key] = hires.get(key, 0) + scheduler.needed(job, count)
        ages[key] = max(ages.get(key, 0.0), now - job.submitted)
    machines = {}
    used = 0.0
    for m in fleet.of_share(share):
        idle = -1.0 if m.busy or m.empty_since is None else now - m.empty_since
        heard = heard_ago(cx, m)
        used += m.used.cpus
        machines[str(m.id)] = [round(heard, 2), round(idle, 2), m.used.cpus]
    return {
        "t": "load",
        "share": share,
        "used": used,
        "machines": machines,
        "needs": [
            {
                "size": list(k[0]),
                "rank": k[1],
                "spot": k[2],
                "types": list(k[3]) if k[3] is not None else None,
                "zone": k[4],
                "shut": list(k[5]),
                "block": bool(k[6]),
                "room": _room(share, fleet, Size(*k[0]), k[2]) if k[6] else {},
                "n": n,
                "hire": hires[k],
                "age": ages[k],
            }
            for k, n in needs.items()
        ],
    }
