"""Measures the locality policy with real controllers on loopback, switched on or off.

    python3 tools/measure_locality.py [--seconds 300] [--off] [--seed 1]

It runs three controllers and twenty simulated workers in two zones. A data source lies in one zone,
and is moved to the other halfway; a busy and a quiet team of the same share read it. Everything
listens on loopback, the load is bounded in count and time, and the program stops by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from standins import Cloud, StateService, Worker, free_port, reply  # noqa: E402

from runcourse.client import ask  # noqa: E402
from runcourse.net.http import Client, NotSent, Reply, Unanswered  # noqa: E402
from runcourse.wire.codec import decode_map, encode  # noqa: E402
from runcourse.wire.peer_messages import OperatorQuestion  # noqa: E402

ZONES = ("a", "b")
WORKERS = 20
REPORT_S = 0.5
HOT_TEAM, QUIET_TEAM = "crew-0", "crew-3"  # assigned to the same of three shares
# Time that reading adds to a task, by whether it runs in the zone of its data.
READ_DURATION_S = {True: 4.0, False: 60.0}
WORK_S = 80.0
SAVE_S = 0.5
SUBMIT_INTERVAL_S = 12.0
LOCAL_AGAIN_FRACTION = 0.8  # of the CPUs in use, that must be in the zone of the data again
LEVEL_AFTER_S = 120.0  # after the source moved, when loads should be level
LEASE_S = 10.0
CHECKPOINT_INTERVAL_S = 5.0
REPORT_TIMEOUT_S = 4.0
SUBMIT_TIMEOUT_S = 5.0
SUBMIT_TRIES = 20
SUBMIT_RETRY_S = 1.0
SNAPSHOT_INTERVAL_S = 2.0
CLIENT_CONNECTIONS = 4
HOT_TASKS, QUIET_TASKS = 2, 1  # per submission
QUIET_JOB_INTERVAL = 4  # one of four submissions is of the quiet team
CONTROLLERS = 3

LOCALITY_TEXT = """(locality (moves-per-hour 240) (burst 2) (dwell 10) (cooldown 60)
 (rebalance {on}) (weight {weight})
 (source (name "store") (zones "{zone}") (teams "crew-0" "crew-3")
  (read-gb 4) (local-rate 1.0) (remote-rate 0.0667)))
