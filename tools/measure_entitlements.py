"""Measures how soon two organisations reach their targets, with three real controllers.

    python3 tools/measure_entitlements.py [--seeds 10] [--parallel 3]

Everything is on loopback: a simulated state service and cloud, and twelve simulated workers, whose
tasks fill a machine for about two seconds. Each seed changes the division while nothing runs, then
raises and cuts the weight of one organisation while work runs, and does both again with the leader
killed meanwhile. The load is bounded in count and time, and everything stops by itself.
Prints one line of JSON for each seed and one with least, median and most.
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
PHASE_TIMEOUT_S = 60.0  # for each phase
ENTITLEMENTS = """\
(entitlements
 (organisation (name "desk") (teams "crew-0" "crew-1" "crew-2"))
 (organisation (name "lab") (teams "crew-3" "crew-4" "crew-5")))
"""
RAISED_WEIGHTS = {"desk": 1.0, "lab": 3.0}
EQUAL_WEIGHTS = {"desk": 1.0, "lab": 1.0}
TARGET_MACHINES = {"raise": {"desk": 3, "lab": 9}, "cut": {"desk": 6, "lab": 6}}
TEAMS_PER_ORGANISATION = 3
LEASE_S = 6.0
FD_LIMIT = 400
POLL_S = 0.05  # between two checks of a condition
OWNERSHIP_CHECK_S = 0.5  # between two checks of the controllers' machines
APPLY_RETRY_S = 0.5
RESTART_SETTLE_S = 4.0
SERVICE_REPLICAS = 2
ARRAY_TASKS = 4000  # per team, more than the machines can run in a phase
WORKER_CONNECTIONS = 8
PHASES = (
    ("without running work", "raise", False),
    ("cut", "cut", False),
    ("raise", "raise", False),
    ("cut, leader killed", "cut", True),
    ("raise, leader killed", "raise", True),
)


class WatchedWorker(LightWorker):
    """Counts the replicas that were stopped on the worker."""

    replicas_stopped = 0

    def end(self, key: tuple[str, int], cause: str) -> None:
        """Records the end of a task; counts it if it was a stopped replica."""
        self.replicas_stopped += cause == "halted" and key[0].startswith(fleet.SERVICE_PREFIX)
        super().end(key, cause)


class Measurement:
    """Three controllers, the simulated services and workers, and the work of one seed."""

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
        self.counted_twice = 0  # machines that two controllers counted as their own

    async def start(self, seed: int) -> None:
        """Starts everything and waits until every machine is recorded."""
        fleet.WORKER_HOST = f"127.0.1.{seed}"
        self.cloud = StaticCloud(WORKERS)
        for server in (self.state.server, self.cloud.server):
            await server.start("127.0.0.1", 0)
        args = argparse.Namespace(report_s=REPORT_S, lease_s=LEASE_S, fd_limit=FD_LIMIT)
        ports = (self.state.server.port, self.cloud.server.port)
        self.apis, self.internals = settings_files(args, self.folder, *ports)
        (self.folder / "entitlements.sexp").write_text(ENTITLEMENTS)
        (self.folder / "operators.sexp").write_text("(runcourse (idle-return 1000000))")
        self.controllers = [self.start_controller(n) for n in range(fleet.CONTROLLERS)]
        self.workers = [WatchedWorker(n, self.apis, REPORT_S, LEASE_S) for n in range(WORKERS)]
        for worker in self.workers:
            port = int(worker.machine_fields["addr"].rpartition(":")[2])
            await Server(worker.serve, WORKER_CONNECTIONS).start(fleet.WORKER_HOST, port)
        self.tasks = [asyncio.create_task(worker.run()) for worker in self.workers]
        await self.wait_until(
            lambda: sum(self.holdings().values()) == WORKERS, "all machines recorded"
        )
        await self.wait_until(
            lambda: "rc/format" in self.state.data, "format of stored values recorded"
        )

    def start_controller(self, n: int) -> subprocess.Popen[bytes]:
        """Starts one controller as a process."""
        command = [sys.executable, str(ROOT / "run.py"), "serve"]
        command += ["--operators", str(self.folder / "operators.sexp")]
        command += ["--entitlements", str(self.folder / "entitlements.sexp")]
        command += ["--config", str(self.folder / f"{n}.toml")]
        log = (self.folder / f"{n}.log").open("ab")
        return subprocess.Popen(command, stderr=log, env={**os.environ, "LOG_LEVEL": "info"})

    async def stop(self) -> None:
        """Stops everything that was started."""
        for task in self.tasks:
            task.cancel()
        for process in self.controllers:
            process.kill()
            process.wait()
        await self.state.server.close()
        await self.cloud.server.close()

    # --- State of the service ------------------------------------------------------------

    def holdings(self) -> Counter[str]:
        """Returns the machines of each organisation, by the records and the stored mapping."""
        machines: Counter[str] = Counter()
        dealt = self.state.data["rc/mapping"][0]["dealt"] if "rc/mapping" in self.state.data else []
        for key, (value, _, _) in self.state.data.items():
            if key.startswith("rc/machine/") and not value.get("gone"):
                share = value["share"]
                teams = [
                    name for n, name in enumerate(dealt) if n % fleet.CONTROLLERS == share and name
                ]
                machines["desk" if int(teams[0][-1]) < TEAMS_PER_ORGANISATION else "lab"] += 1
        return machines

    async def wait_until(self, condition: Any, description: str) -> float:
        """Waits until the condition holds, checking ownership meanwhile; returns the seconds.

        Raises `TimeoutError`, which names `description`.
        """
        started = time.monotonic()
        last_check = 0.0
        while not condition():
            if time.monotonic() > started + PHASE_TIMEOUT_S:
                raise TimeoutError(f"not reached within {PHASE_TIMEOUT_S:g} s: {description}")
            if time.monotonic() > last_check + OWNERSHIP_CHECK_S:
                last_check = time.monotonic()
                await self.count_shared_machines()
            await asyncio.sleep(POLL_S)
        return time.monotonic() - started

    async def count_shared_machines(self) -> None:
        """Counts machines that two controllers count as their own in two checks in a row."""
        counted_twice = await self._machines_counted_twice()
        if counted_twice:
            self.counted_twice += len(counted_twice & await self._machines_counted_twice())

    async def _machines_counted_twice(self) -> set[str]:
        """Returns the ids of machines that several controllers count as their own."""
        statuses = await asyncio.gather(
            *(asyncio.to_thread(_controller_status, port) for port in self.internals),
            return_exceptions=True,
        )
        counted: Counter[str] = Counter()
        for status in statuses:
            if isinstance(status, dict) and status["entitled"]:
                owned = {s["share"] for s in status["shares"] if s["owner"] == status["member"]}
                counted.update(m["machine"] for m in status["machines"] if m["share"] in owned)
        return {id for id, number in counted.items() if number > 1}

    def leader(self) -> int | None:
        """Returns the number of the leading controller, or None."""
        stored = self.state.data.get("rc/leader")
        return int(stored[0]["member"].rpartition("-")[2]) if stored else None

    # --- Actions -------------------------------------------------------------------------

    async def submit(self, team_number: int, tasks: int, service: bool = False) -> None:
        """Submits a job whose tasks each fill a machine."""
        self.jobs += 1
        job = {"uid": f"j-{9 if service else 1}{self.jobs:05d}", "lane": "x"}
        size = {"vcpus": 4.0, "gpus": 0.0, "ram_gb": 4.0, "kit": "img", "pull_gb": 0.1}
        kind = {"shape": "service" if service else "batch", "rank": "prod" if service else "normal"}
        where = {"together": False, "spread": False, "lendable": False, "guess_s": 2.0}
        marks = {
            "mark_every_s": 0.0,
            "mark_cost_s": 0.0,
            "crew": f"crew-{team_number}",
            "legs": tasks,
        }
        await Users(self.apis).request_any(
            "POST", "/v1/jobs", {**job, **size, **kind, **where, **marks}
        )

    async def apply(self, weights: dict[str, float]) -> None:
        """Applies a division through a random controller, with retries until it is accepted."""
        limits = [{"name": name, "weight": weight} for name, weight in weights.items()]
        request = {"action": "apply", "expect": self.version, "limits": limits, "author": "measure"}
        while True:
            port = self.rng.choice(self.internals)
            try:
                question = OperatorQuestion("division", request)
                answer = await asyncio.to_thread(ask, "127.0.0.1", port, question)
            except (OSError, ValueError):
                answer = {}
            if answer.get("result") == "ok":
                self.version += 1
                return
            await asyncio.sleep(APPLY_RETRY_S)

    async def run_phase(self, target: str, kill: bool) -> float:
        """Changes the division and waits until all hold their targets, give or take one machine.

        Returns the seconds that it took.
        """
        await self.apply(RAISED_WEIGHTS if target == "raise" else EQUAL_WEIGHTS)
        started = time.monotonic()
        if not self.jobs:
            for team_number in (0, TEAMS_PER_ORGANISATION):
                await self.submit(team_number, SERVICE_REPLICAS, service=True)
            for team_number in range(fleet.TEAMS):
                await self.submit(team_number, ARRAY_TASKS)
        killed_controller = self.leader() if kill else None
        if killed_controller is not None:
            self.controllers[killed_controller].kill()
            self.controllers[killed_controller].wait()
        target_machines = TARGET_MACHINES[target]
        await self.wait_until(
            lambda: all(abs(self.holdings()[n] - m) <= 1 for n, m in target_machines.items()),
            target,
        )
        seconds = time.monotonic() - started
        if killed_controller is not None:
            self.controllers[killed_controller] = self.start_controller(killed_controller)
            await self.wait_until(lambda: self.leader() is not None, "a leader elected")
            await asyncio.sleep(RESTART_SETTLE_S)
        return round(seconds, 1)


def _controller_status(port: int) -> dict[str, Any]:
    return ask("127.0.0.1", port, OperatorQuestion("status"))


async def measure(seed: int) -> dict[str, Any]:
    """Runs all phases with one seed."""
    with tempfile.TemporaryDirectory() as folder:
        run = Measurement(Path(folder), seed)
        try:
            await run.start(seed)
            seconds = {name: await run.run_phase(target, kill) for name, target, kill in PHASES}
            lost = sum(w.leases_lost for w in run.workers)
            return {
                "seed": seed,
                "seconds": seconds,
                "counted_twice": run.counted_twice,
                "replicas_stopped": sum(w.replicas_stopped for w in run.workers),
                "leases_lost": lost,
            }
        finally:
            await run.stop()


def summarize(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the least, median and most seconds of each phase."""
    by_phase = {}
    for name, _, _ in PHASES:
        seconds = sorted(result["seconds"][name] for result in results)
        by_phase[name] = [seconds[0], seconds[len(seconds) // 2], seconds[-1]]
    return {"seeds": len(results), "least, median, most": by_phase}


def main() -> None:
    """Measures some seeds, each in a separate process."""
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
        print(json.dumps(summarize(results)))


if __name__ == "__main__":
    main()
