"""Measures the locality policy in the scripted world: an hour of its time, at several sizes.

    python3 tools/measure_locality_world.py WORKERS [--off] [--seconds 3600] [--seed 1]

One source that team-0 and team-3 read changes its zone every twenty minutes. Prints moves, the time
until nine tenths of what reads the source runs near it again, and processor time.
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

from runcourse.config import Operators  # noqa: E402
from runcourse.core.scheduler import Scheduler  # noqa: E402
from runcourse.locality.settings import LocalitySettings, Source  # noqa: E402

READERS = ("team-0", "team-3")
EVERY_S = 1200.0  # between two moves of the source
STEP_S = 5.0
NEAR = 0.9
LONG_S = 7200.0  # an array's task: all still run when the source moves


class TurnTimer:
    """Processor time of the scheduler's turns and ticks."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.calls = 0
        for name in ("turn", "tick"):
            setattr(Scheduler, name, self._timed(getattr(Scheduler, name)))

    def _timed(self, method: Any) -> Any:
        def timed(scheduler: Scheduler) -> None:
            began = time.process_time()
            method(scheduler)
            self.seconds += time.process_time() - began
            self.calls += 1

        return timed


def settings(zone: str, on: bool) -> LocalitySettings:
    """The defaults, but for the source and for the moves that so large a share needs."""
    source = Source("store", (zone,), 1000.0, 10.0, 0.5, teams=READERS)
    return LocalitySettings(
        sources=(source,), weight=1.0 if on else 0.0, moves_per_hour=720.0, flap_window=600.0
    )


def near(world: World, zone: str) -> float:
    """The part of the tasks that read the source and run in its zone."""
    zones = [
        worker.zone
        for worker in world.workers.values()
        for (task, _), entry in worker.tasks.items()
        if entry[0] == "running" and world.specs[task.job].team in READERS
    ]
    return sum(z == zone for z in zones) / len(zones) if zones else 1.0


def measure(workers: int, seconds: float, seed: int, on: bool) -> dict[str, Any]:
    """Play the hour."""
    timer = TurnTimer()
    world = World(
        seed=seed,
        machines=workers,
        cpus_max=1e6,
        locality=settings("a", on),
        operators=Operators(idle_return=1e6),
        machine_zones="aaabbb",  # dealt to three shares: each has either zone
    )
    world.run(10.0)
    # Readers that fit into one zone of their share; others for two fifths of all CPUs.
    for n in range(workers):
        team = READERS[n // 6 % 2] if n % 6 == 0 else f"team-{1 + n % 2}"
        changes = {"checkpoint_s": 5.0, "save_s": 0.5, "estimate_s": LONG_S, "cpus": 1.0}
        world.submit(spec(f"j-{n:06d}", tasks=2, team=team, **changes))
        world.run(0.2)
    zone, back, moved_at = "a", [], 0.0
    began = time.process_time()
    while world.now < seconds:
        at = world.now
        world.run(STEP_S)
        if int(world.now / EVERY_S) > int(at / EVERY_S):
            zone = "b" if zone == "a" else "a"
            world.reload(settings(zone, on))
            moved_at = world.now
        elif moved_at and near(world, zone) >= NEAR:
            back.append(world.now - moved_at)
            moved_at = 0.0
    moves = [n.scheduler.migrations.counts for n in world.nodes.values() if n is not None]
    return {
        "workers": workers,
        "on": on,
        "seed": seed,
        "broken": world.violations,
        "begun": sum(m["begun"] for m in moves),
        "given_up": sum(m["given up"] for m in moves),
        "near_again_s": [round(b) for b in back],
        "near_at_the_end": round(near(world, zone), 2),
        "cpu_s": round(time.process_time() - began, 1),
        "scheduler_us_per_call": round(1e6 * timer.seconds / max(timer.calls, 1), 1),
    }


def main() -> None:
    """Measure once and print the figures as JSON."""
    parser = argparse.ArgumentParser(description="Measure the locality policy in the world.")
    parser.add_argument("workers", type=int)
    parser.add_argument("--off", action="store_true")
    parser.add_argument("--seconds", type=float, default=3600.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(json.dumps(measure(args.workers, args.seconds, args.seed, not args.off)))


if __name__ == "__main__":
    main()
