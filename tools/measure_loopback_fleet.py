"""Measures three real controllers with thousands of simulated workers, all on loopback.

    python3 tools/measure_loopback_fleet.py [--workers 4000] [--report-s 3] [--seconds 60]

A simulated state service and cloud run in this process, the workers in a few others. Simulated
users submit and poll jobs; halfway one controller is killed and started again. The load is bounded
in count and time, and everything stops by itself. Prints one line of JSON.
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
FIRST_WORKER_PORT = 20_000  # one port per worker, in sequence
PROCESSES = 4
CONTROLLERS = 3
ZONES = ("a", "b", "c")
REPORT_TIMEOUT_S = 4.0  # for the answer to a report
TASK_S = 2.0
SERVICE_PREFIX = "j-9"  # of the names of services, whose tasks run until they are stopped
REDIRECTED = 421  # status of a controller that names the responsible one
REPORT_JITTER = (0.75, 1.25)  # factors on the interval between reports
MAX_REDIRECT_PAUSE_S = 0.5
RETRY_PAUSE_S = 1.0
WORKER_CONNECTIONS = 8
CLOUD_CONNECTIONS = 20
CLOUD_PAGE = 500  # machines per page of the list
USER_TIMEOUT_S = 5.0
FIRST_RETRIED_STATUS = 429  # this status and higher ones are retried at another controller
METRICS_TIMEOUT_S = 10.0
SUBMIT_INTERVAL_S = 0.5
POLLS_PER_SUBMISSION = 2
TASKS_PER_JOB = 20
TEAMS = 6
SERVICES = 20
RECORDED_TIMEOUT_S = 180
WARM_UP_S = 10.0
DOWNTIME_S = 8.0  # of the killed controller
RECOVERY_S = 8.0
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


def machine_info(number: int) -> dict[str, Any]:
    """Returns a machine as the cloud lists it and its worker reports it."""
    return {
        "uid": f"i-{number:06d}",
        "addr": f"{WORKER_HOST}:{FIRST_WORKER_PORT + number}",
        "hull": "m4",
        "yard": ZONES[number % len(ZONES)],
        "lendable": False,
    }


# --- Workers, in separate processes ------------------------------------------------------


class LightWorker:
    """Reports over one connection at a time; tasks end after `TASK_S`, except those of services."""

    def __init__(self, number: int, apis: list[int], report_s: float, lease_s: float) -> None:
        self.machine_fields = machine_info(number)
        self.apis, self.report_s, self.lease_s = apis, report_s, lease_s
        self.target = number % len(apis)
        self.session, self.sequence_number, self.token = 1, 0, 0
        # Tasks by task name and attempt, with the fields of the workers' protocol.
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.connections = self.failed_reports = 0
        self.was_answered = False  # whether any report was answered with 200
        self.leases_lost = self.tasks_lost = 0  # counted after the first answered report
        self.lease_renewed_at = time.monotonic()
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def report(self) -> bytes:
        """Encodes the next report."""
        self.sequence_number += 1
        attributes = {k: v for k, v in self.machine_fields.items() if k != "uid"}
        state = {
            "host": self.machine_fields["uid"],
            "tenure": self.session,
            "tick": self.sequence_number,
        }
        tasks = list(self.tasks.values())
        return encode(
            {**attributes, **state, "baton": self.token, "warning_s": None, "legs": tasks}
        )

    def execute_orders(self, message: dict[str, Any]) -> None:
        """Carries out the orders of an answer or a command."""
        self.token = max(self.token, message["baton"])
        for order in message["orders"]:
            key = (order["leg"], order["try"])
            if order["verb"] == "run" and key not in self.tasks:
                self.tasks[key] = {"leg": order["leg"], "try": order["try"], "stage": "running"}
                if not order["leg"].startswith(SERVICE_PREFIX):
                    asyncio.get_running_loop().call_later(TASK_S, self.end, key, "done")
            elif order["verb"] == "kill":
                self.end(key, "halted")
            elif order["verb"] == "clear":
                self.tasks.pop(key, None)

    def end(self, key: tuple[str, int], cause: str) -> None:
        """Records the end of a task."""
        if key in self.tasks:
            self.tasks[key].update(stage="ended", cause=cause)

    async def run(self) -> None:
        """Sends reports until it is cancelled; starts a new session when the lease is over."""
        await asyncio.sleep(random.random() * self.report_s)
        while True:
            sent = time.monotonic()
            if sent - self.lease_renewed_at > self.lease_s:
                self.leases_lost += self.was_answered
                self.tasks_lost += sum(task["stage"] == "running" for task in self.tasks.values())
                self.session, self.sequence_number = self.session + 1, 0
                self.tasks.clear()
                self.lease_renewed_at = sent
            session = self.session
            try:
                async with asyncio.timeout(REPORT_TIMEOUT_S):
                    status, body = await self.post(self.report())
            except (OSError, TimeoutError, EOFError, ValueError):
                self.failed_reports += 1
                self.close()
                status, body = 0, {}
            if status == 200 and session == self.session and body["baton"] >= self.token:
                self.lease_renewed_at, self.was_answered = sent, True
                self.execute_orders(body)
                await asyncio.sleep(self.report_s * random.uniform(*REPORT_JITTER))
            elif status == REDIRECTED and body.get("steward"):
                self.close()
                self.target = int(body["steward"].rpartition("-")[2])
                await asyncio.sleep(random.random() * MAX_REDIRECT_PAUSE_S)
            else:
                self.close()
                self.target = (self.target + 1) % len(self.apis)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def post(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Sends a report and returns the status and the decoded answer."""
        if self.connection is None or self.connection[0].at_eof():
            self.close()
            self.connections += 1
            self.connection = await asyncio.open_connection("127.0.0.1", self.apis[self.target])
        reader, writer = self.connection
        head = f"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = int(lines.partition(b"content-length:")[2].split(b"\r\n", 1)[0])
        answer = await reader.readexactly(length)
        if b"connection: close" in lines:
            self.close()
        return int(lines.split(b" ", 2)[1]), decode_map(answer) if answer else {}

    def close(self) -> None:
        """Aborts the connection."""
        if self.connection is not None:
            self.connection[1].transport.abort()
            self.connection = None

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        """Answers commands and status requests of a controller."""
        if target == "/status":
            return Reply(200, self.report())
        message = decode_map(body)
        if message["baton"] < self.token or message["tenure"] != self.session:
            return Reply(409, self.report())
        self.execute_orders(message)
        return Reply(200, self.report())


