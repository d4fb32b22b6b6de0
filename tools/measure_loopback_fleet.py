"""Measures three real controllers with thousands of stand-in workers, all on loopback.

    python3 tools/measure_loopback_fleet.py [--workers 4000] [--report-s 3] [--seconds 60]

Stand-in state service and cloud run here, the workers in a few processes. Users submit and ask
meanwhile; halfway one controller is ended and started again. Load is bounded in count and time, and
everything stops by itself. Prints one line of JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from standins import StateService, free_port, reply  # noqa: E402

from runcourse.client import ask  # noqa: E402
from runcourse.net.http import Client, NotSent, Reply, Server, Unanswered  # noqa: E402
from runcourse.wire.codec import decode_map, encode  # noqa: E402
from runcourse.wire.peer_messages import OperatorQuestion  # noqa: E402

WORKER_HOST = "127.0.0.2"
FIRST_PORT = 20_000  # of the workers, one each
PROCESSES = 4
CONTROLLERS = 3
ZONES = ("a", "b", "c")
ANSWER_S = 4.0  # for which a worker waits
SETTINGS = """\
member = "runner-{n}"
area = "a"
api_addr = "127.0.0.1:{api}"
internal_addr = "127.0.0.1:{internal}"
{peers}
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"
[settings]
nodes = 3
zones = ["a", "b", "c"]
{teams}
[settings.workers]
report_s = {report_s}
lease_s = {lease_s}
cancel_s = 48.0
[settings.state]
rps = 400.0
write_rps = 200.0
[settings.cloud]
rps = 8.0
list_lag_s = 5.0
[settings.quota]
core_share = 1.0
memory_mb = 266.0
fd_limit = {fd_limit}
"""


def machine(number: int) -> dict[str, Any]:
    """What the cloud and the worker say of a machine."""
    return {
        "uid": f"i-{number:06d}",
        "addr": f"{WORKER_HOST}:{FIRST_PORT + number}",
        "hull": "m4",
        "yard": ZONES[number % len(ZONES)],
        "lendable": False,
    }


# --- workers, in processes of their own --------------------------------------------------


class LightWorker:
    """Reports over one connection at a time; tasks run for two seconds, services go on."""

    def __init__(self, number: int, apis: list[int], report_s: float, lease_s: float) -> None:
        self.identity = machine(number)
        self.apis, self.report_s, self.lease_s = apis, report_s, lease_s
        self.target = number % len(apis)
        self.session, self.tick, self.baton = 1, 0, 0
        self.legs: dict[tuple[str, int], dict[str, Any]] = {}
        self.connections = self.failures = 0
        self.served = False  # was any report answered with 200?
        self.leases_lost = self.tasks_lost = 0  # once it was served
        self.renewed = time.monotonic()
        self.link: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def report(self) -> bytes:
        """The next report."""
        self.tick += 1
        about = {k: v for k, v in self.identity.items() if k != "uid"}
        state = {"host": self.identity["uid"], "tenure": self.session, "tick": self.tick}
        legs = list(self.legs.values())
        return encode({**about, **state, "baton": self.baton, "warning_s": None, "legs": legs})

    def execute_orders(self, message: dict[str, Any]) -> None:
        """Carry out orders."""
        self.baton = max(self.baton, message["baton"])
        for order in message["orders"]:
            key = (order["leg"], order["try"])
            if order["verb"] == "run" and key not in self.legs:
                self.legs[key] = {"leg": order["leg"], "try": order["try"], "stage": "running"}
                if not order["leg"].startswith("j-9"):  # those last
                    asyncio.get_running_loop().call_later(2.0, self.end, key, "done")
            elif order["verb"] == "kill":
                self.end(key, "halted")
            elif order["verb"] == "clear":
                self.legs.pop(key, None)

    def end(self, key: tuple[str, int], cause: str) -> None:
        """A task exits."""
        if key in self.legs:
            self.legs[key].update(stage="ended", cause=cause)

    async def run(self) -> None:
        """Report for ever."""
        await asyncio.sleep(random.random() * self.report_s)
        while True:
            sent = time.monotonic()
            if sent - self.renewed > self.lease_s:
                self.leases_lost += self.served
                self.tasks_lost += sum(leg["stage"] == "running" for leg in self.legs.values())
                self.session, self.tick = self.session + 1, 0
                self.legs.clear()
                self.renewed = sent
            session = self.session
            try:
                async with asyncio.timeout(ANSWER_S):
                    status, body = await self.post(self.report())
            except (OSError, TimeoutError, EOFError, ValueError):
                self.failures += 1
                self.close()
                status, body = 0, {}
            if status == 200 and session == self.session and body["baton"] >= self.baton:
                self.renewed, self.served = sent, True
                self.execute_orders(body)
                await asyncio.sleep(self.report_s * random.uniform(0.75, 1.25))
            elif status == 421 and body.get("steward"):
                self.close()
                self.target = int(body["steward"].rpartition("-")[2])
                await asyncio.sleep(random.random() / 2)
            else:
                self.close()
                self.target = (self.target + 1) % len(self.apis)
                await asyncio.sleep(1.0)

    async def post(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Send a report and wait for the answer."""
        if self.link is None or self.link[0].at_eof():
            self.close()
            self.connections += 1
            self.link = await asyncio.open_connection("127.0.0.1", self.apis[self.target])
        reader, writer = self.link
        head = f"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = int(lines.partition(b"content-length:")[2].split(b"\r\n", 1)[0])
        answer = await reader.readexactly(length)
        if b"connection: close" in lines:
            self.close()
        return int(lines.split(b" ", 2)[1]), decode_map(answer) if answer else {}

    def close(self) -> None:
        """Drop the connection."""
        if self.link is not None:
            self.link[1].transport.abort()
            self.link = None

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        """Direct commands and questions."""
        if target == "/status":
            return Reply(200, self.report())
        message = decode_map(body)
        if message["baton"] < self.baton or message["tenure"] != self.session:
            return Reply(409, self.report())
        self.execute_orders(message)
        return Reply(200, self.report())


