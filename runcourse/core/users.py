"""Submissions, polls and cancellations. Every node answers them itself, against the store.

Whatever can't be answered now is refused at once, with the time to come back after.
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

GIVEN_UP_S = 3.0  # a change not sent by then has been refused to its user
MAX_BACKLOG_S = 0.7  # changes waiting for the write budget
FAIR_BACKLOG_S = 0.35  # beyond this, those of the team that has most of what waits


class Users:
    """Answers users on behalf of the whole service."""

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
        self.running = PeerCounts()
        self._creating: Counter[str] = Counter()  # submissions being stored, by team
        self._waiting = 0  # questions waiting for one catch-up read
        # A connection asks one thing at a time, so no more can wait than there are.
        self._most_waiting = context.platform.settings.quota.sockets(len(context.members)).served

    # --- answers -------------------------------------------------------------------------

    def refuse(
        self, request: int, status: int = 503, after: float = 1.0, why: str = "not now"
    ) -> None:
        """Tell the user at once when to come back."""
        self.context.emit(UserAnswer(request, status, {"error": why}, after))

    def _state(self, job: Job) -> dict[str, Any]:
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
        """Run `then` once a catch-up read begun from now on has succeeded."""
        if not self.store.ready or self.store.failing or self._waiting >= self._most_waiting:
            self.refuse(request, 503, 1.0, "no contact with the state service")
            return
        self._waiting += 1

        def waiter(ok: bool) -> None:
            self._waiting -= 1
            if ok:
                then()
            else:
                self.refuse(request, 503, 1.0, "no contact with the state service")

        self.store.sync(waiter)

    # --- polls ---------------------------------------------------------------------------

    def poll(self, ask: Poll) -> None:
        """A user asks about a job."""
        uid = JobId(ask.uid)
        if not UID.match(uid):
            self.context.emit(UserAnswer(ask.request, 404, {"error": "no such job"}))
            return
        if self._answer_final(ask.request, uid):
            return

        def then() -> None:
            job = self.jobs.get(uid)
            if job is None:
                self._by_read(ask.request, 404, {"error": "no such job"})
            else:
                self._tell(ask.request, job)

        self._after_sync(ask.request, then)

    def _tell(self, request: int, job: Job) -> None:
        if not self._answer_final(request, job.uid):
            self._by_read(request, 200, self._state(job))

    def _by_read(self, request: int, status: int, body: dict[str, Any]) -> None:
        """An answer that rests on the newest read: after a pause of this process another node
        may have given a newer one, so then it must not leave."""
        self.context.emit(UserAnswer(request, status, body, until=self.store.fresh_until))

    def _answer_final(self, request: int, uid: JobId) -> bool:
        """A final stage stands, whoever asks and whenever; that a job is cancelled is told on
        every path (cancellation, poll, repeated submission) only once that is safe."""
        job = self.jobs.get(uid)
        if job is None or not job.final:
            return False
        state = self._state(job)

        def then(sure: bool) -> None:
            if sure:
                self.context.emit(UserAnswer(request, 200, state))
            else:
                self.refuse(request, 503, 1.0, "the cancellation is stored, not confirmed yet")

        if job.stage == "cancelled":
            self.confirmations.confirm(job, then)
        else:
            then(True)
        return True

    # --- submissions ---------------------------------------------------------------------

    def submit(self, ask: Submit) -> None:
        """A user submits a job, perhaps again."""
        uid = JobId(ask.uid)
        if uid and self._answer_final(ask.request, uid):
            return
        if not uid:
            self.context.emit(UserAnswer(ask.request, 400, {"error": ask.fault}))
        elif self.jobs.get(uid) is not None:
            self._after_sync(ask.request, lambda: self._known(ask.request, uid))
        elif ask.spec is None:
            # The id may be that of an accepted job: then the answer is its state.
            self._verdict(ask.request, uid, 400, ask.fault)
        elif not self.fleet.types:
            self.refuse(ask.request, 503, 1.0, "machine types not known yet")
        else:
            problem = self._impossible(ask.spec)
            stored = fit_spec(ask.spec, self.fleet.types, self.context.limits.value_bytes)
            if problem:
                self._verdict(ask.request, uid, 422, problem)
            elif stored is None:
                self._verdict(ask.request, uid, 400, "larger than the state service can hold")
            else:
                self._create(ask.request, stored)

    def _known(self, request: int, uid: JobId) -> None:
        job = self.jobs.get(uid)
        if job is None:
            self.refuse(request)
        else:
            self._tell(request, job)

    def _verdict(self, request: int, uid: JobId, status: int, why: str) -> None:
        def then() -> None:
            if self.jobs.get(uid) is not None:
                self._known(request, uid)
            else:
                self._by_read(request, status, {"error": why})

        self._after_sync(request, then)

    def _impossible(self, spec: JobSpec) -> str | None:
        refused = self.quota.rejection_reason(Job(spec, ABSENT))
        if refused:
            return refused
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
            self.refuse(request, 503, 1.0, "no contact with the state service")
            return
        backlog = self.store.backlog
        # One team's flood must not take all the room there is from the others.
        floods = self._creating[spec.team] > max(1, self._creating.total() // 2)
        if backlog > (FAIR_BACKLOG_S if floods else MAX_BACKLOG_S):
            self.refuse(request, 429, math.ceil(backlog), "too many submissions at once")
            return
        self._creating[spec.team] += 1

        def result(outcome: CommitResult, stamp: Stamp) -> None:
            self._creating[spec.team] -= 1
            if outcome is CommitResult.OK:
                self.context.emit(UserAnswer(request, 201, job_state(uid, "queued")))
                self.tell_owner(self.shares.of_team(Team(spec.team)), SyncRequest())
            elif outcome is CommitResult.CONFLICT:
                self._after_sync(request, lambda: self._known(request, uid))
            else:
                self.refuse(request, 503, 1.0, "not stored")

        self.store.commit(
            [Condition(JOB + uid, ABSENT)],
            [Write(JOB + uid, job_value(spec, "accepted"))],
            result,
            Store.USER,
            later(self.context.now, GIVEN_UP_S),
        )

    def tell_owner(self, share: ShareNo, message: PeerMessage) -> None:
        """Send a message to the owner of the share, if another node is."""
        owner = self.shares.living_owner(share)
        if owner is not None and owner != self.context.me:
            self.context.emit(SendToPeer(owner, message))

    # --- cancellations -------------------------------------------------------------------

    def cancel(self, ask: Cancel) -> None:
        """A user cancels a job, perhaps again."""
        uid = JobId(ask.uid)
        if not UID.match(uid):
            self.context.emit(UserAnswer(ask.request, 404, {"error": "no such job"}))
        elif not self._answer_final(ask.request, uid):
            self._after_sync(ask.request, lambda: self._cancel(ask.request, uid, 3))

    def _cancel(self, request: int, uid: JobId, tries: int) -> None:
        job = self.jobs.get(uid)
        if job is None:
            self._by_read(request, 404, {"error": "no such job"})
            return
        if self._answer_final(request, uid):
            return
        share = self.shares.of_team(Team(job.spec.team))
        owner = self.shares.living_owner(share)
        if owner is None:
            # Nobody is certain to hear of it in time: a former owner may hold grants.
            self.refuse(request, 503, 1.0, "the job's share has no owner at the moment")
            return
        key = JOB + uid

        def result(outcome: CommitResult, stamp: Stamp) -> None:
            if outcome is CommitResult.OK:
                # Everybody, as the owner may have lost contact, and hold grants of any of
                # them: they pass it on with the next.
                self.context.emit(SendToPeer(None, CancellationNotice(uid)))
                self._answer_final(request, uid)
            elif outcome is CommitResult.UNKNOWN:
                # It may stand, and others may read it: they too tell it only when it is safe.
                self.refuse(request, 503, 1.0, "not known to be stored")
            elif outcome is CommitResult.CONFLICT and tries > 1:
                self._after_sync(request, lambda: self._cancel(request, uid, tries - 1))
            else:
                self.refuse(request, 503, 1.0, "not stored")

        # The owner's live key stands: it hears of this, or it loses its authority in time.
        self.store.commit(
            [Condition(key, job.stamp), self.store.expect(LIVE + owner)],
            [Write(key, final_value(job.spec, "cancelled", self.context.limits.value_bytes))],
            result,
            Store.OWNER,
            later(self.context.now, GIVEN_UP_S),
        )
