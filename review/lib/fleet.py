"""Stand-ins of the cloud and of workers, with the ledger of what ran where."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs

from .http import Client, Drop, Server

FIRST_TRY_S = 1.0  # pause before the next controller is tried
ANSWER_S = 4.0  # a worker's wait for the answer to a report
MIN_GAP_S = 0.5
TICK_S = 0.02
ACTIVE = ("fetching", "waiting", "running", "flushing")


class Leg:
    """One attempt of a task on a worker."""

    def __init__(self, name: str, number: int, job: dict[str, Any]) -> None:
        self.name, self.number, self.job = name, number, job
        self.stage, self.cause, self.stored = "fetching", "", False
        self.ready_at = 0.0  # when its image is there
        self.left = float(job.get("run_s", 1e9))  # seconds of run time left
        self.flush_until = 0.0
        self.waiting_since = 0.0
        self.on_since: float | None = None  # when it came to be on its machine

    def entry(self) -> dict[str, Any]:
        """Returns the entry of a report."""
        entry: dict[str, Any] = {"leg": self.name, "try": self.number, "stage": self.stage}
        if self.stage == "ended":
            entry["cause"] = self.cause
            if self.cause == "halted":
                entry["stored"] = self.stored
        return entry


class Worker:
    """One machine's worker as the protocol describes it."""

    def __init__(self, cloud: Cloud, host: str, hull: str, yard: str, lendable: bool) -> None:
        self.cloud, self.host = cloud, host
        self.identity = {"host": host, "hull": hull, "yard": yard, "lendable": lendable}
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.legs: dict[tuple[str, int], Leg] = {}
        self.images: set[str] = set()
        self.leased_from = time.monotonic()
        self.hung = self.deaf = self.mute = False
        self.warning_at: float | None = None
        self.warning_change = False
        self.born = time.monotonic()
        self.up = False
        self.target = random.randrange(len(cloud.apis))
        self.server = Server(self.serve)
        self.addr = ""
        self.change = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.drop_answers: Any = None  # hook(report) -> whether the answer is lost
        self.delay_do: Any = None  # hook(body) -> seconds by which a command is late

    async def start(self) -> None:
        """Begins to serve and to report."""
        port = await self.server.start()
        self.addr = f"127.0.0.1:{port}"
        self.up = True
        self.leased_from = time.monotonic()
        self.tasks = [
            asyncio.create_task(self._run_tasks()),
            asyncio.create_task(self._report_loop()),
        ]

    def gone(self) -> None:
        """Ends the worker with all that is on it."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for leg in list(self.legs.values()):
            self._off(leg, "gone")
        self.legs.clear()

    # --- reports -------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Returns a report with the next number."""
        self.tick += 1
        warning = None if self.warning_at is None else max(0.0, self.warning_at - time.monotonic())
        return {
            **self.identity,
            "addr": self.addr,
            "tenure": self.tenure,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": warning,
            "legs": [leg.entry() for leg in self.legs.values()],
        }

    async def _report_loop(self) -> None:
        client: Client | None = None
        while True:
            sent = time.monotonic()
            report, tenure = self.report(), self.tenure
            if self.mute or self.hung:
                await asyncio.sleep(0.2)
                continue
            if client is None:
                client = Client("127.0.0.1", self.cloud.apis[self.target])
            status, body = await client.request("POST", "/agent/beat", report, ANSWER_S)
            if self.mute or self.deaf or (self.drop_answers and self.drop_answers(report)):
                status = 0
            await self._resumed()
            if time.monotonic() - sent > ANSWER_S:
                status = 0
            if status == 200 and tenure == self.tenure:
                if self._accept(body):
                    self.leased_from = max(self.leased_from, sent)
            elif status != 200:
                client.close()
                client = None
                await self._next_target(status, body)
                continue
            await self._pause(sent)

    async def _resumed(self) -> None:
        """Waits until the machine does not hang."""
        for _ in itertools.repeat(None):
            if not self.hung:
                return
            await asyncio.sleep(TICK_S)

    async def _next_target(self, status: int, body: Any) -> None:
        steward = (body or {}).get("steward") if status == 421 else None
        index = self.cloud.members.index(steward) if steward in self.cloud.members else None
        if index is not None and index != self.target:
            self.target = index
        else:
            self.target = (self.target + 1) % len(self.cloud.apis)
            await asyncio.sleep(FIRST_TRY_S)

    async def _pause(self, sent: float) -> None:
        every = self.cloud.report_s * random.uniform(0.75, 1.25)
        self.change.clear()
        try:
            async with asyncio.timeout(every):
                await self.change.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(max(0.0, sent + MIN_GAP_S - time.monotonic()))

    def _accept(self, body: Any) -> bool:
        baton = (body or {}).get("baton")
        if baton is None or baton < self.baton:
            return False
        self.baton = baton
        self._execute(body.get("orders") or [])
        return True

    # --- commands ------------------------------------------------------------------------

    async def serve(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Answers `/do` and `/status`."""
        if self.deaf:
            await asyncio.sleep(60)
            raise Drop
        if self.delay_do and method == "POST" and (delay := self.delay_do(body)):
            await asyncio.sleep(delay)
        await self._resumed()
        if not self.up:
            raise Drop
        if target == "/status":
            return 200, self.report()
        if "baton" not in body or "tenure" not in body:
            return 400, {}
        self._check_lease()
        if body["baton"] < self.baton or body["tenure"] != self.tenure:
            return 409, self.report()
        if body["baton"] > self.baton:
            self.change.set()
        self.baton = body["baton"]
        self._execute(body.get("orders") or [])
        return 200, self.report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["leg"], order["try"])
            if order["verb"] == "run":
                if key not in self.legs:
                    self._start(key)
            elif order["verb"] == "kill":
                self._kill(key, float(order.get("wind_down_s", 0)))
            elif order["verb"] == "clear" and key in self.legs and self.legs[key].stage == "ended":
                del self.legs[key]
            self.change.set()

    def _start(self, key: tuple[str, int]) -> None:
        uid, _, index = key[0].rpartition("/")
        job = self.cloud.jobs.get(uid)
        leg = Leg(key[0], key[1], job or {})
        self.cloud.note("ordered", host=self.host, leg=key[0], attempt=key[1])
        if job is None or int(index) >= job["legs"]:
            self._end(leg, "no_such")
        elif any(o.name == key[0] and o.stage in ACTIVE for o in self.legs.values()):
            self._end(leg, "in_use")
        elif not self._fits(job):
            self._end(leg, "full")
        elif key[0] in self.cloud.saved:
            leg.left = self.cloud.saved[key[0]]
        now = time.monotonic()
        if leg.stage == "fetching":
            held = job is not None and job["kit"] in self.images
            gb = job["pull_gb"] if job else 0.0
            leg.ready_at = now if held else now + gb / self.cloud.hulls[self._hull()]["rate"]
        self.legs[key] = leg

    def _hull(self) -> str:
        return str(self.identity["hull"])

    def _fits(self, job: dict[str, Any]) -> bool:
        hull = self.cloud.hulls[self._hull()]
        active = [leg.job for leg in self.legs.values() if leg.stage in ACTIVE]
        return all(
            sum(float(j[field]) for j in [*active, job]) <= hull[field] + 1e-6
            for field in ("vcpus", "gpus", "ram_gb")
        )

    def _kill(self, key: tuple[str, int], grace: float) -> None:
        leg = self.legs.get(key)
        if leg is None or leg.stage == "ended":
            return
        saves = leg.job["mark_every_s"] > 0 and grace >= leg.job["mark_cost_s"]
        if leg.stage == "running" and saves:
            leg.stage = "flushing"
            leg.flush_until = time.monotonic() + leg.job["mark_cost_s"]
        elif leg.stage != "flushing" or grace <= 0:
            self._end(leg, "halted")

    def _end(self, leg: Leg, cause: str) -> None:
        self._off(leg, cause)
        leg.stage, leg.cause = "ended", cause
        self.change.set()

    def _off(self, leg: Leg, why: str) -> None:
        if leg.on_since is not None:
            self.cloud.ledger.off(self, leg, why)
            leg.on_since = None

    # --- running -------------------------------------------------------------------------

    def _check_lease(self) -> None:
        if time.monotonic() > self.leased_from + self.cloud.lease_s:
            for leg in list(self.legs.values()):
                self._off(leg, "lease")
            self.legs.clear()
            self.tenure += 1
            self.leased_from = time.monotonic()
            self.change.set()

    async def _run_tasks(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            passed, last = now - last, now
            self._check_lease()  # a lease ends while the machine hangs, too
            if self.hung:
                continue
            for leg in list(self.legs.values()):
                self._advance(leg, now, min(passed, 1.0))

    def _advance(self, leg: Leg, now: float, passed: float) -> None:
        if leg.stage == "fetching" and now >= leg.ready_at:
            self.images.add(leg.job["kit"])
            leg.on_since = now
            self.cloud.ledger.on(self, leg)
            if leg.name in self.cloud.done:
                self._end(leg, "done")
                return
            leg.stage = "waiting" if leg.job["shape"] == "ensemble" else "running"
            leg.waiting_since = now
            self.change.set()
        elif leg.stage == "waiting":
            self.cloud.gang_step(leg, now)
            if leg.stage != "waiting":
                self.change.set()
        elif leg.stage == "running":
            self._run(leg, now, passed)
        elif leg.stage == "flushing" and now >= leg.flush_until:
            self.cloud.saved[leg.name] = leg.left
            leg.stored = True
            self._end(leg, "halted")

    def _run(self, leg: Leg, now: float, passed: float) -> None:
        if leg.job["shape"] == "ensemble" and self.cloud.gang_broken(leg, now):
            self._end(leg, "mates_gone")
            return
        leg.left -= passed
        if leg.left <= 0 and leg.job["shape"] == "ensemble":
            self.cloud.finish_gang(leg)
        elif leg.left <= 0 and leg.job["shape"] != "service":
            self.finish(leg)

    def finish(self, leg: Leg) -> None:
        """Completes a task."""
        self.cloud.done.add(leg.name)
        self.cloud.note("done", host=self.host, leg=leg.name, attempt=leg.number)
        self._end(leg, "done")


class Ledger:
    """Which task was on which machine, and the rules that this breaks."""

    def __init__(self, cloud: Cloud) -> None:
        self.cloud = cloud
        self.present: dict[str, list[tuple[Worker, Leg]]] = {}
        self.held: dict[str, float] = {}  # CPUs by team
        self.broken: list[str] = []

    def blame(self, rule: str, text: str) -> None:
        """Records that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.cloud.note("BROKEN", rule=rule, text=text)

    def on(self, worker: Worker, leg: Leg) -> None:
        """Records that a task is on a machine from now on."""
        self.cloud.note("on", host=worker.host, leg=leg.name, attempt=leg.number)
        others = self.present.setdefault(leg.name, [])
        for other, _ in others:
            if other is not worker:
                self.blame("ran_twice", f"{leg.name} on {worker.host} while on {other.host}")
        others.append((worker, leg))
        team = leg.job["crew"]
        self.held[team] = self.held.get(team, 0.0) + leg.job["vcpus"]
        limit = self.cloud.team_limits.get(team, 1e9)
        if self.held[team] > limit + 1e-6:
            self.blame("quota", f"{team} uses {self.held[team]} of {limit}")
        self._check_place(worker, leg)
        uid = leg.name.rpartition("/")[0]
        if uid in self.cloud.cancelled_at:
            late = time.monotonic() - self.cloud.cancelled_at[uid]
            if late > self.cloud.cancel_s:
                self.blame("ran_cancelled", f"{leg.name} starts {late:.1f} s after it was told")

    def _check_place(self, worker: Worker, leg: Leg) -> None:
        job, place = leg.job, worker.identity
        wrong = (
            (job.get("hulls") and place["hull"] not in job["hulls"])
            or (job.get("yard") and place["yard"] != job["yard"])
            or (place["lendable"] and not job["lendable"])
        )
        uid = leg.name.rpartition("/")[0]
        zones: dict[str, int] = {}
        for name, placed in self.present.items():
            if name.rpartition("/")[0] == uid:
                for other, _ in placed:
                    yard = str(other.identity["yard"])
                    zones[yard] = zones.get(yard, 0) + 1
        wrong = wrong or (job["together"] and len(zones) > 1)
        wrong = wrong or (job["spread"] and zones[str(place["yard"])] > (job["legs"] + 1) // 2)
        if wrong:
            self.blame("wrong_place", f"{leg.name} on {worker.identity}, zones {zones}")

    def off(self, worker: Worker, leg: Leg, why: str) -> None:
        """Records that a task is not on its machine any more."""
        self.cloud.note("off", host=worker.host, leg=leg.name, attempt=leg.number, why=why)
        self.present[leg.name] = [e for e in self.present[leg.name] if e[1] is not leg]
        if not self.present[leg.name]:
            del self.present[leg.name]
        self.held[leg.job["crew"]] -= leg.job["vcpus"]

    def check_cancelled(self) -> None:
        """Finds tasks that are there more than `cancel_s` after their user was told."""
        now = time.monotonic()
        for name, placed in self.present.items():
            told = self.cloud.cancelled_at.get(name.rpartition("/")[0])
            if told is not None and placed and now > told + self.cloud.cancel_s:
                host = placed[0][0].host
                text = f"{name} on {host} {now - told:.1f} s after its user was told"
                if not any(name in line for line in self.broken):
                    self.blame("ran_cancelled", text)


class Cloud:
    """The cloud of the protocol, and what all workers share."""

    def __init__(self, members: list[str], apis: list[int], settings: dict[str, Any]) -> None:
        self.members, self.apis = members, apis
        self.report_s, self.lease_s = settings["report_s"], settings["lease_s"]
        self.cancel_s, self.lag_s = settings["cancel_s"], settings["list_lag_s"]
        self.gang_wait_s, self.gang_peer_s = settings["gang_wait_s"], settings["gang_peer_s"]
        self.hulls: dict[str, dict[str, Any]] = settings["hulls"]
        self.capacity: dict[tuple[str, str, bool], int] = settings["capacity"]
        self.team_limits: dict[str, float] = settings["team_limits"]
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cancelled_at: dict[str, float] = {}
        self.done: set[str] = set()
        self.saved: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.numbers = 0
        self.began = time.monotonic()
        self.record: list[str] = []
        self.ledger = Ledger(self)
        self.history: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self.down = False
        self.server = Server(self.serve)
        self.tasks: set[asyncio.Task[Any]] = set()

    def note(self, what: str, **fields: Any) -> None:
        """Adds a line to the record."""
        at = time.monotonic() - self.began
        self.record.append(f"{at:9.3f} {what} " + " ".join(f"{k}={v}" for k, v in fields.items()))

    async def start(self) -> int:
        """Listens and returns the port."""
        self._keep(asyncio.create_task(self._remember_loop()))
        return await self.server.start()

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _remember_loop(self) -> None:
        while True:
            now = time.monotonic()
            self.history.append((now, self._listing(now)))
            while self.history and self.history[0][0] < now - 2 * self.lag_s - 2:
                self.history.popleft()
            self.ledger.check_cancelled()
            await asyncio.sleep(0.25)

    def _listing(self, now: float) -> list[dict[str, Any]]:
        return [
            {
                "uid": host,
                "addr": w.addr,
                "hull": w.identity["hull"],
                "yard": w.identity["yard"],
                "lendable": w.identity["lendable"],
                "stage": "running" if w.up else "booting",
                "age_s": now - w.born,
            }
            for host, w in sorted(self.workers.items())
        ]

    async def serve(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Answers one request."""
        path, _, query = target.partition("?")
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"hulls": [self._hull_row(name) for name in self.hulls]}
        if path == "/machines" and method == "GET":
            args = {k: v[0] for k, v in parse_qs(query).items()}
            return 200, self._list(args.get("since", ""), int(args.get("most", 500)))
        if path == "/machines":
            return self._hire(body)
        for host in body["hosts"]:
            self.remove(host, "released")
        return 200, {}

    def remove(self, host: str, why: str) -> None:
        """Removes a machine with all that is on it."""
        worker = self.workers.pop(host, None)
        if worker is not None:
            self.note("machine-gone", host=host, why=why)
            worker.gone()

    def _hull_row(self, name: str) -> dict[str, Any]:
        hull = self.hulls[name]
        return {
            "label": name,
            **{k: hull[k] for k in ("vcpus", "gpus", "ram_gb", "hourly", "market_price")},
            "cache_gb": 100,
            "pull_gb_per_s": hull["rate"],
            "startup_s": hull["startup_s"],
            "yards": hull["yards"],
        }

    def _list(self, since: str, most: int) -> dict[str, Any]:
        at = time.monotonic() - self.lag_s
        rows: list[dict[str, Any]] = []
        for moment, listing in self.history:
            if moment > at:
                break
            rows = listing
        rows = [row for row in rows if row["uid"] > since]
        return {"hosts": rows[:most], "has_next": len(rows) > most}

    def _hire(self, body: Any) -> tuple[int, Any]:
        if body["hire"] in self.hires:
            return 200, {"hosts": self.hires[body["hire"]]}
        kind = (body["hull"], body["yard"], body["lendable"])
        rented = sum(
            (w.identity["hull"], w.identity["yard"], w.identity["lendable"]) == kind
            for w in self.workers.values()
        )
        number = min(body["number"], self.capacity.get(kind, 0) - rented)
        if number <= 0:
            return 503, {"error": "no capacity"}
        hosts = [self.rent(*kind).host for _ in range(number)]
        self.hires[body["hire"]] = hosts
        return 200, {"hosts": hosts}

    def rent(self, hull: str, yard: str, lendable: bool) -> Worker:
        """Rents a machine, which boots."""
        self.numbers += 1
        host = f"i-{self.numbers:06d}"
        worker = self.workers[host] = Worker(self, host, hull, yard, lendable)
        self.note("hired", host=host, hull=hull, yard=yard, lendable=lendable)
        self._keep(asyncio.create_task(self._boot(worker)))
        return worker

    async def _boot(self, worker: Worker) -> None:
        nominal = float(self.hulls[str(worker.identity["hull"])]["startup_s"])
        await asyncio.sleep(nominal * random.uniform(0.6, 1.5))
        if self.workers.get(worker.host) is worker:
            await worker.start()
            self.note("up", host=worker.host, addr=worker.addr)

    # --- gangs ---------------------------------------------------------------------------

    def _mates(self, leg: Leg) -> list[tuple[Worker, Leg]]:
        uid = leg.name.rpartition("/")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.legs.values()
            if other.number == leg.number and other.name.rpartition("/")[0] == uid
        ]

    def gang_step(self, leg: Leg, now: float) -> None:
        """Starts a gang that is complete, or gives up one that was not complete in time."""
        mates = [m for m in self._mates(leg) if m[1].stage in ("waiting", "running")]
        if len({m.name for _, m in mates}) == leg.job["legs"]:
            for worker, mate in mates:
                mate.stage = "running"
                worker.change.set()
        elif now > leg.waiting_since + self.gang_wait_s:
            for worker, mate in self._mates(leg):
                if mate is leg:
                    worker._end(leg, "incomplete")

    def finish_gang(self, leg: Leg) -> None:
        """Completes all tasks of a gang together."""
        uid = leg.name.rpartition("/")[0]
        self.done.update(f"{uid}/{n}" for n in range(leg.job["legs"]))
        for worker, mate in self._mates(leg):
            if mate.stage in ("running", "flushing"):
                worker.finish(mate)

    def gang_broken(self, leg: Leg, now: float) -> bool:
        """Returns whether a task of a running gang misses a mate for long enough."""
        uid = leg.name.rpartition("/")[0]
        mates = [
            m
            for w, m in self._mates(leg)
            if not w.hung and (m.stage in ("running", "flushing") or m.cause == "done")
        ]
        if len({m.name for m in mates}) == leg.job["legs"] or any(
            name.rpartition("/")[0] == uid for name in self.done
        ):
            leg.waiting_since = now
            return False
        return now > leg.waiting_since + self.gang_peer_s / 2
