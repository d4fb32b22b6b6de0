"""Lifecycle of gangs: starts, failures, orderly stops, ends and takeovers."""

from typing import Any

import pytest
from combined_failures import crash_and_restart, leader, recover_and_check, send
from failing_parts import CLUSTER_SIZES
from gang_setup import (
    UID,
    gang_spec,
    machines_of,
    node_of,
    node_of_team,
    run_count,
    started_world,
    task_stages,
    work_of,
    world_after_gang_ran,
    world_with_gang_in_phase,
    world_with_running_gang,
)
from test_failing_jobs_and_late_writes import owner_of_job
from world import CANCEL_S, GANG_PEER_S, GANG_WAIT_S, LEASE_S, MEMBERS, spec

from runcourse.core import types as t


@CLUSTER_SIZES
def test_task_lost_before_gang_start_is_replaced_under_the_same_attempt(
    members: tuple[str, ...],
) -> None:
    world = started_world(members)
    world.fetch_s = 3.0
    world.submit(gang_spec(tasks=3, spread=False))
    world.until(
        lambda: any(task.job == UID for w in world.workers.values() for task, _ in w.tasks), 5
    )
    world.run(1.0)
    attempt = work_of(world).attempt
    victim = next(w for w in world.workers.values() if any(k[0].job == UID for k in w.tasks))
    world.capacity = 14
    victim.alive = False
    world.until(lambda: UID in world.running_gangs(), 40)
    assert world.gang_runs[-1][2] == attempt, "the other tasks kept waiting"
    world.until(lambda: world.poll(UID) == "done", 30)
    assert run_count(world) == 1 and not world.violations


def test_incomplete_gang_backs_off_and_logs_the_reason() -> None:
    world = started_world(machines=12)
    world.submit(gang_spec(tasks=2))
    world.until(lambda: bool(machines_of(world)), 5)
    work = work_of(world)
    node = node_of(world)
    # One of two waiting tasks exits as incomplete.
    placement = node.fleet.placements.of_job(UID)[0]  # type: ignore[arg-type]
    work.started = False
    for gang_task in node.fleet.placements.of_job(UID):  # type: ignore[arg-type]
        gang_task.stage = "waiting"
    node.fleet.placements.update(
        placement.machine,
        t.TaskReport(placement.task, placement.attempt, "ended", "incomplete"),
        placement.job,
    )
    assert work.ending and work.not_before > node.context.now and work.incomplete_attempts == 1
    assert any(isinstance(e, t.Log) and "not there" in e.text for e in node.context.effects)
    assert not any(node.context.now < m.quarantined_until for m in node.fleet.machines.values())
    assert not work.failure_counts and not work.fails_everywhere


def test_image_fetches_longer_than_the_gang_wait_do_not_prevent_the_start() -> None:
    """Tasks whose image is cached give up waiting, tasks that are still fetching continue, and the
    tasks that gave up are started again."""
    world = started_world(machines=12)
    world.fetch_s = GANG_WAIT_S + 4.0
    world.submit(gang_spec(tasks=4))
    world.run(1.0)
    first = {w.id for w in world.workers.values() if any(k[0].job == UID for k in w.tasks)}
    assert len(first) == 2
    world.workers[min(first)].images.add("img")  # no fetch is needed on this machine
    attempt = work_of(world).attempt
    world.run(GANG_WAIT_S + 1.0)
    assert "fetching" in task_stages(world) and work_of(world).attempt == attempt
    world.until(lambda: UID in world.running_gangs(), 60)
    assert not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("how", ["die", "hang", "blink", "mute", "deaf", "sick"])
def test_running_gang_recovers_from_loss_of_a_task(members: tuple[str, ...], how: str) -> None:
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
        world.after(1.0, lambda: setattr(victim, "sick", False))
    world.capacity = 16
    world.run(LEASE_S + 4.0)
    recover_and_check(world)
    assert world.last_stages[UID] == "done"
    if how in ("die", "blink", "sick"):
        assert run_count(world) >= 2
        assert world.gang_runs[-1][2] > world.gang_runs[0][2], "the new attempt has a higher number"


def test_no_new_attempt_while_a_task_of_the_old_attempt_may_run() -> None:
    """A machine is cut off while its task keeps running. No task of a new attempt may start on
    another machine, nor in another zone."""
    world = world_with_running_gang(estimate_s=30.0)
    world.run(2.5)
    isolated = machines_of(world)[0]
    world.cut_links.update(frozenset((isolated.id, m)) for m in MEMBERS)
    failed_machine = next(w for w in machines_of(world) if w is not isolated)
    failed_machine.alive = False
    starts, node = len(world.starts), node_of(world)
    # Its tasks count as present until the machine is returned or its lease ends.
    while any(p.machine.id == isolated.id for p in node.fleet.placements.of_job(UID)):  # type: ignore[arg-type]
        assert len(world.starts) == starts
        world.run(0.1)
    assert world.now > 2.0
    world.run(20.0)
    recover_and_check(world)
    assert run_count(world) == 2


