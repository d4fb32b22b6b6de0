"""Which lesser work is stopped so that a waiting task fits."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from typing import Any

from .budget import Budget
from .context import Context
from .gangs import Gangs
from .ids import JobId, Team
from .jobs import Job
from .machine import Machine, Placement
from .machines import Fleet
from .order import Order
from .placement import ZERO_SIZE, Size
from .quota import Quota
from .turn import Turn
from .work import Work, fetch_s, permits, zone_open

MIN_RUNTIME_S = 3.0  # what was placed since is not stopped for a guarantee


class Preemption:
    """Chooses and stops lesser work."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        quota: Quota,
        order: Order,
        budget: Budget,
        work: Mapping[JobId, Work],
        gangs: Gangs,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.quota = quota
        self.order = order
        self.budget = budget
        self.work = work
        self.gangs = gangs
        # Sizes for which, in this turn, nothing could be stopped to make room; by who asks.
        self._hopeless: dict[tuple[Any, ...], list[Size]] = {}

    def begin(self) -> None:
        """A turn begins."""
        self._hopeless.clear()

    def make_room(self, turn: Turn, work: Work, missing: int, within: float = math.inf) -> int:
        """Stop lesser work where the waiting task then fits, and has its image `within`
        seconds; least work lost first. Returns for how many tasks.

        Only as many tasks are served by a guarantee as lie within it, and no team is brought
        below its own: else two teams would stop each other's tasks in turn.
        """
        job = work.job
        guaranteed = self.quota.guaranteed_count(job)
        if not self.quota.any_preemptible(job, guaranteed > 0):
            return 0
        spec = job.spec
        asks = (
            spec.rank,
            spec.spot,
            spec.types,
            spec.zone,
            spec.team if guaranteed > 0 else "",
            tuple(z for z in work.zones if not zone_open(work, z)),
            spec.image if within < math.inf else "",
        )
        if any(size.fits(job.size) for size in self._hopeless.get(asks, ())):
            return 0
        stopping = self.quota.stopping
        made: dict[str, int] = {}  # by zone

        def cost(machine: Machine) -> tuple[float, list[Placement]] | None:
            zone = machine.record.zone
            if not zone_open(work, zone, made.get(zone, 0)) or (
                within < math.inf and fetch_s(job, machine) > within
            ):
                return None
            found = self.find_victims(job, machine, guaranteed > 0, stopping)
            if found is None:
                return None
            lost = sum(self.gangs.lost(v) for v in found)
            return lost + (fetch_s(job, machine) if job.spec.service else 0.0), found

        candidates: list[tuple[float, str, Machine]] = []
        # Most machines hold nothing that might make way: to go through their tasks costs more.
        above = spec.rank - (guaranteed > 0)
        enough = job.size.cpus - 1e-6
        pool = self.budget.sample(
            [
                m
                for m in turn.usable()
                if m.id not in turn.claimed
                and m.id not in turn.reserved
                and m.below(above) >= enough
                and permits(job, m)
            ],
            4 * missing,
        )
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
            turn.claimed.add(machine.id)
            self._stop(found[1], job)
        return sum(made.values())

    def _stop(self, victims: list[Placement], job: Job) -> None:
        for victim in victims:
            self.context.log("info", f"{victim.task} stopped for {job.uid}")
            self.gangs.stop(victim)

    def make_room_for_gang(self, turn: Turn, work: Work) -> None:
        """The same for a gang: room for all its tasks is made, in one zone if it says so, or for
        none. Only one that lies within its team's guarantee as a whole is served by it."""
        job, n = work.job, len(work.pending)
        guaranteed = self.quota.guaranteed_count(job) >= n
        if not self.quota.any_preemptible(job, guaranteed):
            return
        asks = (job.uid, n)
        if asks in self._hopeless:
            return
        pool = [
            m
            for m in turn.usable()
            if m.id not in turn.claimed
            and permits(job, m)
            and turn.reserved.get(m.id, job.uid) == job.uid
            and zone_open(work, m.record.zone)
            and m.below(job.spec.rank - guaranteed) >= job.size.cpus - 1e-6
        ]
        self.budget.weigh_tasks(pool)
        zones: dict[str, list[tuple[float, str, Machine, int]]] = {}
        for machine in pool:
            count = n
            while (
                count
                and (
                    found := self.find_victims(job, machine, guaranteed, self.quota.stopping, count)
                )
                is None
            ):
                count //= 2
            if count:
                lost = sum(self.gangs.lost(v) for v in found or ()) + fetch_s(job, machine)
                zone = machine.record.zone if job.spec.together else ""
                zones.setdefault(zone, []).append((lost / count, machine.id, machine, count))
        best: tuple[float, list[tuple[Machine, int]]] | None = None
        for options in zones.values():
            lost, left, chosen = 0.0, n, []
            for each, _, machine, count in sorted(options, key=lambda o: o[:2]):
                if left <= 0:
                    break
                chosen.append((machine, min(count, left)))
                lost += each * min(count, left)
                left -= count
            if left <= 0 and (best is None or lost < best[0]):
                best = (lost, chosen)
        if best is None:
            self._hopeless[asks] = []
            return
        for machine, count in best[1]:
            turn.claimed.add(machine.id)
            self._stop(
                self.find_victims(job, machine, guaranteed, self.quota.stopping, count) or [], job
            )

    def find_victims(
        self,
        job: Job,
        machine: Machine,
        guaranteed: bool,
        stopping: dict[Team, Size],
        count: int = 1,
    ) -> list[Placement] | None:
        """What to stop on the machine so that so many tasks of the job fit; None: it can't."""
        size = job.size.times(count)
        room = machine.room
        active = [p for p in machine.placements.values() if p.active]
        for placement in active:
            if placement.stopping:
                room = room.plus(placement.size)
        victims: list[Placement] = []
        more = dict(stopping)
        for placement in sorted((p for p in active if not p.stopping), key=self.gangs.lost):
            if size.fits(room):
                break
            if placement.job is None:
                continue
            team = Team(placement.job.spec.team)
            # One task of an array would stop many, which then fill other gaps, to be stopped for
            # the next: a gang makes way for replicas and for gangs only.
            if placement.job.spec.gang and not (job.spec.service or job.spec.gang):
                continue
            # Else what began at last, with least to lose, would be stopped at once, and started
            # and stopped again many times a second.
            work = self.work.get(placement.task.job)
            if work is not None and self.context.now < work.aged_until:
                continue
            if placement.job.spec.rank <= job.spec.rank and (
                self.context.now < placement.since + MIN_RUNTIME_S
                or (work is not None and self.order.overdue(work))
            ):
                continue
            if self.quota.may_preempt(job, guaranteed, placement, more.get(team, ZERO_SIZE)):
                more[team] = more.get(team, ZERO_SIZE).plus(placement.size)
                victims.append(placement)
                room = room.plus(placement.size)
        return victims if size.fits(room) else None
