"""Places gangs: all tasks of a gang or none, by the same score as single tasks.

This extends the placement of the SlackVM paper from single tasks to sets: tasks are placed one
after the other on a copy of the allocations, each where it scores best given those before it. Only
a complete set, in one zone if the job demands it, is carried out.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from .budget import TurnBudget
from .context import Context
from .gangs import Gangs
from .ids import JobId, MachineId, TaskId
from .jobs import Job
from .machine import Machine
from .machines import MAX_LISTED_TASKS, Fleet
from .placement import ZERO_SIZE, Size, count_fitting
from .preemption import Preemption
from .quota import Quota
from .shares import Shares
from .turn import Turn
from .work import Work, fetch_s, permits, zone_allows_task

ScoreFunction = Callable[[Job, Machine, Size], float]

NO_ROOM = "no room for the whole gang"
# Room is reserved for a gang that has waited this long; if its job class has an objective for the
# time to start, after that time divided by WAIT_LIMIT_DIVISOR.
RESERVE_AFTER_S = 15.0
WAIT_LIMIT_DIVISOR = 2
FREE_SOON_S = 60.0  # a task estimated to end within this time counts as room that will be free
RESERVATION_S = 60.0  # how long room is reserved for a gang at a time
RESERVATION_PERIOD_S = 2 * RESERVATION_S  # between the beginnings of two reservations for a gang
# Of a share's CPUs, the part that may be reserved for gangs; the first reservation may exceed it.
MAX_RESERVED_FRACTION = 0.2
SAMPLED_MACHINES_PER_TASK = 4  # minimum sample of machines to score, per task of the gang


class Plan(NamedTuple):
    """A machine for each task of a gang."""

    slowest_fetch_s: float  # seconds until the last machine holds the image
    score: float  # sum over the tasks; higher is better
    places: list[tuple[int, Machine]]  # task numbers and their machines


class GangPlacement:
    """Plans and starts gangs, and reserves room for those that wait long."""

    def __init__(
        self,
        context: Context,
        shares: Shares,
        fleet: Fleet,
        quota: Quota,
        gangs: Gangs,
        preemption: Preemption,
        budget: TurnBudget,
        score: ScoreFunction,
        wait_limits_s: Mapping[str, float],
    ) -> None:
        self.context = context
        self.shares = shares
        self.fleet = fleet
        self.quota = quota
        self.gangs = gangs
        self.preemption = preemption
        self.budget = budget
        self.score = score
        self.wait_limits_s = wait_limits_s  # promised time to start, by job class

    def serve(self, turn: Turn, work: Work, machines: Iterable[Machine], may_preempt: bool) -> int:
        """Starts all pending tasks of the gang, or none; returns how many tasks lack room.

        With `may_preempt`, work of lower priority is preempted if the gang finds no room.
        """
        job, count = work.job, len(work.pending)
        work.wait_reason = self.gangs.check_startable(work)
        if work.wait_reason or not count:
            return 0
        if not self.quota.allows(
            job, turn.unlocated_of(job.spec.team).plus(self.gangs.size_after_first(work))
        ):
            work.wait_reason = "team limit"
            return 0
        fits = [
            m
            for m in machines
            if job.size.fits(m.room)
            and m.id not in turn.claimed
            and permits(job, m)
            and zone_allows_task(work, m.record.zone)
        ]
        plan = self._plan(work, fits)
        if plan is None:
            work.wait_reason = NO_ROOM
            if may_preempt:
                self.preemption.make_room_for_gang(turn, work)
            return count
        owned_share = self.shares.owned[work.share]
        attempt = work.attempt if any(work.zones.values()) else None
        attempt = owned_share.next_attempt() if attempt is None else attempt
        for number, machine in plan.places:
            self.fleet.placements.place(job, number, machine, attempt)
        self.context.log(
            "debug",
            f"gang {job.uid} placed on"
            f" {len({m.id for _, m in plan.places})} machines,"
            f" {self.context.now - job.submitted:.2f} s after its job,"
            f" images there in {plan.slowest_fetch_s:.1f} s",
        )
        return 0

    def _plan(self, work: Work, fits: list[Machine]) -> Plan | None:
        """Returns the best plan for the gang, or None if its pending tasks don't all fit."""
        if not work.job.spec.together:
            return self._plan_on(work, fits)
        zones: dict[str, list[Machine]] = {}
        for machine in fits:
            zones.setdefault(machine.record.zone, []).append(machine)
        plans = [
            plan for zone in sorted(zones) if (plan := self._plan_on(work, zones[zone])) is not None
        ]
        return min(plans, key=lambda p: (p.slowest_fetch_s, -p.score), default=None)

    def _plan_on(self, work: Work, machines: list[Machine]) -> Plan | None:
        """Returns a plan on these machines, or None if it can't be completed."""
        job, count = work.job, len(work.pending)
        room = {
            m.id: min(count_fitting(job.size, m.room), MAX_LISTED_TASKS - len(m.placements))
            for m in machines
        }
        if sum(room.values()) < count:
            return None
        pool = self.budget.sample(machines, SAMPLED_MACHINES_PER_TASK * count)
        used = {m.id: m.used for m in pool}
        left_in_zone = {
            zone: self.gangs.max_tasks_in_zone(work, zone) for zone in {m.record.zone for m in pool}
        }
        heap = [(-self.score(job, m, m.used), index, m) for index, m in enumerate(pool)]
        heapq.heapify(heap)
        pending = list(reversed(work.pending))
        places: list[tuple[int, Machine]] = []
        total = slowest_fetch_s = 0.0
        while pending and heap:
            negative_score, index, machine = heap[0]
            number = self._startable_task(work, machine, pending)
            if left_in_zone[machine.record.zone] <= 0 or room[machine.id] <= 0 or number is None:
                heapq.heappop(heap)
                continue
            pending.remove(number)
            places.append((number, machine))
            total -= negative_score
            slowest_fetch_s = max(slowest_fetch_s, fetch_s(job, machine))
            left_in_zone[machine.record.zone] -= 1
            room[machine.id] -= 1
            used[machine.id] = used[machine.id].plus(job.size)
            heapq.heapreplace(heap, (-self.score(job, machine, used[machine.id]), index, machine))
        return Plan(slowest_fetch_s, total, places) if not pending else None

    @staticmethod
    def _startable_task(work: Work, machine: Machine, pending: list[int]) -> int | None:
        """Returns the first pending task that can start on the machine, or None.

        The worker refuses or ignores the start of a task of which it still lists a former attempt.
        """
        for number in pending:
            if not (number in work.attempted and machine.holds(TaskId(work.job.uid, number))):
                return number
        return None

    # --- reservations --------------------------------------------------------------------

    def reserve(
        self, waiting: list[Work], usable: Callable[[], list[Machine]]
    ) -> dict[MachineId, JobId]:
        """Returns the machines to reserve, each with the gang that it is reserved for.

        Without reservations, single tasks would take freed room before it is enough for a gang.
        Room is reserved for the gangs that have waited longest, for a limited time, on the machines
        that lack least room: no more machines than the gang needs, none whose tasks will run long,
        and only a part of the share's CPUs.
        """
        long_waiting = [
            w
            for w in waiting
            if w.job.spec.gang
            and not w.fails_everywhere
            and w.attempt is None
            and self.context.now > w.job.submitted + self._reserve_after_s(w.job)
        ]
        if not long_waiting:
            return {}
        reserved: dict[MachineId, JobId] = {}
        machines = usable()
        cpus_left = MAX_RESERVED_FRACTION * sum(m.type.cpus for m in machines if m.type)
        for work in sorted(long_waiting, key=lambda w: (w.job.submitted, w.job.uid)):
            if not self.quota.allows(work.job, self.gangs.size_after_first(work)):
                continue
            # Room that does not fall free during a reservation falls free too seldom to wait for:
            # the reservation pauses until the next period.
            if self.context.now > work.reserved_at + RESERVATION_PERIOD_S:
                work.reserved_at = self.context.now
            elif self.context.now > work.reserved_at + RESERVATION_S:
                continue
            found = self._least_lacking(work, [m for m in machines if m.id not in reserved])
            if found is None:
                continue
            cpus_left -= sum(m.type.cpus for m in found if m.type)
            if reserved and cpus_left < 0:
                break
            reserved.update((m.id, work.job.uid) for m in found)
        return reserved

    def _reserve_after_s(self, job: Job) -> float:
        """Returns the seconds that a gang waits before room is reserved for it."""
        wait_limit_s = self.wait_limits_s.get(job.spec.lane)
        return RESERVE_AFTER_S if wait_limit_s is None else wait_limit_s / WAIT_LIMIT_DIVISOR

    def _least_lacking(self, work: Work, machines: list[Machine]) -> list[Machine] | None:
        """Returns the machines on which the least room must still fall free for the whole gang.

        They are in one zone if the job requires it. Returns None if no set of machines will have
        enough room soon.
        """
        job, count = work.job, len(work.pending)
        # By zone: tasks that fit now, tasks that fit soon, and the machine.
        zones: dict[str, list[tuple[int, int, Machine]]] = {}
        for machine in machines:
            soon = count_fitting(job.size, self._room_soon(machine))
            if soon and permits(job, machine):
                zone = machine.record.zone if job.spec.together else ""
                free = count_fitting(job.size, machine.room)
                zones.setdefault(zone, []).append((free, soon, machine))
        best: tuple[int, list[Machine]] | None = None
        for zone in sorted(zones):
            lacking, chosen, available = 0, [], 0
            for free, soon, machine in sorted(
                zones[zone], key=lambda entry: (entry[0] - entry[1], -entry[1], entry[2].id)
            ):
                if available >= count:
                    break
                available += soon
                lacking += soon - free
                chosen.append(machine)
            if available >= count and (best is None or lacking < best[0]):
                best = (lacking, chosen)
        return best[1] if best else None

    def _room_soon(self, machine: Machine) -> Size:
        """Returns the machine's room once tasks that stop, or end within FREE_SOON_S, are gone.

        Replicas count as staying, even if they are being stopped.
        """
        now, room = self.context.now, machine.room
        for placement in machine.placements.values():
            job = placement.job
            if not placement.active or job is None or job.spec.service:
                continue
            ran_s = now - placement.ran_since if placement.ran_since else 0.0
            if placement.stopping or job.spec.estimate_s - ran_s < FREE_SOON_S:
                room = room.plus(placement.size)
        return room if machine.type else ZERO_SIZE
