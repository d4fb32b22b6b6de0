"""Actions of random test runs: each public method of `RandomFailure` causes one event."""

from __future__ import annotations

from typing import Any

from combined_failures import send
from world import CANCEL_S, World, ignore_result, spec
from world_worker import Worker

from runcourse.core import types as t
from runcourse.core.stored_values import OrganisationLimits
from runcourse.locality.settings import LocalitySettings, Source

# Zones of the source that team-0 and team-1 read; `source_moves` changes the zone in use.
SOURCE_ZONES = ("a", "b", "c")

QUERY_ROUNDS = 12
QUERY_INTERVAL_S = 0.25
LEADER_POLLS = 40
LEADER_POLL_S = 0.3


def locality(position: int) -> LocalitySettings:
    """Returns locality settings with frequent moves: a minimal cooldown and no damping."""
    source = Source(
        "p", (SOURCE_ZONES[position % 3],), 100.0, 10.0, 0.5, teams=("team-0", "team-1")
    )
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


class RandomFailure:
    """One step of a random run; `pick` selects the target and the duration."""

    def __init__(self, world: World, pick: int, number: int) -> None:
        self.world = world
        self.pick = pick
        self.uid = f"j-{number:06d}"
        self.team = f"team-{pick % 4}"
        self.members = world.members
        self.member = self.members[pick % len(self.members)]
        self.workers: list[Worker] = list(world.workers.values())
        self.worker = self.workers[pick % len(self.workers)] if self.workers else None

    def _set_later(self, seconds: float, name: str, value: Any) -> None:
        """Sets an attribute of the world after `seconds`."""
        self.world.after(seconds, lambda: setattr(self.world, name, value))

    def _cut_links(self, pairs: list[frozenset[str]]) -> None:
        self.world.cut_links.update(pairs)
        self.world.after(2.0 + self.pick % 9, lambda: self.world.cut_links.difference_update(pairs))

    def _crash_for(self, member: str, pause: float) -> None:
        if self.world.nodes[member] is not None:
            self.world.crash(member)
            self.world.after(pause, lambda: self.world.start(member))

    def _all_links(self) -> list[frozenset[str]]:
        """Returns the node's links to its peers and to the state service."""
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
        """Stops gangs as for the start of a replica or the drain of a machine."""
        for node in self.world.nodes.values():
            for work in list(node.scheduler.work.values()) if node is not None else ():
                placements = node.fleet.placements.of_job(work.job.uid)
                if work.job.spec.gang and placements and node.shares.may_command(work.share):
                    node.scheduler.gangs.stop(placements[self.pick % len(placements)])

    def long(self) -> None:
        """Submits a job whose tasks the locality policy may move."""
        changes: dict[str, Any] = {"checkpoint_s": 1.0, "save_s": 0.6, "estimate_s": 40.0}
        if self.pick % 3 == 0:
            changes = {"service": True, "rank": 0, "cpus": 1.0}
        job = spec(self.uid, tasks=2, team=f"team-{self.pick % 2}", **changes)
        self.world.submit(job, self.member)

    def source_moves(self) -> None:
        if self.world.locality is not None:
            self.world.reload(locality(self.pick))

    def divide(self) -> None:
        """Sends a change of the division from the version that is stored now."""
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

    def _pick_known_job(self) -> str | None:
        known_jobs = sorted(self.world.last_stages)
        return known_jobs[self.pick % len(known_jobs)] if known_jobs else None

    def cancel(self) -> None:
        uid = self._pick_known_job()
        if uid is not None:
            self.world.cancel(uid, self.member)

    def poll(self) -> None:
        uid = self._pick_known_job()
        if uid is not None:
            self.world.poll(uid, self.member)

    def cancel_at_end(self) -> None:
        if self.world.finished:
            job = sorted(self.world.finished)[self.pick % len(self.world.finished)].job
            for k, member in enumerate(self.members):
                self._send_later(0.01 * k, member, t.Cancel(0, job))

    def cancel_handover(self) -> None:
        """Cancels jobs while one node's shares move to other nodes and back."""
        self._crash_for(self.member, 1.0 + self.pick % 8)
        for k, job in enumerate(sorted(self.world.last_stages)[self.pick % 4 :: 4]):
            member = self.members[(self.pick + k) % len(self.members)]
            self._send_later(0.4 * k, member, t.Cancel(0, job))

    def _send_later(self, seconds: float, member: str, event: Any) -> None:
        self.world.after(seconds, lambda: send(self.world, member, event))

    def query_often(self) -> None:
        """Polls or resubmits jobs at all nodes every 0.25 s for 3 s."""
        for k in range(QUERY_ROUNDS):
            self.world.after(QUERY_INTERVAL_S * k, lambda k=k: self._query_all(k))  # type: ignore[misc]

    def _query_all(self, k: int) -> None:
        for uid in sorted(self.world.last_stages)[k % 3 :: 3]:
            for member in self.members:
                if self.world.last_stages[uid] == "unknown" or k % 2:
                    send(self.world, member, t.Poll(0, uid))
                else:
                    send(self.world, member, t.Submit(0, uid, self.world.specs[uid]))

    # --- nodes ---------------------------------------------------------------------------

    def crash(self) -> None:
        self._crash_for(self.member, 1.0 + self.pick % 6)

    def restart_node(self) -> None:
        self._crash_for(self.member, 0.1)

    def crash_all(self) -> None:
        for member in self.members:
            self._crash_for(member, 1.0)

    def freeze(self) -> None:
        self.world.freeze(self.member, 0.4 + self.pick / 4)

    def stall(self) -> None:
        self.world.stall(self.member, 0.4 + self.pick / 4)

    def cut_node(self) -> None:
        pairs = [frozenset((self.member, w.id)) for w in self.workers]
        pairs += [frozenset((self.member, m)) for m in self.members if m != self.member]
        if self.pick % 2:
            pairs.append(frozenset((self.member, "state")))
        self._cut_links(pairs)

    def cut_peers(self) -> None:
        other = self.members[(self.pick + 1) % len(self.members)]
        self._cut_links([frozenset((self.member, other))])

    def isolate_node(self) -> None:
        self._cut_links(self._all_links())

    def cut_two_nodes(self) -> None:
        other = self.members[(self.pick + 1) % len(self.members)]
        self._cut_links([*self._all_links(), frozenset((other, "state"))])

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

    def refuse_node(self) -> None:
        self._refuse(1.0 + self.pick % 9)

    def refuse_node_then_outage(self) -> None:
        """Refuses one node, then all, for longer than the cancellation limit."""
        self._refuse(CANCEL_S + 8.0)
        self.world.after(0.3 + self.pick / 30, lambda: self._outage(CANCEL_S + 4.0))

    def late_writes(self) -> None:
        self.world.late_writes = 0.4
        self._set_later(6.0, "late_writes", 0.0)

    def lost_answers(self) -> None:
        self.world.lost_answers = 0.5
        self._set_later(5.0, "lost_answers", 0.0)

    # --- machines and messages -----------------------------------------------------------

    def _cut_worker(self) -> None:
        if self.worker is not None:
            self._cut_links([frozenset((self.worker.id, m)) for m in self.members])

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

    def kill_machine(self) -> None:
        if self.worker is not None:
            self.worker.alive = False

    def restart_worker(self) -> None:
        if self.worker is not None:
            self.worker.restart_without_state()

    def _cut_one_way(self, cut: set[str], every: bool, seconds: float) -> None:
        ids = {w.id for n, w in enumerate(self.workers) if every or n == self.pick % 5}
        cut |= ids
        self.world.after(seconds, lambda: cut.difference_update(ids))

    def cut_inbound(self) -> None:
        self._cut_one_way(self.world.inbound_cut, False, 2.0 + self.pick % 15)

    def cut_all_inbound(self) -> None:
        self._cut_one_way(self.world.inbound_cut, True, 2.0 + self.pick % 15)

    def cut_outbound(self) -> None:
        self._cut_one_way(self.world.outbound_cut, False, 2.0 + self.pick % 12)

    def cut_all_outbound(self) -> None:
        self._cut_one_way(self.world.outbound_cut, True, 2.0 + self.pick % 12)

    def lose_messages(self) -> None:
        self.world.loss_rate = 0.3
        self._set_later(3.0, "loss_rate", 0.0)

    def duplicate_messages(self) -> None:
        self.world.duplicate_rate = 0.3
        self._set_later(4.0, "duplicate_rate", 0.0)

    def deliver_held(self) -> None:
        self.world.deliver_held()

    def resend_reports_to_new_leader(self) -> None:
        """Delivers copies of reports again just after the next leader takes office."""
        copies = [(w.id, w.report()) for w in self.workers if w.alive]
        self._await_leader(
            [report for _, report in copies], self._leading_by_member(), LEADER_POLLS
        )

    def _leading_by_member(self) -> dict[str, bool]:
        return {
            m: n.fleet_planner.leadership.leading
            for m, n in self.world.nodes.items()
            if n is not None
        }

    def _await_leader(
        self, reports: list[t.Report], before: dict[str, bool], polls_left: int
    ) -> None:
        def check() -> None:
            now = self._leading_by_member()
            if polls_left and not any(leads and not before.get(m) for m, leads in now.items()):
                self._await_leader(reports, before, polls_left - 1)
                return
            for report in reports:
                for member in self.members:
                    if self.world.nodes[member] is not None:
                        self.world.feed(member, t.ReportReceived(-1, report))

        self.world.after(LEADER_POLL_S, check)


ACTIONS = tuple(name for name in vars(RandomFailure) if not name.startswith("_"))


def run_action(world: World, action: str, pick: int, number: int) -> None:
    """Performs the action of that name."""
    getattr(RandomFailure(world, pick, number), action)()
