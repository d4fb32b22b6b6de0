"""A cloud and workers as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import Any

from rules import Rules
from wire import HttpClient, HttpServer, NoConnection, Proxy

REPORT_TIMEOUT_S = 4.0
STEP_S = 0.05
MIN_REPORT_GAP_S = 0.5
HOLDING = ("waiting", "running", "flushing")


class Hull:
    """A machine type of the catalogue."""

    def __init__(self, label: str, cpus: float, ram: float, yards: list[str]) -> None:
        self.label = label
        self.cpus = cpus
        self.ram = ram
        self.yards = yards
        self.startup_s = 1.0
        self.pull_gb_per_s = 1.0

    def row(self) -> dict[str, Any]:
        """Returns the entry of the catalogue."""
        return {
            "label": self.label,
            "vcpus": self.cpus,
            "gpus": 0,
            "ram_gb": self.ram,
            "cache_gb": 40,
            "pull_gb_per_s": self.pull_gb_per_s,
            "hourly": 1.0,
            "market_price": 0.4,
            "startup_s": self.startup_s,
            "yards": self.yards,
        }


class Leg:
    """One attempt of a task on a machine."""

    def __init__(self, task: str, attempt: int, job: dict[str, Any]) -> None:
        self.task = task
        self.attempt = attempt
        self.job = job
        self.stage = "fetching"
        self.cause: str | None = None
        self.stored = False
        self.since = time.monotonic()
        self.left_s = 0.0

    def body(self) -> dict[str, Any]:
        """Returns the entry of a report."""
        body = {"leg": self.task, "try": self.attempt, "stage": self.stage}
        if self.cause:
            body |= {"cause": self.cause, "stored": self.stored}
        return body


class Worker:
    """One machine's worker.

    `hung_until`: it does nothing before that instant. `mute`: its reports reach nobody. `deaf`:
    answers and commands are lost. `late_command`: called with each direct command, it returns the
    seconds by which the command is held up unanswered, or 0. `reset`: its own connections are reset
    (with `mute`) instead of hanging.
    """

    def __init__(self, cloud: Cloud, name: str, hull: Hull, zone: str, lendable: bool) -> None:
        self.cloud = cloud
        self.name = name
        self.hull = hull.label
        self.cpus = hull.cpus
        self.ram = hull.ram
        self.pull = hull.pull_gb_per_s
        self.zone = zone
        self.lendable = lendable
        self.rng = random.Random(name)
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.legs: dict[tuple[str, int], Leg] = {}
        self.images: set[str] = set()
        self.renewed_at = time.monotonic()
        self.warning_until: float | None = None
        self.hung_until = 0.0
        self.mute = False
        self.unreachable: set[int] = set()  # controllers that its reports do not reach
        self.deaf = False
        self.late_command: Callable[[Any], float] | None = None
        self.faulty = False
        self.alive = True
        self.node = 0
        self.server = HttpServer(self._serve)
        self.proxy: Proxy | None = None
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._client: HttpClient | None = None
        self._commands: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins to listen and to report."""
        await self.server.start()
        self.proxy = Proxy(self.server.port)
        await self.proxy.start()
        self.renewed_at = time.monotonic()
        self.node = self.rng.randrange(len(self.cloud.api_ports))
        self._tasks = [
            asyncio.ensure_future(self._report_regularly()),
            asyncio.ensure_future(self._step_regularly()),
        ]

    async def end(self) -> None:
        """The machine is gone with all that is on it."""
        self.alive = False
        for task in [*self._tasks, *self._commands]:
            task.cancel()
        for leg in self.legs.values():
            self._leave(leg)
        self.legs.clear()
        await self.server.close()
        if self.proxy is not None:
            await self.proxy.close()
        if self._client is not None:
            self._client.close()

    @property
    def addr(self) -> str:
        """Returns the address at which commands arrive."""
        return f"127.0.0.1:{self.proxy.port}" if self.proxy else ""

    def _leave(self, leg: Leg) -> None:
        if leg.stage in HOLDING:
            self.cloud.rules.leaves(leg.task, self)

    # --- tasks ---------------------------------------------------------------------------

    async def _step_regularly(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            self._expire()  # a machine that hangs goes on with no task after its lease
            if now >= self.hung_until:
                self._step(now, now - last)
            last = now

    def _expire(self) -> None:
        """Kills and forgets every task once the lease is over."""
        now = time.monotonic()
        if now - self.renewed_at > self.cloud.lease_s:
            if self.legs:
                self.cloud.rules.record(f"lease of {self.name} is over")
            for leg in self.legs.values():
                self._leave(leg)
            self.legs.clear()
            self.tenure += 1
            self.renewed_at = now
            self._changed.set()

    def _step(self, now: float, passed: float) -> None:
        self._expire()
        for leg in list(self.legs.values()):
            if leg.stage == "fetching":
                if (
                    leg.job["kit"] in self.images
                    or now - leg.since >= leg.job["pull_gb"] / self.pull
                ):
                    self.images.add(leg.job["kit"])
                    self.cloud.rules.begins(leg.task, self)
                    self._enter(leg, "waiting" if leg.job["shape"] == "ensemble" else "running")
                    leg.left_s = self.cloud.left_s(leg.task, leg.job)
                    if leg.task in self.cloud.rules.done and leg.stage == "running":
                        self._exit(leg, "done")
                    elif self.faulty or leg.job["uid"] in self.cloud.mistaken:
                        self._exit(leg, "error")
            elif leg.stage == "waiting" and now - leg.since > self.cloud.gang_wait_s:
                self._exit(leg, "incomplete")
            elif leg.stage == "running" and leg.job["shape"] == "batch":
                leg.left_s -= passed
                if leg.left_s <= 0:
                    self.cloud.rules.completes(leg.task, self)
                    self._exit(leg, "done")
            elif leg.stage == "flushing" and now - leg.since >= leg.job["mark_cost_s"]:
                self.cloud.saved[leg.task] = leg.left_s
                leg.stored = True
                self._exit(leg, "halted")

    def _enter(self, leg: Leg, stage: str) -> None:
        leg.stage, leg.since = stage, time.monotonic()
        self._changed.set()

    def _exit(self, leg: Leg, cause: str) -> None:
        self._leave(leg)
        leg.cause = cause
        self._enter(leg, "ended")

    def run_orders(self, orders: list[dict[str, Any]]) -> None:
        """Executes commands in order."""
        for order in orders:
            key = (order["leg"], order["try"])
            if order["verb"] == "run":
                self._start(*key)
            elif order["verb"] == "kill" and key in self.legs:
                self._kill(self.legs[key], order.get("wind_down_s", 0.0))
            elif order["verb"] == "clear" and key in self.legs and self.legs[key].stage == "ended":
                del self.legs[key]

    def _start(self, task: str, attempt: int) -> None:
        if (task, attempt) in self.legs:
            return
        job = self.cloud.rules.jobs.get(task.rpartition("/")[0])
        leg = self.legs[task, attempt] = Leg(task, attempt, job or {})
        active = [x for x in self.legs.values() if x.stage != "ended" and x is not leg]
        self._changed.set()
        if job is None:
            leg.stage, leg.cause = "ended", "no_such"
        elif any(x.task == task for x in active):
            leg.stage, leg.cause = "ended", "in_use"
        elif (
            sum(x.job["vcpus"] for x in active) + job["vcpus"] > self.cpus + 1e-6
            or sum(x.job["ram_gb"] for x in active) + job["ram_gb"] > self.ram + 1e-6
        ):
            leg.stage, leg.cause = "ended", "full"

    def _kill(self, leg: Leg, wind_down_s: float) -> None:
        if leg.stage == "ended":
            return
        job = leg.job
        if leg.stage == "running" and job["mark_every_s"] > 0 and wind_down_s >= job["mark_cost_s"]:
            self._enter(leg, "flushing")
        elif leg.stage != "flushing" or wind_down_s == 0:
            self._exit(leg, "halted")

    # --- reports -------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Returns the next report."""
        self.tick += 1
        warning = None
        if self.warning_until is not None:
            warning = max(0.0, self.warning_until - time.monotonic())
        return {
            "host": self.name,
            "addr": self.addr,
            "hull": self.hull,
            "yard": self.zone,
            "lendable": self.lendable,
            "tenure": self.tenure,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": warning,
            "legs": [leg.body() for leg in self.legs.values()],
        }

    async def _report_regularly(self) -> None:
        while True:
            self._changed.clear()
            wait = await self._report_once()
            if wait:
                await asyncio.sleep(wait)
                continue
            await asyncio.sleep(MIN_REPORT_GAP_S)
            every = self.cloud.report_s * self.rng.uniform(0.75, 1.25) - MIN_REPORT_GAP_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(every, 0.0)):
                    await self._changed.wait()

    async def _resume(self) -> None:
        """Waits while the machine hangs."""
        left_s = self.hung_until - time.monotonic()
        if left_s > 0:
            await asyncio.sleep(left_s)
            await self._resume()

    async def _report_once(self) -> float:
        """Sends a report; returns the seconds until the next one, or 0 for the usual time."""
        await self._resume()
        self._expire()
        ports = self.cloud.api_ports
        if self.mute or self.node in self.unreachable:
            self.node = (self.node + 1) % len(ports)
            return 1.0
        if self._client is None or self._client.port != ports[self.node]:
            if self._client is not None:
                self._client.close()
            self._client = HttpClient(ports[self.node])
        tenure, sent = self.tenure, time.monotonic()
        report = self.report()
        self.cloud.watch_report(self, report)
        try:
            status, body, _ = await self._client.request(
                "POST", "/agent/beat", report, REPORT_TIMEOUT_S
            )
        except (NoConnection, OSError, TimeoutError):
            self.node = (self.node + 1) % len(ports)
            return 1.0
        await self._resume()
        self._expire()
        if self.deaf or time.monotonic() > sent + REPORT_TIMEOUT_S:
            self._client.close()
            self.node = (self.node + 1) % len(ports)
            return 1.0
        if status == 200:
            if body.get("baton", -1) >= self.baton and tenure == self.tenure:
                self.baton = body["baton"]
                self.renewed_at = max(self.renewed_at, sent)
                self.run_orders(body.get("orders") or [])
            return 0.0
        steward = (body or {}).get("steward") if status == 421 else None
        self._client.close()
        if steward in self.cloud.members and self.cloud.members.index(steward) != self.node:
            self.node = self.cloud.members.index(steward)
            return 0.05
        self.node = (self.node + 1) % len(ports)
        return 1.0

    # --- commands ------------------------------------------------------------------------

    async def _serve(self, method: str, target: str, body: Any) -> tuple[int, Any] | None:
        await self._resume()
        if self.deaf:
            await asyncio.sleep(30.0)
            return None
        self._expire()
        if target == "/status":
            return 200, self.report()
        held_s = self.late_command(body) if self.late_command else 0.0
        if held_s:

            async def later() -> None:
                await asyncio.sleep(held_s)
                self._expire()
                status, _ = self._command(body)
                self.cloud.rules.record(f"late command on {self.name}: {status} {body['orders']}")

            task = asyncio.ensure_future(later())
            self._commands.add(task)
            task.add_done_callback(self._commands.discard)
            await asyncio.sleep(30.0)
            return None
        return self._command(body)

    def _command(self, body: Any) -> tuple[int, Any]:
        if body.get("baton") is None or body.get("tenure") is None:
            return 400, {}
        if body["baton"] < self.baton or body["tenure"] != self.tenure:
            return 409, self.report()
        self.baton = body["baton"]
        self.run_orders(body.get("orders") or [])
        return 200, self.report()


