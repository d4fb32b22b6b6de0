"""This node's copy of the state service, kept by catch-up reads, and the way to change it.

A catch-up read (`Follow`, answered at once with the changes since the last read) begun after a
request arrived makes the copy recent enough to answer it; one read serves all requests that wait.
Reads for requests keep a minimum interval. Changes are queued by urgency and sent within a token
bucket.
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

FRESH_S = 1.5  # maximum age of the read that an answer is based on, when the answer is sent
# Time since the state service last served a request, after which queued changes with a deadline
# are refused.
GIVE_UP_AFTER_S = 1.0
THROTTLED_S = 0.1  # no changes are sent for so long after a 429
THROTTLED_RATE_FACTOR = 0.7  # applied to the rate of changes after a 429
MAX_TRIES = 4  # sendings of a change that the state service answers with a 429
READ_RATE_FRACTION = 0.4  # part of the request limit that the reads of all nodes together use
WRITE_RATE_FRACTION = 0.95  # of the write limit, divided evenly among all nodes
MAX_WRITE_RATE_FRACTION = 0.9  # of the write limit, for one node while the others write less
MIN_WRITE_BURST = 4.0  # changes; minimum capacity of the token bucket for writes
# Growth of the write rate while changes wait for it, as a fraction of this node's even part.
RATE_RAISE_PER_S = 0.5
MAX_RATE_RAISE_S = 0.2  # maximum time since the last raise that counts in a raise
FIRST_READ_RETRY_S = 0.2  # between a failure of the read of all keys and its retry
FAILED_READ_GAP_S = 0.15  # between reads while the newest answer was a failure

Listener = Callable[[str, Any, Stamp], None]
SyncCallback = Callable[[bool], None]


class CommitResult(Enum):
    """The outcome of a change."""

    OK = auto()
    CONFLICT = auto()  # a condition was not met
    REFUSED = auto()  # certainly not carried out
    UNKNOWN = auto()  # no answer: it may have been carried out, or be carried out later
    LEASE_ENDED = auto()  # the lease that a write names no longer exists
    REJECTED = auto()  # too large for the state service


CommitCallback = Callable[[CommitResult, Stamp], None]


class _PendingChange:
    """A change that is queued or sent, with the callback for its result."""

    __slots__ = ("encoded", "result", "then", "tries", "until", "urgency", "when")

    def __init__(
        self,
        when: list[Condition],
        then: list[Write],
        result: CommitCallback,
        urgency: int,
        until: Instant,
    ) -> None:
        self.when = when
        self.then = then
        # The writes as they are sent, with values as plain maps and lists.
        self.encoded = [w._replace(value=msgspec.to_builtins(w.value)) for w in then]
        self.result = result
        self.urgency = urgency
        self.until = until
        self.tries = 0


class Bucket:
    """A token bucket on the core's clock; `rate` is in tokens per second."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = Instant(0.0)  # when `level` was brought up to date

    def refill(self, now: Instant) -> None:
        """Brings the level up to date."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def try_take(self, now: Instant, cost: float) -> float:
        """Takes `cost` tokens and returns 0, or returns the seconds until they can be taken.

        A cost above the burst is taken from a full bucket, whose level becomes negative.
        """
        self.refill(now)
        if self.level >= min(cost, self.burst):
            self.level -= cost
            return 0.0
        return (min(cost, self.burst) - self.level) / self.rate


class Store:
    """The local copy of the state service, its reads and the queue of changes."""

    URGENT, OWNER, USER, BACKGROUND = range(4)  # urgencies of changes, the most urgent first

    def __init__(self, context: Context) -> None:
        self.context = context
        self.applied = Stamp(0)  # revision up to which this copy has read
        self.values: dict[str, Any] = {}
        self.stamps: dict[str, Stamp] = {}
        self.ready = False  # everything has been read
        self.last_synced = LONG_AGO  # when the newest successful read was sent
        self.last_contact = LONG_AGO  # when the newest request that was served was sent
        self.failing = False  # the newest answer was a failure
        self.failed_at = LONG_AGO
        # Dropped keys, with the revision of their removal, until a read reaches that revision.
        self._dropped: deque[tuple[Stamp, str]] = deque()
        self._listeners: list[tuple[str, Listener]] = []
        self._reading = False
        self._read_began = LONG_AGO
        self._waiters: list[SyncCallback] = []
        self._queue: list[tuple[int, int, Commit]] = []
        self._next_number = itertools.count()
        nodes = len(context.members)
        self._read_interval_s = nodes / (READ_RATE_FRACTION * context.limits.rps)
        self._fair_write_rate = WRITE_RATE_FRACTION * context.limits.write_rps / nodes
        self._write_budget = Bucket(
            self._fair_write_rate, max(self._fair_write_rate, MIN_WRITE_BURST)
        )
        self._paused_until = LONG_AGO
        self._rate_raised_at = LONG_AGO
        self._queued = [0] * (self.BACKGROUND + 1)  # changes in the queue, by urgency

    # --- local copy ----------------------------------------------------------------------

    def listen(self, prefix: str, listener: Listener) -> None:
        """Calls the listener with each change under the prefix from now on.

        A change goes only to the first listener whose prefix its key has.
        """
        self._listeners.append((prefix, listener))

    def stamp(self, key: str) -> Stamp:
        """Returns the stamp of the key; 0 if the key does not exist."""
        return self.stamps.get(key, ABSENT) if key in self.values else ABSENT

    def expect(self, key: str) -> Condition:
        """Returns the condition that the key is unchanged since this copy read it."""
        return Condition(key, self.stamp(key))

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys under the prefix."""
        return [key for key in self.values if key.startswith(prefix)]

    def get(self, key: str) -> Any:
        """Returns the value of the key, or None."""
        return self.values.get(key)

    def _apply(self, key: str, value: Any, stamp: Stamp) -> None:
        # Changes of this node are applied when they are answered, so a read may return them again,
        # or an older state of the key: the higher stamp wins.
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

    def sync(self, waiter: SyncCallback | None = None) -> None:
        """Requests a catch-up read that begins from now on.

        The waiter is called with True if the read succeeded and is recent enough for an answer.
        """
        self._waiters.append(waiter or (lambda ok: None))
        self._start_read()

    def tick(self) -> None:
        """Starts reads and sends changes that are due."""
        now = self.context.now
        if self._reading:
            pass
        elif not self.ready:
            if now >= self.failed_at + FIRST_READ_RETRY_S:
                self._start_read()
        elif self._waiters or now >= self._read_began + self.context.operators.sync_every:
            self._start_read()
        if self.failing and now > self.last_contact + GIVE_UP_AFTER_S:
            self._refuse_waiting()
        self._flush()

    def _refuse_waiting(self) -> None:
        """Refuses at once all queued changes that have a deadline, as contact is lost."""
        waiting = [entry for entry in self._queue if entry[2].until < FAR_FUTURE]
        if waiting:
            self._queue = [entry for entry in self._queue if entry[2].until >= FAR_FUTURE]
            heapq.heapify(self._queue)
            for urgency, _, commit in waiting:
                self._refuse(urgency, commit)

    def _refuse(self, urgency: int, commit: Commit) -> None:
        self._queued[urgency] -= len(commit.then)
        commit.tag(Outcome(commit.tag, 0, LATE, sent=False, began=self.context.now))

    def _start_read(self) -> None:
        now = self.context.now
        if self._reading or now < self._read_began + self._read_interval_s:
            return
        # Failing reads must not be repeated at once while the service is down.
        if self.failing and now < self._read_began + FAILED_READ_GAP_S:
            return
        self._reading = True
        self._read_began = now
        waiters, self._waiters = self._waiters, []

        def done(outcome: Outcome) -> None:
            self._reading = False
            self._handle_read(outcome, now, waiters)
            if self._waiters:
                self._start_read()

        if self.ready:
            self.context.emit(Follow(done, self.applied))
        else:
            self.context.emit(ReadAll(done))

    def _handle_read(self, outcome: Outcome, sent: Instant, waiters: list[SyncCallback]) -> None:
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
            # Later reads cannot return keys that were dropped up to this revision, so their stamps
            # are no longer needed.
            while self._dropped and self._dropped[0][0] <= self.applied:
                key = self._dropped.popleft()[1]
                if key not in self.values:
                    self.stamps.pop(key, None)
            self.last_synced = max(self.last_synced, sent)
        elif outcome.status == 410:
            self.ready = False  # too far behind: everything is read again
        # A read that was answered before a pause of this process proves nothing after it.
        fresh = ok and self.context.now <= sent + FRESH_S
        for waiter in waiters:
            waiter(fresh)

    @property
    def fresh_until(self) -> Instant:
        """Returns the instant until which an answer may rest on the newest read."""
        return Instant(self.last_synced + FRESH_S)

    def note_contact(self, ok: bool, status: int, sent: Instant) -> None:
        """Records whether a request sent at `sent` reached the state service."""
        if ok:
            self.last_contact = max(self.last_contact, sent)
            self.failing = False
        elif status not in (404, 409, 410, 429):
            self.failing = True
            self.failed_at = self.context.now

    # --- changes -------------------------------------------------------------------------

    @property
    def backlog(self) -> float:
        """Returns the seconds for which the write rate is used up by queued changes that precede
        a user's change queued now."""
        return sum(self._queued[: self.USER + 1]) / self._write_budget.rate

    def max_changes(self, seconds: float) -> int:
        """Returns how many changes the write budget of `seconds` pays for, at least 1."""
        return max(1, int(seconds * self._write_budget.rate))

    def commit(
        self,
        when: list[Condition],
        then: list[Write],
        result: CommitCallback,
        urgency: int = OWNER,
        until: Instant = FAR_FUTURE,
    ) -> None:
        """Queues a change; it is refused if it has not been sent by `until`."""
        self._push(_PendingChange(when, then, result, urgency, until))

    def _push(self, change: _PendingChange) -> None:
        change.tries += 1
        commit = Commit(
            lambda outcome: self._handle_outcome(change, outcome),
            change.when,
            change.encoded,
            change.until,
        )
        heapq.heappush(self._queue, (change.urgency, next(self._next_number), commit))
        self._queued[change.urgency] += len(change.then)
        self._flush()

    def _handle_outcome(self, change: _PendingChange, outcome: Outcome) -> None:
        status, began = outcome.status, Instant(outcome.began)
        if status == 200:
            self._handle_applied(change, Stamp(int(outcome.body)), began)
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
            self._handle_not_executed(change, status, began)
        else:
            self.note_contact(False, status, began)
            self.sync()
            change.result(CommitResult.UNKNOWN, ABSENT)

    def _handle_applied(self, change: _PendingChange, stamp: Stamp, began: Instant) -> None:
        self.note_contact(True, 200, began)
        if stamp > self.applied:  # else a read returned it, and perhaps later changes
            for write in change.then:
                self._apply(write.key, write.value, stamp)
        change.result(CommitResult.OK, stamp)

    def _handle_not_executed(self, change: _PendingChange, status: int, began: Instant) -> None:
        self.note_contact(False, status, began)
        if status == 429:
            self._paused_until = later(self.context.now, THROTTLED_S)
            self._write_budget.rate = max(
                self._fair_write_rate, THROTTLED_RATE_FACTOR * self._write_budget.rate
            )
            # Certainly not executed: a short wait costs less than a retry by the user.
            if change.tries < MAX_TRIES:
                self._push(change)
                return
        change.result(CommitResult.REFUSED, ABSENT)

    def _log_too_large(self, change: _PendingChange) -> None:
        """Logs a change that is too large. It is not repeated: its caller must make it smaller."""
        size = max((json_size(write.value) for write in change.encoded), default=0)
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
                self._refuse(urgency, commit)
                continue
            if urgency != self.URGENT:
                # Reads detect when the service is back. Changes sent before that would only raise
                # this node's write rate, and all nodes would send their queues at once.
                if now < self._paused_until or self.failing:
                    return
                if self._write_budget.try_take(now, len(commit.then)) > 0:
                    # The other nodes seldom use all of their parts: the rate grows until the state
                    # service answers with a 429.
                    max_rate = MAX_WRITE_RATE_FRACTION * self.context.limits.write_rps
                    step = (
                        RATE_RAISE_PER_S
                        * self._fair_write_rate
                        * min(now - self._rate_raised_at, MAX_RATE_RAISE_S)
                    )
                    self._write_budget.rate = min(max_rate, self._write_budget.rate + step)
                    self._rate_raised_at = now
                    return
            else:
                self._write_budget.refill(now)
                self._write_budget.level -= len(commit.then)
            heapq.heappop(self._queue)
            self._queued[urgency] -= len(commit.then)
            self.context.emit(commit)
