"""Measures the locality policy in the simulated world of the tests, over an hour of its time.

    python3 tools/measure_locality_world.py WORKERS [--off] [--seconds 3600] [--seed 1]

A data source that team-0 and team-3 read changes its zone every twenty minutes. Prints the moves,
the time until nine tenths of the tasks that read the source run in its zone again, and CPU time.
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
SOURCE_MOVE_INTERVAL_S = 1200.0  # between two changes of the source's zone
STEP_S = 5.0
LOCAL_AGAIN_FRACTION = 0.9
TASK_ESTIMATE_S = 7200.0  # long enough that all tasks still run when the source moves
CHECKPOINT_INTERVAL_S = 5.0
CHECKPOINT_COST_S = 0.5
START_S = 10.0  # before the first submission
SUBMIT_INTERVAL_S = 0.2
READER_JOB_INTERVAL = 6  # one of six jobs reads the source
CPUS_MAX = 1e6  # of a team, never reached
NO_IDLE_RETURN_S = 1e6  # longer than any run: empty machines stay
SOURCE_GB = 1000.0
LOCAL_GB_PER_S = 10.0
REMOTE_GB_PER_S = 0.5
MOVES_PER_HOUR = 720.0
FLAP_WINDOW_S = 600.0


class TurnTimer:
    """Adds up the CPU time of the scheduler's turns and ticks."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.calls = 0
        for name in ("turn", "tick"):
            setattr(Scheduler, name, self._timed(getattr(Scheduler, name)))

    def _timed(self, method: Any) -> Any:
        def timed(scheduler: Scheduler) -> None:
            started = time.process_time()
            method(scheduler)
            self.seconds += time.process_time() - started
            self.calls += 1

        return timed


def settings(zone: str, on: bool) -> LocalitySettings:
    """Returns the default settings with a source, and with a budget of moves for large shares."""
    source = Source("store", (zone,), SOURCE_GB, LOCAL_GB_PER_S, REMOTE_GB_PER_S, teams=READERS)
    return LocalitySettings(
        sources=(source,),
        weight=1.0 if on else 0.0,
        moves_per_hour=MOVES_PER_HOUR,
        flap_window=FLAP_WINDOW_S,
    )


def local_fraction(world: World, zone: str) -> float:
    """Returns the fraction of the source's running readers that run in the zone; 1 without any."""
    zones = [
        worker.zone
        for worker in world.workers.values()
        for (task, _), entry in worker.tasks.items()
        if entry[0] == "running" and world.specs[task.job].team in READERS
    ]
    return sum(z == zone for z in zones) / len(zones) if zones else 1.0


def measure(workers: int, seconds: float, seed: int, on: bool) -> dict[str, Any]:
    """Runs the simulation and returns its figures."""
    timer = TurnTimer()
    world = World(
        seed=seed,
        machines=workers,
        cpus_max=CPUS_MAX,
        locality=settings("a", on),
        operators=Operators(idle_return=NO_IDLE_RETURN_S),
        machine_zones="aaabbb",  # distributed over three shares, so that each has both zones
    )
    world.run(START_S)
    # The readers fit into one zone of their share; the other jobs use two fifths of all CPUs.
    for n in range(workers):
        team = (
            READERS[n // READER_JOB_INTERVAL % 2]
            if n % READER_JOB_INTERVAL == 0
            else f"team-{1 + n % 2}"
        )
        changes = {
            "checkpoint_s": CHECKPOINT_INTERVAL_S,
            "save_s": CHECKPOINT_COST_S,
            "estimate_s": TASK_ESTIMATE_S,
            "cpus": 1.0,
        }
        world.submit(spec(f"j-{n:06d}", tasks=2, team=team, **changes))
        world.run(SUBMIT_INTERVAL_S)
    zone, recovery_s, moved_at = "a", [], 0.0
    started = time.process_time()
    while world.now < seconds:
        before = world.now
        world.run(STEP_S)
        if int(world.now / SOURCE_MOVE_INTERVAL_S) > int(before / SOURCE_MOVE_INTERVAL_S):
            zone = "b" if zone == "a" else "a"
            world.reload(settings(zone, on))
            moved_at = world.now
        elif moved_at and local_fraction(world, zone) >= LOCAL_AGAIN_FRACTION:
            recovery_s.append(world.now - moved_at)
            moved_at = 0.0
    moves = [n.scheduler.migrations.counts for n in world.nodes.values() if n is not None]
    return {
        "workers": workers,
        "on": on,
        "seed": seed,
        "broken": world.violations,
        "begun": sum(m["begun"] for m in moves),
        "given_up": sum(m["given up"] for m in moves),
        "near_again_s": [round(recovery) for recovery in recovery_s],
        "near_at_the_end": round(local_fraction(world, zone), 2),
        "cpu_s": round(time.process_time() - started, 1),
        "scheduler_us_per_call": round(1e6 * timer.seconds / max(timer.calls, 1), 1),
    }


def main() -> None:
    """Measures once and prints the figures as JSON."""
    parser = argparse.ArgumentParser(
        description="Measure the locality policy in the simulated world."
    )
    parser.add_argument("workers", type=int)
    parser.add_argument("--off", action="store_true", help="set the weight of locality to 0")
    parser.add_argument("--seconds", type=float, default=3600.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(json.dumps(measure(args.workers, args.seconds, args.seed, not args.off)))


if __name__ == "__main__":
    main()
