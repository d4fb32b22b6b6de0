"""Placement of gangs, and how room is made for them."""

from combined_failures import submit
from failing_parts import CLUSTER_SIZES
from gang_setup import UID, gang_spec, machines_of, node_of_team, run_count, started_world, work_of
from world import World, spec

from runcourse.core.leader.demand import LoadReport, share_load
from runcourse.core.leader.hiring import HireOption


@CLUSTER_SIZES
def test_gang_runs_as_a_whole_in_one_zone_under_one_attempt(members: tuple[str, ...]) -> None:
    world = started_world(members)
    world.submit(gang_spec())
    world.until(lambda: UID in world.running_gangs(), 5)
    assert len({w.zone for w in machines_of(world)}) == 1 and len(machines_of(world)) == 4
    assert len({attempt for _, _, attempt in world.gang_runs}) == 1
    world.until(lambda: world.poll(UID) == "done", 20)
    assert run_count(world) == 1 and not world.violations


def test_gang_without_room_for_all_starts_no_task_and_reserves_no_room() -> None:
    world = started_world(machines=3)  # one machine per zone, with room for two tasks
    world.submit(gang_spec())
    world.run(3.0)
    assert not world.starts
    assert work_of(world).wait_reason == "no room for the whole gang"
    world.submit(spec("j-000002", tasks=2, team="team-1"))
    world.until(lambda: world.poll("j-000002") == "done", 10)
    assert not [x for _, x, _ in world.starts if x.job == UID]
    assert not world.violations


def test_gang_is_placed_over_several_zones_if_the_job_allows_it() -> None:
    world = started_world(machines=12)
    world.submit(gang_spec(tasks=9, together=False, spread=True))
    world.until(lambda: UID in world.running_gangs(), 40)
    zones = [w.zone for w in machines_of(world)]
    assert max(zones.count(z) for z in zones) <= 5 and not world.violations


def test_gang_that_cannot_satisfy_its_spread_is_not_started() -> None:
    """There is enough room, but at most half of a spread job may run in one zone."""
    world = World(machines=0, cpus_max=100.0)
    for _ in range(4):
        world.boot("a", False)
    world.capacity = 4
    world.run(6.0)
    world.submit(gang_spec(tasks=4, together=False, spread=True))
    world.run(8.0)
    assert not world.starts and work_of(world).wait_reason == "no room for the whole gang"


def test_gang_prefers_the_zone_where_its_last_image_is_ready_soonest() -> None:
    world = started_world(machines=15)
    world.submit(gang_spec("j-000010", tasks=2, image="other"))
    world.until(lambda: world.poll("j-000010") == "done", 30)
    node = node_of_team(world)
    zones_with_image = {m.record.zone for m in node.fleet.machines.values() if "other" in m.images}
    world.submit(gang_spec(tasks=2, image="other"))
    world.until(lambda: UID in world.running_gangs(), 10)
    assert {w.zone for w in machines_of(world)} == zones_with_image and not world.violations


def test_whole_gang_stays_within_its_team_limit() -> None:
    world = started_world(cpus_max=8.0)
    assert world.submit(gang_spec("j-000003", tasks=5)) == 422
    world.submit(spec("j-000004", tasks=1, team="team-1", estimate_s=5.0))
    world.run(2.0)
    world.submit(gang_spec(tasks=4))
    world.run(2.0)
    assert not machines_of(world) and work_of(world).wait_reason == "team limit"
    world.until(lambda: UID in world.running_gangs(), 15)
    assert not world.violations


def test_machines_for_a_gang_are_hired_in_one_zone() -> None:
    world = started_world(machines=3)
    world.capacity = 12
    world.submit(gang_spec())
    world.until(lambda: UID in world.running_gangs(), 30)
    assert len(world.workers) <= 8, "machines are not hired in each zone"
    assert not world.violations


def test_machines_booting_in_several_zones_do_not_cover_a_single_zone_gang() -> None:
    world = started_world(machines=3)
    node = node_of_team(world)
    world.submit(gang_spec(tasks=6))
    world.run(1.0)
    share = node.shares.of_team("team-1")  # type: ignore[arg-type]
    load = share_load(node.context, share, (), node.fleet, node.scheduler)
    (need,) = LoadReport(load, node.context.now).demands
    assert need.block and need.hire == 6 and sum(need.room.values()) >= 2
    (zone,) = [z for z, n in need.room.items() if n == max(need.room.values())][:1]
    other, third = sorted({"a", "b", "c"} - {zone})
    planner = node.fleet_planner

    def count_after_booting(booting: dict[str, float]) -> int:
        planner._deduct_expected([need], {("m4", z, False): n for z, n in booting.items()})
        return need.count

    assert count_after_booting({zone: 1.0, other: 1.0, third: 1.0}) > 0, (
        "room for eight tasks, but in three zones"
    )
    assert need.missing_by_zone[zone] == 6 - need.room[zone] - 2
    options = [HireOption(1.0, node.fleet.types["m4"], z, False) for z in (zone, other, third)]
    assert {o.zone for o in planner.hiring._restrict_to_zone(share, need, options)} == {zone}
    assert need.count == need.missing_by_zone[zone], "only the tasks missing in that zone"
    assert count_after_booting({zone: 2.0}) == 0


def test_machines_of_another_share_cover_what_a_zone_lacks() -> None:
    """The gang's own share has room for some of its tasks in a zone, and an empty machine of
    another share takes the others. Found by the random interleavings: only zones with empty
    machines for the whole gang were considered."""
    world = started_world(machines=6)  # two machines per zone, distributed to three shares
    node = node_of_team(world)
    share = node.shares.of_team("team-1")  # type: ignore[arg-type]
    by_zone: dict[str, set[int]] = {}
    for machine in (
        m for n in world.nodes.values() if n is not None for m in n.fleet.machines.values()
    ):
        by_zone.setdefault(machine.record.zone, set()).add(machine.share.number)
    assert all(len(shares) == 2 for shares in by_zone.values()), (
        "no share owns both machines of a zone"
    )
    assert any(share in shares for shares in by_zone.values())
    world.submit(gang_spec(tasks=4))
    world.until(lambda: UID in world.running_gangs(), 10)
    assert len(world.workers) == 6 and not world.violations


def test_gangs_and_single_tasks_do_not_starve_each_other() -> None:
    """A stream of arrays would, on its own, take each place that becomes free."""
    world = started_world(machines=6)
    world.submit(spec("j-000099", tasks=12, team="team-1", estimate_s=4.0))
    world.run(2.0)
    world.submit(gang_spec(rank=1, tasks=4))
    world.submit(gang_spec("j-000005", rank=1, tasks=4))
    started: set[str] = set()
    for n in range(60):
        submit(world, spec(f"j-0001{n:02d}", tasks=4, team="team-1", estimate_s=3.0), "n0")
        world.run(1.0)
        started |= world.running_gangs()
    assert {UID, "j-000005"} <= started
    world.until(lambda: all(world.poll(f"j-0001{n:02d}") == "done" for n in range(60)), 200)
    assert not world.violations
