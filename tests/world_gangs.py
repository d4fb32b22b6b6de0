"""Gangs of the simulated cluster: their tasks start, advance and end together."""

from __future__ import annotations

from typing import Any

from world_settings import GANG_PEER_S
from world_worker import Gang, Worker

from runcourse.core import types as t

PEER_LOSS_FACTOR = 0.5  # of the peer timeout, until a gang that lacks a task ends


class GangSteps:
    """The part of `World` that advances gangs."""

    def running_gangs(self) -> set[str]:
        return {str(uid) for (uid, _), gang in self.gangs.items() if not gang.ended}

    def saves(self, order: t.Order, entry: list[Any]) -> bool:
        """Starts or continues the save of a gang task that is stopped with enough grace time."""
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
        if gang.stop_ordered_at is None:
            gang.stop_ordered_at = self.now
        return True

    def _step_gangs(self) -> None:
        tasks_by_attempt: dict[tuple[Any, int], list[tuple[Worker, Any, list[Any]]]] = {}
        for worker in self.workers.values():
            for (task, attempt), entry in worker.tasks.items():
                if worker.alive and self.specs[task.job].gang and entry[0] != "ended":
                    tasks_by_attempt.setdefault((task.job, attempt), []).append(
                        (worker, task, entry)
                    )
        for key, members in tasks_by_attempt.items():
            if key not in self.gangs:
                ready = {task for w, task, e in members if e[0] == "waiting" and not w.hung}
                if len(ready) == self.specs[key[0]].tasks:
                    self.gangs[key] = Gang(self.now)
                    self.gang_runs.append((self.now, *key))
                    for _, _, entry in members:
                        entry[0], entry[2] = "running", self.now
        for key, gang in self.gangs.items():
            if not gang.ended:
                self._step_gang(key[0], gang, tasks_by_attempt.get(key, []))

    def _step_gang(
        self, uid: Any, gang: Gang, members: list[tuple[Worker, Any, list[Any]]]
    ) -> None:
        job, now = self.specs[uid], self.now
        work_s = self.progress.get(uid, 0.0) + (gang.stop_ordered_at or now) - gang.started_at
        active = [m for m in members if m[2][0] in ("running", "saving")]

        def end(cause: str, progress: float) -> None:
            gang.ended = True
            self.progress[uid] = progress
            for _, task, entry in active:
                entry[0], entry[1] = "ended", cause
                if cause == "done":
                    self.finished.add(task)

        checkpointed_s = work_s - work_s % job.checkpoint_s if job.checkpoint_s else 0.0
        if len(active) < job.tasks or any(w.hung for w, _, _ in active):
            gang.incomplete_since = gang.incomplete_since or now
            if now - gang.incomplete_since > PEER_LOSS_FACTOR * GANG_PEER_S:
                end("mates", checkpointed_s)
        elif gang.stop_ordered_at is not None:
            saved = [e for _, _, e in active if e[0] == "saving" and now - e[2] >= job.save_s]
            if len(saved) == job.tasks:
                end("stopped", work_s)
            elif now - gang.stop_ordered_at > GANG_PEER_S and any(
                e[0] == "running" for _, _, e in active
            ):
                end("mates", checkpointed_s)
        elif uid not in self.failing_jobs and work_s > job.estimate_s:
            end("done", job.estimate_s)
        elif uid in self.failing_jobs:
            end("error", 0.0)
