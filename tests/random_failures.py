"""What may happen in a random story: each method of `Story` brings one thing about."""

from __future__ import annotations

from typing import Any

from combined_failures import send
from world import CANCEL_S, World, ignore_result, spec
from world_worker import Worker

from runcourse.core import types as t
from runcourse.core.stored_values import OrganisationLimits
from runcourse.locality.settings import LocalitySettings, Source

# Where team-0 and team-1 read; in stories with the locality policy it changes its place.
PLACES = ("a", "b", "c")


def locality(place: int) -> LocalitySettings:
    """Moves as often as they can be: no cooldown to speak of, no damping."""
    source = Source("p", (PLACES[place % 3],), 100.0, 10.0, 0.5, teams=("team-0", "team-1"))
    return LocalitySettings(
        sources=(source,),
        moves_per_hour=7200.0,
        interval=0.5,
        dwell=1.0,
        cooldown=1.0,
        cooldown_most=1.0,
        least_gain=1.0,
        flap_changes=1000,
    )


class Story:
    """One step of a story; `pick` chooses whom it befalls and for how long."""

    def __init__(self, world: World, pick: int, number: int) -> None:
        self.world = world
        self.pick = pick
        self.uid = f"j-{number:06d}"
        self.team = f"team-{pick % 4}"
        self.members = world.members
        self.member = self.members[pick % len(self.members)]
        self.workers: list[Worker] = list(world.workers.values())
        self.worker = self.workers[pick % len(self.workers)] if self.workers else None

    def _later(self, seconds: float, name: str, value: Any) -> None:
        """Set a property of the world after a while."""
        self.world.after(seconds, lambda: setattr(self.world, name, value))

    def _cut(self, pairs: list[frozenset[str]]) -> None:
        self.world.cut_links.update(pairs)
        self.world.after(2.0 + self.pick % 9, lambda: self.world.cut_links.difference_update(pairs))

    def _away(self, member: str, pause: float) -> None:
        if self.world.nodes[member] is not None:
            self.world.crash(member)
            self.world.after(pause, lambda: self.world.start(member))

    def _from_all(self) -> list[frozenset[str]]:
        """The node's links to the others and to the state service."""
        others = (*self.members, "state")
        return [frozenset((self.member, other)) for other in others if other != self.member]

    # --- jobs and users ------------------------------------------------------------------

    def submit(self) -> None:
        tasks, spot = 1 + self.pick % 4, self.pick % 2 == 0
        self.world.submit(spec(self.uid, tasks=tasks, team=self.team, spot=spot), self.member)

    def service(self) -> None:
        tasks = 1 + self.pick % 2
        job = spec(self.uid, tasks=tasks, team=self.team, service=True, rank=0)
        self.world.submit(job, self.member)

    def spread(self) -> None:
        job = spec(self.uid, tasks=2, team=self.team, service=True, spread=True, rank=0)
        self.world.submit(job, self.member)

    def _gang(self, cpus: float) -> None:
        job = spec(
            self.uid,
            tasks=2 + self.pick % 3,
            team=self.team,
            gang=True,
            together=self.pick % 2 == 0,
            cpus=cpus,
            memory=2.0,
            checkpoint_s=1.5 if self.pick % 3 else 0.0,
            save_s=0.3,
            estimate_s=4.0,
        )
        self.world.submit(job, self.member)

    def gang(self) -> None:
        self._gang(1.0)

    def big_gang(self) -> None:
        self._gang(2.0)

    def stop_gang(self) -> None:
        """As for a replica, or a machine that is emptied."""
        for node in self.world.nodes.values():
            for work in list(node.scheduler.work.values()) if node is not None else ():
                placements = node.fleet.placements.of_job(work.job.uid)
                if work.job.spec.gang and placements and node.shares.may_command(work.share):
                    node.scheduler.gangs.stop(placements[self.pick % len(placements)])

    def long(self) -> None:
        """What may be moved."""
        changes: dict[str, Any] = {"checkpoint_s": 1.0, "save_s": 0.6, "estimate_s": 40.0}
        if self.pick % 3 == 0:
            changes = {"service": True, "rank": 0, "cpus": 1.0}
        job = spec(self.uid, tasks=2, team=f"team-{self.pick % 2}", **changes)
        self.world.submit(job, self.member)

    def source_moves(self) -> None:
        if self.world.locality is not None:
            self.world.reload(locality(self.pick))

    def divide(self) -> None:
        """Operators change the division, from what they believe to be in force."""
        if self.world.entitlements is not None:
            stored = self.world.state.data.get("rc/division")
            version = stored[0]["current"]["version"] if stored else 0
            names = [entry.name for entry in self.world.entitlements.organisations]
            limits = [
                OrganisationLimits(name, 4.0 * (self.pick % 2), 1.0 + (self.pick + n) % 4)
                for n, name in enumerate(names)
            ]
            action = "rollback" if self.pick % 5 == 0 else "apply"
            event = t.DivisionRequest(0, action, version, limits, self.member)  # type: ignore
            self.world.ask("user", self.member, event, ignore_result)

    def failing_job(self) -> None:
        self.world.failing_jobs.add(self.uid)
        self.world.submit(spec(self.uid, tasks=1 + self.pick % 4, team=self.team), self.member)

    def _told(self) -> str | None:
        told = sorted(self.world.last_stages)
        return told[self.pick % len(told)] if told else None

    def cancel(self) -> None:
        uid = self._told()
        if uid is not None:
            self.world.cancel(uid, self.member)

    def poll(self) -> None:
        uid = self._told()
        if uid is not None:
            self.world.poll(uid, self.member)

    def cancel_at_end(self) -> None:
        if self.world.finished:
            job = sorted(self.world.finished)[self.pick % len(self.world.finished)].job
            for k, member in enumerate(self.members):
                self._send_later(0.01 * k, member, t.Cancel(0, job))

    def cancel_handover(self) -> None:
        """While one node's work goes to others and comes back."""
        self._away(self.member, 1.0 + self.pick % 8)
        for k, job in enumerate(sorted(self.world.last_stages)[self.pick % 4 :: 4]):
            member = self.members[(self.pick + k) % len(self.members)]
            self._send_later(0.4 * k, member, t.Cancel(0, job))

    def _send_later(self, seconds: float, member: str, event: Any) -> None:
        self.world.after(seconds, lambda: send(self.world, member, event))

    def close_looks(self) -> None:
        """At all nodes, for a while after each news."""
        for k in range(12):
            self.world.after(0.25 * k, lambda k=k: self._close_look(k))  # type: ignore[misc]

    def _close_look(self, k: int) -> None:
        for uid in sorted(self.world.last_stages)[k % 3 :: 3]:
            for member in self.members:
                if self.world.last_stages[uid] == "unknown" or k % 2:
                    send(self.world, member, t.Poll(0, uid))
                else:
                    send(self.world, member, t.Submit(0, uid, self.world.specs[uid]))

    # --- nodes ---------------------------------------------------------------------------

    def crash(self) -> None:
        self._away(self.member, 1.0 + self.pick % 6)

    def restart_without_state(self) -> None:
        self._away(self.member, 0.1)

    def crash_all(self) -> None:
        for member in self.members:
            self._away(member, 1.0)

    def freeze(self) -> None:
        self.world.freeze(self.member, 0.4 + self.pick / 4)

    def stall(self) -> None:
        self.world.stall(self.member, 0.4 + self.pick / 4)

    def cut_node(self) -> None:
        pairs = [frozenset((self.member, w.id)) for w in self.workers]
        pairs += [frozenset((self.member, m)) for m in self.members if m != self.member]
        if self.pick % 2:
            pairs.append(frozenset((self.member, "state")))
        self._cut(pairs)

    def cut_peers(self) -> None:
        other = self.members[(self.pick + 1) % len(self.members)]
        self._cut([frozenset((self.member, other))])

    def alone(self) -> None:
        self._cut(self._from_all())

    def cut_two(self) -> None:
        other = self.members[(self.pick + 1) % len(self.members)]
        self._cut([*self._from_all(), frozenset((other, "state"))])

    # --- the state service ---------------------------------------------------------------

    def outage(self) -> None:
        self._outage(1.0 + self.pick % 10)

    def _outage(self, seconds: float) -> None:
        if not self.world.state.down:
            self.world.state.outage(True)
            self.world.after(seconds, lambda: self.world.state.outage(False))

    def _refuse(self, seconds: float) -> None:
        self.world.state.refused_members.add(self.member)
        self.world.after(seconds, lambda: self.world.state.refused_members.discard(self.member))

    def refuse(self) -> None:
        self._refuse(1.0 + self.pick % 9)

    def all_refused(self) -> None:
        """One alone, and then everybody, for longer than a cancellation."""
        self._refuse(CANCEL_S + 8.0)
        self.world.after(0.3 + self.pick / 30, lambda: self._outage(CANCEL_S + 4.0))

    def late_writes(self) -> None:
        self.world.late_writes = 0.4
        self._later(6.0, "late_writes", 0.0)

    def lost_answers(self) -> None:
        self.world.lost_answers = 0.5
        self._later(5.0, "lost_answers", 0.0)

    # --- machines and messages -----------------------------------------------------------

    def _cut_worker(self) -> None:
        if self.worker is not None:
            self._cut([frozenset((self.worker.id, m)) for m in self.members])

    def cut_worker(self) -> None:
        self._cut_worker()

    def hold_worker(self) -> None:
        if self.worker is not None:
            self.world.hold_commands = True
            self._cut_worker()

    def hang(self) -> None:
        worker = self.worker
        if worker is not None:
            worker.hung = True
            self.world.after(1.0 + self.pick % 8, lambda: setattr(worker, "hung", False))

    def die(self) -> None:
        if self.worker is not None:
            self.worker.alive = False

    def blink_machine(self) -> None:
        if self.worker is not None:
            self.worker.restart_without_state()

    def _one_way(self, which: set[str], every: bool, seconds: float) -> None:
        ids = {w.id for n, w in enumerate(self.workers) if every or n == self.pick % 5}
        which |= ids
        self.world.after(seconds, lambda: which.difference_update(ids))

    def inbound_cut(self) -> None:
        self._one_way(self.world.inbound_cut, False, 2.0 + self.pick % 15)

    def many_deaf(self) -> None:
        self._one_way(self.world.inbound_cut, True, 2.0 + self.pick % 15)

    def outbound_cut(self) -> None:
        self._one_way(self.world.outbound_cut, False, 2.0 + self.pick % 12)

    def many_mute(self) -> None:
        self._one_way(self.world.outbound_cut, True, 2.0 + self.pick % 12)

    def lossy(self) -> None:
        self.world.loss_rate = 0.3
        self._later(3.0, "lose", 0.0)

    def duplicate_rate(self) -> None:
        self.world.duplicate_rate = 0.3
        self._later(4.0, "echo", 0.0)

    def held(self) -> None:
        self.world.deliver_held()

    def kept(self) -> None:
        """Copies of reports come again just after the next leader begins."""
        kept = [(w.id, w.report()) for w in self.workers if w.alive]
        self._await_leader([report for _, report in kept], self._leads(), 40)

    def _leads(self) -> dict[str, bool]:
        return {
            m: n.rental.leadership.leading for m, n in self.world.nodes.items() if n is not None
        }

    def _await_leader(self, reports: list[t.Report], before: dict[str, bool], left: int) -> None:
        def look() -> None:
            now = self._leads()
            if left and not any(leads and not before.get(m) for m, leads in now.items()):
                self._await_leader(reports, before, left - 1)
                return
            for report in reports:
                for member in self.members:
                    if self.world.nodes[member] is not None:
                        self.world.feed(member, t.ReportReceived(-1, report))

        self.world.after(0.3, look)


ACTIONS = tuple(name for name in vars(Story) if not name.startswith("_"))


def run_action(world: World, action: str, pick: int, number: int) -> None:
    """Let one thing happen."""
    getattr(Story(world, pick, number), action)()