def test_running_gang_ends_after_a_task_is_reported_or_found_lost() -> None:
    """The owner that receives the loss notices it, and so does an owner that took over later and
    finds the task on no machine."""
    for loss_is_reported in (True, False):
        world = world_with_running_gang(estimate_s=60.0)
        world.run(2.5)
        node, work = node_of(world), work_of(world)
        assert work.started
        lost = node.fleet.placements.of_job(UID)[0]  # type: ignore[arg-type]
        if loss_is_reported:
            node.fleet.placements.remove(lost, "lease")
        else:  # as if this owner had never known of the task
            node.fleet.placements._deactivate(lost, lost.stage)
            del lost.machine.placements[(lost.task, lost.attempt)]
            work.pending[lost.task.number] = None
            node.scheduler.gangs.check_startable(work)
        assert work.ending and all(p.stopping for p in node.fleet.placements.of_job(UID))  # type: ignore[arg-type]


def test_orderly_stop_reaches_all_tasks_in_time_and_saves_progress() -> None:
    world, node, members = world_after_gang_ran(6.5)
    node.scheduler.gangs.stop(members[0])
    world.run(0.5)
    assert task_stages(world) == {"saving"}
    world.until(lambda: not machines_of(world), GANG_PEER_S + 2.0)
    assert 6.0 < world.progress[UID] < 8.0, "the saved progress, not the checkpoint at 4 s"
    world.until(lambda: UID in world.running_gangs(), 20)
    assert run_count(world) == 2 and not world.violations


def test_first_task_to_finish_an_orderly_stop_does_not_shorten_the_others_saving() -> None:
    world, node, members = world_after_gang_ran(2.5)
    node.scheduler.gangs.stop(members[0])
    first = members[0]
    node.fleet.placements.update(
        first.machine,
        t.TaskReport(first.task, first.attempt, "ended", "stopped", True),
        first.job,
    )
    assert not first.active
    assert all(p.grace_s == 1.0 for p in members[1:])
    world.run(0.3)
    assert all(p.stage == "saving" and not p.needs_stop_order for p in members[1:])
    # A cancellation leaves no time to save.
    world.cancel(UID)
    assert all(p.grace_s == 0.0 and p.needs_stop_order for p in members[1:] if p.active)
    world.until(lambda: "saving" not in task_stages(world), 0.3)
    recover_and_check(world)


def test_orderly_stop_becomes_a_plain_stop_if_a_machine_is_unreachable() -> None:
    world, node, members = world_after_gang_ran(6.5)
    node.fleet.commands.suspect(members[0].machine)
    node.scheduler.gangs.stop(members[0])
    assert {p.grace_s for p in node.fleet.placements.of_job(UID)} == {0.0}  # type: ignore[arg-type]
    world.run(3.0)
    assert world.progress[UID] == 4.0
    recover_and_check(world)


def test_replica_preempts_a_whole_gang_but_an_array_task_does_not() -> None:
    """An array task would stop many tasks to start one, again and again. Array tasks use other
    free room instead."""
    world = started_world(machines=3)
    world.submit(gang_spec(tasks=2, rank=2, estimate_s=60.0, together=False))
    world.until(lambda: UID in world.running_gangs(), 20)
    tasks_that_fit = 6  # fills all free room, in every share
    world.submit(spec("j-000020", tasks=tasks_that_fit, team="team-1", rank=1, estimate_s=8.0))
    world.until(lambda: world.poll("j-000020") == "done", 40)
    assert run_count(world) == 1 and UID in world.running_gangs()
    world.submit(spec("j-000021", tasks=tasks_that_fit, team="team-1", rank=0, service=True))
    world.until(lambda: len(machines_of(world, "j-000021")) == tasks_that_fit, 20)
    first_gang = next(iter(world.gangs.values()))
    assert first_gang.ended and world.progress[UID] > 4.0, (
        "the whole gang stopped and kept its progress"
    )
    assert len({id(w) for w in machines_of(world)}) <= 1, (
        "the gang may continue elsewhere, as a whole"
    )
    assert world.cancel("j-000021") == "cancelled"
    world.until(lambda: run_count(world) == 2, 20)
    assert not world.violations


