"""Finished tasks on their way into the state service."""

from __future__ import annotations

from typing import Any

from .context import Context
from .ids import Instant, JobId, Stamp
from .jobs import PAGE_BITS, job_value
from .shares import Shares
from .store import DONE, JOB, Store
from .work import Work

FLUSH_GAP_S = 1.0  # between two stored changes of one job that do not complete it
RETRY_STORE_S = 0.3  # after a change that was not stored


class Finishes:
    def __init__(self, cx: Context, store: Store, shares: Shares) -> None:
        self.cx = cx
        self.store = store
        self.shares = shares
        self._unstored: dict[JobId, Work] = {}

    def add(self, work: Work, number: int) -> None:
        work.finished |= 1 << number
        self._unstored[work.job.uid] = work

    def drop(self, uid: JobId) -> None:
        self._unstored.pop(uid, None)

    def flush(self) -> None:
        now = self.cx.now
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
        job = work.job
        bits = work.finished
        work.flushing = True
        work.flushed_at = self.cx.now
        first = (bits & -bits).bit_length() - 1
        key = JOB + job.uid
        when = [self.shares.guard(work.share), (key, int(job.stamp))]
        then: list[tuple[str, Any, int | None]] = []
        if complete:  # says of every task that it is done: no page need say it too
            then.append((key, job_value(job.spec, "done"), None))
        else:
            for n in range(first // PAGE_BITS, (bits.bit_length() - 1) // PAGE_BITS + 1):
                if bits >> (n * PAGE_BITS) & ((1 << PAGE_BITS) - 1):
                    page = f"{DONE}{job.uid}/{n}"
                    # A change without an answer may be carried out after newer ones, and would
                    # take back what they stored: the page's version makes it fail.
                    when.append((page, int(self.store.stamp(page))))
                    then.append((page, job.page(n, bits), None))

        def done(result: str, stamp: Stamp) -> None:
            work.flushing = False
            if result == "ok":
                work.finished &= ~bits
                if not work.finished and self._unstored.get(job.uid) is work:
                    del self._unstored[job.uid]
            else:
                work.retry_at = Instant(self.cx.now + RETRY_STORE_S)

        self.store.commit(when, then, done)
