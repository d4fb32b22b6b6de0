"""This node's authority to act: its leased `live` key, its contact with the store, quorum grants.

A node may act until the time-to-live of its lease has passed since it last *sent* a renewal
that succeeded and a catch-up read that succeeded. After that it may act only while a
majority, itself included, grants it more time. A node grants time only while it has no
contact with the state service itself: during such an outage the leases do not change, and no
other node can have taken over a share. An incarnation is the identity of a process from its start,
or from its last loss of the lease, to the next loss.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..wire.peer_messages import GrantRequest, GrantResponse
from .context import CLOCK_DRIFT, Context
from .ids import ABSENT, FAR_FUTURE, LONG_AGO, Incarnation, Instant, JobId, Member, Stamp, later
from .jobs import Jobs
from .store import CommitResult, Store
from .stored_values import LIVE, LiveValue
from .types import Condition, ExtendLease, GrantLease, Outcome, SendToPeer, Write
from .versions import VERSION, Versions

TTL_LEASE_FRACTION = 0.3  # time-to-live of the `live` key as a part of the workers' lease
MIN_TTL_S = 1.5
MAX_TTL_S = 5.0
GRANT_TTL_FRACTION = 0.75  # duration of a quorum grant as a part of the time-to-live
MIN_GRANT_S = 1.0
LEASE_MARGIN_S = 0.05  # this node stops acting so long before its lease ends
RENEWALS_PER_TTL = 4
RETRY_S = 0.2  # after a request for the lease or the live key that failed
REQUEST_GRANTS_TTL_FRACTION = 0.45  # requests start when this part of it remains
GRANT_REQUEST_INTERVAL_S = 0.4
MAX_OPEN_GRANT_REQUESTS = 20  # responses to older requests are ignored
# Maximum age of the last failed request for which a grant is given; longer than the timeout of
# catch-up reads and lease renewals.
RECENT_FAILURE_S = 2.0
RECENT_CONTACT_S = 1.0  # a node that the state service served so recently gives no grants
MAX_CANCELLATIONS_IN_GRANT = 200  # a grant that would list more cancelled jobs is refused
INCARNATION_BITS = 64
REQUEST_NUMBER_BITS = 48
MS_PER_S = 1000


class Authority:
    """This node's permission to act: its lease, and in an outage the time granted by a majority."""

    def __init__(
        self,
        context: Context,
        store: Store,
        jobs: Jobs,
        versions: Versions,
        on_live: Callable[[], None],
        on_lost: Callable[[str], None],
        on_cancelled: Callable[[list[JobId]], None],
    ) -> None:
        self.context = context
        self.store = store
        self.jobs = jobs
        self.versions = versions
        self._on_cancelled = on_cancelled
        self.incarnation = Incarnation(f"{context.rng.getrandbits(INCARNATION_BITS):016x}")
        lease = context.platform.settings.workers.lease_s
        # Time-to-live of the `live` key in seconds.
        self.ttl = context.operators.live_ttl or min(
            max(lease * TTL_LEASE_FRACTION, MIN_TTL_S), MAX_TTL_S
        )
        self.grant_s = max(self.ttl * GRANT_TTL_FRACTION, MIN_GRANT_S)
        self.lease: int | None = None
        self.live = False  # the live key exists, as far as this node knows
        self.renewal_sent_at = LONG_AGO  # of the newest lease renewal that succeeded
        self._on_live = on_live
        self._on_lost = on_lost
        self._request_pending = False
        self._next_request_at = Instant(0.0)
        self._attested_ends: dict[Member, Incarnation] = {}  # by member, its ended process's id
        # Incarnations (identities of processes) whose leases this node saw end.
        self._never_grant: set[Incarnation] = set()
        self._grants_given: dict[Member, Instant] = {}  # by member, end of the time granted to it
        self._grants_held: dict[Member, Instant] = {}  # by member, end of the time it granted
        # Starts at a random number, so that a response to an earlier process is not taken for one
        # to this process.
        self._request_number = context.rng.getrandbits(REQUEST_NUMBER_BITS)
        self._last_request_at = LONG_AGO
        self._request_sent_at: dict[int, Instant] = {}
        # A peer reaches the state service, so only this node is cut off: grants don't extend its
        # authority.
        self._outage_refuted = False
        store.listen(LIVE, self._live_changed)

    # --- queries -------------------------------------------------------------------------

    @property
    def until(self) -> Instant:
        """Returns until when this node may act by its lease alone, without quorum grants."""
        if not self.live:
            return LONG_AGO
        return Instant(
            min(self.renewal_sent_at, self.store.last_synced)
            + self.ttl * (1 - CLOCK_DRIFT)
            - LEASE_MARGIN_S
        )

    def ends_at(self) -> Instant:
        """Returns the instant until which this node may act, as far as it knows now.

        It is the end of the time-to-live counted from the last lease renewal and the last
        successful read of the state service, or later by the grants of a majority. Messages and
        writes that need the authority must not be sent after it.
        """
        if not self.live or self._outage_refuted:
            return self.until
        needed = self.context.majority - 1
        if not needed:
            return FAR_FUTURE
        if len(self._grants_held) < needed:
            return self.until
        ends = sorted(self._grants_held.values(), reverse=True)
        return max(self.until, ends[needed - 1])

    def may_act(self) -> bool:
        """Returns whether this node may act now."""
        return self.context.now < self.ends_at()

    def live_incarnation(self, member: Member) -> Incarnation | None:
        """Returns the incarnation of the member whose lease is valid, or None."""
        value = self.store.get(LIVE + member)
        return value.incarnation if value else None

    def live_members(self) -> list[Member]:
        """Returns the members whose leases are valid."""
        return [m for m in self.context.members if self.live_incarnation(m) is not None]

    def attests(self, member: Member, incarnation: Incarnation) -> bool:
        """Returns whether `member` attests in its live key that it saw this incarnation's lease
        end."""
        value = self.store.get(LIVE + member)
        return bool(value) and incarnation in value.gone

    # --- the lease -----------------------------------------------------------------------

    def tick(self) -> None:
        """Obtains or renews the lease, and requests quorum grants when it is about to expire."""
        now = self.context.now
        if not self.store.ready:
            return
        if not self._request_pending and now >= self._next_request_at:
            if self.lease is None:
                self._obtain_lease()
            elif not self.live:
                self._write_live()
            else:
                self._extend()
        if self.live and now > self.until - self.ttl * REQUEST_GRANTS_TTL_FRACTION:
            self._request_grants()
        if now < self.until:
            self._outage_refuted = False

    def _obtain_lease(self) -> None:
        self._request_pending = True

        def done(outcome: Outcome) -> None:
            self._request_pending = False
            self._next_request_at = Instant(self.context.now + RETRY_S)
            if outcome.status == 200:
                self.lease = int(outcome.body)
                self.renewal_sent_at = Instant(outcome.began)
                self._write_live()

        self.context.emit(GrantLease(done, int(self.ttl * MS_PER_S)))

    def _live_value(self) -> LiveValue:
        return LiveValue(self.incarnation, sorted(set(self._attested_ends.values())), VERSION)

    def _write_live(self) -> None:
        self._request_pending = True

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._request_pending = False
            self._next_request_at = Instant(
                self.context.now
                + (self.ttl / RENEWALS_PER_TTL if result is CommitResult.OK else RETRY_S)
            )
            if result is CommitResult.OK:
                self.live = True
                self._on_live()
            elif result is CommitResult.LEASE_ENDED:
                self.lease = None

        # An earlier process of this member that wrote the key has ended. A copy of its write, or
        # of this one, may still be applied later: the condition on the stamp makes it fail.
        live_key = LIVE + self.context.me
        self.store.commit(
            [self.store.expect(live_key)],
            [Write(live_key, self._live_value(), self.lease)],
            done,
            Store.URGENT,
        )

    def _extend(self) -> None:
        self._request_pending = True
        assert self.lease is not None

        def done(outcome: Outcome) -> None:
            self._request_pending = False
            # The interval counts from the sending, so that slow answers do not delay the next
            # renewal.
            self._next_request_at = (
                Instant(outcome.began + self.ttl / RENEWALS_PER_TTL)
                if outcome.status == 200
                else later(self.context.now, RETRY_S)
            )
            self.store.note_contact(outcome.status == 200, outcome.status, Instant(outcome.began))
            if outcome.status == 200:
                self.renewal_sent_at = max(self.renewal_sent_at, Instant(outcome.began))
            elif outcome.status == 404:
                self._end_incarnation("the lease ended")

        self.context.emit(ExtendLease(done, self.lease))

    def _end_incarnation(self, reason: str) -> None:
        """Ends this incarnation; the next one starts as after a restart of the process."""
        if self.live:
            self.context.log("warning", f"authority lost: {reason}")
        self.live = False
        self.lease = None
        self.incarnation = Incarnation(f"{self.context.rng.getrandbits(INCARNATION_BITS):016x}")
        self._grants_held.clear()
        self._next_request_at = self.context.now
        self._on_lost(reason)

    def _live_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        member = Member(key[len(LIVE) :])
        self.versions.live_changed(key, value, stamp)
        if member == self.context.me:
            if self.live and (value is None or value.incarnation != self.incarnation):
                self._end_incarnation("the live key was deleted or belongs to another process")
            return
        if value is not None:
            self._attested_ends.pop(member, None)

    def record_lease_end(self, member: Member, incarnation: Incarnation) -> None:
        """Records that `member`'s lease has ended.

        That incarnation gets no grant again, and this node attests the end in its live key,
        which only a node with contact can write.
        """
        self._never_grant.add(incarnation)
        if self._attested_ends.get(member) == incarnation or not self.live or self._request_pending:
            return
        if self.context.now < self._grants_given.get(member, LONG_AGO):
            return
        # A process that has just started may have granted it time before its restart.
        if self.context.now < self.context.started + self.grant_s * (1 + CLOCK_DRIFT):
            return
        self._attested_ends[member] = incarnation
        self._request_pending = True
        live_key = LIVE + self.context.me

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._request_pending = False
            if result is not CommitResult.OK:
                self._attested_ends.pop(member, None)

        when = [Condition(LIVE + member, ABSENT), self.store.expect(live_key)]
        self.store.commit(
            when, [Write(live_key, self._live_value(), self.lease)], done, Store.URGENT
        )

    # --- quorum grants -------------------------------------------------------------------

    def _request_grants(self) -> None:
        now = self.context.now
        if now < self._last_request_at + GRANT_REQUEST_INTERVAL_S:
            return
        self._last_request_at = now
        self._request_number += 1
        self._request_sent_at[self._request_number] = now
        self._request_sent_at.pop(self._request_number - MAX_OPEN_GRANT_REQUESTS, None)
        self.context.emit(
            SendToPeer(
                None, GrantRequest(self.incarnation, self._request_number, self.store.applied)
            )
        )

    def handle_grant_request(self, member: Member, message: GrantRequest) -> None:
        """Grants a peer more time, or refuses.

        The response lists the cancellations that the peer may have missed.
        """
        now = self.context.now
        incarnation = message.incarnation
        # One failure amid successes is no outage, and must not prolong a peer's authority.
        recent_contact = self.store.last_contact > now - RECENT_CONTACT_S
        # The peer may have lost contact earlier than this node. Jobs cancelled in between must
        # not run on for as long as it holds grants.
        cancelled = self.jobs.cancelled_since(message.applied)
        ok = (
            len(cancelled) <= MAX_CANCELLATIONS_IN_GRANT
            # A failure from before a pause of this process does not show an outage now.
            and self.store.failing
            and self.store.failed_at > now - RECENT_FAILURE_S
            and not recent_contact
            and incarnation not in self._never_grant
            and self.live_incarnation(member) == incarnation
            and now > self.context.started + self.grant_s * (1 + CLOCK_DRIFT)
        )
        if ok:
            self._grants_given[member] = Instant(now + self.grant_s * (1 + CLOCK_DRIFT))
        self.context.emit(
            SendToPeer(
                member,
                GrantResponse(
                    incarnation,
                    message.number,
                    ok,
                    recent_contact,
                    cancelled[:MAX_CANCELLATIONS_IN_GRANT],
                ),
            )
        )

    def handle_grant_response(self, member: Member, message: GrantResponse) -> None:
        """Records the quorum grant or the refusal in a peer's response."""
        sent = self._request_sent_at.get(message.number)
        if sent is None or message.incarnation != self.incarnation:
            return
        self._on_cancelled(message.cancelled)
        if message.ok:
            until = Instant(sent + self.grant_s * (1 - CLOCK_DRIFT))
            self._grants_held[member] = max(until, self._grants_held.get(member, until))
        else:
            self._grants_held.pop(member, None)
            # A peer that reaches the state service shows that the service works and only this
            # node is cut off: its grants no longer count.
            if message.contact and self.context.now >= self.until:
                self._outage_refuted = True
