"""Measures the load of a fleet on the controllers in the simulated world of the tests.

    python3 tools/measure_scale.py WORKERS [--members 3] [--seconds 20] [--seed 1] [--locality]

Prints one line of JSON: CPU time of the nodes by kind of input, messages between them, requests to
the state service, and the durations of adoption and takeover. `--tree` names another checkout to
measure.
"""

from __future__ import annotations

import argparse
import gc
import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parent.parent
if "--tree" in sys.argv:
    ROOT = Path(sys.argv[sys.argv.index("--tree") + 1]).resolve()
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from world import FIVE_MEMBERS, MEMBERS, World, spec  # noqa: E402

from runcourse.config import Operators  # noqa: E402
from runcourse.core import types as t  # noqa: E402
from runcourse.locality.settings import LocalitySettings, Source  # noqa: E402
from runcourse.wire.peer_messages import encode  # noqa: E402

TEAMS = 4  # teams in the settings of the simulated world
SERVICE_CPU_FRACTION = 0.4  # of the fleet's CPUs, used by replicas
OUTAGE_S = 15.0  # longer than a worker's lease
ARRAY_CPU_FRACTION_PER_S = 0.02  # of the fleet's CPUs, requested by arrays each second
MACHINE_CPUS = 4.0
REPLICA_CPUS = 2
REPLICAS_PER_SERVICE = 20
ARRAY_ESTIMATE_S = 10.0
CHECK_INTERVAL_S = 0.5
CPUS_MAX = 1e9  # of a team, never reached
NO_IDLE_RETURN_S = 1e6  # longer than any run: empty machines stay
ADOPTION_TIMEOUT_S = 300.0
ADOPTION_SETTLE_S = 5.0
WARM_UP_S = 15
SETTLE_TIMEOUT_S = 60.0
RESTART_SETTLE_S = 8.0
OUTAGE_RECOVERY_S = 5.0
RETURN_SETTLE_S = 10.0
RETURN_IDLE_S = 1.0
RETURN_PEAK_WINDOW_S = 1.0
RETURN_TIMEOUT_S = 120.0
RETURN_MIN_S = 20.0
RETURN_STEP_S = 1.0
RETURN_DONE_MACHINES = 5  # a step that returns no more than these ends the measurement
STATE_EFFECTS = (t.Follow, t.ReadAll, t.Commit, t.GrantLease, t.ExtendLease)


class MeasuredWorld(World):
    """The simulated world with counters of the nodes' CPU time and traffic.

    The checks that visit all tasks at each start are left out.
    """

    def __init__(self, *args: Any, **settings: Any) -> None:
        self.cpu: Counter[str] = Counter()
        self.inputs: Counter[str] = Counter()
        self.longest: Counter[str] = Counter()
        self.traffic: Counter[str] = Counter()
        self.state_requests: Counter[str] = Counter()
        super().__init__(*args, **settings)

    def reset_counters(self) -> None:
        """Sets all counters to zero."""
        for counts in (self.cpu, self.inputs, self.longest, self.traffic, self.state_requests):
            counts.clear()

    def feed(self, member: str, event: Any) -> None:
        """Passes an event to a node; records how long it took, and its effects."""
        node = self.nodes[member]
        if node is None:
            return
        kind = type(event).__name__
        started = time.perf_counter()
        effects = node.handle(self.now, event)
        took = time.perf_counter() - started
        self.cpu[kind] += took  # type: ignore[assignment]
        self.inputs[kind] += 1
        self.longest[kind] = max(self.longest[kind], took)  # type: ignore[type-var]
        for effect in effects:
            if isinstance(effect, t.SendToPeer):
                name = type(effect.message).__name__
                size = len(encode(effect.message))
                copies = len(self.members) - 1 if effect.member is None else 1
                self.traffic[name] += size * copies
                self.traffic["longest line"] = max(self.traffic["longest line"], size)
            elif isinstance(effect, STATE_EFFECTS):
                self.state_requests[type(effect).__name__] += 1
            if not isinstance(effect, t.Log):
                self._carry_out(member, effect)

    def check_start(self, worker: Any, task: Any) -> None:
        """Records the start without any check."""
        self.starts.append((self.now, task, worker.id))

    def _watch(self) -> None:
        self.after(CHECK_INTERVAL_S, self._watch)
        self.state.expire()
        for worker in self.workers.values():
            worker.step()

    def send_job(self, number: int, **changes: Any) -> None:
        """Submits a job without waiting for the answer."""
        job = spec(f"j-{number:06d}", team=f"team-{number % TEAMS}", **changes)
        self.specs[job.uid] = job
        member = self.members[number % len(self.members)]
        self.ask("user", member, t.Submit(0, job.uid, job), lambda answer: None)

    def recorded_machines(self) -> int:
        """Returns the number of machines in the state service."""
        return sum(
            key.startswith("rc/machine/") and not value.get("gone")
            for key, (value, _, _) in self.state.data.items()
        )

    def all_settled(self) -> bool:
        """Returns whether every share has an owner that has located its tasks."""
        shares = [s for node in self.nodes.values() if node for s in node.shares.owned.values()]
        return len(shares) == len(self.members) and all(s.settled for s in shares)