async def run_workers(args: argparse.Namespace) -> None:
    """One process of workers; prints what they went through when its input ends."""
    numbers = range(args.part, args.workers, PROCESSES)
    workers = [LightWorker(n, args.apis, args.report_s, args.lease_s) for n in numbers]
    for worker in workers:
        server = Server(worker.serve, 8)
        await server.start(WORKER_HOST, int(worker.identity["addr"].rpartition(":")[2]))
    tasks = [asyncio.create_task(w.run()) for w in workers]
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    told = {
        "sessions_before_served": sum(w.session - 1 - w.leases_lost for w in workers),
        "leases_lost": sum(w.leases_lost for w in workers),
        "tasks_lost": sum(w.tasks_lost for w in workers),
        "connections": sum(w.connections for w in workers),
        "failed_reports": sum(w.failures for w in workers),
        "running": sum(leg["stage"] == "running" for w in workers for leg in w.legs.values()),
    }
    print(json.dumps(told), flush=True)


# --- the state service, the cloud, the users ---------------------------------------------


class StaticCloud:
    """Lists the machines there are, in pages, and has no more to rent."""

    def __init__(self, workers: int) -> None:
        self.hosts = {m["uid"]: m for m in map(machine, range(workers))}
        self.released = 0
        self.server = Server(self.serve, 20)

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        """Answer a controller."""
        path, _, query = target.partition("?")
        if path == "/catalog":
            type_ = {"label": "m4", "vcpus": 4, "gpus": 0, "ram_gb": 16, "cache_gb": 40}
            cost = {"pull_gb_per_s": 1.0, "hourly": 1.0, "market_price": 0.3, "startup_s": 30}
            return reply(200, {"hulls": [{**type_, **cost, "yards": list(ZONES)}]})
        if path == "/machines" and method == "GET":
            asked = {k: v[0] for k, v in parse_qs(query).items()}
            ids = sorted(i for i in self.hosts if i > asked.get("since", ""))
            page = [{**self.hosts[i], "stage": "running", "age_s": 100.0} for i in ids[:500]]
            return reply(200, {"hosts": page, "has_next": len(ids) > 500})
        if path == "/machines/release":
            for id in decode_map(body)["hosts"]:
                self.released += self.hosts.pop(id, None) is not None
            return reply(200, {})
        return reply(503, {"error": "no capacity"})


