"""Gangs of the scripted world: their tasks start, tick and end together."""

from __future__ import annotations

from typing import Any

from world_settings import GANG_PEER_S
from world_worker import Gang, Worker

from runcourse.core import types as t


class GangSteps:
    """The part of the world that lets time pass for gangs."""

    def running_gangs(self) -> set[str]:
        return {str(uid) for (uid, _), gang in self.gangs.items() if not gang.ended}

    def saves(self, order: t.Order, entry: list[Any]) -> bool:
        """A task of a running gang that is told to stop with time to save goes on doing that."""
        job = self.specs[order.task.job]
        gang = self.gangs.get((order.task.job, order.attempt))
        if (
            not job.gang
            or gang is None
            or gang.ended
            or entry[0] not in ("running", "saving")
            or not job.checkpoint_s
            or order.grace_s < job.save_s
        ):
            return False
        if entry[0] == "running":
            entry[0], entry[2] = "saving", self.now
        if gang.told_at is None:
            gang.told_at = self.now
        return True

    def _step_gangs(self) -> None:
        found: dict[tuple[Any, int], list[tuple[Worker, Any, list[Any]]]] = {}
        for worker in self.workers.values():
            for (task, attempt), entry in worker.tasks.items():
                if worker.alive and self.specs[task.job].gang and entry[0] != "ended":
                    found.setdefault((task.job, attempt), []).append((worker, task, entry))
        for key, members in found.items():
            if key not in self.gangs:
                ready = {task for w, task, e in members if e[0] == "waiting" and not w.hung}
                if len(ready) == self.specs[key[0]].tasks:
                    self.gangs[key] = Gang(self.now)
                    self.gang_runs.append((self.now, *key))
                    for _, _, entry in members:
                        entry[0], entry[2] = "running", self.now
        for key, gang in self.gangs.items():
            if not gang.ended:
                self._step_gang(key[0], gang, found.get(key, []))

    def _step_gang(
        self, uid: Any, gang: Gang, members: list[tuple[Worker, Any, list[Any]]]
    ) -> None:
        job, now = self.specs[uid], self.now
        reached = self.progress.get(uid, 0.0) + (gang.told_at or now) - gang.since
        there = [m for m in members if m[2][0] in ("running", "saving")]

        def end(cause: str, progress: float) -> None:
            gang.ended = True
            self.progress[uid] = progress
            for _, task, entry in there:
                entry[0], entry[1] = "ended", cause
                if cause == "done":
                    self.finished.add(task)

        marked = reached - reached % job.checkpoint_s if job.checkpoint_s else 0.0
        if len(there) < job.tasks or any(w.hung for w, _, _ in there):
            gang.broken_at = gang.broken_at or now
            if now - gang.broken_at > 0.5 * GANG_PEER_S:
                end("mates", marked)
        elif gang.told_at is not None:
            saved = [e for _, _, e in there if e[0] == "saving" and now - e[2] >= job.save_s]
            if len(saved) == job.tasks:
                end("stopped", reached)
            elif now - gang.told_at > GANG_PEER_S and any(e[0] == "running" for _, _, e in there):
                end("mates", marked)
        elif uid not in self.failing_jobs and reached > job.estimate_s:
            end("done", job.estimate_s)
        elif uid in self.failing_jobs:
            end("error", 0.0)