async def run_workers(args: argparse.Namespace) -> None:
    """Runs one process of workers; prints their counters when its standard input ends."""
    numbers = range(args.part, args.workers, PROCESSES)
    workers = [LightWorker(n, args.apis, args.report_s, args.lease_s) for n in numbers]
    for worker in workers:
        server = Server(worker.serve, WORKER_CONNECTIONS)
        await server.start(WORKER_HOST, int(worker.machine_fields["addr"].rpartition(":")[2]))
    tasks = [asyncio.create_task(w.run()) for w in workers]
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    summary = {
        "sessions_before_served": sum(w.session - 1 - w.leases_lost for w in workers),
        "leases_lost": sum(w.leases_lost for w in workers),
        "tasks_lost": sum(w.tasks_lost for w in workers),
        "connections": sum(w.connections for w in workers),
        "failed_reports": sum(w.failed_reports for w in workers),
        "running": sum(entry["stage"] == "running" for w in workers for entry in w.tasks.values()),
    }
    print(json.dumps(summary), flush=True)


# --- The state service, the cloud and the users ------------------------------------------


class StaticCloud:
    """Lists a fixed set of machines in pages and has no capacity to rent more."""

    def __init__(self, workers: int) -> None:
        self.hosts = {m["uid"]: m for m in map(machine_info, range(workers))}
        self.released = 0
        self.server = Server(self.serve, CLOUD_CONNECTIONS)

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        """Answers a request of a controller."""
        path, _, query = target.partition("?")
        if path == "/catalog":
            type_ = {"label": "m4", "vcpus": 4, "gpus": 0, "ram_gb": 16, "cache_gb": 40}
            cost = {"pull_gb_per_s": 1.0, "hourly": 1.0, "market_price": 0.3, "startup_s": 30}
            return reply(200, {"hulls": [{**type_, **cost, "yards": list(ZONES)}]})
        if path == "/machines" and method == "GET":
            asked = {k: v[0] for k, v in parse_qs(query).items()}
            ids = sorted(i for i in self.hosts if i > asked.get("since", ""))
            page = [{**self.hosts[i], "stage": "running", "age_s": 100.0} for i in ids[:CLOUD_PAGE]]
            return reply(200, {"hosts": page, "has_next": len(ids) > CLOUD_PAGE})
        if path == "/machines/release":
            for id in decode_map(body)["hosts"]:
                self.released += self.hosts.pop(id, None) is not None
            return reply(200, {})
        return reply(503, {"error": "no capacity"})


