"""Tests that without an entitlements file the service decides as the former version does."""

from __future__ import annotations

import random
from typing import Any

import pytest
from mixed_versions import needs_pre_division_history
from random_failures import ACTIONS, run_action
from world import FIVE_MEMBERS, MEMBERS, World

from runcourse.core.stored_values import LIVE

STEPS = 25  # random actions per scenario


def run_random_scenario(seed: int, before_divisions: bool) -> dict[str, Any]:
    """Returns the results of a long random scenario and the states of its random generators."""
    members = (MEMBERS, FIVE_MEMBERS)[seed % 2]
    world = World(
        seed=seed, machines=9, members=members, before_divisions=before_divisions, cpus_max=24.0
    )
    world.run(3.0)
    scenario_rng = random.Random(seed)
    for number in range(STEPS):
        action = "submit" if number % 3 == 0 else scenario_rng.choice(ACTIONS)
        run_action(world, action, scenario_rng.randrange(40), number)
        world.run(scenario_rng.uniform(0.05, 4.0))
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
def test_decisions_and_random_draws_equal_those_of_the_former_version(seed: int) -> None:
    present, former = run_random_scenario(seed, False), run_random_scenario(seed, True)
    for key in present:
        assert present[key] == former[key], key
    assert len(present["starts"]) > STEPS / 5
