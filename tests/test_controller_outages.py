"""Controllers that are down, paused or cut off from one dependency; also large jobs of the lowest
rank, and the cost of polls and small jobs."""

from collections import Counter

import pytest
from failing_parts import CLUSTER_SIZES
from test_failing_jobs_and_late_writes import owner_of_job
from test_failure_regressions import started_world
from world import FIVE_MEMBERS, World, spec

from runcourse.core import types as t
from runcourse.core.status import status_of


def world_with_replicas(members: tuple[str, ...], machines: int = 9, **settings: float) -> World:
    """Returns a world that runs two replicas of each of four teams, so that every restart is
    visible."""
    world = World(machines=machines, members=members, cpus_max=100.0, **settings)
    world.run(4.0)
    for n in range(4):
        world.submit(spec(f"j-00000{n}", tasks=2, team=f"team-{n}", service=True, rank=0))
    world.until(lambda: len(world.on_machines()) == 8, 20)
    world.run(2.0)
    return world


def leader(world: World) -> str:
    """Returns the member that leads; raises StopIteration if none does."""
    return next(
        m for m, n in world.nodes.items() if n is not None and n.fleet_planner.leadership.leading
    )


def owner_counts(world: World) -> Counter[str]:
    """Returns the number of controllers that may command each share."""
    return Counter(
        f"share {s}"
        for n in world.nodes.values()
        if n is not None
        for s in n.shares.owned
        if n.shares.may_command(s)
    )


@CLUSTER_SIZES
def test_controller_down_for_a_minute_restarts_no_task(members: tuple[str, ...]) -> None:
    world = world_with_replicas(members)
    crashed = leader(world)
    starts = len(world.starts)
    world.crash(crashed)
    world.run(8.0)
    assert leader(world) != crashed
    assert set(owner_counts(world).values()) == {1} and len(owner_counts(world)) == len(members)
    other = next(m for m in members if m != crashed)
    # Its teams are served meanwhile, and their cancellations stay in force.
    for n in range(4):
        assert world.submit(spec(f"j-00010{n}", tasks=2, team=f"team-{n}"), other) == 201
    assert world.cancel("j-000003", other) == "cancelled"
    world.run(52.0)
    assert all(world.poll(f"j-00010{n}", other) == "done" for n in range(4))
    node = world.nodes[other]
    assert node is not None
    # The status shows operators which shares it owned and who owns them now.
    shares = status_of(node)["shares"]
    held = [s for s in shares if s["home"] == crashed]
    assert held and all(s["owner"] != crashed and s["alive"] for s in held)
    world.start(crashed)
    world.until(lambda: any(s["owner"] == crashed for s in status_of(node)["shares"]), 30)
    world.run(20.0)
    assert len(world.starts) == starts + 8, "no running task was started again"
    assert set(owner_counts(world).values()) == {1} and not world.violations


@pytest.mark.parametrize("second", ["crash", "freeze", "cut"])
def test_second_controller_fails_while_one_is_down(second: str) -> None:
    world = world_with_replicas(FIVE_MEMBERS, 12)
    crashed, other = FIVE_MEMBERS[0], FIVE_MEMBERS[1]
    world.crash(crashed)
    world.run(10.0)
    if second == "crash":
        world.crash(other)
        world.after(8.0, lambda: world.start(other))
    elif second == "freeze":
        world.freeze(other, 9.0)
    else:
        pairs = [frozenset((other, m)) for m in (*FIVE_MEMBERS, "state") if m != other]
        world.cut_links.update(pairs)
        world.after(9.0, lambda: world.cut_links.difference_update(pairs))
    world.run(7.0)
    user = FIVE_MEMBERS[2]
    for n in range(4):
        world.submit(spec(f"j-00020{n}", tasks=1, team=f"team-{n}"), user)
    world.run(25.0)
    for n in range(4):
        assert world.poll(f"j-00020{n}", user) == "done"
        assert world.poll(f"j-00000{n}", user) == "running"
    assert set(owner_counts(world).values()) == {1} and not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("seconds", [5.0, 20.0])
@pytest.mark.parametrize("pause_twice", [False, True], ids=["once", "twice"])
def test_paused_leader_keeps_one_owner_per_share_and_all_tasks(
    members: tuple[str, ...], seconds: float, pause_twice: bool
) -> None:
    """The leader pauses for less or more than a worker's lease; the second pause falls into the
    handback of its shares."""
    world = world_with_replicas(members)
    paused = leader(world)
    world.freeze(paused, seconds)
    if pause_twice:
        world.after(seconds + 0.5, lambda: world.freeze(paused, seconds))
    for _ in range(2 if pause_twice else 1):
        world.run(seconds + 0.6)
    world.run(20.0)
    assert set(owner_counts(world).values()) == {1} and len(owner_counts(world)) == len(members)
    for n in range(4):
        world.submit(spec(f"j-00030{n}", tasks=1, team=f"team-{n}"), members[-1])
    world.until(lambda: all(world.poll(f"j-00030{n}") == "done" for n in range(4)), 30)
    assert len(world.on_machines()) == 8 and not world.violations


@CLUSTER_SIZES
def test_new_leader_pauses_during_its_takeover(members: tuple[str, ...]) -> None:
    world = world_with_replicas(members)
    crashed = leader(world)
    world.crash(crashed)
    world.until(lambda: leader_or_none(world) is not None, 10)
    successor = leader(world)
    world.freeze(successor, 9.0)
    world.run(10.0)
    world.start(crashed)
    world.run(25.0)
    assert set(owner_counts(world).values()) == {1} and len(owner_counts(world)) == len(members)
    for n in range(4):
        assert world.poll(f"j-00000{n}") == "running"
    assert not world.violations


