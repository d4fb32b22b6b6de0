"""Versions of stored formats and messages, for members of different versions side by side.

A member's live key names the version that it reads and writes; that of the first version names
none. Messages are encoded for the version of the member they go to. Once the last known version of
every member reads a format of stored values, the leader records that version in the store, and from
then on the format may be written.
"""

from __future__ import annotations

from typing import Any

from .context import Context
from .ids import Member, Stamp
from .store import CommitResult, Store
from .stored_values import FIRST_VERSION, FORMAT, LIVE, FormatValue
from .types import Condition, Write

FINISHED_PARTS_VERSION = 2  # finished tasks and catalogues split into several stored values
PAGED_LOADS_VERSION = 3  # load reports and running counts sent in parts
DIVISIONS_VERSION = 4  # stored limits of organisations, and requests to owners by them
VERSION = DIVISIONS_VERSION


class Versions:
    """The last known version of each member, and the formats that all members read."""

    def __init__(self, context: Context, store: Store) -> None:
        self.context = context
        self.store = store
        self._last_known: dict[Member, int] = {}
        self._recording = False

    def live_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        """Records the version of a member; a member without a live key keeps its last one."""
        if value is None:
            return
        member, version = Member(key[len(LIVE) :]), value.version
        if version < FINISHED_PARTS_VERSION and self.all_read_parts:
            self.context.log(
                "warning",
                f"{member} came back with a former version: it starts finished"
                " tasks again whose completion it cannot read",
            )
        self._last_known[member] = version

    @property
    def all_read_parts(self) -> bool:
        """Returns whether it is recorded that every member reads finished tasks that are split into
        several stored values."""
        return self.store.get(FORMAT) is not None

    @property
    def all_read_divisions(self) -> bool:
        """Returns whether it is recorded that every member reads stored divisions."""
        recorded = self.store.get(FORMAT)
        return recorded is not None and recorded.version >= DIVISIONS_VERSION

    def reads(self, member: Member, version: int) -> bool:
        """Returns whether the member's last known version is at least `version`."""
        return self._last_known.get(member, FIRST_VERSION) >= version

    def by_member(self) -> dict[Member, int | None]:
        """Returns the last known version of each member; None: not known yet."""
        return {member: self._last_known.get(member) for member in self.context.members}

    def record_common_version(self, guard: Condition, with_divisions: bool) -> None:
        """Records, on the leader, the newest version that all members read.

        `with_divisions`: whether divisions are in use.
        """
        recorded = self.store.get(FORMAT)
        version = self._common_version(with_divisions)
        if self._recording or version <= (recorded.version if recorded else FIRST_VERSION):
            return
        self._recording = True

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._recording = False

        # The live members must still be the processes whose versions are known.
        when = [self.store.expect(LIVE + m) for m in self.context.members]
        self.store.commit(
            [guard, self.store.expect(FORMAT), *when],
            [Write(FORMAT, FormatValue(version))],
            done,
            Store.BACKGROUND,
        )

    def _common_version(self, with_divisions: bool) -> int:
        """Returns the newest version of stored formats in use that every member reads."""
        wanted = (
            (FINISHED_PARTS_VERSION, DIVISIONS_VERSION)
            if with_divisions
            else (FINISHED_PARTS_VERSION,)
        )
        readable = [v for v in wanted if all(self.reads(m, v) for m in self.context.members)]
        return max(readable, default=FIRST_VERSION)