def run_arrays(world: MeasuredWorld, seconds: int, first: int, workers: int) -> int:
    """Submits arrays each second; returns the next job number."""
    cpus = workers * MACHINE_CPUS
    for _ in range(seconds):
        for _ in range(TEAMS):
            tasks = max(1, round(cpus * ARRAY_CPU_FRACTION_PER_S / TEAMS))
            world.send_job(first, tasks=tasks, cpus=1.0, memory=4.0, estimate_s=ARRAY_ESTIMATE_S)
            first += 1
        world.run(1.0)
    return first


def locality_settings() -> LocalitySettings:
    """Returns settings with a data source in one of the zones, which two of the teams read."""
    source = Source("store", ("a",), 4.0, 1.0, 0.1, teams=("team-0", "team-3"))
    return LocalitySettings(sources=(source,), moves_per_hour=720.0)


def measure(
    workers: int, members: tuple[str, ...], seconds: int, seed: int, with_locality: bool = False
) -> dict[str, Any]:
    """Measures adoption, load, a takeover, a restart, an outage and the return of machines."""
    # One process holds all nodes and workers; its collections would distort the nodes' CPU time.
    gc.disable()
    world = MeasuredWorld(
        seed=seed,
        machines=workers,
        members=members,
        cpus_max=CPUS_MAX,
        operators=Operators(idle_return=NO_IDLE_RETURN_S),
        locality=locality_settings() if with_locality else None,
    )
    world.until(
        lambda: world.recorded_machines() >= workers and world.all_settled(), ADOPTION_TIMEOUT_S
    )
    result: dict[str, Any] = {"workers": workers, "members": len(members), "seed": seed}
    result["locality"] = with_locality
    result["adopted_s"] = round(world.now, 1)
    result["adoption_cpu_s"] = round(sum(world.cpu.values()), 2)
    world.run(ADOPTION_SETTLE_S)
    cpus = workers * MACHINE_CPUS * SERVICE_CPU_FRACTION
    services = round(cpus / REPLICA_CPUS / TEAMS / REPLICAS_PER_SERVICE)
    number = 1
    for _ in range(TEAMS * max(services, 1)):
        world.send_job(number, service=True, tasks=REPLICAS_PER_SERVICE, rank=0)
        number += 1
    number = run_arrays(world, WARM_UP_S, number, workers)
    world.reset_counters()
    started = len(world.starts)
    number = run_arrays(world, seconds, number, workers)
    result["busy"] = {
        "starts_per_s": round((len(world.starts) - started) / seconds, 1),
        "cpu_ms_per_s": round(1000 * sum(world.cpu.values()) / seconds, 1),
        "by_input_ms_per_s": {k: round(1000 * v / seconds, 1) for k, v in world.cpu.items()},
        "report_us": round(1e6 * world.cpu["ReportReceived"] / world.inputs["ReportReceived"], 1),
        "longest_ms": {k: round(1000 * v, 1) for k, v in world.longest.items()},
        "peer_kb_per_s": {
            k: round(v / 1024 / seconds, 1) for k, v in world.traffic.items() if k != "longest line"
        },
        "longest_line_kb": round(world.traffic["longest line"] / 1024, 1),
        "state_per_s": {k: round(v / seconds, 1) for k, v in world.state_requests.items()},
    }
    world.reset_counters()
    crash_time = world.now
    world.crash(members[-1])
    world.run(1.0)
    world.until(world.all_settled, SETTLE_TIMEOUT_S)
    result["takeover"] = {
        "settled_s": round(world.now - crash_time, 1),
        "cpu_s": round(sum(world.cpu.values()), 2),
        "longest_ms": {k: round(1000 * v, 1) for k, v in world.longest.items()},
    }
    world.reset_counters()
    world.start(members[-1])
    before = world.now
    restarted_node = world.nodes[members[-1]]
    assert restarted_node is not None
    world.until(lambda: restarted_node.store.ready, SETTLE_TIMEOUT_S)
    result["restart"] = {
        "ready_s": round(world.now - before, 1),
        "longest_ms": {k: round(1000 * v, 1) for k, v in world.longest.items()},
    }
    world.until(world.all_settled, SETTLE_TIMEOUT_S)
    world.run(RESTART_SETTLE_S)
    result["outage"] = measure_outage(world)
    result["return"] = measure_return(world)
    return result


