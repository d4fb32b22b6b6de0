"""Random interleavings of failures: the invariants hold, and no accepted job is lost."""

from unittest.mock import patch

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from random_failures import ACTIONS, locality, run_action
from world import CANCEL_S, FIVE_MEMBERS, MEMBERS, World
from world_pool import CountingChecker
from world_pool import settings as organisations

from runcourse.config import Operators

steps = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 40), st.floats(0.05, 4.0)),
    min_size=6,
    max_size=22,
)


@settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.explicit, Phase.generate),  # shrinking a whole script takes too long for CI
    suppress_health_check=list(HealthCheck),
)
@given(steps, st.integers(0, 1000), st.sampled_from((MEMBERS, FIVE_MEMBERS)))
def test_rules_hold_whatever_fails(
    script: list[tuple[str, int, float]], seed: int, members: tuple[str, ...]
) -> None:
    with patch("runcourse.core.migrations.MIN_RUNTIME_S", 1.0):
        play(script, seed, members)


def play(script: list[tuple[str, int, float]], seed: int, members: tuple[str, ...]) -> None:
    # Half of the scenarios move running work, and half have two organisations.
    moving = seed % 2 == 0
    divided = seed % 4 in (1, 2)
    world = World(
        seed=seed,
        machines=15 if moving else 5,
        members=members,
        cpus_max=16.0 if moving else 8.0,
        locality=locality(seed) if moving else None,
        operators=Operators(idle_return=1e6) if moving else None,
        entitlements=organisations() if divided else None,
    )
    checker = CountingChecker(world)
    world.run(2.0)
    if moving:
        for n in range(900, 904):
            run_action(world, "long", n, n)
        world.run(3.0)
    for number, (action, pick, pause) in enumerate(script):
        run_action(world, action, pick, number)
        if divided and number % 3 == 0:
            run_action(world, "divide", number, number)
        if moving and number % 2:
            run_action(world, "source_moves", number // 2, number)
        world.run(pause)
        assert not world.violations
        assert not checker.counted_twice
    world.run(12.0)
    if world.state.down or world.state.refused_members:
        world.run(CANCEL_S)
        assert not world.violations
    world.cut_links.clear()
    world.inbound_cut.clear()
    world.outbound_cut.clear()
    world.loss_rate = world.lost_answers = 0.0
    world.deliver_held()
    world.run(30.0)
    world.deliver_held()
    world.run(5.0)
    assert not world.violations
    assert not checker.counted_twice
    # Services may use up a team's limit; they are cancelled first so that every array can finish.
    for uid in [
        u
        for u, last_stage in world.last_stages.items()
        if last_stage not in ("cancelled", "unknown")
    ]:
        if world.specs[uid].service or uid in world.failing_jobs:
            world.until(lambda uid=uid: world.cancel(uid, "n2") == "cancelled", 10)  # type: ignore[misc]
    for uid, last_stage in list(world.last_stages.items()):
        stage = world.poll(uid, "n1")
        assert stage != "?"
        endless = world.specs[uid].service or uid in world.failing_jobs
        if not endless and last_stage not in ("cancelled", "unknown"):
            world.until(
                lambda uid=uid: world.poll(uid) in ("done", "cancelled"),  # type: ignore[misc]
                90,
            )
    assert not world.violations