class Users:
    """Submit jobs and ask about them, each request at a controller drawn by lot."""

    def __init__(self, apis: list[int]) -> None:
        self.apis = apis
        self.took: list[float] = []
        self.failed = 0
        self.accepted = 0

    async def ask(self, method: str, path: str, body: Any = None) -> int:
        """One request with retries at other controllers, as a balancer makes them."""
        began = time.monotonic()
        for port in random.sample(self.apis, len(self.apis)):
            client = Client("127.0.0.1", port, limit=1)
            try:
                data = None if body is None else encode(body)
                status, _ = await client.request(method, path, data, 5.0)
            except (NotSent, Unanswered):
                continue
            finally:
                client.close()
            if status < 429:
                self.took.append(time.monotonic() - began)
                return status
        self.failed += 1
        return 0

    async def run(self, seconds: float, services: int) -> None:
        """Services first, then two arrays a second, and four questions a second."""
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            number += 1
            lasting = number <= services
            uid = f"j-{9 if lasting else 1}{number:05d}"
            job = {"uid": uid, "lane": "x", "crew": f"crew-{number % 6}", "legs": 20}
            size = {"vcpus": 1.0, "gpus": 0.0, "ram_gb": 4.0, "kit": "img", "pull_gb": 0.1}
            kind = {"shape": "service" if lasting else "batch", "rank": "normal"}
            where = {"together": False, "spread": False, "lendable": False, "guess_s": 2.0}
            marks = {"mark_every_s": 0.0, "mark_cost_s": 0.0}
            asks = [self.ask("POST", "/v1/jobs", {**job, **size, **kind, **where, **marks})]
            asks += [self.ask("GET", f"/v1/jobs/{uid}") for _ in range(2)]
            self.accepted += sum(status == 201 for status in await asyncio.gather(*asks))
            await asyncio.sleep(0.5)


def spent(process: subprocess.Popen[bytes]) -> dict[str, float]:
    """Processor seconds and resident size of a process."""
    ticks = os.sysconf("SC_CLK_TCK")
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process.pid}/status").read_text()
    kib = int(status.partition("VmHWM:")[2].split()[0])
    return {"cpu_s": round((int(fields[11]) + int(fields[12])) / ticks, 2), "rss_mb": kib // 1024}


def settings_files(
    args: argparse.Namespace, folder: Path, state: int, cloud: int
) -> tuple[list[int], list[int]]:
    """Write the settings of all controllers; returns the API and the internal ports."""
    apis, internals = ([free_port() for _ in range(CONTROLLERS)] for _ in range(2))
    teams = "".join(f'[[settings.teams]]\nname = "crew-{n}"\n' for n in range(6))
    for n in range(CONTROLLERS):
        peers = "".join(
            f'[[peers]]\nmember = "runner-{k}"\narea = "a"\naddr = "127.0.0.1:{internals[k]}"\n'
            for k in range(CONTROLLERS)
            if k != n
        )
        text = SETTINGS.format(
            n=n,
            api=apis[n],
            internal=internals[n],
            peers=peers,
            cloud=cloud,
            state=state,
            teams=teams,
            report_s=args.report_s,
            lease_s=args.lease_s,
            fd_limit=args.fd_limit,
        )
        (folder / f"{n}.toml").write_text(text)
    return apis, internals


async def operators(port: int) -> dict[str, float]:
    """How long a controller takes to show its view and its metrics."""
    began = time.monotonic()
    view = await asyncio.to_thread(ask, "127.0.0.1", port, OperatorQuestion("status"))
    viewed = time.monotonic()
    client = Client("127.0.0.1", port, limit=1)
    status, text = await client.request("GET", "/metrics", None, 10.0)
    client.close()
    return {
        "machines": len(view["machines"]),
        "inspect_ms": round(1000 * (viewed - began), 1),
        "metrics_ms": round(1000 * (time.monotonic() - viewed), 1),
        "metrics_status": status,
        "metrics_bytes": len(text),
    }


def workers_process(part: int, shared: list[str]) -> subprocess.Popen[bytes]:
    """Start one process of workers; it ends when its input does."""
    command = [sys.executable, __file__, "--part", str(part), *shared]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)


