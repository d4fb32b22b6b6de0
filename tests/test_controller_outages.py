"""Long nights: a controller away, standing still or cut off from one thing, guests, polls."""

from collections import Counter

import pytest
from failing_parts import CLUSTER_SIZES
from test_failures import ready
from test_faulty_jobs_and_late_writes import owner_of_job
from world import FIVE_MEMBERS, World, spec

from runcourse.core import types as t
from runcourse.core.status import status_of


def busy(members: tuple[str, ...], machines: int = 9, **settings: float) -> World:
    """Replicas of four teams run, so that every restart shows."""
    world = World(machines=machines, members=members, cpus_max=100.0, **settings)
    world.run(4.0)
    for n in range(4):
        world.submit(spec(f"j-00000{n}", tasks=2, team=f"team-{n}", service=True, rank=0))
    world.until(lambda: len(world.on_machines()) == 8, 20)
    world.run(2.0)
    return world


def leader(world: World) -> str:
    return next(m for m, n in world.nodes.items() if n is not None and n.rental.leadership.leading)


def owners(world: World) -> Counter[str]:
    """How many controllers command each share."""
    return Counter(
        f"share {s}"
        for n in world.nodes.values()
        if n is not None
        for s in n.shares.owned
        if n.shares.may_command(s)
    )


@CLUSTER_SIZES
def test_a_controller_away_for_a_minute_costs_no_task(members: tuple[str, ...]) -> None:
    world = busy(members)
    away = leader(world)
    starts = len(world.starts)
    world.crash(away)
    world.run(8.0)
    assert leader(world) != away
    assert set(owners(world).values()) == {1} and len(owners(world)) == len(members)
    other = next(m for m in members if m != away)
    # Its teams are served meanwhile, and their cancellations kept.
    for n in range(4):
        assert world.submit(spec(f"j-00010{n}", tasks=2, team=f"team-{n}"), other) == 201
    assert world.cancel("j-000003", other) == "cancelled"
    world.run(52.0)
    assert all(world.poll(f"j-00010{n}", other) == "done" for n in range(4))
    node = world.nodes[other]
    assert node is not None
    # Whoever is on call sees what it held, and who holds it now.
    shares = status_of(node)["shares"]
    held = [s for s in shares if s["home"] == away]
    assert held and all(s["owner"] != away and s["alive"] for s in held)
    world.start(away)
    world.until(lambda: any(s["owner"] == away for s in status_of(node)["shares"]), 30)
    world.run(20.0)
    assert len(world.starts) == starts + 8, "nothing that ran was started anew"
    assert set(owners(world).values()) == {1} and not world.violations


@pytest.mark.parametrize("second", ["crash", "freeze", "cut"])
def test_a_second_controller_in_trouble_while_one_is_away(second: str) -> None:
    world = busy(FIVE_MEMBERS, 12)
    away, other = FIVE_MEMBERS[0], FIVE_MEMBERS[1]
    world.crash(away)
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
    assert set(owners(world).values()) == {1} and not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("seconds", [5.0, 20.0])
@pytest.mark.parametrize("again", [False, True], ids=["once", "twice"])
def test_the_leader_stands_still(members: tuple[str, ...], seconds: float, again: bool) -> None:
    """Shorter and longer than a worker's lease; the second time while its shares go back."""
    world = busy(members)
    still = leader(world)
    world.freeze(still, seconds)
    if again:
        world.after(seconds + 0.5, lambda: world.freeze(still, seconds))
    for _ in range(2 if again else 1):
        world.run(seconds + 0.6)
    world.run(20.0)
    assert set(owners(world).values()) == {1} and len(owners(world)) == len(members)
    for n in range(4):
        world.submit(spec(f"j-00030{n}", tasks=1, team=f"team-{n}"), members[-1])
    world.until(lambda: all(world.poll(f"j-00030{n}") == "done" for n in range(4)), 30)
    assert len(world.on_machines()) == 8 and not world.violations


