"""This node's copy of the state service, kept by catch-up reads, and the way to change it.

A catch-up read (`Follow` without waiting) begun after a question arrived makes the copy
recent enough to answer it; one read serves all questions that wait. Budgets are token
buckets: reads that questions ask for are spaced, changes are queued by urgency.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import Any

import msgspec

from .context import Context
from .ids import ABSENT, FAR_FUTURE, LONG_AGO, Instant, Stamp, later
from .sizes import json_size
from .stored_values import parse
from .types import LATE, Commit, Condition, Follow, Outcome, ReadAll, Write

FRESH_S = 1.5  # how old a read may be that an answer rests on, when the answer leaves
GIVE_UP_AFTER_S = 1.0  # without contact: who waits for a change is refused
THROTTLED_S = 0.1  # after a 429
THROTTLED_RATE = 0.7  # of the rate of changes, after a 429
MAX_TRIES = 4  # of a change that the state service has no time for

Listener = Callable[[str, Any, Stamp], None]
Waiter = Callable[[bool], None]


class CommitResult(Enum):
    """What became of a change."""

    OK = auto()
    CONFLICT = auto()  # a condition did not hold
    REFUSED = auto()  # surely not carried out
    UNKNOWN = auto()  # no answer: it may be carried out, or may yet be
    LEASE_ENDED = auto()  # the lease that a write names is gone
    REJECTED = auto()  # too large for the state service


Result = Callable[[CommitResult, Stamp], None]


class _Change:
    """A change on its way, with who waits for its result."""

    __slots__ = ("plain", "result", "then", "tries", "until", "urgency", "when")

    def __init__(
        self,
        when: list[Condition],
        then: list[Write],
        result: Result,
        urgency: int,
        until: Instant,
    ) -> None:
        self.when = when
        self.then = then
        self.plain = [w._replace(value=msgspec.to_builtins(w.value)) for w in then]  # as sent
        self.result = result
        self.urgency = urgency
        self.until = until
        self.tries = 0


class Bucket:
    """A token bucket on the core's clock."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = Instant(0.0)

    def refill(self, now: Instant) -> None:
        """Bring the level up to date."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def wait(self, now: Instant, cost: float) -> float:
        """Seconds until `cost` may be taken; 0 takes it."""
        self.refill(now)
        if self.level >= min(cost, self.burst):
            self.level -= cost
            return 0.0
        return (min(cost, self.burst) - self.level) / self.rate


class Store:
    """The copy, its reads and the queue of changes."""

    URGENT, OWNER, USER, BACKGROUND = range(4)

    def __init__(self, context: Context) -> None:
        self.context = context
        self.applied = Stamp(0)
        self.values: dict[str, Any] = {}
        self.stamps: dict[str, Stamp] = {}
        self.ready = False
        self.last_synced = LONG_AGO  # when the newest successful read was sent
        self.last_contact = LONG_AGO
        self.failing = False  # the newest answer was a failure
        self.failed_at = LONG_AGO
        self._dropped: deque[tuple[Stamp, str]] = deque()
        self._listeners: list[tuple[str, Listener]] = []
        self._reading = False
        self._read_began = LONG_AGO
        self._waiters: list[Waiter] = []
        self._queue: list[tuple[int, int, Commit]] = []
        self._order = itertools.count()
        nodes = len(context.members)
        self._gap = nodes / (0.4 * context.limits.rps)
        self._fair_write_rate = 0.95 * context.limits.write_rps / nodes
        self._write_budget = Bucket(self._fair_write_rate, max(self._fair_write_rate, 4.0))
        self._paused_until = LONG_AGO
        self._raised_at = LONG_AGO
        self._queued = [0] * (self.BACKGROUND + 1)  # changes in the queue, by urgency

    # --- copy ----------------------------------------------------------------------------

    def listen(self, prefix: str, listener: Listener) -> None:
        """Have a listener told of changes under the prefix."""
        self._listeners.append((prefix, listener))

    def stamp(self, key: str) -> Stamp:
        """The version of the key; 0 if there is none."""
        return self.stamps.get(key, ABSENT) if key in self.values else ABSENT

    def expect(self, key: str) -> Condition:
        """The condition that the key is still as this copy has it."""
        return Condition(key, self.stamp(key))

    def keys(self, prefix: str) -> list[str]:
        """The keys under the prefix."""
        return [key for key in self.values if key.startswith(prefix)]

    def get(self, key: str) -> Any:
        """The value of the key, or None."""
        return self.values.get(key)

    def _apply(self, key: str, value: Any, stamp: Stamp) -> None:
        # Own changes are applied when they are answered, so a read may bring them again,
        # and an older state of the key with them: the stamp of the key decides.
        if stamp <= self.stamps.get(key, ABSENT):
            return
        self.stamps[key] = stamp
        value = parse(key, value)
        if value is None:
            if key not in self.values:
                return
            del self.values[key]
            self._dropped.append((stamp, key))
        else:
            self.values[key] = value
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, value, stamp)
                break

    # --- reading -------------------------------------------------------------------------

    def sync(self, waiter: Waiter | None = None) -> None:
        """Ask for a catch-up read begun from now on; the waiter hears whether it worked."""
        self._waiters.append(waiter or (lambda ok: None))
        self._start_read()

    def tick(self) -> None:
        """Start reads and send changes that are due."""
        now = self.context.now
        if self._reading:
            pass
        elif not self.ready:
            if now >= self.failed_at + 0.2:
                self._start_read()
        elif self._waiters or now >= self._read_began + self.context.operators.sync_every:
            self._start_read()
        if self.failing and now > self.last_contact + GIVE_UP_AFTER_S:
            self._give_up()
        self._flush()

    def _give_up(self) -> None:
        """Without contact for long: whoever waits for a change is told so at once."""
        waiting = [entry for entry in self._queue if entry[2].until < FAR_FUTURE]
        if waiting:
            self._queue = [entry for entry in self._queue if entry[2].until >= FAR_FUTURE]
            heapq.heapify(self._queue)
            for urgency, _, commit in waiting:
                self._drop(urgency, commit)

    def _drop(self, urgency: int, commit: Commit) -> None:
        self._queued[urgency] -= len(commit.then)
        commit.tag(Outcome(commit.tag, 0, LATE, sent=False, began=self.context.now))

    def _start_read(self) -> None:
        now = self.context.now
        if self._reading or now < self._read_began + self._gap:
            return
        # Rejected reads must not turn into a storm while the service is down.
        if self.failing and now < self._read_began + 0.15:
            return
        self._reading = True
        self._read_began = now
        waiters, self._waiters = self._waiters, []

        def done(outcome: Outcome) -> None:
            self._reading = False
            self._read(outcome, now, waiters)
            if self._waiters:
                self._start_read()

        if self.ready:
            self.context.emit(Follow(done, self.applied))
        else:
            self.context.emit(ReadAll(done))

    def _read(self, outcome: Outcome, sent: Instant, waiters: list[Waiter]) -> None:
        ok = outcome.status == 200
        self.note_contact(ok, outcome.status, sent)
        if ok:
            changes, epoch = outcome.body
            if not self.ready:
                present = {key for key, _, _ in changes}
                for key in [k for k in self.values if k not in present]:
                    self._apply(key, None, Stamp(epoch))
                self.ready = True
            for key, value, stamp in changes:
                self._apply(key, value, Stamp(stamp))
            self.applied = Stamp(max(self.applied, epoch))
            # From here on no read brings back what was dropped before it.
            while self._dropped and self._dropped[0][0] <= self.applied:
                key = self._dropped.popleft()[1]
                if key not in self.values:
                    self.stamps.pop(key, None)
            self.last_synced = max(self.last_synced, sent)
        elif outcome.status == 410:
            self.ready = False  # too far behind: read everything again
        # A read that was answered before this process stood still proves nothing after it.
        fresh = ok and self.context.now <= sent + FRESH_S
        for waiter in waiters:
            waiter(fresh)

    @property
    def fresh_until(self) -> Instant:
        """Until when the newest read may be the ground of an answer."""
        return Instant(self.last_synced + FRESH_S)

    def note_contact(self, ok: bool, status: int, sent: Instant) -> None:
        """Note how a request sent then went."""
        if ok:
            self.last_contact = max(self.last_contact, sent)
            self.failing = False
        elif status not in (404, 409, 410, 429):
            self.failing = True
            self.failed_at = self.context.now

    # --- changing ------------------------------------------------------------------------

    @property
    def backlog(self) -> float:
        """Seconds that a user's change asked for now would wait at the least."""
        return sum(self._queued[: self.USER + 1]) / self._write_budget.rate

    def max_changes(self, seconds: float) -> int:
        """How many changes the write budget of so many seconds pays for."""
        return max(1, int(seconds * self._write_budget.rate))

    def commit(
        self,
        when: list[Condition],
        then: list[Write],
        result: Result,
        urgency: int = OWNER,
        until: Instant = FAR_FUTURE,
    ) -> None:
        """Queue a change; `until`: when whoever asked for it has given it up."""
        self._push(_Change(when, then, result, urgency, until))

    def _push(self, change: _Change) -> None:
        change.tries += 1
        commit = Commit(
            lambda outcome: self._answered(change, outcome), change.when, change.plain, change.until
        )
        heapq.heappush(self._queue, (change.urgency, next(self._order), commit))
        self._queued[change.urgency] += len(change.then)
        self._flush()

    def _answered(self, change: _Change, outcome: Outcome) -> None:
        status, began = outcome.status, Instant(outcome.began)
        if status == 200:
            self._applied_here(change, Stamp(int(outcome.body)), began)
        elif status == 409:
            self.note_contact(True, 409, began)
            self.sync()
            change.result(CommitResult.CONFLICT, ABSENT)
        elif status == 400 and any(write.lease is not None for write in change.then):
            change.result(CommitResult.LEASE_ENDED, ABSENT)
        elif status == 400:
            self._log_too_large(change)
            change.result(CommitResult.REJECTED, ABSENT)
        elif outcome.body == LATE:
            change.result(CommitResult.REFUSED, ABSENT)
        elif status in (429, 503) or (status == 0 and not outcome.sent):
            self._not_executed(change, status, began)
        else:
            self.note_contact(False, status, began)
            self.sync()
            change.result(CommitResult.UNKNOWN, ABSENT)

    def _applied_here(self, change: _Change, stamp: Stamp, began: Instant) -> None:
        self.note_contact(True, 200, began)
        if stamp > self.applied:  # else a read brought it, and perhaps what came after
            for write in change.then:
                self._apply(write.key, write.value, stamp)
        change.result(CommitResult.OK, stamp)

    def _not_executed(self, change: _Change, status: int, began: Instant) -> None:
        self.note_contact(False, status, began)
        if status == 429:
            self._paused_until = later(self.context.now, THROTTLED_S)
            self._write_budget.rate = max(
                self._fair_write_rate, THROTTLED_RATE * self._write_budget.rate
            )
            # Surely not executed: waiting a moment costs less than a user's retry.
            if change.tries < MAX_TRIES:
                self._push(change)
                return
        change.result(CommitResult.REFUSED, ABSENT)

    def _log_too_large(self, change: _Change) -> None:
        """Never repeated as it is: whoever asked for it must ask for less."""
        size = max((json_size(write.value) for write in change.plain), default=0)
        first = change.then[0].key if change.then else "-"
        self.context.log(
            "error",
            f"the state service takes no such change: {len(change.then)} keys from {first},"
            f" the largest value {size} bytes",
        )

    def _flush(self) -> None:
        now = self.context.now
        while self._queue:
            urgency, _, commit = self._queue[0]
            if now >= commit.until:
                heapq.heappop(self._queue)
                self._drop(urgency, commit)
                continue
            if urgency != self.URGENT:
                # Reads find out when the service is back. Tries meanwhile would only raise this
                # node's pace, and all nodes would come at once with what gathered.
                if now < self._paused_until or self.failing:
                    return
                if self._write_budget.wait(now, len(commit.then)) > 0:
                    # The other nodes seldom use all of their parts: ask for more, until the
                    # state service says that it is too much.
                    most = 0.9 * self.context.limits.write_rps
                    step = 0.5 * self._fair_write_rate * min(now - self._raised_at, 0.2)
                    self._write_budget.rate = min(most, self._write_budget.rate + step)
                    self._raised_at = now
                    return
            else:
                self._write_budget.refill(now)
                self._write_budget.level -= len(commit.then)
            heapq.heappop(self._queue)
            self._queued[urgency] -= len(commit.then)
            self.context.emit(commit)
