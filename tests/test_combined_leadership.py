"""Changes of leader or owner that coincide with other failures.

Each test reproduces a combination of failures that once broke an invariant. During the failures
the invariants hold (the world records every violation). After they end, every node knows every
job, each job runs or is done, and no machine has free room that a waiting task could use.
"""

from typing import Any

import pytest
from combined_failures import (
    TEAMS,
    crash_and_restart,
    leader,
    loaded_world,
    make_unreachable,
    recover_and_check,
    resume_hung_workers,
    send,
    started_world,
    submit,
)
from failing_parts import CLUSTER_SIZES, capture_reports, resend_report
from world import CANCEL_S, LEASE_S, spec

from runcourse.core import types as t


@CLUSTER_SIZES
def test_ten_leader_changes_some_during_an_outage(members: tuple[str, ...]) -> None:
    world = loaded_world(members)
    for n in range(10):
        current_leader = leader(world) or members[n % len(members)]
        crash_and_restart(world, current_leader, 0.2 if n % 2 else 2.0)
        if n == 4:
            world.state.outage(True)
        if n == 6:
            world.state.outage(False)
        submit(
            world,
            spec(f"j-00010{n}", tasks=2, team=f"team-{n % TEAMS}", estimate_s=6.0),
            members[n % len(members)],
        )
        world.run(9.0)
        send(
            world,
            members[(n + 1) % len(members)],
            t.Cancel(0, f"j-00010{n}" if n % 3 == 0 else "j-000010"),
        )
        world.run(3.0)
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("how", ["cut", "deaf", "hung"])
def test_leader_crash_while_machines_with_long_tasks_are_unreachable(
    members: tuple[str, ...], how: str
) -> None:
    world = loaded_world(members)
    ids = sorted(world.workers)[::2]
    make_unreachable(world, ids, how)
    old_leader = leader(world)
    assert old_leader is not None
    world.crash(old_leader)
    world.run(LEASE_S - 2.0)
    resume_hung_workers(world, ids)
    world.run(6.0)
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("back_s", [0.3, 4.0])
def test_all_controllers_crash_during_handback_and_one_returns_first(
    members: tuple[str, ...], back_s: float
) -> None:
    world = loaded_world(members)
    crash_and_restart(world, members[0], 8.0)
    world.run(16.5)  # its shares are being handed back
    for member in members:
        if world.nodes[member] is not None:
            world.crash(member)
    world.after(back_s, lambda: world.start(members[1]))
    world.run(back_s + 1.0)
    for n, member in enumerate(members):
        if world.nodes[member] is None:
            world.after(0.5 + 2 * n, lambda m=member: world.start(m))  # type: ignore[misc]
    submit(world, spec("j-000100", tasks=4, team="team-2"), members[1])
    world.run(12.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_delayed_reports_arrive_after_a_new_leader_has_acted(members: tuple[str, ...]) -> None:
    """Old reports reach every node just when the new leader begins, and again several times
    later."""
    world = loaded_world(members)
    reports = capture_reports(world)
    world.run(2.0)
    delayed_reports = list(reports)
    old_leader = leader(world)
    assert delayed_reports and old_leader is not None
    world.crash(old_leader)
    for n in range(TEAMS):
        send(world, members[1], t.Cancel(0, f"j-00001{n}"))

    def deliver_delayed() -> None:
        for _, report in delayed_reports:
            for member in members:
                if world.nodes[member] is not None:
                    resend_report(world, member, report)

    world.until(lambda: leader(world) not in (None, old_leader), 15)
    deliver_delayed()
    world.run(3.0)
    world.start(old_leader)
    for _ in range(4):
        world.run(2.0)
        deliver_delayed()
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("how", ["cut", "hung"])
def test_team_limits_hold_when_leader_and_machines_fail_and_jobs_are_cancelled(
    members: tuple[str, ...], how: str
) -> None:
    """Cancelled tasks on unreachable machines may still run and count towards the team's limit
    until they have certainly ended."""
    world = started_world(members, 12, cpus_max=8.0)
    for n in range(TEAMS):
        world.submit(spec(f"j-00000{n}", tasks=4, team=f"team-{n}", estimate_s=200.0))
    world.until(lambda: len(world.on_machines()) == 4 * TEAMS, 20)
    for n in range(TEAMS):
        submit(world, spec(f"j-00010{n}", tasks=4, team=f"team-{n}", estimate_s=3.0), members[0])
    world.run(1.0)
    ids = [w.id for _, w in world.on_machines()][::2]
    make_unreachable(world, ids, how)
    old_leader = leader(world)
    assert old_leader is not None
    world.crash(old_leader)
    for k in range(3):
        world.run(0.7)
        for n in range(TEAMS):
            send(world, members[(n + k) % len(members)], t.Cancel(0, f"j-00000{n}"))
    world.run(LEASE_S - 3.0)
    resume_hung_workers(world, ids)
    world.run(CANCEL_S)
    recover_and_check(world)


@CLUSTER_SIZES
def test_all_controllers_are_down_for_longer_than_a_lease(members: tuple[str, ...]) -> None:
    world = loaded_world(members)
    send(world, members[1], t.Cancel(0, "j-000011"))
    world.run(0.2)
    for member in members:
        world.crash(member)
    world.run(LEASE_S + 3.0)
    assert not world.on_machines(), "the workers' leases have ended"
    for n, member in enumerate(members):
        world.after(0.7 * n, lambda m=member: world.start(m))  # type: ignore[misc]
    world.run(5.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_old_reports_of_earlier_sessions_and_attempts_arrive_after_newer_ones(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    reports = capture_reports(world)
    world.run(2.0)
    early_reports = list(reports)
    # One machine's lease ends, which begins a new session; another restarts without its state.
    ids = sorted(world.workers)
    world.outbound_cut.add(ids[0])
    world.workers[ids[1]].restart_without_state()
    world.run(LEASE_S + 3.0)
    world.outbound_cut.clear()
    for n in range(4):
        world.run(1.5)
        for member, report in (*early_reports, *reports[-30:]):
            world.after(0.05 * n, lambda m=member, r=report: resend_report(world, m, r))  # type: ignore[misc]
        if n == 1:
            crash_and_restart(world, members[0], 0.3)
    recover_and_check(world)


@CLUSTER_SIZES
def test_tasks_of_unequal_length_are_not_restarted_across_leader_changes(
    members: tuple[str, ...],
) -> None:
    world = started_world(members)
    running_times_s = {0: 1.0, 1: 9.0, 2: 18.0}
    for n in range(6):
        submit(
            world,
            spec(f"j-00010{n}", tasks=2 + n % 2, team=f"team-{n % TEAMS}", estimate_s=1.0),
            members[n % len(members)],
        )
    # Each task's running time in seconds depends on its number; the workers' step applies it.
    step = type(next(iter(world.workers.values()))).step

    def step_by_task_number(worker: Any) -> None:
        for (task, _), entry in worker.tasks.items():
            if entry[0] == "running" and world.now - entry[2] < running_times_s[task.number]:
                entry[0] = "running "  # unknown stage, so that the step does not end the task
        step(worker)
        for entry in worker.tasks.values():
            entry[0] = entry[0].strip()

    for worker in world.workers.values():
        worker.step = lambda w=worker: step_by_task_number(w)  # type: ignore[method-assign,misc]
    world.run(5.0)
    old_leader = leader(world)
    assert old_leader is not None
    crash_and_restart(world, old_leader, 20.0)
    world.run(8.0)
    crash_and_restart(world, leader(world) or members[0], 0.3)
    world.run(8.0)
    recover_and_check(world)
    restarted_tasks = [
        task
        for n, (_, task, _) in enumerate(world.starts)
        if any(task == other for _, other, _ in world.starts[:n])
    ]
    assert not restarted_tasks, "finished tasks were stored and running tasks continued"
