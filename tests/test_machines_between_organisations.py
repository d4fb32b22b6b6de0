"""Tests how owners release machines owed to another organisation, and which releases the leader
requests."""

from __future__ import annotations

from unittest.mock import patch

from failing_parts import owner_of
from world import spec
from world_pool import DEALERS, LONG_S, MINUTE_S, REGISTRY, PoolWorld, recorded_pool

from runcourse.core.leader.transfers import CLAIM_TIMEOUT_S, VACATE_TIMEOUT_S, YIELD_TIMEOUT_S
from runcourse.core.machine import Machine
from runcourse.core.node import Node
from runcourse.core.status import status_of
from runcourse.core.versions import Versions
from runcourse.entitlements.policy import Entitlements
from runcourse.net.metrics import render as metrics
from runcourse.tables import render
from runcourse.wire.peer_messages import DemandEntry, VacateMachine, YieldMachines

DEMAND = DemandEntry((4.0, 4.0, 0.0), 1, False, None, None, [], 10, 10, 5.0)


def world_with_idle_machine() -> tuple[PoolWorld, Node, Machine]:
    """Returns a world without waiting tasks, its first machine and that machine's owner."""
    world = recorded_pool(machines=3)
    world.run(3.0)
    owner, machine = owner_of(world, next(iter(world.workers)))
    return world, owner, machine


def ask_to_yield(owner: Node, machine: Machine, cpus: float = 4.0) -> None:
    share = machine.share.number
    other = next(s for s in owner.shares.all() if s != share)
    owner.fleet_planner.transfers.handle(YieldMachines(share, other, cpus, DEMAND, True))


def ask_to_vacate(owner: Node, machine: Machine, entitled: bool = True) -> None:
    share = machine.share.number
    other = next(s for s in owner.shares.all() if s != share)
    owner.fleet_planner.transfers.handle(VacateMachine(share, other, DEMAND, entitled))


def is_draining(world: PoolWorld, machine: Machine) -> bool:
    """Returns whether the machine is draining, so that it takes no new tasks."""
    return machine.draining_until > world.now


def team_of(owner: Node, machine: Machine) -> str:
    """Returns a team that the machine's share serves."""
    teams = (f"team-{n}" for n in range(4))
    return next(t for t in teams if owner.shares.of_team(t) == machine.share.number)  # type: ignore[arg-type]


def test_yielded_empty_machine_that_is_not_claimed_takes_tasks_again_and_keeps_its_share() -> None:
    world, owner, machine = world_with_idle_machine()
    share = machine.record.share
    ask_to_yield(owner, machine)
    assert is_draining(world, machine)
    world.run(CLAIM_TIMEOUT_S - 1.0)
    assert is_draining(world, machine)
    world.run(2.0)
    assert not is_draining(world, machine)
    assert world.state.data[f"rc/machine/{machine.id}"][0]["share"] == share, "it keeps its share"


def test_machine_that_did_not_drain_in_time_is_not_drained_again_at_once() -> None:
    world, owner, machine = world_with_idle_machine()
    world.submit(
        spec("j-000001", tasks=1, team=team_of(owner, machine), estimate_s=LONG_S, cpus=3.0)
    )
    world.until(lambda: machine.busy, 10)
    ask_to_yield(owner, machine)
    world.run(YIELD_TIMEOUT_S - 1.0)
    assert is_draining(world, machine)
    world.run(2.0)
    ask_to_yield(owner, machine)
    assert not is_draining(world, machine)
    world.run(YIELD_TIMEOUT_S)
    ask_to_yield(owner, machine)
    assert is_draining(world, machine)


def test_vacated_machine_whose_tasks_do_not_stop_takes_tasks_again_after_a_time_limit() -> None:
    world, owner, machine = world_with_idle_machine()
    world.submit(spec("j-000001", tasks=1, team=team_of(owner, machine), rank=3, estimate_s=LONG_S))
    world.until(lambda: machine.busy, 10)
    world.cut_links.update(frozenset((str(machine.id), member)) for member in world.members)
    ask_to_vacate(owner, machine)
    world.run(2.0)
    assert is_draining(world, machine)
    world.cut_links.clear()
    world.workers[str(machine.id)].hung = True
    machine.last_message_at = machine.last_answer_at = owner.context.now  # not silent yet
    with patch.object(owner.fleet, "silence_limit_s", lambda: 1e6):
        world.run(VACATE_TIMEOUT_S)
    assert not is_draining(world, machine)


def test_replica_is_not_stopped_for_another_organisation() -> None:
    world, owner, machine = world_with_idle_machine()
    replica = spec("j-000001", tasks=1, team=team_of(owner, machine), service=True, rank=3)
    world.submit(replica)
    world.until(lambda: bool(world.on_machines()), 10)
    world.run(2.0)
    ask_to_vacate(owner, machine)
    world.run(5.0)
    assert world.on_machines() and not is_draining(world, machine)
    ask_to_vacate(owner, machine, entitled=False)
    assert is_draining(world, machine), "within an organisation a replica of lower rank is stopped"


