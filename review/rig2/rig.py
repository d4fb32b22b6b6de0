"""A small deployment on loopback: real controllers, stand-ins for all else, users and checks."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from cloud import Cloud, Hull
from rules import Rules
from state import State
from wire import HttpClient, NoConnection, Proxy, free_port

ROOT = Path(__file__).resolve().parents[2]
TRIES = 3
SUBMIT_S = 5.0
POLL_S = 2.0


class Rig:
    """Starts everything, lets users act and records what happens."""

    def __init__(
        self,
        record: Path,
        *,
        controllers: int = 3,
        teams: dict[str, tuple[float, float]] | None = None,
        zones: tuple[str, ...] = ("a", "b", "c"),
        hulls: list[Hull] | None = None,
        report_s: float = 1.0,
        lease_s: float = 10.0,
        cancel_s: float = 30.0,
        gang_wait_s: float = 30.0,
        lag_s: float = 5.0,
        log: str = "info",
        seed: int = 1,
    ) -> None:
        self.members = [f"runner-{n}" for n in range(controllers)]
        self.teams = teams or {f"desk-{n}": (8.0, 24.0) for n in range(3)}
        self.zones = zones
        self.times = {
            "report_s": report_s,
            "lease_s": lease_s,
            "cancel_s": cancel_s,
            "gang_wait_s": gang_wait_s,
            "gang_peer_s": 4.0,
        }
        self.lag_s = lag_s
        self.log = log
        self.began = time.monotonic()
        self._record = record.open("w", encoding="utf-8", buffering=1)
        self.rules = Rules({t: limit for t, (_, limit) in self.teams.items()}, cancel_s, self.note)
        self.state = State(self.members, seed)
        kinds = hulls or [Hull("small", 4.0, 16.0, list(zones))]
        self.cloud = Cloud(
            self.rules,
            self.members,
            kinds,
            report_s=report_s,
            lease_s=lease_s,
            gang_wait_s=gang_wait_s,
            lag_s=lag_s,
        )
        self.api = [free_port() for _ in self.members]
        self.internal = [free_port() for _ in self.members]
        self.cloud.api_ports = list(self.api)
        # By (from, to): the way of one controller to another one's internal address.
        self.peer_links: dict[tuple[int, int], Proxy] = {}
        self.processes: list[subprocess.Popen[bytes] | None] = [None for _ in self.members]
        self._temp = tempfile.TemporaryDirectory(prefix="rig2-")
        self._tasks: set[asyncio.Task[Any]] = set()
        self.check_waiting = False  # whether jobs may not wait beside machines with room

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    # --- the deployment ------------------------------------------------------------------

    async def start(self) -> None:
        """Starts the stand-ins and the controllers."""
        await self.state.start()
        cloud_port = await self.cloud.start()
        for a in range(len(self.members)):
            for b in range(len(self.members)):
                if a != b:
                    link = self.peer_links[a, b] = Proxy(self.internal[b])
                    await link.start()
        for number in range(len(self.members)):
            path = Path(self._temp.name) / f"{number}.toml"
            path.write_text(self._settings(number, cloud_port), encoding="utf-8")
            self.launch(number)
        self.spawn(self._check_regularly())

    def _settings(self, number: int, cloud_port: int) -> str:
        lines = [
            f'member = "{self.members[number]}"',
            f'area = "{self.zones[number % len(self.zones)]}"',
            f'api_addr = "127.0.0.1:{self.api[number]}"',
            f'internal_addr = "127.0.0.1:{self.internal[number]}"',
        ]
        for other, member in enumerate(self.members):
            if other != number:
                lines += [
                    "[[peers]]",
                    f'member = "{member}"',
                    f'area = "{self.zones[other % len(self.zones)]}"',
                    f'addr = "127.0.0.1:{self.peer_links[number, other].port}"',
                ]
        lines += [
            "[services]",
            f'cloud = "127.0.0.1:{cloud_port}"',
            f'state = "127.0.0.1:{self.state.ports[self.members[number]]}"',
            "[settings]",
            f"nodes = {len(self.members)}",
            f"zones = {list(self.zones)}".replace("'", '"'),
            "skew_ms = 1000.0",
        ]
        for team, (cpus, limit) in self.teams.items():
            lines += [
                "[[settings.teams]]",
                f'name = "{team}"',
                f"cpus = {cpus}",
                f"cpus_max = {limit}",
                "gpus = 0.0",
                "gpus_max = 0.0",
            ]
        lines += ["[settings.workers]", *(f"{k} = {v}" for k, v in self.times.items())]
        lines += ["[settings.state]", "rps = 200.0", "write_rps = 80.0", "value_kb = 16.0"]
        lines += ["txn_ops = 24", "[settings.cloud]", "rps = 8.0", f"list_lag_s = {self.lag_s}"]
        lines += ["[settings.quota]", "core_share = 0.54", "memory_mb = 146.0", "fd_limit = 800"]
        return "\n".join(lines) + "\n"

    def launch(self, number: int) -> None:
        """Starts a controller, unless it runs, with the command of the deploy file."""
        running = self.processes[number]
        if running is not None and running.poll() is None:
            return
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        path = Path(self._temp.name) / f"{number}.toml"
        with (Path(self._temp.name) / f"{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [*command, str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": self.log},
            )
        self.note(f"{self.members[number]} started")

    def signal(self, number: int, which: int) -> None:
        """Sends a signal to a controller that this rig started."""
        process = self.processes[number]
        if process is not None and process.poll() is None:
            self.note(f"{self.members[number]} gets {signal.Signals(which).name}")
            process.send_signal(which)
            if which == signal.SIGKILL:
                process.wait()

    def log_of(self, number: int) -> str:
        """Returns what a controller logged."""
        path = Path(self._temp.name) / f"{number}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def ended_by_themselves(self) -> list[str]:
        """Returns the controllers that ended without a signal of this rig."""
        return [
            f"{self.members[n]}: exit {p.returncode}"
            for n, p in enumerate(self.processes)
            if p is not None and p.poll() is not None and p.returncode != -signal.SIGKILL
        ]

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs something beside the test."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _check_regularly(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            self.rules.check_cancelled()
            if self.check_waiting:
                up = [w for w in self.cloud.workers.values() if w.proxy is not None]
                self.rules.check_waiting(up)
            for text in self.ended_by_themselves():
                self.rules.breaks("node_restarts", text)

    async def stop(self) -> None:
        """Ends all that was started."""
        for task in list(self._tasks):
            task.cancel()
        for number, process in enumerate(self.processes):
            if process is not None and process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            for line in self.log_of(number).splitlines():
                self._record.write(f"         log {self.members[number]} {line[:300]}\n")
        await self.cloud.close()
        await self.state.close()
        for link in self.peer_links.values():
            await link.close()
        self._record.close()
        self._temp.cleanup()

    async def ready(self, limit_s: float = 20.0) -> None:
        """Waits until all controllers are healthy; raises TimeoutError if they are not in time."""
        end = time.monotonic() + limit_s
        for number in range(len(self.members)):
            while (await self.ask(number, "GET", "/healthz", None, 1.0))[0] != 200:
                if time.monotonic() > end:
                    raise TimeoutError(f"{self.members[number]} is not healthy")
                await asyncio.sleep(0.2)

    def shares(self) -> dict[str, str]:
        """Returns the owner of each share as stored."""
        return {
            key.rpartition("/")[2]: entry.value["owner"]
            for key, entry in self.state.data.items()
            if key.startswith("rc/share/")
        }

    def leader(self) -> int:
        """Returns the number of the leader, or -1."""
        entry = self.state.data.get("rc/leader")
        return self.members.index(entry.value["member"]) if entry else -1

    # --- users ---------------------------------------------------------------------------

    async def ask(
        self, number: int, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """Sends one request on a connection of its own; status 0 means no answer."""
        client = HttpClient(self.api[number])
        try:
            status, answer, _ = await client.request(method, target, body, timeout_s)
            return status, answer
        except (NoConnection, OSError, TimeoutError):
            return 0, None
        finally:
            client.close()

    async def submit_once(self, number: int, job: dict[str, Any]) -> int:
        """Sends a submission to one controller and checks the answer."""
        if job["uid"] not in self.rules.jobs:
            self.rules.jobs[job["uid"]] = job
            self.note(f"job {job}")
        known = self.rules.known(job["uid"])
        status, body = await self.ask(number, "POST", "/v1/jobs", job, SUBMIT_S)
        stage = (body or {}).get("stage")
        self.note(f"submit {job['uid']} at {self.members[number]}: {status} {stage or ''}")
        self.rules.told(job["uid"], status, stage, known, "submit")
        return status

    async def submit(self, job: dict[str, Any], first: int = 0, limit_s: float = 60.0) -> int:
        """Submits as a user does, with repetitions; returns the last status."""
        end = time.monotonic() + limit_s
        while True:
            status = 0
            for step in range(TRIES):
                status = await self.submit_once((first + step) % len(self.members), job)
                if status:
                    break
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status
            await asyncio.sleep(1.0)

    async def poll(self, uid: str, number: int) -> str | None:
        """Asks one controller for a job; returns its stage, or None without an answer."""
        known = self.rules.known(uid)
        status, body = await self.ask(number, "GET", f"/v1/jobs/{uid}", None, POLL_S)
        stage = (body or {}).get("stage")
        self.note(f"poll {uid} at {self.members[number]}: {status} {stage or ''}")
        self.rules.told(uid, status, stage, known, "poll")
        return stage if status == 200 else None

    async def cancel_once(self, uid: str, number: int) -> str | None:
        """Sends a cancellation to one controller; returns the stage, or None without one."""
        self.rules.asked_to_cancel.add(uid)
        known = self.rules.known(uid)
        status, body = await self.ask(number, "POST", f"/v1/jobs/{uid}/withdraw", {}, SUBMIT_S)
        stage = (body or {}).get("stage")
        self.note(f"cancel {uid} at {self.members[number]}: {status} {stage or ''}")
        self.rules.told(uid, status, stage, known, "withdraw")
        return stage if status == 200 else None

    async def cancel(self, uid: str, first: int = 0, limit_s: float = 60.0) -> str | None:
        """Cancels as a user does, with repetitions."""
        end = time.monotonic() + limit_s
        number = first
        while time.monotonic() < end:
            stage = await self.cancel_once(uid, number % len(self.members))
            if stage is not None:
                return stage
            number += 1
            await asyncio.sleep(1.0)
        return None


def job(uid: int, team: str, legs: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a submission."""
    return {
        "uid": f"j-{uid:06d}",
        "lane": "scan",
        "crew": team,
        "shape": "batch",
        "rank": "normal",
        "legs": legs,
        "vcpus": 2.0,
        "gpus": 0.0,
        "ram_gb": 4.0,
        "kit": "img",
        "pull_gb": 0.2,
        "hulls": None,
        "yard": None,
        "together": False,
        "spread": False,
        "lendable": False,
        "guess_s": 2.0,
        "mark_every_s": 0.0,
        "mark_cost_s": 0.0,
        "due_s": None,
        **changes,
    }
