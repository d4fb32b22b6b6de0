"""Counts of each job's running tasks, which controllers exchange with their heartbeats.

A heartbeat holds one page of jobs, recently changed ones first; the next heartbeats hold the
following pages. One pass over all jobs is a round, and rounds are repeated. So a heartbeat's size
is bounded whatever the number of jobs, and the next round makes up for a lost heartbeat.
"""

from __future__ import annotations

from collections.abc import Mapping

from .ids import JobId, Member

RUNNING_PAGE = 2_000  # jobs in one heartbeat


class RunningPages:
    """Splits this controller's counts of running tasks into the pages of its heartbeats."""

    def __init__(self, counts: Mapping[JobId, int], changed: dict[JobId, None]) -> None:
        self._counts = counts  # running tasks by job, for jobs that have any
        self._changed = changed  # jobs whose count changed; emptied here
        self._remaining: list[JobId] = []  # jobs that the present round has not sent yet

    def next(self) -> tuple[bool, dict[JobId, int]]:
        """Returns whether a round begins, and the counts of the next page."""
        if len(self._counts) <= RUNNING_PAGE:
            self._changed.clear()
            self._remaining.clear()
            return True, dict(self._counts)
        begins = not self._remaining
        if begins:
            self._remaining = list(self._counts)
        page: dict[JobId, int] = {}
        # Changed jobs take at most half of a page, or a round might never end while many change.
        while self._changed and len(page) < RUNNING_PAGE // 2:
            uid, _ = self._changed.popitem()
            page[uid] = self._counts.get(uid, 0)
        while self._remaining and len(page) < RUNNING_PAGE:
            uid = self._remaining.pop()
            page[uid] = self._counts.get(uid, 0)
        return begins, page


class PeerCounts:
    """The counts of running tasks received from the other controllers."""

    def __init__(self) -> None:
        # Of each member: the counts of the present round and of the previous one.
        self._rounds: dict[Member, tuple[dict[JobId, int], dict[JobId, int]]] = {}

    def record(self, member: Member, begins: bool, counts: dict[JobId, int]) -> None:
        """Records the counts of a heartbeat; `begins` states whether it begins a round."""
        present, previous = self._rounds.get(member, ({}, {}))
        if begins:
            present, previous = {}, present
        present.update(counts)
        self._rounds[member] = (present, previous)

    def of(self, uid: JobId) -> int:
        """Returns the number of running tasks of the job as last reported by the controller that
        owns it; it may be out of date."""
        for present, previous in self._rounds.values():
            count = present.get(uid, previous.get(uid, 0))
            if count:
                return count
        return 0
