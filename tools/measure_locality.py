"""Measures the locality policy with real controllers on loopback, on against off.

    python3 tools/measure_locality.py [--seconds 300] [--off] [--seed 1]

Three controllers, twenty stand-in workers in two zones, one data source near half of them, a hot
team and a quiet one that belong to the same share. The source moves once, halfway. Everything
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
CPUS = 4.0
REPORT_S = 0.5
HOT, QUIET = "crew-0", "crew-3"  # dealt to the same share of three
READ_S = {True: 4.0, False: 60.0}  # what the reads add to a task, near its data and far away
WORK_S = 80.0
SAVE_S = 0.5
PAUSE_S = 12.0  # between two submissions
NEAR = 0.8  # part of what runs that has to be near its data again
SETTLED_S = 120.0  # after which loads should be level

SOURCE = """(locality (moves-per-hour 240) (burst 2) (dwell 10) (cooldown 60) (rebalance {on})
 (weight {weight})
 (source (name "store") (zones "{zone}") (teams "crew-0" "crew-3")
  (read-gb 4) (local-rate 1.0) (remote-rate 0.0667)))
"""


class Truth:
    """What the stand-in world really does: where the data lies, and what ran how long."""

    def __init__(self) -> None:
        self.near = "a"
        self.progress: dict[str, float] = {}  # part of each task that is done and saved
        self.began: dict[str, float] = {}  # first start of each task
        self.ended: dict[str, float] = {}
        self.moves = 0

    def duration(self, zone: str) -> float:
        """Seconds that a whole task takes in the zone."""
        return WORK_S + READ_S[zone == self.near]


class MeasuredWorker(Worker):
    """A worker whose tasks take longer far from their data, and save when they are stopped."""

    truth: Truth
    apis: list[int]

    def execute_orders(self, message: dict[str, Any]) -> None:
        """Carry out the orders of an answer or a command."""
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
        self.truth.began.setdefault(task, now)
        whole = self.truth.duration(self.identity["yard"])
        left = whole * (1.0 - self.truth.progress.get(task, 0.0))
        self.legs[key] = {"leg": task, "try": key[1], "stage": "running"}
        timer = asyncio.get_running_loop().call_later(left, self._done, key)
        self.timers[key] = (timer, now, whole)

    def _done(self, key: tuple[str, int]) -> None:
        self.truth.ended[key[0]] = time.monotonic()
        self.end(key, "done")

    def _stop(self, key: tuple[str, int]) -> None:
        if self.legs[key]["stage"] != "running":
            return
        timer, began, whole = self.timers[key]
        timer.cancel()
        done = self.truth.progress.get(key[0], 0.0) + (time.monotonic() - began) / whole
        self.truth.progress[key[0]] = min(done, 1.0)
        self.truth.moves += 1
        self.legs[key]["stage"] = "flushing"
        asyncio.get_running_loop().call_later(SAVE_S, self._saved, key)

    def _saved(self, key: tuple[str, int]) -> None:
        self.legs[key].update(stage="ended", cause="halted", stored=True)

    async def run(self) -> None:
        """Report to the node that is responsible, and follow its redirects."""
        self.timers: dict[tuple[str, int], tuple[asyncio.TimerHandle, float, float]] = {}
        await self.server.start("127.0.0.1", 0)
        clients = [Client("127.0.0.1", port, limit=1) for port in self.apis]
        at = random.randrange(len(clients))
        while True:
            try:
                status, body = await clients[at].request(
                    "POST", "/agent/beat", encode(self.report()), 4.0
                )
                steward = decode_map(body).get("steward") if body else None
                if status == 200:
                    self.execute_orders(decode_map(body))
                elif steward is not None:
                    at = int(str(steward).removeprefix("runner-"))
                    continue
                else:
                    at = (at + 1) % len(clients)
            except (NotSent, Unanswered):
                at = (at + 1) % len(clients)
            await asyncio.sleep(REPORT_S)

    def used(self) -> float:
        """CPUs in use."""
        return float(sum(leg["stage"] in ("running", "flushing") for leg in self.legs.values()))


class MeasuredCloud(Cloud):
    """Twenty machines that are there from the start; no more are to be had, none is taken back."""

    def fill(self) -> None:
        """Start the workers, in either zone by turns."""
        for n in range(WORKERS):
            id = f"i-{n:06d}"
            self.workers[id] = MeasuredWorker(self, id, "m4", ZONES[n % len(ZONES)], False)

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        """As any cloud that is rented out."""
        if target == "/machines" and method == "POST":
            return reply(503, {"error": "no capacity"})
        return await super().serve(method, target, body)


def settings(n: int, ports: list[tuple[int, int]], cloud: int, state: int) -> str:
    """The settings file of one controller."""
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
        f"[settings.workers]\nreport_s = {REPORT_S}\nlease_s = 10.0\ncancel_s = 30.0\n"
        "[settings.state]\nrps = 400.0\nwrite_rps = 200.0\n"
        "[settings.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n"
    )


def job(number: int, team: str, tasks: int) -> dict[str, Any]:
    """An array that saves its progress."""
    return {
        "uid": f"j-{number:06d}", "lane": "x", "crew": team, "shape": "batch", "rank": "normal",
        "legs": tasks, "vcpus": 1.0, "gpus": 0.0, "ram_gb": 2.0, "kit": "img", "pull_gb": 0.1,
        "together": False, "spread": False, "lendable": False, "guess_s": WORK_S,
        "mark_every_s": 5.0, "mark_cost_s": SAVE_S,
    }  # fmt: skip


class Measurement:
    """One run: the load, the snapshots and what comes out."""

    def __init__(self, args: argparse.Namespace, folder: Path) -> None:
        self.args = args
        self.file = folder / "locality.sexp"
        self.truth = Truth()
        self.submitted: dict[str, tuple[str, float]] = {}
        self.snapshots: list[tuple[float, float, float]] = []  # at, part near, load over the mean
        self.rng = random.Random(args.seed)

    def write_sources(self) -> None:
        """The locality file, with the source where it is now."""
        on = not self.args.off
        text = SOURCE.format(
            on="true" if on else "false", weight=self.args.weight if on else 0, zone=self.truth.near
        )
        self.file.write_text(text, encoding="utf-8")

    def look(self, workers: list[MeasuredWorker]) -> None:
        """Note how much runs near the data, and how far the largest load is above the mean."""
        used = [(w.identity["yard"], w.used()) for w in workers]
        total = sum(cpus for _, cpus in used)
        near = sum(cpus for zone, cpus in used if zone == self.truth.near)
        busy = [cpus for _, cpus in used if cpus]
        over = max(busy) - statistics.mean(busy) if busy else 0.0
        self.snapshots.append((time.monotonic(), near / total if total else 0.0, over))

    async def submit(self, client: Client, number: int, team: str, tasks: int) -> None:
        """Submit an array, again until it is accepted."""
        body = encode(job(number, team, tasks))
        for _ in range(20):
            try:
                status, _ = await client.request("POST", "/v1/jobs", body, 5.0)
            except (NotSent, Unanswered):
                status = 0
            if status in (200, 201):
                for n in range(tasks):
                    self.submitted[f"j-{number:06d}/{n}"] = (team, time.monotonic())
                return
            await asyncio.sleep(1.0)

    async def load(self, clients: list[Client], until: float) -> None:
        """The hot team asks for a good part of its share's machines, the quiet one for little."""
        number = 0
        while time.monotonic() < until:
            number += 1
            team, tasks = (QUIET, 1) if number % 4 == 0 else (HOT, 2)
            await self.submit(self.rng.choice(clients), number, team, tasks)
            await asyncio.sleep(PAUSE_S)

    def result(self, moved_at: float) -> dict[str, Any]:
        """The figures of the run."""
        waits: dict[str, list[float]] = {HOT: [], QUIET: []}
        lasted: dict[str, list[float]] = {HOT: [], QUIET: []}
        for task, (team, at) in self.submitted.items():
            if task in self.truth.began:
                waits[team].append(self.truth.began[task] - at)
            if task in self.truth.ended:
                lasted[team].append(self.truth.ended[task] - at)
        near = [at - moved_at for at, part, _ in self.snapshots if at > moved_at and part >= NEAR]
        largest = [over for at, _, over in self.snapshots if at > moved_at + SETTLED_S]
        return {
            "on": not self.args.off,
            "seed": self.args.seed,
            "weight": self.args.weight,
            "tasks": len(self.submitted),
            "stops": self.truth.moves,
            "stops_per_hour": round(3600 * self.truth.moves / self.args.seconds, 1),
            "near_again_s": round(min(near), 1) if near else None,
            "largest_over_mean": round(statistics.mean(largest), 2) if largest else None,
            "wait_s": {t: _summary(v) for t, v in waits.items()},
            "submission_to_end_s": {t: _summary(v) for t, v in lasted.items()},
        }


