"""Draining of machines that are to be returned to the cloud, or needed by another share.

Machines under notice, which the cloud will take away at a known time, are evacuated.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from .context import Context
from .gangs import Gangs
from .ids import Instant, JobId, ShareNo
from .machine import Machine, Placement
from .machines import Fleet
from .placement import Size
from .shares import Shares
from .work import Work, may_move_to, permits, stop_grace_s

DRAIN_TIMEOUT_S = 45.0  # a machine that is not empty by then accepts tasks again
MIN_REPLICA_RUNTIME_S = 35.0  # a replica that has run for less is not moved
SAVE_MARGIN_S = 2.0  # beyond the save time of a task, before its machine is taken away
GANG_SAVE_MARGIN_S = 1.0  # the same for a gang, beyond its `save_s` and `gang_peer_s`


class Draining:
    """Drains machines: they take no new tasks, and their tasks end, move or are stopped."""

    def __init__(
        self,
        context: Context,
        shares: Shares,
        fleet: Fleet,
        work: Mapping[JobId, Work],
        gangs: Gangs,
    ) -> None:
        self.context = context
        self.shares = shares
        self.fleet = fleet
        self.work = work
        self.gangs = gangs
        self._draining: deque[Machine] = deque()  # checked in rotation, one per tick

    def _may_move_to(self, placement: Placement, target: Machine) -> bool:
        """Returns whether a move to the target keeps the job's constraints on zones."""
        work = self.work.get(placement.task.job)
        zone, target_zone = placement.machine.record.zone, target.record.zone
        return work is not None and may_move_to(work, zone, target_zone)

    def drain(self, share: ShareNo, number: int) -> None:
        """Drains up to `number` machines of the share, by ascending CPUs of their replicas.

        One machine with replicas always remains. A drained machine takes no new tasks, and its
        replicas move away once nothing else is left on it.
        """
        machines = [
            m for m in self.fleet.of_share(share) if self.fleet.usable(m) and m.service_cpus > 0
        ]
        machines.sort(key=lambda m: (m.service_cpus, m.id))
        for machine in machines[: min(number, len(machines) - 1)]:
            machine.draining_until = Instant(self.context.now + DRAIN_TIMEOUT_S)
            self._draining.append(machine)

    def vacate(
        self, share: ShareNo, rank: int, size: Size, serves: Callable[[Machine], bool]
    ) -> Machine | None:
        """Stops all tasks of one machine that `serves` accepts, and returns the machine.

        Only a machine whose tasks all have a lower priority than `rank` qualifies; the one with
        the least work lost is chosen, and None returned if there is none. The machine takes no
        new tasks for DRAIN_TIMEOUT_S, in which it is to change its share.
        """
        now = self.context.now
        best: tuple[float, str, Machine] | None = None
        for machine in self.fleet.of_share(share):
            active = [p for p in machine.placements.values() if p.active]
            if (
                not self.fleet.usable(machine)
                or not serves(machine)
                or machine.type is None
                or not size.fits(machine.type.size)
                or any(p.job is None or p.job.spec.rank <= rank for p in active)
            ):
                continue
            lost_s = sum(self.gangs.stop_cost_s(p) for p in active)
            if best is None or (lost_s, machine.id) < best[:2]:
                best = (lost_s, machine.id, machine)
        if best is None:
            return None
        machine = best[2]
        machine.draining_until = Instant(now + DRAIN_TIMEOUT_S)
        for placement in list(machine.placements.values()):
            self.gangs.stop(placement)
        return machine

    def soonest_empty(self, share: ShareNo, serves: Callable[[Machine], bool]) -> list[Machine]:
        """Returns the machines without replicas that `serves` accepts, in the order of preference.

        The key is the longest estimated remaining run time on the machine, times the number of
        its tasks: machines that become empty soonest, and lose the least by idling until then,
        come first.
        """
        now = self.context.now
        found: list[tuple[float, str, Machine]] = []
        for machine in self.fleet.of_share(share):
            if machine.service_cpus > 0 or not self.fleet.usable(machine) or not serves(machine):
                continue
            remaining_s = [
                max(0.0, p.job.spec.estimate_s - (now - p.ran_since if p.ran_since else 0.0))
                for p in machine.placements.values()
                if p.active and p.job is not None
            ]
            found.append(
                (
                    max(remaining_s, default=0.0) * max(len(remaining_s), 1),
                    machine.id,
                    machine,
                )
            )
        return [machine for _, _, machine in sorted(found, key=lambda f: f[:2])]

    def _relocate_replicas(self, machine: Machine) -> bool:
        """Moves the replicas if other machines have room and hold their images.

        They are stopped, and the scheduler starts them elsewhere. That takes only a moment, after
        which the empty machine can be returned. Returns whether the replicas are moved, or the
        machine is empty already.
        """
        now = self.context.now
        placements = list(machine.placements.values())
        if not all(
            p.job is not None
            and p.job.spec.service
            and p.stage == "running"
            and not p.stopping
            and now - p.ran_since > MIN_REPLICA_RUNTIME_S
            for p in placements
        ):
            return False
        if not placements:  # The machine became empty by itself and stays so until it is returned.
            machine.draining_until = Instant(now + DRAIN_TIMEOUT_S)
            return True
        min_size = Size(*map(min, zip(*(p.size for p in placements), strict=True)))
        machines = [
            m
            for m in self.fleet.of_share(machine.share.number).with_room(min_size)
            if m is not machine and m.placements and self.fleet.usable(m)
        ]
        rooms = {m.id: m.room for m in machines}
        for placement in placements:
            assert placement.job is not None
            target = next(
                (
                    m
                    for m in machines
                    if placement.job.spec.image in m.images
                    and permits(placement.job, m)
                    and self._may_move_to(placement, m)
                    and placement.size.fits(rooms[m.id])
                ),
                None,
            )
            if target is None:
                return False
            rooms[target.id] = rooms[target.id].minus(placement.size)
        self.context.log("info", f"machine {machine.id}: {len(placements)} replicas move away")
        machine.draining_until = Instant(now + DRAIN_TIMEOUT_S)
        for placement in placements:
            self.fleet.placements.stop(placement)
        return True

    def _evacuate(self, machine: Machine) -> None:
        """Stops tasks of a machine under notice that do not end in time and have room elsewhere.

        They stop now, with time to save, rather than when the cloud takes the machine away. A
        task with checkpoints and no room elsewhere stops when its time to save and SAVE_MARGIN_S
        are left.
        """
        now = self.context.now
        notice_left_s = (machine.notice_until or now) - now
        targets = [m for m in self.fleet.of_share(machine.share.number) if self.fleet.usable(m)]
        rooms = {m.id: m.room for m in targets}
        for placement in list(machine.placements.values()):
            job = placement.job
            if job is None or not placement.active or placement.stopping:
                continue
            if job.spec.gang:
                self._evacuate_gang(placement, notice_left_s)
                continue
            if not job.spec.service and placement.stage == "running":
                remaining_s = job.spec.estimate_s - (now - placement.ran_since)
                if remaining_s < notice_left_s:
                    continue
            target = next(
                (
                    m
                    for m in targets
                    if permits(job, m)
                    and self._may_move_to(placement, m)
                    and placement.size.fits(rooms[m.id])
                ),
                None,
            )
            must_save_now = (
                job.spec.checkpoint_s > 0 and notice_left_s < job.spec.save_s + SAVE_MARGIN_S
            )
            if target is None and not must_save_now:
                continue
            if target is not None:
                rooms[target.id] = rooms[target.id].minus(placement.size)
            self.fleet.placements.stop(placement, stop_grace_s(placement))

    def _evacuate_gang(self, placement: Placement, notice_left_s: float) -> None:
        """Stops a gang of which one task is on a machine under notice, unless it ends in time.

        A running gang with checkpoints stops as late as it can still save; one that does not run
        yet stops at once.
        """
        assert placement.job is not None
        spec = placement.job.spec
        if placement.stage == "running":
            if spec.estimate_s - (self.context.now - placement.ran_since) < notice_left_s:
                return
            needed_s = (
                spec.save_s
                + self.context.platform.settings.workers.gang_peer_s
                + GANG_SAVE_MARGIN_S
            )
            if spec.checkpoint_s > 0 and notice_left_s > needed_s:
                return
        self.gangs.stop(placement)

    def tick(self) -> None:
        """Evacuates the machines under notice, and continues one drain."""
        for number in self.shares.owned:
            if self.shares.may_command(number):
                for machine in self.fleet.of_share(number).under_notice():
                    self._evacuate(machine)
        if self._draining:
            # One machine per tick: a large fleet drains many machines at once, and each check
            # searches all other machines for room.
            machine = self._draining.popleft()
            if (
                self.context.now < machine.draining_until
                and self.fleet.machines.get(machine.id) is machine
                and not (
                    self.shares.may_command(machine.share.number)
                    and self._relocate_replicas(machine)
                )
            ):
                self._draining.append(machine)