async def measure(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Start everything, wait for the fleet to be recorded, serve, end a controller, stop."""
    state, cloud = StateService(), StaticCloud(args.workers)
    for server in (state.server, cloud.server):
        await server.start("127.0.0.1", 0)
    apis, internals = settings_files(args, folder, state.server.port, cloud.server.port)

    def controller(n: int) -> subprocess.Popen[bytes]:
        keep = folder / "keep.sexp"
        keep.write_text("(runcourse (idle-return 1000000))")
        command = [sys.executable, str(ROOT / "run.py"), "serve", "--operators", str(keep)]
        command += ["--config", str(folder / f"{n}.toml")]
        log = (folder / f"{n}.log").open("ab")
        return subprocess.Popen(command, stderr=log, env={**os.environ, "LOG_LEVEL": "info"})

    controllers = [controller(n) for n in range(CONTROLLERS)]
    shared = ["--workers", str(args.workers), "--report-s", str(args.report_s)]
    shared += ["--lease-s", str(args.lease_s), "--apis", *map(str, apis)]
    parts = [workers_process(part, shared) for part in range(PROCESSES)]
    result: dict[str, Any] = {"workers": args.workers, "report_s": args.report_s}
    try:
        began = time.monotonic()
        while sum(k.startswith("rc/machine/") for k in state.data) < args.workers:
            await asyncio.sleep(0.2)
            if time.monotonic() > began + 180:
                raise TimeoutError("the fleet was not recorded")
        result["recorded_s"] = round(time.monotonic() - began, 1)
        await asyncio.sleep(10.0)
        users = Users(apis)
        before = [spent(c) for c in controllers]
        await users.run(args.seconds / 2, 20)
        after = [spent(c) for c in controllers]
        result["core_share"] = [
            round((b["cpu_s"] - a["cpu_s"]) * 2 / args.seconds, 3)
            for a, b in zip(before, after, strict=True)
        ]
        result["users"] = told(users)
        result["operators"] = [await operators(port) for port in internals]
        controllers[0].kill()
        controllers[0].wait()
        ended = Users(apis)
        serving = asyncio.create_task(ended.run(args.seconds / 2, 0))
        await asyncio.sleep(8.0)
        controllers[0] = controller(0)
        await serving
        result["users_with_one_ended"] = told(ended)
        await asyncio.sleep(8.0)
        result["rss_mb"] = [spent(c)["rss_mb"] for c in controllers]
        result["released"] = cloud.released
        ends = [await asyncio.to_thread(p.communicate, b"") for p in parts]
        sums = [json.loads(out) for out, _ in ends]
        result["workers_told"] = {k: sum(s[k] for s in sums) for k in sums[0]}
    finally:
        for process in (*controllers, *parts):
            process.kill()
    return result


def told(users: Users) -> dict[str, Any]:
    """What users went through."""
    took = sorted(users.took)
    return {
        "answers": len(took),
        "failed": users.failed,
        "accepted": users.accepted,
        "median_ms": round(1000 * statistics.median(took), 1),
        "p99_ms": round(1000 * took[int(0.99 * (len(took) - 1))], 1),
        "longest_ms": round(1000 * took[-1], 1),
    }


def main() -> None:
    """Measure once, or be one process of workers."""
    parser = argparse.ArgumentParser(description="Measure controllers with thousands of workers.")
    parser.add_argument("--workers", type=int, default=4000)
    parser.add_argument("--report-s", type=float, default=3.0)
    parser.add_argument("--lease-s", type=float, default=18.0)
    parser.add_argument("--fd-limit", type=int, default=800)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--part", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--apis", type=int, nargs="*", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.part is not None:
        asyncio.run(run_workers(args))
        return
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(measure(args, Path(folder)))))


if __name__ == "__main__":
    main()
