"""Simulated worker of one machine, as PROTOCOL describes it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from world_settings import GANG_WAIT_S, LEASE_S, REPORT_S, TYPE

from runcourse.core import types as t

if TYPE_CHECKING:
    from world import World

REPORT_TIMEOUT_S = 4.0
FIRST_REPORT_DELAY_S = 0.1
MIN_REPORT_JITTER, MAX_REPORT_JITTER = 0.75, 1.25  # factors of the report interval


class Worker:
    """One machine's worker: its session, token, lease and tasks of a fixed duration."""

    def __init__(self, world: World, id: str, zone: str, spot: bool) -> None:
        self.world = world
        self.id = id
        self.zone = zone
        self.spot = spot
        self.session, self.seq, self.token = 1, 0, 0
        # (task, attempt) -> [stage, cause, start of the stage]
        self.tasks: dict[tuple[Any, int], list[Any]] = {}
        self.images: set[str] = set()
        self.lease_renewed_at = world.now
        self.alive = True
        self.hung = False
        self.fails_tasks = False
        self.notice_s: float | None = None
        self.node = world.rng.choice(world.members)
        self.request_number = 0
        self.report_in_flight = False  # at most one at a time
        world.after(FIRST_REPORT_DELAY_S, self.send_report)

    def next_node(self) -> None:
        members = self.world.members
        self.node = members[(members.index(self.node) + 1) % len(members)]

    def restart_without_state(self) -> None:
        """Restarts the worker at once without its session, token and tasks."""
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks.clear()
        self.lease_renewed_at = self.world.now
        self.request_number += 1
        self.report_in_flight = False

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
        """Updates the lease and the tasks to the present time."""
        if not self.alive:
            return
        now = self.world.now
        if now - self.lease_renewed_at > self.world.settings.get("lease_s", LEASE_S):
            self.tasks.clear()
            self.session += 1
            self.seq = 0
            self.lease_renewed_at = now
        if self.hung:  # a hung worker runs no task; it may resume only within its lease
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
                continue  # `GangSteps` advances a waiting or running gang as a whole
            if entry[0] == "running" and (self.fails_tasks or task.job in self.world.failing_jobs):
                entry[0], entry[1] = "ended", "error"
            elif entry[0] == "saving" and now - entry[2] >= job.save_s:
                entry[0], entry[1] = "ended", "stopped"
            elif entry[0] == "running" and now - entry[2] > self._left_s(task):
                entry[0], entry[1] = "ended", "done"
                self.world.finished.add(task)

    def _left_s(self, task: Any) -> float:
        """Returns the seconds of work a task still has; infinite for a replica."""
        job = self.world.specs[task.job]
        if job.service:
            return math.inf
        return job.estimate_s - self.world.progress.get(task, 0.0)

    def send_report(self) -> None:
        if not self.alive:
            return
        self.world.after(
            REPORT_S * self.world.rng.uniform(MIN_REPORT_JITTER, MAX_REPORT_JITTER),
            self.send_report,
        )
        if self.hung or self.report_in_flight:
            return
        self.step()
        if self.id in self.world.outbound_cut:  # no connection to any node: try the next one
            self.next_node()
            return
        self.report_in_flight = True
        sent = self.world.now
        session = self.session
        self.request_number += 1
        request = self.request_number

        def receive(answer: t.ReportAnswer | None) -> None:
            if (
                self.request_number != request
                or not self.alive
                or self.world.now > sent + REPORT_TIMEOUT_S
            ):
                return
            self.step()
            self.request_number += 1
            self.report_in_flight = False
            if answer is not None and answer.status == 200:
                if answer.token >= self.token and self.session == session:
                    self.token = answer.token
                    self.lease_renewed_at = max(self.lease_renewed_at, sent)
                    self.execute_orders(answer.orders)
            elif answer is not None and answer.owner:
                self.node = answer.owner
            else:
                self.next_node()

        def time_out() -> None:
            if self.request_number == request:
                self.request_number += 1
                self.report_in_flight = False
                self.next_node()

        self.world.ask(self.id, self.node, t.ReportReceived(0, self.report()), receive)
        self.world.after(REPORT_TIMEOUT_S, time_out)

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
        """Starts or continues the save of an array task that is stopped with enough grace time."""
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
    """A started attempt of a gang: its tasks advance together."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.stop_ordered_at: float | None = None  # first stop order
        self.incomplete_since: float | None = None  # a task is gone, or its machine hangs
        self.ended = False