def test_tasks_waiting_at_the_owner_do_not_keep_a_machine_owed_to_another_organisation() -> None:
    world, owner, machine = world_with_idle_machine()
    team = team_of(owner, machine)
    world.submit(spec("j-000001", tasks=1, team=team, rank=3, estimate_s=LONG_S, cpus=4.0))
    world.until(lambda: machine.busy, 10)
    elsewhere = next(z for z in "abc" if z != machine.record.zone)
    with patch.object(owner.scheduler.migrations, "tick", lambda: None):
        world.submit(spec("j-000002", tasks=20, team=team, rank=0, zone=elsewhere, cpus=4.0))
        world.run(3.0)
    assert owner.scheduler.unmet.get(machine.share.number)
    ask_to_vacate(owner, machine, entitled=False)
    assert not is_draining(world, machine)
    ask_to_vacate(owner, machine)
    assert is_draining(world, machine)


def test_no_further_tasks_are_stopped_while_vacated_machines_are_on_their_way() -> None:
    world = recorded_pool()
    checkpoints = {"checkpoint_s": 5.0, "save_s": 8.0}
    world.submit_array(DEALERS, 12, LONG_S, rank=3, **checkpoints)
    world.until(lambda: world.running_tasks(DEALERS) == 12, 30)
    world.run(6.0)
    world.submit_array(REGISTRY, 400, LONG_S)
    stopped = set()
    for _ in range(300):
        with patch.object(Entitlements, "reassignments", lambda self, now: ()):
            world.run(0.1)
        stopped |= {
            task
            for worker in world.workers.values()
            for (task, _), entry in worker.tasks.items()
            if entry[0] == "saving"
        }
    assert world.holdings_near(dealers=6, registry=6)
    assert 5 <= len(stopped) <= 7, "one task is stopped for each machine owed"
    world.assert_rules_hold()


def test_owner_of_a_former_version_is_not_asked_to_stop_tasks_for_other_organisations() -> None:
    world = recorded_pool()
    world.submit_array(DEALERS, 12, LONG_S, rank=3)
    world.until(lambda: world.running_tasks(DEALERS) == 12, 30)
    with patch.object(Versions, "reads", lambda self, member, version: version < 4):
        world.submit_array(REGISTRY, 400, LONG_S)
        world.run(30.0)
    assert world.running_tasks(DEALERS) == 12
    world.until(lambda: world.holdings_near(dealers=6, registry=6), MINUTE_S)


def test_machines_that_waiting_tasks_of_their_holder_cannot_use_are_lent() -> None:
    world = recorded_pool(machine_zones="ab")
    world.submit_array(REGISTRY, 100, LONG_S, zone="a")
    world.submit_array(DEALERS, 100, LONG_S, zone="b")
    world.until(
        lambda: world.running_tasks(REGISTRY) == 6 and world.running_tasks(DEALERS) == 6, 60
    )
    world.assert_rules_hold()


def test_each_demand_is_requested_in_turn_and_never_for_more_machines_than_it_needs() -> None:
    world = recorded_pool(machine_zones="abbbbb")
    world.submit_array(REGISTRY, 100, LONG_S, zone="a")
    world.submit_array(DEALERS, 400, zone="b")
    world.until(lambda: world.holdings()[DEALERS] == 10, MINUTE_S)
    small_job = spec("j-900000", tasks=1, team="team-2", zone="b", cpus=4.0, estimate_s=LONG_S)
    world.submit(small_job)
    max_draining = 0
    for _ in range(400):
        world.run(0.1)
        owned = [
            m
            for node in world.nodes.values()
            if node is not None
            for m in node.fleet.machines.values()
        ]
        max_draining = max(max_draining, sum(is_draining(world, machine) for machine in owned))
    assert world.running_tasks(REGISTRY) == 2 + 1, "the small demand is met beside the large one"
    assert max_draining <= 2, "one machine for the demand at each of two owners"
    world.assert_rules_hold()


def test_status_and_metrics_show_what_organisations_hold_and_lack() -> None:
    world = recorded_pool()
    world.submit_replicas(DEALERS, 10)
    world.until(lambda: world.running_tasks(DEALERS, service=True) == 10, 30)
    world.submit_array(REGISTRY, 400, LONG_S)
    world.run(10.0)
    leader = world.leader()
    rows = status_of(leader)["entitlements"]["organisations"]
    assert [row["held"] for row in rows] == [40.0, 8.0]
    assert rows[0]["debt"] == rows[1]["lacking"] == 16.0
    assert rows[1]["why"] == "replicas of dealers hold 16"
    text = metrics(leader, 0, 0)[0].decode()
    assert 'runcourse_organisation_cpus{kind="debt",organisation="dealers"} 16.0' in text
    assert "runcourse_division_version 0.0" in text
    assert "runcourse_entitlements_in_force 1.0" in text
    other = next(n for n in world.nodes.values() if n is not None and n is not leader)
    assert "target" not in status_of(other)["entitlements"]["organisations"][0]
    assert "replicas of dealers hold 16" in render(status_of(leader))
