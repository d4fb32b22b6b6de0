"""The scripted worker of one machine, after PROTOCOL."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from world_settings import GANG_WAIT_S, LEASE_S, REPORT_S, TYPE

from runcourse.core import types as t

if TYPE_CHECKING:
    from world import World


class Worker:
    """One machine's worker: sessions, tokens, leases, and tasks that run for a while."""

    def __init__(self, world: World, id: str, zone: str, spot: bool) -> None:
        self.world = world
        self.id = id
        self.zone = zone
        self.spot = spot
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[Any, int], list[Any]] = {}  # -> [stage, cause, since]
        self.images: set[str] = set()
        self.renewed = world.now
        self.alive = True
        self.hung = False
        self.fails_tasks = False
        self.notice_s: float | None = None
        self.node = world.rng.choice(world.members)
        self.asking = 0
        self.waiting = False  # one report is in flight at a time
        world.after(0.1, self.beat)

    def next_node(self) -> None:
        members = self.world.members
        self.node = members[(members.index(self.node) + 1) % len(members)]

    def restart_without_state(self) -> None:
        """The machine is back at once, with a worker that remembers nothing."""
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks.clear()
        self.renewed = self.world.now
        self.asking += 1
        self.waiting = False

    def report(self) -> t.Report:
        self.seq += 1
        return t.Report(
            self.id,
            f"{self.id}:1",
            "m4",
            self.zone,
            self.spot,
            self.session,  # type: ignore[arg-type]
            self.seq,
            self.token,
            self.notice_s,  # type: ignore[arg-type]
            tuple(
                t.TaskReport(task, attempt, stage, cause, cause == "stopped")  # type: ignore[arg-type]
                for (task, attempt), (stage, cause, _) in self.tasks.items()
            ),
        )

    def step(self) -> None:
        """Let time pass for the tasks and the lease."""
        if not self.alive:
            return
        now = self.world.now
        if now - self.renewed > self.world.settings.get("lease_s", LEASE_S):
            self.tasks.clear()
            self.session += 1
            self.seq = 0
            self.renewed = now
        if self.hung:  # it executes nothing, but may resume within its lease only
            return
        for (task, _), entry in self.tasks.items():
            job = self.world.specs[task.job]
            if entry[0] == "fetching" and (
                now - entry[2] > self.world.fetch_s or (job.gang and job.image in self.images)
            ):
                self.images.add(job.image)
                self.world.check_start(self, task)
                entry[0], entry[2] = "waiting" if job.gang else "running", now
            if job.gang and entry[0] == "waiting" and now - entry[2] > GANG_WAIT_S:
                entry[0], entry[1] = "ended", "incomplete"
            if job.gang and not self.fails_tasks:
                continue  # the rest is seen to for the whole of it
            if entry[0] == "running" and (self.fails_tasks or task.job in self.world.failing_jobs):
                entry[0], entry[1] = "ended", "error"
            elif entry[0] == "saving" and now - entry[2] >= job.save_s:
                entry[0], entry[1] = "ended", "stopped"
            elif entry[0] == "running" and now - entry[2] > self._left_s(task):
                entry[0], entry[1] = "ended", "done"
                self.world.finished.add(task)

    def _left_s(self, task: Any) -> float:
        """How long a task that starts now runs; for ever if it is a replica."""
        job = self.world.specs[task.job]
        if job.service:
            return math.inf
        return job.estimate_s - self.world.progress.get(task, 0.0)

    def beat(self) -> None:
        if not self.alive:
            return
        self.world.after(REPORT_S * self.world.rng.uniform(0.75, 1.25), self.beat)
        if self.hung or self.waiting:
            return
        self.step()
        if self.id in self.world.outbound_cut:  # no connection to any node: it tries the next one
            self.next_node()
            return
        self.waiting = True
        sent = self.world.now
        session = self.session
        self.asking += 1
        asked = self.asking

        def answered(answer: t.ReportAnswer | None) -> None:
            if self.asking != asked or not self.alive or self.world.now > sent + 4:
                return
            self.step()
            self.asking += 1
            self.waiting = False
            if answer is not None and answer.status == 200:
                if answer.token >= self.token and self.session == session:
                    self.token = answer.token
                    self.renewed = max(self.renewed, sent)
                    self.execute_orders(answer.orders)
            elif answer is not None and answer.owner:
                self.node = answer.owner
            else:
                self.next_node()

        def gave_up() -> None:
            if self.asking == asked:
                self.asking += 1
                self.waiting = False
                self.next_node()

        self.world.ask(self.id, self.node, t.ReportReceived(0, self.report()), answered)
        self.world.after(4.0, gave_up)

    def execute_orders(self, orders: tuple[t.Order, ...]) -> None:
        for order in orders:
            key = (order.task, order.attempt)
            if order.op == "start" and key not in self.tasks:
                used = sum(
                    self.world.specs[k[0].job].cpus
                    for k, e in self.tasks.items()
                    if e[0] != "ended"
                )
                if any(k[0] == order.task and e[0] != "ended" for k, e in self.tasks.items()):
                    self.tasks[key] = ["ended", "busy", self.world.now]
                elif used + self.world.specs[order.task.job].cpus > TYPE.cpus:
                    self.tasks[key] = ["ended", "full", self.world.now]
                else:
                    self.tasks[key] = ["fetching", "", self.world.now]
            elif order.op == "stop" and key in self.tasks and self.tasks[key][0] != "ended":
                entry = self.tasks[key]
                if not self.world.saves(order, entry) and not self._saves(order, entry):
                    self.tasks[key] = ["ended", "stopped", self.world.now]
            elif order.op == "forget":
                self.tasks.pop(key, None)

    def _saves(self, order: t.Order, entry: list[Any]) -> bool:
        """A task of an array that is told to stop with time to save goes on doing that."""
        job = self.world.specs[order.task.job]
        if job.gang or not job.checkpoint_s or order.grace_s < job.save_s or not job.save_s:
            return False
        if entry[0] == "running":
            ran = self.world.now - entry[2]
            self.world.progress[order.task] = self.world.progress.get(order.task, 0.0) + ran
            entry[0], entry[2] = "saving", self.world.now
        return entry[0] == "saving"

    def command(self, effect: t.Command) -> tuple[int, Any]:
        self.step()
        if effect.token < self.token or effect.session != self.session:
            return 409, self.report()
        self.token = effect.token
        self.execute_orders(effect.orders)
        self.step()
        return 200, self.report()


class Gang:
    """One attempt of a gang that has started: its tasks tick together."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.told_at: float | None = None  # the first order to stop it
        self.broken_at: float | None = None  # one of them is gone, or its machine hangs
        self.ended = False