class Users:
    """Submit jobs and poll them, each request at a random controller."""

    def __init__(self, apis: list[int]) -> None:
        self.apis = apis
        self.response_times: list[float] = []
        self.failed = 0
        self.accepted = 0

    async def request_any(self, method: str, path: str, body: Any = None) -> int:
        """Sends a request with retries at other controllers, as a load balancer does."""
        started = time.monotonic()
        for port in random.sample(self.apis, len(self.apis)):
            client = Client("127.0.0.1", port, limit=1)
            try:
                data = None if body is None else encode(body)
                status, _ = await client.request(method, path, data, USER_TIMEOUT_S)
            except (NotSent, Unanswered):
                continue
            finally:
                client.close()
            if status < FIRST_RETRIED_STATUS:
                self.response_times.append(time.monotonic() - started)
                return status
        self.failed += 1
        return 0

    async def run(self, seconds: float, services: int) -> None:
        """Submits services, then arrays: two jobs per second with two polls each."""
        deadline = time.monotonic() + seconds
        number = 0
        while time.monotonic() < deadline:
            number += 1
            is_service = number <= services
            uid = f"j-{9 if is_service else 1}{number:05d}"
            job = {"uid": uid, "lane": "x", "crew": f"crew-{number % TEAMS}", "legs": TASKS_PER_JOB}
            size = {"vcpus": 1.0, "gpus": 0.0, "ram_gb": 4.0, "kit": "img", "pull_gb": 0.1}
            kind = {"shape": "service" if is_service else "batch", "rank": "normal"}
            where = {"together": False, "spread": False, "lendable": False, "guess_s": 2.0}
            marks = {"mark_every_s": 0.0, "mark_cost_s": 0.0}
            requests = [
                self.request_any("POST", "/v1/jobs", {**job, **size, **kind, **where, **marks})
            ]
            requests += [
                self.request_any("GET", f"/v1/jobs/{uid}") for _ in range(POLLS_PER_SUBMISSION)
            ]
            self.accepted += sum(status == 201 for status in await asyncio.gather(*requests))
            await asyncio.sleep(SUBMIT_INTERVAL_S)


def process_usage(process: subprocess.Popen[bytes]) -> dict[str, float]:
    """Returns the CPU seconds and the peak resident size of a process."""
    ticks = os.sysconf("SC_CLK_TCK")
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process.pid}/status").read_text()
    kib = int(status.partition("VmHWM:")[2].split()[0])
    return {"cpu_s": round((int(fields[11]) + int(fields[12])) / ticks, 2), "rss_mb": kib // 1024}


def settings_files(
    args: argparse.Namespace, folder: Path, state: int, cloud: int
) -> tuple[list[int], list[int]]:
    """Writes the settings files of all controllers; returns their API and internal ports."""
    apis, internals = ([free_port() for _ in range(CONTROLLERS)] for _ in range(2))
    teams = "".join(f'[[settings.teams]]\nname = "crew-{n}"\n' for n in range(TEAMS))
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


async def measure_operator_requests(port: int) -> dict[str, float]:
    """Measures how long a controller takes to return its status and its metrics."""
    started = time.monotonic()
    controller_status = await asyncio.to_thread(ask, "127.0.0.1", port, OperatorQuestion("status"))
    status_received = time.monotonic()
    client = Client("127.0.0.1", port, limit=1)
    status, text = await client.request("GET", "/metrics", None, METRICS_TIMEOUT_S)
    client.close()
    return {
        "machines": len(controller_status["machines"]),
        "inspect_ms": round(1000 * (status_received - started), 1),
        "metrics_ms": round(1000 * (time.monotonic() - status_received), 1),
        "metrics_status": status,
        "metrics_bytes": len(text),
    }


def start_workers(part: int, shared: list[str]) -> subprocess.Popen[bytes]:
    """Starts one process of workers; it ends when its standard input is closed."""
    command = [sys.executable, __file__, "--part", str(part), *shared]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)


