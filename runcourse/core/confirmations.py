"""When an answer to a user may say that a job is cancelled, and the evidence this needs.

A user gets this answer only once every node that can still command the job's machines is
certain to have recorded the cancellation, or to have lost its authority, in time. Each of these
proves it:

- This node owns the job's share and may command its machines.
- The share's present owner acknowledges the cancellation over the peer link.
- A *quorum* of nodes has recorded the cancellation. Every majority that could grant an owner more
  time includes one of them, and a grant either carries the cancellations that the granting node
  has recorded or is refused.

An acknowledgement stays true: a cancellation is stored before it is announced, and a restarted
process reads everything before it owns a share, grants time or answers. So it does not matter
how late an acknowledgement arrives, nor whether its sender has restarted since.
"""

from __future__ import annotations

from collections.abc import Callable

from ..wire.peer_messages import CancellationAck, CancellationNotice, GrantRequest
from .authority import Authority
from .context import Context
from .ids import ABSENT, LONG_AGO, Instant, JobId, Member, Stamp, Team, later
from .jobs import Job, Jobs
from .shares import Shares
from .store import Store
from .types import SendToPeer

ANSWER_WITHIN_S = 0.4  # without evidence by then, the request is refused with a retry delay
REQUEST_INTERVAL_S = 0.1  # between two requests for the same evidence
PEER_TIMEOUT_S = 2.5  # a peer without a heartbeat for so long is not waited for
MAX_UNCONFIRMED_JOBS = 5000  # unconfirmed cancellations for which acknowledgements are kept
REQUEST_NUMBER_BITS = 48

Waiter = Callable[[bool], None]


class _Inquiry:
    """A cancellation whose confirmation users wait for."""

    __slots__ = ("requested_at", "until", "waiters")

    def __init__(self, until: Instant) -> None:
        self.until = until
        self.requested_at = LONG_AGO
        self.waiters: list[Waiter] = []


