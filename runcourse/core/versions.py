"""Two versions side by side: what every member has been seen to read.

A member's live key names the version of what it reads and writes; the former version's names
none. Messages are worded for the member they go to. Once every member was last seen to read stored
values in parts, the leader notes it in the store, and from then on they may be written.
"""

from __future__ import annotations

from typing import Any

from .context import Context
from .ids import ABSENT, Member, Stamp
from .store import CommitResult, Store
from .stored_values import FORMAT, FORMER, LIVE, FormatValue
from .types import Condition, Write

PARTS_OF_FINISHES = 2  # pages of finished tasks and catalogues that go on in further values
LOADS_IN_PAGES = 3  # load reports and running counts that tell of a part at a time
VERSION = LOADS_IN_PAGES


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
        if version < PARTS_OF_FINISHES and self.all_read:
            self.context.log(
                "warning",
                f"{member} came back with a former version: it starts anew what"
                " it can't read to be done",
            )
        self._seen[member] = version

    @property
    def all_read(self) -> bool:
        """Has it been noted that every member reads stored values in parts?"""
        return self.store.get(FORMAT) is not None

    def reads(self, member: Member, version: int) -> bool:
        """Was the member last seen to read what that version brought?"""
        return self._seen.get(member, FORMER) >= version

    def seen(self) -> dict[Member, int | None]:
        """None: not seen yet."""
        return {member: self._seen.get(member) for member in self.context.members}

    def note(self, guard: Condition) -> None:
        """By the leader: note that all read stored values in parts, once they do."""
        if (
            self._noting
            or self.all_read
            or not all(self.reads(m, PARTS_OF_FINISHES) for m in self.context.members)
        ):
            return
        self._noting = True

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._noting = False

        # Those that live must still be the ones that were seen.
        when = [self.store.expect(LIVE + m) for m in self.context.members]
        self.store.commit(
            [guard, Condition(FORMAT, ABSENT), *when],
            [Write(FORMAT, FormatValue(PARTS_OF_FINISHES))],
            done,
            Store.LATER,
        )
