"""When a user may be told that a job is cancelled, and the evidence for it.

Nobody is told before every node that can still command the job's machines is certain to know of
the cancellation, or to have lost its authority, in time. One of three things proves it:

- this node owns the job's share and may command: it knows;
- the share's present owner says, over the peer link, that it knows;
- a *quorum* of nodes knows: so many that any majority that could grant any owner more
  time has one of them in it, and a grant brings what its giver knows, or is refused.

Knowing lasts: a cancellation is stored before anybody hears of it, and a process that starts
anew reads everything before it owns, grants or answers. So it does not matter how late a
peer's word arrives, nor whether the process that gave it is still the same.
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

ANSWER_WITHIN_S = 0.4  # without evidence by then the user is told when to come back
ASK_AGAIN_S = 0.1
PEER_TIMEOUT_S = 2.5  # a peer that said nothing for so long is not waited for
MOST_REMEMBERED = 5000  # of jobs not confirmed yet: what peers said of them

Waiter = Callable[[bool], None]


class _Inquiry:
    """A cancellation that users wait to be told of."""

    __slots__ = ("asked", "until", "waiters")

    def __init__(self, until: Instant) -> None:
        self.until = until
        self.asked = LONG_AGO
        self.waiters: list[Waiter] = []


class Confirmations:
    """Collects the evidence and tells those who wait for it."""

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
        self._heard: dict[Member, Instant] = {}
        self._applied: dict[Member, Stamp] = {}  # up to where peers have read, as they said
        # The former version doesn't say what it knows, but its grants do: by question asked.
        self._grant_requests: dict[int, JobId] = {}
        self._number = context.rng.getrandbits(48)

    @property
    def waiting(self) -> int:
        """Cancellations that users wait to be told of."""
        return len(self._inquiries)

    @property
    def quorum(self) -> int:
        """So many nodes that know meet every majority that grants an owner not among them time."""
        return len(self.context.members) - self.context.majority + 1

    def confirm(self, job: Job, then: Waiter) -> None:
        """Calls `then` with True once the cancellation may be told, with False if there is no
        evidence to be had, or none in time."""
        if self.is_confirmed(job):
            then(True)
            return
        inquiry = self._inquiries.get(job.uid)
        if inquiry is None:
            if not self._hopeful(job):
                then(False)
                return
            inquiry = self._inquiries[job.uid] = _Inquiry(later(self.context.now, ANSWER_WITHIN_S))
        inquiry.waiters.append(then)
        self._ask(job, inquiry)

    def is_confirmed(self, job: Job) -> bool:
        """Is there enough evidence that the cancellation may be told?"""
        uid = job.uid
        if uid in self._confirmed:
            return True
        knowing = {m for m, applied in self._applied.items() if ABSENT < job.cancelled <= applied}
        knowing |= self._acknowledged_by.get(uid, set())
        owns = self.shares.may_command(self.shares.of_team(Team(job.spec.team)))
        if not owns and 1 + len(knowing) < self.quorum:
            return False
        self._confirmed.add(uid)
        self._acknowledged_by.pop(uid, None)
        return True

    def _hopeful(self, job: Job) -> bool:
        """Are there peers left whose word would do?"""
        near = [m for m, at in self._heard.items() if self.context.now - at < PEER_TIMEOUT_S]
        owner = self.shares.living_owner(self.shares.of_team(Team(job.spec.team)))
        return owner in near or 1 + len(near) >= self.quorum

    def _ask(self, job: Job, inquiry: _Inquiry) -> None:
        now = self.context.now
        if now < inquiry.asked + ASK_AGAIN_S:
            return
        inquiry.asked = now
        self.context.emit(SendToPeer(None, CancellationNotice(job.uid, ask=True)))
        for member in self.context.members:
            if member == self.context.me or member in self._applied or job.cancelled == ABSENT:
                continue
            self._number += 1
            self._grant_requests[self._number] = job.uid
            self.context.emit(
                SendToPeer(
                    member,
                    GrantRequest(
                        self.authority.incarnation, self._number, Stamp(job.cancelled - 1)
                    ),
                )
            )

    # --- what peers say ------------------------------------------------------------------

    def record_heartbeat(self, member: Member, applied: int | None) -> None:
        """A peer's greeting; the former version's does not say how far it has read."""
        self._heard[member] = self.context.now
        if applied is None:
            self._applied.pop(member, None)
        else:
            self._applied[member] = Stamp(applied)

    def acknowledgement(self, uid: JobId) -> CancellationAck:
        """This node's word that it knows of the cancellation, and whether as its job's owner."""
        job = self.jobs.get(uid)
        owns = job is not None and self.shares.may_command(self.shares.of_team(Team(job.spec.team)))
        return CancellationAck(uid, owns)

    def record_ack(self, member: Member, uid: JobId, owner: bool) -> None:
        """A peer says that it knows of the cancellation, or that it owns the job."""
        if uid in self._confirmed:
            return
        if owner:
            self._confirmed.add(uid)
            self._acknowledged_by.pop(uid, None)
        else:
            while len(self._acknowledged_by) >= MOST_REMEMBERED:
                del self._acknowledged_by[next(iter(self._acknowledged_by))]
            self._acknowledged_by.setdefault(uid, set()).add(member)
        self._look(uid)

    def record_grant(self, member: Member, number: int, cancelled: list[JobId]) -> None:
        """The former version lists with its grant what it has read of cancellations."""
        uid = self._grant_requests.get(number)
        if uid is not None and uid in cancelled:
            self.record_ack(member, uid, False)

    def _look(self, uid: JobId) -> None:
        inquiry, job = self._inquiries.get(uid), self.jobs.get(uid)
        if inquiry is not None and job is not None and self.is_confirmed(job):
            self._end(uid, inquiry, True)

    def _end(self, uid: JobId, inquiry: _Inquiry, sure: bool) -> None:
        del self._inquiries[uid]
        for number in [n for n, asked in self._grant_requests.items() if asked == uid]:
            del self._grant_requests[number]
        for waiter in inquiry.waiters:
            waiter(sure)

    def tick(self) -> None:
        """Ask again for evidence, and give up what takes too long."""
        for uid, inquiry in list(self._inquiries.items()):
            job = self.jobs.get(uid)
            if job is not None and self.is_confirmed(job):
                self._end(uid, inquiry, True)
            elif job is None or self.context.now >= inquiry.until:
                self._end(uid, inquiry, False)
            else:
                self._ask(job, inquiry)