def leader_or_none(world: World) -> str | None:
    """Returns the member that leads, or None."""
    return next(
        (m for m, n in world.nodes.items() if n is not None and n.fleet_planner.leadership.leading),
        None,
    )


@CLUSTER_SIZES
@pytest.mark.parametrize(
    "cut_off_from", ["state", "workers", "peers", "refused", "state and peers"]
)
def test_controller_cut_off_from_one_dependency_keeps_all_worker_leases(
    members: tuple[str, ...], cut_off_from: str
) -> None:
    # A worker waits 4 s for an answer, and 1 s more before it tries the next node.
    world = world_with_replicas(members, lease_s=12.0)
    cut_member = owner_of_job(world, "j-000000")
    starts = len(world.starts)
    pairs: list[frozenset[str]] = []
    if cut_off_from in ("state", "state and peers"):
        pairs.append(frozenset((cut_member, "state")))
    if cut_off_from in ("peers", "state and peers"):
        pairs += [frozenset((cut_member, m)) for m in members if m != cut_member]
    if cut_off_from == "workers":
        pairs += [frozenset((cut_member, id)) for id in world.workers]
    if cut_off_from == "refused":
        world.state.refused_members.add(cut_member)
    world.cut_links.update(pairs)
    world.run(14.0)
    other = next(m for m in members if m != cut_member)
    assert world.submit(spec("j-000400", tasks=2), other) == 201
    world.run(10.0)
    assert world.poll("j-000400", other) == "done"
    if cut_off_from not in ("workers", "peers"):
        health = world._user(cut_member, t.Health(0))
        assert health is not None and health.status == 503, (
            "the health answer sends users to the other nodes"
        )
    world.cut_links.difference_update(pairs)
    world.state.refused_members.clear()
    world.run(20.0)
    assert len([s for s in world.starts[starts:] if s[1].job != "j-000400"]) == 0, (
        "no worker lost its lease"
    )
    assert set(owner_counts(world).values()) == {1} and not world.violations


@CLUSTER_SIZES
def test_every_controller_answers_for_every_job_after_failures_end(
    members: tuple[str, ...],
) -> None:
    """After the failures end, no accepted job may stay without an answer for 75 s."""
    world = world_with_replicas(members)
    for m in members[:2]:
        world.crash(m)
    world.state.outage(True)
    world.inbound_cut |= set(list(world.workers)[:3])
    world.run(15.0)
    world.state.outage(False)
    for m in members[:2]:
        world.start(m)
    world.inbound_cut.clear()
    world.run(10.0)
    for m in members:
        assert all(world.poll(f"j-00000{n}", m) in ("queued", "running") for n in range(4))
    world.run(30.0)
    assert all(world.poll(f"j-00000{n}") == "running" for n in range(4)) and not world.violations


def test_concurrent_polls_share_their_reads() -> None:
    world = started_world(machines=3)
    world.submit(spec("j-000500", tasks=2, estimate_s=500.0))
    node = world.nodes["n0"]
    assert node is not None
    now, reads, answers = world.now, 0, 0
    for n in range(400):
        for effect in node.handle(now + n / 1000, t.Poll(50_000 + n, "j-000500")):
            reads += isinstance(effect, t.Follow)
            answers += isinstance(effect, t.UserAnswer)
            if isinstance(effect, t.UserAnswer):
                assert effect.status == 503 and effect.retry_after, "refused immediately"
    assert reads <= 2, "the number of state requests does not grow with the number of polls"
    healthy = node.handle(now + 0.5, t.Health(60_000))
    assert [e.status for e in healthy if isinstance(e, t.UserAnswer)] == [200]


def test_small_job_costs_two_writes() -> None:
    world = started_world(machines=3)
    world.run(2.0)
    before = sum(1 for key, _, _ in world.state.log if key.startswith(("rc/job/", "rc/done/")))
    for n in range(10):
        world.submit(spec(f"j-00060{n}", tasks=1, team=f"team-{n % 4}", estimate_s=1.0))
    world.until(lambda: all(world.poll(f"j-00060{n}") == "done" for n in range(10)), 40)
    after = sum(1 for key, _, _ in world.state.log if key.startswith(("rc/job/", "rc/done/")))
    assert after - before == 20 and not world.violations


def test_lowest_rank_job_begins_on_a_full_fleet() -> None:
    """Even the largest job of the lowest rank begins within four minutes, behind a steady stream of
    work of a higher rank."""
    world = started_world(machines=3, cpus_max=100.0)
    world.submit(
        spec("j-000700", tasks=200, team="team-3", rank=3, cpus=0.25, memory=0.5, estimate_s=4.0)
    )
    number = 800
    end = world.now + 240.0
    while world.now < end and not any(s[1].job == "j-000700" for s in world.starts):
        for team in range(4):
            number += 1
            job = spec(
                f"j-{number:06d}",
                tasks=4,
                team=f"team-{team}",
                rank=1,
                cpus=2.0,
                estimate_s=2.0,
                deadline_s=30.0,
            )
            world.specs[job.uid] = job
            world.ask("user", "n0", t.Submit(0, job.uid, job), lambda answer: None)
        world.run(1.0)
    assert any(s[1].job == "j-000700" for s in world.starts) and not world.violations