async def measure(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Runs the measurement: records the fleet, applies load, kills a controller, stops."""
    state, cloud = StateService(), StaticCloud(args.workers)
    for server in (state.server, cloud.server):
        await server.start("127.0.0.1", 0)
    apis, internals = settings_files(args, folder, state.server.port, cloud.server.port)

    def start_controller(n: int) -> subprocess.Popen[bytes]:
        operators = folder / "operators.sexp"
        operators.write_text("(runcourse (idle-return 1000000))")
        command = [sys.executable, str(ROOT / "run.py"), "serve", "--operators", str(operators)]
        command += ["--config", str(folder / f"{n}.toml")]
        log = (folder / f"{n}.log").open("ab")
        return subprocess.Popen(command, stderr=log, env={**os.environ, "LOG_LEVEL": "info"})

    controllers = [start_controller(n) for n in range(CONTROLLERS)]
    shared = ["--workers", str(args.workers), "--report-s", str(args.report_s)]
    shared += ["--lease-s", str(args.lease_s), "--apis", *map(str, apis)]
    parts = [start_workers(part, shared) for part in range(PROCESSES)]
    result: dict[str, Any] = {"workers": args.workers, "report_s": args.report_s}
    try:
        started = time.monotonic()
        while sum(k.startswith("rc/machine/") for k in state.data) < args.workers:
            await asyncio.sleep(0.2)
            if time.monotonic() > started + RECORDED_TIMEOUT_S:
                raise TimeoutError(f"fleet not recorded within {RECORDED_TIMEOUT_S} s")
        result["recorded_s"] = round(time.monotonic() - started, 1)
        await asyncio.sleep(WARM_UP_S)
        users = Users(apis)
        before = [process_usage(c) for c in controllers]
        await users.run(args.seconds / 2, SERVICES)
        after = [process_usage(c) for c in controllers]
        result["core_share"] = [
            round((end["cpu_s"] - begin["cpu_s"]) * 2 / args.seconds, 3)
            for begin, end in zip(before, after, strict=True)
        ]
        result["users"] = summarize(users)
        result["operators"] = [await measure_operator_requests(port) for port in internals]
        controllers[0].kill()
        controllers[0].wait()
        users_after_kill = Users(apis)
        serving = asyncio.create_task(users_after_kill.run(args.seconds / 2, 0))
        await asyncio.sleep(DOWNTIME_S)
        controllers[0] = start_controller(0)
        await serving
        result["users_with_one_ended"] = summarize(users_after_kill)
        await asyncio.sleep(RECOVERY_S)
        result["rss_mb"] = [process_usage(c)["rss_mb"] for c in controllers]
        result["released"] = cloud.released
        ends = [await asyncio.to_thread(p.communicate, b"") for p in parts]
        sums = [json.loads(out) for out, _ in ends]
        result["workers_told"] = {k: sum(s[k] for s in sums) for k in sums[0]}
    finally:
        for process in (*controllers, *parts):
            process.kill()
    return result


def summarize(users: Users) -> dict[str, Any]:
    """Returns the counters and response times of the users."""
    response_times = sorted(users.response_times)
    return {
        "answers": len(response_times),
        "failed": users.failed,
        "accepted": users.accepted,
        "median_ms": round(1000 * statistics.median(response_times), 1),
        "p99_ms": round(1000 * response_times[int(0.99 * (len(response_times) - 1))], 1),
        "longest_ms": round(1000 * response_times[-1], 1),
    }


def main() -> None:
    """Measures once, or runs one process of workers if `--part` is given."""
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
