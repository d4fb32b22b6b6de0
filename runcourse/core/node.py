"""One controller: the state machine that all inputs go through.

`handle(now, input)` returns the effects to carry out. No clock, no input or output.
"""

from __future__ import annotations

import random
from typing import Any

from ..config import Operators, Platform
from ..wire.peer_messages import (
    CancellationAck,
    CancellationNotice,
    GrantRequest,
    GrantResponse,
    Heartbeat,
    PeerMessage,
    RelayedReport,
    RelayedResponse,
    ShareLoad,
    SyncRequest,
    UnknownMachine,
)
from .authority import Authority
from .confirmations import Confirmations
from .context import Context
from .divisions import Divisions
from .entitlement import EntitlementPolicy, NoEntitlements
from .ids import LONG_AGO, Instant, JobId, MachineId, Member, ShareNo, Stamp
from .jobs import DONE, JOB, PART, PART_BITS, Jobs
from .leader.rental import Rental
from .machines import Fleet
from .policy import NoPolicy, PlacementPolicy
from .quota import Quota
from .scheduler import Scheduler
from .shares import Holding, Shares
from .store import Store
from .stored_values import LEADER
from .types import (
    Cancel,
    DivisionRequest,
    Health,
    Outcome,
    PeerMessageReceived,
    Poll,
    ReplacePolicySettings,
    ReportAnswer,
    ReportReceived,
    SendToPeer,
    Submit,
    Tick,
    UserAnswer,
)
from .users import Users
from .versions import Versions

GOSSIP_EVERY_S = 1.0
REDIRECT_MEMORY_S = 15.0
RELAY_TIMEOUT_S = 3.0
RELAY_RETEST_S = 40.0


