"""Measures changes of the division in the simulated world of the tests.

    python3 tools/measure_entitlements_world.py MACHINES [--off] [--seed 1]

Two organisations request far more than the fleet has; the share of one is raised from a half to
three quarters. Prints the time until both hold their targets, the machines moved and the least
number of moves that would have sufficed, the requests to the state service meanwhile, and the CPU
time of the leader's plans. With --off the same work runs without organisations, to compare the CPU
time.
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
from runcourse.core.leader.fleet_planner import FleetPlanner  # noqa: E402
from runcourse.core.types import Commit, Follow  # noqa: E402

RAISED_WEIGHTS = {DEALERS: 1.0, REGISTRY: 3.0}
SETTLE_S = 30.0
CONVERGENCE_TIMEOUT_S = 300.0
ADOPTION_TIMEOUT_S = 60
ADOPTION_SETTLE_S = 5.0
TASKS_PER_MACHINE = 20
TASK_CPUS = 4.0  # a whole machine
TASK_ESTIMATE_S = 5.0
CPUS_MAX = 1e6  # of a team, never reached
NO_IDLE_RETURN_S = 1e6  # longer than any run: empty machines stay


class PlanTimer:
    """Records the CPU time of each of the leader's plans."""

    def __init__(self) -> None:
        self.durations: list[float] = []
        plan = FleetPlanner._plan

        def timed(planner: FleetPlanner) -> None:
            started = time.process_time()
            plan(planner)
            self.durations.append(time.process_time() - started)

        FleetPlanner._plan = timed  # type: ignore[method-assign]

    def summary(self) -> dict[str, float]:
        """Returns the number of plans, their median and their longest time in milliseconds."""
        ordered = sorted(self.durations)
        return {
            "plans": len(ordered),
            "median_ms": round(1000 * ordered[len(ordered) // 2], 2),
            "longest_ms": round(1000 * ordered[-1], 2),
        }


def count_state_requests(world: World) -> dict[str, int]:
    """Returns a counter of the requests to the state service, by kind, that is kept up to date."""
    counts = {"reads": 0, "commits": 0}
    serve = world.state.serve

    def counting(member: str, effect: Any) -> Any:
        counts["reads"] += isinstance(effect, Follow)
        counts["commits"] += isinstance(effect, Commit)
        return serve(member, effect)

    world.state.serve = counting  # type: ignore[method-assign]
    return counts


def submit(world: World, machines: int) -> None:
    """Submits one array per team, with 20 tasks per machine that each take a whole machine."""
    for number, team in enumerate(team for teams in TEAMS.values() for team in teams):
        changes = {"team": team, "cpus": TASK_CPUS, "estimate_s": TASK_ESTIMATE_S}
        world.submit(spec(f"j-{number:06d}", tasks=TASKS_PER_MACHINE * machines, **changes))


def transfers(world: World) -> int:
    """Returns how often a machine has changed its share so far."""
    shares: dict[str, int] = {}
    moved = 0
    for key, value, _ in world.state.log:
        if key.startswith("rc/machine/") and value and "share" in value:
            moved += shares.get(key, value["share"]) != value["share"]
            shares[key] = value["share"]
    return moved


def measure(machines: int, seed: int, on: bool) -> dict[str, Any]:
    """Runs the work, raises the weight of one organisation and runs on."""
    timer = PlanTimer()
    values: dict[str, Any] = {
        "cpus_max": CPUS_MAX,
        "operators": Operators(idle_return=NO_IDLE_RETURN_S),
    }
    world: Any = (
        PoolWorld(machines=machines, seed=seed, **values)
        if on
        else World(machines=machines, seed=seed, **values)
    )
    world.until(
        lambda: sum(k.startswith("rc/machine/") for k in world.state.data) == machines,
        ADOPTION_TIMEOUT_S,
    )
    world.run(ADOPTION_SETTLE_S)
    submit(world, machines)
    world.run(SETTLE_S)
    result: dict[str, Any] = {"machines": machines, "on": on, "seed": seed}
    before, started, counts = transfers(world), time.process_time(), count_state_requests(world)
    if on:
        least_moves = machines * 3 // 4 - world.holdings()[REGISTRY]
        answer = world.apply(RAISED_WEIGHTS, 0)
        assert answer is not None and answer.result == "ok", answer
        applied_at = world.now
        wanted = {"dealers": machines // 4, "registry": machines - machines // 4}
        world.until(lambda: world.holdings_near(**wanted), CONVERGENCE_TIMEOUT_S)
        result |= {
            "converged_s": round(world.now - applied_at, 1),
            "moved": transfers(world) - before,
            "least": least_moves,
            "counted_twice": len(world.checker.counted_twice),
            "requests": dict(counts),
        }
    world.run(SETTLE_S)
    result |= {
        "moved_after_all": transfers(world) - before,
        "broken": world.violations,
        "cpu_s": round(time.process_time() - started, 1),
        "plans": timer.summary(),
    }
    return result


def main() -> None:
    """Measures once and prints the figures as JSON."""
    parser = argparse.ArgumentParser(
        description="Measure changes of the division in the simulated world."
    )
    parser.add_argument("machines", type=int)
    parser.add_argument("--off", action="store_true", help="run without organisations")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(json.dumps(measure(args.machines, args.seed, not args.off)))


if __name__ == "__main__":
    main()
