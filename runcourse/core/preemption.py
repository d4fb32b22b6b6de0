"""Which lesser work is stopped so that a waiting task fits."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from typing import Any

from .budget import Budget
from .context import Context
from .ids import JobId, MachineId, Team
from .jobs import Job
from .machine import Machine, Placement
from .machines import Fleet
from .order import Order
from .placement import NOTHING, Size
from .quota import Quota
from .work import Usable, Work, fetch_s, grace, loss, permits, zone_open

YOUNG_S = 3.0  # what was placed since is not stopped for a guarantee


class Preemption:
    def __init__(self, cx: Context, fleet: Fleet, quota: Quota, order: Order, budget: Budget,
                 work: Mapping[JobId, Work]) -> None:
        self.cx = cx
        self.fleet = fleet
        self.quota = quota
        self.order = order
        self.budget = budget
        self.work = work
        # Sizes for which, in this turn, nothing could be stopped to make room; by who asks.
        self._hopeless: dict[tuple[Any, ...], list[Size]] = {}

    def begin(self) -> None:
        self._hopeless.clear()

    def make_room(self, work: Work, usable: Usable, claimed: set[MachineId],
                   missing: int, within: float = math.inf) -> int:
        """Stop lesser work where the waiting task then fits, and has its image `within`
        seconds; least work lost first. Returns for how many tasks.

        Only as many tasks are served by a guarantee as lie within it, and no team is brought
        below its own: else two teams would stop each other's tasks in turn.
        """
        job = work.job
        guaranteed = self.quota.guaranteed_count(job)
        if not self.quota.could_stop(job, guaranteed > 0):
            return 0
        spec = job.spec
        asks = (spec.rank, spec.spot, spec.types, spec.zone, spec.team if guaranteed > 0 else "",
                tuple(z for z in work.zones if not zone_open(work, z)),
                spec.image if within < math.inf else "")
        if any(size.fits(job.size) for size in self._hopeless.get(asks, ())):
            return 0
        stopping = self.quota.stopping
        made: dict[str, int] = {}  # by zone

        def cost(machine: Machine) -> tuple[float, list[Placement]] | None:
            zone = machine.record.zone
            if (not zone_open(work, zone, made.get(zone, 0))
                    or (within < math.inf and fetch_s(job, machine) > within)):
                return None
            found = self.victims(job, machine, guaranteed > 0, stopping)
            if found is None:
                return None
            lost = sum(loss(v, self.cx.now) for v in found)
            return lost + (fetch_s(job, machine) if job.spec.service else 0.0), found

        candidates: list[tuple[float, str, Machine]] = []
        # Most machines hold nothing that might make way: to go through their tasks costs more.
        above = spec.rank - (guaranteed > 0)
        enough = job.size.cpus - 1e-6
        pool = self.budget.sample([m for m in usable() if m.id not in claimed
                                   and m.below(above) >= enough and permits(job, m)], 4 * missing)
        self.budget.weigh_tasks(pool)
        for machine in pool:
            found = cost(machine)
            if found is not None:
                candidates.append((found[0], machine.id, machine))
        if not candidates:
            self._hopeless.setdefault(asks, []).append(job.size)
        heapq.heapify(candidates)
        while missing > 0 and candidates:
            before, _, machine = heapq.heappop(candidates)
            # What was stopped since may have changed what may be stopped here.
            found = cost(machine)
            if found is None:
                continue
            if found[0] > before:
                heapq.heappush(candidates, (found[0], machine.id, machine))
                continue
            missing -= 1
            guaranteed -= 1
            made[machine.record.zone] = made.get(machine.record.zone, 0) + 1
            claimed.add(machine.id)
            for victim in found[1]:
                self.cx.log("info", f"{victim.task} stopped for {job.uid}")
                self.fleet.stop(victim, grace(victim))
        return sum(made.values())

    def victims(self, job: Job, machine: Machine, guaranteed: bool,
                 stopping: dict[Team, Size]) -> list[Placement] | None:
        """What to stop on the machine so that one task of the job fits; None: it can't."""
        room = machine.room
        active = [p for p in machine.placements.values() if p.active]
        for placement in active:
            if placement.stopping:
                room = room.plus(placement.size)
        victims: list[Placement] = []
        more = dict(stopping)
        for placement in sorted((p for p in active if not p.stopping),
                                key=lambda p: loss(p, self.cx.now)):
            if job.size.fits(room):
                break
            if placement.job is None:
                continue
            team = Team(placement.job.spec.team)
            # Else what began at last, with least to lose, would be stopped at once, and started
            # and stopped again many times a second.
            work = self.work.get(placement.task.job)
            if work is not None and self.cx.now < work.aged_until:
                continue
            if placement.job.spec.rank <= job.spec.rank and (
                    self.cx.now < placement.since + YOUNG_S
                    or (work is not None and self.order.overdue(work))):
                continue
            if self.quota.may_stop(job, guaranteed, placement, more.get(team, NOTHING)):
                more[team] = more.get(team, NOTHING).plus(placement.size)
                victims.append(placement)
                room = room.plus(placement.size)
        return victims if job.size.fits(room) else None
