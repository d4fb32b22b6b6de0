"""Election of the leader: it holds the leader key of the store, which expires with its lease."""

from __future__ import annotations

from ..authority import Authority
from ..context import Context
from ..ids import ABSENT, Stamp
from ..store import CommitResult, Store
from ..stored_values import LEADER, LeaderValue
from ..types import Condition, Write


class Leadership:
    """Claims the leader key if no node holds it, and reads which node holds it."""

    def __init__(self, context: Context, store: Store, authority: Authority) -> None:
        self.context = context
        self.store = store
        self.authority = authority
        self._claiming = False

    @property
    def leading(self) -> bool:
        """Whether this node may act as the leader now."""
        value = self.store.get(LEADER)
        return (
            bool(value)
            and value.incarnation == self.authority.incarnation
            and self.authority.live
            and self.context.now < self.authority.until
        )

    def leader(self) -> str | None:
        """Returns the member that leads, if any."""
        value = self.store.get(LEADER)
        return str(value.member) if value else None

    def claim(self) -> None:
        """Tries to become the leader if there is none."""
        if (
            self._claiming
            or not self.authority.live
            or self.authority.lease is None
            or self.store.get(LEADER)
            or self.context.now >= self.authority.until
        ):
            return
        self._claiming = True

        def done(result: CommitResult, stamp: Stamp) -> None:
            self._claiming = False

        self.store.commit(
            [Condition(LEADER, ABSENT)],
            [
                Write(
                    LEADER,
                    LeaderValue(self.context.me, self.authority.incarnation),
                    self.authority.lease,
                )
            ],
            done,
            Store.URGENT,
        )

    def guard(self) -> Condition:
        """Returns the condition that the leader key is unchanged, so that a former leader's late
        changes fail."""
        return self.store.expect(LEADER)
