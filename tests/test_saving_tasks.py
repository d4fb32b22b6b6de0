"""Tasks that save their progress while the ownership of their share changes.

The order to stop was an earlier owner's, so the new owner finds the task saving and has to know
that it is being stopped, and that a cancellation leaves it no time to save.
"""

from collections.abc import Callable

import pytest
from failing_parts import CLUSTER_SIZES
from gang_setup import gang_spec
from test_failing_jobs_and_late_writes import owner_of_job
from world import CANCEL_S, World, spec

from runcourse.core import types as t
from runcourse.core.ids import JobId, Team
from runcourse.core.machine import Placement
from runcourse.core.node import Node

UID = "j-000001"
TEAM = "team-1"
SAVE_S = 3 * CANCEL_S
LONG_LEASE_S = 12.0  # of the workers, so that no task is lost for its machine's lease
TAKEOVER_S = 12.0  # ample time for another node to own the share and to have heard its machines
HANDBACK_S = 20.0  # the same for the home node, after its return


def world_with_running_task(members: tuple[str, ...]) -> tuple[World, str]:
    """Returns a world in which a task runs that takes SAVE_S to save, and its owner."""
    world = World(machines=6, members=members, cpus_max=100.0, lease_s=LONG_LEASE_S)
    world.run(4.0)
    job = spec(UID, tasks=1, team=TEAM, estimate_s=500.0, checkpoint_s=1.0, save_s=SAVE_S)
    world.submit(job)
    world.until(lambda: stage_on_worker(world) == "running", 20)
    world.run(2.0)
    return world, owner_of_job(world, UID)


def world_with_saving_task(members: tuple[str, ...]) -> tuple[World, str]:
    """Returns a world in which the task has been told to stop and saves, and its owner."""
    world, owner = world_with_running_task(members)
    node = node_of(world, owner)
    node.scheduler.gangs.stop(placement_of(node))
    world.until(lambda: stage_on_worker(world) == "saving", 5)
    return world, owner


def node_of(world: World, member: str) -> Node:
    node = world.nodes[member]
    assert node is not None
    return node


def owner_now(world: World) -> Node | None:
    """Returns the node that owns the task's share, if any."""
    return next(
        (
            node
            for node in world.nodes.values()
            if node is not None and node.shares.of_team(Team(TEAM)) in node.shares.owned
        ),
        None,
    )


def placement_of(node: Node) -> Placement:
    return node.fleet.placements.of_job(JobId(UID))[0]


def stage_on_worker(world: World, uid: str = UID) -> str:
    """Returns the stage of the job's task on its machine; empty if it is on none."""
    return next(
        (
            entry[0]
            for worker in world.workers.values()
            for (task, _), entry in worker.tasks.items()
            if task.job == uid and entry[0] != "ended"
        ),
        "",
    )


def take_over(world: World, owner: str) -> None:
    """Another node takes the share over; the former owner stays away."""
    world.crash(owner)
    world.run(TAKEOVER_S)


def take_over_and_hand_back(world: World, owner: str) -> None:
    """The home node returns and gets its share back."""
    take_over(world, owner)
    world.start(owner)
    world.run(HANDBACK_S)
    assert owner_now(world) is world.nodes[owner]


def restart(world: World, owner: str) -> None:
    """The owner's process ends and is back within a second."""
    world.crash(owner)
    world.run(0.3)
    world.start(owner)
    world.run(3.0)
    assert owner_now(world) is world.nodes[owner]


def lose_and_regain(world: World, owner: str) -> None:
    """The same process loses its lease, and with it the share, and returns."""
    epoch = node_of(world, owner).shares.owned[node_of(world, owner).shares.of_team(Team(TEAM))]
    world.state.refused_members.add(owner)
    world.run(TAKEOVER_S)
    world.state.refused_members.clear()
    world.run(HANDBACK_S)
    node = owner_now(world)
    assert node is world.nodes[owner] and node is not None
    assert node.shares.owned[epoch.number] is not epoch


CHANGES = pytest.mark.parametrize(
    "change", [take_over, take_over_and_hand_back, restart, lose_and_regain]
)
Change = Callable[[World, str], None]


def assert_gone_in_time(world: World) -> None:
    """Checks that the cancelled task leaves its machine in time, and that no rule is broken."""
    world.run(CANCEL_S + 2.0)
    assert not world.on_machines()
    assert not world.violations


