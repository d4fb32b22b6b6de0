"""Measures how soon two organisations come to their targets, with three real controllers.

    python3 tools/measure_entitlements.py [--seeds 10] [--parallel 3]

Everything is on loopback: stand-ins for state service, cloud and twelve workers, whose tasks fill
a machine for about two seconds. Each seed goes through a division while nothing runs, a raise and
a cut with running work, and both again with the leader killed meanwhile. Bounded in count and
time, and stops by itself.
Prints one line of JSON for each seed and one with the spread.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import measure_loopback_fleet as fleet
from measure_loopback_fleet import ROOT, LightWorker, StaticCloud, Users, settings_files

from runcourse.client import ask
from runcourse.net.http import Server
from runcourse.wire.peer_messages import OperatorQuestion

WORKERS = 12
REPORT_S = 0.5
LIMIT_S = 60.0  # within which every phase must be over
ENTITLEMENTS = """\
(entitlements
 (organisation (name "desk") (teams "crew-0" "crew-1" "crew-2"))
 (organisation (name "lab") (teams "crew-3" "crew-4" "crew-5")))
"""
RAISED = {"desk": 1.0, "lab": 3.0}
EVEN = {"desk": 1.0, "lab": 1.0}
MACHINES = {"raise": {"desk": 3, "lab": 9}, "cut": {"desk": 6, "lab": 6}}
PHASES = (
    ("without running work", "raise", False),
    ("cut", "cut", False),
    ("raise", "raise", False),
    ("cut, leader killed", "cut", True),
    ("raise, leader killed", "raise", True),
)


class WatchedWorker(LightWorker):
    """Counts the replicas that were stopped on it."""

    replicas_stopped = 0

    def end(self, key: tuple[str, int], cause: str) -> None:
        """A task exits; names of lasting jobs begin with j-9."""
        self.replicas_stopped += cause == "halted" and key[0].startswith("j-9")
        super().end(key, cause)


class Run:
    """Three controllers, their stand-ins and the work of one seed."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.state = fleet.StateService()
        self.cloud = StaticCloud(WORKERS)
        self.controllers: list[subprocess.Popen[bytes]] = []
        self.workers: list[WatchedWorker] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.jobs = 0
        self.twice = 0  # machines that two controllers counted as their own

    async def start(self, seed: int) -> None:
        """Serve, until every machine is recorded."""
        fleet.WORKER_HOST = f"127.0.1.{seed}"
        self.cloud = StaticCloud(WORKERS)
        for server in (self.state.server, self.cloud.server):
            await server.start("127.0.0.1", 0)
        args = argparse.Namespace(report_s=REPORT_S, lease_s=6.0, fd_limit=400)
        ports = (self.state.server.port, self.cloud.server.port)
        self.apis, self.internals = settings_files(args, self.folder, *ports)
        (self.folder / "entitlements.sexp").write_text(ENTITLEMENTS)
        (self.folder / "keep.sexp").write_text("(runcourse (idle-return 1000000))")
        self.controllers = [self.controller(n) for n in range(fleet.CONTROLLERS)]
        self.workers = [WatchedWorker(n, self.apis, REPORT_S, 6.0) for n in range(WORKERS)]
        for worker in self.workers:
            port = int(worker.identity["addr"].rpartition(":")[2])
            await Server(worker.serve, 8).start(fleet.WORKER_HOST, port)
        self.tasks = [asyncio.create_task(worker.run()) for worker in self.workers]
        await self.until(lambda: sum(self.holdings().values()) == WORKERS, "recorded")
        await self.until(lambda: "rc/format" in self.state.data, "formats noted")

    def controller(self, n: int) -> subprocess.Popen[bytes]:
        """One controller as a process."""
        command = [sys.executable, str(ROOT / "run.py"), "serve"]
        command += ["--operators", str(self.folder / "keep.sexp")]
        command += ["--entitlements", str(self.folder / "entitlements.sexp")]
        command += ["--config", str(self.folder / f"{n}.toml")]
        log = (self.folder / f"{n}.log").open("ab")
        return subprocess.Popen(command, stderr=log, env={**os.environ, "LOG_LEVEL": "info"})

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        for process in self.controllers:
            process.kill()
            process.wait()
        await self.state.server.close()
        await self.cloud.server.close()

    # --- what there is -------------------------------------------------------------------

    def holdings(self) -> Counter[str]:
        """Machines of each organisation, by the records and the stored dealing."""
        found: Counter[str] = Counter()
        dealt = self.state.data["rc/mapping"][0]["dealt"] if "rc/mapping" in self.state.data else []
        for key, (value, _, _) in self.state.data.items():
            if key.startswith("rc/machine/") and not value.get("gone"):
                share = value["share"]
                teams = [name for n, name in enumerate(dealt) if n % 3 == share and name]
                found["desk" if int(teams[0][-1]) < 3 else "lab"] += 1
        return found

    async def until(self, condition: Any, what: str) -> float:
        """Seconds until it holds; looks meanwhile who counts which machine."""
        began = time.monotonic()
        looked = 0.0
        while not condition():
            if time.monotonic() > began + LIMIT_S:
                raise TimeoutError(what)
            if time.monotonic() > looked + 0.5:
                looked = time.monotonic()
                await self.look()
            await asyncio.sleep(0.05)
        return time.monotonic() - began

    async def look(self) -> None:
        """A machine counted by two controllers counts if a second look still finds it so."""
        twice = await self._counted_twice()
        if twice:
            self.twice += len(twice & await self._counted_twice())

    async def _counted_twice(self) -> set[str]:
        views = await asyncio.gather(
            *(asyncio.to_thread(_view, port) for port in self.internals), return_exceptions=True
        )
        counted: Counter[str] = Counter()
        for view in views:
            if isinstance(view, dict) and view["entitled"]:
                owned = {s["share"] for s in view["shares"] if s["owner"] == view["member"]}
                counted.update(m["machine"] for m in view["machines"] if m["share"] in owned)
        return {id for id, number in counted.items() if number > 1}

    def leader(self) -> int | None:
        """The controller that leads."""
        stored = self.state.data.get("rc/leader")
        return int(stored[0]["member"].rpartition("-")[2]) if stored else None

    # --- what is done --------------------------------------------------------------------

    async def submit(self, crew: int, tasks: int, service: bool = False) -> None:
        """A job whose tasks fill a machine each."""
        self.jobs += 1
        job = {"uid": f"j-{9 if service else 1}{self.jobs:05d}", "lane": "x"}
        size = {"vcpus": 4.0, "gpus": 0.0, "ram_gb": 4.0, "kit": "img", "pull_gb": 0.1}
        kind = {"shape": "service" if service else "batch", "rank": "prod" if service else "normal"}
        where = {"together": False, "spread": False, "lendable": False, "guess_s": 2.0}
        marks = {"mark_every_s": 0.0, "mark_cost_s": 0.0, "crew": f"crew-{crew}", "legs": tasks}
        await Users(self.apis).ask("POST", "/v1/jobs", {**job, **size, **kind, **where, **marks})

    async def apply(self, weights: dict[str, float]) -> None:
        """Put a division in force through a controller drawn by lot."""
        limits = [{"name": name, "weight": weight} for name, weight in weights.items()]
        call = {"action": "apply", "expect": self.version, "limits": limits, "author": "measure"}
        while True:
            port = self.rng.choice(self.internals)
            try:
                question = OperatorQuestion("division", call)
                answer = await asyncio.to_thread(ask, "127.0.0.1", port, question)
            except (OSError, ValueError):
                answer = {}
            if answer.get("result") == "ok":
                self.version += 1
                return
            await asyncio.sleep(0.5)

    async def phase(self, target: str, kill: bool) -> float:
        """From the division's answer until everybody holds its target, within a machine."""
        await self.apply(RAISED if target == "raise" else EVEN)
        began = time.monotonic()
        if not self.jobs:
            for crew in (0, 3):
                await self.submit(crew, 2, service=True)
            for crew in range(6):
                await self.submit(crew, 4000)
        killed = self.leader() if kill else None
        if killed is not None:
            self.controllers[killed].kill()
            self.controllers[killed].wait()
        wanted = MACHINES[target]
        await self.until(
            lambda: all(abs(self.holdings()[n] - m) <= 1 for n, m in wanted.items()), target
        )
        took = time.monotonic() - began
        if killed is not None:
            self.controllers[killed] = self.controller(killed)
            await self.until(lambda: self.leader() is not None, "leader")
            await asyncio.sleep(4.0)
        return round(took, 1)


