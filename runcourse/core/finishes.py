"""Finished tasks on their way into the state service."""

from __future__ import annotations

from .context import Context
from .ids import Instant, JobId, Stamp
from .jobs import DONE, JOB, PAGE_BITS, PART, PART_BITS, Job, PageValue, final_value
from .shares import Shares
from .sizes import json_size
from .store import CommitResult, Store
from .stored_values import FORMAT
from .types import Condition, Write
from .work import Work

FLUSH_GAP_S = 1.0  # between two stored changes of one job that do not complete it
RETRY_STORE_S = 0.3  # after a change that was not stored
RETRY_REJECTED_S = 5.0  # after one that was too large


class Finishes:
    """Stores finished tasks, many in one change."""

    def __init__(self, context: Context, store: Store, shares: Shares) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self._unstored: dict[JobId, Work] = {}
        self._small = False  # a page was too large for the state service

    def add(self, work: Work, number: int) -> None:
        """The task is finished and not stored yet."""
        work.finished |= 1 << number
        self._unstored[work.job.uid] = work

    def drop(self, uid: JobId) -> None:
        """The job needs no more stores from here."""
        self._unstored.pop(uid, None)

    def flush(self) -> None:
        """Store what is due."""
        now = self.context.now
        for work in list(self._unstored.values()):
            if work.flushing or now < work.retry_at:
                continue
            job = work.job
            complete = (job.done_bits | work.finished).bit_count() >= job.spec.tasks
            if not complete and now < work.flushed_at + FLUSH_GAP_S:
                continue
            if not self.shares.may_command(work.share):
                continue
            self.store_some(work, complete)

    def store_some(self, work: Work, complete: bool) -> None:
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
