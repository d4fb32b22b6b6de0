"""Measures what a fleet costs the controllers, in the scripted world, at several sizes.

    python3 tools/measure_scale.py WORKERS [--members 3] [--seconds 20] [--seed 1] [--locality]

Prints one line of JSON: processor time of the nodes by kind of input, messages between them,
requests to the state service, times of adoption and takeover. `--tree` measures another checkout.
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

HERE = Path(__file__).resolve().parent.parent
if "--tree" in sys.argv:
    HERE = Path(sys.argv[sys.argv.index("--tree") + 1]).resolve()
sys.path[:0] = [str(HERE), str(HERE / "tests")]

from world import FIVE_MEMBERS, MEMBERS, World, spec  # noqa: E402

from runcourse.config import Operators  # noqa: E402
from runcourse.core import types as t  # noqa: E402
from runcourse.locality.settings import LocalitySettings, Source  # noqa: E402
from runcourse.wire.peer_messages import encode  # noqa: E402

TEAMS = 4  # of the world's settings
SERVICE_PART = 0.4  # of the fleet's CPUs that replicas take
OUTAGE_S = 15.0  # beyond a worker's lease
ARRAY_PART = 0.02  # of the fleet's CPUs that the arrays of a second ask for
STATE_EFFECTS = (t.Follow, t.ReadAll, t.Commit, t.GrantLease, t.ExtendLease)


class MeasuredWorld(World):
    """The scripted world with the nodes' processor time and traffic counted, and without the checks
    that go through all tasks at each start."""

    def __init__(self, *args: Any, **settings: Any) -> None:
        self.cpu: Counter[str] = Counter()
        self.inputs: Counter[str] = Counter()
        self.longest: Counter[str] = Counter()
        self.traffic: Counter[str] = Counter()
        self.state_requests: Counter[str] = Counter()
        super().__init__(*args, **settings)

    def reset(self) -> None:
        """Count from now on."""
        for counts in (self.cpu, self.inputs, self.longest, self.traffic, self.state_requests):
            counts.clear()

    def feed(self, member: str, event: Any) -> None:
        """Feed a node, and note how long it took."""
        node = self.nodes[member]
        if node is None:
            return
        kind = type(event).__name__
        began = time.perf_counter()
        effects = node.handle(self.now, event)
        took = time.perf_counter() - began
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
        """Only noted."""
        self.starts.append((self.now, task, worker.id))

    def _watch(self) -> None:
        self.after(0.5, self._watch)
        self.state.expire()
        for worker in self.workers.values():
            worker.step()

    def send_job(self, number: int, **changes: Any) -> None:
        """Submit without waiting for the answer."""
        job = spec(f"j-{number:06d}", team=f"team-{number % TEAMS}", **changes)
        self.specs[job.uid] = job
        member = self.members[number % len(self.members)]
        self.ask("user", member, t.Submit(0, job.uid, job), lambda answer: None)

    def recorded(self) -> int:
        """Machines in the state service."""
        return sum(
            key.startswith("rc/machine/") and not value.get("gone")
            for key, (value, _, _) in self.state.data.items()
        )

    def settled(self) -> bool:
        """Has every share an owner that has located its tasks?"""
        holdings = [h for n in self.nodes.values() if n for h in n.shares.owned.values()]
        return len(holdings) == len(self.members) and all(h.settled for h in holdings)


def busy(world: MeasuredWorld, seconds: int, first: int, workers: int) -> int:
    """Arrays come each second; returns the next number of a job."""
    cpus = workers * 4.0
    for _ in range(seconds):
        for _ in range(TEAMS):
            tasks = max(1, round(cpus * ARRAY_PART / TEAMS))
            world.send_job(first, tasks=tasks, cpus=1.0, memory=4.0, estimate_s=10.0)
            first += 1
        world.run(1.0)
    return first


def locality() -> LocalitySettings:
    """A data source that two of the teams read, in one of the zones."""
    source = Source("store", ("a",), 4.0, 1.0, 0.1, teams=("team-0", "team-3"))
    return LocalitySettings(sources=(source,), moves_per_hour=720.0)


def measure(
    workers: int, members: tuple[str, ...], seconds: int, seed: int, near_data: bool = False
) -> dict[str, Any]:
    """Adoption, a busy spell, a takeover and its aftermath."""
    gc.disable()  # one process holds all nodes and workers: its collections are no node's
    world = MeasuredWorld(
        seed=seed,
        machines=workers,
        members=members,
        cpus_max=1e9,
        operators=Operators(idle_return=1e6),
        locality=locality() if near_data else None,
    )
    world.until(lambda: world.recorded() >= workers and world.settled(), 300.0)
    result: dict[str, Any] = {"workers": workers, "members": len(members), "seed": seed}
    result["locality"] = near_data
    result["adopted_s"] = round(world.now, 1)
    result["adoption_cpu_s"] = round(sum(world.cpu.values()), 2)
    world.run(5.0)
    replicas = round(workers * 4 * SERVICE_PART / 2 / TEAMS / 20)
    number = 1
    for _ in range(TEAMS * max(replicas, 1)):
        world.send_job(number, service=True, tasks=20, rank=0)
        number += 1
    number = busy(world, 15, number, workers)
    world.reset()
    started = len(world.starts)
    number = busy(world, seconds, number, workers)
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
    world.reset()
    crashed_at = world.now
    world.crash(members[-1])
    world.run(1.0)
    world.until(world.settled, 60.0)
    result["takeover"] = {
        "settled_s": round(world.now - crashed_at, 1),
        "cpu_s": round(sum(world.cpu.values()), 2),
        "longest_ms": {k: round(1000 * v, 1) for k, v in world.longest.items()},
    }
    world.reset()
    world.start(members[-1])
    before = world.now
    started_node = world.nodes[members[-1]]
    assert started_node is not None
    world.until(lambda: started_node.store.ready, 60.0)
    result["restart"] = {
        "ready_s": round(world.now - before, 1),
        "longest_ms": {k: round(1000 * v, 1) for k, v in world.longest.items()},
    }
    world.until(world.settled, 60.0)
    world.run(8.0)
    result["outage"] = outage(world)
    result["return"] = returned(world)
    return result


def outage(world: MeasuredWorld) -> dict[str, Any]:
    """The state service is away for longer than a worker's lease."""
    leases = sum(w.session for w in world.workers.values())
    world.reset()
    world.state.outage(True)
    world.run(OUTAGE_S)
    world.state.outage(False)
    world.run(5.0)
    return {
        "seconds": OUTAGE_S,
        "leases_lost": sum(w.session for w in world.workers.values()) - leases,
        "cpu_ms_per_s": round(1000 * sum(world.cpu.values()) / (OUTAGE_S + 5.0), 1),
        "longest_ms": round(1000 * max(world.longest.values()), 1),
    }