@CLUSTER_SIZES
def test_who_takes_over_stands_still_half_way(members: tuple[str, ...]) -> None:
    world = busy(members)
    away = leader(world)
    world.crash(away)
    world.until(lambda: leader_or_none(world) is not None, 10)
    taker = leader(world)
    world.freeze(taker, 9.0)
    world.run(10.0)
    world.start(away)
    world.run(25.0)
    assert set(owners(world).values()) == {1} and len(owners(world)) == len(members)
    for n in range(4):
        assert world.poll(f"j-00000{n}") == "running"
    assert not world.violations


def leader_or_none(world: World) -> str | None:
    return next(
        (m for m, n in world.nodes.items() if n is not None and n.rental.leadership.leading), None
    )


@CLUSTER_SIZES
@pytest.mark.parametrize("what", ["state", "workers", "peers", "refused", "state and peers"])
def test_a_controller_cut_off_from_one_thing_only(members: tuple[str, ...], what: str) -> None:
    # A worker without an answer waits 4 s, and 1 s until it tries the next node.
    world = busy(members, lease_s=12.0)
    cut = owner_of_job(world, "j-000000")
    starts = len(world.starts)
    pairs: list[frozenset[str]] = []
    if what in ("state", "state and peers"):
        pairs.append(frozenset((cut, "state")))
    if what in ("peers", "state and peers"):
        pairs += [frozenset((cut, m)) for m in members if m != cut]
    if what == "workers":
        pairs += [frozenset((cut, id)) for id in world.workers]
    if what == "refused":
        world.state.refused_members.add(cut)
    world.cut_links.update(pairs)
    world.run(14.0)
    other = next(m for m in members if m != cut)
    assert world.submit(spec("j-000400", tasks=2), other) == 201
    world.run(10.0)
    assert world.poll("j-000400", other) == "done"
    if what not in ("workers", "peers"):
        health = world._user(cut, t.Health(0))
        assert health is not None and health.status == 503, "users are sent to the others"
    world.cut_links.difference_update(pairs)
    world.state.refused_members.clear()
    world.run(20.0)
    assert len([s for s in world.starts[starts:] if s[1].job != "j-000400"]) == 0, "no lease lost"
    assert set(owners(world).values()) == {1} and not world.violations


@CLUSTER_SIZES
def test_after_the_troubles_every_job_is_answered_for_by_every_controller(
    members: tuple[str, ...],
) -> None:
    """No accepted job may go without an answer for 75 s once they are over."""
    world = busy(members)
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


def test_many_polls_share_their_reads() -> None:
    world = ready(machines=3)
    world.submit(spec("j-000500", tasks=2, estimate_s=500.0))
    node = world.nodes["n0"]
    assert node is not None
    now, reads, answers = world.now, 0, 0
    for n in range(400):
        for effect in node.handle(now + n / 1000, t.Poll(50_000 + n, "j-000500")):
            reads += isinstance(effect, t.Follow)
            answers += isinstance(effect, t.UserAnswer)
            if isinstance(effect, t.UserAnswer):
                assert effect.status == 503 and effect.retry_after, "refused at once"
    assert reads <= 2, "state requests don't grow with polls"
    healthy = node.handle(now + 0.5, t.Health(60_000))
    assert [e.status for e in healthy if isinstance(e, t.UserAnswer)] == [200]


def test_a_small_job_costs_two_changes() -> None:
    world = ready(machines=3)
    world.run(2.0)
    before = sum(1 for key, _, _ in world.state.log if key.startswith(("rc/job/", "rc/done/")))
    for n in range(10):
        world.submit(spec(f"j-00060{n}", tasks=1, team=f"team-{n % 4}", estimate_s=1.0))
    world.until(lambda: all(world.poll(f"j-00060{n}") == "done" for n in range(10)), 40)
    after = sum(1 for key, _, _ in world.state.log if key.startswith(("rc/job/", "rc/done/")))
    assert after - before == 20 and not world.violations


def test_a_guest_below_everything_begins_on_a_full_fleet() -> None:
    """The largest too, within four minutes, behind a steady stream of work that ranks higher."""
    world = ready(machines=3, cpus_max=100.0)
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