def _view(port: int) -> dict[str, Any]:
    return ask("127.0.0.1", port, OperatorQuestion("status"))


async def measure(seed: int) -> dict[str, Any]:
    """All phases with one seed."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), seed)
        try:
            await run.start(seed)
            took = {name: await run.phase(target, kill) for name, target, kill in PHASES}
            lost = sum(w.leases_lost for w in run.workers)
            return {
                "seed": seed,
                "seconds": took,
                "counted_twice": run.twice,
                "replicas_stopped": sum(w.replicas_stopped for w in run.workers),
                "leases_lost": lost,
            }
        finally:
            await run.stop()


def spread(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Least, median and most of each phase."""
    found = {}
    for name, _, _ in PHASES:
        took = sorted(result["seconds"][name] for result in results)
        found[name] = [took[0], took[len(took) // 2], took[-1]]
    return {"seeds": len(results), "least, median, most": found}


def main() -> None:
    """Measure some seeds, each in a process of its own."""
    parser = argparse.ArgumentParser(description="Measure how soon divisions are reached.")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--seed", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.seed is not None:
        print(json.dumps(asyncio.run(measure(args.seed))), flush=True)
        return
    results = []
    seeds = list(range(1, args.seeds + 1))
    while seeds:
        batch, seeds = seeds[: args.parallel], seeds[args.parallel :]
        running = [
            subprocess.Popen([sys.executable, __file__, "--seed", str(n)], stdout=subprocess.PIPE)
            for n in batch
        ]
        for process in running:
            out, _ = process.communicate()
            print(out.decode().strip() or f"no result: exit {process.returncode}", flush=True)
            if out.strip():
                results.append(json.loads(out))
    if results:
        print(json.dumps(spread(results)))


if __name__ == "__main__":
    main()