class Confirmations:
    """Collects the evidence that jobs are cancelled; calls the callbacks that wait for it."""

    def __init__(
        self, context: Context, store: Store, authority: Authority, shares: Shares, jobs: Jobs
    ) -> None:
        self.context = context
        self.store = store
        self.authority = authority
        self.shares = shares
        self.jobs = jobs
        self._confirmed: set[JobId] = set()
        self._acknowledged_by: dict[JobId, set[Member]] = {}
        self._inquiries: dict[JobId, _Inquiry] = {}
        self._heartbeat_at: dict[Member, Instant] = {}
        self._applied_by_peer: dict[Member, Stamp] = {}  # revision up to which peers have read
        # Grant requests by number, with the job whose cancellation they ask for. They go to peers
        # of the former version, which doesn't acknowledge cancellations but lists them in its
        # grant responses.
        self._grant_requests: dict[int, JobId] = {}
        self._request_number = context.rng.getrandbits(REQUEST_NUMBER_BITS)

    @property
    def waiting(self) -> int:
        """Returns the number of cancellations whose confirmation users wait for."""
        return len(self._inquiries)

    @property
    def quorum(self) -> int:
        """Returns how many nodes must have recorded a cancellation so that each majority that could
        grant time to an owner outside of them includes one of them."""
        return len(self.context.members) - self.context.majority + 1

    def confirm(self, job: Job, then: Waiter) -> None:
        """Calls `then` with True once the cancellation is confirmed, or with False if no evidence
        can be obtained, or none in time."""
        if self.is_confirmed(job):
            then(True)
            return
        inquiry = self._inquiries.get(job.uid)
        if inquiry is None:
            if not self._can_be_confirmed(job):
                then(False)
                return
            inquiry = self._inquiries[job.uid] = _Inquiry(later(self.context.now, ANSWER_WITHIN_S))
        inquiry.waiters.append(then)
        self._request_evidence(job, inquiry)

    def is_confirmed(self, job: Job) -> bool:
        """Returns whether there is enough evidence that the cancellation may be reported."""
        uid = job.uid
        if uid in self._confirmed:
            return True
        recorded_by = {
            m for m, applied in self._applied_by_peer.items() if ABSENT < job.cancelled <= applied
        }
        recorded_by |= self._acknowledged_by.get(uid, set())
        owns = self.shares.may_command(self.shares.of_team(Team(job.spec.team)))
        if not owns and 1 + len(recorded_by) < self.quorum:
            return False
        self._confirmed.add(uid)
        self._acknowledged_by.pop(uid, None)
        return True

    def _can_be_confirmed(self, job: Job) -> bool:
        """Returns whether the peers that are reachable suffice to confirm the cancellation."""
        reachable = [
            m for m, at in self._heartbeat_at.items() if self.context.now - at < PEER_TIMEOUT_S
        ]
        owner = self.shares.live_owner(self.shares.of_team(Team(job.spec.team)))
        return owner in reachable or 1 + len(reachable) >= self.quorum

    def _request_evidence(self, job: Job, inquiry: _Inquiry) -> None:
        now = self.context.now
        if now < inquiry.requested_at + REQUEST_INTERVAL_S:
            return
        inquiry.requested_at = now
        self.context.emit(SendToPeer(None, CancellationNotice(job.uid, ask=True)))
        for member in self.context.members:
            if (
                member == self.context.me
                or member in self._applied_by_peer
                or job.cancelled == ABSENT
            ):
                continue
            self._request_number += 1
            self._grant_requests[self._request_number] = job.uid
            self.context.emit(
                SendToPeer(
                    member,
                    GrantRequest(
                        self.authority.incarnation, self._request_number, Stamp(job.cancelled - 1)
                    ),
                )
            )

    # --- messages of peers ---------------------------------------------------------------

    def record_heartbeat(self, member: Member, applied: int | None) -> None:
        """Records a peer's heartbeat; the former version sends no `applied`."""
        self._heartbeat_at[member] = self.context.now
        if applied is None:
            self._applied_by_peer.pop(member, None)
        else:
            self._applied_by_peer[member] = Stamp(applied)

    def acknowledgement(self, uid: JobId) -> CancellationAck:
        """Returns this node's acknowledgement of a cancellation, with whether it owns the job."""
        job = self.jobs.get(uid)
        owns = job is not None and self.shares.may_command(self.shares.of_team(Team(job.spec.team)))
        return CancellationAck(uid, owns)

    def record_ack(self, member: Member, uid: JobId, owner: bool) -> None:
        """Records a peer's acknowledgement; `owner`: the peer owns the job's share."""
        if uid in self._confirmed:
            return
        if owner:
            self._confirmed.add(uid)
            self._acknowledged_by.pop(uid, None)
        else:
            while len(self._acknowledged_by) >= MAX_UNCONFIRMED_JOBS:
                del self._acknowledged_by[next(iter(self._acknowledged_by))]
            self._acknowledged_by.setdefault(uid, set()).add(member)
        self._complete_if_confirmed(uid)

    def record_grant(self, member: Member, number: int, cancelled: list[JobId]) -> None:
        """Takes the cancellations that a peer of the former version lists in a grant response."""
        uid = self._grant_requests.get(number)
        if uid is not None and uid in cancelled:
            self.record_ack(member, uid, False)

    def _complete_if_confirmed(self, uid: JobId) -> None:
        inquiry, job = self._inquiries.get(uid), self.jobs.get(uid)
        if inquiry is not None and job is not None and self.is_confirmed(job):
            self._complete(uid, inquiry, True)

    def _complete(self, uid: JobId, inquiry: _Inquiry, confirmed: bool) -> None:
        del self._inquiries[uid]
        for number in [n for n, requested in self._grant_requests.items() if requested == uid]:
            del self._grant_requests[number]
        for waiter in inquiry.waiters:
            waiter(confirmed)

    def tick(self) -> None:
        """Requests evidence again, and ends inquiries that are confirmed or have timed out."""
        for uid, inquiry in list(self._inquiries.items()):
            job = self.jobs.get(uid)
            if job is not None and self.is_confirmed(job):
                self._complete(uid, inquiry, True)
            elif job is None or self.context.now >= inquiry.until:
                self._complete(uid, inquiry, False)
            else:
                self._request_evidence(job, inquiry)
