"""Failures of machines and links that coincide with each other or with a shortage.

Each test reproduces a combination of failures that once broke an invariant. During the failures
the invariants hold (the world records every violation). After they end, every node knows every
job, each job runs or is done, and no machine has free room that a waiting task could use.
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
def test_workers_that_receive_commands_cannot_reach_any_controller(
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
def test_new_machines_get_work_while_writes_are_late_and_the_leader_crashes(
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
    old_leader = leader(world)
    assert old_leader is not None
    crash_and_restart(world, old_leader, 3.0)
    world.run(12.0)
    recover_and_check(world)
    recorded = {
        k.rpartition("/")[2]
        for k, (v, _, _) in world.state.data.items()
        if k.startswith("rc/machine/") and not v.get("gone")
    }
    assert set(world.workers) <= recorded, "every hired machine is recorded"


@CLUSTER_SIZES
@pytest.mark.parametrize("seconds", [4.0, LEASE_S + 4.0])
def test_zone_with_workers_and_a_controller_is_cut_off(
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
def test_overload_of_mixed_ranks_over_slow_links(members: tuple[str, ...]) -> None:
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
def test_jobs_bound_to_one_zone_lose_machines_and_a_controller(members: tuple[str, ...]) -> None:
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
def test_hung_machines_resume_and_receive_delayed_commands(
    members: tuple[str, ...],
) -> None:
    """A command or its answer is delayed while the worker hangs; then the machine continues."""
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
