"""The rules of PROTOCOL, checked on what workers, users and the cloud can see."""

from __future__ import annotations

import time
from typing import Any

SLACK_CPUS = 1e-6


class Rules:
    """Holds what is on machines and what users were told; records broken rules."""

    def __init__(self, limits: dict[str, float], cancel_s: float, record: Any) -> None:
        self.limits = limits  # CPUs by team; 0: none
        self.cancel_s = cancel_s
        self.record = record
        self.jobs: dict[str, dict[str, Any]] = {}
        self.on: dict[str, dict[str, Any]] = {}  # task -> machine name -> worker
        self.done: set[str] = set()
        self.accepted: dict[str, float] = {}
        self.final: dict[str, str] = {}
        self.asked_to_cancel: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.starts = 0
        self.broken: list[tuple[str, str]] = []
        self._reported: set[tuple[str, str]] = set()
        self._beside_room: dict[str, tuple[float, str]] = {}  # job -> since, machine

    def breaks(self, rule: str, text: str) -> None:
        """Records a broken rule once for each text."""
        if (rule, text) not in self._reported:
            self._reported.add((rule, text))
            self.broken.append((rule, text))
            self.record(f"BROKEN {rule}: {text}")

    # --- machines ------------------------------------------------------------------------

    def begins(self, task: str, worker: Any) -> None:
        """A task holds its image and is on the machine from now on."""
        self.starts += 1
        uid = task.rpartition("/")[0]
        job = self.jobs.get(uid)
        if job is None:
            self.breaks("invented", f"{task} started, its job was never submitted")
            return
        self.record(f"start {task} on {worker.name}")
        for name in self.on.get(task, {}):
            if name != worker.name:
                self.breaks("ran_twice", f"{task} starts on {worker.name} while it is on {name}")
        others = [
            (t, w) for t, ws in self.on.items() for w in ws.values() if self.same_team(t, job)
        ]
        used = job["vcpus"] + sum(self.jobs[t.rpartition("/")[0]]["vcpus"] for t, _ in others)
        limit = self.limits.get(job["crew"], 0.0)
        if limit and used > limit + SLACK_CPUS:
            self.breaks("quota", f"{task} starts: {job['crew']} uses {used} of {limit} CPUs")
        zones = [
            w.zone
            for t, ws in self.on.items()
            for w in ws.values()
            if t.rpartition("/")[0] == uid and t != task
        ]
        self._check_place(task, job, worker, zones)
        if uid in self.cancelled_at and time.monotonic() > self.cancelled_at[uid] + self.cancel_s:
            self.breaks("ran_cancelled", f"{task} starts after its cancellation")
        self.on.setdefault(task, {})[worker.name] = worker

    def same_team(self, task: str, job: dict[str, Any]) -> bool:
        """Returns whether the task belongs to the job's team."""
        other = self.jobs.get(task.rpartition("/")[0])
        return other is not None and other["crew"] == job["crew"]

    def _check_place(self, task: str, job: dict[str, Any], worker: Any, zones: list[str]) -> None:
        where = f"{task} starts on {worker.name} ({worker.hull}, {worker.zone})"
        if job.get("hulls") is not None and worker.hull not in job["hulls"]:
            self.breaks("wrong_place", f"{where}: type")
        if job.get("yard") is not None and worker.zone != job["yard"]:
            self.breaks("wrong_place", f"{where}: zone")
        if worker.lendable and not job["lendable"]:
            self.breaks("wrong_place", f"{where}: spot")
        if job["together"] and any(zone != worker.zone for zone in zones):
            self.breaks("wrong_place", f"{where}: together, others in {sorted(set(zones))}")
        if job["spread"] and zones.count(worker.zone) + 1 > (job["legs"] + 1) // 2:
            self.breaks("wrong_place", f"{where}: spread")

    def leaves(self, task: str, worker: Any) -> None:
        """The task is no longer on the machine."""
        holders = self.on.get(task, {})
        if holders.pop(worker.name, None) is not None:
            self.record(f"gone {task} from {worker.name}")
        if not holders:
            self.on.pop(task, None)

    def completes(self, task: str, worker: Any) -> None:
        """The task has completed."""
        self.done.add(task)
        self.record(f"done {task} on {worker.name}")

    def check_cancelled(self) -> None:
        """Looks for tasks that are on machines too long after their cancellation."""
        now = time.monotonic()
        for task, holders in self.on.items():
            at = self.cancelled_at.get(task.rpartition("/")[0])
            if at is not None and holders and now > at + self.cancel_s:
                names = sorted(holders)
                self.breaks(
                    "ran_cancelled",
                    f"{task} is on {names} more than {self.cancel_s:g} s after its cancellation",
                )

    def check_waiting(self, workers: list[Any], limit_s: float = 90.0) -> None:
        """Looks for jobs that wait for the limit while a machine that fits has room.

        Gangs are left out. A job whose team has no room under its limit does not count.
        """
        now = time.monotonic()
        for uid, job in self.jobs.items():
            machine = self._machine_with_room(uid, job, workers)
            if machine is None:
                self._beside_room.pop(uid, None)
                continue
            since, name = self._beside_room.setdefault(uid, (now, machine.name))
            if now - since > limit_s:
                self.breaks(
                    "left_waiting",
                    f"{uid} waits for {limit_s:g} s though {name} fits it and has room",
                )

    def _machine_with_room(self, uid: str, job: dict[str, Any], workers: list[Any]) -> Any:
        tasks = [f"{uid}/{n}" for n in range(job["legs"])]
        waiting = [t for t in tasks if t not in self.on and t not in self.done]
        if uid not in self.accepted or uid in self.final or not waiting:
            return None
        if job["shape"] == "ensemble" or uid in self.asked_to_cancel:
            return None
        others = [t for t in self.on if self.same_team(t, job)]
        used = sum(self.jobs[t.rpartition("/")[0]]["vcpus"] for t in others)
        limit = self.limits.get(job["crew"], 0.0)
        if limit and used + job["vcpus"] > limit + SLACK_CPUS:
            return None
        zones = [w.zone for t in tasks for w in self.on.get(t, {}).values()]
        for worker in workers:
            legs = [leg for leg in worker.legs.values() if leg.stage != "ended"]
            if any(leg.task in tasks for leg in legs if leg.stage == "fetching"):
                return None
            if (
                (job["hulls"] is None or worker.hull in job["hulls"])
                and job["yard"] in (None, worker.zone)
                and (job["lendable"] or not worker.lendable)
                and not (job["together"] and any(zone != worker.zone for zone in zones))
                and not (job["spread"] and zones.count(worker.zone) >= (job["legs"] + 1) // 2)
                and sum(x.job["vcpus"] for x in legs) + job["vcpus"] <= worker.cpus + SLACK_CPUS
                and sum(x.job["ram_gb"] for x in legs) + job["ram_gb"] <= worker.ram + SLACK_CPUS
            ):
                return worker
        return None

    # --- users ---------------------------------------------------------------------------

    def told(self, uid: str, status: int, stage: str | None, known: str | None, how: str) -> None:
        """A user got an answer; `known` is what it knew of the job when it asked."""
        if status == 404:
            if known is not None:
                self.breaks("forgotten", f"{uid}: 404 to {how}, known as {known}")
            return
        if how == "submit" and status in (400, 422) and known is not None:
            self.breaks("forgotten", f"{uid}: {status} to a repeated submission")
        if status in (200, 201) and stage is not None:
            self._told_stage(uid, status, stage, known, how)

    def _told_stage(self, uid: str, status: int, stage: str, known: str | None, how: str) -> None:
        if uid not in self.jobs:
            self.breaks("invented", f"{uid}: {status} to {how}")
            return
        if known in ("done", "cancelled") and stage != known:
            self.breaks("went_back", f"{uid}: {stage} to {how} after {known}")
        if stage == "cancelled" and uid not in self.asked_to_cancel:
            self.breaks("went_back", f"{uid}: cancelled, its user did not ask for it")
        if stage == "done":
            missing = [n for n in range(self.jobs[uid]["legs"]) if f"{uid}/{n}" not in self.done]
            if missing:
                self.breaks("not_done", f"{uid}: done, but tasks {missing[:5]} are not")
        self.accepted.setdefault(uid, time.monotonic())
        if stage in ("done", "cancelled"):
            if self.final.get(uid, stage) != stage:
                self.breaks("went_back", f"{uid}: {stage} and {self.final[uid]}")
            self.final.setdefault(uid, stage)
            if stage == "cancelled":
                self.cancelled_at.setdefault(uid, time.monotonic())

    def known(self, uid: str) -> str | None:
        """Returns what users have been told of the job so far."""
        return self.final.get(uid) or ("accepted" if uid in self.accepted else None)
