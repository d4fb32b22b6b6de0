"""The life of a gang: starts, failures, orderly stops, ends and takeovers."""

from typing import Any

import pytest
from combined_failures import crash_and_restart, leader, recover_and_check, send
from failing_parts import CLUSTER_SIZES
from gang_setup import (
    UID,
    after,
    gang,
    machines_of,
    node_of,
    node_of_team,
    run_count,
    started_world,
    task_stages,
    work_of,
    world_with_gang_in_phase,
    world_with_running_gang,
)
from test_faulty_jobs_and_late_writes import owner_of_job
from world import CANCEL_S, GANG_PEER_S, GANG_WAIT_S, LEASE_S, MEMBERS, spec

from runcourse.core import types as t


@CLUSTER_SIZES
def test_a_task_lost_before_the_start_is_replaced_under_the_same_attempt(
    members: tuple[str, ...],
) -> None:
    world = started_world(members)
    world.fetch_s = 3.0
    world.submit(gang(tasks=3, spread=False))
    world.until(
        lambda: any(task.job == UID for w in world.workers.values() for task, _ in w.tasks), 5
    )
    world.run(1.0)
    attempt = work_of(world).attempt
    victim = next(w for w in world.workers.values() if any(k[0].job == UID for k in w.tasks))
    world.capacity = 14
    victim.alive = False
    world.until(lambda: UID in world.running_gangs(), 40)
    assert world.gang_runs[-1][2] == attempt, "the others waited on"
    world.until(lambda: world.poll(UID) == "done", 30)
    assert run_count(world) == 1 and not world.violations


def test_a_gang_that_is_not_complete_in_time_backs_off_and_says_why() -> None:
    world = started_world(machines=12)
    world.submit(gang(tasks=2))
    world.until(lambda: bool(machines_of(world)), 5)
    work = work_of(world)
    node = node_of(world)
    # Of two tasks that wait, one exits as incomplete.
    placement = node.fleet.placements.of_job(UID)[0]  # type: ignore[arg-type]
    work.started = False
    for mate in node.fleet.placements.of_job(UID):  # type: ignore[arg-type]
        mate.stage = "waiting"
    node.fleet.placements.update(
        placement.machine,
        t.TaskReport(placement.task, placement.attempt, "ended", "incomplete"),
        placement.job,
    )
    assert work.ending and work.not_before > node.context.now and work.incomplete_attempts == 1
    assert any(isinstance(e, t.Log) and "not there" in e.text for e in node.context.effects)
    assert not any(node.context.now < m.quarantined_until for m in node.fleet.machines.values())
    assert not work.errors and not work.fails_everywhere


def test_images_slower_than_the_wait_do_not_keep_a_gang_from_starting() -> None:
    """Those that have theirs give up waiting; what still fetches goes on, and they come again."""
    world = started_world(machines=12)
    world.fetch_s = GANG_WAIT_S + 4.0
    world.submit(gang(tasks=4))
    world.run(1.0)
    first = {w.id for w in world.workers.values() if any(k[0].job == UID for k in w.tasks)}
    assert len(first) == 2
    world.workers[min(first)].images.add("img")  # there it is at once
    attempt = work_of(world).attempt
    world.run(GANG_WAIT_S + 1.0)
    assert "fetching" in task_stages(world) and work_of(world).attempt == attempt
    world.until(lambda: UID in world.running_gangs(), 60)
    assert not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("how", ["die", "hang", "blink", "mute", "deaf", "sick"])
def test_a_task_of_a_running_gang_is_lost(members: tuple[str, ...], how: str) -> None:
    world = world_with_running_gang(members, estimate_s=20.0)
    world.run(6.0)
    victim = machines_of(world)[0]
    if how == "die":
        victim.alive = False
    elif how == "hang":
        victim.hung = True
        world.after(4.0, lambda: setattr(victim, "hung", False))
    elif how == "blink":
        victim.restart_without_state()
    elif how == "mute":
        world.outbound_cut.add(victim.id)
    elif how == "deaf":
        world.inbound_cut.add(victim.id)
    else:
        victim.fails_tasks = True
        world.after(1.0, lambda: setattr(victim, "fails_tasks", False))
    world.capacity = 16
    world.run(LEASE_S + 4.0)
    recover_and_check(world)
    assert world.last_stages[UID] == "done"
    if how in ("die", "blink", "sick"):
        assert run_count(world) >= 2
        assert world.gang_runs[-1][2] > world.gang_runs[0][2], "a new attempt, a higher number"