def measure_outage(world: MeasuredWorld) -> dict[str, Any]:
    """Measures an outage of the state service that is longer than a worker's lease."""
    leases = sum(w.session for w in world.workers.values())
    world.reset_counters()
    world.state.outage(True)
    world.run(OUTAGE_S)
    world.state.outage(False)
    world.run(OUTAGE_RECOVERY_S)
    return {
        "seconds": OUTAGE_S,
        "leases_lost": sum(w.session for w in world.workers.values()) - leases,
        "cpu_ms_per_s": round(1000 * sum(world.cpu.values()) / (OUTAGE_S + OUTAGE_RECOVERY_S), 1),
        "longest_ms": round(1000 * max(world.longest.values()), 1),
    }


def measure_return(world: MeasuredWorld) -> dict[str, Any]:
    """Measures how fast empty machines are returned while users submit jobs."""
    world.run(RETURN_SETTLE_S)
    before, began = len(world.workers), world.now
    for node in world.nodes.values():
        if node is not None:
            node.context.operators = msgspec.structs.replace(
                node.context.operators, idle_return=RETURN_IDLE_S, peak_window=RETURN_PEAK_WINDOW_S
            )
    world.reset_counters()
    answers: list[Any] = []
    left = before
    while world.now < began + RETURN_TIMEOUT_S:
        number = 900_000 + len(answers) * 7 + round(world.now * 10)
        job = spec(f"j-{number:06d}", tasks=1, team="team-0", estimate_s=1.0)
        world.specs[job.uid] = job
        sent = world.now
        world.ask(
            "user",
            world.members[0],
            t.Submit(0, job.uid, job),
            lambda answer, sent=sent: answers.append((answer, world.now - sent)),  # type: ignore[misc]
        )
        world.run(RETURN_STEP_S)
        if world.now > began + RETURN_MIN_S and len(world.workers) >= left - RETURN_DONE_MACHINES:
            break
        left = len(world.workers)
    accepted = [took for answer, took in answers if answer is not None and answer.status == 201]
    return {
        "machines": before - len(world.workers),
        "seconds": round(world.now - began, 1),
        "submissions": len(answers),
        "accepted": len(accepted),
        "longest_s": round(max(accepted, default=0.0), 2),
        "commits_per_s": round(world.state_requests["Commit"] / (world.now - began), 1),
    }


def main() -> None:
    """Measures once and prints the figures as JSON."""
    parser = argparse.ArgumentParser(description="Measure the load of a fleet on the controllers.")
    parser.add_argument("workers", type=int)
    parser.add_argument("--members", type=int, choices=(3, 5), default=3)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--locality", action="store_true", help="enable the locality policy")
    parser.add_argument("--tree", default=str(ROOT))
    args = parser.parse_args()
    members = MEMBERS if args.members == 3 else FIVE_MEMBERS
    print(json.dumps(measure(args.workers, members, args.seconds, args.seed, args.locality)))


if __name__ == "__main__":
    main()
