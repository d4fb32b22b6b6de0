"""Changes of leader or owner that meet other failures.

Each meeting of failures that broke a rule somewhere is brought about here. Whatever meets,
the rules hold meanwhile (the world notes each that is broken), and once it is over every job is
known to every node, runs or is done, and no machine has room that somebody waits for.
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
def test_leaders_change_ten_times_also_inside_an_outage(members: tuple[str, ...]) -> None:
    world = loaded_world(members)
    for n in range(10):
        who = leader(world) or members[n % len(members)]
        crash_and_restart(world, who, 0.2 if n % 2 else 2.0)
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
def test_the_leader_ends_while_machines_with_long_tasks_are_out_of_reach(
    members: tuple[str, ...], how: str
) -> None:
    world = loaded_world(members)
    ids = sorted(world.workers)[::2]
    make_unreachable(world, ids, how)
    who = leader(world)
    assert who is not None
    world.crash(who)
    world.run(LEASE_S - 2.0)
    resume_hung_workers(world, ids)
    world.run(6.0)
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("back_s", [0.3, 4.0])
def test_controllers_hand_over_and_back_all_end_and_one_returns(
    members: tuple[str, ...], back_s: float
) -> None:
    world = loaded_world(members)
    crash_and_restart(world, members[0], 8.0)
    world.run(16.5)  # its shares are on their way back
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
def test_a_report_held_back_arrives_once_a_new_leader_has_acted(members: tuple[str, ...]) -> None:
    """Also: it arrives everywhere just as the new leader begins, and again later."""
    world = loaded_world(members)
    seen = capture_reports(world)
    world.run(2.0)
    held = list(seen)
    who = leader(world)
    assert held and who is not None
    world.crash(who)
    for n in range(TEAMS):
        send(world, members[1], t.Cancel(0, f"j-00001{n}"))

    def deliver() -> None:
        for _, report in held:
            for member in members:
                if world.nodes[member] is not None:
                    resend_report(world, member, report)

    world.until(lambda: leader(world) not in (None, who), 15)
    deliver()
    world.run(3.0)
    world.start(who)
    for _ in range(4):
        world.run(2.0)
        deliver()
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("how", ["cut", "hung"])
def test_teams_at_their_limit_when_leader_and_machines_fail_and_jobs_are_cancelled(
    members: tuple[str, ...], how: str
) -> None:
    """What was cancelled may still run where nobody can ask: it counts until it surely ended."""
    world = started_world(members, 12, cpus_max=8.0)
    for n in range(TEAMS):
        world.submit(spec(f"j-00000{n}", tasks=4, team=f"team-{n}", estimate_s=200.0))
    world.until(lambda: len(world.on_machines()) == 4 * TEAMS, 20)
    for n in range(TEAMS):
        submit(world, spec(f"j-00010{n}", tasks=4, team=f"team-{n}", estimate_s=3.0), members[0])
    world.run(1.0)
    ids = [w.id for _, w in world.on_machines()][::2]
    make_unreachable(world, ids, how)
    who = leader(world)
    assert who is not None
    world.crash(who)
    for k in range(3):
        world.run(0.7)
        for n in range(TEAMS):
            send(world, members[(n + k) % len(members)], t.Cancel(0, f"j-00000{n}"))
    world.run(LEASE_S - 3.0)
    resume_hung_workers(world, ids)
    world.run(CANCEL_S)
    recover_and_check(world)


@CLUSTER_SIZES
def test_all_controllers_are_away_for_longer_than_a_lease(members: tuple[str, ...]) -> None:
    world = loaded_world(members)
    send(world, members[1], t.Cancel(0, "j-000011"))
    world.run(0.2)
    for member in members:
        world.crash(member)
    world.run(LEASE_S + 3.0)
    assert not world.on_machines(), "their leases are over"
    for n, member in enumerate(members):
        world.after(0.7 * n, lambda m=member: world.start(m))  # type: ignore[misc]
    world.run(5.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_old_reports_arrive_after_newer_ones_also_of_earlier_sessions_and_attempts(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    seen = capture_reports(world)
    world.run(2.0)
    early = list(seen)
    # A lease ends, so that there is a new session, and a machine is back without memory.
    ids = sorted(world.workers)
    world.outbound_cut.add(ids[0])
    world.workers[ids[1]].restart_without_state()
    world.run(LEASE_S + 3.0)
    world.outbound_cut.clear()
    for n in range(4):
        world.run(1.5)
        for member, report in (*early, *seen[-30:]):
            world.after(0.05 * n, lambda m=member, r=report: resend_report(world, m, r))  # type: ignore[misc]
        if n == 1:
            crash_and_restart(world, members[0], 0.3)
    recover_and_check(world)


@CLUSTER_SIZES
def test_tasks_that_end_far_apart_across_a_change_of_leader(members: tuple[str, ...]) -> None:
    world = started_world(members)
    lengths = {0: 1.0, 1: 9.0, 2: 18.0}
    for n in range(6):
        submit(
            world,
            spec(f"j-00010{n}", tasks=2 + n % 2, team=f"team-{n % TEAMS}", estimate_s=1.0),
            members[n % len(members)],
        )
    # Each task's length by its number, where the worker looks for it.
    step = type(next(iter(world.workers.values()))).step

    def by_number(worker: Any) -> None:
        for (task, _), entry in worker.tasks.items():
            if entry[0] == "running" and world.now - entry[2] < lengths[task.number]:
                entry[0] = "running "  # not to be ended yet
        step(worker)
        for entry in worker.tasks.values():
            entry[0] = entry[0].strip()

    for worker in world.workers.values():
        worker.step = lambda w=worker: by_number(w)  # type: ignore[method-assign,misc]
    world.run(5.0)
    who = leader(world)
    assert who is not None
    crash_and_restart(world, who, 20.0)
    world.run(8.0)
    crash_and_restart(world, leader(world) or members[0], 0.3)
    world.run(8.0)
    recover_and_check(world)
    again_started = [
        task
        for n, (_, task, _) in enumerate(world.starts)
        if any(task == other for _, other, _ in world.starts[:n])
    ]
    assert not again_started, "what ended was stored, what ran went on"