def _summary(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    return {
        "n": len(values),
        "mean": round(statistics.mean(values), 2),
        "stdev": round(statistics.pstdev(values), 2),
        "max": round(max(values), 2),
    }


async def measure(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Start everything, let it run, and stop it."""
    run = Measurement(args, folder)
    run.write_sources()
    ports = [(free_port(), free_port()) for _ in range(3)]
    MeasuredWorker.truth, MeasuredWorker.apis = run.truth, [api for api, _ in ports]
    state, cloud = StateService(), MeasuredCloud(ports[0][0])
    for server in (state.server, cloud.server):
        await server.start("127.0.0.1", 0)
    cloud.fill()
    operators = folder / "operators.sexp"
    operators.write_text("(runcourse (idle-return 100000))", encoding="utf-8")
    controllers = []
    for n in range(3):
        path = folder / f"settings-{n}.toml"
        path.write_text(settings(n, ports, cloud.server.port, state.server.port), encoding="utf-8")
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
                str(run.file),
                stderr=(folder / f"runner-{n}.log").open("w"),
            )
        )
    clients = [Client("127.0.0.1", api, limit=4) for api, _ in ports]
    started = time.monotonic()
    until, moved_at = started + args.seconds, started + args.seconds / 2
    load = asyncio.create_task(run.load(clients, until))
    moved = False
    while time.monotonic() < until:
        await asyncio.sleep(2.0)
        run.look([w for w in cloud.workers.values() if isinstance(w, MeasuredWorker)])
        if not moved and time.monotonic() >= moved_at:
            moved, moved_at = True, time.monotonic()
            run.truth.near = "b"
            run.write_sources()
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
    """Run once and print the figures as JSON."""
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