"""


class Workload:
    """The simulated data source and tasks: the zone of the data, and start, progress and end."""

    def __init__(self) -> None:
        self.data_zone = "a"
        self.progress: dict[str, float] = {}  # fraction of each task that is done and saved
        self.started: dict[str, float] = {}  # first start of each task
        self.ended: dict[str, float] = {}
        self.stops = 0

    def task_duration_s(self, zone: str) -> float:
        """Returns the seconds that a whole task takes in the zone."""
        return WORK_S + READ_DURATION_S[zone == self.data_zone]


class MeasuredWorker(Worker):
    """A worker whose tasks take longer outside the zone of their data, and save when stopped."""

    workload: Workload
    apis: list[int]

    def execute_orders(self, message: dict[str, Any]) -> None:
        """Carries out the orders of an answer or a command."""
        if message["baton"] < self.baton:
            return
        self.baton = message["baton"]
        for order in message["orders"]:
            key = (order["leg"], order["try"])
            if order["verb"] == "run" and key not in self.legs:
                self._begin(key)
            elif order["verb"] == "kill" and key in self.legs:
                self._stop(key)
            elif order["verb"] == "clear":
                self.legs.pop(key, None)

    def _begin(self, key: tuple[str, int]) -> None:
        now, task = time.monotonic(), key[0]
        self.workload.started.setdefault(task, now)
        duration_s = self.workload.task_duration_s(self.identity["yard"])
        remaining_s = duration_s * (1.0 - self.workload.progress.get(task, 0.0))
        self.legs[key] = {"leg": task, "try": key[1], "stage": "running"}
        timer = asyncio.get_running_loop().call_later(remaining_s, self._done, key)
        self.timers[key] = (timer, now, duration_s)

    def _done(self, key: tuple[str, int]) -> None:
        self.workload.ended[key[0]] = time.monotonic()
        self.end(key, "done")

    def _stop(self, key: tuple[str, int]) -> None:
        if self.legs[key]["stage"] != "running":
            return
        timer, started, duration_s = self.timers[key]
        timer.cancel()
        fraction = (
            self.workload.progress.get(key[0], 0.0) + (time.monotonic() - started) / duration_s
        )
        self.workload.progress[key[0]] = min(fraction, 1.0)
        self.workload.stops += 1
        self.legs[key]["stage"] = "flushing"
        asyncio.get_running_loop().call_later(SAVE_S, self._saved, key)

    def _saved(self, key: tuple[str, int]) -> None:
        self.legs[key].update(stage="ended", cause="halted", stored=True)

    async def run(self) -> None:
        """Reports to the responsible controller, following redirects, until it is cancelled."""
        self.timers: dict[tuple[str, int], tuple[asyncio.TimerHandle, float, float]] = {}
        await self.server.start("127.0.0.1", 0)
        clients = [Client("127.0.0.1", port, limit=1) for port in self.apis]
        target = random.randrange(len(clients))
        while True:
            try:
                status, body = await clients[target].request(
                    "POST", "/agent/beat", encode(self.report()), REPORT_TIMEOUT_S
                )
                responsible = decode_map(body).get("steward") if body else None
                if status == 200:
                    self.execute_orders(decode_map(body))
                elif responsible is not None:
                    target = int(str(responsible).removeprefix("runner-"))
                    continue
                else:
                    target = (target + 1) % len(clients)
            except (NotSent, Unanswered):
                target = (target + 1) % len(clients)
            await asyncio.sleep(REPORT_S)

    def used(self) -> float:
        """Returns the CPUs in use; each task uses one."""
        return float(sum(leg["stage"] in ("running", "flushing") for leg in self.legs.values()))


class MeasuredCloud(Cloud):
    """A cloud with a fixed set of machines and no capacity to rent more."""

    def fill(self) -> None:
        """Starts the workers, alternating between the zones."""
        for n in range(WORKERS):
            id = f"i-{n:06d}"
            self.workers[id] = MeasuredWorker(self, id, "m4", ZONES[n % len(ZONES)], False)

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        """Answers a request; renting fails for lack of capacity."""
        if target == "/machines" and method == "POST":
            return reply(503, {"error": "no capacity"})
        return await super().serve(method, target, body)


def controller_settings(n: int, ports: list[tuple[int, int]], cloud: int, state: int) -> str:
    """Returns the settings file of one controller."""
    peers = "".join(
        f'[[peers]]\nmember = "runner-{k}"\narea = "a"\naddr = "127.0.0.1:{internal}"\n'
        for k, (_, internal) in enumerate(ports)
        if k != n
    )
    teams = "".join(f'[[settings.teams]]\nname = "crew-{k}"\ncpus = 8.0\n' for k in range(4))
    return (
        f'member = "runner-{n}"\narea = "a"\napi_addr = "127.0.0.1:{ports[n][0]}"\n'
        f'internal_addr = "127.0.0.1:{ports[n][1]}"\n{peers}'
        f'[services]\ncloud = "127.0.0.1:{cloud}"\nstate = "127.0.0.1:{state}"\n'
        f'[settings]\nnodes = {len(ports)}\nzones = ["a", "b"]\n{teams}'
        f"[settings.workers]\nreport_s = {REPORT_S}\nlease_s = {LEASE_S}\ncancel_s = 30.0\n"
        "[settings.state]\nrps = 400.0\nwrite_rps = 200.0\n"
        "[settings.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n"
    )


def job_request(number: int, team: str, tasks: int) -> dict[str, Any]:
    """Returns the submission of an array that saves its progress."""
    return {
        "uid": f"j-{number:06d}", "lane": "x", "crew": team, "shape": "batch", "rank": "normal",
        "legs": tasks, "vcpus": 1.0, "gpus": 0.0, "ram_gb": 2.0, "kit": "img", "pull_gb": 0.1,
        "together": False, "spread": False, "lendable": False, "guess_s": WORK_S,
        "mark_every_s": CHECKPOINT_INTERVAL_S, "mark_cost_s": SAVE_S,
    }  # fmt: skip


class Measurement:
    """One run: its load, its snapshots and its figures."""

    def __init__(self, args: argparse.Namespace, folder: Path) -> None:
        self.args = args
        self.locality_path = folder / "locality.sexp"
        self.workload = Workload()
        self.submitted: dict[str, tuple[str, float]] = {}
        # Time, fraction of the used CPUs in the zone of the data, largest load minus mean load.
        self.snapshots: list[tuple[float, float, float]] = []
        self.rng = random.Random(args.seed)

    def write_locality_file(self) -> None:
        """Writes the locality file, with the source in its present zone."""
        on = not self.args.off
        text = LOCALITY_TEXT.format(
            on="true" if on else "false",
            weight=self.args.weight if on else 0,
            zone=self.workload.data_zone,
        )
        self.locality_path.write_text(text, encoding="utf-8")

    def take_snapshot(self, workers: list[MeasuredWorker]) -> None:
        """Records how much runs in the zone of the data, and the largest load above the mean."""
        used = [(w.identity["yard"], w.used()) for w in workers]
        total = sum(cpus for _, cpus in used)
        local = sum(cpus for zone, cpus in used if zone == self.workload.data_zone)
        busy = [cpus for _, cpus in used if cpus]
        above_mean = max(busy) - statistics.mean(busy) if busy else 0.0
        self.snapshots.append((time.monotonic(), local / total if total else 0.0, above_mean))

    async def submit(self, client: Client, number: int, team: str, tasks: int) -> None:
        """Submits an array, with retries until it is accepted."""
        body = encode(job_request(number, team, tasks))
        for _ in range(SUBMIT_TRIES):
            try:
                status, _ = await client.request("POST", "/v1/jobs", body, SUBMIT_TIMEOUT_S)
            except (NotSent, Unanswered):
                status = 0
            if status in (200, 201):
                for n in range(tasks):
                    self.submitted[f"j-{number:06d}/{n}"] = (team, time.monotonic())
                return
            await asyncio.sleep(SUBMIT_RETRY_S)

    async def submit_load(self, clients: list[Client], until: float) -> None:
        """Submits jobs: the hot team's fill much of its share, the quiet team's fill little."""
        number = 0
        while time.monotonic() < until:
            number += 1
            team, tasks = (
                (QUIET_TEAM, QUIET_TASKS)
                if number % QUIET_JOB_INTERVAL == 0
                else (HOT_TEAM, HOT_TASKS)
            )
            await self.submit(self.rng.choice(clients), number, team, tasks)
            await asyncio.sleep(SUBMIT_INTERVAL_S)

    def result(self, moved_at: float) -> dict[str, Any]:
        """Returns the figures of the run; `moved_at` is when the source moved."""
        wait_s: dict[str, list[float]] = {HOT_TEAM: [], QUIET_TEAM: []}
        total_s: dict[str, list[float]] = {HOT_TEAM: [], QUIET_TEAM: []}
        for task, (team, at) in self.submitted.items():
            if task in self.workload.started:
                wait_s[team].append(self.workload.started[task] - at)
            if task in self.workload.ended:
                total_s[team].append(self.workload.ended[task] - at)
        local_again = [
            at - moved_at
            for at, fraction, _ in self.snapshots
            if at > moved_at and fraction >= LOCAL_AGAIN_FRACTION
        ]
        largest = [
            above_mean for at, _, above_mean in self.snapshots if at > moved_at + LEVEL_AFTER_S
        ]
        return {
            "on": not self.args.off,
            "seed": self.args.seed,
            "weight": self.args.weight,
            "tasks": len(self.submitted),
            "stops": self.workload.stops,
            "stops_per_hour": round(3600 * self.workload.stops / self.args.seconds, 1),
            "near_again_s": round(min(local_again), 1) if local_again else None,
            "largest_over_mean": round(statistics.mean(largest), 2) if largest else None,
            "wait_s": {t: _statistics(v) for t, v in wait_s.items()},
            "submission_to_end_s": {t: _statistics(v) for t, v in total_s.items()},
        }


def _statistics(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    return {
        "n": len(values),
        "mean": round(statistics.mean(values), 2),
        "stdev": round(statistics.pstdev(values), 2),
        "max": round(max(values), 2),
    }


async def measure(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Starts everything, runs the load, stops everything and returns the figures."""
    run = Measurement(args, folder)
    run.write_locality_file()
    ports = [(free_port(), free_port()) for _ in range(CONTROLLERS)]
    MeasuredWorker.workload, MeasuredWorker.apis = run.workload, [api for api, _ in ports]
    state, cloud = StateService(), MeasuredCloud(ports[0][0])
    for server in (state.server, cloud.server):
        await server.start("127.0.0.1", 0)
    cloud.fill()
    operators = folder / "operators.sexp"
    operators.write_text("(runcourse (idle-return 100000))", encoding="utf-8")
    controllers = []
    for n in range(CONTROLLERS):
        path = folder / f"settings-{n}.toml"
        path.write_text(
            controller_settings(n, ports, cloud.server.port, state.server.port), encoding="utf-8"
        )
        controllers.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "run.py"),
                "serve",
                "--config",
                str(path),
                "--operators",
                str(operators),
                "--locality",
                str(run.locality_path),
                stderr=(folder / f"runner-{n}.log").open("w"),
            )
        )
    clients = [Client("127.0.0.1", api, limit=CLIENT_CONNECTIONS) for api, _ in ports]
    started = time.monotonic()
    until, moved_at = started + args.seconds, started + args.seconds / 2
    load = asyncio.create_task(run.submit_load(clients, until))
    moved = False
    while time.monotonic() < until:
        await asyncio.sleep(SNAPSHOT_INTERVAL_S)
        run.take_snapshot([w for w in cloud.workers.values() if isinstance(w, MeasuredWorker)])
        if not moved and time.monotonic() >= moved_at:
            moved, moved_at = True, time.monotonic()
            run.workload.data_zone = "b"
            run.write_locality_file()
            for _, internal in ports:
                await asyncio.to_thread(ask, "127.0.0.1", internal, OperatorQuestion("reload"))
    load.cancel()
    begun = 0
    for _, internal in ports:
        status = await asyncio.to_thread(ask, "127.0.0.1", internal, OperatorQuestion("status"))
        begun += status["locality"].get("moves", {}).get("begun", 0)
    for controller in controllers:
        controller.kill()
        await controller.wait()
    return {**run.result(moved_at), "moves_begun": begun, "workers": len(cloud.workers)}


def main() -> None:
    """Measures once and prints the figures as JSON."""
    parser = argparse.ArgumentParser(description="Measure the locality policy on loopback.")
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--off", action="store_true", help="weight 0, no rebalancing")
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(measure(args, Path(folder)))))


if __name__ == "__main__":
    main()
