"""May this node act? Its leased `live` key, its contact with the store, and quorum grants.

A node acts until the time-to-live of its lease has passed since it last *sent* a renewal
that succeeded and a catch-up read that succeeded. Beyond that it acts only while a
majority, itself included, grants it more time, each because it too has no contact with the
state service: then the leases stand still and nobody can have taken anything over.
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

FAILED_LATELY_S = 2.0  # beyond the longest wait for an answer of the state service
MAX_CANCELLATIONS_IN_GRANT = 200  # with more, the grant is withheld


class Authority:
    """This node's lease and the quorum grants that extend its authority in an outage."""

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
        self.incarnation = Incarnation(f"{context.rng.getrandbits(64):016x}")
        lease = context.platform.settings.workers.lease_s
        self.ttl = context.operators.live_ttl or min(max(lease * 0.3, 1.5), 5.0)
        self.grant_s = max(self.ttl * 0.75, 1.0)
        self.lease: int | None = None
        self.live = False  # the live key stands, as far as is known
        self.renewed = LONG_AGO  # when the newest renewal that succeeded was sent
        self._on_live = on_live
        self._on_lost = on_lost
        self._busy = False
        self._next = Instant(0.0)
        self._gone: dict[Member, Incarnation] = {}  # dead incarnations this node attests
        self._never_grant: set[Incarnation] = set()
        self._grants_given: dict[Member, Instant] = {}  # to whom, until when
        self._grants_held: dict[Member, Instant] = {}  # of whom, until when
        self._ask = context.rng.getrandbits(48)  # not an earlier process's numbers
        self._asked = LONG_AGO
        self._asked_at: dict[int, Instant] = {}
        self._refuted = False
        store.listen(LIVE, self._live_changed)

    # --- what others ask of it -----------------------------------------------------------

    @property
    def until(self) -> Instant:
        """End of the authority that the lease gives by itself."""
        if not self.live:
            return LONG_AGO
        return Instant(
            min(self.renewed, self.store.last_synced) + self.ttl * (1 - CLOCK_DRIFT) - 0.05
        )

    def ends_at(self) -> Instant:
        """Until when this node may act, as far as is known now: its lease and its contact, or
        the grants of a majority. What is decided before must not leave after it."""
        if not self.live or self._refuted:
            return self.until
        needed = self.context.majority - 1
        if not needed:
            return FAR_FUTURE
        if len(self._grants_held) < needed:
            return self.until
        votes = sorted(self._grants_held.values(), reverse=True)
        return max(self.until, votes[needed - 1])

    def entitled(self) -> bool:
        """May this node act now?"""
        return self.context.now < self.ends_at()

    def live_incarnation(self, member: Member) -> Incarnation | None:
        """The incarnation of the member whose lease stands, if any."""
        value = self.store.get(LIVE + member)
        return value.incarnation if value else None

    def live_members(self) -> list[Member]:
        """The members whose leases stand."""
        return [m for m in self.context.members if self.live_incarnation(m) is not None]

    def attests(self, member: Member, incarnation: Incarnation) -> bool:
        """Did `member`, having contact, state that it saw this incarnation's lease end?"""
        value = self.store.get(LIVE + member)
        return bool(value) and incarnation in value.gone

    # --- the lease -----------------------------------------------------------------------

    def tick(self) -> None:
        """Obtain or renew the lease, and ask for quorum grants when it runs out."""
        now = self.context.now
        if not self.store.ready:
            return
        if not self._busy and now >= self._next:
            if self.lease is None:
                self._obtain_lease()
            elif not self.live:
                self._write_live()
            else:
                self._extend()
        if self.live and now > self.until - self.ttl * 0.45:
            self._request_grants()
        if now < self.until:
            self._refuted = False

    def _obtain_lease(self) -> None:
        self._busy = True

        def done(outcome: Outcome) -> None:
            self._busy = False
            self._next = Instant(self.context.now + 0.2)
            if outcome.status == 200:
                self.lease = int(outcome.body)
                self.renewed = Instant(outcome.began)
                self._write_live()

        self.context.emit(GrantLease(done, int(self.ttl * 1000)))

    def _value(self) -> LiveValue:
        return LiveValue(self.incarnation, sorted(set(self._gone.values())), VERSION)

    def _write_live(self) -> None:
        self._busy = True

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._busy = False
            self._next = Instant(
                self.context.now + (self.ttl / 4 if result is CommitResult.OK else 0.2)
            )
            if result is CommitResult.OK:
                self.live = True
                self._on_live()
            elif result is CommitResult.LEASE_ENDED:
                self.lease = None

        # Whatever process wrote this key under this name before is dead. But a copy of its
        # write, or of this one, may yet be applied: the version makes it fail.
        me = LIVE + self.context.me
        self.store.commit(
            [self.store.expect(me)], [Write(me, self._value(), self.lease)], done, Store.URGENT
        )

    def _extend(self) -> None:
        self._busy = True
        assert self.lease is not None

        def done(outcome: Outcome) -> None:
            self._busy = False
            # Counted from the sending: where answers are slow, the next one must not wait too.
            self._next = (
                Instant(outcome.began + self.ttl / 4)
                if outcome.status == 200
                else later(self.context.now, 0.2)
            )
            self.store.note_contact(outcome.status == 200, outcome.status, Instant(outcome.began))
            if outcome.status == 200:
                self.renewed = max(self.renewed, Instant(outcome.began))
            elif outcome.status == 404:
                self.lose("the lease ended")

        self.context.emit(ExtendLease(done, self.lease))

    def lose(self, why: str) -> None:
        """This incarnation is over; the next one starts as a restarted process would."""
        if self.live:
            self.context.log("warning", f"authority lost: {why}")
        self.live = False
        self.lease = None
        self.incarnation = Incarnation(f"{self.context.rng.getrandbits(64):016x}")
        self._grants_held.clear()
        self._next = self.context.now
        self._on_lost(why)

    def _live_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        member = Member(key[len(LIVE) :])
        self.versions.live_changed(key, value, stamp)
        if member == self.context.me:
            if self.live and (value is None or value.incarnation != self.incarnation):
                self.lose("the live key is gone or another's")
            return
        if value is not None:
            self._gone.pop(member, None)

    def saw_end(self, member: Member, incarnation: Incarnation) -> None:
        """`member`'s lease is seen to have ended: that incarnation gets no grant again,
        and say so in the live key, which only a node with contact can write."""
        self._never_grant.add(incarnation)
        if self._gone.get(member) == incarnation or not self.live or self._busy:
            return
        if self.context.now < self._grants_given.get(member, LONG_AGO):
            return
        # A process that just started may have granted it and forgotten.
        if self.context.now < self.context.started + self.grant_s * (1 + CLOCK_DRIFT):
            return
        self._gone[member] = incarnation
        self._busy = True
        me = LIVE + self.context.me

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._busy = False
            if result is not CommitResult.OK:
                self._gone.pop(member, None)

        when = [Condition(LIVE + member, ABSENT), self.store.expect(me)]
        self.store.commit(when, [Write(me, self._value(), self.lease)], done, Store.URGENT)

    # --- quorum grants -------------------------------------------------------------------

    def _request_grants(self) -> None:
        now = self.context.now
        if now < self._asked + 0.4:
            return
        self._asked = now
        self._ask += 1
        self._asked_at[self._ask] = now
        self._asked_at.pop(self._ask - 20, None)
        self.context.emit(
            SendToPeer(None, GrantRequest(self.incarnation, self._ask, self.store.applied))
        )

    def handle_grant_request(self, member: Member, message: GrantRequest) -> None:
        """A peer without contact asks whether this node has none either."""
        now = self.context.now
        incarnation = message.incarnation
        # One failure amid successes is no outage: such a node must not keep another going.
        recently = self.store.last_contact > now - 1.0
        # The asker may have lost contact earlier than this node: what was cancelled meanwhile
        # must not run on for as long as it holds grants.
        news = self.jobs.cancelled_since(message.applied)
        ok = (
            len(news) <= MAX_CANCELLATIONS_IN_GRANT
            # What failed before this process stood still says nothing of now.
            and self.store.failing
            and self.store.failed_at > now - FAILED_LATELY_S
            and not recently
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
                    incarnation, message.number, ok, recently, news[:MAX_CANCELLATIONS_IN_GRANT]
                ),
            )
        )

    def handle_grant_response(self, member: Member, message: GrantResponse) -> None:
        """A peer answered a request for a quorum grant."""
        sent = self._asked_at.get(message.number)
        if sent is None or message.incarnation != self.incarnation:
            return
        self._on_cancelled(message.cancelled)
        if message.ok:
            until = Instant(sent + self.grant_s * (1 - CLOCK_DRIFT))
            self._grants_held[member] = max(until, self._grants_held.get(member, until))
        else:
            self._grants_held.pop(member, None)
            # Any peer with contact ends it: the store is there, and it isn't for this node.
            if message.contact and self.context.now >= self.until:
                self._refuted = True