def test_gang_preempts_lower_ranks_only_if_all_its_tasks_then_fit() -> None:
    world = started_world(machines=3)
    world.submit(spec("j-000021", tasks=6, team="team-1", rank=3, estimate_s=60.0))
    world.until(lambda: len(world.on_machines()) == 6, 15)
    world.submit(gang_spec(tasks=8, rank=1, together=False))
    world.run(5.0)
    assert len(machines_of(world, "j-000021")) == 6, (
        "the gang would not fit even if they all stopped"
    )
    world.submit(gang_spec("j-000022", tasks=4, rank=1, together=False))
    world.until(lambda: "j-000022" in world.running_gangs(), 10)
    assert len(machines_of(world, "j-000021")) == 2 and not world.violations


def test_interruption_notice_on_one_machine_stops_the_whole_gang_in_time_to_save() -> None:
    world = started_world(machines=12)
    for worker in world.workers.values():
        worker.spot = False
    world.submit(gang_spec(estimate_s=40.0, spot=True))
    world.until(lambda: UID in world.running_gangs(), 20)
    world.run(6.5)
    machines_of(world)[0].notice_s = GANG_PEER_S + 1.5
    world.until(lambda: world.progress.get(UID, 0.0) > 6.0, 6)
    world.until(lambda: UID in world.running_gangs(), 20)
    assert not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("phase", ["fetching", "waiting", "running", "saving", "mates"])
@pytest.mark.parametrize("trouble", ["none", "leader ends", "machine cut"])
def test_cancellation_in_each_gang_phase(
    members: tuple[str, ...], phase: str, trouble: str
) -> None:
    world = world_with_gang_in_phase(members, phase)
    if trouble == "leader ends":
        crash_and_restart(world, leader(world) or members[0], 1.0)
    elif trouble == "machine cut" and machines_of(world):
        isolated = machines_of(world)[0]
        world.cut_links.update(frozenset((isolated.id, m)) for m in members)
    for k in range(6):
        send(world, members[k % len(members)], t.Cancel(0, UID))
        world.run(0.5)
    world.run(CANCEL_S)
    assert world.last_stages[UID] == "cancelled" and not machines_of(world)
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("phase", ["fetching", "waiting", "running", "saving", "mates"])
@pytest.mark.parametrize("back_s", [0.2, 20.0], ids=["back at once", "taken over"])
def test_takeover_in_each_gang_phase(members: tuple[str, ...], phase: str, back_s: float) -> None:
    world = world_with_gang_in_phase(members, phase)
    attempt = work_of(world).attempt
    crash_and_restart(world, owner_of_job(world, UID), back_s)
    world.run(25.0)
    recover_and_check(world)
    assert world.last_stages[UID] == "done"
    if phase == "running":
        assert run_count(world) == 1, "a running gang is not stopped by a takeover"
    if phase in ("fetching", "waiting", "running"):
        assert world.gang_runs[0][2] == attempt, "the gang continued under the same attempt"


@CLUSTER_SIZES
def test_duplicate_reports_of_an_old_attempt_change_nothing(members: tuple[str, ...]) -> None:
    from failing_parts import capture_reports, resend_report

    world = world_with_running_gang(members, estimate_s=25.0)
    reports = capture_reports(world)
    world.run(3.0)
    old_reports = [(m, r) for m, r in reports if any(e.task.job == UID for e in r.tasks)]
    machines_of(world)[0].restart_without_state()
    world.until(lambda: run_count(world) == 2, 30)
    assert old_reports
    for member, report in old_reports:
        resend_report(world, member, report)
    world.run(2.0)
    for _, report in old_reports:
        for m in members:
            resend_report(world, m, report)
    recover_and_check(world)
    assert run_count(world) == 2 and world.last_stages[UID] == "done"


def test_one_finished_task_completes_the_gang_and_is_stored_once() -> None:
    world = world_with_running_gang(estimate_s=3.0)
    commits = [0]
    serve = world.state.serve

    def counting_serve(member: str, effect: Any) -> tuple[int, Any]:
        if isinstance(effect, t.Commit) and any(UID in key for key, _, _ in effect.then):
            commits[0] += 1
        return serve(member, effect)

    world.state.serve = counting_serve  # type: ignore[method-assign]
    world.until(lambda: world.poll(UID) == "done", 20)
    world.run(5.0)
    assert commits[0] == 1 and not world.violations
    assert not node_of_team(world).fleet.placements.of_job(UID)  # type: ignore[arg-type]


def test_failing_gang_is_retried_as_a_whole_with_increasing_backoff() -> None:
    world = started_world()
    world.failing_jobs.add(UID)
    world.submit(gang_spec(tasks=3))
    world.run(30.0)
    attempts = run_count(world)
    assert attempts >= 2
    world.run(40.0)
    assert run_count(world) - attempts <= 3
    assert world.cancel(UID) == "cancelled"
    world.run(CANCEL_S + 2.0)
    assert not machines_of(world) and not world.violations
