"""How many tasks of each job run, as controllers tell each other with their heartbeats.

One heartbeat holds a page of the jobs, those that changed first; further pages follow with the
next ones, round after round. So a heartbeat does not grow with the jobs, and a lost one is made up
for by the next round.
"""

from __future__ import annotations

from collections.abc import Mapping

from .ids import JobId, Member

RUNNING_PAGE = 2_000  # jobs in one heartbeat


class RunningPages:
    """The pages of this controller's counts."""

    def __init__(self, counts: Mapping[JobId, int], changed: dict[JobId, None]) -> None:
        self._counts = counts  # jobs that have any running task
        self._changed = changed  # jobs whose count changed; emptied here
        self._left: list[JobId] = []  # of the present round

    def next(self) -> tuple[bool, dict[JobId, int]]:
        """Whether a round begins, and the counts of the next page."""
        if len(self._counts) <= RUNNING_PAGE:
            self._changed.clear()
            self._left.clear()
            return True, dict(self._counts)
        begins = not self._left
        if begins:
            self._left = list(self._counts)
        page: dict[JobId, int] = {}
        # Half of the page at the most, or a round would never end while much changes.
        while self._changed and len(page) < RUNNING_PAGE // 2:
            uid, _ = self._changed.popitem()
            page[uid] = self._counts.get(uid, 0)
        while self._left and len(page) < RUNNING_PAGE:
            uid = self._left.pop()
            page[uid] = self._counts.get(uid, 0)
        return begins, page


class PeerCounts:
    """What the other controllers told."""

    def __init__(self) -> None:
        # Of each member: the round under way, and the one before it.
        self._rounds: dict[Member, tuple[dict[JobId, int], dict[JobId, int]]] = {}

    def record(self, member: Member, begins: bool, counts: dict[JobId, int]) -> None:
        """A heartbeat told of these jobs; `begins`: with it a round begins."""
        present, former = self._rounds.get(member, ({}, {}))
        if begins:
            present, former = {}, present
        present.update(counts)
        self._rounds[member] = (present, former)

    def of(self, uid: JobId) -> int:
        """How many tasks of the job run, as its owner told; it may lag."""
        for present, former in self._rounds.values():
            count = present.get(uid, former.get(uid, 0))
            if count:
                return count
        return 0