# A new owner sent no second stop order, since it had not sent the first one itself.
@CLUSTER_SIZES
@CHANGES
def test_task_cancelled_after_a_change_of_owner_does_not_save_on(
    members: tuple[str, ...], change: Change
) -> None:
    world, owner = world_with_saving_task(members)
    change(world, owner)
    assert stage_on_worker(world) == "saving", "a change of owner alone cuts no saving short"
    asked = next(m for m in members if m != owner)
    assert world.cancel(UID, asked) == "cancelled"
    assert_gone_in_time(world)


# A new owner that found the task of a cancelled job took its own first stop order for given.
@CLUSTER_SIZES
@pytest.mark.parametrize("change", [take_over, take_over_and_hand_back, restart])
def test_task_cancelled_before_a_change_of_owner_does_not_save_on(
    members: tuple[str, ...], change: Change
) -> None:
    world, owner = world_with_saving_task(members)
    # The order that ends the saving does not reach the machine before its sender has ended.
    world.inbound_cut.add(world.on_machines()[0][1].id)
    assert world.cancel(UID, owner) == "cancelled"
    assert stage_on_worker(world) == "saving"
    world.after(0.01, world.inbound_cut.clear)
    change(world, owner)
    assert_gone_in_time(world)


# An earlier owner's late order began the saving after this owner had decided to stop the task.
@CLUSTER_SIZES
def test_late_order_to_save_does_not_outlast_a_cancellation(members: tuple[str, ...]) -> None:
    world, owner = world_with_running_task(members)
    placement = placement_of(node_of(world, owner))
    worker = world.on_machines()[0][1]
    world.inbound_cut.add(worker.id)
    assert world.cancel(UID, owner) == "cancelled"
    worker.execute_orders((t.Order("stop", placement.task, placement.attempt, SAVE_S),))
    assert stage_on_worker(world) == "saving"
    world.inbound_cut.clear()
    assert_gone_in_time(world)


# A task that an earlier owner stopped counted as running on: more work was stopped in its place.
@CLUSTER_SIZES
def test_new_owner_counts_a_saving_task_as_being_stopped(members: tuple[str, ...]) -> None:
    world, owner = world_with_saving_task(members)
    take_over(world, owner)
    node = owner_now(world)
    assert node is not None
    placement = placement_of(node)
    assert placement.stage == "saving" and placement.stopping and not placement.needs_stop_order
    assert node.quota.stopping[Team(TEAM)] == placement.size
    starts = len(world.starts)
    world.until(lambda: len(world.starts) > starts, SAVE_S)
    assert world.progress, "it saved to the end before it was started again"
    assert not world.violations


# A gang's saving, begun under the former owner, is not cut short by the new one without need.
@CLUSTER_SIZES
@pytest.mark.parametrize("cancelled", [False, True])
def test_gang_that_saves_across_a_takeover(members: tuple[str, ...], cancelled: bool) -> None:
    world = World(machines=12, members=members, cpus_max=100.0, lease_s=LONG_LEASE_S)
    world.run(4.0)
    world.submit(gang_spec(UID, tasks=2, team=TEAM, estimate_s=500.0, save_s=SAVE_S))
    world.until(lambda: UID in world.running_gangs(), 20)
    world.run(2.0)
    owner = owner_of_job(world, UID)
    node = node_of(world, owner)
    node.scheduler.gangs.stop(placement_of(node))
    world.until(lambda: stage_on_worker(world) == "saving", 5)
    take_over(world, owner)
    assert len(world.on_machines()) == 2
    if cancelled:
        asked = next(m for m in members if m != owner)
        assert world.cancel(UID, asked) == "cancelled"
        assert_gone_in_time(world)
    else:
        first, other = owner_now(world).fleet.placements.of_job(JobId(UID))  # type: ignore[union-attr]
        saved = t.TaskReport(first.task, first.attempt, "ended", "stopped", True)
        owner_now(world).fleet.placements.update(first.machine, saved, first.job)  # type: ignore[union-attr]
        assert other.stage == "saving" and not other.needs_stop_order
        world.until(lambda: not world.on_machines(), SAVE_S)
        assert world.progress[UID] > 1.0, "the whole gang saved"
