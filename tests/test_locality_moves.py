"""Tests moves of running tasks in the simulated world: they are bounded and no task runs twice,
also when controllers, machines or the state service fail on the way."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from failing_parts import CLUSTER_SIZES
from locality_world import (
    UID,
    current_move,
    migrations_of,
    moves_begun,
    no_reservations,
    nodes,
    owner,
    running_zones,
    runs_only_in,
    settings,
    submit_array,
    world_with_locality,
    world_with_move,
)
from world import CANCEL_S, World, spec

from runcourse.core.ids import Instant, JobId
from runcourse.core.machine import Machine
from runcourse.core.migrations import MIN_RUNTIME_S
from runcourse.locality.settings import LocalitySettings, Source

# --- changes of locality and load --------------------------------------------------------


@CLUSTER_SIZES
def test_running_task_moves_once_when_its_data_move(members: tuple[str, ...]) -> None:
    world = world_with_locality(settings("a"), members)
    submit_array(world, tasks=1)
    assert runs_only_in(world, "a"), "waiting tasks are placed near their data"
    world.run(MIN_RUNTIME_S + 5.0)
    assert moves_begun(world) == 0, "a move would gain nothing"
    world.reload(settings("b"))
    world.until(lambda: runs_only_in(world, "b") and bool(running_zones(world)), 120)
    assert moves_begun(world) == 1 and no_reservations(world)
    assert owner(world).scheduler.migrations.counts["completed"] == 1
    assert not world.violations


def test_task_whose_source_moves_repeatedly_is_not_moved_each_time() -> None:
    """A rebuild shard has a source that moves every 30 s for ten minutes."""

    def count_moves(damping: bool) -> int:
        # Without damping the cooldown is 1 s and no source counts as flapping.
        bounds: dict[str, Any] = {"flap_changes": 3, "cooldown": 120.0}
        if not damping:
            bounds = {"flap_changes": 1000, "cooldown": 1.0, "cooldown_most": 1.0}
        world = world_with_locality(settings("a", **bounds))
        submit_array(world, tasks=1)
        for number in range(20):
            world.run(40.0)
            world.reload(settings("ab"[(number + 1) % 2], **bounds))
        assert not world.violations
        return moves_begun(world)

    assert count_moves(damping=True) <= 2
    assert count_moves(damping=False) >= 8, "without damping the task moves often"


def test_weight_zero_gives_the_same_placement_as_no_policy() -> None:
    def run_starts(locality: LocalitySettings | None) -> list[Any]:
        """Returns the starts of tasks in a scenario with these settings."""
        world = World(seed=5, machines=12, cpus_max=100.0, locality=locality)
        world.run(3.0)
        for number in range(60):
            changes: dict[str, Any] = {
                "estimate_s": 3.0 + number % 7,
                "team": f"team-{number % 4}",
            }
            if number % 5 == 0:
                changes |= {"service": True, "rank": 0, "spread": True}
            world.submit(
                spec(f"j-{number:06d}", tasks=1 + number % 4, cpus=0.5 + number % 2, **changes)
            )
            world.run(1.7)
        assert not world.violations and len(world.starts) > 100
        return world.starts

    assert run_starts(settings(weight=0.0)) == run_starts(None)


def test_lasting_load_causes_a_move_and_a_burst_does_not() -> None:
    anywhere = Source("p", ("a",), 1.0, 1.0, 1.0, teams=("team-0",))
    hot = settings(sources=(anywhere,), load_slowdown=1.0, dwell=60.0, least_gain=1.0)
    world = world_with_locality(hot)
    submit_array(world, tasks=2, cpus=2.0)
    node = owner(world)
    share = node.scheduler.work[JobId(UID)].share
    world.run(MIN_RUNTIME_S + 20.0)
    assert moves_begun(world) == 0, "the machine is not hot for long enough"
    if len({p.machine.id for p in node.fleet.placements.of_job(JobId(UID))}) == 1:
        world.until(lambda: moves_begun(world) == 1, 120)
        world.run(200.0)
        machines = {p.machine.id for p in node.fleet.placements.of_job(JobId(UID))}
        assert len(machines) == 2 and moves_begun(world) == 1, (
            "the load is level and no further move follows"
        )
    assert node.shares.may_command(share) and not world.violations


# --- tasks that are not moved ------------------------------------------------------------


@pytest.mark.parametrize(
    ("what", "changes"),
    [
        ("no checkpoints", {"checkpoint_s": 0.0}),
        ("a gang", {"gang": True, "cpus": 1.0}),
        ("overdue", {"deadline_s": 5.0}),
        ("the only replica", {"service": True, "rank": 0, "tasks": 1}),
        ("nearly done", {"estimate_s": 70.0}),
    ],
)
def test_task_that_must_not_be_moved_stays(what: str, changes: dict[str, Any]) -> None:
    reads_gb = 10.0 if what == "nearly done" else 200.0
    near, far = (
        settings(sources=(Source("p", (zone,), reads_gb, 10.0, 0.5, teams=("team-0",)),))
        for zone in "ab"
    )
    world = world_with_locality(near)
    submit_array(world, **{"tasks": 2, **changes})
    before = running_zones(world)
    world.run(MIN_RUNTIME_S + 30.0 if what == "nearly done" else 5.0)
    world.reload(far)
    world.run(60.0)
    assert moves_begun(world) == 0 and not world.violations
    assert what == "nearly done" or running_zones(world) == before


def test_task_below_the_minimum_runtime_stays() -> None:
    world = world_with_locality(settings("a"))
    submit_array(world, tasks=1)
    world.reload(settings("b"))
    world.run(MIN_RUNTIME_S - 5.0)
    assert moves_begun(world) == 0
    world.run(10.0)
    assert moves_begun(world) == 1 and not world.violations


def test_replicas_of_a_job_move_one_at_a_time_to_machines_with_their_image() -> None:
    world = world_with_locality(settings("a"))
    submit_array(world, tasks=2, service=True, rank=0, cpus=1.0)
    assert runs_only_in(world, "a")
    world.run(MIN_RUNTIME_S + 5.0)
    world.reload(settings("b"))
    world.run(60.0)
    assert moves_begun(world) == 0, "no machine near the data holds the image"
    for node in nodes(world):
        for machine in node.fleet.machines.values():
            machine.images["img"] = 0.2
    min_running = 2
    for _ in range(600):
        world.run(0.2)
        min_running = min(min_running, len(running_zones(world)))
        if runs_only_in(world, "b") and len(running_zones(world)) == 2:
            break
    assert runs_only_in(world, "b") and min_running == 1, "the replicas move one after the other"
    assert moves_begun(world) == 2 and not world.violations


@pytest.mark.parametrize("trouble", ["outage", "unsettled", "former version", "waiting work"])
def test_no_moves_during_outage_unsettled_share_upgrade_or_shortage(trouble: str) -> None:
    world = world_with_locality(settings("a"))
    submit_array(world, tasks=1)
    world.run(MIN_RUNTIME_S + 5.0)
    node = owner(world)
    share = node.scheduler.work[JobId(UID)].share
    if trouble == "outage":
        world.state.outage(True)
        world.run(1.0)
    elif trouble == "unsettled":
        node.shares.owned[share].settled = False
        unsettled = next(m for m in node.fleet.of_share(share))
        unsettled.settled = False
        world.inbound_cut |= {unsettled.id}
    elif trouble == "former version":
        for cluster_node in nodes(world):
            cluster_node.store.values.pop("rc/format", None)
    else:
        node.scheduler.unmet[share] = [None]  # type: ignore[list-item]
    migrations = node.scheduler.migrations
    policy: Any = node.policy
    policy.replace(settings("b"), node.context.now)
    policy._planned_at.clear()
    for _ in range(20):
        migrations.tick()
        node.context.now = Instant(node.context.now + 0.1)
    assert migrations.counts["begun"] == 0


def test_dry_run_counts_moves_and_performs_none() -> None:
    world = world_with_locality(settings("a", dry_run=True))
    submit_array(world, tasks=1)
    world.run(MIN_RUNTIME_S + 5.0)
    before = running_zones(world)
    world.reload(settings("b", dry_run=True))
    world.run(60.0)
    counts = migrations_of(world).counts
    assert counts["dry run"] == 1, "the cooldown applies to dry runs as well"
    assert counts["begun"] == 0 and running_zones(world) == before and no_reservations(world)


def test_two_tasks_do_not_swap_machines_while_there_is_no_room() -> None:
    def places(first: str, second: str) -> LocalitySettings:
        return settings(
            sources=(
                Source("p", (first,), 200.0, 10.0, 0.5, teams=("team-0",)),
                Source("q", (second,), 200.0, 10.0, 0.5, teams=("team-3",)),
            )
        )

    world = world_with_locality(places("a", "b"), machines_per_share_and_zone=1)
    submit_array(world, tasks=1, cpus=4.0)
    submit_array(world, "j-000002", tasks=1, cpus=4.0, team="team-3")
    assert runs_only_in(world, "a") and set(running_zones(world, "j-000002").values()) == {"b"}
    world.run(MIN_RUNTIME_S + 5.0)
    world.reload(places("b", "a"))
    world.run(120.0)
    assert moves_begun(world) == 0 and no_reservations(world) and not world.violations
    # Once one task is cancelled the other moves to its data.
    world.until(lambda: world.cancel("j-000002") == "cancelled", 10)
    world.until(lambda: runs_only_in(world, "b") and bool(running_zones(world)), 60)
    assert moves_begun(world) == 1


# --- failures during a move --------------------------------------------------------------


def check_single_run(world: World) -> None:
    """Waits until the task runs and checks that it runs once and that no room stays reserved."""
    world.until(lambda: len(running_zones(world)) == 1, 90)
    world.run(25.0)
    assert len(running_zones(world)) == 1 and no_reservations(world)
    assert not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("after", [0.0, 0.5], ids=["before the stop", "after the stop"])
@pytest.mark.parametrize("how", ["ends", "is cut off", "is refused"])
def test_owner_is_lost_between_stop_and_start_of_a_move(
    members: tuple[str, ...], after: float, how: str
) -> None:
    world = world_with_move(members)
    node = owner(world)
    member = node.context.me
    world.run(after)
    if how == "ends":
        world.crash(member)
        world.after(8.0, lambda: world.start(member))
    elif how == "is cut off":
        pairs = {frozenset((member, o)) for o in (*members, *world.workers, "state") if o != member}
        world.cut_links |= pairs
        world.after(25.0, lambda: world.cut_links.difference_update(pairs))
    else:
        world.state.refused_members.add(member)
        world.after(15.0, lambda: world.state.refused_members.discard(member))
    world.run(40.0)
    check_single_run(world)


@pytest.mark.parametrize("which", ["source", "target"])
@pytest.mark.parametrize("how", ["dies", "hangs", "is deaf", "has notice"])
def test_machine_is_lost_during_a_move(which: str, how: str) -> None:
    world = world_with_move()
    move = current_move(world)
    assert move is not None
    machine = move.placement.machine if which == "source" else move.target
    worker = world.workers[str(machine.id)]
    if how == "dies":
        worker.alive = False
    elif how == "hangs":
        worker.hung = True
        world.after(4.0, lambda: setattr(worker, "hung", False))
    elif how == "is deaf":
        world.inbound_cut.add(worker.id)
        world.after(20.0, lambda: world.inbound_cut.discard(worker.id))
    else:
        worker.notice_s = 20.0
        world.after(10.0, lambda: setattr(worker, "alive", False))
    check_single_run(world)


def test_reserved_room_on_the_target_is_given_to_no_other_task_or_share() -> None:
    world = world_with_move()
    move = current_move(world)
    assert move is not None
    target, node = move.target, owner(world)
    assert target.busy, "without the reservation the empty target would be returned or transferred"
    other = next(s for s in node.shares.all() if s != target.share.number)
    node.fleet_planner.transfers.handle(_transfer_message(target, other))
    assert not target.moving
    size = move.placement.size
    free = target.room
    assert target.type is not None
    assert free.cpus == target.type.size.cpus - target.used.cpus - size.cpus
    world.submit(spec("j-000009", tasks=20, cpus=4.0, estimate_s=1.0))
    check_single_run(world)
    assert running_zones(world) == {0: "b"}


def _transfer_message(machine: Machine, share: Any) -> Any:
    from runcourse.wire.peer_messages import TransferMachine

    return TransferMachine(machine.id, share)


@CLUSTER_SIZES
@pytest.mark.parametrize("after", [0.0, 0.05, 0.5, 1.1, 2.0])
def test_cancellation_at_any_step_of_a_move_is_in_time(
    members: tuple[str, ...], after: float
) -> None:
    world = world_with_move(members)
    world.run(after)
    world.until(lambda: world.cancel(UID) == "cancelled", 10)
    world.run(CANCEL_S + 1.0)  # a task that still runs by then counts as a broken rule
    assert not running_zones(world) and no_reservations(world) and not world.violations


def test_late_copies_of_orders_and_reports_start_and_stop_nothing() -> None:
    world = world_with_move()
    world.duplicate_rate = 1.0
    check_single_run(world)
    world.run(30.0)
    assert len(running_zones(world)) == 1 and not world.violations


def test_move_is_given_up_if_its_target_is_quarantined() -> None:
    world = world_with_move()
    move = current_move(world)
    assert move is not None
    world.run(0.5)
    move.target.quarantined_until = Instant(world.now + 20.0)
    world.until(lambda: current_move(world) is None, 20)
    assert migrations_of(world).counts["given up"] == 1 and not move.target.placements
    check_single_run(world)


def test_task_may_be_done_when_the_stop_order_arrives() -> None:
    world = world_with_move()
    move = current_move(world)
    assert move is not None
    worker = world.workers[str(move.placement.machine.id)]
    for (task, _), entry in worker.tasks.items():
        entry[0], entry[1] = "ended", "done"
        world.finished.add(task)
    world.until(lambda: world.poll(UID) == "done", 20)
    assert no_reservations(world) and not world.violations


def test_move_is_given_up_and_its_room_freed_if_the_stop_takes_too_long() -> None:
    world = world_with_move()
    move = current_move(world)
    assert move is not None
    world.run(0.5)
    (entry,) = world.workers[str(move.placement.machine.id)].tasks.values()
    assert entry[0] == "saving"
    entry[2] = world.now + 25.0
    world.until(lambda: current_move(world) is None, 20)
    assert no_reservations(world) and migrations_of(world).counts["given up"] == 1
    check_single_run(world)


def test_new_owner_does_not_move_again_what_was_moved_before() -> None:
    world = world_with_move()
    check_single_run(world)
    moves_before = moves_begun(world)
    member = owner(world).context.me
    # Ten changes of owner in about two minutes, while the source moves.
    for number in range(10):
        world.crash(member)
        world.after(0.5, lambda: world.start(member))
        world.run(6.0)
        world.reload(settings("ab"[number % 2]))
        world.run(6.0)
    assert moves_before <= 1 and moves_begun(world) == 0, (
        "the new owner counts from 0 and begins no move"
    )
    assert len(running_zones(world)) == 1 and not world.violations


# --- teams with much and with little load ------------------------------------------------


def test_team_with_little_load_gets_its_part_near_the_data_beside_a_busy_one() -> None:
    """team-0 and team-3 are served by the same one of three shares."""
    shared_source = Source("p", ("a",), 200.0, 10.0, 0.5, teams=("team-0", "team-3"))
    part_near: dict[bool, float] = {}
    for fair in (True, False):
        world = world_with_locality(settings(sources=(shared_source,), rebalance=False))
        policies: list[Any] = [n.policy for n in nodes(world)]
        if not fair:
            for policy in policies:
                policy.source_fairness.candidates = lambda work, machines: machines
        number = 100
        quiet_zones: list[str] = []
        for step in range(60):
            number += 1
            world.submit(spec(f"j-{number:06d}", cpus=1.0, estimate_s=15.0, team="team-0"))
            uid = f"j-{step:06d}"
            if step % 3 == 0:
                world.submit(spec(uid, tasks=1, cpus=1.0, estimate_s=20.0, team="team-3"))
            world.run(3.0)
            if step % 3 == 0:
                quiet_zones += running_zones(world, uid).values()
        assert not world.violations and len(quiet_zones) >= 15, (
            "its tasks do not wait with or without fairness"
        )
        part_near[fair] = quiet_zones.count("a") / len(quiet_zones)
    assert part_near[True] > part_near[False] + 0.1 and part_near[True] >= 0.5


def test_status_and_metrics_show_moves_and_sources() -> None:
    from runcourse.core.status import status_of
    from runcourse.net.metrics import render as metrics
    from runcourse.tables import render

    world = world_with_move()
    status = status_of(owner(world))
    locality = status["locality"]
    assert locality["moves"]["begun"] == 1 and locality["sources"][0]["zones"] == ["b"]
    assert locality["under_way"][0]["reason"] == "nearer its data"
    table = render(msgspec.json.decode(msgspec.json.encode(status)))
    assert "moves under way" in table and f"{UID}/0" in table and "nearer its data" in table
    text = metrics(owner(world), 0, 0)[0].decode()
    assert 'runcourse_moves_total{result="begun"} 1.0' in text
    assert "runcourse_moves_left" in text and "runcourse_sources_damped 0.0" in text
    world.run(1.0)
    world_without_policy = World()
    world_without_policy.run(2.0)
    node = world_without_policy.nodes["n0"]
    assert node is not None and status_of(node)["locality"] == {}
    assert "locality" not in render(status_of(node))
    assert "runcourse_moves" not in metrics(node, 0, 0)[0].decode()
