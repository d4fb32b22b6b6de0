"""Preemption: stops work of lower priority so that waiting tasks fit."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from typing import Any

from .budget import TurnBudget
from .context import Context
from .gangs import Gangs
from .ids import JobId, Team
from .jobs import Job
from .machine import Machine, Placement
from .machines import Fleet
from .placement import ZERO_SIZE, Size
from .queue_order import QueueOrder
from .quota import Quota
from .turn import Turn
from .work import Work, fetch_s, permits, zone_allows_task

MIN_RUNTIME_S = 3.0  # a task placed more recently is not stopped for work of equal rank
CPU_TOLERANCE = 1e-6  # CPUs; absorbs rounding in sums of sizes
CANDIDATES_PER_TASK = 4  # minimum sample of machines to evaluate, per missing task


class Preemption:
    """Chooses and stops work of lower priority."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        quota: Quota,
        order: QueueOrder,
        budget: TurnBudget,
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
        # Sizes for which no work can be stopped to make room in this turn, by the properties of the
        # request that decide which work may be stopped.
        self._unsatisfiable: dict[tuple[Any, ...], list[Size]] = {}

    def begin_turn(self) -> None:
        """Forgets for which sizes and gangs the previous turn could make no room."""
        self._unsatisfiable.clear()

    def make_room(
        self, turn: Turn, work: Work, missing: int, fetch_limit_s: float = math.inf
    ) -> int:
        """Stops work of lower priority so that up to `missing` tasks fit; returns for how many.

        Machines with the least work lost come first (for replicas, work lost plus image fetch, in
        seconds), and only machines that can hold the job's image within `fetch_limit_s` seconds.
        For tasks within its team's guarantee a job may also stop tasks of equal rank, but only
        those of other teams that hold more than their own guarantee: otherwise two teams would
        stop each other's tasks in turn.
        """
        job = work.job
        guaranteed = self.quota.guaranteed_count(job)
        if not self.quota.any_preemptible(job, guaranteed > 0):
            return 0
        spec = job.spec
        request = (
            spec.rank,
            spec.spot,
            spec.types,
            spec.zone,
            spec.team if guaranteed > 0 else "",
            tuple(zone for zone in work.zones if not zone_allows_task(work, zone)),
            spec.image if fetch_limit_s < math.inf else "",
        )
        if any(size.fits(job.size) for size in self._unsatisfiable.get(request, ())):
            return 0
        stopping = self.quota.stopping
        served_by_zone: dict[str, int] = {}  # tasks for which room was made

        def preemption_cost(machine: Machine) -> tuple[float, list[Placement]] | None:
            zone = machine.record.zone
            if not zone_allows_task(work, zone, served_by_zone.get(zone, 0)) or (
                fetch_limit_s < math.inf and fetch_s(job, machine) > fetch_limit_s
            ):
                return None
            victims = self.find_victims(job, machine, guaranteed > 0, stopping)
            if victims is None:
                return None
            lost_s = sum(self.gangs.stop_cost_s(victim) for victim in victims)
            return lost_s + (fetch_s(job, machine) if job.spec.service else 0.0), victims

        candidates: list[tuple[float, str, Machine]] = []
        # Most machines hold nothing that may be stopped. The CPUs by rank show this at less cost
        # than a pass over their tasks.
        rank = spec.rank - (guaranteed > 0)
        min_cpus = job.size.cpus - CPU_TOLERANCE
        pool = self.budget.sample(
            [
                m
                for m in turn.usable()
                if m.id not in turn.claimed
                and m.id not in turn.reserved
                and m.cpus_with_preemption(rank) >= min_cpus
                and permits(job, m)
            ],
            CANDIDATES_PER_TASK * missing,
        )
        self.budget.charge_tasks(pool)
        for machine in pool:
            option = preemption_cost(machine)
            if option is not None:
                candidates.append((option[0], machine.id, machine))
        if not candidates:
            self._unsatisfiable.setdefault(request, []).append(job.size)
        heapq.heapify(candidates)
        while missing > 0 and candidates:
            expected_s, _, machine = heapq.heappop(candidates)
            # The stops since then may have changed what may be stopped on this machine.
            option = preemption_cost(machine)
            if option is None:
                continue
            if option[0] > expected_s:
                heapq.heappush(candidates, (option[0], machine.id, machine))
                continue
            missing -= 1
            guaranteed -= 1
            served_by_zone[machine.record.zone] = served_by_zone.get(machine.record.zone, 0) + 1
            turn.claimed.add(machine.id)
            self._stop(option[1], job)
        return sum(served_by_zone.values())

    def _stop(self, victims: list[Placement], job: Job) -> None:
        for victim in victims:
            self.context.log("info", f"{victim.task} stopped for {job.uid}")
            self.gangs.stop(victim)

    def make_room_for_gang(self, turn: Turn, work: Work) -> None:
        """Stops work of lower priority so that all pending tasks of a gang fit, or stops none.

        All tasks are placed in one zone if the gang requires it. Tasks of equal rank are
        stopped only if the whole gang lies within its team's guarantee (see `make_room`).
        """
        job, task_count = work.job, len(work.pending)
        guaranteed = self.quota.guaranteed_count(job) >= task_count
        if not self.quota.any_preemptible(job, guaranteed):
            return
        request = (job.uid, task_count)
        if request in self._unsatisfiable:
            return
        pool = [
            m
            for m in turn.usable()
            if m.id not in turn.claimed
            and permits(job, m)
            and turn.reserved.get(m.id, job.uid) == job.uid
            and zone_allows_task(work, m.record.zone)
            and m.cpus_with_preemption(job.spec.rank - guaranteed) >= job.size.cpus - CPU_TOLERANCE
        ]
        self.budget.charge_tasks(pool)
        zones: dict[str, list[tuple[float, str, Machine, int]]] = {}
        for machine in pool:
            count = task_count
            while (
                count
                and (
                    victims := self.find_victims(
                        job, machine, guaranteed, self.quota.stopping, count
                    )
                )
                is None
            ):
                count //= 2
            if count:
                lost_s = sum(self.gangs.stop_cost_s(v) for v in victims or ()) + fetch_s(
                    job, machine
                )
                zone = machine.record.zone if job.spec.together else ""
                zones.setdefault(zone, []).append((lost_s / count, machine.id, machine, count))
        best: tuple[float, list[tuple[Machine, int]]] | None = None
        for options in zones.values():
            lost_s, missing, chosen = 0.0, task_count, []
            for task_lost_s, _, machine, count in sorted(options, key=lambda o: o[:2]):
                if missing <= 0:
                    break
                chosen.append((machine, min(count, missing)))
                lost_s += task_lost_s * min(count, missing)
                missing -= count
            if missing <= 0 and (best is None or lost_s < best[0]):
                best = (lost_s, chosen)
        if best is None:
            self._unsatisfiable[request] = []
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
        """Returns what to stop on the machine so that `count` tasks fit; None if they cannot.

        `stopping` is the size of what is being stopped already, by team.
        """
        size = job.size.times(count)
        room = machine.room
        active = [p for p in machine.placements.values() if p.active]
        for placement in active:
            if placement.stopping:
                room = room.plus(placement.size)
        victims: list[Placement] = []
        planned_stopping = dict(stopping)
        for placement in sorted((p for p in active if not p.stopping), key=self.gangs.stop_cost_s):
            if size.fits(room):
                break
            if placement.job is None:
                continue
            team = Team(placement.job.spec.team)
            # A gang is stopped only for replicas and gangs. One task of an array would stop many
            # tasks of a gang, which then fill other gaps and are stopped for the next task.
            if placement.job.spec.gang and not (job.spec.service or job.spec.gang):
                continue
            # Work prioritised after a long wait is spared for that time: having just started, it
            # has the least to lose, and would be stopped and started again many times a second.
            work = self.work.get(placement.task.job)
            if work is not None and self.context.now < work.prioritised_until:
                continue
            if placement.job.spec.rank <= job.spec.rank and (
                self.context.now < placement.since + MIN_RUNTIME_S
                or (work is not None and self.order.overdue(work))
            ):
                continue
            if self.quota.may_preempt(
                job, guaranteed, placement, planned_stopping.get(team, ZERO_SIZE)
            ):
                planned_stopping[team] = planned_stopping.get(team, ZERO_SIZE).plus(placement.size)
                victims.append(placement)
                room = room.plus(placement.size)
        return victims if size.fits(room) else None
