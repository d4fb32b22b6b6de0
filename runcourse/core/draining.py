"""Emptying machines: those under notice, those to be returned, those that another share needs."""

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
from .work import Work, grace, may_move_to, permits

DRAIN_S = 45.0  # a machine that is not empty by then takes tasks again
SETTLED_S = 35.0  # a replica that started lately is not moved


class Draining:
    """Stops or moves what is on machines that are to fall empty."""

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
        self._draining: deque[Machine] = deque()  # looked at in turn

    def _may_move_to(self, placement: Placement, target: Machine) -> bool:
        """Would the zones still be as the job asks, with this task there instead?"""
        work = self.work.get(placement.task.job)
        here, there = placement.machine.record.zone, target.record.zone
        return work is not None and may_move_to(work, here, there)

    def drain(self, share: ShareNo, number: int) -> None:
        """Empty the machines of the share that hold the fewest replicas: nothing new goes
        there, and once only replicas are left they move."""
        lasting = [m for m in self.fleet.of_share(share) if self.fleet.usable(m) and m.lasting > 0]
        lasting.sort(key=lambda m: (m.lasting, m.id))
        for machine in lasting[: min(number, len(lasting) - 1)]:
            machine.draining_until = Instant(self.context.now + DRAIN_S)
            self._draining.append(machine)

    def vacate(
        self, share: ShareNo, rank: int, size: Size, serves: Callable[[Machine], bool]
    ) -> Machine | None:
        """Stop all that runs on one machine, if all of it ranks lower; least work lost first.
        Nothing new goes there until it has changed its share."""
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
            lost = sum(self.gangs.lost(p) for p in active)
            if best is None or (lost, machine.id) < best[:2]:
                best = (lost, machine.id, machine)
        if best is None:
            return None
        machine = best[2]
        machine.draining_until = Instant(now + DRAIN_S)
        for placement in list(machine.placements.values()):
            self.gangs.stop(placement)
        return machine

    def soonest_empty(self, share: ShareNo, serves: Callable[[Machine], bool]) -> list[Machine]:
        """Machines without replicas, those first that fall empty soonest as it seems, and idle
        for the least until then."""
        now = self.context.now
        found: list[tuple[float, str, Machine]] = []
        for machine in self.fleet.of_share(share):
            if machine.lasting > 0 or not self.fleet.usable(machine) or not serves(machine):
                continue
            left = [
                max(0.0, p.job.spec.estimate_s - (now - p.ran_since if p.ran_since else 0.0))
                for p in machine.placements.values()
                if p.active and p.job is not None
            ]
            found.append((max(left, default=0.0) * max(len(left), 1), machine.id, machine))
        return [machine for _, _, machine in sorted(found, key=lambda f: f[:2])]

    def _relocate_replicas(self, machine: Machine) -> bool:
        """Move the replicas if the others have room and hold their images: then a move takes
        a moment only, and the empty machine can be returned. Says whether they are moved."""
        now = self.context.now
        placements = list(machine.placements.values())
        if not all(
            p.job is not None
            and p.job.spec.service
            and p.stage == "running"
            and not p.stopping
            and now - p.ran_since > SETTLED_S
            for p in placements
        ):
            return False
        if not placements:  # it fell empty by itself, and is to stay so until it is returned
            machine.draining_until = Instant(now + DRAIN_S)
            return True
        least = Size(*map(min, zip(*(p.size for p in placements), strict=True)))
        machines = [
            m
            for m in self.fleet.of_share(machine.share.number).with_room(least)
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
        machine.draining_until = Instant(now + DRAIN_S)
        for placement in placements:
            self.fleet.placements.stop(placement)
        return True

    def _leave(self, machine: Machine) -> None:
        """A machine under notice: what won't end in time and finds room elsewhere stops now,
        with time to save, rather than when the machine is taken."""
        now = self.context.now
        left = (machine.notice_until or now) - now
        others = [m for m in self.fleet.of_share(machine.share.number) if self.fleet.usable(m)]
        rooms = {m.id: m.room for m in others}
        for placement in list(machine.placements.values()):
            job = placement.job
            if job is None or not placement.active or placement.stopping:
                continue
            if job.spec.gang:
                self._leave_whole(placement, left)
                continue
            if not job.spec.service and placement.stage == "running":
                remaining = job.spec.estimate_s - (now - placement.ran_since)
                if remaining < left:
                    continue
            target = next(
                (
                    m
                    for m in others
                    if permits(job, m)
                    and self._may_move_to(placement, m)
                    and placement.size.fits(rooms[m.id])
                ),
                None,
            )
            saving = job.spec.checkpoint_s > 0 and left < job.spec.save_s + 2.0
            if target is None and not saving:
                continue
            if target is not None:
                rooms[target.id] = rooms[target.id].minus(placement.size)
            self.fleet.placements.stop(placement, grace(placement))

    def _leave_whole(self, placement: Placement, left: float) -> None:
        """A gang of which one task is on a machine under notice stops as late as it can still save,
        or at once if it only waits."""
        assert placement.job is not None
        spec = placement.job.spec
        if placement.stage == "running":
            if spec.estimate_s - (self.context.now - placement.ran_since) < left:
                return
            needs = spec.save_s + self.context.platform.settings.workers.gang_peer_s + 1.0
            if spec.checkpoint_s > 0 and left > needs:
                return
        self.gangs.stop(placement)

    def tick(self) -> None:
        """Go on with the machines under notice and those being emptied."""
        for number in self.shares.owned:
            if self.shares.may_command(number):
                for machine in self.fleet.of_share(number).under_notice():
                    self._leave(machine)
        if self._draining:
            # One at a time: in a large fleet many are emptied at once, and each look is for a
            # place among all the others.
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
