"""End-to-end scenarios of the core with simulated peers and a simulated clock, without sockets."""

import zlib
from typing import Any

import pytest
from world import FIVE_MEMBERS, LEASE_S, World, spec

from runcourse.core.ids import Stamp, Team
from runcourse.core.stored_values import MappingValue


def ready_world() -> World:
    """Returns a world that has run for 4 s, after its nodes have started."""
    world = World()
    world.run(4.0)
    return world


def test_array_runs_once_and_stays_done() -> None:
    world = ready_world()
    assert world.submit(spec("j-000001", tasks=3)) == 201
    assert world.submit(spec("j-000001", tasks=3), "n1") == 200
    world.until(lambda: world.poll("j-000001", "n2") == "done", 20)
    world.run(10)
    assert {m: world.poll("j-000001", m) for m in ("n0", "n1", "n2")} == dict.fromkeys(
        ("n0", "n1", "n2"), "done"
    )
    assert len(world.starts) == 3
    assert not world.violations


def test_cancelled_service_stops_and_stays_cancelled() -> None:
    world = ready_world()
    world.submit(spec("j-000002", service=True))
    world.until(lambda: len(world.on_machines()) == 2, 10)
    assert world.cancel("j-000002", "n1") == "cancelled"
    world.until(lambda: not world.on_machines(), 3)
    assert world.poll("j-000002", "n2") == "cancelled"
    assert world.submit(spec("j-000002", service=True), "n2") == 200
    world.run(5)
    assert not world.on_machines() and not world.violations


def test_unknown_jobs_are_reported_as_unknown() -> None:
    world = ready_world()
    assert world.poll("j-999999") == "unknown"
    assert world.poll("not-an-id") == "unknown"
    assert world.cancel("j-999999") == "?"


def test_team_stays_within_its_limit() -> None:
    world = World(machines=6, cpus_max=6.0)
    world.run(4.0)
    world.submit(spec("j-000003", tasks=8))
    world.until(lambda: world.poll("j-000003") == "done", 60)
    assert not world.violations


def test_service_that_lost_its_machine_runs_elsewhere() -> None:
    world = ready_world()
    world.submit(spec("j-000004", service=True, tasks=1))
    world.until(lambda: len(world.on_machines()) == 1, 10)
    _, worker = world.on_machines()[0]
    worker.alive = False
    world.until(lambda: len(world.on_machines()) == 1, LEASE_S + 5)
    assert not world.violations


@pytest.mark.parametrize("dead", [("n0",), ("n1", "n2"), ("n0", "n1", "n2")])
def test_crashed_nodes_return_without_restarting_tasks(dead: tuple[str, ...]) -> None:
    world = ready_world()
    for n in range(4):
        world.submit(spec(f"j-00001{n}", service=True, tasks=1, team=f"team-{n}"))
    world.until(lambda: len(world.on_machines()) == 4, 15)
    for member in dead:
        world.crash(member)
    world.run(1.0)
    for member in dead:
        world.start(member)
    world.run(15.0)
    assert len(world.on_machines()) == 4
    assert len(world.starts) == 4, "no task was lost, so none may be started again"
    assert not world.violations


def test_share_of_a_crashed_node_is_taken_over() -> None:
    world = ready_world()
    for n in range(4):
        world.submit(spec(f"j-00002{n}", service=True, tasks=1, team=f"team-{n}"), "n1")
    world.until(lambda: len(world.on_machines()) == 4, 15)
    world.crash("n0")
    world.run(12.0)
    node = world.nodes["n1"]
    assert node is not None
    owners = {node.shares.live_owner(s) for s in node.shares.all()}
    assert owners == {"n1", "n2"}
    assert len(world.on_machines()) == 4 and not world.violations


def test_two_silent_nodes_block_a_takeover() -> None:
    """A single node cannot know whether the two others still grant each other time."""
    world = ready_world()
    world.crash("n0")
    world.crash("n1")
    world.run(20.0)
    node = world.nodes["n2"]
    assert node is not None and len(node.shares.owned) == 1


def test_running_tasks_survive_a_long_outage_of_the_state_service() -> None:
    world = ready_world()
    for n in range(4):
        world.submit(spec(f"j-00003{n}", service=True, tasks=1, team=f"team-{n}"))
    world.until(lambda: len(world.on_machines()) == 4, 15)
    world.state.outage(True)
    world.run(3 * LEASE_S)
    assert len(world.on_machines()) == 4 and len(world.starts) == 4
    assert world.submit(spec("j-000039")) == 503
    world.state.outage(False)
    world.run(3.0)
    assert world.submit(spec("j-000039")) == 201
    assert not world.violations


def test_node_refused_alone_loses_authority_and_is_replaced() -> None:
    world = ready_world()
    for n in range(4):
        world.submit(spec(f"j-00004{n}", service=True, tasks=1, team=f"team-{n}"))
    world.until(lambda: len(world.on_machines()) == 4, 15)
    world.state.refused_members.add("n0")
    world.run(10.0)
    node = world.nodes["n0"]
    assert node is not None and not node.authority.may_act()
    other = world.nodes["n1"]
    assert other is not None and all(other.shares.live_owner(s) for s in other.shares.all())
    world.state.refused_members.clear()
    world.run(15.0)
    assert len(world.on_machines()) == 4 and not world.violations


