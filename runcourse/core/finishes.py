"""Finished tasks on their way into the state service."""

from __future__ import annotations

import heapq

from .context import Context
from .ids import FAR_FUTURE, Instant, JobId, Stamp, later
from .jobs import DONE, JOB, PAGE_BITS, PART, PART_BITS, Job, PageValue, final_value
from .shares import Shares
from .sizes import json_size
from .store import CommitResult, Store
from .stored_values import FORMAT
from .types import Condition, Write
from .work import Work

FLUSH_GAP_S = 1.0  # between two stored changes of one job that do not complete it, at the least
FLUSH_PART = 0.5  # of the rate of changes, that those take at the most
RETRY_STORE_S = 0.3  # after a change that was not stored
LOOK_AGAIN_S = 0.05  # while this node may not act for the share
RETRY_REJECTED_S = 5.0  # after one that was too large


class Finishes:
    """Stores finished tasks, many in one change."""

    def __init__(self, context: Context, store: Store, shares: Shares) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self._unstored: dict[JobId, Work] = {}
        self._due: list[tuple[Instant, JobId]] = []  # heap of when to look at which job again
        self._due_at: dict[JobId, Instant] = {}  # the one entry of each job that counts
        self._small = False  # a page was too large for the state service

    def add(self, work: Work, number: int) -> None:
        """The task is finished and not stored yet."""
        work.finished |= 1 << number
        self._unstored[work.job.uid] = work
        self._schedule(work)

    def drop(self, uid: JobId) -> None:
        """The job needs no more stores from here."""
        self._unstored.pop(uid, None)
        self._due_at.pop(uid, None)

    def _schedule(self, work: Work) -> None:
        """Look at the job when its next change is due; at once if it completes the job."""
        if work.flushing:
            return  # scheduled when that is answered
        at = work.retry_at
        if not self._complete(work):
            at = max(at, later(work.flushed_at, self._gap_s()))
        self._look_at(work.job.uid, at)

    def _gap_s(self) -> float:
        """Many jobs at once store their finishes less often, or nothing else could be stored. What
        waits holds no room, and the workers still list it."""
        return max(FLUSH_GAP_S, len(self._unstored) / (FLUSH_PART * self.store.max_changes(1.0)))

    def _look_at(self, uid: JobId, at: Instant) -> None:
        if at < self._due_at.get(uid, FAR_FUTURE):
            self._due_at[uid] = at
            heapq.heappush(self._due, (at, uid))

    @staticmethod
    def _complete(work: Work) -> bool:
        """Are all tasks of the job finished?"""
        return (work.job.done_bits | work.finished).bit_count() >= work.job.spec.tasks

    def flush(self) -> None:
        """Store what is due."""
        now = self.context.now
        while self._due and self._due[0][0] <= now:
            at, uid = heapq.heappop(self._due)
            if self._due_at.get(uid) != at:
                continue
            del self._due_at[uid]
            work = self._unstored.get(uid)
            if work is None or work.flushing:
                continue
            if self.shares.may_command(work.share):
                self.store_finished(work, self._complete(work))
            else:
                self._look_at(uid, later(now, LOOK_AGAIN_S))

    def store_finished(self, work: Work, complete: bool) -> None:
        """Store finished tasks of the job; `complete`: all of them are."""
        job = work.job
        bits = work.finished
        work.flushing = True
        work.flushed_at = self.context.now
        key = JOB + job.uid
        when = [self.shares.guard(work.share), Condition(key, job.stamp)]
        then: list[Write] = []
        if complete:  # says of every task that it is done: no page need say it too
            then.append(Write(key, final_value(job.spec, "done", self.context.limits.value_bytes)))
        else:
            bits = self._pages(job, bits, when, then)

        def done(result: CommitResult, stamp: Stamp) -> None:
            work.flushing = False
            if result is CommitResult.OK:
                work.finished &= ~bits
                if not work.finished and self._unstored.get(job.uid) is work:
                    del self._unstored[job.uid]
            elif result is CommitResult.REJECTED:
                self._small = True
                work.retry_at = Instant(self.context.now + RETRY_REJECTED_S)
            else:
                work.retry_at = Instant(self.context.now + RETRY_STORE_S)
            if self._unstored.get(job.uid) is work:
                self._schedule(work)

        self.store.commit(when, then, done)

    def _pages(
        self,
        job: Job,
        bits: int,
        when: list[Condition],
        then: list[Write],
    ) -> int:
        """Adds what stores these finishes, as many as go into a transaction; returns which. Pages
        that grow too large go on in parts: what a page holds already stays where it is."""
        stored = 0
        n = 0
        while bits >> (n * PAGE_BITS):
            start = n * PAGE_BITS
            here = bits & (((1 << PAGE_BITS) - 1) << start)
            n += 1
            if not here:
                continue
            value = job.page(n - 1, here)
            if not self._in_parts(value):
                pieces = [(f"{DONE}{job.uid}/{n - 1}", value, here)]
            else:
                pieces = []
                for k in range(start // PART_BITS, (start + PAGE_BITS) // PART_BITS):
                    part = here & (((1 << PART_BITS) - 1) << (k * PART_BITS))
                    if part:
                        pieces.append((f"{PART}{job.uid}/{k}", job.page(k, part, PART_BITS), part))
            for page, value, part in pieces:
                if len(then) >= self.context.limits.txn_ops:
                    return stored
                # A change without an answer may be carried out after newer ones, and would
                # take back what they stored: the page's version makes it fail.
                when.append(self.store.expect(page))
                then.append(Write(page, value))
                stored |= part
        return stored

    def _in_parts(self, page: PageValue) -> bool:
        """The former version reads no parts, and would start anew what they say is done: while it
        may be there, pages are as large as the state service takes."""
        size = json_size(page)
        if size <= self.context.limits.value_bytes:
            return False
        most = self.context.platform.settings.state.value_kb * 1024
        return self._small or size > most or self.store.get(FORMAT) is not None
