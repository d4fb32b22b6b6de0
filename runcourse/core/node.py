"""The state machine of one controller, which handles all inputs.

`handle(now, input)` returns the effects to execute. The core reads no clock and does no I/O.
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
from .entitlement_policy import EntitlementPolicy, NoEntitlements
from .ids import LONG_AGO, Instant, JobId, MachineId, Member, ShareNo, Stamp
from .jobs import DONE, JOB, PART, PART_BITS, Jobs
from .leader.fleet_planner import FleetPlanner
from .machines import Fleet
from .placement_policy import NoPolicy, PlacementPolicy
from .quota import Quota
from .scheduler import Scheduler
from .shares import OwnedShare, Shares
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

HEARTBEAT_INTERVAL_S = 1.0  # between heartbeats to all peers
REACHABLE_INTERVALS = 2.5  # heartbeat intervals for which a silent peer counts as reachable
PEER_CONTACT_MAX_AGE_S = 3.0  # maximum age of a heartbeat that a health check counts
CONTACT_MAX_AGE_S = 1.5  # this node has contact if the state service answered within it
# A report of a worker that was redirected to its owner, or relayed, within this time is relayed.
REDIRECT_MEMORY_S = 15.0
RELAY_TIMEOUT_S = 3.0  # for the owner's response to a relayed report; then the answer is 503
RELAY_RETEST_S = 40.0  # after which a relayed worker is redirected again
RELAY_NUMBER_BITS = 48


class Node:
    """The state machine of one controller, composed of the core's modules."""

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
        self.fleet_planner = FleetPlanner(
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
            self.fleet_planner.pool.capacity,
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
        self._heartbeat_sent_at = LONG_AGO
        # Machines whose reports are overdue at their owner, by owner.
        self._silent_machines: dict[Member, set[str]] = {}
        # When a worker was last redirected to its owner, or its report relayed.
        self._redirected_at: dict[MachineId, Instant] = {}
        self._relaying_since: dict[MachineId, Instant] = {}
        # Request and deadline of each relayed report without a response, by its number.
        self._relays: dict[int, tuple[int, Instant]] = {}
        # Starts at random so that numbers of an earlier process don't recur: responses to its
        # relayed reports may still arrive.
        self._relay_number = rng.getrandbits(RELAY_NUMBER_BITS)

    # --- inputs --------------------------------------------------------------------------

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handles an input; returns the effects to execute."""
        context = self.context
        context.now = Instant(max(now, context.now))
        self._dispatch(event)
        if not self.authority.live:
            self.authority.tick()  # at once after a restart, because workers' leases are expiring
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
                self._handle_report(event)
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
                self._handle_peer_message(event.member, event.message)
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
        self.fleet_planner.tick()
        if self.fleet_planner.leadership.leading:
            self.versions.record_common_version(
                self.fleet_planner.leadership.guard(), self.entitlements.active
            )
        self.confirmations.tick()
        now = self.context.now
        if now >= self._heartbeat_sent_at + HEARTBEAT_INTERVAL_S:
            self._heartbeat_sent_at = now
            begins, running = self.fleet.placements.running_pages.next()
            heartbeat = Heartbeat(
                self._has_contact(),
                running,
                self.fleet.silent_machines(),
                self.store.applied,
                begins,
            )
            self.context.emit(SendToPeer(None, heartbeat))
            for times in (self._redirected_at, self._relaying_since):
                for id in [id for id in times if id not in self.fleet.records]:
                    del times[id]
        for number, (request, deadline) in list(self._relays.items()):
            if now > deadline:
                del self._relays[number]
                self.context.emit(ReportAnswer(request, 503))

    # --- ownership -----------------------------------------------------------------------

    def _on_live(self) -> None:
        self.context.log("info", f"live as {self.authority.incarnation}")
        self.shares.tick()

    def _on_lost(self, reason: str) -> None:
        self.shares.drop_all()

    def _on_gain(self, owned_share: OwnedShare) -> None:
        self.fleet.add_share(owned_share)
        self.scheduler.add_share(owned_share)

    def _on_loss(self, share: ShareNo) -> None:
        self.fleet.remove_share(share)
        self.scheduler.remove_share(share)

    # --- jobs in the store ---------------------------------------------------------------

    def _job_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        if value is not None:
            uid = JobId(key[len(JOB) :])
            self.scheduler.job_changed(self.jobs.apply_job(uid, value, stamp, self.context.now))

    def _cancellations_seen(self, uids: list[JobId]) -> None:
        """Applies cancellations that a peer read; this node may be unable to read them itself."""
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

    def _has_contact(self) -> bool:
        """Returns whether the state service was read completely and has answered recently."""
        return self.store.ready and self.context.now < self.store.last_contact + CONTACT_MAX_AGE_S

    def _health(self, event: Health) -> None:
        """Answers a health check.

        The node is healthy if it has contact with the state service, or if a majority of nodes is
        known to have none: then users get their 503 at once instead of no connection. A node that
        reaches neither the state service nor a majority is probably isolated with its workers, and
        other nodes can serve users.
        """
        now = self.context.now
        peer_contacts = [
            contact
            for received_at, contact in self._peer_contact.values()
            if received_at > now - PEER_CONTACT_MAX_AGE_S
        ]
        # A failure within the TTL of this node's liveness, which no peer can have noticed yet, is
        # no reason to take it out of service.
        outage = not any(peer_contacts) and (
            1 + len(peer_contacts) >= self.context.majority
            or now < self.store.last_contact + self.authority.ttl
        )
        ok = self.store.ready and (self._has_contact() or outage)
        self.context.emit(
            UserAnswer(event.request, 200 if ok else 503, {"ok": ok, "member": self.context.me})
        )

    # --- workers -------------------------------------------------------------------------

    def _handle_report(self, received: ReportReceived) -> None:
        report = received.report
        record = self.fleet.records.get(report.machine)
        if record is not None:
            self.fleet.learn_addr(report.machine, report.addr)
        if not self.store.ready:
            self._answer(received, ReportAnswer(received.request, 503))
        elif record is None:
            self.fleet_planner.inventory.handle_unknown_report(report)
            self._answer(received, ReportAnswer(received.request, 503))
        elif record.share in self.shares.owned:
            self._handle_own_report(received, record.share)
        elif received.relayed_by is not None:
            self._answer(received, ReportAnswer(received.request, 503))
        else:
            self._redirect_or_relay(received, record.share)

    def _handle_own_report(self, received: ReportReceived, share: ShareNo) -> None:
        """Applies and answers a report of a machine owned here."""
        machine = self.fleet.machines.get(received.report.machine)
        if machine is None or not self.shares.may_command(share):
            self._answer(received, ReportAnswer(received.request, 503))
            return
        previous_message_at = machine.last_message_at
        if not self.fleet.reports.apply(received.report):
            if self.fleet.reports.accept_overtaken(received.report):
                self.fleet.note_answer(machine)
                self._answer(
                    received,
                    ReportAnswer(
                        received.request, 200, machine.token, until=self.authority.ends_at()
                    ),
                )
            else:
                self._answer(received, ReportAnswer(received.request, 503))
            return
        self.fleet.reports.note_route(machine, received.relayed_by is not None, previous_message_at)
        if self.fleet.unreached_s(machine) > self.fleet.silence_limit_s():
            # Answers appear not to reach the worker. Without them its lease surely expires, which
            # proves that its tasks have ended. If it got them after all, it reports with a new
            # session.
            self._answer(received, ReportAnswer(received.request, 503))
            return
        self.scheduler.run_turns()
        self.fleet.note_answer(machine)
        orders = self.fleet.commands.orders(machine, answering=True)  # may raise the token
        self.fleet.commands.delay_next_command(machine)
        self._answer(
            received,
            ReportAnswer(
                received.request, 200, machine.token, orders, until=self.authority.ends_at()
            ),
        )

    def _reachable(self, member: Member) -> bool:
        last_sign_of_life, _ = self._peer_contact.get(member, (LONG_AGO, False))
        # A member that has just restarted may not have sent a heartbeat yet.
        last_sign_of_life = max(last_sign_of_life, self.shares.live_since(member))
        return self.context.now - last_sign_of_life < REACHABLE_INTERVALS * HEARTBEAT_INTERVAL_S

    def _redirect_or_relay(self, received: ReportReceived, share: ShareNo) -> None:
        """Redirects the worker to its owner, or relays its report to the owner.

        A worker that comes back soon after a redirect, or whose reports are overdue at the owner,
        presumably can't reach the owner, so its reports are relayed over the connection between the
        controllers.
        """
        now = self.context.now
        owner = self.shares.live_owner(share)
        id = received.report.machine
        if owner is None or owner == self.context.me or not self._reachable(owner):
            self._answer(received, ReportAnswer(received.request, 503))
            return
        redirected_at = self._redirected_at.get(id)
        relaying_since = self._relaying_since.get(id)
        if relaying_since is not None and now - relaying_since > RELAY_RETEST_S:
            del self._relaying_since[id]
            redirected_at = None
        silent = id in self._silent_machines.get(owner, ())
        if not silent and (redirected_at is None or now - redirected_at > REDIRECT_MEMORY_S):
            self._redirected_at[id] = now
            self._answer(received, ReportAnswer(received.request, 421, owner=owner))
            return
        self._redirected_at[id] = now
        self._relaying_since.setdefault(id, now)
        self._relay_number += 1
        self._relays[self._relay_number] = (received.request, Instant(now + RELAY_TIMEOUT_S))
        self.context.emit(SendToPeer(owner, RelayedReport(self._relay_number, received.report)))

    def _answer(self, received: ReportReceived, answer: ReportAnswer) -> None:
        if received.relayed_by is None:
            self.context.emit(answer)
        else:
            response = RelayedResponse(
                received.request, answer.status, answer.token, list(answer.orders)
            )
            self.context.emit(SendToPeer(received.relayed_by, response))

    # --- peers ---------------------------------------------------------------------------

    def _handle_peer_message(self, member: Member, message: PeerMessage) -> None:
        match message:
            case Heartbeat():
                self._handle_heartbeat(member, message)
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
                self.fleet_planner.handle_share_load(message)
            case UnknownMachine():
                self.fleet_planner.inventory.handle_unknown_machine(message)
            case RelayedReport():
                self._handle_report(ReportReceived(message.number, message.report, member))
            case RelayedResponse():
                self._handle_relayed_response(message)
            case _:
                self.fleet_planner.transfers.handle(message)

    def _handle_heartbeat(self, member: Member, message: Heartbeat) -> None:
        self._peer_contact[member] = (self.context.now, message.contact)
        self.users.running.record(member, message.begins, message.running)
        self._silent_machines[member] = set(message.silent)
        self.confirmations.record_heartbeat(member, message.applied)

    def _handle_relayed_response(self, message: RelayedResponse) -> None:
        """Answers the worker with the owner's response to its relayed report."""
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            self.context.emit(
                ReportAnswer(relay[0], message.status, message.token, tuple(message.orders))
            )