def test_order_with_unknown_outcome_does_not_start_a_task_twice() -> None:
    """A start order that is delayed until its task has run elsewhere must be rejected because of
    its outdated token."""
    world = ready_world()
    world.hold_commands = True
    for worker in world.workers.values():
        for member in ("n0", "n1", "n2"):
            world.cut_links.add(frozenset((worker.id, member)))
    world.submit(spec("j-000050", service=True, tasks=1))
    world.run(2.5)
    world.cut_links.clear()
    world.until(lambda: len(world.on_machines()) == 1, 20)
    world.cancel("j-000050")
    world.until(lambda: not world.on_machines(), 5)
    world.run(3.0)
    world.deliver_held()
    world.run(1.0)
    assert not world.on_machines() and not world.violations


def test_hung_machine_that_resumes_within_its_lease_keeps_its_task() -> None:
    world = ready_world()
    world.submit(spec("j-000060", service=True, tasks=1))
    world.until(lambda: len(world.on_machines()) == 1, 10)
    _, worker = world.on_machines()[0]
    worker.hung = True
    world.run(1.5)
    worker.hung = False
    world.deliver_held()
    world.run(5.0)
    assert len(world.starts) == 1 and not world.violations


def test_machine_that_fails_every_task_gets_few_starts() -> None:
    world = World(machines=4)
    world.run(4.0)
    faulty = next(iter(world.workers.values()))
    faulty.fails_tasks = True
    for n in range(4):
        world.submit(spec(f"j-00007{n}", tasks=3, team=f"team-{n}"))
    world.until(lambda: all(world.poll(f"j-00007{n}") == "done" for n in range(4)), 60)
    assert sum(1 for _, _, id in world.starts if id == faulty.id) <= 8
    assert not world.violations


def test_gang_starts_as_a_whole_with_one_attempt() -> None:
    world = ready_world()
    world.submit(spec("j-000080", tasks=3, gang=True, estimate_s=3.0))
    world.until(lambda: len(world.on_machines()) == 3, 10)
    attempts = {attempt for w in world.workers.values() for _, attempt in w.tasks}
    assert len(attempts) == 1
    world.until(lambda: world.poll("j-000080") == "done", 20)


def test_higher_rank_preempts_lower_but_not_equal_rank() -> None:
    world = World(machines=3, cpus_max=100.0)
    world.run(4.0)
    world.submit(spec("j-000090", tasks=6, estimate_s=60.0, rank=1))
    world.run(10.0)
    world.submit(spec("j-000091", tasks=1, estimate_s=60.0, rank=1))
    world.run(5.0)
    before = {task for task, _ in world.on_machines()}
    assert not any(task.job == "j-000091" for task in before)
    world.submit(spec("j-000092", tasks=1, service=True, rank=0))
    world.until(lambda: any(task.job == "j-000092" for task, _ in world.on_machines()), 10)
    assert not world.violations


def test_cancellation_without_a_living_owner_is_refused_at_once() -> None:
    world = ready_world()
    world.submit(spec("j-000100", service=True, tasks=1))
    world.run(3)
    node = world.nodes["n1"]
    assert node is not None
    share = node.shares.of_team("team-0")  # type: ignore[arg-type]
    owner = node.shares.live_owner(share)
    accepting_node = next(m for m in ("n0", "n1", "n2") if m != owner)
    world.crash(str(owner))
    world.until(lambda: _sees_no_owner(world, accepting_node, share), 10)
    cancelled_at = world.now
    assert world.cancel("j-000100", accepting_node) == "?"
    assert world.now - cancelled_at < 1.0
    world.run(8.0)
    assert world.cancel("j-000100", accepting_node) == "cancelled"
    world.run(5.0)
    assert not world.on_machines() and not world.violations


def _sees_no_owner(world: World, member: str, share: Any) -> bool:
    node = world.nodes[member]
    return node is not None and node.shares.live_owner(share) is None


def test_teams_are_assigned_evenly_and_the_stored_list_decides() -> None:
    """Assigning teams by a hash of their names left one share of five without a team, since there
    are few names."""
    world = World(members=FIVE_MEMBERS)
    world.run(3.0)
    node = world.nodes["n0"]
    assert node is not None
    shares = [node.shares.of_team(Team(f"team-{i}")) for i in range(4)]
    assert len(set(shares)) == 4
    # The stored list decides the shares of its teams, whatever teams the settings name.
    key = "rc/mapping"
    assert world.state.data[key][0] == {"dealt": [f"team-{i}" for i in range(4)]}
    node.shares._mapping_changed(key, MappingValue(["team-3", "team-0"]), Stamp(99))
    assert node.shares.of_team(Team("team-3")) == 0 and node.shares.of_team(Team("team-0")) == 1


def test_store_without_a_team_list_keeps_assigning_teams_by_hash() -> None:
    world = World()
    world.run(3.0)
    del world.state.data["rc/mapping"]
    for member in world.members:
        world.crash(member)
        world.start(member)
    world.run(6.0)
    node = world.nodes["n0"]
    assert node is not None and node.shares.owned
    assert "rc/mapping" not in world.state.data
    assert all(
        node.shares.of_team(Team(name)) == zlib.crc32(name.encode()) % 3
        for name in ("team-0", "team-1", "team-2", "team-3")
    )