def test_no_new_attempt_while_a_task_of_the_old_one_may_be_there() -> None:
    """Its machine is cut off and runs on: elsewhere, and in another zone, nothing starts."""
    world = world_with_running_gang(estimate_s=30.0)
    world.run(2.5)
    cut = machines_of(world)[0]
    world.cut_links.update(frozenset((cut.id, m)) for m in MEMBERS)
    other = next(w for w in machines_of(world) if w is not cut)
    other.alive = False
    starts, node = len(world.starts), node_of(world)
    # Its tasks count as there until it is returned, or its lease is over.
    while any(p.machine.id == cut.id for p in node.fleet.placements.of_job(UID)):  # type: ignore[arg-type]
        assert len(world.starts) == starts
        world.run(0.1)
    assert world.now > 2.0
    world.run(20.0)
    recover_and_check(world)
    assert run_count(world) == 2


def test_a_running_gang_that_lost_a_task_ends_whoever_notices() -> None:
    """The owner that was told, or one that took over later and finds a task of it nowhere."""
    for told in (True, False):
        world = world_with_running_gang(estimate_s=60.0)
        world.run(2.5)
        node, work = node_of(world), work_of(world)
        assert work.started
        lost = node.fleet.placements.of_job(UID)[0]  # type: ignore[arg-type]
        if told:
            node.fleet.placements.remove(lost, "lease")
        else:  # as if it had never been heard of here
            node.fleet.placements._deactivate(lost, lost.stage)
            del lost.machine.placements[(lost.task, lost.attempt)]
            work.pending[lost.task.number] = None
            node.scheduler.gangs.check_startable(work)
        assert work.ending and all(p.stopping for p in node.fleet.placements.of_job(UID))  # type: ignore[arg-type]


def test_an_orderly_stop_reaches_all_in_time_and_keeps_the_progress() -> None:
    world, node, members = after(6.5)
    node.scheduler.gangs.stop(members[0])
    world.run(0.5)
    assert task_stages(world) == {"saving"}
    world.until(lambda: not machines_of(world), GANG_PEER_S + 2.0)
    assert 6.0 < world.progress[UID] < 8.0, "saved, not the checkpoint at 4"
    world.until(lambda: UID in world.running_gangs(), 20)
    assert run_count(world) == 2 and not world.violations


def test_who_is_ready_first_in_an_orderly_stop_cuts_nobody_s_saving_short() -> None:
    world, node, members = after(2.5)
    node.scheduler.gangs.stop(members[0])
    first = members[0]
    node.fleet.placements.update(
        first.machine,
        t.TaskReport(first.task, first.attempt, "ended", "stopped", True),
        first.job,
    )
    assert not first.active
    assert all(p.grace_s == 1.0 and not p.forced for p in members[1:])
    # A cancellation has no time for that.
    world.cancel(UID)
    assert all(p.grace_s == 0.0 and p.forced for p in members[1:] if p.active)
    recover_and_check(world)


def test_one_that_cannot_be_told_makes_the_stop_a_plain_one() -> None:
    world, node, members = after(6.5)
    node.fleet.commands.suspect(members[0].machine)
    node.scheduler.gangs.stop(members[0])
    assert {p.grace_s for p in node.fleet.placements.of_job(UID)} == {0.0}  # type: ignore[arg-type]
    world.run(3.0)
    assert world.progress[UID] == 4.0
    recover_and_check(world)


def test_replicas_stop_a_whole_gang_and_an_array_s_task_stops_none() -> None:
    """A task of an array would stop many for one, again and again: they fill other gaps."""
    world = started_world(machines=3)
    world.submit(gang(tasks=2, rank=2, estimate_s=60.0, together=False))
    world.until(lambda: UID in world.running_gangs(), 20)
    many = 6  # all that there is room for, whoever's share it is
    world.submit(spec("j-000020", tasks=many, team="team-1", rank=1, estimate_s=8.0))
    world.until(lambda: world.poll("j-000020") == "done", 40)
    assert run_count(world) == 1 and UID in world.running_gangs()
    world.submit(spec("j-000021", tasks=many, team="team-1", rank=0, service=True))
    world.until(lambda: len(machines_of(world, "j-000021")) == many, 20)
    first = next(iter(world.gangs.values()))
    assert first.ended and world.progress[UID] > 4.0, "all of it, with what it had done"
    assert len({id(w) for w in machines_of(world)}) <= 1, "it may go on elsewhere, as a whole"
    assert world.cancel("j-000021") == "cancelled"
    world.until(lambda: run_count(world) == 2, 20)
    assert not world.violations


