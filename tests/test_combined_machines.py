"""Failures of machines and links that meet each other or a shortage.

Each meeting of failures that broke a rule somewhere is brought about here. Whatever meets,
the rules hold meanwhile (the world notes each that is broken), and once it is over every job is
known to every node, runs or is done, and no machine has room that somebody waits for.
"""

import pytest
from combined_failures import (
    TEAMS,
    crash_and_restart,
    leader,
    loaded_world,
    recover_and_check,
    send,
    started_world,
    submit,
)
from failing_parts import CLUSTER_SIZES
from world import LEASE_S, spec

from runcourse.core import types as t


@CLUSTER_SIZES
@pytest.mark.parametrize("how_many", ["some", "all"])
def test_workers_reach_no_controller_while_commands_reach_them(
    members: tuple[str, ...], how_many: str
) -> None:
    world = loaded_world(members)
    ids = sorted(world.workers)
    world.outbound_cut.update(ids if how_many == "all" else ids[::3])
    world.run(1.0)
    submit(world, spec("j-000100", tasks=6, team="team-1"), members[0])
    send(world, members[1], t.Cancel(0, "j-000010"))
    world.run(LEASE_S + 4.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(
    members: tuple[str, ...],
) -> None:
    world = started_world(members, 2)
    world.capacity = 12
    world.late_writes = 0.5
    for n in range(TEAMS):
        submit(
            world, spec(f"j-00010{n}", tasks=8, team=f"team-{n}", estimate_s=20.0), members[n % 3]
        )
    world.run(2.0)
    who = leader(world)
    assert who is not None
    crash_and_restart(world, who, 3.0)
    world.run(12.0)
    recover_and_check(world)
    recorded = {
        k.rpartition("/")[2]
        for k, (v, _, _) in world.state.data.items()
        if k.startswith("rc/machine/") and not v.get("gone")
    }
    assert set(world.workers) <= recorded, "every machine hired is known"


@CLUSTER_SIZES
@pytest.mark.parametrize("seconds", [4.0, LEASE_S + 4.0])
def test_a_zone_with_workers_and_a_controller_is_cut_off(
    members: tuple[str, ...], seconds: float
) -> None:
    world = loaded_world(members)
    world.hold_commands = True
    inside = {members[0], *(w.id for w in world.workers.values() if w.zone == "a")}
    outside = {*members, *world.workers, "state", "user"} - inside
    world.cut_links.update(frozenset((i, o)) for i in inside for o in outside)
    world.run(1.0)
    for n in range(TEAMS):
        send(world, members[1], t.Cancel(0, f"j-00001{n}"))
        submit(world, spec(f"j-00010{n}", tasks=2, team=f"team-{n}"), members[2])
    world.run(seconds)
    world.cut_links.clear()
    world.deliver_held()
    world.run(2.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_more_work_than_room_urgent_and_not_over_slow_links(members: tuple[str, ...]) -> None:
    world = started_world(members, 5)
    world.link_delay_s = 0.25
    for n in range(12):
        submit(
            world,
            spec(
                f"j-0001{n:02d}",
                tasks=6,
                team=f"team-{n % TEAMS}",
                rank=n % 4,
                estimate_s=2.0,
                service=False,
            ),
            members[n % len(members)],
        )
        world.run(1.0)
    crash_and_restart(world, leader(world) or members[0], 2.0)
    world.run(20.0)
    for n in range(0, 12, 3):
        send(world, members[1], t.Cancel(0, f"j-0001{n:02d}"))
    world.run(10.0)
    recover_and_check(world, 120.0)


@CLUSTER_SIZES
def test_jobs_bound_to_one_zone_lose_machines(members: tuple[str, ...]) -> None:
    world = started_world(members, 12)
    for n, zone in enumerate("abc"):
        world.submit(spec(f"j-00000{n}", tasks=2, team=f"team-{n}", zone=zone, service=True))
        world.submit(spec(f"j-00001{n}", tasks=3, team=f"team-{n}", zone=zone, estimate_s=15.0))
        world.submit(spec(f"j-00002{n}", tasks=3, team="team-3", together=True, estimate_s=8.0))
    world.until(lambda: len(world.on_machines()) >= 15, 25)
    world.capacity = 15
    for id in sorted(world.workers)[:6]:
        world.workers[id].alive = False
    crash_and_restart(world, members[0], 1.0)
    world.run(20.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_a_command_or_its_answer_is_held_up_and_the_machine_goes_on(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    for n in range(6):
        id = sorted(world.workers)[n]
        worker = world.workers[id]
        worker.hung = True
        submit(
            world,
            spec(f"j-00010{n}", tasks=2, team=f"team-{n % TEAMS}", estimate_s=2.0),
            members[n % len(members)],
        )
        send(world, members[0], t.Cancel(0, f"j-00001{n % TEAMS}"))
        world.run(2.0 + n % 3)
        worker.hung = False
        world.deliver_held()
        world.run(0.2)
    recover_and_check(world)
