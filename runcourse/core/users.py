"""Submissions, polls and cancellations, which every node answers itself from the store.

A request that cannot be answered now is refused at once, with the time after which to retry.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from ..wire.messages import job_state
from ..wire.peer_messages import CancellationNotice, PeerMessage, SyncRequest
from .confirmations import Confirmations
from .context import Context
from .ids import ABSENT, JobId, ShareNo, Stamp, Team, later
from .jobs import JOB, UID, Job, Jobs, JobSpec, final_value, fit_spec, job_value
from .machines import Fleet
from .quota import Quota
from .running_counts import PeerCounts
from .shares import Shares
from .store import CommitResult, Store
from .stored_values import LIVE
from .types import Cancel, Condition, Poll, SendToPeer, Submit, UserAnswer, Write

CHANGE_DEADLINE_S = 3.0  # a change that is not sent within this time is refused
MAX_BACKLOG_S = 0.7  # submissions are refused if queued changes take longer than this to send
FAIR_BACKLOG_S = 0.35  # the same, for a team with more than half of the queued submissions
RETRY_AFTER_S = 1.0  # sent with most refusals
MAX_CANCEL_TRIES = 3  # commits of a cancellation whose conditions are not met


class Users:
    """Answers the requests of users."""

    def __init__(
        self,
        context: Context,
        store: Store,
        shares: Shares,
        jobs: Jobs,
        quota: Quota,
        fleet: Fleet,
        confirmations: Confirmations,
    ) -> None:
        self.context = context
        self.store = store
        self.confirmations = confirmations
        self.shares = shares
        self.jobs = jobs
        self.quota = quota
        self.fleet = fleet
        self.running = PeerCounts()  # running tasks of jobs whose shares peers own
        self._creating: Counter[str] = Counter()  # submissions being stored, by team
        self._waiting_for_read = 0  # requests that wait for a catch-up read
        # A connection has one request at a time, so no more can wait than there are connections.
        self._max_waiting_for_read = context.platform.settings.quota.sockets(
            len(context.members)
        ).served

    # --- answers -------------------------------------------------------------------------

    def refuse(
        self,
        request: int,
        status: int = 503,
        retry_after_s: float = RETRY_AFTER_S,
        reason: str = "not now",
    ) -> None:
        """Refuses a request, and states after how many seconds the user should retry."""
        self.context.emit(UserAnswer(request, status, {"error": reason}, retry_after_s))

    def _job_state(self, job: Job) -> dict[str, Any]:
        if job.final:
            done = job.spec.tasks if job.stage == "done" else job.done_count
            return job_state(job.uid, job.stage, done, 0)
        share = self.shares.of_team(Team(job.spec.team))
        running = (
            self.fleet.placements.running_count(job.uid)
            if share in self.shares.owned
            else self.running.of(job.uid)
        )
        done = min(job.done_count, job.spec.tasks)
        return job_state(job.uid, "running" if running else "queued", done, running)

    def _after_sync(self, request: int, then: Callable[[], None]) -> None:
        """Runs `then` after a catch-up read begun from now on; refuses the request if it fails."""
        if (
            not self.store.ready
            or self.store.failing
            or self._waiting_for_read >= self._max_waiting_for_read
        ):
            self.refuse(request, 503, RETRY_AFTER_S, "no contact with the state service")
            return
        self._waiting_for_read += 1

        def waiter(ok: bool) -> None:
            self._waiting_for_read -= 1
            if ok:
                then()
            else:
                self.refuse(request, 503, RETRY_AFTER_S, "no contact with the state service")

        self.store.sync(waiter)

    # --- polls ---------------------------------------------------------------------------

    def poll(self, event: Poll) -> None:
        """Answers a user's request for the state of a job."""
        uid = JobId(event.uid)
        if not UID.match(uid):
            self.context.emit(UserAnswer(event.request, 404, {"error": "no such job"}))
            return
        if self._answer_final(event.request, uid):
            return

        def then() -> None:
            job = self.jobs.get(uid)
            if job is None:
                self._answer_from_read(event.request, 404, {"error": "no such job"})
            else:
                self._answer_job(event.request, job)

        self._after_sync(event.request, then)

    def _answer_job(self, request: int, job: Job) -> None:
        if not self._answer_final(request, job.uid):
            self._answer_from_read(request, 200, self._job_state(job))

    def _answer_from_read(self, request: int, status: int, body: dict[str, Any]) -> None:
        """Sends an answer that rests on the newest read.

        Its `until` keeps it from leaving after a pause of this process, during which another node
        may have given a newer answer.
        """
        self.context.emit(UserAnswer(request, status, body, until=self.store.fresh_until))

    def _answer_final(self, request: int, uid: JobId) -> bool:
        """Answers a request if the job has a final stage; returns whether it has.

        A final stage never changes, so this needs no read. On every path (cancellation, poll,
        repeated submission) the answer that a job is cancelled waits until it is confirmed.
        """
        job = self.jobs.get(uid)
        if job is None or not job.final:
            return False
        state = self._job_state(job)

        def then(confirmed: bool) -> None:
            if confirmed:
                self.context.emit(UserAnswer(request, 200, state))
            else:
                self.refuse(
                    request, 503, RETRY_AFTER_S, "the cancellation is stored, not confirmed yet"
                )

        if job.stage == "cancelled":
            self.confirmations.confirm(job, then)
        else:
            then(True)
        return True

    # --- submissions ---------------------------------------------------------------------

    def submit(self, event: Submit) -> None:
        """Handles a submission, which may be repeated."""
        uid = JobId(event.uid)
        if uid and self._answer_final(event.request, uid):
            return
        if not uid:
            self.context.emit(UserAnswer(event.request, 400, {"error": event.fault}))
        elif self.jobs.get(uid) is not None:
            self._after_sync(event.request, lambda: self._answer_known(event.request, uid))
        elif event.spec is None:
            # If the id is that of an accepted job, the answer is its state.
            self._reject_unless_known(event.request, uid, 400, event.fault)
        elif not self.fleet.types:
            self.refuse(event.request, 503, RETRY_AFTER_S, "machine types not known yet")
        else:
            problem = self._rejection_reason(event.spec)
            stored = fit_spec(event.spec, self.fleet.types, self.context.limits.value_bytes)
            if problem:
                self._reject_unless_known(event.request, uid, 422, problem)
            elif stored is None:
                self._reject_unless_known(
                    event.request, uid, 400, "larger than the state service can hold"
                )
            else:
                self._create(event.request, stored)

    def _answer_known(self, request: int, uid: JobId) -> None:
        job = self.jobs.get(uid)
        if job is None:
            self.refuse(request)
        else:
            self._answer_job(request, job)

    def _reject_unless_known(self, request: int, uid: JobId, status: int, reason: str) -> None:
        def then() -> None:
            if self.jobs.get(uid) is not None:
                self._answer_known(request, uid)
            else:
                self._answer_from_read(request, status, {"error": reason})

        self._after_sync(request, then)

    def _rejection_reason(self, spec: JobSpec) -> str | None:
        reason = self.quota.rejection_reason(Job(spec, ABSENT))
        if reason:
            return reason
        for machine_type in self.fleet.types.values():
            if spec.types is not None and machine_type.name not in spec.types:
                continue
            if not spec.size.fits(machine_type.size):
                continue
            if spec.zone is not None and machine_type.zones and spec.zone not in machine_type.zones:
                continue
            return None
        return "a task fits no allowed machine type"

    def _create(self, request: int, spec: JobSpec) -> None:
        uid = JobId(spec.uid)
        if not self.store.ready or self.store.failing:
            self.refuse(request, 503, RETRY_AFTER_S, "no contact with the state service")
            return
        backlog = self.store.backlog
        # The submissions of one team must not take the whole backlog from the others.
        dominates = self._creating[spec.team] > max(1, self._creating.total() // 2)
        if backlog > (FAIR_BACKLOG_S if dominates else MAX_BACKLOG_S):
            self.refuse(request, 429, math.ceil(backlog), "too many submissions at once")
            return
        self._creating[spec.team] += 1

        def result(outcome: CommitResult, stamp: Stamp) -> None:
            self._creating[spec.team] -= 1
            if outcome is CommitResult.OK:
                self.context.emit(UserAnswer(request, 201, job_state(uid, "queued")))
                self.notify_owner(self.shares.of_team(Team(spec.team)), SyncRequest())
            elif outcome is CommitResult.CONFLICT:
                self._after_sync(request, lambda: self._answer_known(request, uid))
            else:
                self.refuse(request, 503, RETRY_AFTER_S, "not stored")

        self.store.commit(
            [Condition(JOB + uid, ABSENT)],
            [Write(JOB + uid, job_value(spec, "accepted"))],
            result,
            Store.USER,
            later(self.context.now, CHANGE_DEADLINE_S),
        )

    def notify_owner(self, share: ShareNo, message: PeerMessage) -> None:
        """Sends a message to the owner of the share, if that is another node."""
        owner = self.shares.live_owner(share)
        if owner is not None and owner != self.context.me:
            self.context.emit(SendToPeer(owner, message))

    # --- cancellations -------------------------------------------------------------------

    def cancel(self, event: Cancel) -> None:
        """Handles a cancellation, which may be repeated."""
        uid = JobId(event.uid)
        if not UID.match(uid):
            self.context.emit(UserAnswer(event.request, 404, {"error": "no such job"}))
        elif not self._answer_final(event.request, uid):
            self._after_sync(
                event.request, lambda: self._cancel(event.request, uid, MAX_CANCEL_TRIES)
            )

    def _cancel(self, request: int, uid: JobId, tries: int) -> None:
        job = self.jobs.get(uid)
        if job is None:
            self._answer_from_read(request, 404, {"error": "no such job"})
            return
        if self._answer_final(request, uid):
            return
        share = self.shares.of_team(Team(job.spec.team))
        owner = self.shares.live_owner(share)
        if owner is None:
            # A former owner may still start tasks, on time granted by a majority, and no owner is
            # there to confirm the cancellation.
            self.refuse(request, 503, RETRY_AFTER_S, "the job's share has no owner at the moment")
            return
        key = JOB + uid

        def result(outcome: CommitResult, stamp: Stamp) -> None:
            if outcome is CommitResult.OK:
                # To all peers, because the owner may be cut off from the store and act on time that
                # any of them granted: their next grants carry the cancellation.
                self.context.emit(SendToPeer(None, CancellationNotice(uid)))
                self._answer_final(request, uid)
            elif outcome is CommitResult.UNKNOWN:
                # The cancellation may have been stored, and other nodes may read it: they too
                # report it only once it is confirmed.
                self.refuse(request, 503, RETRY_AFTER_S, "not known to be stored")
            elif outcome is CommitResult.CONFLICT and tries > 1:
                self._after_sync(request, lambda: self._cancel(request, uid, tries - 1))
            else:
                self.refuse(request, 503, RETRY_AFTER_S, "not stored")

        # Conditional on the owner's live key (attached to its lease) being unchanged: so the owner
        # is a running process, which reads the cancellation from the store or stops acting when its
        # lease ends, unless peers grant it more time (their grants carry the cancellation).
        self.store.commit(
            [Condition(key, job.stamp), self.store.expect(LIVE + owner)],
            [Write(key, final_value(job.spec, "cancelled", self.context.limits.value_bytes))],
            result,
            Store.OWNER,
            later(self.context.now, CHANGE_DEADLINE_S),
        )