def test_a_gang_takes_the_room_of_lesser_work_for_all_or_stops_nobody() -> None:
    world = started_world(machines=3)
    world.submit(spec("j-000021", tasks=6, team="team-1", rank=3, estimate_s=60.0))
    world.until(lambda: len(world.on_machines()) == 6, 15)
    world.submit(gang(tasks=8, rank=1, together=False))
    world.run(5.0)
    assert len(machines_of(world, "j-000021")) == 6, "it would not fit whoever stops"
    world.submit(gang("j-000022", tasks=4, rank=1, together=False))
    world.until(lambda: "j-000022" in world.running_gangs(), 10)
    assert len(machines_of(world, "j-000021")) == 2 and not world.violations


def test_a_notice_of_one_machine_stops_the_whole_in_time_to_save() -> None:
    world = started_world(machines=12)
    for worker in world.workers.values():
        worker.spot = False
    world.submit(gang(estimate_s=40.0, spot=True))
    world.until(lambda: UID in world.running_gangs(), 20)
    world.run(6.5)
    machines_of(world)[0].notice_s = GANG_PEER_S + 1.5
    world.until(lambda: world.progress.get(UID, 0.0) > 6.0, 6)
    world.until(lambda: UID in world.running_gangs(), 20)
    assert not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("phase", ["fetching", "waiting", "running", "saving", "mates"])
@pytest.mark.parametrize("trouble", ["none", "leader ends", "machine cut"])
def test_cancelled_in_each_phase(members: tuple[str, ...], phase: str, trouble: str) -> None:
    world = world_with_gang_in_phase(members, phase)
    if trouble == "leader ends":
        crash_and_restart(world, leader(world) or members[0], 1.0)
    elif trouble == "machine cut" and machines_of(world):
        cut = machines_of(world)[0]
        world.cut_links.update(frozenset((cut.id, m)) for m in members)
    for k in range(6):
        send(world, members[k % len(members)], t.Cancel(0, UID))
        world.run(0.5)
    world.run(CANCEL_S)
    assert world.last_stages[UID] == "cancelled" and not machines_of(world)
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("phase", ["fetching", "waiting", "running", "saving", "mates"])
@pytest.mark.parametrize("back_s", [0.2, 20.0], ids=["back at once", "taken over"])
def test_a_takeover_in_each_phase(members: tuple[str, ...], phase: str, back_s: float) -> None:
    world = world_with_gang_in_phase(members, phase)
    attempt = work_of(world).attempt
    crash_and_restart(world, owner_of_job(world, UID), back_s)
    world.run(25.0)
    recover_and_check(world)
    assert world.last_stages[UID] == "done"
    if phase == "running":
        assert run_count(world) == 1, "not stopped needlessly"
    if phase in ("fetching", "waiting", "running"):
        assert world.gang_runs[0][2] == attempt, "it went on with the attempt it had"


@CLUSTER_SIZES
def test_copies_of_reports_of_an_old_attempt_change_nothing(members: tuple[str, ...]) -> None:
    from failing_parts import capture_reports, resend_report

    world = world_with_running_gang(members, estimate_s=25.0)
    seen = capture_reports(world)
    world.run(3.0)
    old = [(m, r) for m, r in seen if any(e.task.job == UID for e in r.tasks)]
    machines_of(world)[0].restart_without_state()
    world.until(lambda: run_count(world) == 2, 30)
    assert old
    for member, report in old:
        resend_report(world, member, report)
    world.run(2.0)
    for _, report in old:
        for m in members:
            resend_report(world, m, report)
    recover_and_check(world)
    assert run_count(world) == 2 and world.last_stages[UID] == "done"


def test_one_done_says_of_all_and_is_stored_once() -> None:
    world = world_with_running_gang(estimate_s=3.0)
    changes = [0]
    serve = world.state.serve

    def counting(member: str, effect: Any) -> tuple[int, Any]:
        if isinstance(effect, t.Commit) and any(UID in key for key, _, _ in effect.then):
            changes[0] += 1
        return serve(member, effect)

    world.state.serve = counting  # type: ignore[method-assign]
    world.until(lambda: world.poll(UID) == "done", 20)
    world.run(5.0)
    assert changes[0] == 1 and not world.violations
    assert not node_of_team(world).fleet.placements.of_job(UID)  # type: ignore[arg-type]


def test_a_failing_gang_is_tried_as_a_whole_and_ever_more_seldom() -> None:
    world = started_world()
    world.failing_jobs.add(UID)
    world.submit(gang(tasks=3))
    world.run(30.0)
    tries = run_count(world)
    assert tries >= 2
    world.run(40.0)
    assert run_count(world) - tries <= 3
    assert world.cancel(UID) == "cancelled"
    world.run(CANCEL_S + 2.0)
    assert not machines_of(world) and not world.violations
