"""Simulated clusters that move running tasks towards their data, and lookups for their tests."""

from __future__ import annotations

from typing import Any

from world import MEMBERS, World, spec

from runcourse.config import Operators
from runcourse.core.ids import JobId
from runcourse.core.migrations import MIN_RUNTIME_S, Migration, Migrations
from runcourse.core.node import Node
from runcourse.locality.settings import LocalitySettings, Source

UID = "j-000001"
LONG_S = 4000.0
MOVE_POLL_S = 0.02
MOVE_POLLS = 5000


def settings(*zones: str, **changes: Any) -> LocalitySettings:
    """Returns settings with a source in these zones for team-0; only the bounds delay moves."""
    source = Source("p", zones or ("a",), 200.0, 10.0, 0.5, teams=("team-0",))
    values: dict[str, Any] = {
        "sources": (source,),
        "moves_per_hour": 3600.0,
        "burst": 1,
        "interval": 1.0,
        "dwell": 5.0,
        "cooldown": 120.0,
    }
    return LocalitySettings(**{**values, **changes})


def world_with_locality(
    locality: LocalitySettings,
    members: tuple[str, ...] = MEMBERS,
    machines_per_share_and_zone: int = 2,
    **changes: Any,
) -> World:
    """Returns a cluster with machines in each share and zone; idle machines are kept."""
    zones = "a" * len(members) + "b" * len(members)
    values: dict[str, Any] = {"cpus_max": 100.0, "operators": Operators(idle_return=1e6)}
    world = World(
        machines=machines_per_share_and_zone * len(zones),
        members=members,
        locality=locality,
        machine_zones=zones,
        **{**values, **changes},
    )
    world.run(6.0)
    return world


def submit_array(world: World, uid: str = UID, tasks: int = 2, **changes: Any) -> None:
    values: dict[str, Any] = {"checkpoint_s": 1.0, "estimate_s": LONG_S, "save_s": 1.0}
    world.submit(spec(uid, tasks=tasks, **{**values, **changes}))
    world.until(lambda: len(running_zones(world, uid)) >= tasks, 30)


def running_zones(world: World, uid: str = UID) -> dict[int, str]:
    """Returns the zones of the job's running tasks by task number."""
    return {
        task.number: worker.zone
        for worker in world.workers.values()
        if worker.alive
        for (task, _), entry in worker.tasks.items()
        if task.job == uid and entry[0] == "running"
    }


def nodes(world: World) -> list[Node]:
    return [node for node in world.nodes.values() if node is not None]


def owner(world: World, uid: str = UID) -> Node:
    found = [n for n in nodes(world) if n.scheduler.work.get(JobId(uid)) is not None]
    assert len(found) == 1
    return found[0]


def migrations_of(world: World) -> Migrations:
    return owner(world).scheduler.migrations


def moves_begun(world: World) -> int:
    return sum(n.scheduler.migrations.counts["begun"] for n in nodes(world))


def runs_only_in(world: World, *zones: str) -> bool:
    return set(running_zones(world).values()) <= set(zones)


def current_move(world: World) -> Migration | None:
    return next(iter(migrations_of(world)._moves.values()), None)


def until_move(world: World) -> Migration:
    for _ in range(MOVE_POLLS):
        move = current_move(world)
        if move is not None:
            return move
        world.run(MOVE_POLL_S)
    raise AssertionError("no move has begun")


def no_reservations(world: World) -> bool:
    return not any(m.reservations for n in nodes(world) for m in n.fleet.machines.values())


def world_with_move(members: tuple[str, ...] = MEMBERS, **changes: Any) -> World:
    """Returns a cluster in which a move has just begun: its stop is sent, its room reserved."""
    world = world_with_locality(settings("a"), members)
    submit_array(world, tasks=1, **changes)
    world.run(MIN_RUNTIME_S + 5.0)
    world.reload(settings("b"))
    until_move(world)
    return world
