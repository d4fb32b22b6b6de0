"""Without an entitlements file the service decides as the version before did."""

from __future__ import annotations

import random
from typing import Any

import pytest
from mixed_versions import needs_pre_division_history
from random_failures import ACTIONS, run_action
from world import FIVE_MEMBERS, MEMBERS, World

from runcourse.core.stored_values import LIVE

STEPS = 25


def played(seed: int, before_divisions: bool) -> dict[str, Any]:
    """What came of a long random story, and how far the random numbers were drawn."""
    members = (MEMBERS, FIVE_MEMBERS)[seed % 2]
    world = World(
        seed=seed, machines=9, members=members, before_divisions=before_divisions, cpus_max=24.0
    )
    world.run(3.0)
    plot = random.Random(seed)
    for number in range(STEPS):
        action = "submit" if number % 3 == 0 else plot.choice(ACTIONS)
        run_action(world, action, plot.randrange(40), number)
        world.run(plot.uniform(0.05, 4.0))
    world.run(20.0)
    assert not world.violations
    return {
        "starts": world.starts,
        "told": world.last_stages,
        "machines": sorted(world.workers),
        "stored": {k: v for k, v in world.state.data.items() if not k.startswith(LIVE)},
        "draws": [
            node.context.rng.getstate() if node is not None else None
            for node in world.nodes.values()
        ],
        "world": world.rng.getstate(),
    }


@needs_pre_division_history
@pytest.mark.parametrize("seed", range(12))
def test_the_same_decisions_in_the_same_order_of_draws(seed: int) -> None:
    now, before = played(seed, False), played(seed, True)
    for what in now:
        assert now[what] == before[what], what
    assert len(now["starts"]) > STEPS / 5