class Node:
    """The state machine of one controller, made of the modules of the core."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        rng: random.Random,
        now: Instant,
        policy: PlacementPolicy | None = None,
        entitlements: EntitlementPolicy | None = None,
    ) -> None:
        self.context = context = Context(platform, operators, rng, now=now, started=now)
        self.store = Store(context)
        self.jobs = Jobs()
        self.versions = Versions(context, self.store)
        self.authority = Authority(
            context,
            self.store,
            self.jobs,
            self.versions,
            self._on_live,
            self._on_lost,
            self._cancellations_seen,
        )
        self.shares = Shares(context, self.store, self.authority, self._on_gain, self._on_loss)
        self.entitlements = entitlements or NoEntitlements()
        self.shares.team_order = self.entitlements.initial_team_order
        self.quota = Quota(context)
        self.policy = policy or NoPolicy()
        self.scheduler = Scheduler(
            context, self.store, self.shares, self.jobs, self.quota, self.policy
        )
        self.fleet = Fleet(context, self.store, self.shares, self.jobs, self.scheduler)
        self.scheduler.connect(self.fleet, self.authority, self.versions)
        self.shares.all_machines_reachable = self.fleet.all_machines_reachable
        self.rental = Rental(
            context,
            self.store,
            self.authority,
            self.shares,
            self.fleet,
            self.scheduler,
            self.versions,
            self.entitlements,
        )
        self.divisions = Divisions(
            context,
            self.store,
            self.shares,
            self.versions,
            self.entitlements,
            self.rental.pool.capacity,
        )
        self.confirmations = Confirmations(
            context, self.store, self.authority, self.shares, self.jobs
        )
        self.users = Users(
            context, self.store, self.shares, self.jobs, self.quota, self.fleet, self.confirmations
        )
        self.store.listen(JOB, self._job_changed)
        self.store.listen(DONE, self._page_changed)
        self.store.listen(PART, self._part_changed)
        self.store.listen(LEADER, lambda key, value, stamp: None)
        self._peer_contact: dict[Member, tuple[Instant, bool]] = {}
        self._gossip_at = LONG_AGO
        self._silent: dict[Member, set[str]] = {}  # machines that an owner does not hear
        self._redirected: dict[MachineId, Instant] = {}
        self._relaying: dict[MachineId, Instant] = {}
        self._relays: dict[int, tuple[int, Instant]] = {}
        # Never the numbers of an earlier process: its answers may still be under way.
        self._relay_no = rng.getrandbits(48)

    # --- entry ---------------------------------------------------------------------------

    def handle(self, now: float, event: Any) -> list[Any]:
        """Take an input; returns the effects to carry out."""
        context = self.context
        context.now = Instant(max(now, context.now))
        self._dispatch(event)
        if not self.authority.live:
            self.authority.tick()  # a restart is short of time: workers' leases run
        self.scheduler.finishes.flush()
        self.scheduler.run_turns()
        self.fleet.commands.push()
        effects, context.effects = context.effects, []
        return effects

    def _dispatch(self, event: Any) -> None:
        match event:
            case Outcome():
                event.tag(event)
            case ReportReceived():
                self._beat(event)
            case Poll():
                self.users.poll(event)
            case Submit():
                self.users.submit(event)
            case Cancel():
                self.users.cancel(event)
            case Tick():
                self._tick()
            case ReplacePolicySettings():
                for line in self.policy.replace(event.settings, self.context.now):
                    self.context.log("warning", line)
                self.scheduler.capacity_changed()
            case PeerMessageReceived():
                self._peer_said(event.member, event.message)
            case Health():
                self._health(event)
            case DivisionRequest():
                self.divisions.handle(event)
            case _:
                raise TypeError(f"unknown input {event!r}")

    def _tick(self) -> None:
        self.store.tick()
        self.authority.tick()
        self.shares.tick()
        self.fleet.tick()
        self.scheduler.tick()
        self.divisions.tick()
        self.rental.tick()
        if self.rental.leadership.leading:
            self.versions.record_common_version(
                self.rental.leadership.guard(), self.entitlements.active
            )
        self.confirmations.tick()
        now = self.context.now
        if now >= self._gossip_at + GOSSIP_EVERY_S:
            self._gossip_at = now
            begins, running = self.fleet.placements.running_pages.next()
            heartbeat = Heartbeat(
                self._contact(), running, self.fleet.silent(), self.store.applied, begins
            )
            self.context.emit(SendToPeer(None, heartbeat))
            for seen in (self._redirected, self._relaying):
                for id in [id for id in seen if id not in self.fleet.records]:
                    del seen[id]
        for number, (request, until) in list(self._relays.items()):
            if now > until:
                del self._relays[number]
                self.context.emit(ReportAnswer(request, 503))

    # --- owning --------------------------------------------------------------------------

    def _on_live(self) -> None:
        self.context.log("info", f"live as {self.authority.incarnation}")
        self.shares.tick()

    def _on_lost(self, why: str) -> None:
        self.shares.drop_all()

    def _on_gain(self, holding: Holding) -> None:
        self.fleet.gain(holding)
        self.scheduler.gain(holding)

    def _on_loss(self, share: ShareNo) -> None:
        self.fleet.lose(share)
        self.scheduler.lose(share)

    # --- jobs in the store ---------------------------------------------------------------

    def _job_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        if value is not None:
            uid = JobId(key[len(JOB) :])
            self.scheduler.job_changed(self.jobs.apply_job(uid, value, stamp, self.context.now))

    def _cancellations_seen(self, uids: list[JobId]) -> None:
        """A peer saw these cancellations stored; this node may have no contact to read them."""
        for uid in uids:
            job = self.jobs.cancel(uid)
            if job is not None:
                self.scheduler.job_changed(job)

    def _page_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        if value is not None:
            uid, _, page = key[len(DONE) :].rpartition("/")
            self.jobs.apply_page(JobId(uid), int(page), value)

    def _part_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        if value is not None:
            uid, _, part = key[len(PART) :].rpartition("/")
            self.jobs.apply_page(JobId(uid), int(part), value, PART_BITS)

    # --- health --------------------------------------------------------------------------

    def _contact(self) -> bool:
        return self.store.ready and self.context.now < self.store.last_contact + 1.5

    def _health(self, ask: Health) -> None:
        """Healthy with contact, or when a majority is heard to have none: users then get
        their 503 at once instead of no connection. One that hears neither the state service
        nor a majority is rather alone with its workers, and the others can serve."""
        now = self.context.now
        heard = [contact for at, contact in self._peer_contact.values() if at > now - 3.0]
        # Before anybody could notice, a moment's failure is no reason to be taken out.
        outage = not any(heard) and (
            1 + len(heard) >= self.context.majority
            or now < self.store.last_contact + self.authority.ttl
        )
        ok = self.store.ready and (self._contact() or outage)
        self.context.emit(
            UserAnswer(ask.request, 200 if ok else 503, {"ok": ok, "member": self.context.me})
        )

    # --- workers -------------------------------------------------------------------------

    def _beat(self, beat: ReportReceived) -> None:
        report = beat.report
        record = self.fleet.records.get(report.machine)
        if record is not None:
            self.fleet.learn_addr(report.machine, report.addr)
        if not self.store.ready:
            self._answer(beat, ReportAnswer(beat.request, 503))
        elif record is None:
            self.rental.inventory.handle_unknown_report(report)
            self._answer(beat, ReportAnswer(beat.request, 503))
        elif record.share in self.shares.owned:
            self._own_beat(beat, record.share)
        elif beat.relayed_by is not None:
            self._answer(beat, ReportAnswer(beat.request, 503))
        else:
            self._pass_on(beat, record.share)

    def _own_beat(self, beat: ReportReceived, share: ShareNo) -> None:
        machine = self.fleet.machines.get(beat.report.machine)
        if machine is None or not self.shares.may_command(share):
            self._answer(beat, ReportAnswer(beat.request, 503))
            return
        before = machine.last_message_at
        if not self.fleet.reports.apply(beat.report):
            if self.fleet.reports.overtaken(beat.report):
                self.fleet.answered(machine)
                self._answer(
                    beat,
                    ReportAnswer(beat.request, 200, machine.token, until=self.authority.ends_at()),
                )
            else:
                self._answer(beat, ReportAnswer(beat.request, 503))
            return
        self.fleet.reports.note_route(machine, beat.relayed_by is not None, before)
        if self.fleet.unreached_s(machine) > self.fleet.silence_limit_s():
            # Answers don't reach it, as it seems; without them its lease surely ends, which
            # proves its tasks gone. One that heard them after all comes with a new session.
            self._answer(beat, ReportAnswer(beat.request, 503))
            return
        self.scheduler.run_turns()
        self.fleet.answered(machine)
        orders = self.fleet.commands.orders(machine, answering=True)  # may raise the token
        self.fleet.commands.delay_next_command(machine)
        self._answer(
            beat,
            ReportAnswer(beat.request, 200, machine.token, orders, until=self.authority.ends_at()),
        )

    def _reachable(self, member: Member) -> bool:
        heard, _ = self._peer_contact.get(member, (LONG_AGO, False))
        # One that has just come back may not have said anything yet.
        heard = max(heard, self.shares.live_since(member))
        return self.context.now - heard < 2.5 * GOSSIP_EVERY_S

    def _pass_on(self, beat: ReportReceived, share: ShareNo) -> None:
        """Send the worker to the owner; if it comes back soon, the owner is out of its
        reach, and its reports are passed on over the peer link."""
        now = self.context.now
        owner = self.shares.living_owner(share)
        id = beat.report.machine
        if owner is None or owner == self.context.me or not self._reachable(owner):
            self._answer(beat, ReportAnswer(beat.request, 503))
            return
        sent = self._redirected.get(id)
        since = self._relaying.get(id)
        if since is not None and now - since > RELAY_RETEST_S:
            del self._relaying[id]
            sent = None
        unheard = id in self._silent.get(owner, ())
        if not unheard and (sent is None or now - sent > REDIRECT_MEMORY_S):
            self._redirected[id] = now
            self._answer(beat, ReportAnswer(beat.request, 421, owner=owner))
            return
        self._redirected[id] = now
        self._relaying.setdefault(id, now)
        self._relay_no += 1
        self._relays[self._relay_no] = (beat.request, Instant(now + RELAY_TIMEOUT_S))
        self.context.emit(SendToPeer(owner, RelayedReport(self._relay_no, beat.report)))

    def _answer(self, beat: ReportReceived, answer: ReportAnswer) -> None:
        if beat.relayed_by is None:
            self.context.emit(answer)
        else:
            response = RelayedResponse(
                beat.request, answer.status, answer.token, list(answer.orders)
            )
            self.context.emit(SendToPeer(beat.relayed_by, response))

    # --- peers ---------------------------------------------------------------------------

    def _peer_said(self, member: Member, message: PeerMessage) -> None:
        match message:
            case Heartbeat():
                self._heartbeat(member, message)
            case SyncRequest():
                self.store.sync()
            case CancellationNotice():
                self.store.sync()
                self._cancellations_seen([message.uid])
                if message.ask:
                    self.context.emit(
                        SendToPeer(member, self.confirmations.acknowledgement(message.uid))
                    )
            case CancellationAck():
                self.confirmations.record_ack(member, message.uid, message.owner)
            case GrantRequest():
                self.authority.handle_grant_request(member, message)
            case GrantResponse():
                self.confirmations.record_grant(member, message.number, message.cancelled)
                self.authority.handle_grant_response(member, message)
            case ShareLoad():
                self.rental.handle_share_load(message)
            case UnknownMachine():
                self.rental.inventory.handle_unknown_machine(message)
            case RelayedReport():
                self._beat(ReportReceived(message.number, message.report, member))
            case RelayedResponse():
                self._relayed(message)
            case _:
                self.rental.transfers.handle(message)

    def _heartbeat(self, member: Member, message: Heartbeat) -> None:
        self._peer_contact[member] = (self.context.now, message.contact)
        self.users.running.record(member, message.begins, message.running)
        self._silent[member] = set(message.silent)
        self.confirmations.record_heartbeat(member, message.applied)

    def _relayed(self, message: RelayedResponse) -> None:
        """The owner's response to a report that was passed on: the worker gets it."""
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            self.context.emit(
                ReportAnswer(relay[0], message.status, message.token, tuple(message.orders))
            )
