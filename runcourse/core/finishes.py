"""Storing of finished tasks in the state service."""

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

# Minimum time between two writes of one job's finished tasks, except the write that completes it.
FLUSH_GAP_S = 1.0
# Part of this node's write rate for writes of finished tasks that do not complete their job.
FLUSH_RATE_FRACTION = 0.5
RETRY_STORE_S = 0.3  # wait after a write that was not carried out, or not known to be
RECHECK_S = 0.05  # wait before the next try, if this node may not command the share's machines
RETRY_REJECTED_S = 5.0  # wait after the state service rejected a change as too large
BYTES_PER_KB = 1024


class Finishes:
    """Stores finished tasks, several of a job in one change."""

    def __init__(self, context: Context, store: Store, shares: Shares) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self._unstored: dict[JobId, Work] = {}
        self._due: list[tuple[Instant, JobId]] = []  # heap of the times at which jobs are due
        self._due_at: dict[JobId, Instant] = {}  # the valid entry of each job in `_due`
        self._page_rejected = False  # the state service rejected a change as too large

    def add(self, work: Work, number: int) -> None:
        """Records a finished task that is not stored yet."""
        work.unstored_done_bits |= 1 << number
        self._unstored[work.job.uid] = work
        self._schedule(work)

    def drop(self, uid: JobId) -> None:
        """Forgets a job whose finished tasks this node no longer stores."""
        self._unstored.pop(uid, None)
        self._due_at.pop(uid, None)

    def _schedule(self, work: Work) -> None:
        """Schedules the job's next change; at once if it completes the job."""
        if work.flushing:
            return  # scheduled when the pending change is answered
        at = work.flush_retry_at
        if not self._is_complete(work):
            at = max(at, later(work.flushed_at, self._gap_s()))
        self._schedule_at(work.job.uid, at)

    def _gap_s(self) -> float:
        """Returns the minimum seconds between two changes of one job.

        It grows with the number of jobs, so that other changes can be stored too. Finished tasks
        that wait to be stored hold no resources, and their workers still list them.
        """
        return max(
            FLUSH_GAP_S, len(self._unstored) / (FLUSH_RATE_FRACTION * self.store.max_changes(1.0))
        )

    def _schedule_at(self, uid: JobId, at: Instant) -> None:
        if at < self._due_at.get(uid, FAR_FUTURE):
            self._due_at[uid] = at
            heapq.heappush(self._due, (at, uid))

    @staticmethod
    def _is_complete(work: Work) -> bool:
        """Returns whether all tasks of the job are finished."""
        return (work.job.done_bits | work.unstored_done_bits).bit_count() >= work.job.spec.tasks

    def flush(self) -> None:
        """Stores the finished tasks of jobs that are due."""
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
                self.store_finished(work, self._is_complete(work))
            else:
                self._schedule_at(uid, later(now, RECHECK_S))

    def store_finished(self, work: Work, complete: bool) -> None:
        """Stores finished tasks of the job; `complete`: all of its tasks are finished."""
        job = work.job
        bits = work.unstored_done_bits
        work.flushing = True
        work.flushed_at = self.context.now
        key = JOB + job.uid
        when = [self.shares.guard(work.share), Condition(key, job.stamp)]
        then: list[Write] = []
        if complete:  # the stage covers every task, so no pages are needed
            then.append(Write(key, final_value(job.spec, "done", self.context.limits.value_bytes)))
        else:
            bits = self._add_pages(job, bits, when, then)

        def done(result: CommitResult, stamp: Stamp) -> None:
            work.flushing = False
            if result is CommitResult.OK:
                work.unstored_done_bits &= ~bits
                if not work.unstored_done_bits and self._unstored.get(job.uid) is work:
                    del self._unstored[job.uid]
            elif result is CommitResult.REJECTED:
                self._page_rejected = True
                work.flush_retry_at = Instant(self.context.now + RETRY_REJECTED_S)
            else:
                work.flush_retry_at = Instant(self.context.now + RETRY_STORE_S)
            if self._unstored.get(job.uid) is work:
                self._schedule(work)

        self.store.commit(when, then, done)

    def _add_pages(
        self,
        job: Job,
        bits: int,
        when: list[Condition],
        then: list[Write],
    ) -> int:
        """Adds the conditions and writes that store finished tasks, as many as fit a transaction.

        Returns the bits of the tasks that they store. A page that grows too large is continued in
        parts; tasks that are stored in the page already stay there.
        """
        stored = 0
        number = 0
        while bits >> (number * PAGE_BITS):
            start = number * PAGE_BITS
            page_bits = bits & (((1 << PAGE_BITS) - 1) << start)
            number += 1
            if not page_bits:
                continue
            value = job.page(number - 1, page_bits)
            if not self._needs_parts(value):
                pieces = [(f"{DONE}{job.uid}/{number - 1}", value, page_bits)]
            else:
                pieces = []
                for index in range(start // PART_BITS, (start + PAGE_BITS) // PART_BITS):
                    part_bits = page_bits & (((1 << PART_BITS) - 1) << (index * PART_BITS))
                    if part_bits:
                        pieces.append(
                            (
                                f"{PART}{job.uid}/{index}",
                                job.page(index, part_bits, PART_BITS),
                                part_bits,
                            )
                        )
            for page, value, part_bits in pieces:
                if len(then) >= self.context.limits.txn_ops:
                    return stored
                # A change without an answer may be carried out after newer ones and would undo
                # them: the condition on the page's stamp makes it fail.
                when.append(self.store.expect(page))
                then.append(Write(page, value))
                stored |= part_bits
        return stored

    def _needs_parts(self, page: PageValue) -> bool:
        """Returns whether a page must be stored in parts.

        The former version reads no parts, and would start the tasks again that are finished in
        them. While a member may run it, pages are as large as the state service accepts.
        """
        size = json_size(page)
        if size <= self.context.limits.value_bytes:
            return False
        max_bytes = self.context.platform.settings.state.value_kb * BYTES_PER_KB
        return self._page_rejected or size > max_bytes or self.store.get(FORMAT) is not None
