"""Ownership of shares: the table of owners, takeover and handover.

A share is a part of the fleet and the teams whose jobs run there; the node that owns it commands
its machines. There are as many shares as nodes, and each has a home node. The stamp of `share/N`
is the ownership epoch: every write of an owner has it among its conditions.
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

# A share is handed back to its home node once that node has been up, and this one has owned the
# share, for this long.
HANDBACK_AFTER_S = 6.0
HANDBACK_DEADLINE_S = 60.0  # after a takeover; then unreachable machines delay no handback
TAKE_UNOWNED_AFTER_S = 3  # then other nodes take a share that its home node never took
TAKEOVER_STAGGER_S = 0.3  # delay of a takeover for each live node that may try it earlier


class OwnedShare:
    """A share that this node owns."""

    __slots__ = ("_attempts", "epoch", "handing_back", "number", "settled", "since")

    def __init__(self, number: ShareNo, epoch: Stamp, since: Instant) -> None:
        self.number = number
        self.epoch = epoch
        self.since = since
        self.settled = False  # no machine can hold an earlier owner's task unknown here
        # Whether its return to the home node is being stored; its machines then get no commands.
        self.handing_back = False
        self._attempts = 0

    def next_attempt(self) -> Attempt:
        """Returns an attempt number that was never used before."""
        self._attempts += 1
        return make_attempt(self.epoch, self._attempts)

    def has_attempt_numbers(self, count: int, applied: Stamp) -> bool:
        """Returns whether attempt numbers remain for `count` starts.

        An attempt number is the share's epoch (the store revision at which this node took it) and
        a counter. A counter that overflows raises the epoch; it may rise only to a revision that
        exists already, since a later owner gets a later one.
        """
        return highest_epoch(self.epoch, self._attempts + count) <= applied


class Shares:
    """The table of the shares' owners, and this node's takeovers and handbacks of shares."""

    def __init__(
        self,
        context: Context,
        store: Store,
        authority: Authority,
        on_gain: Callable[[OwnedShare], None],
        on_loss: Callable[[ShareNo], None],
    ) -> None:
        self.context = context
        self.store = store
        self.authority = authority
        self.owned: dict[ShareNo, OwnedShare] = {}
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._takeovers_pending: set[ShareNo] = set()  # requested, not answered yet
        self._former_owner: dict[ShareNo, Member] = {}  # by share that this node takes over
        self._share_by_team: dict[Team, ShareNo] = {}
        self._ownerless_since: dict[ShareNo, Instant] = {}
        self._live_since: dict[Member, tuple[Incarnation, Instant]] = {}
        # Set by the node. `team_order` returns the teams in the order in which they are assigned to
        # the given number of shares; empty: the order of their names. `all_machines_reachable`
        # returns whether all machines of a share that ever came up report and are reachable.
        self.team_order: Callable[[int], list[str]] = lambda shares: []
        self.all_machines_reachable: Callable[[ShareNo], bool] = lambda share: True
        store.listen(SHARE, self._changed)
        store.listen(MAPPING, self._mapping_changed)

    def all(self) -> list[ShareNo]:
        """Returns the numbers of all shares."""
        return [ShareNo(n) for n in range(len(self.context.members))]

    # --- assignment of teams to shares ---------------------------------------------------

    def of_team(self, team: Team) -> ShareNo:
        """Returns the share of a team.

        Teams named in the stored mapping are assigned to the shares in turn. This is even, where
        a hash of few names leaves some shares with many teams and some with none. All other names
        are hashed.
        """
        share = self._share_by_team.get(team)
        return (
            ShareNo(zlib.crc32(team.encode()) % len(self.context.members))
            if share is None
            else share
        )

    def _mapping_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        names = value.dealt if value else ()
        self._share_by_team = {
            Team(str(name)): ShareNo(n % len(self.context.members)) for n, name in enumerate(names)
        }

    def _mapping(self) -> tuple[list[Condition], list[Write]]:
        """Returns the conditions and writes that store the mapping with the first share taken.

        A team must have one share only, whatever settings a node is started with later. A store
        whose shares were taken without a mapping keeps to hashes.
        """
        if self.store.get(MAPPING) is not None:
            return [self.store.expect(MAPPING)], []
        if any(self.owner(share) is not None for share in self.all()):
            return [Condition(MAPPING, ABSENT)], []
        names = self.team_order(len(self.context.members)) or sorted(
            team.name for team in self.context.platform.settings.teams
        )
        if json_size(MappingValue(names)) > self.context.limits.value_bytes:
            names = []  # too large for a value: all names are hashed
        return [Condition(MAPPING, ABSENT)], [Write(MAPPING, MappingValue(names))]

    # --- owners --------------------------------------------------------------------------

    def key(self, share: ShareNo) -> str:
        """Returns the stored key of the share."""
        return f"{SHARE}{share}"

    def owner(self, share: ShareNo) -> tuple[Member, Incarnation] | None:
        """Returns the member and incarnation that owns the share, even if its lease ended."""
        value = self.store.get(self.key(share))
        return (value.owner, value.incarnation) if value else None

    def live_owner(self, share: ShareNo) -> Member | None:
        """Returns the owner if its lease is valid, or None."""
        owner = self.owner(share)
        if owner and self.authority.live_incarnation(owner[0]) == owner[1]:
            return owner[0]
        return None

    def live_since(self, member: Member) -> Instant:
        """Returns when the member's present process was first seen to have a lease."""
        return self._live_since.get(member, (None, LONG_AGO))[1]

    def guard(self, share: ShareNo) -> Condition:
        """Returns the condition that makes a late transaction of a former owner fail."""
        return Condition(self.key(share), self.owned[share].epoch)

    def may_command(self, share: ShareNo) -> bool:
        """Returns whether this node may command the share's machines now."""
        owned_share = self.owned.get(share)
        # The takeover may succeed before this node has read everything up to its revision. Jobs
        # cancelled until then must be known before anything is answered or commanded.
        return (
            owned_share is not None
            and not owned_share.handing_back
            and self.store.applied >= owned_share.epoch
            and self.authority.may_act()
        )

    # --- changes of ownership ------------------------------------------------------------

    def _changed(self, key: str, value: Any, stamp: Stamp) -> None:
        share = ShareNo(int(key[len(SHARE) :]))
        owned_share = self.owned.get(share)
        owned_here = (
            value is not None
            and value.owner == self.context.me
            and value.incarnation == self.authority.incarnation
            and self.authority.live
        )
        if owned_share is not None and (not owned_here or stamp > owned_share.epoch):
            del self.owned[share]
            self.context.log("info", f"share {share} lost at epoch {stamp}")
            self._on_loss(share)
            owned_share = None
        if owned_here and owned_share is None:
            owned_share = OwnedShare(share, stamp, self.context.now)
            self.owned[share] = owned_share
            former = self._former_owner.pop(share, None)
            taken = f", taken over from {former}, whose lease ended" if former else ""
            self.context.log("info", f"share {share} owned, epoch {stamp}{taken}")
            self._on_gain(owned_share)
            if self.store.applied < stamp:
                self.store.sync()

    def drop_all(self) -> None:
        """Drops all owned shares, because the authority is lost."""
        for share in list(self.owned):
            del self.owned[share]
            self._on_loss(share)
        self._takeovers_pending.clear()

    def _take(self, share: ShareNo, conditions: list[Condition]) -> None:
        if share in self._takeovers_pending:
            return
        self._takeovers_pending.add(share)
        key = self.key(share)
        mapping_conditions, mapping_writes = self._mapping()
        when = [
            *mapping_conditions,
            self.store.expect(key),
            self.store.expect(LIVE + self.context.me),
            *conditions,
        ]
        value = ShareValue(self.context.me, self.authority.incarnation)
        self.store.commit(
            when,
            [*mapping_writes, Write(key, value)],
            lambda result, stamp: self._takeovers_pending.discard(share),
            Store.URGENT,
        )

    def tick(self) -> None:
        """Takes over shares without a live owner, and hands shares back to their home nodes."""
        if not self.authority.live or self.context.now >= self.authority.until:
            return
        for member in self.context.members:
            incarnation = self.authority.live_incarnation(member)
            if incarnation is None:
                self._live_since.pop(member, None)
            elif self._live_since.get(member, (None,))[0] != incarnation:
                self._live_since[member] = (incarnation, self.context.now)
        for share in self.all():
            if share not in self.owned:
                self._consider_takeover(share)
            else:
                self._consider_handback(share)

    def _consider_takeover(self, share: ShareNo) -> None:
        owner = self.owner(share)
        home = self.context.home(share)
        now = self.context.now
        if owner is None:
            # Never owned: the home node takes it at once, other nodes after a delay.
            waited = now - self._ownerless_since.setdefault(share, now)
            if home == self.context.me or (
                waited > TAKE_UNOWNED_AFTER_S and self.authority.live_incarnation(home) is None
            ):
                self._take(share, [])
            return
        member, incarnation = owner
        if member == self.context.me:
            # The owner is an earlier process of this member, which has ended, or this process
            # before it lost its lease: there is no need to wait.
            if incarnation != self.authority.incarnation:
                self._take(share, [])
            return
        present = self.authority.live_incarnation(member)
        if present is not None:
            self._ownerless_since.pop(share, None)
            return
        since = self._ownerless_since.setdefault(share, now)
        self.authority.record_lease_end(member, incarnation)
        if not self.authority.attests(self.context.me, incarnation):
            return
        others = [
            m
            for m in self.context.members
            if m not in (self.context.me, member) and self.authority.attests(m, incarnation)
        ]
        if 1 + len(others) < self.context.majority:
            return
        if now - since < TAKEOVER_STAGGER_S * self._takeover_rank(share, member):
            return
        self._former_owner[share] = member
        conditions = [Condition(LIVE + member, ABSENT)]
        conditions += [self.store.expect(LIVE + m) for m in others]
        self._take(share, conditions)

    def _takeover_rank(self, share: ShareNo, former_owner: Member) -> int:
        """Returns this node's place in the order in which live nodes try to take over the share.

        Nodes that own fewer shares come first, so that the shares of a failed node are spread.
        """
        live = [m for m in self.authority.live_members() if m != former_owner]
        if not live:
            return 0
        load = {m: 0 for m in live}
        for other in self.all():
            owner = self.live_owner(other)
            if owner in load:
                load[owner] += 1
        ranked = sorted(live, key=lambda m: (load[m], m == self.context.home(share), m))
        return ranked.index(self.context.me) if self.context.me in ranked else 0

    def _consider_handback(self, share: ShareNo) -> None:
        owned_share = self.owned[share]
        home = self.context.home(share)
        if home == self.context.me or owned_share.handing_back or not owned_share.settled:
            return
        incarnation, since = self._live_since.get(home, (None, self.context.now))
        if incarnation is None or self.context.now - since < HANDBACK_AFTER_S * (1 + CLOCK_DRIFT):
            return
        if self.context.now - owned_share.since < HANDBACK_AFTER_S:
            return
        # The handback waits, until HANDBACK_DEADLINE_S after the takeover, while a machine of the
        # share is unreachable: the new owner must ask every machine for its tasks, and would wait
        # for that one.
        if (
            not self.all_machines_reachable(share)
            and self.context.now - owned_share.since < HANDBACK_DEADLINE_S
        ):
            return
        # Nothing is commanded until the answer, because the home node commands once it is stored.
        owned_share.handing_back = True
        self.context.log("info", f"share {share} handed back to {home}")

        def done(result: CommitResult, stamp: Stamp) -> None:
            if result in (CommitResult.CONFLICT, CommitResult.REFUSED):
                owned_share.handing_back = False
            elif result is CommitResult.UNKNOWN:
                self._overwrite_handback(owned_share)

        self.store.commit(
            [self.guard(share), self.store.expect(LIVE + home)],
            [Write(self.key(share), ShareValue(home, incarnation))],
            done,
        )

    def _overwrite_handback(self, owned_share: OwnedShare) -> None:
        """Writes the share anew after a handover without an answer, so that it can no longer be
        applied."""

        def done(result: CommitResult, stamp: Stamp) -> None:
            if (
                result in (CommitResult.UNKNOWN, CommitResult.REFUSED)
                and owned_share.number in self.owned
            ):
                self._overwrite_handback(owned_share)

        if self.owned.get(owned_share.number) is owned_share:
            value = ShareValue(self.context.me, self.authority.incarnation)
            self.store.commit(
                [self.guard(owned_share.number)], [Write(self.key(owned_share.number), value)], done
            )
