"""Failures of the state service that coincide with requests of users.

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
    recover_and_check,
    send,
    started_world,
    submit,
)
from failing_parts import CLUSTER_SIZES
from world import CANCEL_S, MEMBERS, spec

from runcourse.core import types as t
from runcourse.core.ids import TaskId


@CLUSTER_SIZES
def test_unanswered_writes_are_executed_after_newer_ones(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    world.late_writes = 0.4
    for n in range(16):
        submit(
            world,
            spec(
                f"j-0001{n:02d}",
                tasks=3,
                team=f"team-{n % TEAMS}",
                cpus=1.0,
                estimate_s=0.5 + n % 5,
            ),
            members[n % len(members)],
        )
        world.run(0.8)
        if n % 4 == 3:
            send(world, members[n % 3], t.Cancel(0, f"j-0001{n:02d}"))
        if n == 8:
            crash_and_restart(world, members[0], 0.3)
    world.run(14.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_requests_arrive_around_the_end_of_the_last_task(members: tuple[str, ...]) -> None:
    """Without any failure, a cancellation, a poll and a repeated submission arrive within
    milliseconds before and after the last task ends."""
    world = started_world(members)
    for n in range(24):
        uid = f"j-0001{n:02d}"
        job = spec(uid, tasks=1 + n % 2, team=f"team-{n % TEAMS}", estimate_s=1.0)
        world.submit(job)
        wanted = {TaskId(job.uid, i) for i in range(job.tasks)}  # type: ignore[arg-type]
        world.until(
            lambda wanted=wanted: (
                {x for x, _ in world.on_machines()} >= wanted  # type: ignore[misc]
                or wanted <= world.finished
            ),
            20,
        )
        world.run(0.6 + n * 0.03)
        for k, member in enumerate(members):
            kinds: list[Any] = [t.Cancel(0, uid), t.Poll(0, uid), t.Submit(0, uid, job)]
            send(world, member, kinds[(n + k) % 3])
            world.run(0.01)
        world.run(0.3)
        for member in members:
            send(world, member, t.Poll(0, uid))
    world.run(3.0)
    assert {"done", "cancelled"} <= set(world.last_stages.values())
    recover_and_check(world)


def test_four_one_task_jobs_per_second_for_two_minutes_with_a_quarter_cancelled() -> None:
    world = started_world(MEMBERS, 9)
    for n in range(480):
        uid = f"j-{n:06d}"
        submit(
            world,
            spec(uid, tasks=1, team=f"team-{n % TEAMS}", estimate_s=1.0 + n % 4),
            world.members[n % 3],
        )
        if n % 4 == 0:
            world.after(
                0.3 + n % 5,
                lambda uid=uid, n=n: send(  # type: ignore[misc]
                    world, world.members[n % 3], t.Cancel(0, uid)
                ),
            )
        world.run(0.25)
    world.run(10.0)
    assert len(world.last_stages) == 480 and "cancelled" in world.last_stages.values()
    recover_and_check(world)


@CLUSTER_SIZES
def test_answers_of_executed_writes_are_lost_while_other_nodes_read_them(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    world.lost_answers = 0.5
    for n in range(12):
        uid = f"j-0001{n:02d}"
        submit(
            world,
            spec(uid, tasks=2, team=f"team-{n % TEAMS}", estimate_s=1.5),
            members[n % len(members)],
        )
        for k in range(4):
            send(
                world,
                members[k % len(members)],
                t.Poll(0, uid) if uid in world.last_stages else t.Submit(0, uid, world.specs[uid]),
            )  # type: ignore[index]
            world.run(0.1)
        if n % 3 == 0:
            for member in members:
                send(world, member, t.Cancel(0, uid))
        world.run(0.6)
    if len(members) == 5:
        crash_and_restart(world, members[0], 0.2)
    world.run(6.0)
    recover_and_check(world)


@CLUSTER_SIZES
def test_isolated_leader_serves_workers_and_users_while_its_successor_accepts_cancellations(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    old_leader = leader(world)
    assert old_leader is not None
    world.cut_links.update(
        frozenset((old_leader, o)) for o in (*members, "state") if o != old_leader
    )
    others = [m for m in members if m != old_leader]
    for k in range(8):
        world.run(1.0)
        for n in range(TEAMS):
            send(world, others[k % len(others)], t.Cancel(0, f"j-00001{n}"))
            send(world, old_leader, t.Poll(0, f"j-00001{n}"))
            send(world, old_leader, t.Cancel(0, f"j-00000{n}"))
    world.run(CANCEL_S)
    assert all(world.last_stages[f"j-00001{n}"] == "cancelled" for n in range(TEAMS))
    recover_and_check(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("cancel_after", [0.0, 0.05, 1.0])
def test_leader_refused_alone_before_an_outage_longer_than_the_cancellation_limit(
    members: tuple[str, ...], cancel_after: float
) -> None:
    """Jobs are cancelled at the moment of the refusal or shortly after it. One second after it the
    state service fails for all nodes; the workers still report to the old leader."""
    world = loaded_world(members)
    refused_leader = leader(world)
    assert refused_leader is not None
    world.state.refused_members.add(refused_leader)
    world.after(1.0, lambda: world.state.outage(True))
    world.run(cancel_after)
    for n in range(TEAMS):
        for member in members:
            send(world, member, t.Cancel(0, f"j-00001{n}"))
            send(world, member, t.Poll(0, f"j-00000{n}"))
    for _ in range(int(CANCEL_S)):
        world.run(1.3)
        for n in range(TEAMS):
            send(world, members[n % len(members)], t.Poll(0, f"j-00001{n}"))
    assert not world.violations
    recover_and_check(world)


@CLUSTER_SIZES
def test_slow_state_service_while_users_cancel_and_poll(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    world.state_delay_s = 1.2
    for n in range(TEAMS):
        for member in members:
            send(world, member, t.Cancel(0, f"j-00001{n}"))
        world.run(0.7)
        send(world, members[n % 3], t.Poll(0, f"j-00001{n}"))
    crash_and_restart(world, leader(world) or members[0], 0.5)
    world.run(CANCEL_S)
    recover_and_check(world)


@CLUSTER_SIZES
def test_requests_right_after_a_stage_change_return_no_older_stage(
    members: tuple[str, ...],
) -> None:
    """Polls and repeated submissions reach all nodes within milliseconds after each answer
    with a new stage, among cancellations; none may return an older stage."""
    world = started_world(members)
    checked_changes = [0]

    def check_all_nodes(uid: str) -> None:
        checked_changes[0] += 1
        for k, member in enumerate(members):
            world.after(0.002 * k, lambda m=member: send(world, m, t.Poll(0, uid)))  # type: ignore[misc]
            world.after(
                0.003 * k + 0.001,
                lambda m=member: send(  # type: ignore[misc]
                    world, m, t.Submit(0, uid, world.specs[uid])
                ),
            )  # type: ignore[index]

    record_stage_only = world.record_stage

    def record_and_check(uid: str, stage: str, known: str | None = None) -> None:
        before = world.last_stages.get(uid)
        record_stage_only(uid, stage, known)
        if before != stage:
            check_all_nodes(uid)

    world.record_stage = record_and_check  # type: ignore[method-assign]
    for n in range(20):
        uid = f"j-0001{n:02d}"
        submit(
            world,
            spec(uid, tasks=1 + n % 3, team=f"team-{n % TEAMS}", estimate_s=0.8),
            members[n % len(members)],
        )
        if n % 4 == 0:
            world.run(0.05)
            send(world, members[(n + 1) % len(members)], t.Cancel(0, uid))
        for k in range(7):
            world.run(0.1)
            send(world, members[k % len(members)], t.Poll(0, f"j-0001{max(0, n - k):02d}"))
    world.run(5.0)
    assert checked_changes[0] >= 40
    recover_and_check(world)


@CLUSTER_SIZES
def test_jobs_are_cancelled_during_takeover_and_handback(
    members: tuple[str, ...],
) -> None:
    """One job is cancelled every 0.1 s while a crashed controller's shares are taken over and
    handed back; then the state service fails."""
    world = started_world(members, 12)
    for n in range(60):
        submit(
            world,
            spec(
                f"j-0001{n:02d}",
                tasks=1,
                team=f"team-{n % TEAMS}",
                cpus=0.5,
                memory=1.0,
                estimate_s=60.0,
            ),
            members[n % len(members)],
        )
        world.run(0.05)
    world.until(lambda: len(world.on_machines()) == 60, 30)
    next_number = [0]

    def cancel_some(seconds: float) -> None:
        end = world.now + seconds
        while world.now < end and next_number[0] < 60:
            running_members = [m for m in members if world.nodes[m] is not None]
            send(
                world,
                running_members[next_number[0] % len(running_members)],
                t.Cancel(0, f"j-0001{next_number[0]:02d}"),
            )
            next_number[0] += 1
            world.run(0.1)

    world.crash(members[0])
    cancel_some(3.0)
    world.run(8.0)
    world.start(members[0])
    world.run(5.5)
    cancel_some(2.5)
    world.state.outage(True)
    world.run(CANCEL_S + 3.0)
    assert not world.violations
    recover_and_check(world)
