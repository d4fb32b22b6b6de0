"""Two versions side by side: what every member has been seen to read.

A member's live key names the version of what it reads and writes; the former version's names
none. Messages are worded for the member they go to. Once every member was last seen to read some
format of stored values, the leader notes it in the store, and from then on it may be written.
"""

from __future__ import annotations

from typing import Any

from .context import Context
from .ids import Member, Stamp
from .store import CommitResult, Store
from .stored_values import FORMAT, FORMER, LIVE, FormatValue
from .types import Condition, Write

FINISHED_PARTS_VERSION = 2  # pages of finished tasks and catalogues that go on in further values
PAGED_LOADS_VERSION = 3  # load reports and running counts that tell of a part at a time
DIVISIONS_VERSION = 4  # the stored division, and requests to owners that name it
VERSION = DIVISIONS_VERSION


class Versions:
    """Who was seen with which version, and whether all read the present one."""

    def __init__(self, context: Context, store: Store) -> None:
        self.context = context
        self.store = store
        self._seen: dict[Member, int] = {}
        self._noting = False

    def live_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        """A member that is away keeps the version it was last seen with."""
        if value is None:
            return
        member, version = Member(key[len(LIVE) :]), value.version
        if version < FINISHED_PARTS_VERSION and self.all_read_parts:
            self.context.log(
                "warning",
                f"{member} came back with a former version: it starts anew what"
                " it can't read to be done",
            )
        self._seen[member] = version

    @property
    def all_read_parts(self) -> bool:
        """Has it been noted that every member reads stored values in parts?"""
        return self.store.get(FORMAT) is not None

    @property
    def all_read_divisions(self) -> bool:
        """Has it been noted that every member reads stored divisions?"""
        noted = self.store.get(FORMAT)
        return noted is not None and noted.version >= DIVISIONS_VERSION

    def reads(self, member: Member, version: int) -> bool:
        """Was the member last seen to read what that version brought?"""
        return self._seen.get(member, FORMER) >= version

    def by_member(self) -> dict[Member, int | None]:
        """None: not seen yet."""
        return {member: self._seen.get(member) for member in self.context.members}

    def record_common_version(self, guard: Condition, divided: bool) -> None:
        """By the leader: note what all read, once they do; `divided`: divisions are in use."""
        noted = self.store.get(FORMAT)
        level = self._level(divided)
        if self._noting or level <= (noted.version if noted else FORMER):
            return
        self._noting = True

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._noting = False

        # Those that live must still be the ones that were seen.
        when = [self.store.expect(LIVE + m) for m in self.context.members]
        self.store.commit(
            [guard, self.store.expect(FORMAT), *when],
            [Write(FORMAT, FormatValue(level))],
            done,
            Store.BACKGROUND,
        )

    def _level(self, divided: bool) -> int:
        """The newest format of stored values that is wanted and that every member reads."""
        wanted = (
            (FINISHED_PARTS_VERSION, DIVISIONS_VERSION) if divided else (FINISHED_PARTS_VERSION,)
        )
        read = [v for v in wanted if all(self.reads(m, v) for m in self.context.members)]
        return max(read, default=FORMER)
