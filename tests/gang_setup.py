"""Set-up and lookups for the tests of gangs."""

from typing import Any

from test_failing_jobs_and_late_writes import owner_of_job
from world import MEMBERS, Worker, World, spec

from runcourse.core.machine import Placement
from runcourse.core.node import Node
from runcourse.core.work import Work

UID = "j-000001"
START_UP_S = 4.0


def gang_spec(uid: str = UID, tasks: int = 4, **changes: Any) -> Any:
    values: dict[str, Any] = {
        "gang": True,
        "together": True,
        "team": "team-1",
        "estimate_s": 12.0,
        "checkpoint_s": 4.0,
        "save_s": 1.0,
    }
    values.update(changes)
    return spec(uid, tasks=tasks, **values)


def started_world(members: tuple[str, ...] = MEMBERS, machines: int = 12, **settings: Any) -> World:
    """Returns a cluster after its start-up phase."""
    settings.setdefault("cpus_max", 100.0)
    world = World(machines=machines, members=members, **settings)
    world.run(START_UP_S)
    return world


def node_of(world: World, uid: str = UID) -> Node:
    node = world.nodes[owner_of_job(world, uid)]
    assert node is not None
    return node


def work_of(world: World, uid: str = UID) -> Work:
    return node_of(world, uid).scheduler.work[uid]  # type: ignore[index]


def machines_of(world: World, uid: str = UID) -> list[Worker]:
    return [w for task, w in world.on_machines() if task.job == uid]


def task_stages(world: World, uid: str = UID) -> set[str]:
    return {
        e[0] for w in world.workers.values() for (task, _), e in w.tasks.items() if task.job == uid
    }


def run_count(world: World, uid: str = UID) -> int:
    """Returns how many attempts of a gang have begun to run."""
    return sum(job == uid for _, job, _ in world.gang_runs)


def world_with_running_gang(
    members: tuple[str, ...] = MEMBERS, machines: int = 12, **changes: Any
) -> World:
    world = started_world(members, machines)
    world.submit(gang_spec(**changes))
    world.until(lambda: UID in world.running_gangs(), 20)
    return world


def node_of_team(world: World) -> Node:
    return next(
        n
        for n in world.nodes.values()
        if n is not None and n.shares.of_team("team-1") in n.shares.owned
    )  # type: ignore[arg-type]


def world_after_gang_ran(run_s: float) -> tuple[World, Node, list[Placement]]:
    """Returns a cluster whose gang has run for `run_s`, the gang's owner and its placements."""
    world = world_with_running_gang(estimate_s=30.0)
    world.run(run_s)
    node = node_of(world)
    return world, node, node.fleet.placements.of_job(UID)  # type: ignore[arg-type]


def world_with_gang_in_phase(members: tuple[str, ...], phase: str) -> World:
    """Returns a cluster with a gang in the phase; "mates" means that one machine has failed."""
    world = started_world(members)
    if phase == "fetching":
        world.fetch_s = 4.0
    world.submit(gang_spec(estimate_s=25.0, save_s=1.5))
    if phase == "waiting":
        world._step_gangs = lambda: None  # type: ignore[method-assign]
        world.until(lambda: len(machines_of(world)) == 4, 10)
        step = type(world)._step_gangs
        world.after(1.0, lambda: setattr(world, "_step_gangs", lambda: step(world)))
    elif phase == "fetching":
        world.run(2.0)
    else:
        world.until(lambda: UID in world.running_gangs(), 20)
        world.run(2.0)
        node = node_of(world)
        if phase == "saving":
            node.scheduler.gangs.stop(node.fleet.placements.of_job(UID)[0])  # type: ignore[arg-type]
            world.run(0.3)
        elif phase == "mates":
            machines_of(world)[0].alive = False
            world.run(0.2)
    return world
