"""Measures divisions in the scripted world, at several sizes.

    python3 tools/measure_entitlements_world.py MACHINES [--off] [--seed 1]

Two organisations ask for far more than there is; one is raised from a half to three quarters.
Prints the time until both hold their targets, machines moved against the least that would have
done, requests to the state service meanwhile, and processor time of the leader's plans. With --off
the same work runs without organisations, for its processor time.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from world import World, spec  # noqa: E402
from world_pool import DEALERS, REGISTRY, TEAMS, PoolWorld  # noqa: E402

from runcourse.config import Operators  # noqa: E402
from runcourse.core.leader.rental import Rental  # noqa: E402
from runcourse.core.types import Commit, Follow  # noqa: E402

RAISED = {DEALERS: 1.0, REGISTRY: 3.0}
SETTLE_S = 30.0
LIMIT_S = 300.0


class PlanTimer:
    """Processor time of the leader's plans."""

    def __init__(self) -> None:
        self.took: list[float] = []
        plan = Rental._plan

        def timed(rental: Rental) -> None:
            began = time.process_time()
            plan(rental)
            self.took.append(time.process_time() - began)

        Rental._plan = timed  # type: ignore[method-assign]

    def told(self) -> dict[str, float]:
        """Median and longest, in milliseconds."""
        ordered = sorted(self.took)
        return {
            "plans": len(ordered),
            "median_ms": round(1000 * ordered[len(ordered) // 2], 2),
            "longest_ms": round(1000 * ordered[-1], 2),
        }


def counted(world: World) -> dict[str, int]:
    """Requests to the state service from now on, by kind."""
    counts = {"reads": 0, "commits": 0}
    serve = world.state.serve

    def noting(member: str, effect: Any) -> Any:
        counts["reads"] += isinstance(effect, Follow)
        counts["commits"] += isinstance(effect, Commit)
        return serve(member, effect)

    world.state.serve = noting  # type: ignore[method-assign]
    return counts


def submit(world: World, machines: int) -> None:
    """Twenty machines' worth of waiting tasks for each machine."""
    for n, team in enumerate(team for teams in TEAMS.values() for team in teams):
        changes = {"team": team, "cpus": 4.0, "estimate_s": 5.0}
        world.submit(spec(f"j-{n:06d}", tasks=20 * machines, **changes))


def transfers(world: World) -> int:
    """Changes of a machine's share so far."""
    shares: dict[str, int] = {}
    moved = 0
    for key, value, _ in world.state.log:
        if key.startswith("rc/machine/") and value and "share" in value:
            moved += shares.get(key, value["share"]) != value["share"]
            shares[key] = value["share"]
    return moved


def measure(machines: int, seed: int, on: bool) -> dict[str, Any]:
    """Let the work run, raise one organisation, and let it run on."""
    timer = PlanTimer()
    values: dict[str, Any] = {"cpus_max": 1e6, "operators": Operators(idle_return=1e6)}
    world: Any = (
        PoolWorld(machines=machines, seed=seed, **values)
        if on
        else World(machines=machines, seed=seed, **values)
    )
    world.until(lambda: sum(k.startswith("rc/machine/") for k in world.state.data) == machines, 60)
    world.run(5.0)
    submit(world, machines)
    world.run(SETTLE_S)
    result: dict[str, Any] = {"machines": machines, "on": on, "seed": seed}
    before, began, counts = transfers(world), time.process_time(), counted(world)
    if on:
        lacking = machines * 3 // 4 - world.holdings()[REGISTRY]
        answer = world.apply(RAISED, 0)
        assert answer is not None and answer.result == "ok", answer
        at = world.now
        wanted = {"dealers": machines // 4, "registry": machines - machines // 4}
        world.until(lambda: world.holdings_near(**wanted), LIMIT_S)
        result |= {
            "converged_s": round(world.now - at, 1),
            "moved": transfers(world) - before,
            "least": lacking,
            "counted_twice": len(world.checker.counted_twice),
            "requests": dict(counts),
        }
    world.run(SETTLE_S)
    result |= {
        "moved_after_all": transfers(world) - before,
        "broken": world.violations,
        "cpu_s": round(time.process_time() - began, 1),
        "plans": timer.told(),
    }
    return result


def main() -> None:
    """Measure once and print the figures as JSON."""
    parser = argparse.ArgumentParser(description="Measure divisions in the scripted world.")
    parser.add_argument("machines", type=int)
    parser.add_argument("--off", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(json.dumps(measure(args.machines, args.seed, not args.off)))


if __name__ == "__main__":
    main()
