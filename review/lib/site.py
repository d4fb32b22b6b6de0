"""Starts controllers as processes beside the stand-ins, and plays the part of their users."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

from .fleet import Cloud
from .http import Client, pack
from .state import StateService

ROOT = Path(__file__).resolve().parents[2]
LOG_LINES = 200  # of each controller's log, kept with the record
HULLS = {
    "kutch-small": {
        "vcpus": 4.0,
        "gpus": 0.0,
        "ram_gb": 16.0,
        "hourly": 0.22,
        "market_price": 0.07,
        "rate": 0.6,
        "startup_s": 3.0,
        "yards": ["gandhinagar-a", "vadodara-b", "surat-c"],
    },
    "sabarmati-large": {
        "vcpus": 32.0,
        "gpus": 0.0,
        "ram_gb": 256.0,
        "hourly": 1.92,
        "market_price": 0.53,
        "rate": 1.2,
        "startup_s": 3.0,
        "yards": ["gandhinagar-a", "vadodara-b", "surat-c"],
    },
}


def free_port() -> int:
    """Returns a free loopback port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Link:
    """A proxy between two controllers that can hold, reset or refuse."""

    def __init__(self, to_port: int) -> None:
        self.to_port = to_port
        self.port = 0
        self.open = asyncio.Event()
        self.open.set()
        self.refusing = False
        self.reset_after_s = 0.0  # how long a connection lives while `refusing`
        self.resets = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.on_data: Any = None  # hook(data, writer) for what the first side sends
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listens and returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            await asyncio.sleep(self.reset_after_s * random.uniform(0.75, 1.25))
            self.resets += 1
            reset(writer)
            return
        self.writers.add(writer)
        try:
            await self.open.wait()
            there, back = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            reset(writer)
            return
        self.writers.add(back)
        await asyncio.gather(
            self._pump(reader, back, writer, self.on_data), self._pump(there, writer, back, None)
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        origin: asyncio.StreamWriter,
        hook: Any,
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                if hook is not None and hook(data, origin):
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        for side in (writer, origin):
            self.writers.discard(side)
            side.close()

    def reset_all(self) -> None:
        """Resets all connections."""
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Controller:
    """One controller process."""

    def __init__(self, site: Site, index: int) -> None:
        self.site, self.index = site, index
        self.name = f"runner-{index}"
        self.process: subprocess.Popen[bytes] | None = None
        self.log = site.folder / f"{self.name}.log"

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        config = self.site.folder / f"{self.name}.toml"
        environment = {**os.environ, "LOG_LEVEL": self.site.log_level}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*shlex.split(run), str(config)], cwd=ROOT, stderr=log, stdout=log, env=environment
            )
        self.site.cloud.note("process-start", node=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.cloud.note("signal", node=self.name, signal=number.name)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def held_mb(self) -> float:
        """Returns the memory that the process holds, without the pages of files."""
        if self.ended or self.process is None:
            return 0.0
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return sum(int(fields[name].split()[0]) / 1024 for name in ("RssAnon", "RssShmem"))

    @property
    def ended(self) -> bool:
        """Whether the process has ended by itself or was killed."""
        return self.process is None or self.process.poll() is not None


class Site:
    """A small deployment: controllers, stand-ins and users."""

    def __init__(self, **options: Any) -> None:
        self.nodes = int(options.get("nodes", 3))
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.log_level = str(options.get("log_level", "info"))
        self.options = options
        self.report_s = float(options.get("report_s", 1.0))
        self.lease_s = float(options.get("lease_s", 10.0))
        self.cancel_s = float(options.get("cancel_s", 30.0))
        self.teams: dict[str, tuple[float, float]] = options.get("teams") or {
            f"dealer-desk-{n:02d}": (32.0, 80.0) for n in range(8)
        }
        self.memory_mb = float(options.get("memory_mb", 146))
        self.members = [f"runner-{n}" for n in range(self.nodes)]
        self.apis = [free_port() for _ in self.members]
        self.internals = [free_port() for _ in self.members]
        self.state = StateService(
            self.nodes, float(options.get("rps", 200)), float(options.get("write_rps", 80)), 24
        )
        zones = ["gandhinagar-a", "vadodara-b", "surat-c"]
        hulls = options.get("hulls") or HULLS
        capacity = options.get("capacity") or {
            (hull, zone, spot): int(options.get("per_place", 4))
            for hull in hulls
            for zone in zones
            for spot in (False, True)
        }
        self.zones = zones
        self.cloud = Cloud(
            self.members,
            self.apis,
            {
                "report_s": self.report_s,
                "lease_s": self.lease_s,
                "cancel_s": self.cancel_s,
                "list_lag_s": float(options.get("list_lag_s", 5.0)),
                "gang_wait_s": 30.0,
                "gang_peer_s": 4.0,
                "hulls": hulls,
                "capacity": capacity,
                "team_limits": {name: limit for name, (_, limit) in self.teams.items()},
            },
        )
        self.links: dict[tuple[int, int], Link] = {}
        self.controllers = [Controller(self, n) for n in range(self.nodes)]
        self.accepted: dict[str, float] = {}
        self.final: dict[str, str] = {}
        self.memory_kills: Counter[str] = Counter()
        self.users: set[asyncio.Task[None]] = set()
        self.next_uid = int(options.get("first_uid", 1000))

    async def start(self) -> None:
        """Starts the stand-ins and the controllers."""
        state_ports = await self.state.start()
        cloud_port = await self.cloud.start()
        for a in range(self.nodes):
            for b in range(self.nodes):
                if a != b:
                    link = self.links[a, b] = Link(self.internals[b])
                    await link.start()
        for controller in self.controllers:
            self._write_settings(controller, state_ports[controller.index], cloud_port)
            controller.start()

    def _write_settings(self, controller: Controller, state_port: int, cloud_port: int) -> None:
        n = controller.index
        lines = [
            f'member = "{controller.name}"',
            f'area = "{self.zones[n % len(self.zones)]}"',
            f'api_addr = "127.0.0.1:{self.apis[n]}"',
            f'internal_addr = "127.0.0.1:{self.internals[n]}"',
        ]
        for other in range(self.nodes):
            if other != n:
                lines += [
                    "[[peers]]",
                    f'member = "{self.members[other]}"',
                    f'area = "{self.zones[other % len(self.zones)]}"',
                    f'addr = "127.0.0.1:{self.links[n, other].port}"',
                ]
        lines += [
            "[services]",
            f'cloud = "127.0.0.1:{cloud_port}"',
            f'state = "127.0.0.1:{state_port}"',
            "[settings]",
            f"nodes = {self.nodes}",
            f"zones = {self.zones}".replace("'", '"'),
            "skew_ms = 1000.0",
        ]
        for name, (cpus, limit) in self.teams.items():
            lines += [
                "[[settings.teams]]",
                f'name = "{name}"',
                f"cpus = {cpus}",
                f"cpus_max = {limit}",
                "gpus = 0.0",
                "gpus_max = 0.0",
            ]
        lines += [
            "[settings.workers]",
            f"report_s = {self.report_s}",
            f"lease_s = {self.lease_s}",
            "gang_wait_s = 30.0",
            "gang_peer_s = 4.0",
            f"cancel_s = {self.cancel_s}",
            "[settings.state]",
            f"rps = {self.state.requests.rate}",
            f"write_rps = {self.state.writes.rate}",
            "value_kb = 16.0",
            "txn_ops = 24",
            "[settings.cloud]",
            "rps = 8.0",
            f"list_lag_s = {self.cloud.lag_s}",
            "[settings.quota]",
            "core_share = 0.54",
            f"memory_mb = {self.memory_mb}",
            "fd_limit = 800",
        ]
        (self.folder / f"{controller.name}.toml").write_text("\n".join(lines) + "\n")

    async def enforce_memory(self, back_s: float = 8.0) -> None:
        """Kills each controller over its limit and starts it again, as the platform does."""
        for _ in itertools.repeat(None):
            await asyncio.sleep(0.2)
            for controller in self.controllers:
                held = controller.held_mb()
                if held > self.memory_mb:
                    controller.kill()
                    self.cloud.note("killed-for-memory", node=controller.name, mb=round(held, 1))
                    self.memory_kills[controller.name] += 1
                    self.users.add(asyncio.create_task(self._start_later(controller, back_s)))

    async def _start_later(self, controller: Controller, after_s: float) -> None:
        await asyncio.sleep(after_s)
        controller.start()

    # --- users ---------------------------------------------------------------------------

    async def call(
        self, node: int, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Sends one request of a user over a connection of its own."""
        client = Client("127.0.0.1", self.apis[node])
        status, answer = await client.request(method, path, body, timeout_s)
        client.close()
        self.cloud.note("user", node=node, call=f"{method} {path}", status=status, answer=answer)
        return status, answer

    def job(self, **fields: Any) -> dict[str, Any]:
        """Returns a submission; `run_s` is known to the workers only."""
        self.next_uid += 1
        job = {
            "uid": f"j-{self.next_uid:06d}",
            "lane": "rc-scan-batch",
            "crew": "dealer-desk-00",
            "shape": "batch",
            "rank": "urgent",
            "legs": 1,
            "vcpus": 4.0,
            "gpus": 0.0,
            "ram_gb": 10.0,
            "kit": "img-1",
            "pull_gb": 0.3,
            "hulls": None,
            "yard": None,
            "together": False,
            "spread": False,
            "lendable": True,
            "guess_s": 10.0,
            "mark_every_s": 0.0,
            "mark_cost_s": 0.0,
            "due_s": None,
            "run_s": 10.0,
        }
        job.update(fields)
        return job

    async def submit(self, job: dict[str, Any], node: int = 0, for_s: float = 60.0) -> int:
        """Submits a job, repeated as a user repeats it; returns the last status."""
        self.cloud.jobs[job["uid"]] = job
        body = {k: v for k, v in job.items() if k != "run_s"}
        until = time.monotonic() + for_s
        status = 0
        while time.monotonic() < until:
            status, _ = await self.call(node, "POST", "/v1/jobs", body)
            if status in (200, 201):
                self.accepted.setdefault(job["uid"], time.monotonic())
                return status
            if status in (400, 422):
                return status
            node = (node + 1) % self.nodes
            await asyncio.sleep(1.0)
        return status

    async def poll(self, uid: str, node: int, timeout_s: float = 2.0) -> str | None:
        """Asks for a job's state and checks it against what was told before."""
        before = self.final.get(uid)
        status, body = await self.call(node, "GET", f"/v1/jobs/{uid}", None, timeout_s)
        blame = self.cloud.ledger.blame
        if status == 404 and uid in self.accepted:
            blame("forgotten", f"{uid} got 404")
        if status == 200 and uid not in self.cloud.jobs:
            blame("invented", uid)
        if status != 200:
            return None
        stage = str(body["stage"])
        if before is not None and stage != before:
            blame("went_back", f"{uid} was {before}, now {stage}")
        if stage == "done":
            legs = self.cloud.jobs[uid]["legs"]
            missing = [n for n in range(legs) if f"{uid}/{n}" not in self.cloud.done]
            if missing:
                blame("not_done", f"{uid} called done without {len(missing)} of its tasks")
        if stage in ("done", "cancelled"):
            self.final[uid] = stage
            if stage == "cancelled":
                self.cloud.cancelled_at.setdefault(uid, time.monotonic())
        return stage

    async def withdraw(self, uid: str, node: int = 0, for_s: float = 60.0) -> str | None:
        """Cancels a job, repeated as a user repeats it."""
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            status, body = await self.call(node, "POST", f"/v1/jobs/{uid}/withdraw", pack({}))
            if status == 200:
                stage = str(body["stage"])
                self.final.setdefault(uid, stage)
                if stage == "cancelled":
                    self.cloud.cancelled_at.setdefault(uid, time.monotonic())
                return stage
            node = (node + 1) % self.nodes
            await asyncio.sleep(1.0)
        return None

    async def healthy(self, for_s: float = 20.0) -> bool:
        """Waits until all controllers are healthy."""
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            answers = [(await self.call(n, "GET", "/healthz"))[0] for n in range(self.nodes)]
            if answers == [200] * self.nodes:
                return True
            await asyncio.sleep(0.3)
        return False

    async def owned(self, for_s: float = 20.0) -> bool:
        """Waits until there is a leader and all shares have owners."""
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            if self.leader() is not None and None not in map(self.owner, range(self.nodes)):
                return True
            await asyncio.sleep(0.1)
        return False

    def leader(self) -> int | None:
        """Returns the index of the leader, as the state service holds it."""
        entry = self.state.data.get("rc/leader")
        return self.members.index(entry[0]["member"]) if entry else None

    def owner(self, share: int) -> int | None:
        """Returns the index of a share's owner, as the state service holds it."""
        entry = self.state.data.get(f"rc/share/{share}")
        return self.members.index(entry[0]["owner"]) if entry else None

    def stop(self) -> None:
        """Ends all processes and servers."""
        for controller in self.controllers:
            controller.signal(signal.SIGCONT)
            controller.kill()
        for worker in list(self.cloud.workers.values()):
            for task in worker.tasks:
                task.cancel()
            worker.server.close()

    def write_record(self, path: Path) -> None:
        """Writes what was sent, answered and run."""
        lines = list(self.cloud.record)
        for controller in self.controllers:
            log = controller.log.read_text(errors="replace") if controller.log.exists() else ""
            lines += [f"{controller.name}: {line}" for line in log.splitlines()[-LOG_LINES:]]
        path.write_text("\n".join(lines) + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)