def returned(world: MeasuredWorld) -> dict[str, Any]:
    """What is empty is returned as fast as it goes, while users submit."""
    world.run(10.0)
    before, began = len(world.workers), world.now
    for node in world.nodes.values():
        if node is not None:
            node.context.operators = msgspec.structs.replace(
                node.context.operators, idle_return=1.0, peak_window=1.0
            )
    world.reset()
    answers: list[Any] = []
    left = before
    while world.now < began + 120.0:
        number = 900_000 + len(answers) * 7 + round(world.now * 10)
        job = spec(f"j-{number:06d}", tasks=1, team="team-0", estimate_s=1.0)
        world.specs[job.uid] = job
        sent = world.now
        world.ask(
            "user",
            world.members[0],
            t.Submit(0, job.uid, job),
            lambda a, sent=sent: answers.append((a, world.now - sent)),  # type: ignore[misc]
        )
        world.run(1.0)
        if world.now > began + 20.0 and len(world.workers) >= left - 5:
            break
        left = len(world.workers)
    accepted = [took for a, took in answers if a is not None and a.status == 201]
    return {
        "machines": before - len(world.workers),
        "seconds": round(world.now - began, 1),
        "submissions": len(answers),
        "accepted": len(accepted),
        "longest_s": round(max(accepted, default=0.0), 2),
        "commits_per_s": round(world.state_requests["Commit"] / (world.now - began), 1),
    }


def main() -> None:
    """Measure once and print the figures as JSON."""
    parser = argparse.ArgumentParser(description="Measure what a fleet costs the controllers.")
    parser.add_argument("workers", type=int)
    parser.add_argument("--members", type=int, choices=(3, 5), default=3)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--locality", action="store_true", help="with the locality policy on")
    parser.add_argument("--tree", default=str(HERE))
    args = parser.parse_args()
    members = MEMBERS if args.members == 3 else FIVE_MEMBERS
    print(json.dumps(measure(args.workers, members, args.seconds, args.seed, args.locality)))


if __name__ == "__main__":
    main()