class Cloud:
    """Rents machines; its list lags by `lag_s`.

    `trouble`: it answers 503. `hire_late_s`: hires get no answer in time and are carried out after
    that time. `room`: machines by type and zone, for ordinary and spot machines alike.
    """

    def __init__(self, rules: Rules, members: list[str], hulls: list[Hull], **times: float) -> None:
        self.rules = rules
        self.members = members
        self.hulls = {hull.label: hull for hull in hulls}
        self.api_ports: list[int] = []
        self.report_s = times.get("report_s", 1.0)
        self.lease_s = times.get("lease_s", 10.0)
        self.gang_wait_s = times.get("gang_wait_s", 30.0)
        self.lag_s = times.get("lag_s", 5.0)
        self.boot_s = 0.3
        self.room = 8
        self.trouble = False
        self.hire_late_s = 0.0
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.run_s: dict[str, float] = {}  # run time of each task, by job
        self.saved: dict[str, float] = {}
        self.mistaken: set[str] = set()
        self.report_watchers: list[Callable[[Worker, dict[str, Any]], None]] = []
        self._next = 1
        self._created: dict[str, tuple[float, dict[str, Any]]] = {}
        self._gone_at: dict[str, float] = {}
        self._server = HttpServer(self._serve)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listens and returns the port."""
        self._spawn(self._join_gangs())
        return await self._server.start()

    async def _join_gangs(self) -> None:
        """Starts gangs whose tasks all wait, and ends those that lack a task or are complete."""
        while True:
            await asyncio.sleep(STEP_S)
            gangs: dict[tuple[str, int], list[tuple[Worker, Leg]]] = {}
            for worker in self.workers.values():
                for leg in worker.legs.values():
                    if leg.job.get("shape") == "ensemble" and leg.stage in HOLDING:
                        gangs.setdefault((leg.job["uid"], leg.attempt), []).append((worker, leg))
            for members in gangs.values():
                self._advance(members)

    def _advance(self, members: list[tuple[Worker, Leg]]) -> None:
        legs = members[0][1].job["legs"]
        now = time.monotonic()
        if len(members) == legs and all(leg.stage == "waiting" for _, leg in members):
            for worker, leg in members:
                worker._enter(leg, "running")
        elif any(leg.stage == "running" for _, leg in members):
            if len(members) < legs:
                for worker, leg in members:
                    if now >= worker.hung_until:
                        worker._exit(leg, "mates_gone")
            elif all(
                leg.stage == "running" and now - leg.since >= leg.left_s for _, leg in members
            ):
                for worker, leg in members:
                    self.rules.completes(leg.task, worker)
                for worker, leg in members:
                    worker._exit(leg, "done")

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def left_s(self, task: str, job: dict[str, Any]) -> float:
        """Returns the seconds that a task has still to run."""
        return self.saved.get(task, self.run_s.get(job["uid"], 1.0))

    def watch_report(self, worker: Worker, report: dict[str, Any]) -> None:
        """Passes each report to those who watch."""
        for watcher in self.report_watchers:
            watcher(worker, report)

    def boot(self, label: str, zone: str, lendable: bool, after_s: float) -> str:
        """Rents one machine, which is up after that time."""
        name = f"i-{self._next:06d}"
        self._next += 1
        row = {"uid": name, "hull": label, "yard": zone, "lendable": lendable}
        self._created[name] = (time.monotonic(), row)
        worker = self.workers[name] = Worker(self, name, self.hulls[label], zone, lendable)

        async def up() -> None:
            await asyncio.sleep(after_s)
            if name in self.workers:
                await worker.start()

        self._spawn(up())
        return name

    async def remove(self, name: str) -> None:
        """The machine and all that is on it are gone."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self._gone_at[name] = time.monotonic()
            self.rules.record(f"machine {name} gone")
            await worker.end()

    def _list(self) -> list[dict[str, Any]]:
        at = time.monotonic() - self.lag_s
        rows = []
        for name, (created, row) in sorted(self._created.items()):
            if created <= at < self._gone_at.get(name, float("inf")):
                worker = self.workers.get(name)
                rows.append(
                    {
                        **row,
                        "addr": worker.addr if worker else "",
                        "stage": "running" if worker is None or worker.proxy else "booting",
                        "age_s": at - created,
                    }
                )
        return rows

    async def _serve(self, method: str, target: str, body: Any) -> tuple[int, Any] | None:
        path = target.partition("?")[0]
        if self.trouble:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"hulls": [hull.row() for hull in self.hulls.values()]}
        if path == "/machines" and method == "GET":
            query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
            rows = [r for r in self._list() if r["uid"] > query.get("since", "")]
            most = int(query.get("most", 500))
            return 200, {"hosts": rows[:most], "has_next": len(rows) > most}
        if path == "/machines":
            if self.hire_late_s:

                async def later() -> None:
                    await asyncio.sleep(self.hire_late_s)
                    self._hire(body)

                self._spawn(later())
                await asyncio.sleep(30.0)
                return None
            return self._hire(body)
        for name in body["hosts"]:
            await self.remove(name)
        return 200, {}

    def _hire(self, body: Any) -> tuple[int, Any]:
        if body["hire"] not in self.hires:
            held = sum(
                w.hull == body["hull"] and w.zone == body["yard"] for w in self.workers.values()
            )
            number = min(body["number"], self.room - held)
            if number <= 0:
                return 503, {"error": "no capacity"}
            self.hires[body["hire"]] = [
                self.boot(body["hull"], body["yard"], body["lendable"], self.boot_s)
                for _ in range(number)
            ]
        return 200, {"hosts": self.hires[body["hire"]]}

    async def close(self) -> None:
        """Ends all machines."""
        for task in list(self._tasks):
            task.cancel()
        for worker in list(self.workers.values()):
            await worker.end()
        await self._server.close()
