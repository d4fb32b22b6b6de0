"""Who owns which share: the table of owners, taking over, giving back.

There are as many shares as nodes, and each has a home node. The stamp of `share/N` is the
ownership epoch: every write of an owner has it among its conditions.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from .authority import Authority
from .context import CLOCK_DRIFT, Context
from .ids import (
    ABSENT,
    LONG_AGO,
    Attempt,
    Incarnation,
    Instant,
    Member,
    ShareNo,
    Stamp,
    Team,
    highest_epoch,
    make_attempt,
)
from .sizes import json_size
from .store import CommitResult, Store
from .stored_values import LIVE, MAPPING, SHARE, MappingValue, ShareValue
from .types import Condition, Write

HANDBACK_AFTER_S = 6.0  # a returned home node must have been up this long
HANDBACK_AT_LAST_S = 60.0  # silent machines put it off no longer


class Holding:
    """A share that this node owns."""

    __slots__ = ("_attempts", "epoch", "giving", "number", "settled", "since")

    def __init__(self, number: ShareNo, epoch: Stamp, since: Instant) -> None:
        self.number = number
        self.epoch = epoch
        self.since = since
        self.settled = False  # every task accepted before the takeover is located
        self.giving = False  # being handed back: command nothing until that is decided
        self._attempts = 0

    def next_attempt(self) -> Attempt:
        """An attempt number that was never used before."""
        self._attempts += 1
        return make_attempt(self.epoch, self._attempts)

    def has_attempt_numbers(self, count: int, applied: Stamp) -> bool:
        """Are there attempt numbers for so many starts? Beyond the counter's bits they are
        carried into the epoch, and must not reach a revision that a later owner may get."""
        return highest_epoch(self.epoch, self._attempts + count) <= applied


class Shares:
    """The table of owners, and this node's part in it."""

    def __init__(
        self,
        context: Context,
        store: Store,
        authority: Authority,
        on_gain: Callable[[Holding], None],
        on_loss: Callable[[ShareNo], None],
    ) -> None:
        self.context = context
        self.store = store
        self.authority = authority
        self.owned: dict[ShareNo, Holding] = {}
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._taking: set[ShareNo] = set()
        self._former: dict[ShareNo, Member] = {}  # whose shares are being taken over
        self._dealt: dict[Team, ShareNo] = {}
        self._gone_since: dict[ShareNo, Instant] = {}
        self._home_since: dict[Member, tuple[Incarnation, Instant]] = {}
        self.team_order: Callable[[int], list[str]] = lambda shares: []  # set by the node
        self.all_heard: Callable[[ShareNo], bool] = lambda share: True  # set by the node
        store.listen(SHARE, self._changed)
        store.listen(MAPPING, self._mapping_changed)

    def all(self) -> list[ShareNo]:
        """The numbers of all shares."""
        return [ShareNo(n) for n in range(len(self.context.members))]

    # --- teams to shares -----------------------------------------------------------------

    def of_team(self, team: Team) -> ShareNo:
        """The names in the store were dealt round the shares: evenly, where a hash of few
        names leaves some shares with many and some with none. Any other name is hashed."""
        share = self._dealt.get(team)
        return (
            ShareNo(zlib.crc32(team.encode()) % len(self.context.members))
            if share is None
            else share
        )

    def _mapping_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        names = value.dealt if value else ()
        self._dealt = {
            Team(str(name)): ShareNo(n % len(self.context.members)) for n, name in enumerate(names)
        }

    def _mapping(self) -> tuple[list[Condition], list[Write]]:
        """Conditions and change with which the first share taken fixes the dealing: a team
        must have one share only, whatever settings a node was started with later. A store
        whose shares were taken without one goes on with hashes."""
        if self.store.get(MAPPING) is not None:
            return [self.store.expect(MAPPING)], []
        if any(self.owner(share) is not None for share in self.all()):
            return [Condition(MAPPING, ABSENT)], []
        names = self.team_order(len(self.context.members)) or sorted(
            team.name for team in self.context.platform.settings.teams
        )
        if json_size(MappingValue(names)) > self.context.limits.value_bytes:
            names = []  # more than a value holds: hashes for all
        return [Condition(MAPPING, ABSENT)], [Write(MAPPING, MappingValue(names))]

    # --- owners --------------------------------------------------------------------------

    def key(self, share: ShareNo) -> str:
        """The stored key of the share."""
        return f"{SHARE}{share}"

    def owner(self, share: ShareNo) -> tuple[Member, Incarnation] | None:
        """The member and incarnation that owns the share, whether it lives or not."""
        value = self.store.get(self.key(share))
        return (value.owner, value.incarnation) if value else None

    def living_owner(self, share: ShareNo) -> Member | None:
        """The owner, if its lease stands."""
        owner = self.owner(share)
        if owner and self.authority.live_incarnation(owner[0]) == owner[1]:
            return owner[0]
        return None

    def live_since(self, member: Member) -> Instant:
        """When the member's present process was first seen to have a lease."""
        return self._home_since.get(member, (None, LONG_AGO))[1]

    def guard(self, share: ShareNo) -> Condition:
        """The condition that makes a late transaction of a former owner fail."""
        return Condition(self.key(share), self.owned[share].epoch)

    def may_command(self, share: ShareNo) -> bool:
        """May this node command the share's machines now?"""
        holding = self.owned.get(share)
        # Its transaction succeeded before this node had read everything up to it: what was
        # cancelled until then must be known before anything is answered or commanded.
        return (
            holding is not None
            and not holding.giving
            and self.store.applied >= holding.epoch
            and self.authority.entitled()
        )

    # --- gaining and losing --------------------------------------------------------------

    def _changed(self, key: str, value: Any, stamp: Stamp) -> None:
        share = ShareNo(int(key[len(SHARE) :]))
        holding = self.owned.get(share)
        ours = (
            value is not None
            and value.owner == self.context.me
            and value.incarnation == self.authority.incarnation
            and self.authority.live
        )
        if holding is not None and (not ours or stamp > holding.epoch):
            del self.owned[share]
            self.context.log("info", f"share {share} lost at epoch {stamp}")
            self._on_loss(share)
            holding = None
        if ours and holding is None:
            holding = Holding(share, stamp, self.context.now)
            self.owned[share] = holding
            former = self._former.pop(share, None)
            taken = f", taken over from {former}, whose lease ended" if former else ""
            self.context.log("info", f"share {share} owned, epoch {stamp}{taken}")
            self._on_gain(holding)
            if self.store.applied < stamp:
                self.store.sync()

    def drop_all(self) -> None:
        """Authority is lost: nothing is owned any more."""
        for share in list(self.owned):
            del self.owned[share]
            self._on_loss(share)
        self._taking.clear()

    def _take(self, share: ShareNo, conditions: list[Condition]) -> None:
        if share in self._taking:
            return
        self._taking.add(share)
        key = self.key(share)
        fixed, fixing = self._mapping()
        when = [
            *fixed,
            self.store.expect(key),
            self.store.expect(LIVE + self.context.me),
            *conditions,
        ]
        value = ShareValue(self.context.me, self.authority.incarnation)
        self.store.commit(
            when,
            [*fixing, Write(key, value)],
            lambda result, stamp: self._taking.discard(share),
            Store.URGENT,
        )

    def tick(self) -> None:
        """Take over what has no owner, and hand back what has its home node again."""
        if not self.authority.live or self.context.now >= self.authority.until:
            return
        for member in self.context.members:
            incarnation = self.authority.live_incarnation(member)
            if incarnation is None:
                self._home_since.pop(member, None)
            elif self._home_since.get(member, (None,))[0] != incarnation:
                self._home_since[member] = (incarnation, self.context.now)
        for share in self.all():
            if share not in self.owned:
                self._consider(share)
            else:
                self._consider_handback(share)

    def _consider(self, share: ShareNo) -> None:
        owner = self.owner(share)
        home = self.context.home(share)
        now = self.context.now
        if owner is None:
            # Never owned: its home takes it at once, anybody after a while.
            waited = now - self._gone_since.setdefault(share, now)
            if home == self.context.me or (
                waited > 3 and self.authority.live_incarnation(home) is None
            ):
                self._take(share, [])
            return
        member, incarnation = owner
        if member == self.context.me:
            # The process that wrote this under our name is dead, or it was this one before
            # it lost its lease: no waiting.
            if incarnation != self.authority.incarnation:
                self._take(share, [])
            return
        standing = self.authority.live_incarnation(member)
        if standing is not None:
            self._gone_since.pop(share, None)
            return
        since = self._gone_since.setdefault(share, now)
        self.authority.saw_end(member, incarnation)
        if not self.authority.attests(self.context.me, incarnation):
            return
        others = [
            m
            for m in self.context.members
            if m not in (self.context.me, member) and self.authority.attests(m, incarnation)
        ]
        if 1 + len(others) < self.context.majority:
            return
        if now - since < 0.3 * self._turn(share, member):
            return
        self._former[share] = member
        conditions = [Condition(LIVE + member, ABSENT)]
        conditions += [self.store.expect(LIVE + m) for m in others]
        self._take(share, conditions)

    def _turn(self, share: ShareNo, dead: Member) -> int:
        """Order in which living nodes try, so that the load of a dead one is shared out."""
        living = [m for m in self.authority.live_members() if m != dead]
        if not living:
            return 0
        load = {m: 0 for m in living}
        for other in self.all():
            owner = self.living_owner(other)
            if owner in load:
                load[owner] += 1
        ranked = sorted(living, key=lambda m: (load[m], m == self.context.home(share), m))
        return ranked.index(self.context.me) if self.context.me in ranked else 0

    def _consider_handback(self, share: ShareNo) -> None:
        holding = self.owned[share]
        home = self.context.home(share)
        if home == self.context.me or holding.giving or not holding.settled:
            return
        incarnation, since = self._home_since.get(home, (None, self.context.now))
        if incarnation is None or self.context.now - since < HANDBACK_AFTER_S * (1 + CLOCK_DRIFT):
            return
        if self.context.now - holding.since < HANDBACK_AFTER_S:
            return
        # Whoever takes it must locate its tasks anew, and would wait for each silent machine.
        if not self.all_heard(share) and self.context.now - holding.since < HANDBACK_AT_LAST_S:
            return
        # From here until the answer nothing is commanded: once stored, the other commands.
        holding.giving = True
        self.context.log("info", f"share {share} handed back to {home}")

        def done(result: CommitResult, stamp: Stamp) -> None:
            if result in (CommitResult.CONFLICT, CommitResult.REFUSED):
                holding.giving = False
            elif result is CommitResult.UNKNOWN:
                self._settle_unknown(holding)

        self.store.commit(
            [self.guard(share), self.store.expect(LIVE + home)],
            [Write(self.key(share), ShareValue(home, incarnation))],
            done,
        )

    def _settle_unknown(self, holding: Holding) -> None:
        """The hand-back may yet be applied: write the share anew, so that it can't."""

        def done(result: CommitResult, stamp: Stamp) -> None:
            if (
                result in (CommitResult.UNKNOWN, CommitResult.REFUSED)
                and holding.number in self.owned
            ):
                self._settle_unknown(holding)

        if self.owned.get(holding.number) is holding:
            value = ShareValue(self.context.me, self.authority.incarnation)
            self.store.commit(
                [self.guard(holding.number)], [Write(self.key(holding.number), value)], done
            )
