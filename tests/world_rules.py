"""Checks of PROTOCOL's rules on task starts in the simulated cluster."""

from __future__ import annotations

from typing import Any

from world_worker import Worker


class RuleChecks:
    """The part of `World` that records violations."""

    def on_machines(self) -> list[tuple[Any, Worker]]:
        return [
            (task, w)
            for w in self.workers.values()
            if w.alive
            for (task, _), e in w.tasks.items()
            if e[0] in ("running", "waiting", "saving")
        ]

    def check_start(self, worker: Worker, task: Any) -> None:
        self.starts.append((self.now, task, worker.id))
        for other, holder in self.on_machines():
            if other == task and holder is not worker:
                self.violations.append(f"ran_twice: {task} on {holder.id} and {worker.id}")
        job = self.specs[task.job]
        used = job.cpus + sum(
            self.specs[x.job].cpus
            for x, _ in self.on_machines()
            if self.specs[x.job].team == job.team
        )
        if used > self.settings.get("cpus_max", 16.0) + 1e-6:
            self.violations.append(f"quota: {job.team} uses {used}")
        if not job.spot and worker.spot:
            self.violations.append(f"wrong_place: {task} on a spot machine")
        if job.zone is not None and job.zone != worker.zone:
            self.violations.append(f"wrong_place: {task} in zone {worker.zone}")
        if job.together and any(
            x.job == job.uid and w.zone != worker.zone for x, w in self.on_machines()
        ):
            self.violations.append(f"wrong_place: {task} in zone {worker.zone}, others elsewhere")
        if job.spread:
            in_zone = 1 + sum(
                1 for x, w in self.on_machines() if x.job == job.uid and w.zone == worker.zone
            )
            if in_zone > (job.tasks + 1) // 2:
                self.violations.append(f"wrong_place: {task} makes {in_zone} in zone {worker.zone}")
